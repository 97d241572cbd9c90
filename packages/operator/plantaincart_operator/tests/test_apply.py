from pathlib import Path

import pytest
from plantaincart_core.configuration import list_upstreams
from plantaincart_operator.apply import (
    ApplyReport,
    apply_document,
    wait_until_in_force,
)
from plantaincart_operator.declaration import build_declarations_request
from plantaincart_operator.exception import (
    ConflictError,
    NotInForceError,
    UnavailableError,
)
from plantaincart_operator.sheet import build_sheet_request, load_sheet, read_history
from plantaincart_operator.store import ConfigurationStore
from plantaincart_operator.tests.conftest import StubSystem
from plantaincart_schema.generated.platform import InstanceState
from plantaincart_testing.fault import DownMode, PlatformFaults

DECLARATIONS = """
services = [{name = "ledger", key = {source = "header", name = "X-Key"}, shards = 2}]
data_centres = [{name = "north"}, {name = "south"}]
[[upstreams]]
name = "north-1"
service = "ledger"
data_centre = "north"
host = "10.0.0.1"
port = 8001
[[upstreams]]
name = "south-1"
service = "ledger"
data_centre = "south"
host = "10.0.0.1"
port = 8002
"""


class Operator:
    def __init__(
        self, stub_system: StubSystem, folder: Path, name: str = "anna"
    ) -> None:
        self.stub_system = stub_system
        self.folder = folder
        self.name = name
        self.store = ConfigurationStore(stub_system.platform.table)

    async def declare(self, text: str = DECLARATIONS) -> ApplyReport:
        path = self.folder / "declarations.toml"
        path.write_text(text)
        state = await self.store.read_state()
        request, declarations = build_declarations_request(
            path, self.name, None, state.declarations
        )
        settings = self.stub_system.settings
        return await apply_document(self.store, state, request, settings, declarations)

    async def apply(
        self,
        row: str,
        expect_version: int | None = None,
        rival: "Operator | None" = None,
    ) -> ApplyReport:
        path = self.folder / "day.csv"
        path.write_text(f"kind,name,action\n{row}\n")
        sheet, content = load_sheet(path)
        request = build_sheet_request(sheet, content, self.name, expect_version)
        state = await self.store.read_state()
        if rival is not None:
            await rival.apply("data_centre,south,out")
        return await apply_document(
            self.store, state, request, self.stub_system.settings
        )


@pytest.fixture
async def anna(stub_system: StubSystem, tmp_path: Path) -> Operator:
    operator = Operator(stub_system, tmp_path)
    await operator.declare()
    return operator


@pytest.mark.parametrize(
    "faults",
    [
        PlatformFaults(),
        PlatformFaults(lost_answers_next=1),
        PlatformFaults(lost_answers_next=2),
        PlatformFaults(error_rate=0.4, seed=3, lost_answers_next=1),
    ],
)
async def test_retried_apply_writes_one_version(
    stub_system: StubSystem, anna: Operator, faults: PlatformFaults
) -> None:
    state_before = await anna.store.read_state()
    stub_system.set_faults(faults)
    report = None
    for _ in range(20):
        try:
            report = await anna.apply("data_centre,north,out")
            break
        except UnavailableError:
            continue
    stub_system.set_faults(PlatformFaults())
    current = (await anna.store.read_state()).configuration
    assert report is not None
    assert report.version == state_before.configuration.version + 1 == current.version
    assert [centre.in_service for centre in current.data_centres] == [False, True]


async def test_repeated_apply(anna: Operator) -> None:
    first = await anna.apply("data_centre,north,out")
    repeated = await anna.apply("data_centre,north,out")
    assert (first.outcome, repeated.outcome) == ("accepted", "accepted before")
    assert first.version == repeated.version == 2
    assert (await anna.apply("data_centre,south,in")).outcome == "no change"
    assert first.warnings == (
        "shard ledger/0 has no serving upstream; its requests will be rejected",
    )


async def test_conflict_lists_changes_of_other_operator(
    anna: Operator, stub_system: StubSystem, tmp_path: Path
) -> None:
    bertil = Operator(stub_system, tmp_path, "bertil")
    with pytest.raises(ConflictError) as caught:
        await anna.apply("data_centre,north,out", rival=bertil)
    assert caught.value.changes == ("data centre south: in_service True -> False",)
    with pytest.raises(ConflictError):
        await anna.apply("data_centre,north,out", expect_version=1)
    assert (await anna.apply("data_centre,north,out", expect_version=2)).version == 3


async def test_same_sheet_by_two_operators(
    anna: Operator, stub_system: StubSystem, tmp_path: Path
) -> None:
    bertil = Operator(stub_system, tmp_path, "bertil")
    report = await anna.apply("data_centre,south,out", rival=bertil)
    assert (report.outcome, report.version) == ("accepted before", 2)


async def test_declarations_keep_changes_of_sheet(anna: Operator) -> None:
    await anna.apply("data_centre,north,out")
    report = await anna.declare(DECLARATIONS.replace("8002", "8002\nslots = 3"))
    assert report.changes == ("upstream south-1: slots 2 -> 3",)
    current = (await anna.store.read_state()).configuration
    assert not list_upstreams(current, "ledger", 0)
    history = await read_history(anna.store, 10)
    kinds = [(entry.version, entry.kind) for entry in history.entries]
    assert kinds == [(3, "declarations"), (2, "sheet"), (1, "declarations")]


async def test_unavailable_platform(anna: Operator, stub_system: StubSystem) -> None:
    stub_system.set_faults(PlatformFaults(down=True, down_mode=DownMode.ERROR))
    with pytest.raises(UnavailableError):
        await anna.apply("data_centre,north,out")


async def test_wait_until_in_force(stub_system: StubSystem) -> None:
    outdated = await stub_system.add_instance("i1", 1)
    await stub_system.add_instance("i2", 3)
    await stub_system.add_instance(
        "i3", 0, state=InstanceState.leaving, unreachable=True
    )
    with pytest.raises(NotInForceError, match=r"1 of 2\n  i1: 1"):
        await wait_until_in_force(stub_system.platform, 2, 0.05, 0.01)
    outdated.status = (await stub_system.add_instance("i4", 2)).status
    count, _ = await wait_until_in_force(stub_system.platform, 2, 5.0, 0.01)
    assert count == 3
    await stub_system.add_instance("i5", 2, unreachable=True)
    with pytest.raises(NotInForceError, match="no answer: i5"):
        await wait_until_in_force(stub_system.platform, 2, 0.05, 0.01)
