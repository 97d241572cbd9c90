"""Merging of the states of idempotency records from several writes."""

from collections.abc import Iterable, Mapping

from plantaincart_schema.generated.platform import Record, RecordBatch, RecordState

from plantaincart_core.recorddecision import RecordKey

__all__ = ["choose_record", "identify_record", "may_be_running", "merge_batches"]

_FINAL_RANK = 2
_STATE_RANKS = {
    RecordState.intent: 0,
    RecordState.unknown: 1,
    RecordState.not_run: _FINAL_RANK,
    RecordState.answered: _FINAL_RANK,
}


def identify_record(record: Record) -> RecordKey:
    """
    Return the identity of a record.

    Parameters
    ----------
    record : Record
        The record.

    Returns
    -------
    RecordKey
        Service, key and idempotency key of the record.
    """
    return RecordKey(record.service, record.key, record.idempotency_key)


def merge_batches(
    batches: Iterable[RecordBatch], earlier: Mapping[RecordKey, tuple[Record, ...]]
) -> dict[RecordKey, tuple[Record, ...]]:
    """
    Find the latest state of each attempt at each request.

    Parameters
    ----------
    batches : iterable of RecordBatch
        Batches in any order; the same batch may occur twice.
    earlier : mapping of RecordKey to tuple of Record
        Result of an earlier merge, to be extended.

    Returns
    -------
    dict of RecordKey to tuple of Record
        One record for each attempt.

    Notes
    -----
    A write whose answer is lost may succeed at any later time, so the order of the
    batches has no meaning. Attempts are identified by their creation time. The states
    of an attempt are ordered: first intent, then unknown, then one of the final
    states. A proof that an attempt hasn't run doesn't affect other attempts, whatever
    their creation times, so the clocks of the instances needn't agree.
    """
    latest = dict(earlier)
    for batch in batches:
        for record in batch.records:
            record_id = identify_record(record)
            attempts = latest.get(record_id)
            latest[record_id] = (
                _merge_record(attempts, record) if attempts else (record,)
            )
    return latest


def choose_record(attempts: Iterable[Record]) -> Record | None:
    """
    Choose the attempt whose state is the state of the request.

    Parameters
    ----------
    attempts : iterable of Record
        Latest state of each attempt.

    Returns
    -------
    Record or None
        An answered attempt, else the latest that may have run; None if every
        attempt is proven not to have run.
    """
    candidates = [
        record for record in attempts if record.state is not RecordState.not_run
    ]
    return max(candidates, key=_get_precedence) if candidates else None


def may_be_running(record: Record, now_wall: float) -> bool:
    """
    Return whether an upstream may still be running an attempt.

    Parameters
    ----------
    record : Record
        Latest state of the attempt.
    now_wall : float
        Unix time in seconds.

    Returns
    -------
    bool
        Whether the attempt has no outcome and its `deadline_at` has not passed.
    """
    return record.deadline_at > now_wall and _STATE_RANKS[record.state] < _FINAL_RANK


def _merge_record(attempts: tuple[Record, ...], record: Record) -> tuple[Record, ...]:
    for index, other in enumerate(attempts):
        if other.created_at == record.created_at:
            if _STATE_RANKS[other.state] >= _STATE_RANKS[record.state]:
                return attempts
            return (*attempts[:index], record, *attempts[index + 1 :])
    return (*attempts, record)


def _get_precedence(record: Record) -> tuple[bool, float]:
    return record.state is RecordState.answered, record.created_at
