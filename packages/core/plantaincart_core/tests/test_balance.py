from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from plantaincart_core.balance import plan_balance
from plantaincart_schema.generated.settings import BalanceSettings

SETTINGS = BalanceSettings()
NAMES = ["a", "b", "c", "d"]


def compute_utilisations(loads, owners, capacities) -> dict[str, float]:
    totals = dict.fromkeys(capacities, 0.0)
    for slot, owner in owners.items():
        totals[owner] += loads.get(slot, 0.0)
    return {name: totals[name] / capacities[name] for name in totals}


def apply_all_moves(loads, owners, capacities, intervals: int = 200) -> int:
    """Apply planned moves until none are planned, and count them."""
    count = 0
    for _ in range(intervals):
        moves = plan_balance(loads, owners, capacities, SETTINGS)
        if not moves:
            return count
        assert len(moves) <= SETTINGS.moves_per_interval
        for move in moves:
            before = compute_utilisations(loads, owners, capacities)
            assert owners[move.slot] == move.source != move.target
            owners[move.slot] = move.target
            after = compute_utilisations(loads, owners, capacities)
            limit = before[move.source]
            in_order = after[move.target] <= after[move.source] + 1e-9
            assert in_order or after[move.target] * (1 + SETTINGS.hysteresis) <= limit
        count += len(moves)
    raise AssertionError("moves never end")


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(st.floats(0, 1), st.sampled_from(NAMES)), min_size=1, max_size=40
    ),
    st.tuples(*[st.floats(0.2, 3)] * 4),
)
def test_moves_do_not_raise_the_highest_utilisation(slots, sizes) -> None:
    loads = {slot: load for slot, (load, _) in enumerate(slots)}
    owners = {slot: owner for slot, (_, owner) in enumerate(slots)}
    capacities = dict(zip(NAMES, sizes, strict=True))
    before = max(compute_utilisations(loads, owners, capacities).values())
    apply_all_moves(loads, owners, capacities)
    assert (
        max(compute_utilisations(loads, owners, capacities).values()) <= before + 1e-9
    )


@pytest.mark.parametrize(
    ("loads", "owners", "capacities", "expected"),
    [
        pytest.param([0.5] * 4, "aabb", {"a": 2, "b": 2}, [], id="even"),
        pytest.param([0.5] * 9, "aaaaabbbb", {"a": 2, "b": 2}, [], id="hysteresis"),
        pytest.param([2.0, 0.1], "ab", {"a": 2, "b": 2}, [], id="one hot slot"),
        pytest.param(
            [2.0, 0.3, 0.1], "aab", {"a": 2, "b": 2}, [1], id="beside a hot slot"
        ),
        pytest.param([6.0, 4.0, 3.0], "aab", {"a": 9, "b": 9}, [1], id="two hot slots"),
        pytest.param([0.5] * 4, "aabb", {"a": 0.5, "b": 2}, [0], id="straggler"),
        pytest.param([2.0, 0.5], "ab", {"a": 0.5, "b": 9}, [0], id="hot on straggler"),
        pytest.param([0.004, 0.004], "aa", {"a": 2, "b": 2}, [], id="idle"),
        pytest.param([0.5] * 4, "aaab", {"b": 2}, [], id="source not named"),
        pytest.param([0.5] * 4, "aaaa", {"a": 2, "b": 0}, [], id="no capacity"),
        pytest.param([], "aa", {"a": 2, "b": 2}, [], id="no loads"),
        pytest.param([0.5], "a", {}, [], id="no upstreams"),
    ],
)
def test_moved_slots(loads, owners, capacities, expected) -> None:
    owners_by_slot = dict(enumerate(owners))
    moves = plan_balance(dict(enumerate(loads)), owners_by_slot, capacities, SETTINGS)
    assert [move.slot for move in moves] == expected


@pytest.mark.parametrize(("exponent", "bound"), [(0.0, 1.16), (1.0, 1.5)])
def test_imbalance_under_uniform_and_skewed_slots(exponent, bound) -> None:
    random = Random(7)
    ranks = random.sample(range(1024), 1024)
    loads = {slot: 1.0 / (1 + rank) ** exponent for slot, rank in enumerate(ranks)}
    scale = 20.0 / sum(loads.values())
    loads = {slot: load * scale for slot, load in loads.items()}
    capacities = {f"u{number}": 2.0 for number in range(25)}
    owners = {slot: f"u{slot % 25}" for slot in loads}
    apply_all_moves(loads, owners, capacities)
    utilisations = compute_utilisations(loads, owners, capacities).values()
    highest_load = max(loads.values()) / 2.0
    assert max(utilisations) <= max(bound * sum(utilisations) / 25, highest_load * 1.05)


def test_noise_below_the_hysteresis_causes_no_moves() -> None:
    random = Random(7)
    owners = {slot: NAMES[slot % 4] for slot in range(400)}
    for _ in range(50):
        loads = {slot: random.uniform(0.008, 0.012) for slot in owners}
        capacities = dict.fromkeys(NAMES, 2.0)
        assert plan_balance(loads, owners, capacities, SETTINGS) == []
