"""Time for which a unit of room is used."""

from collections import deque

__all__ = ["UnitUsage"]

# Weight of a further use in the mean.
SMOOTHING = 0.1


class UnitUsage:
    """
    Mean time for which units of room are used, by service.

    Notes
    -----
    Which of several requests at one upstream has ended isn't told. The oldest start is
    taken for it, which leaves the mean as it is.

    Examples
    --------
    >>> usage = UnitUsage()
    >>> usage.find_mean_s("desk")
    0.0
    >>> usage.record_start("u1", now=1.0)
    >>> usage.record_start("u1", now=1.1)
    >>> usage.record_end("u1", "desk", now=1.3)
    >>> round(usage.find_mean_s("desk"), 2)
    0.3
    """

    def __init__(self) -> None:
        self._starts: dict[str, deque[float]] = {}
        self._means: dict[str, float] = {}

    def record_start(self, upstream: str, now: float) -> None:
        """Record that a unit of an upstream begins to be used."""
        self._starts.setdefault(upstream, deque()).append(now)

    def record_end(self, upstream: str, service: str, now: float) -> None:
        """Record that the use of a unit has ended."""
        starts = self._starts.get(upstream)
        if not starts:
            return
        used_s = now - starts.popleft()
        if not starts:
            del self._starts[upstream]
        mean_s = self._means.get(service, used_s)
        self._means[service] = mean_s + SMOOTHING * (used_s - mean_s)

    def forget(self, upstream: str) -> None:
        """Forget an upstream that has ended."""
        self._starts.pop(upstream, None)

    def find_mean_s(self, service: str) -> float:
        """Return the mean in seconds; 0 before any use has ended."""
        return self._means.get(service, 0.0)
