"""Rank at a single owner of keys, each test with the load that it answers."""

from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest
from plantaincart_core.admission import LatencyEstimate, decide_admission
from plantaincart_core.rank import Rank
from plantaincart_core.upstreamload import LoadSettings, UpstreamLoads
from plantaincart_core.waitbound import MEMORY_S, WaitBounds

URGENT, LOW = Rank(0, 0), Rank(0, 2)
WORK_S = 0.12
SLOTS = 2
# Requests per second that the owner can run.
ROOM_PER_S = SLOTS / WORK_S
TARGETS_S = {URGENT: 0.5, LOW: 2.5}
STANDING_SHARES = {URGENT: 1.2, LOW: 1.0}
USUAL_SHARES = {URGENT: 2.2, LOW: 1.5}
LOAD_S = 6.0
# Share of an owner's room that is free for the most urgent; the rest is a floor.
URGENT_SHARE = 0.7


class Owner:
    """An owner that runs requests as they arrive, for one instance that admits them."""

    def __init__(self, seed=1):
        self.random = Random(seed)
        self.loads = UpstreamLoads(LoadSettings())
        self.bounds = WaitBounds()
        self.now = 0.0
        self.events, self.order = [], count()
        self.queue, self.running = [], 0
        self.speed = 1.0

    def play(self, seconds, per_s):
        """Return the requests asked, admitted and answered in time by rank."""
        self.counts = {rank: [0, 0, 0] for rank in per_s}
        until = self.now + seconds
        for rank, rate in per_s.items():
            self._push(self.random.expovariate(rate), "arrive", rank, rate, until)
        while self.events and self.events[0][0] < until:
            self.now, _, kind, *details = heappop(self.events)
            getattr(self, kind)(*details)
        self.now = until
        return self.counts

    def arrive(self, rank, rate, until):
        if self.now >= until:
            return
        self._push(self.random.expovariate(rate), "arrive", rank, rate, until)
        self.counts[rank][0] += 1
        if self._admits(rank):
            self.counts[rank][1] += 1
            self.queue.append((rank, self.now))
            self._start()

    def _admits(self, rank):
        now, loads = self.now, self.loads
        in_flight = self.running + len(self.queue)
        loads.record_in_flight("u", in_flight, SLOTS, now)
        wait_s = loads.estimate_wait_s("u", SLOTS, WORK_S / self.speed, now)
        self.bounds.record("desk", str(rank), rank, TARGETS_S[rank], WORK_S, now)
        standing = loads.has_standing_queue("u", now)
        share = (STANDING_SHARES if standing else USUAL_SHARES)[rank]
        expected = LatencyEstimate(
            wait_s=wait_s,
            work_s=WORK_S / self.speed,
            remaining_s=5.0,
            target_s=TARGETS_S[rank],
        )
        if not decide_admission(expected, share).admitted:
            self.bounds.record_end("desk", is_admitted=False)
            return False
        slowness = 1.0 / self.speed
        return self.bounds.admits("desk", rank, wait_s, share, slowness, now)

    def _start(self):
        while self.running < SLOTS and self.queue:
            self.running += 1
            work_s = self.random.uniform(0.5, 1.5) * WORK_S / self.speed
            self._push(work_s, "end", *self.queue.pop(0))

    def end(self, rank, arrived_at):
        self.running -= 1
        if rank in self.counts:
            self.counts[rank][2] += self.now - arrived_at <= TARGETS_S[rank]
        self._start()

    def _push(self, delay_s, *event):
        heappush(self.events, (self.now + delay_s, next(self.order), *event))


USUAL = {URGENT: 0.5 * ROOM_PER_S, LOW: 0.1 * ROOM_PER_S}
LOADS = {
    "1.7 times the room": {URGENT: 0.85 * ROOM_PER_S, LOW: 0.85 * ROOM_PER_S},
    "3 times the room": {URGENT: 0.9 * ROOM_PER_S, LOW: 2.1 * ROOM_PER_S},
    "a low rank at ten times its usual": {
        URGENT: 0.5 * ROOM_PER_S,
        LOW: 1.0 * ROOM_PER_S,
    },
}


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("name", LOADS)
def test_urgent_requests_keep_their_place_at_a_short_owner(name, seed):
    """Demand beyond one owner's room (patterns hot_key, burst of one route)."""
    owner = Owner(seed)
    owner.play(2.0, USUAL)
    owner.play(1.0, LOADS[name])
    asked, admitted, _ = owner.play(LOAD_S, LOADS[name])[URGENT]
    low_asked, low_admitted, _ = owner.counts[LOW]
    assert admitted >= 0.85 * min(asked, URGENT_SHARE * ROOM_PER_S * LOAD_S)
    # None starves: a quarter of what all would get without ranks.
    fair = ROOM_PER_S * LOAD_S / (asked + low_asked)
    assert low_admitted >= 0.25 * fair * low_asked
    owner.play(1.0, USUAL)
    for asked, admitted, _ in owner.play(2.0, USUAL).values():
        assert admitted >= 0.95 * asked


def test_urgent_requests_at_an_owner_that_turns_slow():
    """The room of an owner is halved for a while (pattern srv_slow)."""
    owner = Owner()
    owner.play(2.0, USUAL)
    owner.speed = 0.5
    load = {URGENT: 0.4 * ROOM_PER_S, LOW: 0.5 * ROOM_PER_S}
    owner.play(1.0, load)
    asked, admitted, _ = owner.play(LOAD_S, load)[URGENT]
    assert admitted >= 0.85 * min(asked, URGENT_SHARE * ROOM_PER_S * LOAD_S / 2.0)
    owner.speed = 1.0
    owner.play(1.0, USUAL)
    assert all(row[1] >= 0.95 * row[0] for row in owner.play(2.0, USUAL).values())


def test_routes_that_send_nothing_bind_nobody():
    bounds = WaitBounds()
    bounds.record("desk", "lookup", URGENT, 0.3, 0.1, now=0.0)
    assert bounds.find_longest_s("desk", LOW, 1.0, 1.0, now=MEMORY_S + 0.1) == float(
        "inf"
    )
    assert bounds.find_longest_s("other", LOW, 1.0, 1.0, now=0.1) == float("inf")


def test_target_shorter_than_the_work_leaves_the_floor():
    bounds = WaitBounds()
    bounds.record("desk", "lookup", URGENT, 0.1, 0.3, now=0.0)
    assert bounds.find_longest_s("desk", LOW, 1.0, 1.0, now=0.1) == 0.0
    for _ in range(500):
        bounds.record_end("desk", is_admitted=False)
        bounds.record_end("desk", is_admitted=True)
    admitted = sum(
        bounds.admits("desk", LOW, 0.2, 1.0, 1.0, now=0.1) for _ in range(40)
    )
    assert 1 <= admitted <= 5
