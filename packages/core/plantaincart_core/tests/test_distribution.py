import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from plantaincart_core.assignment import plan_moves
from plantaincart_core.distribution import distribute_slots

NAMES = ["a", "b", "c", "d"]
SLOTS = range(1024)


def make_loads(skewed: bool) -> dict[int, float]:
    return {slot: 20.0 / (1 + slot if skewed else 1024) for slot in SLOTS}


def compute_imbalance(owners, loads, capacities) -> float:
    """Return the highest load of an upstream divided by the mean load."""
    upstream_loads = dict.fromkeys(capacities, 0.0)
    for slot, owner in owners.items():
        upstream_loads[owner] += loads[slot]
    return (
        max(upstream_loads.values())
        * len(upstream_loads)
        / sum(upstream_loads.values())
    )


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(st.floats(0, 1), st.sampled_from([*NAMES, ""])), max_size=30),
    st.dictionaries(st.sampled_from(NAMES), st.floats(0, 3)),
)
def test_only_unowned_slots_and_those_for_joined_upstreams_move(
    slots, capacities
) -> None:
    loads = {slot: load for slot, (load, _) in enumerate(slots)}
    current = {slot: owner for slot, (_, owner) in enumerate(slots)}
    owners = distribute_slots(range(len(slots)), loads, capacities, current)
    usable = {name for name, capacity in capacities.items() if capacity > 0}
    assert set(owners.values()) <= usable
    assert list(owners) == (list(range(len(slots))) if usable else [])
    joined = usable - set(current.values())
    for move in plan_moves(current, owners):
        assert move.source not in usable or move.target in joined


@pytest.mark.parametrize("upstreams", [5, 25, 30])
@pytest.mark.parametrize("skewed", [False, True])
def test_number_of_moves_and_imbalance_after_a_leave_and_a_join(
    upstreams, skewed
) -> None:
    loads = make_loads(skewed)
    capacities = {f"u{number:02}": 2.0 for number in range(upstreams)}
    remaining = {name: 2.0 for name in list(capacities)[1:]}
    initial = distribute_slots(SLOTS, loads, capacities, {})
    after_leave = distribute_slots(SLOTS, loads, remaining, initial)
    after_join = distribute_slots(SLOTS, loads, capacities, after_leave)
    assert len(plan_moves(initial, after_leave)) == list(initial.values()).count("u00")
    assert len(plan_moves(after_leave, after_join)) <= 1024 / upstreams
    hottest_excess = max(loads.values()) * upstreams / sum(loads.values())
    for owners, present in (
        (initial, capacities),
        (after_leave, remaining),
        (after_join, capacities),
    ):
        assert compute_imbalance(owners, loads, present) <= 1.05 + hottest_excess
