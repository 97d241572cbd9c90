"""Some upstreams are ten times slower, but their load reports show no load."""

from dataclasses import replace
from pathlib import Path

from plantaincart_router.log import parse_line
from plantaincart_schema.generated.settings import BalanceSettings
from plantaincart_testing.bench.subject import wait_until_warm
from plantaincart_testing.call import LoadPlan
from plantaincart_testing.finding import list_executions
from plantaincart_testing.launch import SystemOptions
from plantaincart_testing.scenario import ScheduledAction, find_owner, run_scenario
from plantaincart_testing.shape import SMALL
from plantaincart_testing.system import LocalSystem
from plantaincart_testing.upstream_settings import UpstreamFaults

KEYED, UNKEYED = SMALL.services
SHAPE = replace(SMALL, services=(KEYED, replace(UNKEYED, upstreams=4)), instances=3)
SLOW = UpstreamFaults(
    slow_factor=10.0, slow_for_s=5.0, reported_load=0.0, reported_in_flight=0
)
SLOW_AT_S = 2.0
DETECTION_NS = 10**9
SLOW_PERIOD_NS = 5 * 10**9
END_S = 10.0
PLAN = LoadPlan(
    services=SHAPE.services, rate=120.0, duration_s=END_S, write_share=0.0, keys=300
)


async def test_stragglers_are_avoided(tmp_path: Path) -> None:
    options = SystemOptions(
        shape=SHAPE, folder=tmp_path, upstream={"lookup_s": 0.02, "warm_up_s": 1.0}
    )
    async with LocalSystem(options) as system:
        await wait_until_warm(system)
        owner = await find_owner(system, KEYED.name)
        slow = [owner, f"{UNKEYED.name}-1"]

        async def slow_down() -> None:
            for name in slow:
                await system.control_upstream(name).set_faults(name, SLOW)

        report = await run_scenario(
            system, PLAN, [ScheduledAction(at_s=SLOW_AT_S, action=slow_down)]
        )
        logs = [parse_line(line) for path in system.logs for line in path.open()]
    detected_at_ns = report.action_times_ns[0] + DETECTION_NS
    begins = [
        execution.begin
        for execution in list_executions(report.events)
        if detected_at_ns
        <= execution.begin.at_ns
        < report.action_times_ns[0] + SLOW_PERIOD_NS
    ]
    moves = [
        int(event.fields["count"])
        for event in logs
        if event.event == "slots_moved" and event.fields["cause"] == "balance"
    ]
    unkeyed = [begin for begin in begins if begin.service == UNKEYED.name]
    assert report.findings == []
    assert report.failures == []
    assert sum(begin.upstream in slow for begin in unkeyed) <= 0.05 * len(unkeyed)
    assert 0 < sum(moves) <= BalanceSettings().moves_per_interval * END_S * KEYED.shards
