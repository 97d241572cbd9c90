"""
The store is restored from a copy some seconds old, in an outage or without one.

Rows written since are gone, and their versions are handed out again. The tests guard
against two coordinators, keys with two owners, fencing tokens that aren't above all
earlier ones, and upstreams, configurations and closures that go back.
"""

from asyncio import get_running_loop, sleep
from dataclasses import replace
from time import monotonic

from plantaincart_core.era import is_epoch_of_era, next_epoch
from plantaincart_core.keymove import KeyMove
from plantaincart_core.ownermap import KEY_COUNT
from plantaincart_router.direct.closures import CLOSURE_REWRITE_S
from plantaincart_router.direct.ownershiprow import decode_ownership, encode_ownership
from plantaincart_router.direct.ownershiptable import OWNERSHIP_TABLE
from plantaincart_router.direct.pool import UpstreamPools
from plantaincart_router.direct.store import StoreRow, TableRows
from plantaincart_router.direct.termrow import (
    COORDINATOR_KEY,
    COORDINATOR_TABLE,
    make_era_rows,
)
from plantaincart_router.direct.tests.fakes import (
    FAST,
    Grant,
    PlainReader,
    make_plan,
    make_record,
    make_settings,
)
from plantaincart_router.direct.tests.memorysystem import (
    OwnerWatch,
    System,
    find_other_owner,
    run_system,
    wait_for,
)
from plantaincart_router.direct.view import SystemView
from plantaincart_schema.codec import encode_json
from plantaincart_schema.generated.direct import CoordinatorRow, OwnershipRow
from pytest import mark

# Longer than the grant duration and the term of the fast settings together.
OBSERVED_S = 1.6
OUTAGE_S = 0.5


async def move_keys(system, first, last, target):
    """Let the coordinator move keys, and wait until they have moved."""
    coordinator = system.find_coordinator().follower.coordinator
    placement = coordinator._placements["ledger"]
    source = placement.owners.find(first).owner
    await placement._carry_out(
        [KeyMove(first=first, last=last, source=source, target=target)]
    )
    await wait_for(lambda: system.upstreams[target].owns(first))


def lose_processes_with_rows(system, names, copy):
    """Kill processes, restore the store, and start the processes again."""
    for name in names:
        system.kill(name)
    system.store.restore(copy)
    for name in names:
        system.add(name, get_running_loop())


async def restore_in_outage(system, copy, outage_s=OUTAGE_S):
    system.store.refused_clients = set(system.instances)
    await sleep(outage_s)
    system.store.restore(copy)
    system.store.refused_clients = set()


@mark.parametrize("outage_s", [0.0, 0.1, OUTAGE_S])
async def test_coordinator_goes_on_with_what_it_knows(outage_s):
    async with run_system(get_running_loop()) as system:
        coordinator = system.find_coordinator()
        watch = OwnerWatch(system)
        copy = system.store.copy()
        await move_keys(system, 0, 100, find_other_owner(system, 50))
        await restore_in_outage(system, copy, outage_s)
        served_until = monotonic() + OBSERVED_S
        while monotonic() < served_until:
            assert system.count_owners(50) == 1
            await sleep(0.02)
        assert system.find_coordinator() is coordinator
        row = decode_ownership(system.store.rows[OWNERSHIP_TABLE, "ledger"].value)
        assert is_epoch_of_era(row.epoch, system.store.era)
        owner = next(r.owner for r in row.ranges if r.first <= 50 <= r.last)
        assert system.upstreams[owner].owns(50)
        await move_keys(system, 0, 100, find_other_owner(system, 50))
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree())
        watch.stop()


@mark.parametrize("count", [1, 3])
async def test_coordinator_is_lost_with_its_rows(count):
    """The rows of moves are gone, and so is the process that made them."""
    async with run_system(get_running_loop()) as system:
        watch = OwnerWatch(system)
        copy = system.store.copy()
        await move_keys(system, 0, 100, find_other_owner(system, 50))
        names = [system.find_coordinator().settings.name]
        names += [name for name in list(system.instances) if name not in names]
        lose_processes_with_rows(system, names[:count], copy)
        await sleep(OBSERVED_S)
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree(), 8.0)
        watch.stop()


