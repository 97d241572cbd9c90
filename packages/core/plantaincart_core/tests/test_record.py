from collections.abc import Callable
from dataclasses import replace
from itertools import permutations

from plantaincart_core import journal
from plantaincart_core.exception import RecordsFullError, UnknownRecordError
from plantaincart_core.merge import choose_record, merge_batches
from plantaincart_core.record import (
    Decision,
    Opening,
    Outcome,
    RecordBook,
    RecordKey,
)
from plantaincart_schema.generated.platform import Record, RecordBatch, RecordState
from plantaincart_schema.generated.settings import RecordSettings
from pytest import MonkeyPatch, mark, raises

NOW = 1_700_000_000.0
SETTINGS = RecordSettings(window_s=100.0, max_records=3, max_answer_bytes=10)
FIRST = RecordKey("s", "k", "i1")


def begin(
    book: RecordBook, idempotency_key: str = "i1", fingerprint: str = "f", at: float = 0
) -> Opening:
    return book.begin("s", "k", idempotency_key, fingerprint, 7, NOW + at)


def write(book: RecordBook) -> list[RecordBatch]:
    records = book.take_batch(100)
    book.confirm_written(records)
    return [book.build_batch(records)] if records else []


def answer(book: RecordBook, body: bytes = b"done") -> Record:
    outcome = Outcome(status=201, headers=[["a", "b"]], body=body, upstream="u")
    return book.finish(FIRST, outcome)


def lose_before_write(book: RecordBook) -> None:
    book.lose(FIRST)


def lose_after_write(book: RecordBook) -> None:
    write(book)
    book.lose(FIRST)


def answer_after_loss(book: RecordBook) -> None:
    lose_after_write(book)
    answer(book)


def prove_before_write(book: RecordBook) -> None:
    book.not_run(FIRST)
    assert book.pending_count == 0


def prove_after_write(book: RecordBook) -> None:
    write(book)
    book.not_run(FIRST)
    book.not_run(FIRST)
    assert book.pending_count == 1


def prove_after_loss(book: RecordBook) -> None:
    lose_after_write(book)
    book.not_run(FIRST)


CASES = [
    (lambda book: None, Decision.JOIN, Decision.REUSED),
    (write, Decision.JOIN, Decision.REUSED),
    (answer, Decision.REPLAY, Decision.REUSED),
    (lose_before_write, Decision.UNKNOWN, Decision.REUSED),
    (lose_after_write, Decision.UNKNOWN, Decision.REUSED),
    (answer_after_loss, Decision.REPLAY, Decision.REUSED),
    (prove_before_write, Decision.NEW, Decision.NEW),
    (prove_after_write, Decision.NEW, Decision.NEW),
    (prove_after_loss, Decision.NEW, Decision.NEW),
]


@mark.parametrize(("change", "same", "other"), CASES)
def test_resend_meets_what_became_of_the_first(
    change: Callable[[RecordBook], object], same: Decision, other: Decision
) -> None:
    for fingerprint, decision in (("f", same), ("g", other)):
        book = RecordBook(SETTINGS)
        assert begin(book).decision is Decision.NEW
        change(book)
        assert begin(book, fingerprint=fingerprint).decision is decision


@mark.parametrize(
    ("change", "decision"),
    [
        (lambda book: None, Decision.UNKNOWN),
        (lambda book: book.lose(FIRST), Decision.UNKNOWN),
        (answer, Decision.REPLAY),
        (lambda book: book.not_run(FIRST), Decision.NEW),
    ],
)
@mark.parametrize("handed_over", [False, True])
def test_next_leaders_know_what_was_written(
    change: Callable[[RecordBook], object], decision: Decision, handed_over: bool
) -> None:
    first = RecordBook(SETTINGS, epoch=1)
    begin(first)
    table = write(first)
    change(first)
    kept: list[RecordBatch] = []
    if handed_over and (records := first.list_unwritten()):
        kept = [first.build_batch(records)]
    else:
        table += write(first)
    second = RecordBook(SETTINGS, epoch=2)
    second.load(table, NOW, kept)
    table += write(second)
    third = RecordBook(SETTINGS, epoch=3)
    third.load(table, NOW)
    for book in (second, third):
        assert begin(book).decision is decision
        if decision is Decision.REPLAY:
            assert book.find(FIRST) == first.find(FIRST)


