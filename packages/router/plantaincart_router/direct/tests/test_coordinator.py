"""Terms, takeovers and moves with a store and upstreams in memory."""

from asyncio import create_task, get_running_loop, sleep
from contextlib import asynccontextmanager
from dataclasses import replace
from socket import socket
from time import monotonic

from plantaincart_core.ownermap import KEYS
from plantaincart_router.direct.coordinator import OWNERSHIP_TABLE
from plantaincart_router.direct.follower import Follower
from plantaincart_router.direct.interface import Platform
from plantaincart_router.direct.pool import UpstreamPools
from plantaincart_router.direct.settings import ResourceSettings
from plantaincart_router.direct.termrow import COORDINATOR_TABLE
from plantaincart_router.direct.tests.fakes import (
    FAST,
    MemoryGrants,
    MemoryStore,
    MemoryUpstream,
    PlainDialect,
    PlainReader,
    make_plan,
    make_record,
    make_settings,
)
from plantaincart_router.direct.view import SystemView
from plantaincart_schema.codec import decode_json
from plantaincart_schema.generated.direct import CoordinatorRow

SAMPLE_KEYS = range(0, KEYS, 997)


def find_port():
    with socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Instance:
    """A follower with its view, without servers."""

    def __init__(self, name, store, upstreams, resources=None):
        resources = resources or ResourceSettings()
        self.settings = make_settings(name, find_port(), resources=resources)
        self.grants = MemoryGrants(upstreams, name)
        self.view = SystemView(
            self.settings, PlainReader(), UpstreamPools(self.settings.send)
        )
        self.view.routing_config = make_plan()
        self.view.upstreams_loaded = True
        self.platform = Platform(
            store=store.client(name),
            reader=PlainReader(),
            grants=self.grants,
            dialect=PlainDialect(),
        )
        self.follower = Follower(self.settings, self.view, self.platform)

    def know(self, upstreams):
        for upstream in upstreams.values():
            self.view.directory.put(make_record(upstream.name), monotonic())

    @property
    def leads(self):
        return self.follower.coordinator is not None


class System:
    """Several instances over one store and the same upstreams."""

    def __init__(self, upstreams=4):
        self.store = MemoryStore()
        self.upstreams = {f"u{at}": MemoryUpstream(f"u{at}") for at in range(upstreams)}
        self.instances = {}

    def add(self, name, loop, resources=None):
        instance = Instance(name, self.store, self.upstreams, resources)
        self.instances[name] = instance
        instance.know(self.upstreams)
        instance.follower.start(loop)
        return instance

    def find_leader(self):
        return next((one for one in self.instances.values() if one.leads), None)

    def count_holders(self, key):
        return sum(upstream.holds(key) for upstream in self.upstreams.values())

    def all_served(self):
        return all(self.count_holders(key) == 1 for key in SAMPLE_KEYS)

    def all_follow(self):
        """Whether all instances name the upstream that holds each key."""
        for instance in self.instances.values():
            for key in SAMPLE_KEYS:
                owned = instance.view.find_owner("ledger", key)
                if owned is None or not owned.owner:
                    return False
                if not self.upstreams[owned.owner].holds(key):
                    return False
        return True

    def kill(self, name):
        instance = self.instances.pop(name)
        instance.grants.cut = True
        instance.follower.close()
        return instance


async def wait_for(check, limit_s=5.0):
    ends_at = monotonic() + limit_s
    while not check():
        assert monotonic() < ends_at, "not reached in time"
        await sleep(0.02)


@asynccontextmanager
async def run_system(loop, names=("r1", "r2", "r3"), upstreams=4):
    system = System(upstreams)
    for name in names:
        system.add(name, loop)
    try:
        await wait_for(lambda: system.all_served() and system.all_follow(), 8.0)
        yield system
    finally:
        for instance in system.instances.values():
            instance.follower.close()


async def test_one_leader_serves_all_keys():
    async with run_system(get_running_loop()) as system:
        assert sum(one.leads for one in system.instances.values()) == 1


async def test_strong_instance_leads():
    """Pattern of large fleets: most instances have a slow link and half a core."""
    weak = ResourceSettings(cores=0.43, link_mbps=5.0)
    loop = get_running_loop()
    system = System()
    try:
        for name in ("r1", "r2", "r3"):
            system.add(name, loop, weak)
        strong = system.add("r4", loop)
        await wait_for(lambda: system.find_leader() is not None)
        assert system.find_leader() is strong
        await wait_for(lambda: system.all_served() and system.all_follow(), 8.0)
        system.kill("r4")
        await wait_for(lambda: system.find_leader() is not None)
        await wait_for(lambda: system.all_served() and system.all_follow(), 8.0)
    finally:
        for instance in system.instances.values():
            instance.follower.close()


