import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from plantaincart_core.clock import COUNTER_BITS, HybridClock


def make_timestamp(seconds: float) -> int:
    return int(seconds * 1000) << COUNTER_BITS


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.floats(-100, 100), st.none() | st.integers(0, make_timestamp(5000))
        ),
        min_size=1,
    )
)
def test_timestamps_increase_whatever_the_wall_clock_does(steps) -> None:
    wall = 1000.0
    clock = HybridClock(lambda: wall)
    last = clock.tick()
    for change, remote in steps:
        wall = max(0.0, wall + change)
        value = clock.tick() if remote is None else clock.receive(remote)
        assert value > last
        last = value


@pytest.mark.parametrize(
    ("remote_s", "adopted"), [(999.0, False), (1059.0, True), (1060.5, False)]
)
def test_remote_timestamps_are_adopted_unless_far_ahead(
    remote_s: float, adopted: bool
) -> None:
    clock = HybridClock(lambda: 1000.0)
    assert (clock.receive(make_timestamp(remote_s)) > make_timestamp(remote_s)) is (
        adopted or remote_s < 1000
    )
    assert (clock.tick() >> COUNTER_BITS) == (1_059_000 if adopted else 1_000_000)
