"""Turns of accounts under overload, without a network."""

from bisect import insort
from collections import Counter
from random import Random

import pytest
from plantaincart_core.account import ClientAccount
from plantaincart_core.accountfairness import AccountTurns
from plantaincart_core.rank import Rank

RANK = Rank(0, 1)
STEP_S = 0.01
MAX_QUEUE = 100
MAX_WAIT_S = 1.0


class Room:
    """A queue for room that is short, served in the order of the turns."""

    def __init__(self, per_s, seed=1):
        self.per_s = per_s
        self.random = Random(seed)
        self.turns = AccountTurns()
        self.now = 0.0
        self.queue = []
        self.asked = Counter()
        self.served = Counter()
        self.free = 0.0

    def ask(self, account):
        self.asked[account.name] += 1
        key = self.turns.take_turn(account, RANK, self.now)
        insort(self.queue, (key, self.now))
        if len(self.queue) > MAX_QUEUE:
            # The last in the order leaves, not the last that came.
            self.turns.give_back(self.queue.pop()[0])

    def run(self, seconds, rates, repeats=0):
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            arrivals = []
            for account, rate in rates.items():
                expected = rate * STEP_S
                number = int(expected) + (self.random.random() < expected % 1.0)
                arrivals += [account] * number * (1 + repeats)
            self.random.shuffle(arrivals)
            for account in arrivals:
                self.ask(account)
            self.free = min(self.free + self.per_s * STEP_S, self.per_s * STEP_S + 1.0)
            while self.queue and self.queue[0][1] < self.now - MAX_WAIT_S:
                self.turns.give_back(self.queue.pop(0)[0])
            while self.free >= 1.0 and self.queue:
                self.free -= 1.0
                key, _ = self.queue.pop(0)
                self.turns.record_served(key, self.now)
                self.served[key.account] += 1

    def share(self, *accounts):
        served = sum(self.served[account.name] for account in accounts)
        return served / sum(self.asked[account.name] for account in accounts)


def make_accounts(number, rate=11.6, prefix="a"):
    return [
        ClientAccount(name=f"{prefix}{each}", rate_per_s=rate) for each in range(number)
    ]


@pytest.mark.parametrize("rate", [8.0, 0.0])
def test_hot_account_does_not_starve_a_hundred_small_ones(rate):
    """One account at twenty times its usual, with and without quotas."""
    accounts = make_accounts(101, rate)
    hot, small = accounts[0], accounts[1:]
    room = Room(per_s=400.0)
    room.run(20.0, {hot: 100.0, **dict.fromkeys(small, 5.0)})
    assert room.share(*small) >= 0.97 * 395.0 / 500.0
    fewest = min(room.share(account) for account in small)
    assert fewest >= 0.5 * room.share(*small)
    assert room.served[hot.name] <= 0.15 * 20.0 * 100.0


def test_repeats_of_refused_requests_bring_an_account_no_more():
    """One account's callers repeat each request many times at once."""
    first, second = make_accounts(2, 100.0)
    room = Room(per_s=100.0)
    for _ in range(2000):
        room.run(STEP_S, {first: 100.0}, repeats=9)
        room.run(0.0, {})
        room.ask(second)
        room.run(0.0, {})
    assert room.served[second.name] >= 0.45 * sum(room.served.values())


def test_account_below_its_quota_is_served_while_all_are_overloaded():
    small, *others = make_accounts(40, 20.0)
    room = Room(per_s=300.0)
    room.run(20.0, {small: 2.0, **dict.fromkeys(others, 20.0)})
    assert room.share(small) >= 0.9
    assert min(room.share(account) for account in others) >= 0.5 * room.share(*others)


def test_large_and_small_accounts_are_served_equally_often():
    """Equal turns would serve the small ones wholly, and the large one hardly."""
    large = ClientAccount(name="large", rate_per_s=165.0)
    small = make_accounts(40)
    room = Room(per_s=120.0)
    room.run(20.0, {large: 103.0, **dict.fromkeys(small, 7.2)})
    everyone = room.share(large, *small)
    assert min(room.share(account) for account in (large, *small)) >= 0.5 * everyone


def test_account_at_its_whole_quota_is_not_far_behind_those_far_below_theirs():
    """Its share alone would be served less than half as often."""
    full = ClientAccount(name="full", rate_per_s=100.0)
    idle = make_accounts(40, 100.0)
    room = Room(per_s=200.0)
    room.run(30.0, {full: 100.0, **dict.fromkeys(idle, 4.5)})
    assert room.share(full) >= 0.5 * room.share(full, *idle)


def test_higher_ranks_go_first_and_order_without_accounts_is_that_of_arrival():
    turns = AccountTurns()
    later = [turns.take_turn(None, Rank(0, 2), 0.0) for _ in range(3)]
    urgent = turns.take_turn(None, Rank(0, 1), 0.0)
    assert sorted([*reversed(later), urgent]) == [urgent, *later]


def test_idle_accounts_are_forgotten():
    turns = AccountTurns()
    for account in make_accounts(50):
        turns.take_turn(account, RANK, 0.0)
    turns.take_turn(None, RANK, 100.0)
    assert list(turns._ranks[RANK].flows) == [""]
