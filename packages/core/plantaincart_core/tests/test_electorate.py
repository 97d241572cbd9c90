"""Sets of electors that follow a coordinator, and sets that have left it."""

from itertools import combinations
from math import inf

import pytest
from plantaincart_core.electorate import (
    MAX_ELECTORS,
    choose_electors,
    count_needed,
    find_followed_until,
    find_last_followed,
    find_last_followed_by_some,
)

NAMES = tuple("abcdefg")


@pytest.mark.parametrize("count", range(1, len(NAMES) + 1))
def test_no_coordinator_is_followed_after_enough_electors_have_left(count):
    """Both sides of a partition must not conclude that they may grant."""
    electors = NAMES[:count]
    for size in range(count + 1):
        for left in combinations(electors, size):
            following = {name: 10.0 for name in electors if name not in left}
            may_go_on = find_followed_until(electors, "a", following) > 0.0
            has_ended = find_last_followed(electors, dict.fromkeys(left, 0.0)) < inf
            if "a" not in left:
                assert not (may_go_on and has_ended)


@pytest.mark.parametrize("count", range(3, len(NAMES) + 1))
def test_minority_neither_goes_on_nor_keeps_others_from_it(count):
    electors, needed = NAMES[:count], count_needed(count)
    following = dict.fromkeys(electors[: needed - 1], 10.0)
    assert find_followed_until(electors, "a", following) == -inf
    following = dict.fromkeys(electors[:needed], 10.0)
    assert find_followed_until(electors, "a", following) == 10.0


def test_large_fleet_has_few_electors_of_all_parts():
    members = {f"{place}-{number:03}" for place in "abcdef" for number in range(100)}
    electors = choose_electors((), members)
    assert len(electors) == MAX_ELECTORS
    counts = [sum(name[0] == place for name in electors) for place in "abcdef"]
    assert min(counts) >= 5


def test_electors_stay_while_they_live():
    members = {f"r{number:03}" for number in range(100)}
    electors = choose_electors((), members)
    lost = electors[3]
    later = choose_electors(electors, members - {lost})
    assert set(electors) - set(later) == {lost}
    assert len(later) == MAX_ELECTORS


@pytest.mark.parametrize("members", [2, 5, 12, 31, 40, 100])
def test_no_choice_of_electors_goes_on_after_enough_members_have_left(members):
    """Electors that a restored store has lost must not go on beside a successor."""
    names = [f"r{number:03}" for number in range(members)]
    for left in range(members):
        has_left = dict.fromkeys(names[:left], 0.0)
        has_ended = find_last_followed_by_some(members, has_left) < inf
        following = names[left:][: min(members, MAX_ELECTORS)]
        electors = [*following, *names[: min(members, MAX_ELECTORS) - len(following)]]
        until = find_followed_until(
            electors, following[0], dict.fromkeys(following, 10.0)
        )
        assert not (has_ended and until > 0.0)
