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
from plantaincart_operator.tests.conftest import Stage
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
    def __init__(self, stage: Stage, folder: Path, name: str = "anna") -> None:
        self.stage = stage
        self.folder = folder
        self.name = name
        self.store = ConfigurationStore(stage.platform.table)

    async def declare(self, text: str = DECLARATIONS) -> ApplyReport:
        path = self.folder / "declarations.toml"
        path.write_text(text)
        state = await self.store.read_state()
        request, declarations = build_declarations_request(
            path, self.name, None, state.declarations
        )
        settings = self.stage.settings
        return await apply_document(self.store, state, request, settings, declarations)

    async def apply(
        self, row: str, expect: int | None = None, rival: "Operator | None" = None
    ) -> ApplyReport:
        path = self.folder / "day.csv"
        path.write_text(f"kind,name,action\n{row}\n")
        sheet, content = load_sheet(path)
        request = build_sheet_request(sheet, content, self.name, expect)
        state = await self.store.read_state()
        if rival is not None:
            await rival.apply("data_centre,south,out")
        return await apply_document(self.store, state, request, self.stage.settings)


@pytest.fixture
async def anna(stage: Stage, tmp_path: Path) -> Operator:
    operator = Operator(stage, tmp_path)
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
async def test_one_version_despite_faults(
    stage: Stage, anna: Operator, faults: PlatformFaults
) -> None:
    state_before = await anna.store.read_state()
    stage.set_faults(faults)
    report = None
    for _ in range(20):
        try:
            report = await anna.apply("data_centre,north,out")
            break
        except UnavailableError:
            continue
    stage.set_faults(PlatformFaults())
    current = (await anna.store.read_state()).configuration
    assert report is not None
    assert report.version == state_before.configuration.version + 1 == current.version
    assert [centre.in_service for centre in current.data_centres] == [False, True]


async def test_repeat_by_hand(anna: Operator) -> None:
    first = await anna.apply("data_centre,north,out")
    again = await anna.apply("data_centre,north,out")
    assert (first.outcome, again.outcome) == ("accepted", "accepted before")
    assert first.version == again.version == 2
    assert (await anna.apply("data_centre,south,in")).outcome == "no change"
    assert first.warnings == (
        "shard ledger/0 has no serving upstream; its requests will be refused",
    )


async def test_loser_is_told(anna: Operator, stage: Stage, tmp_path: Path) -> None:
    bertil = Operator(stage, tmp_path, "bertil")
    with pytest.raises(ConflictError) as caught:
        await anna.apply("data_centre,north,out", rival=bertil)
    assert caught.value.changes == ("data centre south: in_service True -> False",)
    with pytest.raises(ConflictError):
        await anna.apply("data_centre,north,out", expect=1)
    assert (await anna.apply("data_centre,north,out", expect=2)).version == 3


async def test_same_sheet_raced(anna: Operator, stage: Stage, tmp_path: Path) -> None:
    bertil = Operator(stage, tmp_path, "bertil")
    report = await anna.apply("data_centre,south,out", rival=bertil)
    assert (report.outcome, report.version) == ("accepted before", 2)


async def test_declarations_keep_the_day(anna: Operator) -> None:
    await anna.apply("data_centre,north,out")
    report = await anna.declare(DECLARATIONS.replace("8002", "8002\nslots = 3"))
    assert report.changes == ("upstream south-1: slots 2 -> 3",)
    current = (await anna.store.read_state()).configuration
    assert not list_upstreams(current, "ledger", 0)
    history = await read_history(anna.store, 10)
    kinds = [(entry.version, entry.kind) for entry in history.entries]
    assert kinds == [(3, "declarations"), (2, "sheet"), (1, "declarations")]


async def test_unavailable(anna: Operator, stage: Stage) -> None:
    stage.set_faults(PlatformFaults(down=True, down_mode=DownMode.ERROR))
    with pytest.raises(UnavailableError):
        await anna.apply("data_centre,north,out")


async def test_wait(stage: Stage) -> None:
    late = await stage.add_instance("i1", 1)
    await stage.add_instance("i2", 3)
    await stage.add_instance("i3", 0, state=InstanceState.leaving, lost=True)
    with pytest.raises(NotInForceError, match=r"1 of 2\n  i1: 1"):
        await wait_until_in_force(stage.platform, 2, 0.05, 0.01)
    late.status = (await stage.add_instance("i4", 2)).status
    count, _ = await wait_until_in_force(stage.platform, 2, 5.0, 0.01)
    assert count == 3
    await stage.add_instance("i5", 2, lost=True)
    with pytest.raises(NotInForceError, match="no answer: i5"):
        await wait_until_in_force(stage.platform, 2, 0.05, 0.01)
