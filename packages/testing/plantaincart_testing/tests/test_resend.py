"""A caller resends a filing while its leader or the table fails."""

from asyncio import create_task, get_running_loop, sleep
from collections.abc import Awaitable, Callable
from pathlib import Path

from plantaincart_core.slot import find_shard, find_slot
from plantaincart_testing.call import Call, CallResult
from plantaincart_testing.checker import check_history
from plantaincart_testing.client import Caller
from plantaincart_testing.fault import PlatformFaults
from plantaincart_testing.history import EventKind
from plantaincart_testing.launch import SystemOptions
from plantaincart_testing.scenario import find_leader, wait_until_led
from plantaincart_testing.system import LocalSystem
from pytest import mark

SERVICE = "returns-ledger"
SERVICE_TIME_S = 1.5
DEADLINE_S = 6.0
FINAL_RESULT_TIMEOUT_S = 12.0
KEY = next(k for k in map(str, range(99)) if not find_shard(find_slot(k, 256), 256, 2))
CALL = Call(
    service=SERVICE,
    method="POST",
    target=f"/{SERVICE}/{KEY}/filings",
    key=KEY,
    body=b"{}",
    idempotency_key="once",
    deadline_s=DEADLINE_S,
)
OTHER_BODY = Call(
    service=SERVICE,
    method="POST",
    target=CALL.target,
    key=KEY,
    body=b'{"tonnes":2}',
    idempotency_key="once",
    deadline_s=DEADLINE_S,
)

Failure = Callable[[LocalSystem, str], Awaitable[None]]


# Time until a frozen leader or an unreachable table is available again.
RECOVERS_AFTER_S = 3.0


async def no_failure(system: LocalSystem, leader: str) -> None:
    pass


async def stop_leader(system: LocalSystem, leader: str) -> None:
    system.terminate(leader)


async def kill_leader(system: LocalSystem, leader: str) -> None:
    system.kill(leader)


async def freeze_leader(system: LocalSystem, leader: str) -> None:
    system.freeze(leader)
    get_running_loop().call_later(RECOVERS_AFTER_S, system.resume, leader)


async def take_table_down(system: LocalSystem, leader: str) -> None:
    outage = PlatformFaults(flap_period_s=1e6, flap_down_share=RECOVERS_AFTER_S / 1e6)
    await system.platform.set_faults(outage)


async def take_table_down_and_kill_leader(system: LocalSystem, leader: str) -> None:
    await take_table_down(system, leader)
    await sleep(0.3)
    system.kill(leader)


@mark.parametrize(
    ("fail", "is_answer_kept"),
    [
        (no_failure, True),
        (stop_leader, True),
        (kill_leader, False),
        (freeze_leader, False),
        (take_table_down, True),
        (take_table_down_and_kill_leader, False),
    ],
)
async def test_a_filing_runs_once(
    fail: Failure, is_answer_kept: bool, tmp_path: Path
) -> None:
    options = SystemOptions(
        folder=tmp_path,
        upstream={"write_s": SERVICE_TIME_S, "spread": 0.0, "warm_up_s": 0.0},
    )
    async with LocalSystem(options) as system:
        await wait_until_led(system)
        leader = await find_leader(system, SERVICE)
        entries = [
            instance.entry
            for name, instance in system.layout.instances.items()
            if name != leader
        ]
        caller = Caller(entries)
        original = create_task(caller.send(CALL, entries[0]))
        await sleep(SERVICE_TIME_S / 3)
        await fail(system, leader)
        resent = create_task(caller.send(CALL, entries[1]))
        with_other_body = create_task(caller.send(OTHER_BODY, entries[2]))
        results = [await original, await resent]
        results += await caller.send_until_answered(CALL, FINAL_RESULT_TIMEOUT_S)
        await with_other_body
        events = system.read_history()
    runs = [event for event in events if event.kind is EventKind.BEGIN]
    assert check_history(events, caller.results, ["payments-desk"]) == []
    assert [run.idempotency_key for run in runs if run.key == KEY] == ["once"]
    assert (with_other_body.result().status, with_other_body.result().verdict) == (
        422,
        "not-run",
    )
    if is_answer_kept:
        assert_same_answer(results)
    else:
        assert_success_or_unknown(results)


def assert_same_answer(results: list[CallResult]) -> None:
    assert results[0].is_success
    assert results[-1].is_success
    answers = {result.echo.execution for result in results if result.echo}
    assert answers == {1}


def assert_success_or_unknown(results: list[CallResult]) -> None:
    for result in results:
        assert result.is_success or result.verdict == "may-have-run"
