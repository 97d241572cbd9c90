"""One reader of the store's tables for a whole fleet."""

from asyncio import create_task, get_running_loop, sleep
from contextlib import asynccontextmanager
from dataclasses import replace
from time import monotonic

from plantaincart_router.direct.feed import SILENT_CALL_S, TableFeed, TableSink
from plantaincart_router.direct.history import TableHistory
from plantaincart_router.direct.settings import FeedSettings
from plantaincart_router.direct.store import (
    StoreRow,
    StoreUnavailableError,
    TableView,
)
from plantaincart_router.direct.tests.fakes import MemoryClient, MemoryStore
from plantaincart_router.direct.tests.test_coordinator import System, wait_for

TIMES = FeedSettings(
    wait_s=0.1,
    lead_wait_s=0.05,
    relay_lasts_s=0.15,
    relay_fresh_s=0.2,
    gather_s=0.02,
    member_gather_s=0.0,
)
TABLE = "upstreams"
# Seconds from a change at the coordinator to its effect at a member, over loopback.
PASSED_ON_S = 0.3


class CountingStore(MemoryClient):
    """Waits for changes as the store does, counts the calls, and may fall silent."""

    hang_s = 0.0

    def __init__(self, store, name):
        super().__init__(store, name)
        self.calls = 0
        self.wait_s = 0.0

    async def watch(self, table, after, wait_s):
        self.calls += 1
        self.wait_s = wait_s
        await sleep(self.hang_s)
        view = await super().watch(table, after, wait_s)
        if not view.rows:
            await sleep(wait_s)
            view = await super().watch(table, after, wait_s)
        return view


class Rows(TableSink):
    """Remembers the rows, and whether the store was lost."""

    def __init__(self):
        self.rows = {}
        self.lost = False
        self.losses = 0
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
        self.lost = True
        self.losses += 1

    def handle_store_regained(self):
        self.lost = False

    def choose_gather_s(self):
        return TIMES.gather_s


class Reader:
    """A feed of one instance."""

    def __init__(self, store, name, leads=False):
        self.client = CountingStore(store, name)
        self.sink = Rows()
        self.feed = TableFeed(self.client, TABLE, self.sink, TIMES)
        self.feed.relays_changes = leads
        self.task = create_task(self.feed.follow())

    def tell(self, other):
        """Pass on what the other doesn't know, as a notice would."""
        change = self.feed.describe_since(other.feed.version)
        if change is not None:
            other.feed.apply_relayed_change(change)
        return change


@asynccontextmanager
async def read_at_second_hand():
    """Yield a store, the coordinator's reader, and that of a member."""
    store = MemoryStore()
    store.put(TABLE, "u0", b"0")
    leader = Reader(store, "leader", leads=True)
    member = Reader(store, "member")
    await sleep(0.02)
    try:
        yield store, leader, member
    finally:
        leader.task.cancel()
        member.task.cancel()


async def tell_for(leader, member, seconds):
    """Pass changes on at the interval of notices."""
    for _ in range(round(seconds / 0.02)):
        leader.tell(member)
        await sleep(0.02)


async def test_member_that_is_relayed_asks_nothing():
    """Pattern of large fleets: all of them asked for each upstream that started."""
    async with read_at_second_hand() as (store, leader, member):
        await tell_for(leader, member, 2 * TIMES.wait_s)
        before = member.client.calls
        for number in range(10):
            store.put(TABLE, f"u{number}", b"1")
            await tell_for(leader, member, 0.04)
        await tell_for(leader, member, 0.1)
        assert member.sink.rows == {f"u{number}": b"1" for number in range(10)}
        assert member.client.calls == before


async def test_removed_row_is_passed_on():
    async with read_at_second_hand() as (store, leader, member):
        await store.delete(TABLE, "u0")
        await tell_for(leader, member, 0.2)
        assert member.sink.rows == {}


async def test_member_follows_on_its_own_when_the_coordinator_is_silent():
    async with read_at_second_hand() as (store, leader, member):
        await tell_for(leader, member, 2 * TIMES.wait_s)
        store.put(TABLE, "u1", b"1")
        await sleep(TIMES.relay_lasts_s + 2 * TIMES.gather_s)
        assert "u1" in member.sink.rows


