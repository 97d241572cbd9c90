"""A leader or an owner is killed or frozen under load."""

from pathlib import Path

from plantaincart_testing.call import LoadPlan
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
from pytest import mark

MAX_RECOVERY_S = 3.0
PLAN = LoadPlan(services=SMALL.services, rate=200.0, duration_s=7.0, keys=30)


@mark.parametrize("kind", ["kill", "freeze"])
@mark.parametrize("role", ["leader", "owner"])
async def test_keys_are_served_again(kind: str, role: str, tmp_path: Path) -> None:
    async with LocalSystem(SystemOptions(folder=tmp_path)) as system:
        await wait_until_led(system)
        find = find_leader if role == "leader" else find_owner
        name = await find(system, "returns-ledger")
        actions = [
            ScheduledAction(at_s=1.0, action=lambda: getattr(system, kind)(name))
        ]
        if kind == "freeze":
            actions.append(
                ScheduledAction(at_s=5.0, action=lambda: system.resume(name))
            )
        report = await run_scenario(system, PLAN, actions)
    assert report.findings == []
    assert report.measure_recovery_s() <= MAX_RECOVERY_S
