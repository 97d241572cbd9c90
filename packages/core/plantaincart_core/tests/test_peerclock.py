from hypothesis import given, settings
from hypothesis import strategies as st
from plantaincart_core.peerclock import PeerClocks, PeerTime

delays = st.lists(
    st.tuples(st.floats(0, 30), st.floats(0, 30), st.sampled_from("ab")), max_size=20
)


@settings(derandomize=True, deadline=None)
@given(delays, st.floats(-5e5, 5e5), st.floats(-1e-4, 1e-4))
def test_estimate_is_never_above_the_clock(
    readings: list[tuple[float, float, str]], offset_s: float, drift: float
) -> None:
    clocks = PeerClocks()
    now = 1e6

    def read_clock(at: float) -> float:
        return 1000 * (at + offset_s + (at - 1e6) * drift)

    for pause_s, delay_s, incarnation in readings:
        sent_at, now = now + pause_s, now + pause_s + delay_s
        clocks.record("r2", incarnation, int(read_clock(sent_at)), now)
        estimate = clocks.estimate("r2", now, now)
        assert estimate is not None
        assert estimate.incarnation == incarnation
        assert estimate.clock_ms <= read_clock(now) + 1e-3


def test_delayed_reading_does_not_replace_a_better_one() -> None:
    clocks = PeerClocks()
    clocks.record("r2", "x", 5000, 100.0)
    clocks.record("r2", "x", 5100, 103.0)
    assert clocks.estimate("r2", 103.0, 103.0) == PeerTime("x", 7997)
    clocks.record("r2", "y", 10, 104.0)
    assert clocks.estimate("r2", 104.5, 104.0) == PeerTime("y", 510)
    assert clocks.estimate("r3", 104.5, 104.0) is None
