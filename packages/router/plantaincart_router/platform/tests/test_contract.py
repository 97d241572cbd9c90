"""Contract tests for all implementations of the platform's interfaces."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

from plantaincart_router.exception import (
    PlatformRefusedError,
    PlatformUnavailableError,
)
from plantaincart_router.platform.instances import (
    HttpInstanceDirectory,
    InstanceDirectory,
)
from plantaincart_router.platform.objects import HttpObjectStore, ObjectStore
from plantaincart_router.platform.table import HttpTable, Table
from plantaincart_schema.generated.platform import (
    Condition,
    InstanceEntry,
    Transaction,
    Write,
)
from plantaincart_testing.fault import DownMode, FaultPlan, PlatformFaults
from plantaincart_testing.listener import Listener
from plantaincart_testing.memory import (
    MemoryInstanceDirectory,
    MemoryObjectStore,
    MemoryTable,
)
from plantaincart_testing.platform import PlatformHandler, PlatformState
from pytest import FixtureRequest, fixture, mark, raises
from pytest_asyncio import fixture as async_fixture

HOST = "127.0.0.1"
TIMEOUT_S = 0.2
LONG_TIMEOUT_S = 5.0
ENTRY = InstanceEntry(name="i1", data_centre="a", mesh_host=HOST, mesh_port=7)


@dataclass
class Platform:
    table: Table
    objects: ObjectStore
    instances: InstanceDirectory


@async_fixture
async def stand_in() -> AsyncIterator[tuple[PlatformState, int]]:
    state = PlatformState([ENTRY])
    listener = Listener(PlatformHandler(state))
    port = await listener.start(HOST, 0)
    yield state, port
    listener.close()


@fixture(params=["memory", "http"])
def platform(request: FixtureRequest, stand_in: tuple[PlatformState, int]) -> Platform:
    if request.param == "memory":
        directory = MemoryInstanceDirectory([ENTRY])
        return Platform(MemoryTable(), MemoryObjectStore(), directory)
    address = (HOST, stand_in[1], LONG_TIMEOUT_S, "i1")
    return Platform(
        HttpTable(*address), HttpObjectStore(*address), HttpInstanceDirectory(*address)
    )


def make_transaction(
    write_id: str, writes: dict[str, bytes | None], **conditions: int
) -> Transaction:
    return Transaction(
        write_id=write_id,
        conditions=[
            Condition(key=key, version=version) for key, version in conditions.items()
        ],
        writes=[Write(key=key, value=value) for key, value in writes.items()],
    )


async def test_committed_rows_are_read_and_scanned(platform: Platform) -> None:
    table = platform.table
    answer = await table.commit(make_transaction("w1", {"a/1": b"\0x", "b": b"y"}))
    rows = await table.read(["b", "a/1", "missing"])
    assert answer.committed
    assert {condition.key: condition.version for condition in answer.versions} == {
        key: row.version for key, row in rows.items()
    }
    assert (rows["a/1"].value, rows["a/1"].write_id) == (b"\0x", "w1")
    assert list(await table.scan("a/")) == ["a/1"]


@mark.parametrize(
    ("required", "committed"),
    [
        ({"new": 0}, True),
        ({"old": 0}, False),
        ({"old": 999}, False),
        ({"new": 1}, False),
        ({"old": None}, True),
        ({"old": None, "new": 1}, False),
    ],
)
async def test_commit_requires_the_versions_of_its_conditions(
    platform: Platform, required: dict[str, int | None], committed: bool
) -> None:
    table = platform.table
    await table.commit(make_transaction("w1", {"old": b"1"}))
    present = (await table.read(["old"]))["old"]
    conditions = {
        key: present.version if version is None else version
        for key, version in required.items()
    }
    answer = await table.commit(
        make_transaction("w2", {"old": b"2", "new": b"2"}, **conditions)
    )
    rows = await table.read(["old", "new"])
    assert answer.committed is committed
    if committed:
        assert {row.write_id for row in rows.values()} == {"w2"}
        assert rows["old"].version > present.version
    else:
        assert rows == {"old": present}
        failed = conditions.get("old", present.version) != present.version
        assert answer.conflicts == ([present] if failed else [])


async def test_version_keeps_increasing_after_a_delete(platform: Platform) -> None:
    table = platform.table
    await table.commit(make_transaction("w1", {"a": b"1"}))
    old_version = (await table.read(["a"]))["a"].version
    assert (
        await table.commit(make_transaction("w2", {"a": None}, a=old_version))
    ).committed
    assert await table.read(["a"]) == {}
    await table.commit(make_transaction("w3", {"a": b"1"}, a=0))
    assert (await table.read(["a"]))["a"].version > old_version


async def test_objects_are_stored_and_listed(platform: Platform) -> None:
    objects = platform.objects
    await objects.put("logs/a b", b"\0\1")
    await objects.put("logs/c", b"")
    await objects.put("other", b"x")
    assert await objects.get("logs/a b") == b"\0\1"
    assert await objects.get("missing") is None
    assert await objects.list("logs/") == ["logs/a b", "logs/c"]


async def test_instances_are_listed(platform: Platform) -> None:
    assert await platform.instances.list_instances() == [ENTRY]


@mark.parametrize(
    ("faults", "has_effect"),
    [
        (PlatformFaults(down=True), False),
        (PlatformFaults(down=True, down_mode=DownMode.ERROR), False),
        (PlatformFaults(down=True, down_mode=DownMode.SILENT), False),
        (PlatformFaults(clients_cut=["i1"]), False),
        (PlatformFaults(error_rate=1.0), False),
        (PlatformFaults(lost_answers_next=1), True),
        (PlatformFaults(lost_answer_rate=1.0), True),
        (PlatformFaults(parts=["table"], delay_s=2 * TIMEOUT_S), True),
    ],
)
async def test_fault_makes_the_table_unavailable(
    stand_in: tuple[PlatformState, int], faults: PlatformFaults, has_effect: bool
) -> None:
    state, port = stand_in
    table = HttpTable(HOST, port, TIMEOUT_S, "i1")
    state.fault_plan = FaultPlan(faults, 0.0)
    with raises(PlatformUnavailableError):
        await table.commit(make_transaction("w1", {"a": b"1"}))
    state.fault_plan = FaultPlan(PlatformFaults(), 0.0)
    long_timeout_table = HttpTable(HOST, port, LONG_TIMEOUT_S)
    while has_effect and not await long_timeout_table.read(["a"]):
        pass
    assert bool(await long_timeout_table.read(["a"])) is has_effect


async def test_disconnected_instance_does_not_affect_others(
    stand_in: tuple[PlatformState, int],
) -> None:
    state, port = stand_in
    state.fault_plan = FaultPlan(PlatformFaults(clients_cut=["i2"]), 0.0)
    assert await HttpTable(HOST, port, LONG_TIMEOUT_S, "i1").read(["a"]) == {}
    with raises(PlatformUnavailableError):
        await HttpTable(HOST, port, TIMEOUT_S, "i2").read(["a"])


async def test_closed_port_is_unavailable() -> None:
    with raises(PlatformUnavailableError):
        await HttpTable(HOST, 1, TIMEOUT_S).scan("")


async def test_refusal_is_not_reported_as_unavailable(
    stand_in: tuple[PlatformState, int],
) -> None:
    directory = HttpInstanceDirectory(HOST, stand_in[1], LONG_TIMEOUT_S)
    with raises(PlatformRefusedError):
        await directory._client.call("POST", "/table/read", b"no JSON")