async def test_term_of_the_lost_rows_is_higher_than_the_restored_one():
    """A takeover is lost, and all processes with it; tokens must rise all the same."""
    async with run_system(get_running_loop()) as system:
        copy = system.store.copy()
        system.kill(system.find_coordinator().settings.name)
        await wait_for(lambda: system.find_coordinator() is not None)
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree(), 8.0)
        watch = OwnerWatch(system)
        lose_processes_with_rows(system, list(system.instances), copy)
        await sleep(OBSERVED_S)
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree(), 8.0)
        watch.stop()


async def test_earlier_holder_does_not_come_back():
    """The restored row names a coordinator whose term has ended."""
    async with run_system(get_running_loop()) as system:
        watch = OwnerWatch(system)
        copy = system.store.copy()
        earlier = system.find_coordinator()
        await earlier.follower.withdraw()
        await wait_for(lambda: system.find_coordinator() not in (None, earlier))
        earlier.follower._leaving = False
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree())
        later = system.find_coordinator()
        system.store.restore(copy)
        await sleep(OBSERVED_S)
        assert system.find_coordinator() is later
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree())
        watch.stop()


async def test_store_is_restored_again_and_again():
    async with run_system(get_running_loop()) as system:
        watch = OwnerWatch(system)
        copy = system.store.copy()
        for number in range(3):
            await move_keys(system, 0, 100, find_other_owner(system, 50))
            if number == 1:
                system.kill(system.find_coordinator().settings.name)
            await restore_in_outage(system, copy, 0.1)
            await sleep(OBSERVED_S)
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree(), 8.0)
        watch.stop()


async def test_store_is_restored_to_a_copy_without_any_rows():
    async with run_system(get_running_loop()) as system:
        watch = OwnerWatch(system)
        system.kill(system.find_coordinator().settings.name)
        system.store.restore((0, {}))
        system.add("r9", get_running_loop())
        await sleep(OBSERVED_S)
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree(), 8.0)
        watch.stop()


async def test_row_of_one_service_is_lost_with_its_coordinator(monkeypatch):
    """Guards against new owners of a service that has no row in a restored store."""
    monkeypatch.setattr("plantaincart_router.direct.planner.SETTLE_S", 0.1)
    system = System()
    watch = OwnerWatch(system)
    store, last = system.store, KEY_COUNT - 1
    store.era = 1
    epoch = next_epoch(1, 0, 0)
    term = CoordinatorRow(
        holder="lost", address="127.0.0.1:1", epoch=epoch, beat=1, vacant=False
    )
    store.put(COORDINATOR_TABLE, COORDINATOR_KEY, encode_json(term))
    store.put(COORDINATOR_TABLE, make_era_rows(await store.read("none"))[0].key, b"1")
    row = OwnershipRow(service="desk", epoch=epoch, sequence=1, ranges=[])
    store.put(OWNERSHIP_TABLE, "desk", encode_ownership(row))
    instance = system.add("r1", get_running_loop())
    plan = make_plan()
    desk = replace(plan.services["ledger"], name="desk")
    instance.view.routing_config = replace(
        plan, services={**plan.services, "desk": desk}
    )
    granted_s = FAST.confirmed_s + FAST.hold_s
    system.upstreams["u0"].grants = [
        Grant(first=0, last=last, fence=1, expires_at=monotonic() + granted_s)
    ]
    try:
        await sleep(OBSERVED_S)
        await wait_for(system.all_keys_owned, 8.0)
        watch.stop()
    finally:
        instance.follower.close()


class RowReader(PlainReader):
    """Reads upstreams and closures that a test has listed by key."""

    def __init__(self):
        self.upstreams = {}

    def read_upstream(self, row):
        return self.upstreams[row.key]

    def read_closed_data_centre(self, row):
        return row.key if row.key in ("a", "b") else None


def make_view():
    settings = make_settings()
    reader = RowReader()
    return SystemView(settings, reader, UpstreamPools(settings.send)), reader


def read_upstreams(view, reader, era, *records):
    reader.upstreams = {record.id: record for record in records}
    rows = [StoreRow(key=record.id, version=1) for record in records]
    table = TableRows(rows=rows, version=(era << 52) + 9)
    view.replace_table("upstreams", table, float("-inf"))


