"""Table changes that the coordinator relays to the other instances."""

from asyncio import create_task, get_running_loop, sleep
from contextlib import asynccontextmanager
from dataclasses import replace
from time import monotonic

from plantaincart_router.direct.feed import SILENT_CALL_S, TableFeed, TableSink
from plantaincart_router.direct.noticecodec import pack_notice, unpack_notice
from plantaincart_router.direct.settings import FeedSettings
from plantaincart_router.direct.store import (
    StoreRow,
    StoreUnavailableError,
    TableRows,
)
from plantaincart_router.direct.tablehistory import TableHistory
from plantaincart_router.direct.tests.fakes import (
    MemoryClient,
    MemoryStore,
    make_notice,
)
from plantaincart_router.direct.tests.test_coordinator import System, wait_for

TIMES = FeedSettings(
    wait_s=0.1,
    lead_wait_s=0.05,
    relay_lasts_s=0.15,
    relay_fresh_s=0.2,
    gather_s=0.02,
    member_gather_s=0.0,
    first_read_s=0.2,
)
TABLE = "upstreams"
# Maximum time in seconds from a change at the coordinator to its effect at a member,
# over loopback.
MAX_RELAY_S = 0.3


class CountingStore(MemoryClient):
    """Store client that waits for changes, counts the calls, and may hang."""

    hang_s = 0.0

    def __init__(self, store, name):
        super().__init__(store, name)
        self.calls = 0
        self.reads = 0
        self.wait_s = 0.0

    async def read(self, table):
        self.reads += 1
        return await super().read(table)

    async def watch(self, table, after, wait_s):
        self.calls += 1
        self.wait_s = wait_s
        await sleep(self.hang_s)
        view = await super().watch(table, after, wait_s)
        if not view.rows:
            await sleep(wait_s)
            view = await super().watch(table, after, wait_s)
        return view


class RecordingSink(TableSink):
    """Records the rows, and the outages of the store."""

    def __init__(self):
        self.rows = {}
        self.is_lost = False
        self.outages = 0
        self.known_until = []

    def replace_table(self, table, view, since):
        self.rows = {row.key: row.value for row in view.rows}

    def change_table(self, table, view, since):
        self.known_until.append(since)
        for row in view.rows:
            if row.deleted:
                self.rows.pop(row.key, None)
            else:
                self.rows[row.key] = row.value

    def handle_store_lost(self):
        self.is_lost = True
        self.outages += 1

    def handle_store_regained(self):
        self.is_lost = False

    def choose_gather_s(self):
        return TIMES.gather_s


class FeedReader:
    """A feed of one instance with its client and sink."""

    def __init__(self, store, name, is_coordinator=False, awaits_relay=False):
        self.client = CountingStore(store, name)
        self.sink = RecordingSink()
        self.feed = TableFeed(
            self.client, TABLE, self.sink, TIMES, awaits_relay=awaits_relay
        )
        self.feed.relays_changes = is_coordinator
        self.task = create_task(self.feed.follow())

    def relay_to(self, other, may_send_table=False):
        """Relay what the other reader lacks, encoded as in a notice."""
        change = self.feed.describe_since(other.feed.version, may_send_table)
        if change is not None:
            notice = unpack_notice(pack_notice(make_notice(tables=[change])))
            other.feed.apply_relayed_change(notice.tables[0])
        return change


@asynccontextmanager
async def run_relay():
    """Yield a store, the reader of the coordinator, and that of a member."""
    store = MemoryStore()
    store.put(TABLE, "u0", b"0")
    coordinator = FeedReader(store, "leader", is_coordinator=True)
    member = FeedReader(store, "member")
    await sleep(0.02)
    try:
        yield store, coordinator, member
    finally:
        coordinator.task.cancel()
        member.task.cancel()


async def relay_for(coordinator, member, seconds, may_send_table=False):
    """Relay changes for some seconds at the interval of notices."""
    for _ in range(round(seconds / 0.02)):
        coordinator.relay_to(member, may_send_table)
        await sleep(0.02)


async def test_member_with_relayed_changes_makes_no_calls():
    """In large fleets, all instances called the store for each new upstream."""
    async with run_relay() as (store, coordinator, member):
        await relay_for(coordinator, member, 2 * TIMES.wait_s)
        before = member.client.calls
        for number in range(10):
            store.put(TABLE, f"u{number}", b"1")
            await relay_for(coordinator, member, 0.04)
        await relay_for(coordinator, member, 0.1)
        assert member.sink.rows == {f"u{number}": b"1" for number in range(10)}
        assert member.client.calls == before


async def test_removed_row_is_relayed():
    async with run_relay() as (store, coordinator, member):
        await store.delete(TABLE, "u0")
        await relay_for(coordinator, member, 0.2)
        assert member.sink.rows == {}


