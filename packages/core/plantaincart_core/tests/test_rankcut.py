"""Division of a service's room by rank, each test with the load that it answers."""

from collections import Counter, deque
from itertools import pairwise

import pytest
from plantaincart_core.rank import Rank
from plantaincart_core.rankcut import (
    STEP_S,
    RankCount,
    RankCut,
    ShareCounter,
    divide_room,
)

HIGH, MIDDLE, LOW = Rank(0, 0), Rank(0, 1), Rank(0, 2)
ROOM_PER_S = 400.0
# A burst lasts for so long; recovery may take a second.
BURST_S, RECOVERY_S = 3.0, 1.0
USUAL = {HIGH: 120.0, MIDDLE: 80.0, LOW: 120.0}


class Service:
    """Upstreams that serve what they have room for, without regard to rank."""

    def __init__(self):
        self.cut = RankCut()
        self.now = 0.0
        self.cut.update(self.now, 0.0)

    def play(self, seconds, asked_per_s, room_per_s=ROOM_PER_S):
        """Return the shares that were served by step and rank."""
        steps = []
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            asked = {rank: per_s * STEP_S for rank, per_s in asked_per_s.items()}
            shares = {rank: self.cut.shares.get(rank, 1.0) for rank in asked}
            passed = {rank: asked[rank] * shares[rank] for rank in asked}
            total, room = sum(passed.values()), room_per_s * STEP_S
            served = min(1.0, room / max(total, 1e-9))
            for rank in asked:
                count = RankCount(
                    asked=round(asked[rank]),
                    cut=round(asked[rank] - passed[rank]),
                    served=round(passed[rank] * served),
                    refused=round(passed[rank] * (1.0 - served)),
                )
                self.cut.record(rank, count)
            self.cut.update(self.now, min(1.0, total / room))
            steps.append({rank: shares[rank] * served for rank in asked})
        return steps


def sum_served(step, asked_per_s):
    return sum(share * asked_per_s[rank] for rank, share in step.items())


def scale(factors):
    return {rank: USUAL[rank] * factor for rank, factor in factors.items()}


LOADS = {
    "1.7 times the room": scale({HIGH: 2.1, MIDDLE: 2.1, LOW: 2.1}),
    "3 times the room": scale({HIGH: 3.75, MIDDLE: 3.75, LOW: 3.75}),
    "a third retries at once three times": scale({HIGH: 2.0, MIDDLE: 2.0, LOW: 2.0}),
    "a low rank at ten times its usual": scale({HIGH: 1.0, MIDDLE: 1.0, LOW: 10.0}),
}


@pytest.mark.parametrize("name", LOADS)
def test_overload_is_admitted_by_rank(name):
    """Demand beyond the room for 3 s (patterns burst, retry_abuse)."""
    service = Service()
    service.play(2.0, USUAL)
    assert service.cut.shares == {}
    asked = LOADS[name]
    steps = service.play(BURST_S, asked)[round(1.0 / STEP_S) :]
    total_per_s = sum(asked.values())
    for step in steps:
        # Upstreams don't run empty, and no rank is served before a more urgent one.
        assert sum_served(step, asked) >= 0.9 * ROOM_PER_S
        shares = [step[rank] for rank in sorted(step)]
        assert all(more >= less - 0.05 for more, less in pairwise(shares))
        assert min(shares) >= 0.25 * ROOM_PER_S / total_per_s
        fits = min(1.0, 0.7 * ROOM_PER_S / asked[HIGH])
        assert step[HIGH] >= 0.85 * fits
    # The shares don't flap.
    highs = [step[HIGH] for step in steps]
    assert max(highs) - min(highs) <= 0.15
    after = service.play(2.0, USUAL)[round(RECOVERY_S / STEP_S) :]
    assert all(min(step.values()) > 0.99 for step in after)


def test_room_halved_by_slow_upstreams():
    """Half of the room is missing for 6 s (pattern srv_slow)."""
    service = Service()
    service.play(2.0, USUAL)
    half = ROOM_PER_S / 2.0
    steps = service.play(6.0, USUAL, half)[round(1.0 / STEP_S) :]
    assert all(sum_served(step, USUAL) >= 0.9 * half for step in steps)
    assert all(step[HIGH] >= 0.85 for step in steps)
    assert all(step[LOW] >= 0.25 * half / sum(USUAL.values()) for step in steps)
    after = service.play(2.0, USUAL)[round(RECOVERY_S / STEP_S) :]
    assert all(min(step.values()) > 0.95 for step in after)


