"""Requests that an upstream stand-in receives, and bodies of its answers."""

from dataclasses import dataclass

from plantaincart_router.http.message import HttpRequest
from plantaincart_schema.exception import MalformedMessageError
from xxhash import xxh3_128_hexdigest

__all__ = [
    "Echo",
    "IDEMPOTENT_METHODS",
    "ReceivedRequest",
    "POISON_MARKER",
    "fingerprint_body",
    "read_received_request",
]

POISON_MARKER = "poison"
"""Text in a request's body or target that makes an upstream crash."""

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True)
class Echo:
    """
    Body of an upstream's answer, which identifies the execution behind it.

    Parameters
    ----------
    count : int
        Number of non-idempotent executions for the key at this incarnation,
        including this one.
    fingerprint : str
        Hash of the body of the request that was executed.
    """

    upstream: str
    incarnation: str
    execution: int
    service: str
    key: str
    request: str
    idempotency_key: str
    method: str
    target: str
    fingerprint: str
    count: int
    padding: str = ""


@dataclass(frozen=True, kw_only=True)
class ReceivedRequest:
    """Request with the headers that the router added."""

    request: HttpRequest
    service: str
    key: str
    slot: int
    id: str
    idempotency_key: str
    epoch: int
    sequence: int
    deadline: float

    @property
    def is_idempotent(self) -> bool:
        """Whether the request can be repeated without a further effect."""
        return self.request.method in IDEMPOTENT_METHODS

    @property
    def is_poisoned(self) -> bool:
        """Whether executing the request crashes the upstream."""
        marker, request = POISON_MARKER, self.request
        return marker in request.target or marker.encode() in request.body


def read_received_request(request: HttpRequest, now: float) -> ReceivedRequest:
    """
    Parse the headers that the router adds.

    Parameters
    ----------
    request : HttpRequest
        Request as received.
    now : float
        Current time in seconds.

    Returns
    -------
    ReceivedRequest
        Request with its key, slot, fencing token and deadline.

    Raises
    ------
    MalformedMessageError
        If a header isn't a number where it must be one.
    """
    headers = dict(request.headers)
    epoch, _, sequence = headers.get("plantaincart-fence", "0.0").partition(".")
    remaining_ms = headers.get("plantaincart-deadline-ms", "inf")
    try:
        return ReceivedRequest(
            request=request,
            service=headers.get("plantaincart-service", ""),
            key=headers.get("plantaincart-key", ""),
            slot=int(headers.get("plantaincart-slot", "-1")),
            id=headers.get("plantaincart-request", ""),
            idempotency_key=headers.get("idempotency-key", ""),
            epoch=int(epoch),
            sequence=int(sequence),
            deadline=now + float(remaining_ms) / _MS_PER_S,
        )
    except ValueError as error:
        raise MalformedMessageError(f"headers of {request.target}: {error}") from error


def fingerprint_body(body: bytes) -> str:
    """
    Hash a body.

    Parameters
    ----------
    body : bytes
        Body of a request.

    Returns
    -------
    str
        Hexadecimal hash.
    """
    return xxh3_128_hexdigest(body)
