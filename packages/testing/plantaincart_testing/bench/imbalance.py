"""Imbalance of the work done by the upstreams of a keyed service."""

from collections import Counter
from collections.abc import Iterable, Mapping

from plantaincart_core.slot import find_slot

from plantaincart_testing.bench.figure import FigureCollector
from plantaincart_testing.bench.latency import count_failures
from plantaincart_testing.bench.slot_owners import read_owners
from plantaincart_testing.bench.subject import (
    BenchOptions,
    Subject,
    make_system,
    wait_until_warm,
)
from plantaincart_testing.call import LoadPlan
from plantaincart_testing.finding import list_executions
from plantaincart_testing.launch import SystemOptions
from plantaincart_testing.scenario import ScenarioReport, ScheduledAction, run_scenario
from plantaincart_testing.shape import ServiceShape

__all__ = ["WORKLOAD", "compute_imbalance", "measure_imbalance", "compute_key_shares"]

RATE = 500.0
KEYS = 10_000
SERVICE_TIME_S = 0.01
WARM_UP_S = 1.0
SETTLE_S = 6.0
COUNT_S = 8.0
UPSTREAMS_PER_PROCESS = 5
HOT_SHARE_BY_DISTRIBUTION = {"uniform": 0.0, "hottest 1% with half": 0.5}
TARGET_BY_DISTRIBUTION = {"uniform": 1.15, "hottest 1% with half": 1.5}
WORKLOAD = (
    f"first keyed service, {RATE:g} lookups/s, {KEYS} keys, service time "
    f"{SERVICE_TIME_S * 1000:g} ms; work counted for {COUNT_S:g} s "
    f"after the first {SETTLE_S:g} s"
)


async def measure_imbalance(options: BenchOptions, collector: FigureCollector) -> None:
    """
    Measure the ratio of the highest to the mean work of the upstreams.

    Parameters
    ----------
    options : BenchOptions
        Shape, seed, repeats and folder.
    collector : FigureCollector
        Receives the figures: the imbalance of the work done, which depends on the
        random arrivals, and for the router also the imbalance expected from the
        slot owners at the end of the load.
    """
    for repeat in range(options.repeats):
        for distribution in HOT_SHARE_BY_DISTRIBUTION:
            for subject in Subject:
                await _measure(options, collector, subject, distribution, repeat)


def compute_imbalance(
    work_by_upstream: Mapping[str, float], names: Iterable[str]
) -> float:
    """
    Return the ratio of the highest to the mean work.

    Parameters
    ----------
    work_by_upstream : mapping of str to float
        Work of each upstream.
    names : iterable of str
        Names of all upstreams, including those without work.

    Returns
    -------
    float
        Ratio: 1 for perfect balance, 0 if no work was done.

    Examples
    --------
    >>> compute_imbalance({"a": 3.0, "b": 1.0}, ["a", "b", "c", "d"])
    3.0
    """
    amounts = [work_by_upstream.get(name, 0.0) for name in names]
    mean = sum(amounts) / len(amounts)
    return max(amounts) / mean if mean else 0.0


def compute_key_shares(keys: int, hot_share: float) -> dict[str, float]:
    """
    Return the share of calls that each key of a load gets.

    Parameters
    ----------
    keys : int
        Number of keys.
    hot_share : float
        Share of calls that go only to the hot keys, which are the first hundredth of
        the keys; the other calls are spread evenly over all keys.

    Returns
    -------
    dict of str to float
        Share of each key; the shares add up to 1.

    Examples
    --------
    >>> shares = compute_key_shares(200, 0.5)
    >>> round(shares["k0"] / shares["k2"])
    101
    """
    hot_keys = max(1, keys // 100)
    base_share = (1 - hot_share) / keys
    return {
        f"k{number}": base_share + (hot_share / hot_keys if number < hot_keys else 0.0)
        for number in range(keys)
    }


async def _measure(
    options: BenchOptions,
    collector: FigureCollector,
    subject: Subject,
    distribution: str,
    repeat: int,
) -> None:
    seed = options.seed + repeat
    service = next(candidate for candidate in options.shape.services if candidate.keyed)
    name = f"imbalance-{subject}-{distribution.split()[0]}-{repeat}"
    settings = SystemOptions(
        shape=options.shape,
        folder=options.folder / name,
        upstreams_per_process=UPSTREAMS_PER_PROCESS,
        upstream={
            "lookup_s": SERVICE_TIME_S,
            "spread": 0.0,
            "warm_up_s": WARM_UP_S,
        },
        seed=seed,
    )
    plan = LoadPlan(
        services=[service],
        rate=RATE,
        duration_s=SETTLE_S + COUNT_S,
        write_share=0.0,
        keys=KEYS,
        hot_share=HOT_SHARE_BY_DISTRIBUTION[distribution],
        seed=seed,
    )
    async with make_system(subject, settings) as system:
        await wait_until_warm(system)
        # The act changes nothing: its time marks the end of the settling period, after
        # which executions are counted.
        report = await run_scenario(
            system, plan, [ScheduledAction(at_s=SETTLE_S, action=lambda: None)]
        )
        owners = await read_owners(system, service.name)
        places = system.layout.upstreams.values()
        names = [place.name for place in places if place.service is service]
    work_by_upstream = _sum_planned_work(report)
    collector.add(
        f"{distribution}: done",
        subject,
        "",
        compute_imbalance(work_by_upstream, names),
        TARGET_BY_DISTRIBUTION[distribution],
    )
    if subject is Subject.ROUTER:
        expected_shares = _compute_expected_shares(
            service, owners, HOT_SHARE_BY_DISTRIBUTION[distribution]
        )
        expected_imbalance = compute_imbalance(expected_shares, names)
        collector.add(
            f"{distribution}: expected from owners",
            subject,
            "",
            expected_imbalance,
            TARGET_BY_DISTRIBUTION[distribution],
        )
    for reason, count in count_failures(report.results).most_common():
        collector.add_note(f"{subject}, {distribution}: {count} calls {reason}")


def _sum_planned_work(report: ScenarioReport) -> Counter[str]:
    work_by_upstream: Counter[str] = Counter()
    for execution in list_executions(report.events):
        if execution.begin.at_ns >= report.action_times_ns[0]:
            work_by_upstream[execution.begin.upstream] += execution.begin.planned_ns
    return work_by_upstream


def _compute_expected_shares(
    service: ServiceShape, owners: Mapping[int, str], hot_share: float
) -> dict[str, float]:
    shares: dict[str, float] = {}
    for key, share in compute_key_shares(KEYS, hot_share).items():
        owner = owners.get(find_slot(key, service.key_slots), "")
        shares[owner] = shares.get(owner, 0.0) + share
    return shares
