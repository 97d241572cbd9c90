"""Retry budget over a sliding window, divided among the instances and by rank."""

from collections import deque
from copy import deepcopy

from plantaincart_core.rank import Rank

__all__ = ["WindowRetryBudget"]

MOST_URGENT = Rank(0, 0)
# Share of the window over which the present need for retries is measured.
RECENT_SHARE = 0.1
# Weight, in requests, of the need of all ranks in the estimated need of one.
PRIOR_REQUESTS = 5.0
# Largest share of the budget that is kept for more urgent requests, so that the least
# urgent ones have a quarter.
MAX_RESERVED_SHARE = 0.75


class WindowRetryBudget:
    """
    Limit retries in proportion to the requests of a sliding window.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request.
    extra : float
        Additional retries allowed in each window, by all instances together.
    window_s : float
        Length of the window in seconds.

    Notes
    -----
    Each instance counts its own requests and is allowed an equal share of `extra`.

    Retries that more urgent requests are expected to need are kept for them. The need
    of a rank is its share of requests that have asked for a retry lately, applied to
    all its requests of the window, less the retries that it was given. If more urgent
    requests need no retries, nothing is kept.

    Examples
    --------
    >>> budget = WindowRetryBudget(ratio=0.5, extra=1.0, window_s=10.0)
    >>> budget.record_request(now=0.0)
    >>> budget.record_request(now=0.0)
    >>> [budget.spend(now=1.0, instances=1) for _ in range(3)]
    [True, True, False]
    >>> budget.spend(now=12.0, instances=1)
    True
    """

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window_s = window_s
        self._ranks: dict[Rank, _RankWindow] = {}

    def record_request(self, now: float, rank: Rank = MOST_URGENT) -> None:
        """Count a request of a caller."""
        window = self._find(rank)
        window.requests.append(now)
        window.recent_requests.append(now)
        window.discard_before(now - self.window_s, now - RECENT_SHARE * self.window_s)

    def spend(self, now: float, instances: int, rank: Rank = MOST_URGENT) -> bool:
        """
        Count a retry against the budget, if the budget allows it.

        Parameters
        ----------
        now : float
            Present time in seconds.
        instances : int
            Instances that share the budget, at least 1.
        rank : Rank
            Rank of the request.

        Returns
        -------
        bool
            Whether the retry is within the budget.
        """
        self._discard_old(now)
        own = self._find(rank)
        own.recent_wanted.append(now)
        if self._find_left(instances, rank) < 1.0:
            return False
        own.retries.append(now)
        return True

    def estimate_left(self, now: float, instances: int, rank: Rank) -> float:
        """
        Return the retries that are left for requests of a rank; nothing is spent.

        Parameters
        ----------
        now : float
            Present time in seconds.
        instances : int
            Instances that share the budget, at least 1.
        rank : Rank
            Rank of the requests.
        """
        copied = deepcopy(self)
        copied._discard_old(now)
        return max(0.0, copied._find_left(instances, rank))

    def _find_left(self, instances: int, rank: Rank) -> float:
        windows = self._ranks.values()
        requests = sum(len(window.requests) for window in windows)
        retries = sum(len(window.retries) for window in windows)
        allowed = self.ratio * requests + self.extra / max(1, instances)
        return allowed - retries - self._estimate_reserve(rank, allowed)

    def _discard_old(self, now: float) -> None:
        for window in self._ranks.values():
            window.discard_before(
                now - self.window_s, now - RECENT_SHARE * self.window_s
            )

    def _estimate_reserve(self, rank: Rank, allowed: float) -> float:
        """Return the retries kept for requests that are more urgent than a rank."""
        urgent = [window for other, window in self._ranks.items() if other < rank]
        if not urgent:
            return 0.0
        windows = self._ranks.values()
        recent = sum(len(window.recent_requests) for window in windows)
        wanted = sum(len(window.recent_wanted) for window in windows)
        mean_share = min(1.0, wanted / max(1, recent))
        reserve = sum(
            max(0.0, window.estimate_need(mean_share) - len(window.retries))
            for window in urgent
        )
        return min(reserve, MAX_RESERVED_SHARE * allowed)

    def _find(self, rank: Rank) -> "_RankWindow":
        window = self._ranks.get(rank)
        if window is None:
            window = self._ranks[rank] = _RankWindow()
        return window


class _RankWindow:
    """Requests and retries of one rank."""

    __slots__ = ("recent_requests", "recent_wanted", "requests", "retries")

    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()
        self.recent_requests: deque[float] = deque()
        self.recent_wanted: deque[float] = deque()

    def discard_before(self, start: float, recent_start: float) -> None:
        for times in (self.requests, self.retries):
            _discard_before(times, start)
        for times in (self.recent_requests, self.recent_wanted):
            _discard_before(times, recent_start)

    def estimate_need(self, mean_share: float) -> float:
        """Estimate the retries that the requests of a whole window need."""
        wanted = len(self.recent_wanted) + PRIOR_REQUESTS * mean_share
        share = wanted / (len(self.recent_requests) + PRIOR_REQUESTS)
        return min(1.0, share) * len(self.requests)


def _discard_before(times: deque[float], start: float) -> None:
    while times and times[0] < start:
        times.popleft()
