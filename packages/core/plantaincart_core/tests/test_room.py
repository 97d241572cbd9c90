"""Division of room under named loads, without a network."""

from collections import Counter, deque
from random import Random

import pytest
from plantaincart_core.room import RoomEstimate, RoomSettings
from plantaincart_core.roomaccount import MemberRoom, UpstreamRoom
from plantaincart_core.roomledger import RoomLedger
from plantaincart_core.roomshare import RoomGrant, RoomShare, list_fallback

SETTINGS = RoomSettings()
REPORT_S = 0.25
STEP_S = 0.005
SLOTS = 2
ROOM = 10
# Shortest interval between the reports of an instance at which requests wait.
ASK_S = 0.05


class Load:
    """Instances that send to upstreams by what a ledger has given them."""

    def __init__(self, instances, upstreams, keyed=False, speeds=(1.0,), work_s=0.06):
        self.random = Random(5)
        self.keyed = keyed
        self.work_s = work_s
        self.speeds = [speeds[i % len(speeds)] for i in range(upstreams)]
        self.names = [f"u{number}" for number in range(upstreams)]
        self.ledger = RoomLedger(SETTINGS, 100, Random(3), 0, 0.0)
        rooms = {
            name: UpstreamRoom(
                service="desk", data_centre="", units=ROOM - 2, keyed=keyed
            )
            for name in self.names
        }
        self.ledger.set_rooms(rooms)
        self.shares = [RoomShare(SETTINGS) for _ in range(instances)]
        self.waiting = [deque() for _ in self.shares]
        self.known = Counter()
        self.reported_at = [0.0] * instances
        self.queues = {name: deque() for name in self.names}
        self.running = {name: [] for name in self.names}
        self.sent = self.full = self.late = 0
        self.waits = []

    def report(self, number, now):
        self.reported_at[number] = now
        share = self.shares[number]
        share.give_back(self.names if self.keyed else ())
        report = MemberRoom(
            version=share.grant.version,
            held=share.list_held(now),
            in_use={
                n: share.count_in_use(n) for n in self.names if share.count_in_use(n)
            },
            wants={} if self.keyed else share.list_wants(now),
            waiting=share.list_waiting(),
        )
        if self.ledger.record_report(str(number), report, now):
            for other in range(len(self.shares)):
                self.tell(other, now)
        self.tell(number, now)

    def tell(self, number, now):
        granted = self.ledger.grant(str(number), now)
        if granted is None:
            return
        version, units = granted
        self.shares[number].apply(
            RoomGrant(
                epoch=1,
                version=version,
                units=units,
                rooms={"desk": ROOM},
                asked_at=now,
            )
        )

    def may_use(self, share, name, now):
        if self.keyed:
            return share.may_use_owner(name, "desk", self.known[name], now)
        return share.may_use(name, "desk", now)

    def send(self, number, now):
        """Send what waits at an instance, as far as it has room."""
        share, waiting = self.shares[number], self.waiting[number]
        for arrived_at, key in list(waiting):
            names = [key] if self.keyed else self.names
            names = [name for name in names if self.may_use(share, name, now)]
            if not names:
                continue
            name = min(names, key=lambda n: (self.known[n], self.random.random()))
            waiting.remove((arrived_at, key))
            share.record_waiting(key, "desk", -1, now)
            share.record_start(name, "desk", now)
            self.waits.append(now - arrived_at)
            self.sent += 1
            if len(self.queues[name]) + len(self.running[name]) >= ROOM:
                self.full += 1
                share.record_end(name, "desk", now)
            else:
                self.queues[name].append(number)

    def run(self, seconds, per_s, choose_key=None, start=0.0):
        steps = int(seconds / STEP_S)
        count = len(self.shares)
        for step in range(steps):
            now = start + step * STEP_S
            for number in range(count):
                phase = number * REPORT_S / count
                if (now - phase) % REPORT_S < STEP_S:
                    self.report(number, now)
            if step % round(REPORT_S / STEP_S) == 0:
                self.known = Counter(
                    {n: len(self.queues[n]) + len(self.running[n]) for n in self.names}
                )
            for _ in range(self.draw(per_s * STEP_S)):
                number = self.random.randrange(count)
                key = choose_key(self.random) if choose_key else self.names[0]
                self.waiting[number].append((now, key))
                self.shares[number].record_waiting(key, "desk", 1, now)
            for number in range(count):
                if self.waiting[number]:
                    self.send(number, now)
                if self.waiting[number] and now - self.reported_at[number] > ASK_S:
                    self.report(number, now)
                    self.send(number, now)
            self.work(now)

    def draw(self, mean):
        return int(mean) + (self.random.random() < mean % 1.0)

    def work(self, now):
        for name, speed in zip(self.names, self.speeds, strict=True):
            for end, number in [x for x in self.running[name] if x[0] <= now]:
                self.running[name].remove((end, number))
                self.shares[number].record_end(name, "desk", now)
            while self.queues[name] and len(self.running[name]) < SLOTS:
                work_s = self.work_s * self.random.uniform(0.5, 1.5) / speed
                self.running[name].append((now + work_s, self.queues[name].popleft()))

    def find_wait(self, share):
        return sorted(self.waits)[int(share * (len(self.waits) - 1))]


