"""The cut by rank at several real instances with an in-memory store."""

from asyncio import create_task, get_running_loop, sleep
from contextlib import asynccontextmanager
from time import monotonic

from plantaincart_core.rank import Rank
from plantaincart_core.rankcut import RankCount, ShareCounter
from plantaincart_router.direct.rankfact import SILENCE_S
from plantaincart_router.direct.tests.fakes import make_notice, make_settings
from plantaincart_router.direct.tests.memorysystem import run_system, wait_for
from plantaincart_schema.generated.direct import MemberReport, RankShare

HIGH, LOW = Rank(0, 0), Rank(0, 2)
STEP_S = 0.02


class Load:
    """Asks each instance for more than all upstreams have room for."""

    def __init__(self, system, room_per_s, asked_per_s):
        self.system = system
        self.room_per_s = room_per_s
        self.asked_per_s = asked_per_s
        self.is_busy = True
        self._counters = {}
        self._task = create_task(self._run())

    async def _run(self):
        while True:
            await sleep(STEP_S)
            instances = list(self.system.instances.values())
            for instance in instances:
                self._play(instance, len(instances))

    def _play(self, instance, count):
        now, view = monotonic(), instance.view
        for record in view.directory:
            occupied = record.slots * len(self.system.instances)
            total = occupied if self.is_busy else 0
            view.loads.record_in_flight(record.id, total, record.slots, now)
        admitted = []
        for rank, per_s in self.asked_per_s.items():
            counter = self._counters.setdefault(
                (instance.settings.name, rank), ShareCounter()
            )
            for _ in range(round(per_s * STEP_S / count)):
                share = view.rank_fact.find_share("ledger", rank, now)
                passes = counter.admits(share, is_returning=False)
                count_ = RankCount(asked=1, cut=0 if passes else 1)
                view.rank_fact.record("ledger", rank, count_)
                admitted += [rank] * passes
        room = round(self.room_per_s * STEP_S / count)
        total = max(1, len(admitted), room)
        for index, rank in enumerate(admitted):
            is_served = index * room // total != (index + 1) * room // total
            is_served = is_served or len(admitted) <= room
            end = RankCount(served=1) if is_served else RankCount(refused=1)
            view.rank_fact.record("ledger", rank, end)

    def stop(self):
        self._task.cancel()


@asynccontextmanager
async def run_load(room_per_s, asked_per_s):
    async with run_system(get_running_loop()) as system:
        load = Load(system, room_per_s, asked_per_s)
        try:
            yield system, load
        finally:
            load.stop()


def list_shares(system, rank):
    now = monotonic()
    return [
        instance.view.rank_fact.find_share("ledger", rank, now)
        for instance in system.instances.values()
    ]


def is_cut(system):
    return max(list_shares(system, LOW)) < 0.8 and min(list_shares(system, HIGH)) > 0.9


SHORT = {HIGH: 600.0, LOW: 1500.0}


async def test_all_instances_make_the_same_cut_and_open_again():
    """1.7 times the room, at all instances (pattern burst)."""
    async with run_load(1200.0, SHORT) as (system, load):
        await wait_for(lambda: is_cut(system), 3.0)
        await wait_for(lambda: len(set(list_shares(system, LOW))) == 1)
        load.asked_per_s = {HIGH: 300.0, LOW: 450.0}
        load.is_busy = False
        await wait_for(lambda: min(list_shares(system, LOW)) == 1.0, 1.5)


async def test_cut_outlasts_the_coordinator():
    """The coordinator is killed during a burst (pattern node_kill)."""
    async with run_load(1200.0, SHORT) as (system, _):
        await wait_for(lambda: is_cut(system), 3.0)
        system.kill(system.find_coordinator().settings.name)
        killed_at = monotonic()
        uncut_s = 0.0
        while monotonic() - killed_at < 3.0:
            await sleep(0.05)
            uncut_s += 0.05 * (max(list_shares(system, LOW)) >= 1.0)
        assert uncut_s <= 1.0
        assert system.find_coordinator() is not None
        assert is_cut(system)


