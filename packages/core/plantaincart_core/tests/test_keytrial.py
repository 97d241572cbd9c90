"""Upstreams that failed to accept keys are tried again with one key without load."""

from plantaincart_core.keytrial import MAX_TRIALS, plan_trial_moves
from plantaincart_core.ownermap import KEY_COUNT, KeyRange, OwnerMap


def make_map(widths):
    """Return a map whose owners have ranges of these widths, in turn."""
    owner_map, first = OwnerMap(), 0
    for name, width in widths.items():
        last = first + width - 1
        key_range = KeyRange(first=first, last=last, owner=name, born=1, fence=1)
        owner_map.assign(key_range)
        first = last + 1
    assert first == KEY_COUNT
    return owner_map


EVEN = make_map({f"u{number}": KEY_COUNT // 8 for number in range(8)})


def test_upstreams_that_reset_the_grants_after_a_quiet_time_are_tried():
    """A data centre was closed for some time; its upstreams reset the first calls."""
    moves = plan_trial_moves(EVEN, {}, ["a1", "a2"])
    assert [move.target for move in moves] == ["a1", "a2"]
    assert all(move.first == move.last for move in moves)
    assert len({move.source for move in moves}) == 2


def test_no_key_with_requests_is_used():
    loads = {key_range.last: 0.01 for key_range in EVEN if key_range.owner != "u5"}
    moves = plan_trial_moves(EVEN, loads, ["a1", "a2"])
    assert [move.source for move in moves] == ["u5"]


def test_upstreams_that_own_keys_or_get_some_are_not_tried():
    """They are called anyway: their grants are renewed."""
    assert plan_trial_moves(EVEN, {}, ["u3"]) == []


def test_ranges_that_move_are_left_alone():
    assert plan_trial_moves(EVEN, {}, ["a1"], list(EVEN)) == []


def test_half_of_a_large_fleet_fails():
    """Trials are few at a time, since each waits for an upstream that may be dead."""
    tried = [f"a{number}" for number in range(100)]
    assert len(plan_trial_moves(EVEN, {}, tried)) == MAX_TRIALS
