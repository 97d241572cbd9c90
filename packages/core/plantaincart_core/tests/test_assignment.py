from itertools import product

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from plantaincart_core.assignment import (
    assign_slots,
    decode_assignments,
    encode_assignments,
    plan_moves,
)
from plantaincart_core.exception import DuplicateOwnerError
from plantaincart_schema.generated.platform import Assignment

deterministic = settings(derandomize=True, deadline=None, max_examples=300)
NAMES = ["a", "b", "c", "d"]
CAPACITIES = st.dictionaries(st.sampled_from(NAMES), st.integers(0, 3))
OWNERS = st.lists(st.sampled_from([*NAMES, ""]), max_size=12).map(
    lambda owners: dict(enumerate(owners))
)


def count_fewest_moves(slots: int, capacities, current) -> int:
    """Compute the fewest moves by trying every rounding of the proportional shares."""
    total = sum(capacities.values())
    floors = {name: slots * size // total for name, size in capacities.items()}
    exact = {name: slots * size % total == 0 for name, size in capacities.items()}
    counts = {name: list(current.values()).count(name) for name in capacities}
    choices = [[n] if exact[name] else [n, n + 1] for name, n in floors.items()]
    kept_counts = [
        sum(min(counts[name], n) for name, n in zip(floors, shares, strict=True))
        for shares in product(*choices)
        if sum(shares) == slots
    ]
    return slots - max(kept_counts)


@deterministic
@given(OWNERS, CAPACITIES)
def test_shares_are_proportional_with_fewest_moves(current, capacities) -> None:
    slots = len(current)
    owners = assign_slots(range(slots), capacities, current)
    total = sum(capacities.values())
    if not total:
        assert owners == {}
        return
    assert list(owners) == list(range(slots))
    for name, size in capacities.items():
        count = list(owners.values()).count(name)
        assert abs(count - slots * size / total) < 1
    assert len(plan_moves(current, owners)) == count_fewest_moves(
        slots, capacities, current
    )
    backwards = dict(reversed(capacities.items()))
    assert assign_slots(range(slots)[::-1], backwards, current) == owners
    assert assign_slots(range(slots), capacities, owners) == owners


@pytest.mark.parametrize("upstreams", [2, 5, 25, 30])
@pytest.mark.parametrize("capacity", [2, 3])
def test_moves_when_an_upstream_leaves_and_joins(upstreams: int, capacity: int) -> None:
    slots = range(1024)
    capacities = {f"u{number:02}": capacity for number in range(upstreams)}
    before = assign_slots(slots, capacities, {})
    remaining = {name: capacity for name in list(capacities)[1:]}
    after = assign_slots(slots, remaining, before)
    owned = list(before.values()).count("u00")
    assert len(plan_moves(before, after)) == owned
    again = assign_slots(slots, capacities, after)
    assert len(plan_moves(after, again)) == 1024 // upstreams


@deterministic
@given(OWNERS)
def test_rows_round_trip(owners) -> None:
    rows = encode_assignments(owners)
    assert decode_assignments(rows) == owners
    assert [row.upstream for row in rows] == sorted(set(owners.values()))


def test_rows_with_two_owners_are_rejected() -> None:
    rows = [Assignment(upstream="a", slots=[1, 2]), Assignment(upstream="b", slots=[2])]
    with pytest.raises(DuplicateOwnerError, match="slot 2: a and b"):
        decode_assignments(rows)
