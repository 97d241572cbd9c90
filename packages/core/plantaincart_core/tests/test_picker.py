from collections import Counter
from random import Random

from plantaincart_core.picker import Candidate, pick_upstream
from pytest import mark


def make_candidate(
    name: str, in_flight: int, allowed: int, latency_s: float, straggling: bool = False
) -> Candidate:
    return Candidate(
        name=name,
        in_flight=in_flight,
        allowed=allowed,
        latency_s=latency_s,
        straggling=straggling,
    )


@mark.parametrize(
    ("candidates", "picked"),
    [
        ([], {None}),
        ([make_candidate("a", 2, 2, 0.1), make_candidate("b", 3, 2, 0.1)], {None}),
        ([make_candidate("a", 1, 2, 0.1), make_candidate("b", 0, 2, 0.9)], {"b"}),
        ([make_candidate("a", 1, 2, 0.1), make_candidate("b", 1, 4, 0.9)], {"b"}),
        ([make_candidate("a", 1, 1, 0.1), make_candidate("b", 1, 2, 0.9)], {"b"}),
        ([make_candidate("a", 0, 2, 0.1), make_candidate("b", 0, 2, 0.21)], {"a"}),
        ([make_candidate("a", 0, 2, 0.1), make_candidate("b", 0, 2, 0.2)], {"a", "b"}),
        ([make_candidate("a", 0, 2, 0.0), make_candidate("b", 0, 2, 0.0)], {"a", "b"}),
        ([make_candidate("a", 0, 2, 0.1, True), make_candidate("b", 1, 2, 0.1)], {"b"}),
        (
            [make_candidate("a", 0, 2, 0.1, True), make_candidate("b", 2, 2, 0.1)],
            {None},
        ),
        (
            [
                make_candidate("a", 1, 2, 0.1, True),
                make_candidate("b", 0, 2, 0.1, True),
            ],
            {"b"},
        ),
    ],
)
def test_picks_the_least_utilised_upstream_that_is_not_much_slower(
    candidates: list[Candidate], picked: set[str | None]
) -> None:
    random = Random(1)
    assert {pick_upstream(iter(candidates), random) for _ in range(50)} == picked


def test_idle_upstreams_share_the_load() -> None:
    random = Random(1)
    group = [
        make_candidate(name, 0, 2, 0.01 + 0.001 * i) for i, name in enumerate("abcde")
    ]
    counts = Counter(pick_upstream(group, random) for _ in range(5000))
    assert max(counts.values()) <= 1.15 * 1000
