from hypothesis import given, settings
from hypothesis import strategies as st
from plantaincart_core.limit import UpstreamLimit
from pytest import mark, raises

STEPS = st.lists(
    st.tuples(st.floats(0, 2), st.sampled_from(["start", "finish", "shed", "slots"])),
    max_size=60,
)


@given(
    st.integers(1, 8),
    st.floats(0.1, 10),
    st.floats(0, 3),
    st.booleans(),
    STEPS,
)
@settings(derandomize=True, deadline=None, max_examples=300)
def test_limit_never_exceeds_the_ramp_of_the_upstream(
    slots: int,
    warm_up_s: float,
    delay_s: float,
    restarted: bool,
    steps: list[tuple[float, str]],
) -> None:
    started_at = 100.0
    now = started_at + delay_s
    limit = UpstreamLimit(slots, warm_up_s, 0.0 if restarted else now)
    if restarted:
        limit.restart_warm_up(now)
    in_flight = 0
    for pause_s, step in steps:
        now += pause_s
        if step == "start" and limit.can_start(now):
            limit.start(now)
            in_flight += 1
            ramp = int(slots * (now - started_at) / warm_up_s)
            assert in_flight <= max(1, min(slots, ramp))
        elif step == "finish" and in_flight:
            limit.finish(now)
            in_flight -= 1
            limit.record_success(now, 0.001)
        elif step == "shed":
            limit.record_shed(now)
        elif step == "slots":
            limit.set_slots(max(1, slots // 2) if limit.slots == slots else slots)
        assert limit.in_flight == in_flight
        assert 1 <= limit.find_limit(now) <= limit.slots


def test_shed_requests_halve_the_limit_once_a_burst_and_success_raises_it() -> None:
    limit = UpstreamLimit(slots=8, warm_up_s=0.0, now=0.0)
    allowed = []
    for now in (1.0, 1.1, 1.3):
        limit.record_shed(now)
        allowed.append(limit.find_limit(now))
    for now in (2.2, 2.4, 3.0, 3.5, 4.6):
        limit.record_success(now, 0.001)
        allowed.append(limit.find_limit(now))
    assert allowed == [4, 4, 2, 2, 3, 3, 4, 5]


def test_shed_requests_never_lower_the_limit_below_one() -> None:
    limit = UpstreamLimit(slots=2, warm_up_s=0.0, now=0.0)
    for now in range(1, 9):
        limit.record_shed(float(now))
    assert limit.find_limit(9.0) == 1


def test_slow_answers_never_lower_the_limit_below_half_of_the_slots() -> None:
    limit = UpstreamLimit(slots=4, warm_up_s=0.0, now=0.0)
    for number in range(100):
        limit.record_success(number * 0.1, 0.01)
    for number in range(100, 130):
        limit.record_success(number * 0.1, 0.1)
    assert 2 <= limit.find_limit(13.0) < 4
    for number in range(130, 300):
        limit.record_success(number * 0.1, 0.01)
    assert limit.find_limit(30.0) == 4


def test_requests_of_earlier_leaders_occupy_slots() -> None:
    limit = UpstreamLimit(slots=2, warm_up_s=0.0, now=0.0)
    limit.add_inherited(until=5.0)
    limit.add_inherited(until=3.0)
    assert [limit.can_start(now) for now in (0.0, 2.9, 3.0)] == [False, False, True]
    limit.start(3.0)
    assert (limit.in_flight, limit.can_start(4.9), limit.can_start(5.0)) == (
        2,
        False,
        True,
    )
    assert limit.in_flight == 1


def test_restarted_warm_up_admits_requests_only_below_its_limit() -> None:
    limit = UpstreamLimit(slots=4, warm_up_s=4.0, now=0.0)
    assert not limit.is_warm(3.9)
    assert limit.is_warm(4.0)
    limit.start(4.0)
    limit.start(4.0)
    limit.restart_warm_up(5.0)
    assert (limit.can_start(5.0), limit.can_start(7.0), limit.can_start(8.0)) == (
        False,
        False,
        True,
    )


@mark.parametrize(
    ("new_slots", "shed", "allowed"),
    [(6, False, 6), (2, False, 2), (6, True, 2), (1, True, 1)],
)
def test_set_slots_adjusts_the_limit(new_slots: int, shed: bool, allowed: int) -> None:
    limit = UpstreamLimit(slots=4, warm_up_s=0.0, now=0.0)
    if shed:
        limit.record_shed(1.0)
    limit.set_slots(new_slots)
    assert limit.find_limit(1.0) == allowed


def test_finish_without_start_raises() -> None:
    with raises(ValueError, match="started"):
        UpstreamLimit(slots=2, warm_up_s=0.0, now=0.0).finish(1.0)
