"""Turns of client accounts where not all requests can be served."""

from dataclasses import dataclass, field
from itertools import count
from math import exp

from plantaincart_core.account import ClientAccount
from plantaincart_core.rank import Rank

__all__ = ["AccountTurns", "TurnKey"]

# Weight of an account without a quota, and of all requests without an account together,
# in requests per second. Only its proportion to the quotas of others matters.
DEFAULT_WEIGHT = 10.0
# An account with a quota goes first while it is served less than this often, compared
# with all accounts of its rank that have one. What it must reach is one half.
MIN_SERVED_SHARE = 0.65
# Time constant in seconds of the requests and answers that are compared.
MEMORY_S = 5.0
# Requests below which they aren't compared.
MIN_COMPARED = 3.0
# Seconds after which an account without requests is forgotten.
FORGOTTEN_S = 30.0


@dataclass(frozen=True, order=True, slots=True)
class TurnKey:
    """
    Place of a request among those that wait; the smallest goes first.

    Parameters
    ----------
    rank : Rank
        Rank of the request.
    turn : float
        Turn of its account.
    number : int
        Order of arrival.
    account : str
        Name of the account; empty without one.
    """

    rank: Rank
    turn: float
    number: int
    account: str = field(compare=False)


@dataclass(slots=True)
class _Flow:
    """Requests of one account in one rank."""

    weight: float
    has_quota: bool
    next_turn: float = 0.0
    asked: float = 0.0
    served: float = 0.0
    counted_at: float = float("-inf")

    def decay(self, now: float) -> None:
        if now > self.counted_at:
            kept = exp(-(now - self.counted_at) / MEMORY_S)
            self.asked, self.served = self.asked * kept, self.served * kept
            self.counted_at = now


@dataclass(slots=True)
class _RankState:
    flows: dict[str, _Flow] = field(default_factory=dict)
    present_turn: float = 0.0
    total: _Flow = field(default_factory=lambda: _Flow(0.0, True))
    cleaned_at: float = float("-inf")


class AccountTurns:
    """
    Orders waiting requests so that accounts of the same rank are served by turns.

    Notes
    -----
    Turns are virtual time: a request of an account moves the account's next turn on by
    one part in its quota. An account that sends many times its quota thus has its later
    requests far behind those of others, and one that sends little never waits for it.
    Requests that were refused give their turn back, so that repeats cost an account
    nothing. Without accounts the order is that of the ranks and of arrival [1]_.

    References
    ----------
    .. [1] Goyal, Vin, Cheng, "Start-time Fair Queueing", 1997.

    Examples
    --------
    >>> turns, rank = AccountTurns(), Rank(0, 1)
    >>> hot = ClientAccount(name="hot", rate_per_s=10.0)
    >>> small = ClientAccount(name="small", rate_per_s=10.0)
    >>> keys = [turns.take_turn(hot, rank, now=0.0) for _ in range(3)]
    >>> keys.append(turns.take_turn(small, rank, now=0.0))
    >>> [key.account for key in sorted(keys)]
    ['hot', 'small', 'hot', 'hot']
    >>> round(turns.measure_lead(hot, rank), 3), turns.measure_lead(small, rank)
    (0.3, 0.1)
    """

    def __init__(self) -> None:
        self._ranks: dict[Rank, _RankState] = {}
        self._numbers = count()

    def take_turn(
        self, account: ClientAccount | None, rank: Rank, now: float
    ) -> TurnKey:
        """
        Return the place of a request that begins to wait.

        Parameters
        ----------
        account : ClientAccount or None
            Account of the request, if it has one.
        rank : Rank
            Rank of the request.
        now : float
            Present time in seconds.
        """
        state = self._ranks.setdefault(rank, _RankState())
        self._clean(state, now)
        name = "" if account is None else account.name
        has_quota = account is not None and account.is_limited
        flow = state.flows.get(name)
        if flow is None:
            flow = state.flows[name] = _Flow(DEFAULT_WEIGHT, has_quota)
        flow.has_quota = has_quota
        if account is not None and has_quota:
            flow.weight = account.rate_per_s
        flow.decay(now)
        state.total.decay(now)
        # What an account asks beyond its quota isn't owed to it.
        if has_quota and flow.asked + 1.0 <= flow.weight * MEMORY_S:
            flow.asked += 1.0
            state.total.asked += 1.0
        turn = max(state.present_turn, flow.next_turn)
        if self._is_behind(state, flow):
            # It goes first, without using up a turn.
            return TurnKey(rank, state.present_turn, -1, name)
        flow.next_turn = turn + 1.0 / flow.weight
        return TurnKey(rank, turn, next(self._numbers), name)

    def record_served(self, key: TurnKey, now: float) -> None:
        """Record that a request has got its room."""
        state = self._ranks.get(key.rank)
        if state is None:
            return
        state.present_turn = max(state.present_turn, key.turn)
        flow = state.flows.get(key.account)
        if flow is not None:
            for counted in (flow, state.total) if flow.has_quota else (flow,):
                counted.decay(now)
                counted.served += 1.0

    def give_back(self, key: TurnKey) -> None:
        """Return the turn of a request that was refused or has gone."""
        state = self._ranks.get(key.rank)
        flow = None if state is None else state.flows.get(key.account)
        if state is not None and flow is not None and key.number >= 0:
            earlier = flow.next_turn - 1.0 / flow.weight
            flow.next_turn = max(earlier, state.present_turn)

    def measure_lead(self, account: ClientAccount | None, rank: Rank) -> float:
        """
        Return how far an account is ahead of its turns.

        Parameters
        ----------
        account : ClientAccount or None
            Account, if the request has one.
        rank : Rank
            Rank of the request.

        Returns
        -------
        float
            Seconds of its quota that it has taken beyond the turn that is served now; 0
            for an account that may have its turn at once.
        """
        state = self._ranks.get(rank)
        name = "" if account is None else account.name
        flow = None if state is None else state.flows.get(name)
        if state is None or flow is None:
            return 0.0
        return max(0.0, flow.next_turn - state.present_turn)

    def _is_behind(self, state: _RankState, flow: _Flow) -> bool:
        """Whether an account is served too rarely, compared with all of its rank."""
        total = state.total
        if not flow.has_quota or flow.asked < MIN_COMPARED:
            return False
        return flow.served * total.asked < (
            MIN_SERVED_SHARE * total.served * (flow.asked - 1.0)
        )

    def _clean(self, state: _RankState, now: float) -> None:
        if now - state.cleaned_at < FORGOTTEN_S / 3.0:
            return
        state.cleaned_at = now
        for name, flow in list(state.flows.items()):
            if now - flow.counted_at > FORGOTTEN_S:
                del state.flows[name]
