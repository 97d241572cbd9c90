"""Counters and histograms of one instance, exported in the Prometheus format."""

from bisect import bisect_left
from collections.abc import Callable, Iterable, Mapping

__all__ = ["RouterMetrics"]

# Upper bounds in seconds of the histogram buckets.
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)

# Names, help texts and labels of all metrics. Label values are passed in this order.
COUNTERS = {
    "requests": ("Requests ended", ("route", "status", "outcome")),
    "attempts": ("Requests sent to upstreams", ("service", "result")),
    "relayed": ("Requests sent through another instance", ("outcome",)),
    "relays": ("Requests sent to upstreams for other instances", ("outcome",)),
    "account_requests": ("Requests of accounts with a quota", ("account", "result")),
    "unknown_keys": ("Requests without the key of an account", ("route",)),
    "quarantined": ("Requests refused since upstreams ended under them", ("service",)),
    "silent": ("Attempts without a byte of an answer", ("service", "result")),
    "rank_cut": ("Requests that the share of their rank didn't admit", ("service",)),
    "attempts_at_full": ("Requests that full upstreams turned away", ("service",)),
    "repeats_denied": ("Repeats that the retry budget didn't allow", ("service",)),
}
HISTOGRAMS = {
    "request_seconds": ("Time from the whole request to its answer", ("route",)),
    "upstream_seconds": ("Time from sending to the whole answer", ("service",)),
    "entry_wait_seconds": ("Time that requests waited for room", ("service",)),
    "park_seconds": ("Time that requests waited for keys that move", ("service",)),
}

Gauges = Callable[[], Mapping[str, tuple[str, float]]]


class _Histogram:
    """Number of observations by bucket, and their sum."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.total = 0.0

    def observe(self, seconds: float) -> None:
        self.counts[bisect_left(BUCKETS_S, seconds)] += 1
        self.total += seconds

    def accumulate(self) -> list[tuple[str, float]]:
        bounds = [*(str(bound) for bound in BUCKETS_S), "+Inf"]
        cumulative, rows = 0, []
        for bound, count in zip(bounds, self.counts, strict=True):
            cumulative += count
            rows.append((bound, float(cumulative)))
        return rows


class RouterMetrics:
    """
    Counters and histograms. An update costs one dictionary access.

    Parameters
    ----------
    read_gauges : callable
        Returns help text and value by gauge name; called when metrics are rendered.

    Notes
    -----
    The Prometheus library is imported when metrics are first rendered. The import takes
    0.1 s and 4 MB, which would otherwise delay every restart.

    Examples
    --------
    >>> metrics = RouterMetrics(lambda: {"members": ("Live instances", 3.0)})
    >>> metrics.count("attempts", "desk", "answered")
    >>> metrics.observe("upstream_seconds", 0.02, "desk")
    >>> text = metrics.render().decode()
    >>> 'plantaincart_attempts_total{result="answered",service="desk"} 1.0' in text
    True
    >>> 'plantaincart_members 3.0' in text
    True
    """

    def __init__(self, read_gauges: Gauges) -> None:
        self._read_gauges = read_gauges
        self._counts: dict[str, dict[tuple[str, ...], float]] = {
            name: {} for name in COUNTERS
        }
        self._histograms: dict[str, dict[tuple[str, ...], _Histogram]] = {
            name: {} for name in HISTOGRAMS
        }

    def count(self, name: str, *labels: str) -> None:
        """Add one to a counter of `COUNTERS`."""
        counts = self._counts[name]
        counts[labels] = counts.get(labels, 0.0) + 1.0

    def observe(self, name: str, seconds: float, *labels: str) -> None:
        """Add a time to a histogram of `HISTOGRAMS`."""
        times = self._histograms[name]
        histogram = times.get(labels)
        if histogram is None:
            histogram = times[labels] = _Histogram()
        histogram.observe(seconds)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)  # type: ignore[arg-type]
        return generate_latest(registry)

    def collect(self) -> Iterable[object]:
        """Yield the metric families, as a collector of the Prometheus library."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        for name, (text, labels) in COUNTERS.items():
            counter = CounterMetricFamily(f"plantaincart_{name}", text, labels=labels)
            for values, count in self._counts[name].items():
                counter.add_metric(values, count)
            yield counter
        for name, (text, labels) in HISTOGRAMS.items():
            family = HistogramMetricFamily(f"plantaincart_{name}", text, labels=labels)
            for values, histogram in self._histograms[name].items():
                family.add_metric(values, histogram.accumulate(), histogram.total)
            yield family
        for name, (text, value) in self._read_gauges().items():
            yield GaugeMetricFamily(f"plantaincart_{name}", text, value=value)