async def test_member_calls_the_store_when_the_coordinator_is_silent():
    async with run_relay() as (store, coordinator, member):
        await relay_for(coordinator, member, 2 * TIMES.wait_s)
        store.put(TABLE, "u1", b"1")
        await sleep(TIMES.relay_lasts_s + 2 * TIMES.gather_s)
        assert "u1" in member.sink.rows


async def test_missed_changes_are_read_once():
    async with run_relay() as (store, coordinator, member):
        await relay_for(coordinator, member, 2 * TIMES.wait_s)
        before = member.client.calls
        store.put(TABLE, "u1", b"1")
        store.put(TABLE, "u2", b"2")
        await sleep(2 * TIMES.lead_wait_s)
        whole = coordinator.feed.describe_since(member.feed.version)
        without_rows = replace(whole, after=whole.version, rows=[])
        member.feed.apply_relayed_change(without_rows)
        await sleep(0.02)
        assert member.sink.rows == {"u0": b"0", "u1": b"1", "u2": b"2"}
        assert member.client.calls == before + 1
        assert member.client.wait_s == 0.0


async def test_no_changes_are_relayed_during_an_outage():
    async with run_relay() as (store, coordinator, member):
        store.refused_clients = {"leader"}
        await sleep(3 * TIMES.lead_wait_s)
        assert coordinator.feed.describe_since(0) is None
        store.put(TABLE, "u1", b"1")
        await sleep(TIMES.relay_lasts_s + 2 * TIMES.wait_s)
        assert "u1" in member.sink.rows


async def test_member_without_the_store_gets_relayed_changes():
    """The store refuses some instances (pattern platform_down)."""
    async with run_relay() as (store, coordinator, member):
        store.refused_clients = {"member"}
        await wait_for(lambda: member.sink.is_lost)
        store.put(TABLE, "u1", b"1")
        await relay_for(coordinator, member, 0.2)
        assert "u1" in member.sink.rows
        assert not member.sink.is_lost


async def test_old_answer_of_the_store_does_not_end_the_outage():
    """A coordinator whose call hangs hasn't noticed the outage yet."""
    async with run_relay() as (store, coordinator, member):
        store.refused_clients = {"member"}
        await wait_for(lambda: member.sink.is_lost)
        change = coordinator.feed.describe_since(member.feed.version)
        member.feed.apply_relayed_change(replace(change, age_s=2 * TIMES.relay_fresh_s))
        assert member.sink.is_lost


async def test_older_version_changes_nothing():
    async with run_relay() as (store, coordinator, member):
        old = coordinator.feed.describe_since(0)
        store.put(TABLE, "u0", b"1")
        await sleep(3 * TIMES.wait_s)
        member.feed.apply_relayed_change(old)
        assert member.sink.rows == {"u0": b"1"}


async def test_table_is_read_again_after_its_history_is_lost():
    async with run_relay() as (store, coordinator, _):
        store.put(TABLE, "u1", b"1")
        store.oldest_version = store.version + 1
        store.counter += 1
        await sleep(4 * TIMES.lead_wait_s)
        assert coordinator.sink.rows["u1"] == b"1"
        # Earlier changes are no longer kept, so the member only gets the version.
        change = coordinator.feed.describe_since(1)
        assert (change.after, change.rows) == (change.version, [])


class FailingStore(CountingStore):
    """Store client whose calls can be made to fail."""

    fails = False

    async def watch(self, table, after, wait_s):
        if self.fails:
            raise StoreUnavailableError("called although changes are relayed", False)
        return await super().watch(table, after, wait_s)


@asynccontextmanager
async def run_fleet():
    """Yield a system of three instances with their store clients and sinks by name."""
    loop = get_running_loop()
    system = System()
    system.store.put(TABLE, "u0", b"0")
    clients, sinks, tasks = {}, {}, []
    for name in ("r1", "r2", "r3"):
        instance = system.add(name, loop)
        clients[name] = FailingStore(system.store, name)
        sinks[name] = RecordingSink()
        feed = TableFeed(
            clients[name], TABLE, sinks[name], TIMES, instance.follower.announce
        )
        instance.follower.feeds = [feed]
        tasks.append(create_task(feed.follow()))
    try:
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree(), 8.0)
        await sleep(2 * TIMES.wait_s)
        yield system, clients, sinks
    finally:
        for task in tasks:
            task.cancel()
        for instance in system.instances.values():
            instance.follower.close()


async def test_instances_get_changes_through_the_coordinator():
    """The changes are sent with the notices over ZeroMQ."""
    async with run_fleet() as (system, clients, sinks):
        coordinator = system.find_coordinator().settings.name
        for name, client in clients.items():
            client.fails = name != coordinator
        system.store.put(TABLE, "u1", b"1")
        await wait_for(
            lambda: all("u1" in sink.rows for sink in sinks.values()), MAX_RELAY_S
        )
        assert not any(sink.is_lost for sink in sinks.values())