@pytest.mark.parametrize("instances", [70, 195, 300])
def test_fast_upstream_and_many_instances(instances):
    """All sent to an upstream that looked idle, which reset what it couldn't hold."""
    load = Load(instances, 43, speeds=(1.0, 1.0, 1.6))
    load.run(6.0, per_s=600.0)
    assert load.full == 0
    assert load.sent > 3400
    # Few wait although slots are free.
    assert load.find_wait(0.9) <= 0.05


def test_burst_of_1_6():
    load = Load(70, 43)
    load.run(3.0, per_s=600.0)
    load.run(3.0, per_s=960.0, start=3.0)
    assert load.full == 0
    assert load.find_wait(0.95) <= 0.1


def test_half_of_the_upstreams_slow():
    load = Load(70, 43, speeds=(1.0, 0.3))
    load.run(6.0, per_s=600.0)
    assert load.full == 0
    assert load.find_wait(0.95) <= 0.1


def test_hot_key_at_one_owner():
    """All instances sent a popular key's requests to its owner at once."""
    load = Load(70, 58, keyed=True, work_s=0.13)

    def choose(random):
        return "u7" if random.random() < 0.35 else random.choice(load.names)

    load.run(3.0, per_s=250.0, choose_key=lambda random: random.choice(load.names))
    assert load.full <= 0.01 * load.sent
    sent = load.sent
    load.run(5.0, per_s=250.0, choose_key=choose, start=3.0)
    assert load.full <= 0.01 * (load.sent - sent)
    # The owner isn't left idle while requests wait for it.
    assert len(load.running["u7"]) == SLOTS


def test_units_are_given_back_and_used_elsewhere():
    ledger = RoomLedger(SETTINGS, 1, Random(1), 0, 0.0)
    ledger.set_rooms(
        {"u1": UpstreamRoom(service="desk", data_centre="", units=4, keyed=False)}
    )
    ledger.record_report("r1", MemberRoom(wants={"desk": 4}), 0.0)
    version, units = ledger.grant("r1", 0.0)
    assert units == {"u1": 3}
    ledger.record_report("r2", MemberRoom(wants={"desk": 4}), 0.1)
    assert ledger.grant("r2", 0.1)[1] == {"u1": 1}
    # The first needs none any more; its units count until it has confirmed that.
    ledger.record_report("r1", MemberRoom(version=version, held=units), 0.2)
    version, units = ledger.grant("r1", 0.2)
    assert sum(units.values()) <= 1
    assert ledger.count_taken("u1") == 4
    ledger.record_report("r1", MemberRoom(version=version, held=units), 0.3)
    assert ledger.count_taken("u1") <= 2


def test_owner_that_is_not_scarce_is_not_divided():
    ledger = RoomLedger(SETTINGS, 1, Random(1), 0, 0.0)
    ledger.set_rooms(
        {"u1": UpstreamRoom(service="desk", data_centre="", units=8, keyed=True)}
    )
    assert not ledger.record_report("r1", MemberRoom(in_use={"u1": 4}), 0.0)
    assert ledger.grant("r1", 0.0)[1] == {}
    report = MemberRoom(in_use={"u1": 4}, waiting={"u1": 1})
    assert not ledger.record_report("r1", report, 0.1)
    assert ledger.grant("r1", 0.1)[1] == {"u1": 5}
    assert ledger.record_report("r2", MemberRoom(in_use={"u1": 2}), 0.2)
    assert ledger.grant("r3", 0.2) is None
    # At first only half of the room is given out, and others have more than that.
    assert ledger.grant("r2", 0.2)[1] == {"u1": 0}
    ledger.record_report("r2", MemberRoom(in_use={"u1": 2}), 0.6)
    assert ledger.grant("r2", 0.6)[1] == {"u1": 2}


def test_earlier_build_counts_by_its_requests():
    ledger = RoomLedger(SETTINGS, 1, Random(1), 0, 0.0)
    ledger.set_rooms(
        {"u1": UpstreamRoom(service="desk", data_centre="", units=4, keyed=False)}
    )
    ledger.record_report("old", MemberRoom(knows_room=False, in_use={"u1": 3}), 0.0)
    assert ledger.grant("old", 0.0) is None
    ledger.record_report("r1", MemberRoom(wants={"desk": 4}), 0.0)
    assert ledger.grant("r1", 0.0)[1] == {"u1": 1}


def test_bursts_of_an_earlier_build_keep_their_room():
    """Between its bursts it had no requests, and others got the room of the next."""
    ledger = RoomLedger(SETTINGS, 1, Random(1), 0, 0.0)
    ledger.set_rooms(
        {"u1": UpstreamRoom(service="desk", data_centre="", units=6, keyed=False)}
    )

    def report(now, in_use):
        earlier = MemberRoom(knows_room=False, in_use=in_use)
        ledger.record_report("old", earlier, now)
        own = MemberRoom(wants={"desk": 9}, in_use={"u1": 2}, waiting={"u1": 2})
        ledger.record_report("r1", own, now)
        return ledger.grant("r1", now)[1]["u1"]

    for step in range(12):
        assert report(step * REPORT_S, {} if step % 4 else {"u1": 3}) <= 3
    assert report(12 * REPORT_S + SETTINGS.demand_memory_s, {}) > 3