async def test_missed_changes_are_asked_for_once():
    async with read_at_second_hand() as (store, leader, member):
        await tell_for(leader, member, 2 * TIMES.wait_s)
        before = member.client.calls
        store.put(TABLE, "u1", b"1")
        store.put(TABLE, "u2", b"2")
        await sleep(2 * TIMES.lead_wait_s)
        whole = leader.feed.describe_since(member.feed.version)
        lost = replace(whole, after=whole.version, rows=[])
        member.feed.apply_relayed_change(lost)
        await sleep(0.02)
        assert member.sink.rows == {"u0": b"0", "u1": b"1", "u2": b"2"}
        assert member.client.calls == before + 1
        assert member.client.wait_s == 0.0


async def test_nothing_is_passed_on_while_the_store_is_away():
    async with read_at_second_hand() as (store, leader, member):
        store.away = {"leader"}
        await sleep(3 * TIMES.lead_wait_s)
        assert leader.feed.describe_since(0) is None
        store.put(TABLE, "u1", b"1")
        await sleep(TIMES.relay_lasts_s + 2 * TIMES.wait_s)
        assert "u1" in member.sink.rows


async def test_member_without_the_store_is_served_through_the_coordinator():
    """Pattern platform_down: the store turns some instances away."""
    async with read_at_second_hand() as (store, leader, member):
        store.away = {"member"}
        await wait_for(lambda: member.sink.lost)
        store.put(TABLE, "u1", b"1")
        await tell_for(leader, member, 0.2)
        assert "u1" in member.sink.rows
        assert not member.sink.lost


async def test_old_answer_of_the_store_is_not_its_return():
    """A coordinator whose call hangs doesn't know yet that the store is away."""
    async with read_at_second_hand() as (store, leader, member):
        store.away = {"member"}
        await wait_for(lambda: member.sink.lost)
        change = leader.feed.describe_since(member.feed.version)
        member.feed.apply_relayed_change(replace(change, age_s=2 * TIMES.relay_fresh_s))
        assert member.sink.lost


async def test_older_version_changes_nothing():
    async with read_at_second_hand() as (store, leader, member):
        old = leader.feed.describe_since(0)
        store.put(TABLE, "u0", b"1")
        await sleep(3 * TIMES.wait_s)
        member.feed.apply_relayed_change(old)
        assert member.sink.rows == {"u0": b"1"}


async def test_lost_history_is_read_anew():
    async with read_at_second_hand() as (store, leader, _):
        store.put(TABLE, "u1", b"1")
        store.first_kept = store.version + 1
        store.version += 1
        await sleep(4 * TIMES.lead_wait_s)
        assert leader.sink.rows["u1"] == b"1"
        # What came before isn't known any more, so a member that lags is told so.
        change = leader.feed.describe_since(1)
        assert (change.after, change.rows) == (change.version, [])


class FleetStore(CountingStore):
    """A client that fails calls after its instance is said to be told."""

    refuse = False

    async def watch(self, table, after, wait_s):
        if self.refuse:
            raise StoreUnavailableError("asked although told", False)
        return await super().watch(table, after, wait_s)


@asynccontextmanager
async def run_fleet():
    """Yield a system of three instances, with their clients and sinks by name."""
    loop = get_running_loop()
    system = System()
    system.store.put(TABLE, "u0", b"0")
    clients, sinks, tasks = {}, {}, []
    for name in ("r1", "r2", "r3"):
        instance = system.add(name, loop)
        clients[name] = FleetStore(system.store, name)
        sinks[name] = Rows()
        feed = TableFeed(
            clients[name], TABLE, sinks[name], TIMES, instance.follower.announce
        )
        instance.follower.feeds = [feed]
        tasks.append(create_task(feed.follow()))
    try:
        await wait_for(lambda: system.all_served() and system.all_follow(), 8.0)
        await sleep(2 * TIMES.wait_s)
        yield system, clients, sinks
    finally:
        for task in tasks:
            task.cancel()
        for instance in system.instances.values():
            instance.follower.close()


async def test_fleet_hears_of_changes_through_the_coordinator():
    """Changes travel with the notices, by ZeroMQ."""
    async with run_fleet() as (system, clients, sinks):
        leader = system.find_leader().settings.name
        for name, client in clients.items():
            client.refuse = name != leader
        system.store.put(TABLE, "u1", b"1")
        await wait_for(
            lambda: all("u1" in sink.rows for sink in sinks.values()), PASSED_ON_S
        )
        assert not any(sink.lost for sink in sinks.values())