def test_upstream_that_has_left_is_not_used_again():
    view, reader = make_view()
    ready = replace(make_record("u1"), sequence=3)
    read_upstreams(view, reader, 0, ready)
    leaving = replace(ready, ready=False, sequence=8)
    reader.upstreams["u1"] = leaving
    row = StoreRow(key="u1", version=10)
    view.change_table("upstreams", TableRows(rows=[row], version=10), 0.0)
    read_upstreams(view, reader, 1, ready)
    assert not view.directory.accepts_requests(view.directory.get("u1"))
    deleted = StoreRow(key="u1", version=(1 << 52) + 11, deleted=True)
    view.directory.expire(monotonic() + 9.0)
    view.change_table(
        "upstreams", TableRows(rows=[deleted], version=(1 << 52) + 11), 0.0
    )
    view.directory.expire(monotonic() + 9.0)
    read_upstreams(view, reader, 2, ready)
    assert view.directory.get("u1") is None


def test_upstream_that_was_taken_for_gone_counts_again_if_its_row_stays():
    view, reader = make_view()
    record = make_record("u1")
    read_upstreams(view, reader, 0, record)
    view.directory.remove("u1", monotonic())
    read_upstreams(view, reader, 1, record)
    assert view.directory.get("u1") is None
    # Another full read in the same era doesn't prove that the process is alive.
    read_upstreams(view, reader, 1, record)
    assert view.directory.get("u1") is None
    view.directory.expire(monotonic() + 4.5)
    assert view.directory.get("u1") == record


def test_earlier_process_of_an_upstream_is_not_used_again():
    view, reader = make_view()
    read_upstreams(view, reader, 0, make_record("u1", born=2))
    read_upstreams(view, reader, 1, make_record("u1", born=1))
    assert view.directory.get("u1").born == 2


def test_upstream_that_the_copy_lacks_may_announce_itself_again():
    view, reader = make_view()
    read_upstreams(view, reader, 0, make_record("u1"), make_record("u2"))
    read_upstreams(view, reader, 1, make_record("u1"))
    assert view.directory.get("u2") is not None
    view.directory.expire(monotonic() + 1.0)
    assert view.directory.get("u2") is not None
    view.directory.expire(monotonic() + 2.5)
    assert view.directory.get("u2") is None


def close(view, era, *names):
    rows = [StoreRow(key=name, version=1) for name in names]
    table = TableRows(rows=rows, version=(era << 52) + 9)
    view.replace_table("operator", table, float("-inf"))


def test_closed_data_centre_stays_closed_until_its_row_is_written_again():
    view, _ = make_view()
    close(view, 0, "a", "b")
    close(view, 1, "b")
    assert view.directory.closed_data_centres == {"a", "b"}
    written = StoreRow(key="a", version=(1 << 52) + 10)
    view.change_table(
        "operator", TableRows(rows=[written], version=(1 << 52) + 10), 0.0
    )
    deleted = StoreRow(key="a", version=(1 << 52) + 11, deleted=True)
    view.change_table(
        "operator", TableRows(rows=[deleted], version=(1 << 52) + 11), 0.0
    )
    assert view.directory.closed_data_centres == {"b"}


def test_closed_data_centre_whose_row_stays_away_is_opened(monkeypatch):
    view, _ = make_view()
    close(view, 0, "a")
    close(view, 1)
    assert view.directory.closed_data_centres == {"a"}
    later = monotonic() + CLOSURE_REWRITE_S
    monkeypatch.setattr(
        "plantaincart_router.direct.view.monotonic", lambda: later + 0.1
    )
    view.expire()
    assert view.directory.closed_data_centres == frozenset()


def test_configuration_does_not_go_back():
    view, _ = make_view()
    view._adopt_routing_config(make_plan(version=5))
    close(view, 1)
    view._adopt_routing_config(make_plan(version=4))
    assert view.routing_config.version == 5


def test_log_shows_what_was_read_anew_and_kept(monkeypatch):
    logged = []
    monkeypatch.setattr(
        "plantaincart_router.direct.view.write_event",
        lambda event, **fields: logged.append((event, fields)),
    )
    view, reader = make_view()
    view._adopt_routing_config(make_plan(version=5))
    read_upstreams(view, reader, 0, make_record("u1", born=2), make_record("u2"))
    read_upstreams(view, reader, 1, make_record("u1", born=1), make_record("u3"))
    close(view, 0, "a", "b")
    close(view, 1, "b")
    eras = {"previous": 0, "era": 1, "plan": 5}
    assert [fields for event, fields in logged if event == "table_restored"] == [
        {"table": "upstreams", "read": 2, "kept": ["u1", "u2"], **eras},
        {"table": "operator", "read": 1, "kept": ["a"], **eras},
    ]
