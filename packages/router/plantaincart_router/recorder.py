"""Group commit of idempotency records, to the table or to the successors."""

from asyncio import Event, sleep, timeout_at
from collections import deque
from time import monotonic, time

from plantaincart_core.record import RecordKey, RecordTracker
from plantaincart_schema.codec import decode_json, encode_json
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.platform import RecordBatch, Row
from plantaincart_schema.generated.settings import RecordSettings

from plantaincart_router.log import write_event
from plantaincart_router.shardrow import ShardRow

__all__ = ["Recorder", "decode_batch", "records_prefix"]

BATCH_RECORDS = 256
RETRY_S = 0.05
OUTCOME_DELAY_S = 0.2
EXPIRY_INTERVAL_S = 30.0
MAX_ROWS_PER_DELETE = 200


def records_prefix(shard: object) -> str:
    """Return the prefix of the record rows of a shard."""
    return f"records/{shard}/"


def decode_batch(value: bytes) -> RecordBatch | None:
    """Decode a record batch; log an event and return None if it is malformed."""
    try:
        return decode_json(value, RecordBatch)
    except MalformedMessageError as error:
        write_event("record_batch_malformed", reason=str(error))
        return None


class Recorder:
    """
    Make the idempotency records of a shard durable.

    Parameters
    ----------
    records : RecordTracker
        Records of the shard.
    row : ShardRow
        Row of the shard; record rows are written under its epoch.
    settings : RecordSettings
        Interval of the writes and retention window of the records.

    Notes
    -----
    One write contains all intents and outcomes since the previous one. An intent is
    written at once if the previous write is `flush_interval_s` old; an outcome waits
    for the next intent, or for `OUTCOME_DELAY_S`. During an outage of the table, a
    batch is durable once every named successor has stored it; it is written to the
    table when the table answers again.
    """

    def __init__(
        self, records: RecordTracker, row: ShardRow, settings: RecordSettings
    ) -> None:
        self.records = records
        self._row = row
        self._settings = settings
        self._write_requested = Event()
        self._batch_written = Event()
        self._batch_number = 0
        self._unflushed: deque[bytes] = deque()
        self._stored_rows: dict[str, float] = {}
        self._closed = False

    @property
    def closed(self) -> bool:
        """Whether the recorder has stopped making records durable."""
        return self._closed

    @property
    def unflushed(self) -> list[bytes]:
        """Encoded batches that the successors have stored but the table lacks."""
        return list(self._unflushed)

    def track_rows(self, rows: dict[str, Row]) -> None:
        """Track record rows found in the table, so that they are deleted on expiry."""
        for key, row in rows.items():
            batch = decode_batch(row.value)
            if batch is not None:
                self._stored_rows[key] = batch.newest_at

    def load_batches(self, stored: list[bytes], unwritten: list[bytes]) -> None:
        """
        Load the records from a handover.

        Parameters
        ----------
        stored : list of bytes
            Encoded batches whose records are in the table.
        unwritten : list of bytes
            Encoded batches that the table may lack.
        """
        stored_batches = [batch for data in stored if (batch := decode_batch(data))]
        unwritten_batches = [
            batch for data in unwritten if (batch := decode_batch(data))
        ]
        self._load(stored_batches, unwritten_batches)

    def load_rows(self, rows: dict[str, Row], replicas: list[bytes]) -> None:
        """
        Load the records of earlier leaders from the table and from replicas.

        Parameters
        ----------
        rows : dict of str to Row
            Record rows of the shard.
        replicas : list of bytes
            Encoded batches from successors or from a handover.
        """
        written: list[RecordBatch] = []
        for key, row in rows.items():
            batch = decode_batch(row.value)
            if batch is not None:
                written.append(batch)
                self._stored_rows[key] = batch.newest_at
        unwritten = [batch for data in replicas if (batch := decode_batch(data))]
        self._load(written, unwritten)

    def _load(self, written: list[RecordBatch], unwritten: list[RecordBatch]) -> None:
        lost = self.records.load(written, time(), unwritten)
        if lost:
            write_event("records_unknown", shard=str(self._row.shard), count=len(lost))

    async def make_durable(self, record_id: RecordKey, deadline: float) -> bool:
        """Write a record and return whether it is durable by the deadline."""
        self._write_requested.set()
        try:
            async with timeout_at(deadline):
                while not self.records.is_durable(record_id):
                    if self._closed:
                        return False
                    await self._batch_written.wait()
        except TimeoutError:
            return False
        return True

    def close(self) -> None:
        """Stop making records durable and wake the calls that wait for a write."""
        self._closed = True
        self._batch_written.set()

    def reopen(self) -> None:
        """Make records durable again after a failed handover."""
        self._closed = False
        self._batch_written = Event()

    async def run(self) -> None:
        """Write batches until cancelled."""
        last_expiry_at = monotonic()
        while True:
            await self._await_work()
            started = monotonic()
            if not await self.write_pending():
                await sleep(RETRY_S)
            await self._flush_replicated()
            if monotonic() - last_expiry_at > EXPIRY_INTERVAL_S:
                last_expiry_at = monotonic()
                await self._delete_expired_rows()
            remaining_s = self._settings.flush_interval_s - (monotonic() - started)
            await sleep(max(0.0, remaining_s))

    async def write_pending(self) -> bool:
        """Write one batch of changes and return whether it is durable."""
        batch = self.records.take_batch(BATCH_RECORDS)
        if not batch:
            return True
        encoded = encode_json(self.records.build_batch(batch))
        if await self._write(encoded) or await self._replicate(encoded):
            self.records.confirm_written(batch)
            self._batch_written.set()
            self._batch_written = Event()
            return True
        self.records.requeue(batch)
        self._write_requested.set()
        return False

    async def _await_work(self) -> None:
        try:
            async with timeout_at(monotonic() + OUTCOME_DELAY_S):
                await self._write_requested.wait()
        except TimeoutError:
            return
        finally:
            self._write_requested.clear()

    async def _write(self, encoded: bytes) -> bool:
        self._batch_number += 1
        key = (
            f"{records_prefix(self._row.shard)}"
            f"{self._row.epoch:08d}-{self._batch_number:08d}"
        )
        if not await self._row.write_batch(key, encoded):
            return False
        self._stored_rows[key] = time()
        return True

    async def _replicate(self, encoded: bytes) -> bool:
        if not await self._row.replicate(encoded, b""):
            return False
        self._unflushed.append(encoded)
        return True

    async def _flush_replicated(self) -> None:
        while self._unflushed and await self._write(self._unflushed[0]):
            self._unflushed.popleft()
        await self._row.flush()

    async def _delete_expired_rows(self) -> None:
        self.records.expire(time())
        oldest = time() - self._settings.window_s
        expired = [
            key for key, newest_at in self._stored_rows.items() if newest_at < oldest
        ]
        expired = expired[:MAX_ROWS_PER_DELETE]
        if expired and await self._row.delete_rows(expired):
            for key in expired:
                del self._stored_rows[key]