def test_lost_instance_counts_until_its_lease_has_ended():
    ledger = RoomLedger(SETTINGS, 1, Random(1), 0, 0.0)
    ledger.set_rooms(
        {"u1": UpstreamRoom(service="desk", data_centre="", units=4, keyed=False)}
    )
    ledger.record_report("r1", MemberRoom(wants={"desk": 9}), 0.0)
    ledger.grant("r1", 0.0)
    ledger.retain([], 3.0)
    assert ledger.count_taken("u1") == 3
    ledger.retain([], SETTINGS.lease_s + SETTINGS.end_s + 0.1)
    assert ledger.count_taken("u1") == 0


def test_instance_that_returns_after_its_lease_is_told_a_later_version():
    """It ignored its units, whose versions had begun anew."""
    ledger = RoomLedger(SETTINGS, 1, Random(1), 0, 0.0)
    ledger.set_rooms(
        {"u1": UpstreamRoom(service="desk", data_centre="", units=4, keyed=False)}
    )
    ledger.record_report("r1", MemberRoom(wants={"desk": 3}), 0.0)
    earlier, _ = ledger.grant("r1", 0.0)
    ledger.retain([], 10.0)
    ledger.record_report("r1", MemberRoom(version=earlier, wants={"desk": 3}), 11.0)
    assert ledger.grant("r1", 11.0)[0] > earlier


def test_new_ledger_gives_nothing_before_all_have_reported():
    ledger = RoomLedger(SETTINGS, 1, Random(1), 2, 0.0)
    ledger.set_rooms(
        {"u1": UpstreamRoom(service="desk", data_centre="", units=4, keyed=False)}
    )
    ledger.record_report("r1", MemberRoom(held={"u1": 2}, wants={"desk": 3}), 0.0)
    assert ledger.grant("r1", 0.0)[1] == {"u1": 2}
    ledger.record_report("r2", MemberRoom(held={"u1": 1}), 0.1)
    assert ledger.grant("r2", 0.1)[1] == {"u1": 1}
    assert ledger.grant("r1", 0.1)[1] == {"u1": 3}


@pytest.mark.parametrize(("instances", "upstreams"), [(5, 4), (5, 43), (70, 43)])
def test_instances_that_hear_nothing_share_the_reserve(instances, upstreams):
    names = [f"u{number}" for number in range(upstreams)]
    used = Counter(
        name
        for rank in range(instances)
        for name in list_fallback(names, instances, rank)
    )
    assert max(used.values()) <= -(-instances // upstreams)
    assert all(list_fallback(names, instances, rank) for rank in range(instances))


def test_room_is_reduced_only_if_several_upstreams_turn_requests_away():
    """One owner that still held requests whose callers had gone lowered it for all."""
    estimate = RoomEstimate(SETTINGS)
    for second in range(5):
        estimate.record_full("u1", 30, float(second))
    assert estimate.is_divided(instances=5, slots=2, now=5.0)
    assert estimate.find_room(slots=2) == 8
    for second in range(5, 8):
        for number in range(6):
            estimate.record_full(f"u{number}", 1, second + 0.01 * number)
    reduced = estimate.find_room(slots=2)
    assert 4 <= reduced < 8
    for second in range(8, 40):
        estimate.regrow(float(second))
    assert estimate.find_room(slots=2) == 8
    assert not estimate.is_divided(instances=5, slots=2, now=40.0)


def test_units_at_upstreams_that_are_of_no_use_move():
    ledger = RoomLedger(SETTINGS, 1, Random(1), 0, 0.0)
    room = UpstreamRoom(service="desk", data_centre="", units=4, keyed=False)
    ledger.set_rooms({"u1": room, "u2": room})
    ledger.record_report("r1", MemberRoom(wants={"desk": 2}), 0.0)
    version, units = ledger.grant("r1", 0.0)
    assert set(units) == {"u1", "u2"}
    report = MemberRoom(
        version=version, held=units, wants={"desk": 2}, avoided=frozenset({"u1"})
    )
    ledger.record_report("r1", report, 0.2)
    assert set(ledger.grant("r1", 0.2)[1]) == {"u2"}


def test_request_of_another_data_centre_gets_local_room_first():
    ledger = RoomLedger(SETTINGS, 1, Random(1), 0, 0.0)
    ledger.set_rooms(
        {
            name: UpstreamRoom(
                service="desk", data_centre=name[0], units=4, keyed=False
            )
            for name in ("a1", "a2", "b1", "b2")
        }
    )
    report = MemberRoom(wants={"desk": 2}, data_centre="b")
    # Others use some, so that the rest isn't divided.
    ledger.record_report("r2", MemberRoom(wants={"desk": 11}, data_centre="a"), 0.0)
    ledger.record_report("r1", report, 0.0)
    assert set(ledger.grant("r1", 0.0)[1]) == {"b1", "b2"}
