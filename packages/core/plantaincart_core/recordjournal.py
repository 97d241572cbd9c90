"""Storage of idempotency records: writes, expiry and memory for answer bodies."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import replace
from typing import TypeAlias

from plantaincart_schema.generated.platform import Record, RecordBatch, RecordState
from plantaincart_schema.generated.settings import RecordSettings

from plantaincart_core.exception import RecordsFullError
from plantaincart_core.recorddecision import RecordKey
from plantaincart_core.recordmerge import identify_record

__all__ = ["JournalEntry", "RecordJournal"]

Attempt: TypeAlias = tuple[RecordKey, float]  # identity and creation time

# Memory for the answer bodies kept for replay; above it the oldest are discarded.
MAX_BODY_BYTES = 64 * 1024 * 1024


class JournalEntry:
    """
    A record with the progress of its writes to the table.

    Parameters
    ----------
    record : Record
        The record in its present state.
    durable : bool
        Whether the present state is durable.
    loaded : bool
        Whether an earlier leader created the record.

    Attributes
    ----------
    may_be_written : bool
        Whether any state of the record may have been written.
    """

    __slots__ = ("durable", "loaded", "may_be_written", "record")

    def __init__(self, record: Record, *, durable: bool, loaded: bool) -> None:
        self.record = record
        self.durable = durable
        self.may_be_written = loaded
        self.loaded = loaded


class RecordJournal:
    """
    Bounded storage of records that tracks which of their states are durable.

    Parameters
    ----------
    settings : RecordSettings
        Window and maximum number of records.

    Notes
    -----
    A change is pending until `take_batch` returns it. It is durable once the write
    of this object is confirmed; if the attempt has changed again meanwhile, the
    confirmation of the earlier write is ignored. An attempt that no longer
    determines the state of its request, for example because it is proven not to have
    run, is kept apart from the other records until its last state is written, so that
    another attempt at the same request may begin before.
    """

    def __init__(self, settings: RecordSettings) -> None:
        self.settings = settings
        self._entries: dict[RecordKey, JournalEntry] = {}
        self._finished: OrderedDict[RecordKey, None] = OrderedDict()
        self._superseded: OrderedDict[Attempt, Record] = OrderedDict()
        self._pending: OrderedDict[Attempt, Record] = OrderedDict()
        self._body_sizes: OrderedDict[RecordKey, int] = OrderedDict()
        self._body_bytes = 0

    def __len__(self) -> int:
        return len(self._entries) + len(self._superseded)

    @property
    def pending_count(self) -> int:
        """Number of records with changes that no write has taken yet."""
        return len(self._pending)

    def find(self, record_id: RecordKey) -> Record | None:
        """
        Find a record.

        Parameters
        ----------
        record_id : RecordKey
            Identity of the record.

        Returns
        -------
        Record or None
            The record in its present state.
        """
        entry = self._entries.get(record_id)
        return entry.record if entry else None

    def is_durable(self, record_id: RecordKey) -> bool:
        """
        Return whether the present state of a record is durable.

        Parameters
        ----------
        record_id : RecordKey
            Identity of the record.

        Returns
        -------
        bool
            False also if there is no such record.
        """
        entry = self._entries.get(record_id)
        return entry is not None and entry.durable

    def list_unwritten(self) -> list[Record]:
        """
        List the records whose present state is not durable.

        Returns
        -------
        list of Record
            Records with pending changes and records that are being written.
        """
        unwritten = [
            entry.record for entry in self._entries.values() if not entry.durable
        ]
        return [*self._superseded.values(), *unwritten]

    def list_written(self) -> list[Record]:
        """
        List the records whose present state is durable.

        Returns
        -------
        list of Record
            Together with `list_unwritten`, all records.
        """
        return [entry.record for entry in self._entries.values() if entry.durable]

    def take_batch(self, limit: int) -> list[Record]:
        """
        Remove the oldest pending changes, to be written in one batch.

        Parameters
        ----------
        limit : int
            Maximum number of records.

        Returns
        -------
        list of Record
            Each change is returned once. The same objects have to be passed to
            `confirm_written` or `requeue` afterwards.
        """
        batch: list[Record] = []
        while self._pending and len(batch) < limit:
            (record_id, _), record = self._pending.popitem(last=False)
            entry = self._entries.get(record_id)
            if entry is not None and entry.record is record:
                entry.may_be_written = True
            batch.append(record)
        return batch

    def build_batch(self, records: Sequence[Record]) -> RecordBatch:
        """
        Build the row of a write.

        Parameters
        ----------
        records : sequence of Record
            At least one record.

        Returns
        -------
        RecordBatch
            Row whose records have all expired at `newest_at` plus the window.
        """
        last_expiry = max(self._expires_at(record) for record in records)
        newest_at = last_expiry - self.settings.window_s
        return RecordBatch(records=list(records), newest_at=newest_at)

    def confirm_written(self, records: Iterable[Record]) -> None:
        """
        Mark the records of a written batch as durable.

        Parameters
        ----------
        records : iterable of Record
            Records that `take_batch` returned.
        """
        for record in records:
            record_id = identify_record(record)
            attempt = (record_id, record.created_at)
            if self._superseded.get(attempt) is record:
                del self._superseded[attempt]
                self._pending.pop(attempt, None)
                continue
            entry = self._entries.get(record_id)
            if entry is not None and entry.record is record:
                entry.durable = True
                self._pending.pop(attempt, None)

    def requeue(self, records: Iterable[Record]) -> None:
        """
        Make the records of a failed write pending again, unless changed since.

        Parameters
        ----------
        records : iterable of Record
            Records that `take_batch` returned; their write may still succeed later.
        """
        for record in records:
            record_id = identify_record(record)
            attempt = (record_id, record.created_at)
            if self._superseded.get(attempt) is record:
                self._pending[attempt] = record
                continue
            entry = self._entries.get(record_id)
            if entry is not None and entry.record is record and not entry.durable:
                self._pending[attempt] = record

    def expire(self, now_wall: float) -> int:
        """
        Remove the expired records; intents never expire.

        Parameters
        ----------
        now_wall : float
            Unix time in seconds.

        Returns
        -------
        int
            Number of removed records.
        """
        count_before = len(self)
        while self._finished:
            record_id = next(iter(self._finished))
            if self._is_unexpired(self._entries[record_id].record, now_wall):
                break
            self._remove(record_id)
        while self._superseded:
            attempt, record = next(iter(self._superseded.items()))
            if self._is_unexpired(record, now_wall):
                break
            del self._superseded[attempt]
            self._pending.pop(attempt, None)
        return count_before - len(self)

    def _is_unexpired(self, record: Record, now_wall: float) -> bool:
        if record.state is RecordState.intent:
            return True
        return self._expires_at(record) > now_wall

    def _expires_at(self, record: Record) -> float:
        return max(record.created_at + self.settings.window_s, record.deadline_at)

    def _ensure_room(self, now_wall: float) -> None:
        if len(self) < self.settings.max_records:
            return
        self.expire(now_wall)
        if len(self) >= self.settings.max_records:
            raise RecordsFullError(f"{len(self)} unexpired records")

    def _add_intent(self, record_id: RecordKey, record: Record) -> None:
        self._entries[record_id] = JournalEntry(record, durable=False, loaded=False)
        self._pending[record_id, record.created_at] = record

    def _change(self, record_id: RecordKey, record: Record) -> None:
        entry = self._entries[record_id]
        entry.record = record
        entry.durable = False
        self._pending[record_id, record.created_at] = record

    def _finish_record(self, record_id: RecordKey, record: Record) -> None:
        self._change(record_id, record)
        self._finished[record_id] = None
        self._store_body(record_id, record)

    def _add_superseded(self, record_id: RecordKey, record: Record) -> None:
        attempt = (record_id, record.created_at)
        self._superseded[attempt] = self._pending[attempt] = record

    def _store_body(self, record_id: RecordKey, record: Record) -> None:
        if not record.body:
            return
        self._body_sizes[record_id] = len(record.body)
        self._body_bytes += len(record.body)
        while self._body_bytes > MAX_BODY_BYTES:
            self._discard_body(next(iter(self._body_sizes)))

    def _discard_body(self, record_id: RecordKey) -> None:
        self._body_bytes -= self._body_sizes.pop(record_id)
        entry = self._entries[record_id]
        record = replace(entry.record, body=b"", body_kept=False)
        if entry.durable:
            entry.record = record
        else:
            self._change(record_id, record)

    def _remove(self, record_id: RecordKey) -> None:
        record = self._entries.pop(record_id).record
        self._finished.pop(record_id, None)
        self._pending.pop((record_id, record.created_at), None)
        self._body_bytes -= self._body_sizes.pop(record_id, 0)
