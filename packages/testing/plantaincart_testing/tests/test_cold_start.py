"""Upstreams join, restart or become cold under load near the capacity."""

from asyncio import sleep
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path

from plantaincart_testing.bench.subject import wait_until_warm
from plantaincart_testing.call import LoadPlan
from plantaincart_testing.checker import check_cold_start
from plantaincart_testing.launch import SystemOptions
from plantaincart_testing.scenario import ScheduledAction, run_scenario
from plantaincart_testing.shape import SMALL
from plantaincart_testing.sheet import apply_sheet
from plantaincart_testing.system import LocalSystem
from pytest import mark

KEYED = "returns-ledger-3"
UNKEYED = "payments-desk-1"
SHAPE = replace(
    SMALL, services=tuple(replace(service, slots=4) for service in SMALL.services)
)
# Capacity: 320 calls/s for the keyed service and 160 calls/s for the other.
SERVICE_TIMES = {"lookup_s": 0.05, "write_s": 0.05, "cold_factor": 4.0}
PLAN = LoadPlan(
    services=SHAPE.services, rate=300.0, duration_s=9.0, keys=200, deadline_s=2.0
)
Change = Callable[[LocalSystem], Awaitable[None]]


async def restart(system: LocalSystem) -> None:
    for name in (KEYED, UNKEYED):
        system.kill(name)
        await system.restart(name, wait=False)


async def return_later(system: LocalSystem) -> None:
    for name in (KEYED, UNKEYED):
        system.kill(name)
    await sleep(2.0)
    for name in (KEYED, UNKEYED):
        await system.restart(name, wait=False)


async def turn_cold(system: LocalSystem) -> None:
    for name in (KEYED, UNKEYED):
        await system.control_upstream(name).turn_cold(name)


async def lose_data_centre(system: LocalSystem) -> None:
    names = [
        name
        for name, upstream in system.layout.upstreams.items()
        if upstream.data_centre == "north"
    ]
    for name in names:
        system.kill(name)
    await sleep(1.0)
    for name in names:
        await system.restart(name, wait=False)


async def join(system: LocalSystem) -> None:
    header = "kind,name,action"
    names = (KEYED, UNKEYED)
    await apply_sheet(system, header, *(f"upstream,{name},leave" for name in names))
    for name in names:
        system.kill(name)
        await system.restart(name, wait=False)
    await apply_sheet(system, header, *(f"upstream,{name},join" for name in names))


@mark.parametrize("change", [restart, return_later, turn_cold, lose_data_centre, join])
async def test_cold_upstream_never_collapses(change: Change, tmp_path: Path) -> None:
    options = SystemOptions(shape=SHAPE, folder=tmp_path, upstream=SERVICE_TIMES)
    async with LocalSystem(options) as system:
        await wait_until_warm(system)
        act = ScheduledAction(at_s=2.0, action=lambda: change(system))
        report = await run_scenario(system, PLAN, [act])
    assert check_cold_start(report.events) == []
    assert report.findings == []
    assert sum(result.is_success for result in report.results) > 0.5 * len(
        report.results
    )
