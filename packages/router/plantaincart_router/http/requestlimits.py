"""Limits of the size of requests."""

from dataclasses import dataclass

from h11 import Request
from plantaincart_core.verdict import Reason
from plantaincart_schema.generated.settings import EntrySettings

from plantaincart_router.http.heldbytes import HeldBytes

__all__ = ["SizeRefusal", "check_body", "check_head"]

RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class SizeRefusal:
    """
    Why a request is rejected before it is read whole.

    Parameters
    ----------
    status : int
        Status of the answer.
    reason : Reason
        Problem type.
    detail : str
        Description.
    retry_after_s : float
        Seconds after which the caller may try again; 0 if that is of no use.
    """

    status: int
    reason: Reason
    detail: str
    retry_after_s: float = 0.0


def check_head(
    head: Request, unread_bytes: int, limits: EntrySettings, held: HeldBytes
) -> SizeRefusal | None:
    """
    Check a request's head, and the size that it states for the body.

    Parameters
    ----------
    head : Request
        Decoded head.
    unread_bytes : int
        Bytes received with it.
    limits : EntrySettings
        Size limits.
    held : HeldBytes
        Count of all bytes that the instance holds.

    Returns
    -------
    SizeRefusal or None
        None if the request may go on.
    """
    if unread_bytes > limits.max_head_bytes:
        size = sum(len(name) + len(value) + 4 for name, value in head.headers)
        if size + len(head.target) > limits.max_head_bytes:
            return SizeRefusal(431, Reason.HEAD_TOO_LARGE, "head too large")
    if head.method == b"CONNECT":
        detail = "method CONNECT not supported"
        return SizeRefusal(405, Reason.BAD_REQUEST, detail)
    length = next(
        (int(value) for name, value in head.headers if name == b"content-length"), 0
    )
    return check_body(length, length, limits, held)


def check_body(
    size: int, added: int, limits: EntrySettings, held: HeldBytes
) -> SizeRefusal | None:
    """
    Check the size of a body, and whether there is memory for what is added to it.

    Parameters
    ----------
    size, added : int
        Bytes of the whole body so far, and those not yet held.
    limits : EntrySettings
        Size limits.
    held : HeldBytes
        Count of all bytes that the instance holds.

    Returns
    -------
    SizeRefusal or None
        None if the request may go on.
    """
    limit = limits.max_body_bytes
    if size > limit:
        return SizeRefusal(413, Reason.BODY_TOO_LARGE, f"body above {limit} bytes")
    if not held.fits(added):
        reason = Reason.TOO_MANY_REQUESTS_IN_FLIGHT
        return SizeRefusal(503, reason, "no memory for the request", RETRY_AFTER_S)
    return None
