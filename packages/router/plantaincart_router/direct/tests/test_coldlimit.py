"""Cold upstreams get no more from all instances together than they bear (FAILBACK)."""

from asyncio import get_running_loop, sleep
from time import monotonic
from types import SimpleNamespace
from zlib import crc32

import pytest
from plantaincart_core.fleetdivision import HANDOVER_S
from plantaincart_router.direct import view as view_module
from plantaincart_router.direct.candidates import ColdFilter
from plantaincart_router.direct.coldlimiter import ColdUpstreamLimiter
from plantaincart_router.direct.pool import UpstreamPools
from plantaincart_router.direct.settings import BoundSettings
from plantaincart_router.direct.tests.fakes import (
    PlainReader,
    make_record,
    make_settings,
)
from plantaincart_router.direct.tests.memorysystem import run_system
from plantaincart_router.direct.view import SystemView
from plantaincart_schema.generated.direct import CoordinatorNotice

BOUNDS = BoundSettings(cold_ratio=1.5, cold_extra=8.0)
COLD_PER_S = 5.7
# Requests that a cold upstream bears in any second, from all instances.
BOUND = COLD_PER_S * BOUNDS.cold_ratio + BOUNDS.cold_extra
STEP_S = 0.05
COLD_S = 3.0
UPSTREAMS = [f"u{number}" for number in range(12)]


class Entry:
    """One of several instances, with callers that always have a request."""

    def __init__(self, name, clock, keyed):
        self.name = name
        self.clock = clock
        settings = make_settings(name, bounds=BOUNDS)
        self.view = SystemView(settings, PlainReader(), UpstreamPools(settings.send))
        self.limiter = ColdUpstreamLimiter(BOUNDS)
        self.filter = ColdFilter(self.view, self.limiter)
        service = SimpleNamespace(cold_requests_per_s=COLD_PER_S, keyed=keyed)
        self.call = SimpleNamespace(service=service)

    def hear(self, members, rank, epoch=1):
        notice = CoordinatorNotice(
            coordinator="r1",
            epoch=epoch,
            map_version=1,
            complete=True,
            members=members,
            rank=rank,
        )
        self.view.apply_notice(notice)

    def announce(self, record):
        self.view.directory.put(record, self.clock.now)

    def send_all(self, records):
        """Send what the limits allow; return the upstreams, one for each request."""
        sent = []
        for record in records:
            while self.filter.allows(self.call, record, self.clock.now):
                self.limiter.record(record.id, self.clock.now)
                sent.append(record.id)
        return sent


class Fleet:
    """Instances, a coordinator that numbers them, and the requests that they send."""

    def __init__(self, monkeypatch, size, keyed):
        self.now = 100.0
        monkeypatch.setattr(view_module, "monotonic", lambda: self.now)
        self.keyed = keyed
        self.records = []
        self.sent = []
        names = sorted(f"edge-{number}" for number in range(size))
        self.entries = {name: Entry(name, self, keyed) for name in names}
        self.members = set(names)
        self.deaf = set()
        self.epoch = 1
        self.run(8.0)

    def notify(self):
        names = sorted(self.members)
        for rank, name in enumerate(names):
            # Notices reach the instances at different moments.
            phase = crc32(name.encode()) % 4
            if name not in self.deaf and round(self.now / STEP_S) % 4 == phase:
                self.entries[name].hear(len(names), rank, self.epoch)

    def restart_upstreams(self):
        self.records = [
            make_record(name, warmup_left_s=COLD_S, born=round(self.now * 1000))
            for name in UPSTREAMS
        ]
        for entry in self.entries.values():
            for record in self.records:
                entry.announce(record)

    def run(self, duration_s):
        for _ in range(round(duration_s / STEP_S)):
            self.notify()
            for entry in self.entries.values():
                for upstream in entry.send_all(self.records):
                    self.sent.append((self.now, upstream))
            self.now += STEP_S

    def count_worst_second(self):
        worst = 0
        for upstream in UPSTREAMS:
            times = [at for at, name in self.sent if name == upstream]
            for first in times:
                worst = max(worst, sum(first <= at < first + 1.0 for at in times))
        return worst


@pytest.fixture(params=[False, True], ids=["unkeyed", "keyed"])
def keyed(request):
    return request.param


def test_count_of_instances_falls_while_upstreams_are_cold(monkeypatch, keyed):
    """A data centre comes back cold after an instance has lost the store."""
    fleet = Fleet(monkeypatch, 70, keyed)
    fleet.members.discard("edge-2")
    fleet.run(4.0)
    fleet.restart_upstreams()
    fleet.run(COLD_S - STEP_S)
    assert 10 <= fleet.count_worst_second() <= BOUND