async def test_hanging_call_of_the_coordinator_is_repeated_soon():
    """A change must not wait for a takeover (pattern platform_down, leader silent)."""
    async with run_relay() as (store, coordinator, member):
        await relay_for(coordinator, member, 2 * TIMES.wait_s)
        coordinator.client.hang_s = 10.0
        await relay_for(coordinator, member, 2 * TIMES.lead_wait_s)
        store.put(TABLE, "u1", b"1")
        for _ in range(30):
            coordinator.relay_to(member)
            await sleep(0.01)
            if "u1" in member.sink.rows:
                return
        raise AssertionError("the change didn't arrive")


async def test_each_instance_detects_an_outage_once():
    """A coordinator with a hanging call must not report the store as reachable."""
    async with run_fleet() as (system, clients, sinks):
        coordinator = clients[system.find_coordinator().settings.name]
        # The call for changes hangs, while renewals of the term are refused.
        coordinator.hang_s = 1.0
        await sleep(2 * TIMES.lead_wait_s)
        system.store.refused_clients = set(system.instances)
        await wait_for(lambda: any(sink.is_lost for sink in sinks.values()))
        await sleep(0.5)
        assert all(sink.outages <= 1 for sink in sinks.values())


async def test_outage_causes_few_calls():
    """Each instance called the store several times a second (platform_down)."""
    store = MemoryStore()
    store.put(TABLE, "u0", b"0")
    members = [FeedReader(store, f"member-{number}") for number in range(5)]
    await sleep(0.02)
    store.refused_clients = {reader.client._name for reader in members}
    before = [reader.client.calls for reader in members]
    try:
        for _ in range(20):
            for reader in members:
                reader.feed.handle_coordinator_outage()
            await sleep(0.02)
        assert all(reader.sink.is_lost for reader in members)
        # One call was in progress at the start of the outage, and one detected it.
        for reader, calls in zip(members, before, strict=True):
            assert reader.client.calls <= calls + 2
        store.refused_clients = set()
        members[0].feed.poll_now()
        await wait_for(lambda: not members[0].sink.is_lost, TIMES.relay_lasts_s)
    finally:
        for reader in members:
            reader.task.cancel()


def test_changes_out_of_order_are_all_listed():
    history = TableHistory()
    history.restart(1)
    rows = [StoreRow(key="a", version=5), StoreRow(key="b", version=3)]
    history.add(TableRows(rows=rows, version=5))
    assert [row.key for row in history.list_since(4)] == ["a"]
    assert [row.key for row in history.list_since(2)] == ["b", "a"]


class SilentStore(CountingStore):
    """Store client whose first call for changes hangs, as on a dead connection."""

    def __init__(self, store, name):
        super().__init__(store, name)
        self.waits = []

    async def watch(self, table, after, wait_s):
        self.waits.append(wait_s)
        if len(self.waits) == 1:
            await sleep(60.0)
        return await super().watch(table, after, wait_s)


async def test_call_that_hangs_after_an_outage_is_repeated():
    """An outage that silences connections delayed changes by 9 s."""
    store = MemoryStore()
    store.put(TABLE, "u0", b"0")
    client, sink = SilentStore(store, "member"), RecordingSink()
    feed = TableFeed(client, TABLE, sink, replace(TIMES, wait_s=8.0))
    following = create_task(feed.follow())
    await sleep(SILENT_CALL_S + 0.05)
    store.put(TABLE, "u1", b"1")
    feed.poll_now()
    await sleep(MAX_RELAY_S)
    following.cancel()
    assert sink.rows == {"u0": b"0", "u1": b"1"}
    assert client.waits[1] == 0.0
    assert not sink.outages


async def test_recent_call_is_not_repeated():
    store = MemoryStore()
    client, sink = SilentStore(store, "member"), RecordingSink()
    feed = TableFeed(client, TABLE, sink, TIMES)
    following = create_task(feed.follow())
    await sleep(0.02)
    feed.poll_now()
    await sleep(0.02)
    following.cancel()
    assert len(client.waits) == 1


async def test_changes_have_the_time_up_to_which_the_table_was_current():
    """The coordinator sends notices, but gets no new changes (core_cut one_way)."""
    async with run_relay() as (store, coordinator, member):
        await relay_for(coordinator, member, 0.1)
        relayed_until = monotonic()
        coordinator.client.hang_s = 60.0
        await sleep(1.2 * TIMES.lead_wait_s)
        store.put(TABLE, "u1", b"1")
        await relay_for(coordinator, member, TIMES.relay_lasts_s + 2 * TIMES.wait_s)
        assert member.sink.rows["u1"] == b"1"
        (known_until,) = member.sink.known_until
        assert relayed_until - TIMES.lead_wait_s - 0.1 < known_until
        assert known_until < relayed_until + TIMES.wait_s
