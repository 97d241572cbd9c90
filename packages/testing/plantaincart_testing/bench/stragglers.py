"""Tail latency while a tenth of the upstreams respond ten times as slowly."""

from functools import partial
from random import Random

from plantaincart_testing.bench.figure import FigureCollector
from plantaincart_testing.bench.latency import (
    add_latency,
    count_failures,
    select_results,
)
from plantaincart_testing.bench.subject import (
    BenchOptions,
    Subject,
    make_system,
    wait_until_warm,
)
from plantaincart_testing.call import LoadPlan
from plantaincart_testing.launch import SystemOptions
from plantaincart_testing.scenario import ScenarioReport, ScheduledAction, run_scenario
from plantaincart_testing.system import LocalSystem
from plantaincart_testing.upstream_settings import UpstreamFaults

__all__ = ["WORKLOAD", "choose_stragglers", "measure_stragglers"]

RATE = 400.0
KEYS = 1000
SERVICE_TIME_S = 0.02
WARM_UP_S = 1.0
STRAGGLER_SHARE = 0.1
SLOW_FACTOR = 10.0
SLOWDOWN_AT_S = 6.0
DURATION_S = 12.0
UPSTREAMS_PER_PROCESS = 5
TARGET_P99_RATIO = 1.5
WORKLOAD = (
    f"{RATE:g} lookups/s for {DURATION_S:g} s over all services, {KEYS} keys, mean "
    f"service time {SERVICE_TIME_S * 1000:g} ms, {STRAGGLER_SHARE:.0%} of each "
    f"service's upstreams slowed down by a factor of {SLOW_FACTOR:g} from "
    f"{SLOWDOWN_AT_S:g} s on"
)


async def measure_stragglers(options: BenchOptions, collector: FigureCollector) -> None:
    """
    Compare the latency of calls before and after upstreams become stragglers.

    Parameters
    ----------
    options : BenchOptions
        Shape, seed, repeats and folder.
    collector : FigureCollector
        Receives the measured figures.
    """
    for repeat in range(options.repeats):
        for subject in Subject:
            await _measure(options, collector, subject, repeat)


def choose_stragglers(system: LocalSystem, seed: int) -> list[str]:
    """
    Choose a tenth of each service's upstreams, at least one.

    Parameters
    ----------
    system : LocalSystem
        System whose upstreams are chosen from.
    seed : int
        Seed of the random choice.

    Returns
    -------
    list of str
        Names of the chosen upstreams.
    """
    random = Random(seed)
    straggler_names: list[str] = []
    for service in system.options.shape.services:
        places = system.layout.upstreams.values()
        names = [place.name for place in places if place.service is service]
        straggler_names += random.sample(
            names, max(1, round(STRAGGLER_SHARE * len(names)))
        )
    return straggler_names


async def _measure(
    options: BenchOptions, collector: FigureCollector, subject: Subject, repeat: int
) -> None:
    seed = options.seed + repeat
    settings = SystemOptions(
        shape=options.shape,
        folder=options.folder / f"stragglers-{subject}-{repeat}",
        upstreams_per_process=UPSTREAMS_PER_PROCESS,
        upstream={"lookup_s": SERVICE_TIME_S, "warm_up_s": WARM_UP_S},
        seed=seed,
    )
    plan = LoadPlan(
        services=options.shape.services,
        rate=RATE,
        duration_s=DURATION_S,
        write_share=0.0,
        keys=KEYS,
        seed=seed,
    )
    async with make_system(subject, settings) as system:
        await wait_until_warm(system)
        names = choose_stragglers(system, seed)
        act = ScheduledAction(
            at_s=SLOWDOWN_AT_S, action=partial(_slow_upstreams_down, system, names)
        )
        report = await run_scenario(system, plan, [act])
    _add_figures(collector, options, subject, report)


async def _slow_upstreams_down(system: LocalSystem, names: list[str]) -> None:
    for name in names:
        faults = UpstreamFaults(slow_factor=SLOW_FACTOR)
        await system.control_upstream(name).set_faults(name, faults)


def _add_figures(
    collector: FigureCollector,
    options: BenchOptions,
    subject: Subject,
    report: ScenarioReport,
) -> None:
    for service in options.shape.services:
        kind = "keyed" if service.keyed else "unkeyed"
        spans = {
            "none": (0.0, SLOWDOWN_AT_S),
            "stragglers": (SLOWDOWN_AT_S, DURATION_S),
        }
        latencies = {}
        for span, (since, until) in spans.items():
            results = select_results(report.results, since, until, service.name)
            latencies[span] = add_latency(
                collector, f"{kind}, {span}:", subject, results
            )
        ratio = latencies["stragglers"].p99_ms / latencies["none"].p99_ms
        target = None if service.keyed else TARGET_P99_RATIO
        collector.add(f"{kind}: ratio of p99", subject, "", ratio, target)
    for reason, count in count_failures(report.results).most_common():
        collector.add_note(f"{subject}: {count} calls {reason}")
