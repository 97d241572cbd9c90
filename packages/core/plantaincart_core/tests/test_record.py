from collections.abc import Callable
from dataclasses import replace
from itertools import permutations

from plantaincart_core import recordjournal
from plantaincart_core.exception import RecordsFullError, UnknownRecordError
from plantaincart_core.record import (
    Decision,
    Outcome,
    RecordedDecision,
    RecordKey,
    RecordTracker,
)
from plantaincart_core.recordmerge import choose_record, merge_batches
from plantaincart_schema.generated.platform import Record, RecordBatch, RecordState
from plantaincart_schema.generated.settings import RecordSettings
from pytest import MonkeyPatch, mark, raises

NOW = 1_700_000_000.0
SETTINGS = RecordSettings(window_s=100.0, max_records=3, max_answer_bytes=10)
FIRST = RecordKey("s", "k", "i1")


def begin(
    tracker: RecordTracker,
    idempotency_key: str = "i1",
    fingerprint: str = "f",
    at: float = 0,
) -> RecordedDecision:
    return tracker.begin("s", "k", idempotency_key, fingerprint, 7, NOW + at)


def write(tracker: RecordTracker) -> list[RecordBatch]:
    records = tracker.take_batch(100)
    tracker.confirm_written(records)
    return [tracker.build_batch(records)] if records else []


def answer(tracker: RecordTracker, body: bytes = b"done") -> Record:
    outcome = Outcome(status=201, headers=[["a", "b"]], body=body, upstream="u")
    return tracker.finish(FIRST, outcome)


def lose_before_write(tracker: RecordTracker) -> None:
    tracker.record_unknown_outcome(FIRST)


def lose_after_write(tracker: RecordTracker) -> None:
    write(tracker)
    tracker.record_unknown_outcome(FIRST)


def answer_after_loss(tracker: RecordTracker) -> None:
    lose_after_write(tracker)
    answer(tracker)


def record_not_run_before_write(tracker: RecordTracker) -> None:
    tracker.record_not_run(FIRST)
    assert tracker.pending_count == 0


def record_not_run_after_write(tracker: RecordTracker) -> None:
    write(tracker)
    tracker.record_not_run(FIRST)
    tracker.record_not_run(FIRST)
    assert tracker.pending_count == 1


def record_not_run_after_loss(tracker: RecordTracker) -> None:
    lose_after_write(tracker)
    tracker.record_not_run(FIRST)


CASES = [
    (lambda tracker: None, Decision.JOIN, Decision.REUSED),
    (write, Decision.JOIN, Decision.REUSED),
    (answer, Decision.REPLAY, Decision.REUSED),
    (lose_before_write, Decision.UNKNOWN, Decision.REUSED),
    (lose_after_write, Decision.UNKNOWN, Decision.REUSED),
    (answer_after_loss, Decision.REPLAY, Decision.REUSED),
    (record_not_run_before_write, Decision.NEW, Decision.NEW),
    (record_not_run_after_write, Decision.NEW, Decision.NEW),
    (record_not_run_after_loss, Decision.NEW, Decision.NEW),
]


@mark.parametrize(("change", "same", "other"), CASES)
def test_decision_on_resend_depends_on_state_of_first_request(
    change: Callable[[RecordTracker], object], same: Decision, other: Decision
) -> None:
    for fingerprint, decision in (("f", same), ("g", other)):
        tracker = RecordTracker(SETTINGS)
        assert begin(tracker).decision is Decision.NEW
        change(tracker)
        assert begin(tracker, fingerprint=fingerprint).decision is decision


@mark.parametrize(
    ("change", "decision"),
    [
        (lambda tracker: None, Decision.UNKNOWN),
        (lambda tracker: tracker.record_unknown_outcome(FIRST), Decision.UNKNOWN),
        (answer, Decision.REPLAY),
        (lambda tracker: tracker.record_not_run(FIRST), Decision.NEW),
    ],
)
@mark.parametrize("handed_over", [False, True])
def test_later_leaders_load_written_states(
    change: Callable[[RecordTracker], object], decision: Decision, handed_over: bool
) -> None:
    first = RecordTracker(SETTINGS, epoch=1)
    begin(first)
    table = write(first)
    change(first)
    kept: list[RecordBatch] = []
    if handed_over and (records := first.list_unwritten()):
        kept = [first.build_batch(records)]
    else:
        table += write(first)
    second = RecordTracker(SETTINGS, epoch=2)
    second.load(table, NOW, kept)
    table += write(second)
    third = RecordTracker(SETTINGS, epoch=3)
    third.load(table, NOW)
    for tracker in (second, third):
        assert begin(tracker).decision is decision
        if decision is Decision.REPLAY:
            assert tracker.find(FIRST) == first.find(FIRST)


def test_request_with_unwritten_intent_may_run_under_next_leader() -> None:
    first = RecordTracker(SETTINGS, epoch=1)
    begin(first)
    second = RecordTracker(SETTINGS, epoch=2)
    assert second.load([], NOW) == []
    assert begin(second).decision is Decision.NEW


@mark.parametrize("next_epoch", [2, 65])
def test_creation_times_of_leaders_differ_when_a_clock_is_behind(
    next_epoch: int,
) -> None:
    first = RecordTracker(SETTINGS, epoch=1)
    begin(first, "other")
    table = write(first)
    unwritten = begin(first).record
    second = RecordTracker(SETTINGS, epoch=next_epoch)
    second.load(table, NOW - 50.0)
    record = begin(second, at=-50.0).record
    assert (record.created_at != unwritten.created_at) == (next_epoch != 65)
    assert record.created_at > table[0].records[0].created_at


def make_attempt(state: RecordState, created_at: float) -> Record:
    return Record(
        service="s",
        key="k",
        idempotency_key="i1",
        fingerprint="f",
        state=state,
        created_at=created_at,
        body=b"",
    )