def test_ranks_split_from_another_service_count_as_their_own():
    """A route is split onto the service of less urgent ones (new configuration)."""
    service = Service()
    service.play(2.0, {LOW: 300.0})
    asked = {HIGH: 200.0, LOW: 300.0}
    steps = service.play(3.0, asked)[round(1.0 / STEP_S) :]
    assert all(step[HIGH] >= 0.9 for step in steps)
    assert all(step[LOW] >= 0.5 for step in steps)


def test_urgent_rank_without_requests_is_admitted():
    """A route stops to use the service for a moment, and comes back."""
    asked = {HIGH: 0.0, MIDDLE: 100.0, LOW: 400.0}
    shares = divide_room(250.0, asked)
    assert (shares[HIGH], shares[MIDDLE]) == (1.0, 1.0)
    shares = divide_room(250.0, {HIGH: 400.0, MIDDLE: 100.0, LOW: 0.0})
    assert shares[HIGH] > shares[MIDDLE] == shares[LOW]


def test_requests_of_one_rank_are_not_cut():
    """Nobody more urgent would get the room (pattern burst)."""
    service = Service()
    service.play(2.0, {LOW: 700.0})
    assert service.cut.shares == {}


def test_requests_turned_away_beside_free_slots_start_no_cut():
    """One key gets a third of the traffic; its owner is full (pattern hot_key)."""
    cut = RankCut()
    cut.update(0.0, 0.0)
    for step in range(1, 9):
        cut.record(HIGH, RankCount(asked=100, served=70, refused=30))
        cut.update(step * STEP_S, busy_share=0.5)
        assert cut.shares == {}


def test_new_coordinator_goes_on_with_the_cut_that_stands():
    cut = RankCut()
    cut.update(0.0, 0.0)
    cut.record(HIGH, RankCount(asked=50, served=50))
    cut.record(LOW, RankCount(asked=100, cut=60, served=40))
    cut.update(STEP_S, busy_share=1.0)
    assert cut.shares[HIGH] > 0.9
    assert cut.shares[LOW] == pytest.approx(0.4, abs=0.1)


class Queues:
    """Upstreams that finish requests a while after they began, with a queue each."""

    SLOTS = 80
    WORK_S = SLOTS / ROOM_PER_S
    # Requests that wait, running ones aside, before others are turned away.
    MAX_WAITING = 60

    def __init__(self):
        self.cut = RankCut()
        self.now = 0.0
        self.cut.update(self.now, 0.0)
        self.running = deque()
        self.waiting = deque()
        self.credit = {}
        self.counters = {}

    def play(self, seconds, asked_per_s, slots=SLOTS):
        """Return requests asked and admitted, free slots and cut ones by step."""
        steps = []
        for _ in range(round(seconds / STEP_S)):
            asked, admitted = Counter(), Counter()
            free = cut = 0
            for _ in range(10):
                self.now += STEP_S / 10.0
                free_now, cut_now = self._advance(asked_per_s, slots, asked, admitted)
                free, cut = free + free_now / 10.0, cut + cut_now
            steps.append((asked, admitted, free, cut))
            busy_share = min(1.0, len(self.running) / slots)
            self.cut.update(self.now + 1e-6, busy_share)
        return steps

    def _advance(self, asked_per_s, slots, asked, admitted):
        while self.running and self.running[0][0] <= self.now:
            self.cut.record(self.running.popleft()[1], RankCount(served=1))
        cut = 0
        for rank, per_s in asked_per_s.items():
            due = self.credit.get(rank, 0.0) + per_s * STEP_S / 10.0
            self.credit[rank] = due % 1.0
            counter = self.counters.setdefault(rank, ShareCounter())
            for _ in range(int(due)):
                asked[rank] += 1
                share = self.cut.shares.get(rank, 1.0)
                if not counter.admits(share, is_returning=False):
                    cut += 1
                    self.cut.record(rank, RankCount(asked=1, cut=1))
                elif len(self.waiting) >= self.MAX_WAITING:
                    self.cut.record(rank, RankCount(asked=1, refused=1))
                else:
                    admitted[rank] += 1
                    self.cut.record(rank, RankCount(asked=1))
                    self.waiting.append(rank)
        while self.waiting and len(self.running) < slots:
            self.running.append((self.now + self.WORK_S, self.waiting.popleft()))
        return max(0, slots - len(self.running)), cut


QUEUE_LOADS = {
    "1.7 times the room": {HIGH: 1.0, LOW: 0.7},
    "3 times the room": {HIGH: 1.2, LOW: 1.8},
    "a third retries at once three times": {HIGH: 0.9, LOW: 0.7},
    "a low rank at ten times its usual": {HIGH: 0.4, LOW: 3.0},
}