async def test_cut_beside_an_earlier_build():
    """One instance reports no ranks and knows of no shares (pattern roll_term)."""
    async with run_load(1200.0, SHORT) as (system, load):
        coordinator = system.find_coordinator()
        earlier = next(
            item for item in system.instances.values() if item is not coordinator
        )
        fact = earlier.view.rank_fact
        fact.describe = lambda now, is_newly_connected: {}
        fact.apply = lambda notice, now: None
        others = [item for item in system.instances.values() if item is not earlier]

        def list_others(rank):
            now = monotonic()
            return [
                item.view.rank_fact.find_share("ledger", rank, now) for item in others
            ]

        await wait_for(lambda: max(list_others(LOW)) < 0.8, 3.0)
        assert min(list_others(HIGH)) > 0.9
        assert fact.find_share("ledger", LOW, monotonic()) == 1.0
        load.asked_per_s = {HIGH: 300.0, LOW: 450.0}
        load.is_busy = False
        await wait_for(lambda: min(list_others(LOW)) == 1.0, 1.5)


async def test_instance_that_hears_nothing_during_a_cut():
    """One instance is cut off from the coordinator amid a burst (pattern core_cut)."""
    async with run_load(1200.0, SHORT) as (system, _):
        await wait_for(lambda: is_cut(system), 3.0)
        coordinator = system.find_coordinator()
        alone = next(
            item for item in system.instances.values() if item is not coordinator
        )
        alone.view.rank_fact.apply = lambda notice, now: None
        await sleep(2.0 * SILENCE_S)
        now = monotonic()
        fact = alone.view.rank_fact
        assert fact.find_share("ledger", HIGH, now) > 0.85
        assert fact.find_share("ledger", LOW, now) < 0.9
        others = [item for item in system.instances.values() if item is not alone]
        assert all(
            item.view.rank_fact.find_share("ledger", LOW, now) < 0.8 for item in others
        )


def make_short_notice(share):
    item = RankShare(service="ledger", account=0, route=2, share=share)
    return make_notice(rank_shares=[item], watch_ranks=True)


async def test_instance_that_hears_nothing_opens_by_its_own_sums():
    """A single instance is cut off from the coordinator (pattern node_cut)."""
    async with run_system(get_running_loop(), names=("r1",)) as system:
        system.find_coordinator().follower.close()
        fact = system.instances["r1"].view.rank_fact
        now = monotonic()
        fact.apply(make_short_notice(0.4), now)
        assert fact.find_share("ledger", LOW, now + 0.9 * SILENCE_S) == 0.4
        counter = ShareCounter()
        now += SILENCE_S
        shares = []
        for step in range(400):
            at = now + step * 0.01
            share = fact.find_share("ledger", LOW, at)
            shares.append(share)
            passes = counter.admits(share, is_returning=False)
            fact.record("ledger", LOW, RankCount(asked=1, cut=1 - passes))
            if passes:
                fact.record("ledger", LOW, RankCount(served=1))
        assert shares[1] == 0.4
        assert shares[-1] == 1.0


async def test_nothing_is_reported_while_there_is_room():
    async with run_system(get_running_loop(), names=("r1",)) as system:
        fact = system.instances["r1"].view.rank_fact
        fact.record("ledger", HIGH, RankCount(asked=1, served=1))
        assert fact.describe(monotonic(), False) == {}


def test_messages_of_an_earlier_build_lack_the_fields():
    assert make_notice().rank_shares == []
    assert make_notice().watch_ranks is False
    report = MemberReport(
        member=make_settings().name,
        incarnation="1",
        address="a:1",
        epoch=0,
        map_version=0,
        store_silent_s=0.0,
    )
    assert report.ranks == []
