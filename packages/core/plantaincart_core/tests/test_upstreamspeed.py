"""Lasting speed is told apart from the noise of neighbours."""

from random import Random

import pytest
from plantaincart_core.keybalance import plan_key_moves
from plantaincart_core.keymove import KeyBalanceSettings, Owner
from plantaincart_core.ownermap import KEY_COUNT, KeyRange, OwnerMap
from plantaincart_core.upstreamspeed import SpeedTracker, UpstreamSpeeds

USUAL_S = 0.1
NOISE_S = 0.4
NOISE_SHARE = 0.2
NOISE_FACTOR = 3.0
# Factors of the lasting speeds 1.6, 1 and 0.6.
FACTORS = {"fast": 1 / 1.6, "usual": 1.0, "usual2": 1.0, "slow": 1 / 0.6}
SERVICES = dict.fromkeys(FACTORS, "desk")


class Machines:
    """Machines whose neighbours slow them down at times."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.blocks = {}

    def find_slowdown(self, upstream, now):
        block = (upstream, int(now / NOISE_S))
        if block not in self.blocks:
            is_noisy = self.random.random() < NOISE_SHARE
            self.blocks[block] = NOISE_FACTOR if is_noisy else 1.0
        return self.blocks[block]

    def draw_work_s(self):
        tail = 7.0 if self.random.random() < 0.03 else 1.0
        return USUAL_S * self.random.lognormvariate(-0.045, 0.3) * tail


def run_fleet(seconds, seed=1, instances=20, per_s=12.0, slowed=None):
    """Let instances measure; return tracker and the factors told each second."""
    machines, tracker = Machines(seed), SpeedTracker({})
    fleet = [UpstreamSpeeds() for _ in range(instances)]
    random = Random(seed + 1)
    told = []
    for step in range(round(seconds / 0.25)):
        now = step * 0.25
        for upstream, factor in FACTORS.items():
            if slowed is not None and upstream == slowed[0] and now >= slowed[1]:
                factor *= 5.0
            for _ in range(round(per_s * 0.25)):
                slowdown = machines.find_slowdown(upstream, now)
                answered_s = machines.draw_work_s() * factor * slowdown
                speeds = random.choice(fleet)
                speeds.record_answer(upstream, answered_s, USUAL_S, slowdown)
        for speeds in fleet:
            tracker.record(speeds.drain_ratios())
        told.append(tracker.compare(SERVICES))
    return tracker, told


@pytest.mark.parametrize("seed", range(5))
def test_speeds_from_half_to_over_one_and_a_half_are_learnt(seed):
    """Uneven upstreams with noisy neighbours, each measured by few instances."""
    _, told = run_fleet(20.0, seed)
    for factors in told[24:]:
        for upstream, factor in FACTORS.items():
            assert factors[upstream] == pytest.approx(factor, rel=0.35)


def test_upstream_that_turns_slow_is_known_within_a_second_and_a_half():
    """An upstream takes five times as long, without a word of its own (srv_slow)."""
    _, told = run_fleet(8.0, slowed=("usual", 4.0))
    assert told[15]["usual"] < 1.5
    assert told[22]["usual"] > 2.0


def test_noise_moves_no_keys():
    """Noisy neighbours change every 0.4 s; only lasting speed moves keys."""
    _, told = run_fleet(20.0)
    names = sorted(FACTORS)
    capacities = [2.0 / FACTORS[name] for name in names]
    owner_map = OwnerMap()
    first = 0
    for name, capacity in zip(names, capacities, strict=True):
        width = round(KEY_COUNT * capacity / sum(capacities))
        last = KEY_COUNT - 1 if name == names[-1] else first + width - 1
        owner_map.assign(KeyRange(first=first, last=last, owner=name, born=1, fence=1))
        first = last + 1
    loads = {key: 0.004 for key in range(0, KEY_COUNT, 64)}
    for factors in told[24:]:
        owners = {
            name: Owner(id=name, born=1, capacity=2.0 / factors[name]) for name in names
        }
        moves = plan_key_moves(owner_map, loads, owners, 0.1, KeyBalanceSettings())
        assert moves == []


def test_owner_twice_as_fast_bears_twice_the_load():
    """Keys are divided evenly at first, and move by lasting speed."""
    owners = {
        "fast": Owner(id="fast", born=1, capacity=4.0),
        "usual": Owner(id="usual", born=1, capacity=2.0),
    }
    owner_map = OwnerMap()
    half = KEY_COUNT // 2
    for name, first in (("fast", 0), ("usual", half)):
        key_range = KeyRange(
            first=first, last=first + half - 1, owner=name, born=1, fence=1
        )
        owner_map.assign(key_range)
    loads = {key: 0.003 for key in range(0, KEY_COUNT, 64)}
    for _ in range(20):
        settings = KeyBalanceSettings()
        for move in plan_key_moves(owner_map, loads, owners, 0.003, settings):
            owner_map.assign(
                KeyRange(
                    first=move.first,
                    last=move.last,
                    owner=move.target,
                    born=1,
                    fence=2,
                )
            )
    total = sum(loads.values())
    fast = sum(
        load for key, load in loads.items() if owner_map.find(key).owner == "fast"
    )
    fair = {"fast": total * 2 / 3, "usual": total / 3}
    most = 1.0 + KeyBalanceSettings().tolerance
    assert fast > 0.55 * total
    assert fast <= most * fair["fast"]
    assert total - fast <= most * fair["usual"]


def test_stated_slowdown_fades_within_a_second():
    speeds = UpstreamSpeeds()
    speeds.set_lasting({"u1": 1.0, "u2": 1.0})
    speeds.record_statement("u1", "desk", 3.0, now=0.0)
    assert speeds.find_slowdown("u1", "desk", now=0.0) == pytest.approx(3.0)
    mean = speeds.find_mean_slowdown("desk")
    assert speeds.find_factor("u1", "desk", now=0.0) == pytest.approx(3.0 / mean)
    assert 1.3 < speeds.find_factor("u1", "desk", now=0.4) < 1.7
    assert speeds.find_factor("u1", "desk", now=1.5) < 1.05


def test_noise_of_one_service_is_not_expected_of_another():
    speeds = UpstreamSpeeds()
    speeds.set_lasting({"u1": 1.0, "u2": 1.0})
    for number in range(500):
        speeds.record_statement("u1", "noisy", 1.0 + 2.0 * (number % 5 == 0), 0.0)
    assert 1.2 < speeds.find_slowdown("u1", "noisy", now=9.0) < 1.6
    assert speeds.find_slowdown("u2", "quiet", now=9.0) == 1.0
    # The usual times contain the mean slowdown.
    assert speeds.find_factor("u1", "noisy", now=9.0) == pytest.approx(1.0)
    assert speeds.find_factor("u2", "quiet", now=9.0) == 1.0


def test_new_coordinator_goes_on_with_the_speeds_told_before():
    tracker = SpeedTracker({"fast": 0.6, "usual": 1.0, "slow": 1.7})
    tracker.record({"fast": 0.0, "usual": 0.0, "slow": 0.0})
    factors = tracker.compare(dict.fromkeys(("fast", "usual", "slow"), "desk"))
    assert factors["fast"] < 0.7
    assert factors["slow"] > 1.5


def test_state_is_bounded():
    """A flood of answers between two reports, and upstreams that are gone."""
    speeds = UpstreamSpeeds()
    for _ in range(10000):
        speeds.record_answer("u1", 0.1, 0.1, 1.0)
    assert len(speeds._samples["u1"]) <= 32
    tracker = SpeedTracker({})
    for number in range(100):
        tracker.record({f"u{number}": 0.0})
    tracker.compare({"u1": "desk"})
    assert len(tracker._means) == 1


def test_usual_time_times_mean_slowdown_is_the_mean_time():
    """Neighbours change while requests of 0.2 s run, at intervals of 0.4 s."""
    random, speeds = Random(5), UpstreamSpeeds()
    total_s = net_s = 0.0
    for _ in range(6000):
        first, second = (3.0 if random.random() < 0.2 else 1.0 for _ in range(2))
        left_s, work_s = random.random() * NOISE_S, 0.2
        if work_s * first > left_s:
            seconds, stated = left_s + (work_s - left_s / first) * second, second
        else:
            seconds, stated = work_s * first, first
        total_s, net_s = total_s + seconds, net_s + seconds / stated
        work = seconds / (work_s * stated)
        speeds.record_statement("u1", "desk", stated, 0.0, work)
    mean = speeds.find_mean_slowdown("desk")
    assert mean == pytest.approx(total_s / net_s, rel=0.15)
    assert mean < 1.4
