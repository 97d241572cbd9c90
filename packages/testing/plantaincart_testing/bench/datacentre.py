"""Latency and failed calls while a data centre is taken out of service and back."""

from functools import partial

from plantaincart_testing.bench.disruption import apply_data_centre
from plantaincart_testing.bench.figure import FigureCollector
from plantaincart_testing.bench.latency import (
    add_latency,
    count_failures,
    measure_longest_wait,
    select_results,
)
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
from plantaincart_testing.system import LocalSystem

__all__ = ["WORKLOAD", "measure_datacentre"]

RATE = 300.0
KEYS = 30
WRITE_SHARE = 0.2
REMOVED_AT_S = 3.0
RETURNED_AT_S = 8.0
DURATION_S = 14.0
UPSTREAMS_PER_PROCESS = 5
LAST_WORK_TARGET_S = 3.0
_NS_PER_S = 1_000_000_000
SPANS = {
    "before": (0.0, REMOVED_AT_S),
    "out": (REMOVED_AT_S, RETURNED_AT_S),
    "back": (RETURNED_AT_S, DURATION_S),
}
WORKLOAD = (
    f"{RATE:g} calls/s for {DURATION_S:g} s, {KEYS} keys, {WRITE_SHARE:.0%} filings, "
    f"data centre out of service from {REMOVED_AT_S:g} s to {RETURNED_AT_S:g} s"
)


async def measure_datacentre(options: BenchOptions, collector: FigureCollector) -> None:
    """
    Take a data centre out of service under load, and back, by publishing sheets.

    Parameters
    ----------
    options : BenchOptions
        Shape, seed, repeats and folder.
    collector : FigureCollector
        Receives the measured figures.
    """
    for repeat in range(options.repeats):
        seed = options.seed + repeat
        settings = SystemOptions(
            shape=options.shape,
            folder=options.folder / f"datacentre-{repeat}",
            upstreams_per_process=UPSTREAMS_PER_PROCESS,
            seed=seed,
        )
        plan = LoadPlan(
            services=options.shape.services,
            rate=RATE,
            duration_s=DURATION_S,
            write_share=WRITE_SHARE,
            keys=KEYS,
            seed=seed,
        )
        async with make_system(Subject.ROUTER, settings) as system:
            await wait_until_warm(system)
            data_centre = options.shape.data_centres[-1]
            publish_action = partial(apply_data_centre, system, data_centre)
            actions = [
                ScheduledAction(
                    at_s=REMOVED_AT_S, action=partial(publish_action, "out")
                ),
                ScheduledAction(
                    at_s=RETURNED_AT_S, action=partial(publish_action, "in")
                ),
            ]
            report = await run_scenario(system, plan, actions)
        _add_figures(collector, system, data_centre, report)


def _add_figures(
    collector: FigureCollector,
    system: LocalSystem,
    data_centre: str,
    report: ScenarioReport,
) -> None:
    subject = Subject.ROUTER
    failures = count_failures(report.results)
    collector.add("calls failed", subject, "calls", failures.total(), 0.0)
    for span, (since, until) in SPANS.items():
        add_latency(
            collector, span, subject, select_results(report.results, since, until)
        )
    removed_at, returned_at = report.action_times
    longest_wait_s = measure_longest_wait(report.results, removed_at)
    collector.add("longest wait from the leaving on", subject, "s", longest_wait_s)
    last_work_s = _find_last_work_start(
        system, data_centre, report, removed_at, returned_at
    )
    collector.add("last new work there", subject, "s", last_work_s, LAST_WORK_TARGET_S)
    for reason, count in failures.most_common():
        collector.add_note(f"{count} calls {reason}")
    for finding in report.findings:
        collector.add_note(f"breach {finding.rule}: {finding.detail}")


def _find_last_work_start(
    system: LocalSystem,
    data_centre: str,
    report: ScenarioReport,
    removed_at: float,
    returned_at: float,
) -> float:
    upstreams = system.layout.upstreams
    start_times = [
        execution.begin.at_ns / _NS_PER_S - removed_at
        for execution in list_executions(report.events)
        if upstreams[execution.begin.upstream].data_centre == data_centre
    ]
    return max(
        (
            start_time
            for start_time in start_times
            if 0.0 <= start_time < returned_at - removed_at
        ),
        default=0.0,
    )