def test_instance_returns_while_upstreams_are_cold(monkeypatch, keyed):
    """The count rises again while the upstreams are cold."""
    fleet = Fleet(monkeypatch, 70, keyed)
    fleet.members.discard("edge-2")
    fleet.run(9.0)
    fleet.restart_upstreams()
    fleet.run(1.0)
    fleet.members.add("edge-2")
    fleet.run(COLD_S - 1.0 - STEP_S)
    assert 10 <= fleet.count_worst_second() <= BOUND


def test_coordinator_changes_while_instances_hear_nothing(monkeypatch, keyed):
    """A new coordinator knows few instances at first; some are cut off from it."""
    fleet = Fleet(monkeypatch, 5, keyed)
    fleet.restart_upstreams()
    fleet.run(0.5)
    fleet.deaf = {"edge-3"}
    fleet.epoch, fleet.members = 2, {"edge-0", "edge-1"}
    fleet.run(0.5)
    fleet.members = {"edge-0", "edge-1", "edge-2", "edge-4"}
    fleet.run(COLD_S - 1.0 - STEP_S)
    assert 10 <= fleet.count_worst_second() <= BOUND


def test_instances_that_hear_nothing_send_nothing_cold(monkeypatch, keyed):
    """Two of five are cut off from the coordinator, and the others share the limit."""
    fleet = Fleet(monkeypatch, 5, keyed)
    fleet.deaf = {"edge-1", "edge-3"}
    fleet.members -= fleet.deaf
    fleet.run(10.0)
    fleet.restart_upstreams()
    fleet.run(1.0)
    fleet.deaf = set()
    fleet.members = set(fleet.entries)
    fleet.run(COLD_S - 1.0 - STEP_S)
    assert 10 <= fleet.count_worst_second() <= BOUND


def test_replaced_process_has_forgotten_what_it_sent(monkeypatch, keyed):
    """An instance is killed and back within a second, with the same rank."""
    fleet = Fleet(monkeypatch, 3, keyed)
    fleet.restart_upstreams()
    fleet.run(0.5)
    entry = fleet.entries["edge-0"] = Entry("edge-0", fleet, keyed)
    for record in fleet.records:
        entry.announce(record)
    fleet.run(COLD_S - 0.5 - STEP_S)
    assert 10 <= fleet.count_worst_second() <= BOUND


def test_share_above_sixty_four_requests(monkeypatch):
    """Two instances share a high limit: each has more units than it remembered."""
    monkeypatch.setattr(__name__ + ".COLD_PER_S", 200.0)
    fleet = Fleet(monkeypatch, 2, False)
    fleet.restart_upstreams()
    fleet.run(0.2)
    assert 200 <= fleet.count_worst_second() <= 200.0 * 1.5 + 8.0


async def test_coordinator_lost_and_instance_added_amid_a_cold_return():
    """Five instances; the coordinator is killed, a sixth starts, another is cut off."""
    loop = get_running_loop()
    call = SimpleNamespace(
        service=SimpleNamespace(cold_requests_per_s=COLD_PER_S, keyed=False)
    )
    limiters, sent = {}, []

    async def send_for(duration_s):
        until = monotonic() + duration_s
        while monotonic() < until:
            for name, instance in system.instances.items():
                limiter = limiters.setdefault(name, ColdUpstreamLimiter(BOUNDS))
                cold_filter = ColdFilter(instance.view, limiter)
                for record in list(instance.view.directory):
                    now = monotonic()
                    while cold_filter.allows(call, record, now):
                        limiter.record(record.id, now)
                        sent.append((now, record.id))
            await sleep(0.02)

    async with run_system(loop, names=("r1", "r2", "r3", "r4", "r5")) as system:
        await sleep(HANDOVER_S + 0.2)
        for instance in system.instances.values():
            for name in system.upstreams:
                record = make_record(name, warmup_left_s=9.0)
                instance.view.directory.put(record, monotonic())
        await send_for(0.5)
        system.kill(system.find_coordinator().settings.name)
        await send_for(0.7)
        added = system.add("r6", loop)
        for name in system.upstreams:
            record = make_record(name, warmup_left_s=9.0)
            added.view.directory.put(record, monotonic())
        await send_for(1.0)
        deaf = next(
            item for item in system.instances.values() if not item.is_coordinator
        )
        deaf.view.apply_notice = lambda notice: True
        await send_for(HANDOVER_S + 0.5)
    for upstream in system.upstreams:
        times = [at for at, name in sent if name == upstream]
        worst = max(sum(first <= at < first + 1.0 for at in times) for first in times)
        assert 8 <= worst <= BOUND
