"""Idempotency records of a shard: the state of each non-idempotent request."""

from collections.abc import Iterable
from dataclasses import replace
from operator import attrgetter

from plantaincart_schema.generated.platform import Record, RecordBatch, RecordState
from plantaincart_schema.generated.settings import RecordSettings

from plantaincart_core.exception import RecordNotDurableError, UnknownRecordError
from plantaincart_core.recorddecision import (
    Decision,
    Outcome,
    RecordedDecision,
    RecordKey,
    decide,
)
from plantaincart_core.recordjournal import JournalEntry, RecordJournal
from plantaincart_core.recordmerge import (
    choose_record,
    identify_record,
    may_be_running,
    merge_batches,
)

__all__ = ["Decision", "RecordedDecision", "Outcome", "RecordTracker", "RecordKey"]

# A creation time in microseconds, modulo DISTINCT_EPOCHS, equals the epoch's remainder.
TICKS_PER_S = 1_000_000
DISTINCT_EPOCHS = 64


class RecordTracker(RecordJournal):
    """
    Idempotency records of one shard, in the memory of its leader.

    Parameters
    ----------
    settings : RecordSettings
        Window, maximum number of records and maximum size of an answer kept.
    epoch : int
        Epoch of the leader.

    Notes
    -----
    A request is dispatched only once its intent is durable. Hence a later leader may
    run a request without a record, and answers that a request may have run if it
    finds an intent only.

    The creation time identifies an attempt among all attempts at its request; see
    `merge_batches`. It increases strictly under one leader, and leaders of 64
    successive epochs never use the same one, even if their clocks differ. A record is
    kept until its window has passed; while the maximum number of records is kept,
    new requests are rejected.
    """

    def __init__(self, settings: RecordSettings, epoch: int = 0) -> None:
        super().__init__(settings)
        self._remainder = epoch % DISTINCT_EPOCHS
        self._latest_tick = 0

    def begin(
        self,
        service: str,
        key: str,
        idempotency_key: str,
        fingerprint: str,
        slot: int,
        now_wall: float,
        *,
        deadline_at: float = 0.0,
        upstream: str = "",
    ) -> RecordedDecision:
        """
        Decide on a non-idempotent request and record an intent if it is new.

        Parameters
        ----------
        service, key, idempotency_key : str
            Identity of the record.
        fingerprint : str
            Hash of the complete request.
        slot : int
            Hash slot of the key.
        now_wall : float
            Unix time in seconds.
        deadline_at : float
            Unix time in seconds after which no upstream runs the request.
        upstream : str
            Upstream that is to run the request, if already chosen.

        Returns
        -------
        RecordedDecision
            The decision and the record.

        Raises
        ------
        RecordsFullError
            If the request is new and the maximum number of records is kept.
        """
        record_id = RecordKey(service, key, idempotency_key)
        existing = self._find_unexpired(record_id, now_wall)
        if existing is not None:
            decision = decide(existing, fingerprint)
            return RecordedDecision(
                decision=decision, record_id=record_id, record=existing
            )
        self._ensure_room(now_wall)
        record = Record(
            service=service,
            key=key,
            idempotency_key=idempotency_key,
            fingerprint=fingerprint,
            state=RecordState.intent,
            created_at=self._create_timestamp(now_wall),
            body=b"",
            slot=slot,
            upstream=upstream,
            deadline_at=deadline_at,
        )
        self._add_intent(record_id, record)
        return RecordedDecision(
            decision=Decision.NEW, record_id=record_id, record=record
        )

    def confirm_dispatch(self, record_id: RecordKey) -> None:
        """
        Check that a request may be sent, directly before it is sent to an upstream.

        Parameters
        ----------
        record_id : RecordKey
            Identity of the record.

        Raises
        ------
        RecordNotDurableError
            If the record isn't a durable intent.
        """
        record = self.find(record_id)
        if record is None or record.state is not RecordState.intent:
            raise RecordNotDurableError(f"no intent for {record_id}")
        if not self.is_durable(record_id):
            raise RecordNotDurableError(f"intent not written yet for {record_id}")

    def finish(self, record_id: RecordKey, outcome: Outcome) -> Record:
        """
        Record the complete answer to a request.

        Parameters
        ----------
        record_id : RecordKey
            Identity of the record.
        outcome : Outcome
            Answer of the upstream; it may also be a late answer to a request whose
            outcome was unknown.

        Returns
        -------
        Record
            The answered record; an earlier answer isn't replaced.

        Raises
        ------
        UnknownRecordError
            If there is no such record.
        """
        record = self.find(record_id)
        if record is None:
            raise UnknownRecordError(f"no record of {record_id}")
        if record.state is RecordState.answered:
            return record
        keeps_body = len(outcome.body) <= self.settings.max_answer_bytes
        record = replace(
            record,
            state=RecordState.answered,
            status=outcome.status,
            headers=outcome.headers,
            body=outcome.body if keeps_body else b"",
            body_kept=keeps_body,
            upstream=outcome.upstream,
        )
        self._finish_record(record_id, record)
        return record

    def record_not_run(self, record_id: RecordKey) -> None:
        """
        Remove the record of a request that can't have run, so that a resend may run.

        Parameters
        ----------
        record_id : RecordKey
            Identity of the record; ignored if there is none.

        Raises
        ------
        UnknownRecordError
            If the request is answered, or an earlier leader dispatched it.
        """
        entry = self._entries.get(record_id)
        if entry is None:
            return
        if entry.loaded or entry.record.state is RecordState.answered:
            raise UnknownRecordError(f"{record_id} can't be proven not to have run")
        self._remove(record_id)
        if entry.may_be_written:
            record = replace(entry.record, state=RecordState.not_run)
            self._add_superseded(record_id, record)

    def record_unknown_outcome(self, record_id: RecordKey) -> None:
        """
        Record that a request may have run.

        Parameters
        ----------
        record_id : RecordKey
            Identity of the record; only an intent is changed.

        Notes
        -----
        If the intent is durable, nothing is written, since a later leader treats an
        intent without an outcome as unknown.
        """
        entry = self._entries.get(record_id)
        if entry is None or entry.record.state is not RecordState.intent:
            return
        record = replace(entry.record, state=RecordState.unknown)
        if entry.durable:
            entry.record = record
            self._finished[record_id] = None
        else:
            self._finish_record(record_id, record)

    def load(
        self,
        batches: Iterable[RecordBatch],
        now_wall: float,
        unwritten: Iterable[RecordBatch] = (),
    ) -> list[Record]:
        """
        Load the records of earlier leaders, before the first request.

        Parameters
        ----------
        batches : iterable of RecordBatch
            Batches in the table, in any order.
        now_wall : float
            Unix time in seconds.
        unwritten : iterable of RecordBatch
            Batches that successors or the earlier leader kept; those of their records
            that the table lacks become pending writes.

        Returns
        -------
        list of Record
            Requests without an outcome whose `deadline_at` has not passed; an
            upstream may still run them.

        Raises
        ------
        ValueError
            If there are records already.
        """
        if len(self):
            raise ValueError("records can be loaded only before the first request")
        written = merge_batches(batches, {})
        latest = merge_batches(unwritten, written)
        chosen: list[Record] = []
        running: list[Record] = []
        for record_id, attempts in latest.items():
            unexpired = [
                record for record in attempts if self._observe_record(record, now_wall)
            ]
            running.extend(
                record for record in unexpired if may_be_running(record, now_wall)
            )
            record = choose_record(unexpired)
            if record is not None:
                chosen.append(record)
            for other in unexpired:
                if other is not record and other not in written.get(record_id, ()):
                    self._add_superseded(record_id, other)
        chosen.sort(key=attrgetter("created_at"))
        for record in chosen:
            written_attempts = written.get(identify_record(record), ())
            self._add_loaded(record, durable=record in written_attempts)
        return running

    def _create_timestamp(self, now_wall: float) -> float:
        tick = max(int(now_wall * TICKS_PER_S), self._latest_tick + 1)
        tick += (self._remainder - tick) % DISTINCT_EPOCHS
        self._latest_tick = tick
        return tick / TICKS_PER_S

    def _observe_record(self, record: Record, now_wall: float) -> bool:
        tick = round(record.created_at * TICKS_PER_S)
        self._latest_tick = max(self._latest_tick, tick)
        return self._expires_at(record) > now_wall

    def _find_unexpired(self, record_id: RecordKey, now_wall: float) -> Record | None:
        entry = self._entries.get(record_id)
        if entry is None or self._is_unexpired(entry.record, now_wall):
            return entry.record if entry else None
        self._remove(record_id)
        return None

    def _add_loaded(self, record: Record, *, durable: bool) -> None:
        record_id = identify_record(record)
        if record.state is RecordState.intent:
            record = replace(record, state=RecordState.unknown)
        self._entries[record_id] = JournalEntry(record, durable=durable, loaded=True)
        self._finished[record_id] = None
        if not durable:
            self._pending[record_id, record.created_at] = record
        self._store_body(record_id, record)
