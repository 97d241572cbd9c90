"""Adaptive concurrency limit of an upstream, with warm-up."""

from heapq import heappop, heappush
from math import ceil

from plantaincart_core.slowness import SlownessDetector

__all__ = ["UpstreamLimit"]

# Seconds of success after which the limit is raised by one.
INCREASE_INTERVAL_S = 1.0
# Least seconds between two decreases, so that the answers of one burst count once.
DECREASE_INTERVAL_S = 0.25
# An upstream is slow if its recent latency exceeds its usual one by this factor.
SLOW_RATIO = 3.0
# An upstream with a lower recent latency is never slow.
SLOW_FLOOR_S = 0.005
# Weights of a new latency in the moving averages.
RECENT_WEIGHT = 1 / 8
USUAL_WEIGHT = 1 / 256


class UpstreamLimit:
    """
    Number of requests that an upstream may have in flight.

    Parameters
    ----------
    slots : int
        Requests that the warm upstream can run concurrently.
    warm_up_s : float
        Duration of the warm-up in seconds.
    now : float
        Time in seconds at which the warm-up begins.

    Attributes
    ----------
    slots : int
        Requests that the warm upstream can run concurrently.

    Notes
    -----
    The limit is the lower one of two. The warm-up limit increases linearly from 1 to
    `slots` during the warm-up, rounded down. The adaptive limit is halved when the
    upstream sheds a request, decreases by one, but not below half of `slots`, when the
    upstream becomes slow, and increases by one after each second of success. Neither
    is ever below 1.

    An upstream can become cold without a restart. The only indication is a series of
    answers that all take much longer than usual, so these restart the warm-up.

    A request that an earlier leader dispatched counts as in flight until the time by
    which it must have ended.

    Examples
    --------
    >>> limit = UpstreamLimit(slots=4, warm_up_s=8.0, now=0.0)
    >>> [limit.find_limit(now) for now in (0.0, 3.9, 4.0, 8.0)]
    [1, 1, 2, 4]
    """

    def __init__(self, slots: int, warm_up_s: float, now: float) -> None:
        self.slots = slots
        self._warm_up_s = warm_up_s
        self._warm_up_began_at = now
        self._warm = warm_up_s <= 0
        self._adaptive_limit = slots
        self._decreased_at = float("-inf")
        self._success_since = now
        self._dispatched = 0
        self._occupied_until: list[float] = []
        self._recent_s = 0.0
        self._usual_s = 0.0
        self._slowness = SlownessDetector()

    @property
    def in_flight(self) -> int:
        """Requests that the upstream may be running, including earlier leaders'."""
        return self._dispatched + len(self._occupied_until)

    def find_limit(self, now: float) -> int:
        """
        Compute how many requests the upstream may have in flight.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        int
            At least 1 and at most `slots`.
        """
        if self._warm:
            return self._adaptive_limit
        return max(1, min(self._adaptive_limit, self._compute_warm_up_limit(now)))

    def find_warm_up_age(self, now: float) -> float:
        """Return the seconds since the beginning of the last warm-up."""
        return now - self._warm_up_began_at

    def is_warm(self, now: float) -> bool:
        """
        Return whether the warm-up has ended.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            True if the warm-up limit no longer applies.
        """
        self._compute_warm_up_limit(now)
        return self._warm

    def can_start(self, now: float) -> bool:
        """
        Return whether one more request may be dispatched.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether fewer requests are in flight than allowed.
        """
        occupied = self._occupied_until
        while occupied and occupied[0] <= now:
            heappop(occupied)
        return self._dispatched + len(occupied) < self.find_limit(now)

    def start(self, now: float) -> None:
        """
        Count a request that is being dispatched.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        self._dispatched += 1

    def finish(self, now: float) -> None:
        """
        Stop counting a dispatched request that the upstream no longer runs.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Raises
        ------
        ValueError
            If no request was started.
        """
        if self._dispatched <= 0:
            raise ValueError("no request was started")
        self._dispatched -= 1

    def add_inherited(self, until: float) -> None:
        """
        Count a request of an earlier leader until a given time.

        Parameters
        ----------
        until : float
            Time in seconds by which the request must have ended.
        """
        heappush(self._occupied_until, until)

    def discard_inherited(self, count: int) -> None:
        """
        Stop counting requests of an earlier leader that have ended.

        Parameters
        ----------
        count : int
            Number of requests; those with the latest end are removed first.
        """
        remaining = max(0, len(self._occupied_until) - count)
        self._occupied_until = sorted(self._occupied_until)[:remaining]

    def restart_warm_up(self, now: float) -> None:
        """
        Restart the warm-up.

        Parameters
        ----------
        now : float
            Time in seconds at which the warm-up begins.
        """
        self._begin_warm_up(now)
        self._recent_s = self._usual_s

    def record_shed(self, now: float) -> None:
        """
        Halve the adaptive limit after the upstream shed a request.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        self._decrease(max(1, self._adaptive_limit // 2), now)

    def record_success(
        self, now: float, latency_s: float, idempotent: bool = True
    ) -> None:
        """
        Adjust the limits to the latency of a complete answer.

        Parameters
        ----------
        now : float
            Present time in seconds.
        latency_s : float
            Seconds from dispatch to the whole answer.
        idempotent : bool
            Whether the request was idempotent; the usual latency of other requests may
            be longer.
        """
        if self._slowness.record(latency_s, idempotent):
            self._begin_warm_up(now)
        if idempotent and self._is_slow(latency_s):
            min_limit = ceil(self.slots / 2)
            if self._adaptive_limit > min_limit:
                self._decrease(self._adaptive_limit - 1, now)
            return
        if self._adaptive_limit >= self.slots:
            return
        if now - self._success_since >= INCREASE_INTERVAL_S:
            self._adaptive_limit += 1
            self._success_since = now

    def set_slots(self, slots: int) -> None:
        """
        Change the number of concurrency slots.

        Parameters
        ----------
        slots : int
            Requests that the warm upstream can run concurrently, at least 1.
        """
        if self._adaptive_limit >= self.slots:
            self._adaptive_limit = slots
        self.slots = slots
        self._adaptive_limit = max(1, min(self._adaptive_limit, slots))

    def _begin_warm_up(self, now: float) -> None:
        self._warm_up_began_at = now
        self._warm = self._warm_up_s <= 0

    def _compute_warm_up_limit(self, now: float) -> int:
        if self._warm:
            return self.slots
        elapsed_s = now - self._warm_up_began_at
        if elapsed_s >= self._warm_up_s:
            self._warm = True
            return self.slots
        return int(self.slots * elapsed_s / self._warm_up_s)

    def _decrease(self, limit: int, now: float) -> None:
        self._success_since = now
        if now - self._decreased_at < DECREASE_INTERVAL_S:
            return
        self._decreased_at = now
        self._adaptive_limit = limit

    def _is_slow(self, latency_s: float) -> bool:
        if self._usual_s <= 0.0:
            self._recent_s = self._usual_s = latency_s
            return False
        self._recent_s += RECENT_WEIGHT * (latency_s - self._recent_s)
        self._usual_s += USUAL_WEIGHT * (latency_s - self._usual_s)
        return self._recent_s > max(SLOW_FLOOR_S, SLOW_RATIO * self._usual_s)
