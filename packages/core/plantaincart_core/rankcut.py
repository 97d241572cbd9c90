"""Share of the requests of each rank that a service can admit while it is short."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from plantaincart_core.rank import Rank

__all__ = ["RankCount", "RankCut", "ShareCounter", "divide_room"]

# Seconds between changes of the shares: members report as often.
STEP_S = 0.25
# Requests that a step needs, unless it has lasted for `MAX_STEP_S`.
MIN_STEP_REQUESTS = 8
MAX_STEP_S = 1.0
# Share of the admitted requests that must be turned away for lack of room in a step,
# and share of the concurrency slots that must be occupied, for a service to be short.
# With free slots, requests are turned away for other reasons, such as a hot key.
SHORT_REFUSED_SHARE = 0.05
SHORT_BUSY_SHARE = 0.85
# Weight of a step in the mean rates, and in those of requests that become more.
RATE_WEIGHT = 0.6
RISE_WEIGHT = 0.9
# Growth of the room in a step in which it suffices. While slots are free it is four
# times as large with each step, up to the maximum, so that a service has opened within
# a second.
MIN_GROWTH = 0.03
MAX_GROWTH = 0.5
# Least share of the requests that must be more urgent than the least urgent ones for a
# cut: among requests of one rank, the upstreams' own loads decide better.
MIN_URGENT_SHARE = 0.01
# Successive steps in which a service must be short before a cut. What upstreams finish
# follows what they began to run, so in the first step it says nothing of the room.
SHORT_STEPS = 2
# Steps whose greatest rate of finished requests is the room of a service that is short.
ROOM_STEPS = 4
# Share of the room by which more is admitted, so that upstreams have requests waiting.
SPARE_SHARE = 0.05
# Share of what is asked for that is admitted at least, so that upstreams that have
# finished nothing for a while show that they work again.
LEAST_ROOM_SHARE = 0.1
# Share of its requests that each rank gets at least, relative to that of all ranks.
FLOOR_SHARE = 0.3
# Sums of shares such as 0.1 fall short of 1 by rounding.
ROUNDING = 1e-9


@dataclass(frozen=True, kw_only=True, slots=True)
class RankCount:
    """
    Requests of one service and rank in some time.

    Parameters
    ----------
    asked : int
        Requests of callers, whether they were served or not.
    cut : int
        Requests that weren't admitted by the share of their rank.
    served : int
        Requests that upstreams have answered.
    refused : int
        Requests that were admitted and then turned away for lack of room.
    """

    asked: int = 0
    cut: int = 0
    served: int = 0
    refused: int = 0

    def __add__(self, other: "RankCount") -> "RankCount":
        """Return the sums."""
        return RankCount(
            asked=self.asked + other.asked,
            cut=self.cut + other.cut,
            served=self.served + other.served,
            refused=self.refused + other.refused,
        )


def divide_room(
    room_per_s: float, asked_per_s: Mapping[Rank, float]
) -> dict[Rank, float]:
    """
    Divide the room of a service among the ranks.

    Parameters
    ----------
    room_per_s : float
        Requests per second that the service can serve.
    asked_per_s : mapping of Rank to float
        Requests per second by rank.

    Returns
    -------
    dict of Rank to float
        Share of its requests that each rank gets, from 0 to 1.

    Notes
    -----
    Each rank gets `FLOOR_SHARE` of the share that all requests would get without
    ranks. What remains goes to the most urgent rank first.

    Examples
    --------
    >>> shares = divide_room(60.0, {Rank(0, 0): 40.0, Rank(0, 2): 80.0})
    >>> {rank.route: round(share, 2) for rank, share in shares.items()}
    {0: 1.0, 2: 0.25}
    >>> divide_room(60.0, {Rank(0, 0): 50.0})
    {Rank(account=0, route=0): 1.0}
    """
    total_per_s = sum(asked_per_s.values())
    if total_per_s <= room_per_s:
        return dict.fromkeys(asked_per_s, 1.0)
    floor = FLOOR_SHARE * room_per_s / total_per_s
    left_per_s = room_per_s - floor * total_per_s
    shares = {}
    share = 1.0
    for rank in sorted(asked_per_s):
        wanted_per_s = asked_per_s[rank] * (1.0 - floor)
        if wanted_per_s > left_per_s:
            share = min(share, floor + left_per_s / asked_per_s[rank])
        left_per_s = max(0.0, left_per_s - wanted_per_s)
        # A rank without requests gets no more than those before it.
        shares[rank] = share
    return shares


class RankCut:
    """
    Measures the room of one service, and divides it while it is short.

    Attributes
    ----------
    shares : dict of Rank to float
        Share of its requests that each rank gets; empty while there is no cut.

    Notes
    -----
    While requests are turned away although they were admitted, the room is the most
    that upstreams have finished in a step lately, and a little more. Otherwise it grows
    with each step until it suffices for all that is asked, or until requests are turned
    away again. It thus follows upstreams that get faster, and the queues at upstreams
    don't run empty.
    """

    def __init__(self) -> None:
        self.shares: dict[Rank, float] = {}
        self._counts: dict[Rank, RankCount] = {}
        self._asked_per_s: dict[Rank, float] = {}
        self._served_per_s: deque[float] = deque(maxlen=ROOM_STEPS)
        self._short_steps = 0
        self._room_per_s: float | None = None
        self._growth = MIN_GROWTH
        self._step_at: float | None = None
        self._is_first = True

    @property
    def has_refused(self) -> bool:
        """Whether any request was turned away for lack of room in this step."""
        return any(count.refused for count in self._counts.values())

    def record(self, rank: Rank, count: RankCount) -> None:
        """Add requests of a rank to the present step."""
        self._counts[rank] = self._counts.get(rank, RankCount()) + count

    def update(self, now: float, busy_share: float) -> bool:
        """
        Compute the shares anew if a step is over.

        Parameters
        ----------
        now : float
            Present time in seconds.
        busy_share : float
            Share of the service's concurrency slots that are occupied.

        Returns
        -------
        bool
            Whether a step was over.
        """
        if self._step_at is None:
            self._step_at = now
            self._counts.clear()
            return False
        elapsed_s = now - self._step_at
        total = sum(self._counts.values(), RankCount())
        is_long = elapsed_s >= MAX_STEP_S
        if elapsed_s < STEP_S or (total.asked < MIN_STEP_REQUESTS and not is_long):
            return False
        self._update_rates(total, elapsed_s)
        self._update_room(total, busy_share)
        self._counts.clear()
        self._step_at = now
        self._is_first = False
        self.shares = {}
        if self._room_per_s is not None and self._has_urgent():
            self.shares = divide_room(self._room_per_s, self._asked_per_s)
        return True

    def _has_urgent(self) -> bool:
        """Whether some of the requests are more urgent than others."""
        total_per_s = sum(self._asked_per_s.values())
        asking = [
            rank
            for rank, per_s in self._asked_per_s.items()
            if per_s >= MIN_URGENT_SHARE * total_per_s
        ]
        return len(asking) > 1

    def _update_rates(self, total: RankCount, elapsed_s: float) -> None:
        weight = 1.0 if self._is_first else RATE_WEIGHT
        for rank in self._counts.keys() | self._asked_per_s.keys():
            per_s = self._counts.get(rank, RankCount()).asked / elapsed_s
            mean = self._asked_per_s.get(rank, per_s)
            asked_weight = max(weight, RISE_WEIGHT) if per_s > mean else weight
            self._asked_per_s[rank] = mean + asked_weight * (per_s - mean)
        self._served_per_s.append(total.served / elapsed_s)

    def _update_room(self, total: RankCount, busy_share: float) -> None:
        asked_per_s = sum(self._asked_per_s.values())
        is_short = (
            busy_share >= SHORT_BUSY_SHARE
            and total.refused > SHORT_REFUSED_SHARE * (total.asked - total.cut)
        )
        self._short_steps = self._short_steps + 1 if is_short else 0
        if self._is_first and total.cut:
            # An earlier coordinator has found the room; go on from there.
            self._room_per_s = asked_per_s * (1.0 - total.cut / total.asked)
        elif is_short and (self._room_per_s or self._short_steps >= SHORT_STEPS):
            room_per_s = (1.0 + SPARE_SHARE) * max(self._served_per_s)
            self._room_per_s = max(room_per_s, LEAST_ROOM_SHARE * asked_per_s)
            self._growth = MIN_GROWTH
        elif self._room_per_s is not None:
            is_full = busy_share >= SHORT_BUSY_SHARE
            self._growth = (
                MIN_GROWTH if is_full else min(MAX_GROWTH, 4.0 * self._growth)
            )
            self._room_per_s *= 1.0 + self._growth
        if self._room_per_s is not None and self._room_per_s >= asked_per_s:
            self._room_per_s = None
            self._growth = MIN_GROWTH


class ShareCounter:
    """
    Admits a share of requests evenly, and a larger one of those that return.

    Notes
    -----
    Callers that return get up to `RETURN_WEIGHT` times the share. New ones get less for
    it, so that the share holds for all together. New ones aren't put behind all that
    return: these are late already, and would only hand on their delay.

    Examples
    --------
    >>> counter = ShareCounter()
    >>> [counter.admits(0.5, is_returning=False) for _ in range(4)]
    [False, True, False, True]
    >>> abs(sum(counter.admits(0.5, at % 2 == 0) for at in range(1000)) - 500) <= 2
    True
    """

    RETURN_WEIGHT = 1.5
    # Requests by which new ones may be put back.
    MAX_DEBT = 1.0

    def __init__(self) -> None:
        self._new_credit = 0.0
        self._return_credit = 0.0

    def admits(self, share: float, is_returning: bool) -> bool:
        """Count a request; return whether it is admitted."""
        if not is_returning:
            self._new_credit += share
            if self._new_credit < 1.0 - ROUNDING:
                return False
            self._new_credit -= 1.0
            return True
        bonus = min((self.RETURN_WEIGHT - 1.0) * share, 1.0 - share)
        bonus = max(0.0, min(bonus, self._new_credit + self.MAX_DEBT))
        self._new_credit -= bonus
        self._return_credit += share + bonus
        if self._return_credit < 1.0 - ROUNDING:
            return False
        self._return_credit -= 1.0
        return True
