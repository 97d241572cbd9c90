"""Idempotency records that are written to the table before instances start."""

from time import time

from plantaincart_core.slot import find_shard, find_slot
from plantaincart_router.platform.table import HttpTable
from plantaincart_schema.codec import encode_json
from plantaincart_schema.generated.platform import (
    Record,
    RecordBatch,
    RecordState,
    Transaction,
    Write,
)

from plantaincart_testing.shape import ServiceShape
from plantaincart_testing.system import LocalSystem

__all__ = ["preload_records"]

RECORDS_PER_BATCH = 500
TABLE_TIMEOUT_S = 5.0
_EPOCH = 0


async def preload_records(system: LocalSystem, service: ServiceShape, keys: int) -> int:
    """
    Write an idempotency record for each key, in the rows that a leader would write.

    Parameters
    ----------
    system : LocalSystem
        A system whose platform is running.
    service : ServiceShape
        A keyed service.
    keys : int
        Number of keys.

    Returns
    -------
    int
        Number of rows written.
    """
    records_by_shard: dict[int, list[Record]] = {}
    now = time()
    for number in range(keys):
        key = f"k{number}"
        slot = find_slot(key, service.key_slots)
        shard = find_shard(slot, service.key_slots, service.shards)
        records_by_shard.setdefault(shard, []).append(
            Record(
                service=service.name,
                key=key,
                idempotency_key=f"call-{number}",
                fingerprint=f"{number:032x}",
                state=RecordState.answered,
                created_at=now,
                status=200,
                body=b"{}",
                slot=slot,
            )
        )
    address = system.layout.platform
    table = HttpTable(address.host, address.port, TABLE_TIMEOUT_S)
    row_count = 0
    try:
        for shard, records in records_by_shard.items():
            for start in range(0, len(records), RECORDS_PER_BATCH):
                row_count += 1
                await _write_batch(
                    table,
                    service,
                    shard,
                    row_count,
                    records[start:][:RECORDS_PER_BATCH],
                )
    finally:
        table.close()
    return row_count


async def _write_batch(
    table: HttpTable,
    service: ServiceShape,
    shard: int,
    batch_number: int,
    records: list[Record],
) -> None:
    key = f"records/{service.name}/{shard}/{_EPOCH:08d}-{batch_number:08d}"
    newest_at = max(record.created_at for record in records)
    value = encode_json(RecordBatch(records=records, newest_at=newest_at))
    transaction = Transaction(
        write_id=key, conditions=[], writes=[Write(key=key, value=value)]
    )
    await table.commit(transaction)