def test_intent_that_was_never_written_may_run_elsewhere() -> None:
    first = RecordBook(SETTINGS, epoch=1)
    begin(first)
    second = RecordBook(SETTINGS, epoch=2)
    assert second.load([], NOW) == []
    assert begin(second).decision is Decision.NEW


@mark.parametrize("next_epoch", [2, 65])
def test_attempts_of_leaders_differ_when_a_clock_is_behind(next_epoch: int) -> None:
    first = RecordBook(SETTINGS, epoch=1)
    begin(first, "other")
    table = write(first)
    late = begin(first).record
    second = RecordBook(SETTINGS, epoch=next_epoch)
    second.load(table, NOW - 50.0)
    record = begin(second, at=-50.0).record
    assert (record.created_at != late.created_at) == (next_epoch != 65)
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
        half = merge_batches(batches[:1], {})
        latest = merge_batches([*batches, *batches], half)[FIRST]
        found = choose_record(latest)
        assert (found and (found.state, found.created_at)) == chosen


def test_load_gives_the_requests_that_may_still_run() -> None:
    intent = replace(make_attempt(INTENT, NOW), deadline_at=NOW + 5.0)
    batch = RecordBatch(records=[intent], newest_at=NOW)
    assert RecordBook(SETTINGS).load([batch], NOW) == [intent]
    assert RecordBook(SETTINGS).load([], NOW, [batch]) == [intent]
    assert RecordBook(SETTINGS).load([batch], NOW + 5.0) == []


def test_load_comes_before_requests_and_proves_nothing() -> None:
    book = RecordBook(SETTINGS)
    book.load([RecordBatch(records=[make_attempt(INTENT, NOW)], newest_at=NOW)], NOW)
    with raises(UnknownRecordError):
        book.not_run(FIRST)
    with raises(ValueError, match="only before the first request"):
        book.load([], NOW)


def test_full_book_refuses_new_requests_until_some_expire() -> None:
    book = RecordBook(SETTINGS)
    for index in range(3):
        begin(book, f"i{index}", at=index)
    book.not_run(RecordKey("s", "k", "i2"))
    begin(book, "i3", at=3.0)
    answer(book)
    book.lose(RecordKey("s", "k", "i3"))
    with raises(RecordsFullError):
        begin(book, "i4", at=100.0)
    assert begin(book, "i0", at=100.0).decision is Decision.JOIN
    assert begin(book, at=100.9).decision is Decision.REPLAY
    assert begin(book, "i4", at=101.1).decision is Decision.NEW
    assert (book.expire(NOW + 104.0), len(book)) == (1, 2)


def test_expired_record_is_new_again_and_not_loaded() -> None:
    book = RecordBook(SETTINGS)
    begin(book)
    answer(book)
    (batch,) = write(book)
    assert batch.newest_at == book.find(FIRST).created_at  # type: ignore[union-attr]
    later = RecordBook(SETTINGS)
    later.load([batch], NOW + 101.0)
    assert (len(later), begin(book, at=101.0).decision) == (0, Decision.NEW)


def test_deadline_outlasts_the_window() -> None:
    book = RecordBook(SETTINGS)
    book.begin("s", "k", "i1", "f", 7, NOW, deadline_at=NOW + 200.0)
    (batch,) = write(book)
    book.lose(FIRST)
    assert begin(book, at=150.0).decision is Decision.UNKNOWN
    assert batch.newest_at == NOW + 100.0
    assert begin(book, at=200.0).decision is Decision.NEW


def test_bodies_kept_are_bounded(monkeypatch: MonkeyPatch) -> None:
    monkeypatch.setattr(journal, "MAX_BODY_BYTES", 15)
    book = RecordBook(SETTINGS)
    begin(book)
    assert not answer(book, b"x" * 11).body_kept
    for index in (2, 3):
        opening = begin(book, f"i{index}")
        outcome = Outcome(status=200, headers=[], body=b"x" * 10, upstream="u")
        book.finish(opening.record_id, outcome)
    kept = [begin(book, f"i{index}").record.body_kept for index in (1, 2, 3)]
    assert kept == [False, False, True]
    assert len(book.take_batch(10)) == 3


def test_outcomes_of_what_is_not_held() -> None:
    book = RecordBook(SETTINGS)
    book.not_run(FIRST)
    book.lose(FIRST)
    with raises(UnknownRecordError):
        answer(book)
    begin(book)
    first = answer(book, b"first")
    assert answer(book, b"second") is first
    with raises(UnknownRecordError):
        book.not_run(FIRST)
