"""Claims of shards: decoding of rows and the transaction that makes a leader."""

from dataclasses import dataclass, replace
from uuid import uuid4

from plantaincart_core.lease import ShardKey
from plantaincart_schema.codec import decode_json, encode_json
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.mesh import Handover
from plantaincart_schema.generated.platform import (
    Condition,
    InstanceLease,
    Row,
    ShardLease,
    Transaction,
    Write,
)

from plantaincart_router.leasekeeper import lease_key
from plantaincart_router.log import write_event
from plantaincart_router.shardrow import shard_row_key

__all__ = [
    "Claim",
    "build_claim",
    "build_first_row",
    "decode_lease_row",
    "decode_shard_row",
    "format_lease_holder",
    "pick_newer_row",
]


@dataclass(frozen=True, kw_only=True)
class Claim:
    """
    What a transaction needs that makes this instance the leader of a shard.

    Parameters
    ----------
    shard : ShardKey
        The shard.
    row : ShardLease or None
        Shard row as read; None if there is none.
    version : int
        Version of the shard row as read.
    earlier_grants_expire_at : float
        Time in seconds of the monotonic clock by which all grants of earlier leaders
        have expired.
    cause : str
        Cause of the change of leader, for the log and the metrics.
    expired_lease : Row or None
        Lease row of the earlier leader, to be marked as lost.
    handover : Handover or None
        Message with which the earlier leader released the shard.
    """

    shard: ShardKey
    row: ShardLease | None
    version: int
    earlier_grants_expire_at: float
    cause: str
    expired_lease: Row | None = None
    handover: Handover | None = None


def build_claim(claim: Claim, row: ShardLease) -> Transaction:
    """
    Build the transaction of a claim.

    Parameters
    ----------
    claim : Claim
        The claim.
    row : ShardLease
        New content of the shard's row.

    Returns
    -------
    Transaction
        Transaction that commits only if the rows are unchanged since they were read,
        and that marks the lease of the earlier leader as lost.
    """
    key = shard_row_key(claim.shard)
    conditions = [Condition(key=key, version=claim.version)]
    writes = [Write(key=key, value=encode_json(row))]
    lease = decode_lease_row(claim.expired_lease)
    if claim.expired_lease is not None and lease is not None and claim.row is not None:
        conditions.append(
            Condition(key=claim.expired_lease.key, version=claim.expired_lease.version)
        )
        if lease.incarnation == claim.row.incarnation and not lease.lost:
            value = encode_json(replace(lease, lost=True))
            writes.append(Write(key=claim.expired_lease.key, value=value))
    elif claim.cause == "takeover" and claim.row is not None:
        conditions.append(Condition(key=lease_key(claim.row.leader), version=0))
    return Transaction(write_id=uuid4().hex, conditions=conditions, writes=writes)


def format_lease_holder(row: ShardLease) -> str:
    """Return the key under which the lease observer follows a leader's lease."""
    return f"{row.leader}#{row.incarnation}"


def decode_shard_row(stored_row: Row | None) -> ShardLease | None:
    """Decode a shard's row; log an event and return None if it is malformed."""
    try:
        return (
            decode_json(stored_row.value, ShardLease)
            if stored_row is not None
            else None
        )
    except MalformedMessageError as error:
        write_event("shard_row_malformed", reason=str(error))
        return None


def decode_lease_row(stored_row: Row | None) -> InstanceLease | None:
    """Decode a lease row; log an event and return None if it is malformed."""
    try:
        return (
            decode_json(stored_row.value, InstanceLease)
            if stored_row is not None
            else None
        )
    except MalformedMessageError as error:
        write_event("lease_row_malformed", reason=str(error))
        return None


def build_first_row(shard: ShardKey) -> ShardLease:
    """Build the row of a shard that has never been led."""
    return ShardLease(
        service=shard.service,
        shard=shard.shard,
        leader="",
        incarnation="",
        epoch=0,
        assignment_version=0,
        successors=[],
        assignments=[],
    )


def pick_newer_row(stored: ShardLease, encoded: list[bytes]) -> ShardLease:
    """
    Pick the row with the latest owners from the stored row and provisional rows.

    Parameters
    ----------
    stored : ShardLease
        Row in the table.
    encoded : list of bytes
        Encoded rows from replicas or from a handover; empty ones are skipped.

    Returns
    -------
    ShardLease
        The row with the highest assignment version among those with the epoch of
        the stored row.
    """
    newest = stored
    for data in encoded:
        try:
            row = decode_json(data, ShardLease) if data else stored
        except MalformedMessageError as error:
            write_event("shard_row_malformed", reason=str(error))
            continue
        newer = row.assignment_version > newest.assignment_version
        if row.epoch == stored.epoch and newer:
            newest = row
    return newest
