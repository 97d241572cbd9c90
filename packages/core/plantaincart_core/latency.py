"""Recent latencies of upstreams, and detection of stragglers."""

from bisect import bisect_left
from collections.abc import Mapping
from math import exp2
from statistics import median_low

__all__ = ["LatencyTracker", "find_stragglers"]

# Upper bounds of the histogram's buckets, from 0.1 ms to 105 s; four buckets cover a
# factor of 2.
BUCKET_BOUNDS_S = tuple(0.0001 * 2 ** (number / 4) for number in range(81))
# Ratio to the group's median above which the mean latency makes a straggler.
STRAGGLER_RATIO = 3.0
# Latencies below this number of seconds never make a straggler.
STRAGGLER_FLOOR_S = 0.005


class LatencyTracker:
    """
    Mean and quantiles of recent latencies, weighted by age.

    Parameters
    ----------
    half_life_s : float
        Half-life in seconds of a latency's weight.

    Notes
    -----
    The mean is exponentially weighted. The quantiles are computed from a histogram
    with logarithmic buckets whose counts are halved once per half-life. If no latency
    was recorded for longer than a half-life, the mean is reset, so that a single
    answer shows that a straggler has recovered.

    Examples
    --------
    >>> tracker = LatencyTracker()
    >>> tracker.record(0.010, now=0.0)
    >>> tracker.record(0.030, now=0.0)
    >>> round(tracker.mean(now=0.0), 3)
    0.02
    """

    def __init__(self, half_life_s: float = 2.0) -> None:
        self.half_life_s = half_life_s
        self._sum_s = 0.0
        self._weight = 0.0
        self._recorded_at = float("-inf")
        self._counts = [0.0] * (len(BUCKET_BOUNDS_S) + 1)
        self._total = 0.0
        self._halved_at: float | None = None

    def record(self, latency_s: float, now: float) -> None:
        """
        Record a latency.

        Parameters
        ----------
        latency_s : float
            Seconds from dispatch to the whole answer.
        now : float
            Present time in seconds.
        """
        elapsed_s = now - self._recorded_at
        if elapsed_s > self.half_life_s:
            self._sum_s = self._weight = 0.0
        elif elapsed_s > 0.0:
            decay = exp2(-elapsed_s / self.half_life_s)
            self._sum_s *= decay
            self._weight *= decay
        self._recorded_at = now
        self._sum_s += latency_s
        self._weight += 1.0
        if self._halved_at is None:
            self._halved_at = now
        halvings = (now - self._halved_at) // self.half_life_s
        if halvings >= 1.0:
            self._halve_counts(halvings)
            self._halved_at = now
        self._counts[bisect_left(BUCKET_BOUNDS_S, latency_s)] += 1.0
        self._total += 1.0

    def mean(self, now: float) -> float:
        """
        Compute the mean of the recent latencies.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Seconds. Without a recent latency, the last mean is returned; without any
            latency, 0.
        """
        return self._sum_s / self._weight if self._weight else 0.0

    def is_recent(self, now: float) -> bool:
        """
        Return whether a latency was recorded within the last half-life.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            False if the mean may be out of date.
        """
        return now - self._recorded_at <= self.half_life_s

    def quantile(self, q: float) -> float:
        """
        Compute a quantile of the latencies.

        Parameters
        ----------
        q : float
            Fraction of the latencies at or below the result, from 0 to 1.

        Returns
        -------
        float
            Seconds, rounded up by at most 19 %; 0 without any latency.
        """
        if self._total <= 0.0:
            return 0.0
        above = (1.0 - q) * self._total
        for index in range(len(BUCKET_BOUNDS_S), 0, -1):
            above -= self._counts[index]
            if above < 0.0:
                return BUCKET_BOUNDS_S[min(index, len(BUCKET_BOUNDS_S) - 1)]
        return BUCKET_BOUNDS_S[0]

    def _halve_counts(self, halvings: float) -> None:
        factor = exp2(-halvings)
        self._counts = [count * factor for count in self._counts]
        self._total = sum(self._counts)


def find_stragglers(
    trackers: Mapping[str, LatencyTracker],
    now: float,
    oldest_in_flight: Mapping[str, float],
) -> set[str]:
    """
    Find the upstreams of a group that are much slower than the others.

    Parameters
    ----------
    trackers : mapping of str to LatencyTracker
        Latencies of each upstream of the group.
    now : float
        Present time in seconds.
    oldest_in_flight : mapping of str to float
        Age in seconds of the oldest request in flight, by upstream; upstreams without
        requests in flight are omitted.

    Returns
    -------
    set of str
        Upstreams whose mean latency, or the age of whose oldest request in flight,
        exceeds three times the median of the group's mean latencies.

    Notes
    -----
    For an upstream without a recent latency only the request in flight is considered.
    So a straggler that was avoided is used again after a half-life, and becomes a
    straggler again if it takes too long for a request.
    """
    means = {
        name: tracker.mean(now)
        for name, tracker in trackers.items()
        if tracker.is_recent(now)
    }
    if not means:
        return set()
    bound = max(STRAGGLER_FLOOR_S, STRAGGLER_RATIO * median_low(means.values()))
    stragglers = {name for name, mean in means.items() if mean > bound}
    stragglers.update(name for name, age in oldest_in_flight.items() if age > bound)
    return stragglers