async def test_first_division_is_even():
    """All keys went to whichever upstream the first step saw."""
    async with run_system(get_running_loop(), names=("r1",)) as system:
        widths = [
            sum(one.last - one.first + 1 for one in upstream.holdings)
            for upstream in system.upstreams.values()
        ]
        assert widths == [KEYS // 4] * 4


async def test_killed_leader_is_replaced():
    async with run_system(get_running_loop()) as system:
        old = system.find_leader()
        epoch = old.follower.coordinator.epoch
        system.kill(old.settings.name)
        await wait_for(lambda: system.find_leader() is not None)
        assert system.find_leader().follower.coordinator.epoch > epoch
        await wait_for(lambda: system.all_served() and system.all_follow())


async def test_planned_stop_hands_the_role_over():
    async with run_system(get_running_loop()) as system:
        old = system.find_leader()
        await old.follower.leave()
        del system.instances[old.settings.name]
        await wait_for(lambda: system.find_leader() is not None, 1.0)
        await wait_for(lambda: system.all_served() and system.all_follow())
        old.follower.close()


async def test_stop_in_an_outage_keeps_the_role():
    """A coordinator that stops while the store is away has no successor yet."""
    async with run_system(get_running_loop()) as system:
        old = system.find_leader()
        system.store.away = set(system.instances)
        leave = create_task(old.follower.leave())
        await sleep(1.0)
        assert old.leads
        assert system.all_served()
        system.store.away = set()
        await leave
        assert not old.leads or old.follower.coordinator.ended
        del system.instances[old.settings.name]
        await wait_for(lambda: system.find_leader() is not None)
        old.follower.close()


async def test_outage_for_all_costs_nothing():
    async with run_system(get_running_loop()) as system:
        leader = system.find_leader()
        system.store.away = set(system.instances)
        for _ in range(10):
            await sleep(0.12)
            assert system.all_served()
        assert system.find_leader() is leader


async def test_leader_alone_without_the_store_gives_way():
    """The store refuses one instance and answers the others."""
    async with run_system(get_running_loop()) as system:
        leader = system.find_leader()
        system.store.away = {leader.settings.name}
        await wait_for(lambda: system.find_leader() not in (None, leader))
        await wait_for(lambda: system.all_served() and system.all_follow())


async def test_leader_that_says_it_ends_is_replaced_at_once():
    """Pattern platform_down (leader): its row stands, since it can't write."""
    async with run_system(get_running_loop()) as system:
        leader = system.find_leader()
        for instance in system.instances.values():
            # Long enough that nobody takes over because the row is unchanged.
            instance.follower._times = replace(FAST, unchanged_s=30.0)
        system.store.away = {leader.settings.name}
        await wait_for(lambda: system.find_leader() not in (None, leader), 2.0)
        await wait_for(lambda: system.all_served() and system.all_follow())


async def test_restarted_instance_gets_the_whole_map():
    """Pattern roll_term: changes went to the process that was down."""
    async with run_system(get_running_loop()) as system:
        leader = system.find_leader().settings.name
        name = next(one for one in system.instances if one != leader)
        old = system.kill(name)
        coordinator = system.find_leader().follower.coordinator
        placement = coordinator._placements["ledger"]
        for _ in range(4):
            placement.regrant(list(placement.owners))
            await sleep(0.05)
        again = system.add(name, get_running_loop())
        assert again.view.epoch == 0
        await wait_for(lambda: system.all_follow(), 2.0)
        assert old is not again


async def test_no_key_has_two_holders_while_an_owner_is_out_of_reach():
    """Pattern srv_cut: the owner serves on, but the coordinator can't reach it."""
    async with run_system(get_running_loop()) as system:
        system.upstreams["u1"].reachable = False
        ends_at = monotonic() + 2.0
        while monotonic() < ends_at:
            assert all(system.count_holders(key) <= 1 for key in SAMPLE_KEYS)
            await sleep(0.01)
        assert system.all_served()
        assert not any(system.upstreams["u1"].holds(key) for key in SAMPLE_KEYS)


async def test_no_key_has_two_holders_over_a_takeover_with_a_lost_owner():
    async with run_system(get_running_loop()) as system:
        system.upstreams["u2"].reachable = False
        system.kill(system.find_leader().settings.name)
        ends_at = monotonic() + 3.0
        while monotonic() < ends_at:
            assert all(system.count_holders(key) <= 1 for key in SAMPLE_KEYS)
            await sleep(0.01)
        assert system.all_served()


async def test_lost_connection_means_a_new_fencing_token():
    """Behind a new connection there may be a later process at the address."""
    async with run_system(get_running_loop()) as system:
        leader = system.find_leader()
        upstream = system.upstreams["u0"]
        before = {one.fence for one in upstream.holdings}
        upstream.connected.clear()
        await sleep(0.4)
        assert all(one.fence not in before for one in upstream.holdings)
        assert all(
            renewal or keys.fence not in before
            for kind, _, keys, renewal in leader.grants.calls[-3:]
            if kind == "grant"
        )
        assert system.all_served()


async def test_owner_that_leaves_is_emptied():
    async with run_system(get_running_loop()) as system:
        for instance in system.instances.values():
            record = make_record("u3", ready=False)
            instance.view.directory.put(record, monotonic())
        await wait_for(
            lambda: not any(system.upstreams["u3"].holds(k) for k in SAMPLE_KEYS)
        )
        await wait_for(lambda: system.all_served() and system.all_follow())


async def test_restarted_owner_gets_keys_under_a_new_token():
    """The same identity with a later start holds nothing."""
    async with run_system(get_running_loop()) as system:
        highest = max(one.fence for one in system.upstreams["u1"].holdings)
        system.upstreams["u1"].holdings.clear()
        system.upstreams["u1"].connected.clear()
        for instance in system.instances.values():
            instance.view.directory.put(make_record("u1", born=2), monotonic())
        await wait_for(lambda: system.all_served() and system.all_follow())
        assert all(one.fence > highest for one in system.upstreams["u1"].holdings)


async def test_lost_answer_of_a_write_ends_no_term():
    async with run_system(get_running_loop()) as system:
        leader = system.find_leader()
        system.store.lost_answers = 3
        await sleep(0.6)
        assert system.find_leader() is leader
        assert system.all_served()


async def test_decisions_are_written_before_grants():
    async with run_system(get_running_loop()) as system:
        rows = [key for table, key in system.store.rows if table == OWNERSHIP_TABLE]
        assert rows == ["ledger"]
        row = system.store.rows[COORDINATOR_TABLE, "term"]
        assert decode_json(row.value, CoordinatorRow).epoch >= 1


async def test_keys_of_a_displaced_owner_move_at_once():
    """Pattern replace_with_reuse: another service has the address of an owner."""
    async with run_system(get_running_loop()) as system:
        upstream = system.upstreams["u1"]
        upstream.displaced = True
        upstream.holdings.clear()
        upstream.connected.clear()
        await wait_for(system.all_served, 0.45)


async def replace_leader_of_a_lost_owner(system):
    """
    Lose upstream u1, and its coordinator once it waits for the keys.

    Returns the instance that was the coordinator, to be closed, and the upstream.
    """
    lost = system.upstreams["u1"]
    lost.reachable = False
    for instance in system.instances.values():
        instance.view.directory.remove("u1", monotonic())
    old = system.find_leader()
    placement = old.follower.coordinator._placements["ledger"]
    await wait_for(lambda: bool(placement._moving), 1.0)
    await old.follower.leave()
    del system.instances[old.settings.name]
    await wait_for(lambda: system.find_leader() is not None)
    return old, lost


async def test_second_successor_knows_who_may_still_hold_keys():
    """A row that the first successor writes must name the holders it waits for."""
    async with run_system(get_running_loop()) as system:
        old, lost = await replace_leader_of_a_lost_owner(system)
        coordinator = system.find_leader().follower.coordinator
        await wait_for(lambda: coordinator._resumed)
        placement = coordinator._placements["ledger"]
        assert any(lost.holds(key) for key in SAMPLE_KEYS)
        row = placement.describe_row(coordinator.epoch, 0)
        assert "u1" in {one.previous for one in row.ranges}
        # Instances with the old map name the lost owner, which serves on for a while.
        await wait_for(lambda: not any(lost.holds(key) for key in SAMPLE_KEYS))
        await wait_for(lambda: system.all_served() and system.all_follow())
        row = placement.describe_row(coordinator.epoch, 0)
        assert "u1" not in {one.previous for one in row.ranges}
        old.follower.close()