INTENT, UNKNOWN = RecordState.intent, RecordState.unknown
NOT_RUN, ANSWERED = RecordState.not_run, RecordState.answered


@mark.parametrize(
    ("states", "chosen"),
    [
        ([(INTENT, 1.0), (NOT_RUN, 1.0)], None),
        ([(INTENT, 1.0), (UNKNOWN, 1.0)], (UNKNOWN, 1.0)),
        ([(INTENT, 1.0), (UNKNOWN, 1.0), (ANSWERED, 1.0)], (ANSWERED, 1.0)),
        ([(INTENT, 1.0), (NOT_RUN, 1.0), (INTENT, 2.0)], (INTENT, 2.0)),
        ([(INTENT, 1.0), (INTENT, 2.0), (NOT_RUN, 2.0)], (INTENT, 1.0)),
        ([(INTENT, 2.0), (NOT_RUN, 2.0), (ANSWERED, 1.0)], (ANSWERED, 1.0)),
        ([(INTENT, 2.0), (ANSWERED, 1.0)], (ANSWERED, 1.0)),
        ([(INTENT, 1.0), (INTENT, 2.0)], (INTENT, 2.0)),
        ([(NOT_RUN, 1.0), (NOT_RUN, 2.0)], None),
    ],
)
def test_states_merge_in_any_order(
    states: list[tuple[RecordState, float]], chosen: tuple[RecordState, float] | None
) -> None:
    records = [make_attempt(state, created_at) for state, created_at in states]
    for order in permutations(records):
        batches = [RecordBatch(records=[record], newest_at=0.0) for record in order]
        partial = merge_batches(batches[:1], {})
        latest = merge_batches([*batches, *batches], partial)[FIRST]
        record = choose_record(latest)
        assert (record and (record.state, record.created_at)) == chosen


def test_load_returns_requests_that_may_be_running() -> None:
    intent = replace(make_attempt(INTENT, NOW), deadline_at=NOW + 5.0)
    batch = RecordBatch(records=[intent], newest_at=NOW)
    assert RecordTracker(SETTINGS).load([batch], NOW) == [intent]
    assert RecordTracker(SETTINGS).load([], NOW, [batch]) == [intent]
    assert RecordTracker(SETTINGS).load([batch], NOW + 5.0) == []


def test_loaded_intent_is_not_proven_and_records_load_once() -> None:
    tracker = RecordTracker(SETTINGS)
    tracker.load([RecordBatch(records=[make_attempt(INTENT, NOW)], newest_at=NOW)], NOW)
    with raises(UnknownRecordError):
        tracker.record_not_run(FIRST)
    with raises(ValueError, match="only before the first request"):
        tracker.load([], NOW)


def test_new_requests_are_rejected_until_records_expire() -> None:
    tracker = RecordTracker(SETTINGS)
    for index in range(3):
        begin(tracker, f"i{index}", at=index)
    tracker.record_not_run(RecordKey("s", "k", "i2"))
    begin(tracker, "i3", at=3.0)
    answer(tracker)
    tracker.record_unknown_outcome(RecordKey("s", "k", "i3"))
    with raises(RecordsFullError):
        begin(tracker, "i4", at=100.0)
    assert begin(tracker, "i0", at=100.0).decision is Decision.JOIN
    assert begin(tracker, at=100.9).decision is Decision.REPLAY
    assert begin(tracker, "i4", at=101.1).decision is Decision.NEW
    assert (tracker.expire(NOW + 104.0), len(tracker)) == (1, 2)


def test_expired_record_is_neither_used_nor_loaded() -> None:
    tracker = RecordTracker(SETTINGS)
    begin(tracker)
    answer(tracker)
    (batch,) = write(tracker)
    assert batch.newest_at == tracker.find(FIRST).created_at  # type: ignore[union-attr]
    later = RecordTracker(SETTINGS)
    later.load([batch], NOW + 101.0)
    assert (len(later), begin(tracker, at=101.0).decision) == (0, Decision.NEW)


def test_record_is_kept_until_a_deadline_after_the_window() -> None:
    tracker = RecordTracker(SETTINGS)
    tracker.begin("s", "k", "i1", "f", 7, NOW, deadline_at=NOW + 200.0)
    (batch,) = write(tracker)
    tracker.record_unknown_outcome(FIRST)
    assert begin(tracker, at=150.0).decision is Decision.UNKNOWN
    assert batch.newest_at == NOW + 100.0
    assert begin(tracker, at=200.0).decision is Decision.NEW


def test_memory_for_bodies_is_bounded(monkeypatch: MonkeyPatch) -> None:
    monkeypatch.setattr(recordjournal, "MAX_BODY_BYTES", 15)
    tracker = RecordTracker(SETTINGS)
    begin(tracker)
    assert not answer(tracker, b"x" * 11).body_kept
    for index in (2, 3):
        recorded = begin(tracker, f"i{index}")
        outcome = Outcome(status=200, headers=[], body=b"x" * 10, upstream="u")
        tracker.finish(recorded.record_id, outcome)
    bodies_kept = [begin(tracker, f"i{index}").record.body_kept for index in (1, 2, 3)]
    assert bodies_kept == [False, False, True]
    assert len(tracker.take_batch(10)) == 3


def test_outcomes_without_a_matching_record() -> None:
    tracker = RecordTracker(SETTINGS)
    tracker.record_not_run(FIRST)
    tracker.record_unknown_outcome(FIRST)
    with raises(UnknownRecordError):
        answer(tracker)
    begin(tracker)
    first = answer(tracker, b"first")
    assert answer(tracker, b"second") is first
    with raises(UnknownRecordError):
        tracker.record_not_run(FIRST)
