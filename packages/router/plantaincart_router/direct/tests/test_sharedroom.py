"""Several instances never have more room at an upstream than it holds."""

from asyncio import create_task, get_running_loop, sleep
from contextlib import asynccontextmanager
from dataclasses import replace
from time import monotonic

import pytest
from plantaincart_core.room import RoomSettings
from plantaincart_core.roomshare import RoomGrant
from plantaincart_router.direct.messagecheck import check_notice, check_report
from plantaincart_router.direct.tests.fakes import make_notice, make_plan, make_record
from plantaincart_router.direct.tests.memorysystem import run_system, wait_for
from plantaincart_schema.codec import decode_msgpack, encode_msgpack
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.direct import CoordinatorNotice, MemberReport

NAMES = ("r1", "r2", "r3", "r4", "r5")
SERVICE = "ledger"
ROOM = 8
TIMES = RoomSettings(lease_s=0.8, end_s=0.3)


class SumWatch:
    """Records the greatest sum of what the instances may have at one upstream."""

    def __init__(self, views, upstreams):
        self.views = list(views)
        self.upstreams = upstreams
        self.greatest = 0
        self.sums = []
        self._task = create_task(self._watch())

    def count(self, name):
        return sum(count_usable(view, name) for view in self.views)

    async def _watch(self):
        while True:
            self.sums = [self.count(name) for name in self.upstreams]
            self.greatest = max(self.greatest, *self.sums)
            await sleep(0.005)

    def stop(self):
        self._task.cancel()
        assert self.greatest <= ROOM


def count_usable(view, name):
    """Count the requests that an instance may have at an upstream."""
    room, now = view.room, monotonic()
    if not room.share.is_divided(SERVICE):
        return 0
    if room.share.has_lease(now):
        return room.share.grant.units.get(name, 0)
    return name in room._list_fallback(SERVICE, now)


def divide(view, settings=TIMES):
    """Replace the times, and state that upstreams were full."""
    view.room.settings = view.room.share._settings = settings
    for name in ("u0", "u1", "u2"):
        view.room.record_full(view.directory.get(name))


@asynccontextmanager
async def run_divided(upstreams=4, keyed=False, earlier=()):
    async with run_system(get_running_loop(), NAMES, upstreams) as system:
        views = {name: item.view for name, item in system.instances.items()}
        # The term has begun with the usual times.
        for view in views.values():
            view.room.settings = view.room.share._settings = TIMES
        for name in earlier:
            forget_room(views[name])
        for view in views.values():
            view.routing_config = make_plan(version=2, keyed=keyed)
        for view in views.values():
            divide(view)
        aware = [view for name, view in views.items() if name not in earlier]
        await wait_for(lambda: all(v.room.share.is_divided(SERVICE) for v in aware))
        watch = SumWatch(aware, list(system.upstreams))
        yield system, views, watch
        watch.stop()


def forget_room(view):
    """Make an instance report as an earlier build does."""
    view.facts = tuple(f for f in view.facts if type(f).__name__ != "RoomFact")


async def test_all_instances_get_room_and_no_more_than_there_is():
    async with run_divided() as (_, views, watch):
        await sleep(0.5)
        assert all(sum(v.room.share.grant.units.values()) for v in views.values())
        # Most of it is given out.
        assert sum(watch.sums) >= 0.5 * ROOM * len(watch.upstreams)


async def test_sum_is_kept_while_the_coordinator_is_lost():
    """A new coordinator gave out what its predecessor had given out."""
    async with run_divided() as (system, views, watch):
        await sleep(0.3)
        lost = system.find_coordinator()
        name = next(n for n, item in system.instances.items() if item is lost)
        system.kill(name)
        await wait_for(lambda: system.find_coordinator() is not None, 8.0)
        await sleep(2.0)
        left = [view for other, view in views.items() if other != name]
        assert all(view.room.share.has_lease(monotonic()) for view in left)
        assert sum(watch.sums) >= 0.4 * ROOM * len(watch.upstreams)


