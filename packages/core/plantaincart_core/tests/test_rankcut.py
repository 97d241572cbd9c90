"""Division of a service's room by rank, each test with the load that it answers."""

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