async def test_silent_store_of_the_coordinator_is_found_out_soon():
    """Pattern platform_down (leader silent): a change must not wait for a takeover."""
    async with read_at_second_hand() as (store, leader, member):
        await tell_for(leader, member, 2 * TIMES.wait_s)
        leader.client.hang_s = 10.0
        await tell_for(leader, member, 2 * TIMES.lead_wait_s)
        store.put(TABLE, "u1", b"1")
        for _ in range(30):
            leader.tell(member)
            await sleep(0.01)
            if "u1" in member.sink.rows:
                return
        raise AssertionError("the change didn't arrive")


async def test_outage_is_one_loss_for_each_instance():
    """A coordinator that waits for an answer passed on that the store was well."""
    async with run_fleet() as (system, clients, sinks):
        leader = clients[system.find_leader().settings.name]
        # Its call for changes hangs, while its renewals are refused.
        leader.hang_s = 1.0
        await sleep(2 * TIMES.lead_wait_s)
        system.store.away = set(system.instances)
        await wait_for(lambda: any(sink.lost for sink in sinks.values()))
        await sleep(0.5)
        assert all(sink.losses <= 1 for sink in sinks.values())


async def test_outage_costs_a_fleet_few_calls():
    """Pattern platform_down: every instance asked several times a second."""
    store = MemoryStore()
    store.put(TABLE, "u0", b"0")
    members = [Reader(store, f"member-{number}") for number in range(5)]
    await sleep(0.02)
    store.away = {reader.client._name for reader in members}
    before = [reader.client.calls for reader in members]
    try:
        for _ in range(20):
            for reader in members:
                reader.feed.handle_coordinator_outage()
            await sleep(0.02)
        assert all(reader.sink.lost for reader in members)
        # One call was under way when the store went away, and one found that out.
        for reader, calls in zip(members, before, strict=True):
            assert reader.client.calls <= calls + 2
        store.away = set()
        members[0].feed.poll_now()
        await wait_for(lambda: not members[0].sink.lost, TIMES.relay_lasts_s)
    finally:
        for reader in members:
            reader.task.cancel()


def test_changes_that_come_out_of_order_are_all_passed_on():
    history = TableHistory()
    history.restart(1)
    rows = [StoreRow(key="a", version=5), StoreRow(key="b", version=3)]
    history.add(TableView(rows=rows, version=5))
    assert [row.key for row in history.list_since(4)] == ["a"]
    assert [row.key for row in history.list_since(2)] == ["b", "a"]


class SilentStore(CountingStore):
    """A store whose first call for changes hangs, as on a forgotten connection."""

    def __init__(self, store, name):
        super().__init__(store, name)
        self.waits = []

    async def watch(self, table, after, wait_s):
        self.waits.append(wait_s)
        if len(self.waits) == 1:
            await sleep(60.0)
        return await super().watch(table, after, wait_s)


async def test_call_that_hangs_since_an_outage_is_given_up():
    """Pattern of an outage in which connections go silent; 9 s without news."""
    store = MemoryStore()
    store.put(TABLE, "u0", b"0")
    client, sink = SilentStore(store, "member"), Rows()
    feed = TableFeed(client, TABLE, sink, replace(TIMES, wait_s=8.0))
    following = create_task(feed.follow())
    await sleep(SILENT_CALL_S + 0.05)
    store.put(TABLE, "u1", b"1")
    feed.poll_now()
    await sleep(PASSED_ON_S)
    following.cancel()
    assert sink.rows == {"u0": b"0", "u1": b"1"}
    assert client.waits[1] == 0.0
    assert not sink.losses


async def test_call_that_has_just_begun_is_left_alone():
    store = MemoryStore()
    client, sink = SilentStore(store, "member"), Rows()
    feed = TableFeed(client, TABLE, sink, TIMES)
    following = create_task(feed.follow())
    await sleep(0.02)
    feed.poll_now()
    await sleep(0.02)
    following.cancel()
    assert len(client.waits) == 1


async def test_changes_come_with_the_time_up_to_which_the_table_was_known():
    """Pattern core_cut one_way: the coordinator speaks, but hears nothing new."""
    async with read_at_second_hand() as (store, leader, member):
        await tell_for(leader, member, 0.1)
        told_until = monotonic()
        leader.client.hang_s = 60.0
        await sleep(1.2 * TIMES.lead_wait_s)
        store.put(TABLE, "u1", b"1")
        await tell_for(leader, member, TIMES.relay_lasts_s + 2 * TIMES.wait_s)
        assert member.sink.rows["u1"] == b"1"
        (known_until,) = member.sink.known_until
        assert told_until - TIMES.lead_wait_s - 0.1 < known_until
        assert known_until < told_until + TIMES.wait_s
