"""Malformed rows are written into the table of a running system."""

from asyncio import sleep
from pathlib import Path

from plantaincart_router.event import parse_line
from plantaincart_router.platform.table import HttpTable
from plantaincart_schema.codec import encode_json
from plantaincart_schema.generated.platform import Transaction, Write
from plantaincart_testing.call import LoadPlan, make_calls
from plantaincart_testing.client import Caller
from plantaincart_testing.launch import SystemOptions
from plantaincart_testing.scenario import find_leader, wait_until_led
from plantaincart_testing.shape import SMALL
from plantaincart_testing.system import LocalSystem
from pytest import mark

# Time until instances have read the row, including a takeover that reads records.
ROW_READ_AFTER_S = 3.0
DEEP = b"[" * 100_000
BAD_ROW = {
    "service": "returns-ledger",
    "shard": 0,
    "leader": "nobody",
    "incarnation": "",
    "epoch": 2**60,
    "assignment_version": -1,
    "successors": [""],
    "assignments": [{"upstream": "none", "slots": [-1, 2**40]}],
}
BAD_BATCH = {"records": [{"service": 1}], "newest_at": 0}
BAD_SERVICE = {"name": "s", "key": {"source": "none"}, "slots": 0, "shards": 0}
BAD_CONFIGURATION = {
    "version": 9,
    "write_id": "w",
    "applied_by": "x",
    "services": [BAD_SERVICE],
    "data_centres": [],
    "upstreams": [],
}
ROWS = [
    ("configuration/current", b"\xff\x00", True),
    ("configuration/current", DEEP, True),
    ("configuration/current", b'{"version": "1"}', True),
    ("configuration/current", encode_json(BAD_CONFIGURATION), True),
    # No instance reads this row, since the instance list has no i9.
    ("leases/i9", b"{}", False),
    ("leases/i1", b"null", True),
    ("shards/payments-desk/0", b"{]", True),
    # Matches the schema; the shard has no leader until an operator repairs the row.
    ("shards/returns-ledger/0", encode_json(BAD_ROW), False),
    # Read only by the next leader of the shard, so the current one is killed.
    ("records/payments-desk/0/00000001-00000001", encode_json(BAD_BATCH), True),
]


async def write_row(system: LocalSystem, key: str, value: bytes) -> None:
    address = system.layout.platform
    table = HttpTable(address.host, address.port, 1.0)
    writes = [Write(key=key, value=value)]
    transaction = Transaction(write_id="bad", conditions=[], writes=writes)
    try:
        assert (await table.commit(transaction)).committed
    finally:
        table.close()


@mark.parametrize(
    ("key", "value", "is_logged"),
    ROWS,
    ids=[f"{row[0]}-{number}" for number, row in enumerate(ROWS)],
)
async def test_no_instance_ends_and_other_shards_are_served(
    key: str, value: bytes, is_logged: bool, tmp_path: Path
) -> None:
    async with LocalSystem(SystemOptions(folder=tmp_path)) as system:
        await wait_until_led(system)
        await write_row(system, key, value)
        killed = ""
        if key.startswith("records/"):
            killed = await find_leader(system, "payments-desk")
            system.kill(killed)
        await sleep(ROW_READ_AFTER_S)
        addresses = {
            name: instance
            for name, instance in system.layout.instances.items()
            if name != killed
        }
        for name in addresses:
            assert system.find_process(name).is_running
        plan = LoadPlan(services=SMALL.services, rate=40.0, duration_s=1.0, keys=20)
        results = await Caller([instance.entry for instance in addresses.values()]).run(
            make_calls(plan)
        )
        logs = [path.read_text().splitlines() for path in system.logs]
    events = [parse_line(line) for lines in logs for line in lines]
    names = {event.event for event in events}
    affected = key.split("/")[1] if key.startswith("shards/") else ""
    for result in results:
        assert result.is_success or result.call.service == affected, result
    assert not names & {"task_failed", "handler_failed", "claim_failed"}
    if is_logged:
        assert any(name.endswith("_malformed") for name in names)
