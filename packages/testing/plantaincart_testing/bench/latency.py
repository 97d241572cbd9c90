"""Latency and unavailability as seen by callers."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import inf

from hdrh.histogram import HdrHistogram

from plantaincart_testing.bench.figure import FigureCollector
from plantaincart_testing.call import CallResult

__all__ = [
    "LatencySummary",
    "add_latency",
    "count_failures",
    "measure_longest_wait",
    "select_results",
    "summarise_latency",
]

_HIGHEST_TRACKABLE_US = 60_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_S = 1_000_000
_US_PER_MS = 1000


@dataclass(frozen=True, kw_only=True)
class LatencySummary:
    """
    Quantiles of the latency in milliseconds, measured from the intended send time.

    Parameters
    ----------
    count : int
        Number of calls, including failed ones.
    """

    count: int
    p50_ms: float
    p99_ms: float
    p999_ms: float


def summarise_latency(results: Iterable[CallResult]) -> LatencySummary:
    """
    Compute quantiles of the latency of calls.

    Parameters
    ----------
    results : iterable of CallResult
        Calls; a failed call counts with the time until its caller saw the failure.

    Returns
    -------
    LatencySummary
        Number of calls, and quantiles from a histogram with three significant digits.

    References
    ----------
    Tene, HdrHistogram: a high dynamic range histogram, 2012.
    """
    histogram = HdrHistogram(1, _HIGHEST_TRACKABLE_US, _SIGNIFICANT_DIGITS)
    count = 0
    for result in results:
        histogram.record_value(max(1, round(result.latency_s * _US_PER_S)))
        count += 1
    p50, p99, p999 = (
        histogram.get_value_at_percentile(percent) / _US_PER_MS
        for percent in (50.0, 99.0, 99.9)
    )
    return LatencySummary(count=count, p50_ms=p50, p99_ms=p99, p999_ms=p999)


def add_latency(
    collector: FigureCollector, name: str, subject: str, results: Iterable[CallResult]
) -> LatencySummary:
    """Add p50, p99 and p99.9 of the latency of calls to a collector."""
    latency = summarise_latency(results)
    collector.add(f"{name} p50", subject, "ms", latency.p50_ms)
    collector.add(f"{name} p99", subject, "ms", latency.p99_ms)
    collector.add(f"{name} p99.9", subject, "ms", latency.p999_ms)
    return latency


def select_results(
    results: Iterable[CallResult], since: float, until: float, service: str = ""
) -> list[CallResult]:
    """Select calls by their scheduled send time, from `since` to before `until`."""
    return [
        result
        for result in results
        if since <= result.call.at_s < until and service in ("", result.call.service)
    ]


def measure_longest_wait(results: Sequence[CallResult], since: float) -> float:
    """
    Measure the longest time for which callers of a key got no answer.

    Parameters
    ----------
    results : sequence of CallResult
        Results of all calls of a load.
    since : float
        Time of the disruption on the machine's monotonic clock, in seconds.

    Returns
    -------
    float
        Seconds; infinity if a key was called and never answered again. Considers
        each call that was open at the disruption or sent after it. Its wait begins
        when it was sent, or at the disruption if that was later, and ends with the
        first answer to this call or to a later call of the same key.

    Notes
    -----
    Unlike the time from the disruption to the first answer, this includes an
    unavailability that begins some time after the disruption. Only keys that are
    called can be measured, and the interval between calls of a key limits the
    resolution.
    """
    results_by_key: dict[tuple[str, str], list[CallResult]] = defaultdict(list)
    for result in results:
        if result.sent_at > 0:
            results_by_key[result.call.service, result.call.key].append(result)
    longest_wait_s = 0.0
    for key_results in results_by_key.values():
        answered_at = inf
        for result in sorted(
            key_results, key=lambda key_result: key_result.sent_at, reverse=True
        ):
            ended_at = result.sent_at + result.latency_s
            if result.is_success:
                answered_at = min(answered_at, ended_at)
            if ended_at >= since:
                longest_wait_s = max(
                    longest_wait_s, answered_at - max(result.sent_at, since)
                )
    return longest_wait_s


def count_failures(results: Iterable[CallResult]) -> Counter[str]:
    """Count calls without an upstream's answer by outcome, verdict and reason."""
    return Counter(
        f"{result.outcome} {result.verdict} {result.reason}".replace("  ", " ")
        for result in results
        if not result.is_success
    )
