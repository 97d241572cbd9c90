import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from plantaincart_core.lease import HeldLease, LeaseObserver, ShardKey, may_take_over
from plantaincart_core.promise import PromiseRegistry, SuccessorPromises
from plantaincart_core.takeover import find_earlier_grant_expiry
from plantaincart_schema.generated.settings import GrantSettings, LeaseSettings

SETTINGS = LeaseSettings()
SHARD = ShardKey("returns-ledger", 0)
EXPIRY_WAIT_S = SETTINGS.ttl_s + SETTINGS.margin_s
OUTAGE_WAIT_S = SETTINGS.outage_limit_s + EXPIRY_WAIT_S
RATES = st.floats(0.96, 1.04)
DELAYS = st.floats(0, 1.0)


def test_lease_is_held_until_it_expires_or_is_dropped() -> None:
    lease = HeldLease(SETTINGS)
    assert not lease.is_held(0.0)
    lease.record_renewal(10.0)
    lease.record_renewal(9.0)
    assert lease.is_held(11.49) and not lease.is_held(11.5)
    lease.invalidate(11.0)
    lease.record_renewal(10.9)
    assert not lease.is_held(11.0)
    lease.record_renewal(11.0)
    assert lease.last_renewal == 11.0 and lease.expires_at == 12.5


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    holder=RATES, taker=RATES, delays=st.tuples(DELAYS, DELAYS, DELAYS), later=DELAYS
)
def test_lease_expires_for_the_holder_before_any_observer(
    holder: float, taker: float, delays: tuple[float, float, float], later: float
) -> None:
    committed, served, received = delays[0], sum(delays[:2]), sum(delays)
    lease = HeldLease(SETTINGS)
    lease.record_renewal(0.0)
    observer = LeaseObserver(SETTINGS)
    observer.observe_rows(committed * taker, received * taker, {"a": 1})
    sent = received
    while not observer.is_expired("a"):
        sent += 0.05
        observer.observe_rows(sent * taker, (sent + later) * taker, {"a": 1})
    assert served <= received and not lease.is_held(sent * holder)


@pytest.mark.parametrize(
    ("reads", "unchanged_s"),
    [
        ([(0.0, 0.1, 1)], 0.0),
        ([(0.0, 0.1, 1), (1.0, 1.3, 1)], 0.9),
        ([(0.0, 0.1, 1), (1.0, 1.1, 2), (1.5, 1.6, 2)], 0.4),
        ([(0.0, 0.1, 1), (1.0, 1.1, None), (2.0, 2.1, None)], 0.9),
        ([(0.0, 0.1, 1), (1.0, 1.1, 1), (2.6, 2.7, 1)], 0.0),
        ([(0.0, 0.1, 1), (1.0, 1.1, 1), (0.5, 1.2, 2)], 0.9),
        ([(0.0, 0.1, 1), None, (2.0, 2.1, 1), (2.4, 2.5, 1)], 0.3),
    ],
)
def test_time_for_which_a_row_stayed_unchanged(reads, unchanged_s: float) -> None:
    observer = LeaseObserver(SETTINGS)
    for read in reads:
        if read is None:
            observer.record_failed_read(1.6)
        else:
            sent_at, received_at, version = read
            versions = {} if version is None else {"a": version}
            observer.observe_rows(sent_at, received_at, versions)
    assert observer.measure_unchanged_s("a") == pytest.approx(unchanged_s)


def test_absence_is_measured_from_the_first_read_after_the_query() -> None:
    observer = LeaseObserver(SETTINGS)
    for step in range(100):
        observer.observe_rows(step, step + 0.1, {})
    assert observer.measure_unchanged_s("a") == 0.0
    observer.observe_rows(100.0, 100.1, {})
    assert observer.find_version("a") is None
    observer.observe_rows(101.0, 101.1, {})
    assert observer.measure_unchanged_s("a") == pytest.approx(0.9)


