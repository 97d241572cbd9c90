"""Keys follow demand while upstreams return without keys."""

from math import exp
from random import Random

import pytest
from plantaincart_core.division import divide_keys
from plantaincart_core.keyload import KeyLoads
from plantaincart_core.keymove import KeyBalanceSettings, Owner
from plantaincart_core.keyplan import plan_rebalance
from plantaincart_core.ownermap import KEY_COUNT, KeyRange, OwnerMap

SETTINGS = KeyBalanceSettings()
SLOTS = 2.0
SPEEDS = (0.5, 1.0, 1.0, 1.6)
OWNERS = {
    f"u{number}": Owner(id=f"u{number}", born=1, capacity=SLOTS * SPEEDS[number % 4])
    for number in range(48)
}
CAPACITY = sum(owner.capacity for owner in OWNERS.values())
WORK_S = 0.15
MEMORY_S = 2.5
STEP_S = 0.1
# Plans are 0.4 s apart, and keys move within 0.2 s.
STEPS_PER_PLAN = 4
STEPS_PER_MOVE = 2


class Day:
    """Keys of two thirds of the upstreams, a third of which has none at first."""

    def __init__(self, seed):
        self.random, self.step, self.moves = Random(seed), 0, 0
        self.key_loads, self.map = KeyLoads(MEMORY_S), OwnerMap()
        self.moving = []
        others = [owner for number, owner in enumerate(OWNERS.values()) if number % 3]
        for move in divide_keys(others):
            self._assign(move)

    def _assign(self, move):
        key_range = KeyRange(
            first=move.first, last=move.last, owner=move.target, born=1, fence=1
        )
        self.map.assign(key_range)
        return key_range

    def _draw_keys(self, demand, hot_share):
        for _ in range(round(demand * CAPACITY / WORK_S * STEP_S)):
            first, last = 0, KEY_COUNT - 1
            if self.random.random() < hot_share:
                first, last = 30000, 30199
            yield self.random.randint(first, last)

    def run_step(self, demand, hot_share=0.0, plans=True):
        """Return the share of the asked work that exceeds what owners finish."""
        keys = list(self._draw_keys(demand, hot_share))
        self.key_loads.decay(exp(-STEP_S / MEMORY_S))
        self.key_loads.add(keys, [WORK_S] * len(keys))
        self.step += 1
        self.moving = [moving for moving in self.moving if moving[1] > self.step]
        if plans and self.step % STEPS_PER_PLAN == 0:
            for move in plan_rebalance(
                self.map,
                self.key_loads.loads,
                OWNERS,
                self.key_loads.request_load,
                SETTINGS,
                [key_range for key_range, _ in self.moving],
            ):
                self.moving.append((self._assign(move), self.step + STEPS_PER_MOVE))
                self.moves += 1
        asked = self.key_loads.sum_by_owner(self.map)
        excess = sum(max(0.0, asked[u] - OWNERS[u].capacity) for u in asked)
        return excess / sum(asked.values())


@pytest.mark.parametrize("seed", range(3))
def test_demand_that_doubles_in_two_seconds_with_a_hot_range(seed):
    """Upstreams of a data centre have returned; speeds are 0.5 to 1.6 of the usual."""
    day = Day(seed)
    for _ in range(40):
        day.run_step(0.4, plans=False)
    excess = [
        day.run_step(0.4 + 0.4 * min(1.0, step / 20), hot_share=0.35)
        for step in range(60)
    ]
    for second in range(6):
        assert sum(excess[10 * second : 10 * second + 10]) / 10 < 0.05
    assert {key_range.owner for key_range in day.map} == set(OWNERS)
    # Three moves for each upstream that had no keys.
    assert day.moves <= len(OWNERS)
    day.moves = 0
    for _ in range(40):
        day.run_step(0.8, hot_share=0.35)
    assert day.moves <= 16


def test_upstreams_without_keys_and_no_load():
    """Each gets half of the widest range, one after the other."""
    day = Day(seed=1)
    for _ in range(STEPS_PER_PLAN * len(OWNERS) // 3):
        assert day.run_step(0.001) < 0.01
    assert {key_range.owner for key_range in day.map} == set(OWNERS)
    assert day.moves == len(OWNERS) // 3
