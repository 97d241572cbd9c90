"""State machine test of resends, lost writes and changes of leader."""

from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from plantaincart_core.exception import RecordNotDurableError, RecordsFullError
from plantaincart_core.record import Decision, Outcome, RecordKey, RecordTracker
from plantaincart_schema.generated.platform import Record, RecordBatch, RecordState
from plantaincart_schema.generated.settings import RecordSettings
from pytest import raises

MAX_RECORDS = 3
KEYS = st.sampled_from(["i0", "i1", "i2", "i3"])
FINGERPRINTS = st.sampled_from(["f0", "f1"])


@dataclass
class Attempt:
    """Actual history of one attempt at a request, independent of the records."""

    record: Record
    dispatched: bool = False
    proven_not_run: bool = False
    answered: bool = False
    write_began: bool = False
    durable_states: list[Record] = field(default_factory=list)

    def is_durable(self, state: RecordState) -> bool:
        return any(record.state is state for record in self.durable_states)


class RecordMachine(RuleBasedStateMachine):
    """Callers resend requests while leaders change and writes fail or commit late."""

    def __init__(self) -> None:
        super().__init__()
        self.tracker = RecordTracker(RecordSettings(max_records=MAX_RECORDS))
        self.epoch = 0
        self.wall_time = 1_700_000_000.0
        self.clock_skew = 0.0
        self.attempts: dict[str, list[Attempt]] = {}
        self.own_attempts: dict[str, Attempt] = {}
        self.finished_attempts: list[Attempt] = []
        self.table: list[RecordBatch] = []
        self.replicas: list[RecordBatch] = []
        self.inherited_replicas: list[RecordBatch] = []
        self.writes_in_progress: list[RecordBatch] = []
        self.unresolved_writes: list[RecordBatch] = []

    def find_attempt(self, record: Record) -> Attempt:
        return next(
            attempt
            for attempt in self.attempts[record.idempotency_key]
            if attempt.record.created_at == record.created_at
        )

    def store(self, batch: RecordBatch, destination: list[RecordBatch]) -> None:
        destination.append(batch)
        for record in batch.records:
            self.find_attempt(record).durable_states.append(record)

    def list_unproven(self, key: str) -> list[Attempt]:
        """List the attempts that the durable states don't prove not to have run."""
        return [
            attempt
            for attempt in self.attempts.get(key, [])
            if attempt is self.own_attempts.get(key)
            or (attempt.durable_states and not attempt.is_durable(RecordState.not_run))
        ]

    @rule(key=KEYS, fingerprint=FINGERPRINTS)
    def resend(self, key: str, fingerprint: str) -> None:
        self.wall_time += 0.001
        present = self.tracker.find(RecordKey("s", "", key))
        try:
            recorded = self.tracker.begin(
                "s", "", key, fingerprint, 3, self.wall_time + self.clock_skew
            )
        except RecordsFullError:
            assert present is None
            assert len(self.tracker) >= MAX_RECORDS
            return
        if recorded.decision is Decision.NEW:
            assert present is None
            assert len(self.tracker) <= MAX_RECORDS
            attempt = Attempt(recorded.record)
            earlier = self.attempts.setdefault(key, [])
            assert all(
                a.record.created_at != recorded.record.created_at for a in earlier
            )
            earlier.append(attempt)
            self.own_attempts[key] = attempt
            return
        assert present is recorded.record
        if present.fingerprint != fingerprint:
            assert recorded.decision is Decision.REUSED
        elif recorded.decision is Decision.REPLAY:
            attempt = self.find_attempt(present)
            assert attempt.answered
            assert present.body == repr(attempt.record.created_at).encode()
        elif recorded.decision is Decision.JOIN:
            assert self.own_attempts[key].record.created_at == present.created_at
        else:
            assert recorded.decision is Decision.UNKNOWN

    @precondition(lambda self: self.own_attempts)
    @rule(data=st.data())
    def dispatch(self, data: st.DataObject) -> None:
        key = data.draw(st.sampled_from(sorted(self.own_attempts)))
        record_id = RecordKey("s", "", key)
        attempt = self.own_attempts[key]
        record = self.tracker.find(record_id)
        if record is None or record.state is not RecordState.intent:
            with raises(RecordNotDurableError):
                self.tracker.confirm_dispatch(record_id)
            return
        if not self.tracker.is_durable(record_id):
            with raises(RecordNotDurableError):
                self.tracker.confirm_dispatch(record_id)
            return
        self.tracker.confirm_dispatch(record_id)
        assert any(r is record for r in attempt.durable_states)
        for other in self.attempts[key]:
            assert other is attempt or not other.dispatched or other.proven_not_run
        attempt.dispatched = True

    @precondition(lambda self: self.own_attempts)
    @rule(data=st.data())
    def answer(self, data: st.DataObject) -> None:
        key = data.draw(st.sampled_from(sorted(self.own_attempts)))
        attempt = self.own_attempts[key]
        if not attempt.dispatched or attempt.proven_not_run:
            return
        body = repr(attempt.record.created_at).encode()
        outcome = Outcome(status=201, headers=[], body=body, upstream="u1")
        record = self.tracker.finish(RecordKey("s", "", key), outcome)
        assert record.body == body
        attempt.answered = True
        self.finished_attempts.append(attempt)

    @precondition(lambda self: self.own_attempts)
    @rule(data=st.data())
    def prove_not_run(self, data: st.DataObject) -> None:
        key = data.draw(st.sampled_from(sorted(self.own_attempts)))
        attempt = self.own_attempts[key]
        if attempt.answered:
            return
        self.tracker.record_not_run(RecordKey("s", "", key))
        attempt.proven_not_run = True
        self.finished_attempts.append(attempt)
        del self.own_attempts[key]

    @precondition(lambda self: self.own_attempts)
    @rule(data=st.data())
    def lose_outcome(self, data: st.DataObject) -> None:
        key = data.draw(st.sampled_from(sorted(self.own_attempts)))
        if self.own_attempts[key].dispatched:
            self.tracker.record_unknown_outcome(RecordKey("s", "", key))

    @rule(limit=st.integers(1, 3))
    def begin_write(self, limit: int) -> None:
        records = self.tracker.take_batch(limit)
        for record in records:
            self.find_attempt(record).write_began = True
        if records:
            self.writes_in_progress.append(self.tracker.build_batch(records))

    @precondition(lambda self: self.writes_in_progress)
    @rule(data=st.data(), end=st.sampled_from(["table", "replica", "lost"]))
    def end_write(self, data: st.DataObject, end: str) -> None:
        index = data.draw(st.integers(0, len(self.writes_in_progress) - 1))
        batch = self.writes_in_progress.pop(index)
        if end == "lost":
            self.unresolved_writes.append(batch)
            self.tracker.requeue(batch.records)
            return
        self.store(batch, self.table if end == "table" else self.replicas)
        self.tracker.confirm_written(batch.records)

    @precondition(lambda self: self.unresolved_writes)
    @rule(data=st.data())
    def commit_late(self, data: st.DataObject) -> None:
        index = data.draw(st.integers(0, len(self.unresolved_writes) - 1))
        self.store(self.unresolved_writes.pop(index), self.table)

    @rule()
    def flush_replicas(self) -> None:
        self.table += self.replicas
        self.replicas = []
        if not self.tracker.list_unwritten():
            self.inherited_replicas = []

    @rule(
        clock_skew=st.sampled_from([-30.0, 0.0, 30.0]),
        handed_over=st.booleans(),
        order=st.randoms(use_true_random=False),
    )
    def change_leader(
        self, clock_skew: float, handed_over: bool, order: object
    ) -> None:
        if handed_over and (records := self.tracker.list_unwritten()):
            self.store(self.tracker.build_batch(records), self.replicas)
        self.check_outcomes_are_durable()
        self.unresolved_writes += self.writes_in_progress
        self.writes_in_progress = []
        self.inherited_replicas += self.replicas
        self.replicas = []
        self.clock_skew = clock_skew
        self.own_attempts = {}
        self.finished_attempts = []
        order.shuffle(self.table)  # type: ignore[attr-defined]
        self.epoch += 1
        self.tracker = RecordTracker(
            RecordSettings(max_records=MAX_RECORDS), self.epoch
        )
        self.tracker.load(
            self.table, self.wall_time + clock_skew, self.inherited_replicas
        )
        for key in self.attempts:
            record = self.tracker.find(RecordKey("s", "", key))
            unproven = self.list_unproven(key)
            assert (record is not None) == bool(unproven)
            if record is not None:
                answered = any(a.is_durable(RecordState.answered) for a in unproven)
                assert record.state == ("answered" if answered else "unknown")

    def check_outcomes_are_durable(self) -> None:
        """Check that all outcomes are durable if the leader has no unwritten states."""
        if self.tracker.list_unwritten():
            return
        for attempt in self.finished_attempts:
            if attempt.proven_not_run and attempt.write_began:
                assert attempt.is_durable(RecordState.not_run)
            if attempt.answered:
                assert attempt.is_durable(RecordState.answered)

    @invariant()
    def each_change_is_pending_once(self) -> None:
        being_written = {
            id(record) for batch in self.writes_in_progress for record in batch.records
        }
        unwritten = {id(record) for record in self.tracker.list_unwritten()}
        assert self.tracker.pending_count == len(unwritten - being_written)

    @invariant()
    def requests_run_at_most_once(self) -> None:
        for attempts in self.attempts.values():
            dispatched = [a for a in attempts if a.dispatched and not a.proven_not_run]
            assert len(dispatched) <= 1

    @invariant()
    def requests_that_may_have_run_have_records(self) -> None:
        for key, attempts in self.attempts.items():
            if any(a.dispatched and not a.proven_not_run for a in attempts):
                assert self.tracker.find(RecordKey("s", "", key)) is not None


RecordMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=400, stateful_step_count=50
)
TestRecords = RecordMachine.TestCase
