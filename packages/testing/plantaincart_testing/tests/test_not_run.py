"""Rejections during two failures, compared with the executions at the upstreams."""

from collections.abc import Awaitable, Callable
from pathlib import Path

from plantaincart_testing.call import LoadPlan
from plantaincart_testing.fault import PlatformFaults
from plantaincart_testing.launch import SystemOptions
from plantaincart_testing.scenario import (
    ScheduledAction,
    find_leader,
    find_owner,
    run_scenario,
    wait_until_led,
)
from plantaincart_testing.shape import SMALL
from plantaincart_testing.system import LocalSystem
from plantaincart_testing.upstream_settings import UpstreamFaults
from pytest import mark

SERVICE = "returns-ledger"
# Short deadlines, so that many requests are rejected.
PLAN = LoadPlan(
    services=SMALL.services,
    rate=150.0,
    duration_s=6.0,
    write_share=0.5,
    keys=30,
    deadline_s=0.8,
)
Failure = Callable[[LocalSystem], Awaitable[None]]


async def kill_leader(system: LocalSystem) -> None:
    system.kill(await find_leader(system, SERVICE))


async def freeze_leader(system: LocalSystem) -> None:
    system.freeze(await find_leader(system, SERVICE))


async def kill_owner(system: LocalSystem) -> None:
    system.kill(await find_owner(system, SERVICE))


async def freeze_owner(system: LocalSystem) -> None:
    system.freeze(await find_owner(system, SERVICE))


async def cut_owner(system: LocalSystem) -> None:
    await system.proxy.cut(await find_owner(system, SERVICE))


async def cut_open_connections(system: LocalSystem) -> None:
    for name in system.layout.upstreams:
        await system.proxy.cut_open(name)


async def shed(system: LocalSystem) -> None:
    for name in system.layout.upstreams:
        await system.control_upstream(name).set_faults(name, UpstreamFaults(shed=True))


async def take_table_down(system: LocalSystem) -> None:
    await system.platform.set_faults(PlatformFaults(down=True))


async def lose_commit_answers(system: LocalSystem) -> None:
    faults = PlatformFaults(lost_answer_rate=0.5, seed=1)
    await system.platform.set_faults(faults)


@mark.parametrize(
    ("first", "second"),
    [
        (kill_owner, kill_leader),
        (freeze_owner, freeze_leader),
        (cut_owner, kill_leader),
        (cut_open_connections, freeze_leader),
        (cut_open_connections, shed),
        (shed, kill_leader),
        (take_table_down, kill_leader),
        (lose_commit_answers, freeze_owner),
    ],
)
async def test_no_verdict_not_run_is_false(
    first: Failure, second: Failure, tmp_path: Path
) -> None:
    options = SystemOptions(folder=tmp_path, proxied=True)
    async with LocalSystem(options) as system:
        await wait_until_led(system)

        def resume() -> None:
            for name in (*system.layout.instances, *system.layout.upstreams):
                system.resume(name)

        actions = [
            ScheduledAction(at_s=0.8, action=lambda: first(system)),
            ScheduledAction(at_s=1.0, action=lambda: second(system)),
            ScheduledAction(at_s=4.5, action=resume),
        ]
        report = await run_scenario(system, PLAN, actions)
    assert report.findings == []
    verdicts = {result.verdict for result in report.results}
    assert "ran" in verdicts
    # With a frozen leader there may be no verdict not-run; shedding always causes it.
    assert verdicts & {"not-run", "may-have-run"}
    assert "not-run" in verdicts or shed not in (first, second)
