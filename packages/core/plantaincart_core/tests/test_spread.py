"""Placement of keys by load: hot neighbouring keys, new owners, islands."""

from hypothesis import given
from hypothesis import strategies as st
from plantaincart_core.ownermap import KEYS, KeyRange, OwnerMap
from plantaincart_core.spread import (
    Owner,
    SpreadSettings,
    divide_keys,
    plan_joins,
    plan_moves,
)

SETTINGS = SpreadSettings()


def make_owners(count, **fields):
    return {
        f"u{at}": Owner(id=f"u{at}", born=1, capacity=2.0, **fields)
        for at in range(count)
    }


def make_map(owners):
    owner_map = OwnerMap()
    for fence, move in enumerate(divide_keys(list(owners.values()))):
        owner_map.assign(
            KeyRange(first=move.first, last=move.last, owner=move.target, fence=fence)
        )
    return owner_map


def measure(owner_map, loads, owners):
    held = dict.fromkeys(owners, 0.0)
    for key, load in loads.items():
        held[owner_map.find(key).owner] += load
    return held


def apply_moves(owner_map, moves, fence=1000):
    for at, move in enumerate(moves):
        owner_map.assign(
            KeyRange(
                first=move.first, last=move.last, owner=move.target, fence=fence + at
            )
        )


def test_hot_neighbouring_keys_spread():
    """Pattern hot_key: 200 neighbouring keys get 40 % of the load at once."""
    owners = make_owners(26)
    owner_map = make_map(owners)
    loads = {key: 0.02 for key in range(0, KEYS, 64)}
    loads.update({30000 + at: 0.04 for at in range(200)})
    for _ in range(5):
        apply_moves(owner_map, plan_moves(owner_map, loads, owners, 0.02, SETTINGS))
    held = measure(owner_map, loads, owners)
    mean = sum(held.values()) / len(held)
    assert max(held.values()) <= 1.6 * mean


def test_hot_keys_move_few_keys():
    owners = make_owners(26)
    owner_map = make_map(owners)
    loads = {30000 + at: 0.04 for at in range(200)}
    moves = plan_moves(owner_map, loads, owners, 0.02, SETTINGS)
    assert moves
    assert sum(move.last - move.first + 1 for move in moves) <= 200


def test_new_owner_gets_load():
    """Pattern scale_out: an owner joins while nobody has far too much."""
    owners = make_owners(4)
    owner_map = make_map(owners)
    owners["new"] = Owner(id="new", born=1, capacity=2.0)
    loads = {key: 0.01 for key in range(0, KEYS, 100)}
    apply_moves(owner_map, plan_moves(owner_map, loads, owners, 0.01, SETTINGS))
    assert measure(owner_map, loads, owners)["new"] > 0.0


def test_even_load_stays():
    owners = make_owners(8)
    loads = {key: 0.01 for key in range(0, KEYS, 100)}
    assert plan_moves(make_map(owners), loads, owners, 0.01, SETTINGS) == []


def test_owner_that_takes_none_gets_none():
    """Pattern cold_return: an owner that is cold gets no further keys."""
    owners = make_owners(4)
    owner_map = make_map(owners)
    owners["cold"] = Owner(id="cold", born=1, capacity=2.0, receives=False)
    loads = {key: 0.05 for key in range(100)}
    moves = plan_moves(owner_map, loads, owners, 0.01, SETTINGS)
    assert moves
    assert "cold" not in {move.target for move in moves}


@given(
    hot=st.lists(
        st.tuples(st.integers(0, KEYS - 1), st.floats(0.001, 2.0)),
        min_size=1,
        max_size=60,
    ),
    count=st.integers(2, 12),
)
def test_moves_of_one_plan_share_no_key(hot, count):
    """Two moves of a key at once gave it to an owner while another worked on it."""
    owners = make_owners(count)
    owner_map = make_map(owners)
    loads = dict(hot)
    for at in range(200):
        loads.setdefault(30000 + at, 0.05)
    moves = plan_moves(owner_map, loads, owners, 0.01, SETTINGS)
    taken = set()
    for move in moves:
        keys = set(range(move.first, move.last + 1))
        assert not keys & taken
        taken |= keys
        pieces = owner_map.list_within(move.first, move.last)
        assert {piece.owner for piece in pieces} == {move.source}


def test_islands_join_their_neighbour():
    owners = make_owners(2)
    owner_map = make_map(owners)
    for at in range(40):
        first = 1000 + 20 * at
        owner_map.assign(
            KeyRange(first=first, last=first + 3, owner="u1", fence=100 + at)
        )
    before = len(owner_map)
    for _ in range(20):
        moves = plan_joins(owner_map, {}, owners, SETTINGS)
        apply_moves(owner_map, moves)
    assert before > 80
    assert len({one.owner for one in owner_map.list_within(0, 20000)}) == 1
