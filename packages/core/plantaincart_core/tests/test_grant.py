import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from plantaincart_core.clockreading import ClockReading
from plantaincart_core.exception import MissingReadingError
from plantaincart_core.grant import FencingToken, UpstreamGrants
from plantaincart_schema.generated.settings import GrantSettings
from plantaincart_schema.generated.upstream import GrantAnswer, GrantRequest

SETTINGS = GrantSettings()
RATES = st.floats(0.97, 1.03)


def read(grant: UpstreamGrants, at: float, incarnation: str = "1") -> bool:
    reading = ClockReading(clock_ms=int(at * 1000), sent_at=at, received_at=at)
    return grant.record_reading(reading, incarnation)


def prepare(grant: UpstreamGrants, sequence: int, slots, at: float) -> GrantRequest:
    return grant.prepare("desk", 1, sequence, slots, at)


def accept(grant: UpstreamGrants, request: GrantRequest, incarnation="1") -> None:
    answer = GrantAnswer(
        accepted=True, clock_ms=0, incarnation=incarnation, epoch=1, sequence=0
    )
    grant.record_accepted(request, answer)


@pytest.fixture
def grant() -> UpstreamGrants:
    grant = UpstreamGrants(SETTINGS, earlier_grants_expire_at=0.0)
    read(grant, 10.0)
    return grant


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    leader=RATES,
    upstream=RATES,
    times=st.tuples(*[st.floats(0, 0.3)] * 3),
    leadership_s=st.floats(-0.5, 3),
)
def test_usable_until_is_before_and_expires_at_after_the_expiry(
    leader: float, upstream: float, times: tuple[float, ...], leadership_s: float
) -> None:
    sent, read_at, received = 1.0, 1.0 + times[0], 1.0 + times[0] + times[1]
    grant = UpstreamGrants(SETTINGS, earlier_grants_expire_at=0.0)
    reading = ClockReading(
        clock_ms=int(read_at * upstream * 1000),
        sent_at=sent * leader,
        received_at=received * leader,
    )
    grant.record_reading(reading, "1")
    now = (received + times[2]) * leader
    leadership_expires_at = received * leader + leadership_s
    request = grant.prepare(
        "desk", 1, 1, [1], now, leadership_expires_at=leadership_expires_at
    )
    accept(grant, request)
    expires = request.expires_at_ms / 1000 / upstream
    assert grant.usable_until / leader <= expires + 0.001
    assert grant.is_released(1, now) is (now >= grant.expires_at)
    assert expires <= max(grant.expires_at / leader, read_at)
    assert expires <= max(leadership_expires_at / leader + 0.1, read_at)


def test_dispatch_needs_an_accepted_grant(grant: UpstreamGrants) -> None:
    request = prepare(grant, 1, [1, 2], 10.0)
    assert request.expires_at_ms == 11_200
    assert not grant.may_dispatch(1, 10.0)
    accept(grant, request)
    assert grant.fence == FencingToken(1, 1) and grant.granted_slots == {1, 2}
    assert grant.may_dispatch(1, 11.09) and not grant.may_dispatch(1, 11.1)
    assert grant.may_dispatch(None, 11.0) and not grant.may_dispatch(3, 11.0)
    grant.record_refused()
    assert not grant.may_dispatch(1, 11.0) and not grant.is_released(1, 11.0)


@pytest.mark.parametrize(
    ("accepted", "released"),
    [
        ([], {1: 11.3, 2: 11.3, 3: 11.3}),
        ([1], {1: 11.3, 2: 11.3, 3: 11.3}),
        ([2], {1: 10.0, 2: 11.3, 3: 11.3}),
        ([3], {1: 10.0, 2: 10.0, 3: 11.3}),
        ([3, 2], {1: 10.0, 2: 10.0, 3: 11.3}),
    ],
)
def test_slot_is_released_by_a_later_accepted_grant_or_by_expiry(
    grant: UpstreamGrants, accepted: list[int], released: dict[int, float]
) -> None:
    slots_by_sequence = {1: [1, 2], 2: [2, 3], 3: [3]}
    sent = {n: prepare(grant, n, slots, 10.0) for n, slots in slots_by_sequence.items()}
    for number in accepted:
        accept(grant, sent[number])
    for slot, at in released.items():
        assert grant.is_released(slot, at)
        assert at == 10.0 or not grant.is_released(slot, at - 0.01)
    assert grant.granted_slots <= {3}


def test_earlier_grants_expire_or_are_replaced() -> None:
    grant = UpstreamGrants(SETTINGS, earlier_grants_expire_at=10.5)
    assert not grant.has_expired(10.4) and not grant.is_released(7, 10.4)
    assert grant.has_expired(10.5) and grant.is_released(7, 10.5)
    read(grant, 10.0)
    accept(grant, prepare(grant, 1, [], 10.0))
    assert grant.has_expired(10.0) and grant.is_released(7, 10.0)


def test_renewals_extend_only_by_newer_readings(grant: UpstreamGrants) -> None:
    accept(grant, prepare(grant, 1, [1], 10.0))
    accept(grant, prepare(grant, 1, [1], 10.9))
    assert grant.usable_until == pytest.approx(11.1) and grant.expires_at < 11.31
    assert read(grant, 11.0) is False and read(grant, 10.5) is False
    renewal = prepare(grant, 1, [1], 11.05)
    assert renewal.expires_at_ms == 12_200 and grant.usable_until < 11.2
    accept(grant, renewal)
    assert grant.usable_until == pytest.approx(12.1)


def test_restart_invalidates_grants(grant: UpstreamGrants) -> None:
    request = prepare(grant, 1, [1], 10.0)
    accept(grant, request, incarnation="2")
    assert not grant.may_dispatch(1, 10.0)
    accept(grant, request)
    assert read(grant, 10.1, "2") and grant.incarnation == "2"
    accept(grant, request)
    assert not grant.may_dispatch(1, 10.1) and not grant.is_released(1, 11.2)


def test_grant_needs_a_reading_on_the_same_connection(grant: UpstreamGrants) -> None:
    request = prepare(grant, 1, [1], 10.0)
    grant.discard_reading()
    assert not grant.has_reading
    accept(grant, request)
    assert not grant.may_dispatch(1, 10.0)
    with pytest.raises(MissingReadingError):
        prepare(grant, 1, [1], 10.1)