async def test_sum_is_kept_with_an_instance_that_hears_nothing():
    """It goes on with its units until they end, and then with its reserve."""
    async with run_divided() as (system, views, _watch):
        await sleep(0.3)
        name = next(
            n for n, item in system.instances.items() if not item.is_coordinator
        )
        system.instances[name].follower.close()
        view = views[name]
        await wait_for(lambda: not view.room.share.has_lease(monotonic()))
        await sleep(1.5)
        usable = [u for u in system.upstreams if count_usable(view, u)]
        assert len(usable) == 1
        record = view.directory.get(usable[0])
        assert view.room.try_acquire(record, monotonic())
        assert not view.room.has_room(record, monotonic())
        view.room.release(record)


async def test_frozen_instance_does_not_use_units_that_have_ended():
    """A notice that waited in a socket made units valid again when it was read."""
    async with run_divided() as (_, views, _watch):
        view = views["r2"]
        stale = view.room.share.grant
        old = replace(stale, asked_at=monotonic() - TIMES.lease_s - 0.1)
        view.room.share.grant = replace(old, version=0)
        view.room.apply(old)
        assert not view.room.share.has_lease(monotonic())


async def test_earlier_build_is_counted_by_its_requests():
    async with run_divided(upstreams=3, earlier=("r5",)) as (_, views, watch):
        views["r5"].loads.get("u0").in_flight = 5
        await sleep(0.6)
        assert watch.count("u0") + 5 <= ROOM
        await sleep(0.3)
        assert watch.count("u0") + 5 <= ROOM


async def test_waiting_requests_get_a_scarce_owner_by_turns():
    """Hot key at one owner: all instances sent to it at once."""
    async with run_divided(keyed=True) as (_, views, watch):
        record = make_record("u1")
        held, served, tasks = [0], [0], []

        async def request(view):
            view.room.record_waiting(record, 1)
            await wait_for(lambda: view.room.try_acquire(record, monotonic()), 8.0)
            view.room.record_waiting(record, -1)
            held[0] += 1
            assert held[0] <= ROOM
            await sleep(0.05)
            held[0] -= 1
            served[0] += 1
            view.room.release(record)

        for _ in range(8):
            tasks += [create_task(request(view)) for view in views.values()]
            await sleep(0.02)
        await wait_for(lambda: served[0] == len(tasks), 8.0)
        for task in tasks:
            await task
        assert watch.greatest <= ROOM


async def test_instance_gives_way_to_an_earlier_coordinator():
    """Units of a lost coordinator held although its successor knew none."""
    async with run_divided() as (_, views, _watch):
        view = views["r1"]
        epoch = view.epoch + 1
        view.room.apply(RoomGrant(epoch=epoch))
        assert not view.room.share.is_divided(SERVICE)
        assert view.room.has_room(make_record("u1"), monotonic())


def test_messages_with_impossible_room_are_refused():
    report = MemberReport(
        member="r1",
        incarnation="1",
        address="a:1",
        epoch=0,
        map_version=0,
        store_silent_s=0.0,
        room={"u1": 2},
        room_asked_at=5.0,
    )
    check_report(decode_msgpack(encode_msgpack(report), MemberReport))
    for fields in (
        {"room": {"u1": -1}},
        {"room_asked_at": float("nan")},
        {"room_queues": {"s": float("inf")}},
        {"room_wants": {"s" * 300: 1}},
    ):
        with pytest.raises(MalformedMessageError):
            check_report(replace(report, **fields))
    for fields in ({"room_services": {"s": -1}}, {"room_version": -1}):
        with pytest.raises(MalformedMessageError):
            check_notice(make_notice(**fields))
    assert make_notice().room_version == 0
    assert CoordinatorNotice.__dataclass_fields__["room"].default_factory() == {}
