"""Chances in the choice among upstreams, compared with many choices."""

from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from plantaincart_core.choice import ChoiceSettings, choose_cheapest
from plantaincart_core.choicechance import find_chances

COSTS = st.lists(st.sampled_from([0.1, 0.2, 0.3, 0.45, 0.6]), max_size=6)
SETTINGS = st.builds(
    ChoiceSettings,
    local_sample=st.integers(1, 3),
    remote_sample=st.integers(0, 3),
    min_sample=st.integers(1, 5),
)


@given(COSTS, COSTS, SETTINGS)
def test_only_upstreams_with_a_chance_are_chosen(local_costs, remote_costs, settings):
    local = {f"l{at}": cost for at, cost in enumerate(local_costs)}
    remote = {f"r{at}": cost for at, cost in enumerate(remote_costs)}
    chances = find_chances(local, remote, settings)
    costs = {**local, **remote}
    random = Random(1)
    for _ in range(50):
        chosen = choose_cheapest(
            list(local), list(remote), costs.__getitem__, settings, random
        )
        assert (chosen is None) == (not costs)
        assert chosen is None or chances[chosen] > 0.0
    assert not costs or sum(chances.values()) == pytest.approx(1.0)


def test_chances_are_those_of_many_choices():
    local = {"a": 0.2, "b": 0.2, "c": 0.3, "d": 0.5, "e": 0.9}
    remote = {"f": 0.1, "g": 0.2, "h": 0.25, "i": 0.6}
    settings = ChoiceSettings()
    random, counts, total = Random(7), Counter(), 40_000
    costs = {**local, **remote}
    for _ in range(total):
        counts[
            choose_cheapest(
                list(local), list(remote), costs.__getitem__, settings, random
            )
        ] += 1
    for name, chance in find_chances(local, remote, settings).items():
        assert counts[name] / total == pytest.approx(chance, abs=0.015)