def scale_room(factors):
    return {rank: factor * ROOM_PER_S for rank, factor in factors.items()}


@pytest.mark.parametrize("before", [0.1, 0.8])
@pytest.mark.parametrize("name", QUEUE_LOADS)
def test_cut_leaves_no_slot_free(name, before):
    """Demand rises in a moment, from little or much (patterns burst, retry_abuse)."""
    queues = Queues()
    usual = scale_room({HIGH: before / 2.0, LOW: before / 2.0})
    assert sum(step[3] for step in queues.play(2.0, usual)) == 0
    steps = queues.play(BURST_S, scale_room(QUEUE_LOADS[name]))
    for _, _, free, cut in steps:
        assert not cut or free <= 0.05 * Queues.SLOTS
    asked = sum((step[0] for step in steps[6:]), Counter())
    admitted = sum((step[1] for step in steps[6:]), Counter())
    room = 0.7 * ROOM_PER_S * (BURST_S - 1.5)
    assert admitted[HIGH] >= 0.85 * min(asked[HIGH], room)
    assert admitted[LOW] >= 0.25 * asked[LOW] * ROOM_PER_S * 1.5 / asked.total()
    after = queues.play(2.0, scale_room({HIGH: 0.4, LOW: 0.4}))
    assert sum(step[3] for step in after[round(RECOVERY_S / STEP_S) :]) == 0


def test_cut_leaves_no_slot_free_when_half_of_them_are_lost():
    """Half of the slots are missing for 4 s (pattern srv_slow), and come back."""
    queues = Queues()
    usual = scale_room({HIGH: 0.35, LOW: 0.45})
    queues.play(2.0, usual)
    half = Queues.SLOTS // 2
    for _, _, free, cut in queues.play(4.0, usual, half):
        assert not cut or free <= 0.05 * half
    after = queues.play(2.0, usual)
    assert sum(step[3] for step in after[round(RECOVERY_S / STEP_S) :]) == 0


def test_upstreams_that_finished_nothing_are_used_again():
    """All upstreams stop for 2 s, and go on (pattern srv_slow of a whole service)."""
    cut = RankCut()
    cut.update(0.0, 0.0)
    now = 0.0
    for served in [100] * 8 + [0] * 8:
        now += STEP_S
        shares = {rank: cut.shares.get(rank, 1.0) for rank in (HIGH, LOW)}
        for rank in (HIGH, LOW):
            admitted = round(100 * shares[rank])
            count = RankCount(
                asked=100,
                cut=100 - admitted,
                served=min(served, admitted),
                refused=max(0, admitted - served),
            )
            cut.record(rank, count)
        cut.update(now, busy_share=1.0 if not served else 0.6)
    assert 0.0 < cut.shares[LOW] < cut.shares[HIGH] < 0.5
    steps = 0
    while cut.shares:
        now, steps = now + STEP_S, steps + 1
        for rank in (HIGH, LOW):
            admitted = round(100 * cut.shares[rank])
            cut.record(rank, RankCount(asked=100, cut=100 - admitted, served=admitted))
        cut.update(now, busy_share=0.6)
    assert steps * STEP_S <= 2.0


def test_short_refusals_at_a_start_begin_no_cut():
    """Requests are refused for a moment although upstreams finish all (scale_out)."""
    cut = RankCut()
    cut.update(0.0, 0.0)
    for step, refused in enumerate((0, 20, 0, 0), 1):
        cut.record(HIGH, RankCount(asked=60, served=40))
        cut.record(LOW, RankCount(asked=60, served=40 - refused, refused=refused))
        cut.update(step * STEP_S, busy_share=0.9)
        assert cut.shares == {}


@pytest.mark.parametrize("share", [0.1, 0.35, 0.9])
@pytest.mark.parametrize("returning", [0.0, 0.3, 0.9])
def test_share_holds_whoever_returns(share, returning):
    counter, due = ShareCounter(), 0.0
    admitted = {True: 0, False: 0}
    asked = {True: 0, False: 0}
    for _ in range(2000):
        due += returning
        is_returning = due >= 1.0
        due -= is_returning
        asked[is_returning] += 1
        admitted[is_returning] += counter.admits(share, is_returning)
    assert sum(admitted.values()) == pytest.approx(share * 2000, abs=5)
    if asked[True]:
        assert admitted[True] / asked[True] >= admitted[False] / asked[False]