def test_absent_rows_are_discarded_unless_queried() -> None:
    observer = LeaseObserver(SETTINGS)
    observer.observe_rows(0.0, 0.1, {"a": 1, "b": 1})
    for step in range(1, 100):
        observer.measure_unchanged_s("a")
        observer.observe_rows(step, step + 0.1, {})
    assert observer.measure_unchanged_s("a") == pytest.approx(97.9)
    assert observer.measure_unchanged_s("b") == 0.0


@pytest.mark.parametrize(
    ("candidate", "successors", "unchanged_s", "bound", "lost", "allowed"),
    [
        ("b", ["b", "c"], EXPIRY_WAIT_S, False, False, True),
        ("b", ["b", "c"], EXPIRY_WAIT_S - 0.01, False, False, False),
        ("b", ["b", "c"], EXPIRY_WAIT_S, True, False, False),
        ("b", ["b", "c"], 0.0, False, True, True),
        ("b", ["b", "c"], 0.0, True, True, False),
        ("d", ["b", "c"], OUTAGE_WAIT_S - 0.01, False, True, False),
        ("d", ["b", "c"], OUTAGE_WAIT_S, False, False, True),
        ("d", ["b", "c"], OUTAGE_WAIT_S, True, False, False),
        ("d", [], EXPIRY_WAIT_S, False, False, True),
        ("d", [], EXPIRY_WAIT_S - 0.01, False, False, False),
    ],
)
def test_conditions_for_a_takeover(
    candidate, successors, unchanged_s, bound, lost, allowed
) -> None:
    promises = PromiseRegistry()
    if bound:
        assert promises.make_promise(SHARD, 1, 5.0)
    assert allowed is may_take_over(
        shard=SHARD,
        successors=successors,
        candidate=candidate,
        unchanged_s=unchanged_s,
        settings=SETTINGS,
        promises=promises,
        now=4.9,
        lost=lost,
    )


def test_promises_of_a_successor() -> None:
    registry = PromiseRegistry(all_promised_until=2.0)
    assert registry.forbids_takeover(SHARD, 1.9) and not registry.forbids_takeover(
        SHARD, 2.0
    )
    assert registry.make_promise(SHARD, 4, 8.0) and registry.make_promise(SHARD, 4, 7.0)
    assert registry.forbids_takeover(SHARD, 7.9) and not registry.forbids_takeover(
        SHARD, 8.0
    )
    registry.record_epoch(SHARD, 5)
    assert not registry.make_promise(SHARD, 4, 9.0)
    registry.begin_takeover(SHARD)
    assert not registry.make_promise(SHARD, 5, 9.0)
    registry.end_takeover(SHARD)
    assert registry.make_promise(SHARD, 5, 9.0)


@pytest.mark.parametrize(
    ("successors", "epoch", "renewed_at", "until"),
    [
        (["b", "c"], 3, 0.0, 11.0),
        (["b"], 3, 0.0, 11.5),
        (["b", "c", "d"], 3, 0.0, float("-inf")),
        (["b", "c"], 4, 0.0, float("-inf")),
        ([], 3, 0.0, float("-inf")),
        (["b", "c"], 3, -49.5, 10.5),
    ],
)
def test_promises_let_a_leader_continue(successors, epoch, renewed_at, until) -> None:
    continuation = SuccessorPromises(SETTINGS)
    for name, sent_at in (("b", 10.5), ("b", 9.0), ("c", 10.0)):
        continuation.record_answer(name, sent_at, [(SHARD, 3)])
    args = (SHARD, epoch, successors, renewed_at)
    assert continuation.find_promised_until(*args) == until
    assert continuation.allows_continuation(*args, until - 0.01) is (until > 0)
    assert not continuation.allows_continuation(*args, max(until, 0.0))
    continuation.discard(SHARD)
    assert not continuation.allows_continuation(*args, 10.4)


@pytest.mark.parametrize(
    ("epoch_seen_at", "until"), [(0.0, 10.0), (9.5, 10.8), (10.0, 11.3)]
)
def test_latest_expiry_of_earlier_grants(epoch_seen_at: float, until: float) -> None:
    bound = find_earlier_grant_expiry(GrantSettings(), epoch_seen_at, 10.0)
    assert bound == pytest.approx(until)
