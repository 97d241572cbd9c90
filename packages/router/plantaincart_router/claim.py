"""Claims of shards: the rows that they read and the transaction that they write."""

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
    A write that makes this instance the leader of a shard.

    Parameters
    ----------
    shard : ShardKey
        The shard.
    row : ShardLease or None
        Row as read; None if there is none.
    version : int
        Version of that row.
    earlier_grants_expire_at : float
        Seconds on the loop's clock until which earlier grants may last.
    cause : str
        Why, for the time line and the metrics.
    expired_lease : Row or None
        Lease row of the earlier leader, to be marked as lost.
    handover : Handover or None
        What the earlier leader sent along when it released the shard.
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
    Requires the rows as they were observed, and marks the lease of the earlier
    leader as lost.
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
    """Name the holder whose lease a shard hangs on, for the lease observer."""
    return f"{row.leader}#{row.incarnation}"


def decode_shard_row(found: Row | None) -> ShardLease | None:
    """Decode a shard's row; None, with an event, if it is malformed."""
    try:
        return decode_json(found.value, ShardLease) if found is not None else None
    except MalformedMessageError as error:
        write_event("shard_row_malformed", reason=str(error))
        return None


def decode_lease_row(found: Row | None) -> InstanceLease | None:
    """Decode a lease row; None, with an event, if it is malformed."""
    try:
        return decode_json(found.value, InstanceLease) if found is not None else None
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


def pick_newer_row(known: ShardLease, encoded: list[bytes]) -> ShardLease:
    """
    Pick the row with the latest owners among one in the table and provisional ones.

    Parameters
    ----------
    known : ShardLease
        Row in the table.
    encoded : list of bytes
        Encoded rows kept by successors or handed over; empty ones are skipped.

    Returns
    -------
    ShardLease
        The row of the same epoch with the highest assignment version.
    """
    best = known
    for data in encoded:
        try:
            row = decode_json(data, ShardLease) if data else known
        except MalformedMessageError as error:
            write_event("shard_row_malformed", reason=str(error))
            continue
        newer = row.assignment_version > best.assignment_version
        if row.epoch == known.epoch and newer:
            best = row
    return best
