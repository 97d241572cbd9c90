from random import Random

from plantaincart_core.latency import LatencyTracker, find_stragglers
from pytest import approx, mark


def make_tracker(
    latency_s: float, until: float = 10.0, count: int = 200
) -> LatencyTracker:
    tracker = LatencyTracker(half_life_s=2.0)
    for number in range(count):
        tracker.record(latency_s, until - (count - number) * 0.01)
    return tracker


@mark.parametrize("q", [0.5, 0.9, 0.99])
def test_quantiles_are_accurate_and_rounded_up(q: float) -> None:
    random = Random(1)
    tracker = LatencyTracker(half_life_s=1000.0)
    values = [random.lognormvariate(-5.0, 0.8) for _ in range(5000)]
    for value in values:
        tracker.record(value, 1.0)
    exact = sorted(values)[int(q * len(values))]
    assert exact * 0.99 <= tracker.quantile(q) <= exact * 1.2


@mark.parametrize(("latency_s", "at_most"), [(1e-6, 1e-4), (0.003, 0.0036), (1e3, 105)])
def test_quantile_of_equal_latencies(latency_s: float, at_most: float) -> None:
    tracker = make_tracker(latency_s)
    assert 0 < tracker.quantile(0.5) == tracker.quantile(1.0) <= at_most


def test_tracker_without_latencies_returns_zero() -> None:
    tracker = LatencyTracker()
    assert (tracker.mean(1.0), tracker.quantile(0.9)) == (0.0, 0.0)
    assert not tracker.is_recent(1.0)


def test_mean_and_quantile_follow_a_change() -> None:
    tracker = make_tracker(0.01)
    for number in range(200):
        tracker.record(0.1, 10.0 + number * 0.01)
    assert tracker.mean(12.0) == approx(0.07, abs=0.01)
    for number in range(2000):
        tracker.record(0.1, 12.0 + number * 0.01)
    assert tracker.mean(32.0) == approx(0.1, rel=0.01)
    assert tracker.quantile(0.1) > 0.09


def test_mean_is_reset_after_a_half_life_without_latencies() -> None:
    tracker = make_tracker(0.5, until=10.0)
    tracker.record(0.01, 12.1)
    assert tracker.mean(12.1) == approx(0.01)


FAST = ("a", "b", "c")


@mark.parametrize(
    ("slow_s", "slow_until", "oldest_in_flight", "stragglers"),
    [
        (0.100, 10.0, {}, {"d"}),
        (0.029, 10.0, {}, set()),
        (0.100, 7.9, {}, set()),
        (0.100, 7.9, {"d": 0.05}, {"d"}),
        (0.010, 10.0, {"d": 0.02, "a": 0.05}, {"a"}),
        (0.010, 10.0, {"new": 0.05}, {"new"}),
    ],
)
def test_stragglers(
    slow_s: float,
    slow_until: float,
    oldest_in_flight: dict[str, float],
    stragglers: set[str],
) -> None:
    trackers = {name: make_tracker(0.010) for name in FAST}
    trackers["d"] = make_tracker(slow_s, until=slow_until)
    assert find_stragglers(trackers, 10.0, oldest_in_flight) == stragglers


def test_stragglers_of_small_groups_and_below_the_floor() -> None:
    assert find_stragglers(
        {"a": make_tracker(0.01), "b": make_tracker(0.1)}, 10.0, {}
    ) == {"b"}
    assert (
        find_stragglers({"a": make_tracker(1e-5), "b": make_tracker(0.004)}, 10.0, {})
        == set()
    )
    assert find_stragglers({}, 10.0, {"a": 9.0}) == set()
