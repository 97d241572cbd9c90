"""Decisions on non-idempotent requests by their idempotency records."""

from dataclasses import dataclass
from enum import Enum, auto

from plantaincart_schema.generated.platform import Record, RecordState

__all__ = ["Decision", "RecordedDecision", "Outcome", "RecordKey", "decide"]


class Decision(Enum):
    """What to do with a non-idempotent request."""

    NEW = auto()
    """Run the request once its intent is durable."""
    JOIN = auto()
    """Wait for the outcome of the same request, which is in progress."""
    REPLAY = auto()
    """Send the recorded answer."""
    UNKNOWN = auto()
    """Answer that the request may have run."""
    REUSED = auto()
    """Reject the request; its idempotency key belongs to another request."""


@dataclass(frozen=True, slots=True)
class RecordKey:
    """
    Identity of an idempotency record.

    Parameters
    ----------
    service : str
        Name of the service.
    key : str
        Key of the request; empty for an unkeyed service.
    idempotency_key : str
        Idempotency key sent by the caller.
    """

    service: str
    key: str
    idempotency_key: str


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordedDecision:
    """
    Decision on a request, with the record that belongs to the request.

    Parameters
    ----------
    decision : Decision
        What to do with the request.
    record_id : RecordKey
        Identity of the record.
    record : Record
        The record created for the request, or the one that already existed.
    """

    decision: Decision
    record_id: RecordKey
    record: Record


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """
    Complete answer of an upstream to a recorded request.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : list of list of str
        Pairs of name and value.
    body : bytes
        Complete body.
    upstream : str
        Name of the upstream.
    """

    status: int
    headers: list[list[str]]
    body: bytes
    upstream: str


def decide(record: Record, fingerprint: str) -> Decision:
    """
    Decide on a request for whose idempotency key there is a record.

    Parameters
    ----------
    record : Record
        Unexpired record of an attempt that may have run.
    fingerprint : str
        Hash of the complete request.

    Returns
    -------
    Decision
        Never `NEW`.
    """
    if record.fingerprint != fingerprint:
        return Decision.REUSED
    if record.state is RecordState.intent:
        return Decision.JOIN
    if record.state is RecordState.answered:
        return Decision.REPLAY
    return Decision.UNKNOWN
