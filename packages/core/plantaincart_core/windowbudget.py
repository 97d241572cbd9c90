"""Retry budget over a sliding window, divided among the instances."""

from collections import deque

__all__ = ["WindowRetryBudget"]


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
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        _discard_before(self._requests, now - self.window_s)

    def spend(self, now: float, instances: int) -> bool:
        """
        Count a retry against the budget, if the budget allows it.

        Parameters
        ----------
        now : float
            Present time in seconds.
        instances : int
            Instances that share the budget, at least 1.

        Returns
        -------
        bool
            Whether the retry is within the budget.
        """
        _discard_before(self._requests, now - self.window_s)
        _discard_before(self._retries, now - self.window_s)
        allowed = self.ratio * len(self._requests) + self.extra / max(1, instances)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True


def _discard_before(times: deque[float], start: float) -> None:
    while times and times[0] < start:
        times.popleft()
