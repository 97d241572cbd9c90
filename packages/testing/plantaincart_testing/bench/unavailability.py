"""Longest time without answers for a key after each kind of disruption."""

from functools import partial

from plantaincart_testing.bench.disruption import (
    DISRUPTIONS,
    Disruption,
    find_affected_components,
)
from plantaincart_testing.bench.figure import FigureCollector
from plantaincart_testing.bench.latency import count_failures, measure_longest_wait
from plantaincart_testing.bench.subject import (
    BenchOptions,
    Subject,
    make_system,
    wait_until_warm,
)
from plantaincart_testing.call import LoadPlan
from plantaincart_testing.launch import SystemOptions
from plantaincart_testing.scenario import (
    ScenarioReport,
    ScheduledAction,
    run_scenario,
    wait_until_led,
)
from plantaincart_testing.shape import SMALL

__all__ = ["WORKLOAD", "measure_unavailability"]

RATE = 300.0
KEYS = 12
WRITE_SHARE = 0.2
DISRUPTION_AT_S = 1.0
DURATION_S = 6.0
DEADLINE_S = 4.0
WARM_UP_S = 1.0
TARGET_WAIT_S = 3.0
WORKLOAD = (
    f"{RATE:g} calls/s for {DURATION_S:g} s, {KEYS} keys, "
    f"{WRITE_SHARE:.0%} filings, disruption after {DISRUPTION_AT_S:g} s, "
    "a new system for each disruption"
)


async def measure_unavailability(
    options: BenchOptions, collector: FigureCollector
) -> None:
    """
    Measure each kind of disruption on a new system under load.

    Parameters
    ----------
    options : BenchOptions
        Seed, repeats and folder; the shape is always the small one.
    collector : FigureCollector
        Receives the measured figures.
    """
    for repeat in range(options.repeats):
        for kind, disruption in DISRUPTIONS.items():
            await _measure(options, collector, Subject.ROUTER, kind, disruption, repeat)
            if disruption.in_baseline:
                await _measure(
                    options, collector, Subject.TWO_RANDOM, kind, disruption, repeat
                )


async def _measure(
    options: BenchOptions,
    collector: FigureCollector,
    subject: Subject,
    kind: str,
    disruption: Disruption,
    repeat: int,
) -> None:
    seed = options.seed + repeat
    folder = options.folder / f"{subject}-{kind.replace(' ', '-')}-{repeat}"
    plan = LoadPlan(
        services=SMALL.services,
        rate=RATE,
        duration_s=DURATION_S,
        write_share=WRITE_SHARE,
        keys=KEYS,
        deadline_s=DEADLINE_S,
        seed=seed,
    )
    upstream = {"warm_up_s": WARM_UP_S}
    settings = SystemOptions(folder=folder, seed=seed, upstream=upstream)
    async with make_system(subject, settings) as system:
        await (wait_until_led if subject is Subject.ROUTER else wait_until_warm)(system)
        components = await find_affected_components(system)
        act = ScheduledAction(
            at_s=DISRUPTION_AT_S, action=partial(disruption.apply, system, components)
        )
        report = await run_scenario(system, plan, [act])
    _add_figures(collector, subject, kind, disruption, report)


def _add_figures(
    collector: FigureCollector,
    subject: Subject,
    kind: str,
    disruption: Disruption,
    report: ScenarioReport,
) -> None:
    longest_wait_s = measure_longest_wait(report.results, report.action_times[0])
    target_wait_s = TARGET_WAIT_S if disruption.is_single else None
    collector.add(f"{kind}: longest wait", subject, "s", longest_wait_s, target_wait_s)
    failures = count_failures(report.results)
    target_failures = 0.0 if disruption.is_planned else None
    collector.add(
        f"{kind}: calls failed", subject, "calls", failures.total(), target_failures
    )
    for reason, count in failures.most_common():
        collector.add_note(f"{subject}, {kind}: {count} calls {reason}")
    if subject is Subject.ROUTER:
        for finding in report.findings:
            collector.add_note(
                f"{subject}, {kind}: breach {finding.rule}: {finding.detail}"
            )
