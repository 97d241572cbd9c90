"""Header fields that delimit a message body."""

from collections.abc import Iterable

from plantaincart_router.http.message import (
    Header,
    HttpAnswer,
    HttpRequest,
    find_header,
)

__all__ = ["BODILESS_STATUSES", "decode_headers", "frame_answer", "frame_request"]

BODILESS_STATUSES = (204, 304)
_BODY_METHODS = ("POST", "PUT", "PATCH")
_FRAMING_HEADERS = frozenset(
    ("connection", "content-length", "expect", "keep-alive", "transfer-encoding")
)


def decode_headers(headers: Iterable[tuple[bytes, bytes]]) -> tuple[Header, ...]:
    """
    Decode received header fields.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in lower case and values.

    Returns
    -------
    tuple of (str, str)
        Names and values; values are decoded as Latin-1, one character per byte.
    """
    return tuple(
        (name.decode("ascii"), value.decode("latin-1")) for name, value in headers
    )


def frame_request(request: HttpRequest, address: str) -> list[tuple[bytes, bytes]]:
    """
    Build the header fields of a request, with Content-Length for its body.

    Parameters
    ----------
    request : HttpRequest
        Request to send.
    address : str
        Value of the Host header if the request has none.

    Returns
    -------
    list of (bytes, bytes)
        Fields to send.
    """
    headers = [
        (name.encode("ascii"), value.encode("latin-1"))
        for name, value in request.headers
        if name not in _FRAMING_HEADERS
    ]
    if not any(name == b"host" for name, _ in headers):
        headers.insert(0, (b"host", address.encode("ascii")))
    if request.body or request.method in _BODY_METHODS:
        headers.append((b"content-length", b"%d" % len(request.body)))
    return headers


def frame_answer(
    answer: HttpAnswer, is_head: bool, close: bool
) -> list[tuple[bytes, bytes]]:
    """
    Build the header fields of an answer, with Content-Length for its body.

    Parameters
    ----------
    answer : HttpAnswer
        Answer to send.
    is_head : bool
        Whether the answer is to a HEAD request and keeps its own Content-Length.
    close : bool
        Whether the connection is closed after the answer.

    Returns
    -------
    list of (bytes, bytes)
        Fields to send.
    """
    headers = [
        (name.encode("ascii"), value.encode("latin-1"))
        for name, value in answer.headers
        if name not in _FRAMING_HEADERS
    ]
    length = _find_length(answer, is_head)
    if length is not None:
        headers.append((b"content-length", length.encode("ascii")))
    if close:
        headers.append((b"connection", b"close"))
    return headers


def _find_length(answer: HttpAnswer, is_head: bool) -> str | None:
    if answer.status == 204:
        return None
    if is_head or answer.status == 304:
        declared = find_header(answer.headers, "content-length")
        if declared is not None or answer.status == 304:
            return declared
    return str(len(answer.body))
