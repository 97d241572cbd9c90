"""A request waits in the socket buffer of a frozen leader that keeps its lease."""

from asyncio import sleep
from pathlib import Path
from time import monotonic_ns

from plantaincart_core.slot import find_shard, find_slot
from plantaincart_testing.call import Call, Outcome
from plantaincart_testing.checker import check_history
from plantaincart_testing.client import Caller
from plantaincart_testing.history import EventKind
from plantaincart_testing.launch import SystemOptions
from plantaincart_testing.scenario import find_leader, wait_until_led
from plantaincart_testing.system import LocalSystem

DEADLINE_S = 0.5
FROZEN_S = 0.9
KEY = next(
    key for key in map(str, range(99)) if not find_shard(find_slot(key, 256), 256, 2)
)


async def test_request_does_not_run_after_its_deadline(tmp_path: Path) -> None:
    # The lease doesn't expire during the freeze, so only the deadline prevents the run.
    options = SystemOptions(folder=tmp_path, settings={"lease": {"ttl_s": 6.0}})
    async with LocalSystem(options) as system:
        await wait_until_led(system)
        leader = await find_leader(system, "returns-ledger")
        entry = next(
            instance.entry
            for name, instance in system.layout.instances.items()
            if name != leader
        )
        caller = Caller([entry])
        call = Call(
            service="returns-ledger",
            method="POST",
            target=f"/returns-ledger/{KEY}/filings",
            key=KEY,
            body=b"{}",
            idempotency_key="stale",
            deadline_s=DEADLINE_S,
        )
        system.freeze(leader)
        expires_at_ns = monotonic_ns() + int((DEADLINE_S + 0.05) * 1e9)
        result = await caller.send(call)
        assert (result.outcome, result.verdict) == (Outcome.REFUSED, "may-have-run")
        await sleep(FROZEN_S - DEADLINE_S)
        system.resume(leader)
        await sleep(1.0)
        begins = [
            event
            for event in system.read_history()
            if event.kind is EventKind.BEGIN and event.idempotency_key == "stale"
        ]
        assert [event for event in begins if event.at_ns > expires_at_ns] == []
        resent = await caller.send_until_answered(call, 5.0)
        events = system.read_history()
    assert resent[-1].is_success
    assert check_history(events, caller.results, ["payments-desk"]) == []
