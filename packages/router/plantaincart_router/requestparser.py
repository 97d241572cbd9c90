"""Validation of a caller's HTTP request and its conversion to a mesh request."""

from collections.abc import Iterable
from random import randrange
from re import compile as compile_pattern
from uuid import uuid4

from plantaincart_core.route import RouteTable, extract_key
from plantaincart_core.slot import find_shard, find_slot
from plantaincart_core.verdict import Reason, RefusedError, refuse_not_run
from plantaincart_schema.generated.configuration import KeySource, Service
from plantaincart_schema.generated.mesh import Request
from plantaincart_schema.generated.settings import EntrySettings
from xxhash import xxh3_128_hexdigest

from plantaincart_router.http.message import (
    Header,
    HttpRequest,
    find_header,
    list_tokens,
)

__all__ = [
    "DEADLINE_HEADER",
    "IDEMPOTENCY_KEY_HEADER",
    "make_fingerprint",
    "prepare_request",
    "strip_headers",
]

DEADLINE_HEADER = "request-timeout-ms"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
RESERVED_PREFIX = "plantaincart-"
# At most 12 digits after leading zeros: above any deadline, which is capped anyway.
_DEADLINE_MS = compile_pattern(r"0*[1-9][0-9]{0,11}")
_IDEMPOTENCY_KEY = compile_pattern(r"[\x20-\x7e]{1,255}")
_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
_REQUEST_HEADERS = frozenset(("content-length", "expect", DEADLINE_HEADER))


def prepare_request(
    request: HttpRequest, routes: RouteTable, settings: EntrySettings
) -> Request:
    """
    Check a caller's request and find its service, key, slot and shard.

    Parameters
    ----------
    request : HttpRequest
        Whole request of the caller.
    routes : RouteTable
        Routes in force.
    settings : EntrySettings
        Upper bound on the deadline.

    Returns
    -------
    Request
        Request for the leader of its shard. Its deadline is the one that the caller
        set, or the service's default, capped by the settings.

    Raises
    ------
    RefusedError
        If there is no route, no key or an invalid header; the verdict is `not-run`.
    """
    target = _make_origin_form(request.target)
    host = find_header(request.headers, "host") or ""
    path = target.partition("?")[0]
    service = routes.resolve(request.method, host, path)
    if service is None:
        raise _refuse(Reason.NO_ROUTE, f"no service for {host}{path}")
    key = extract_key(service, target, request.headers)
    if key is None:
        raise _refuse(Reason.KEY_MISSING, f"no valid key for {service.name}")
    idempotent = request.method in service.idempotent_methods
    idempotency_key = _read_idempotency_key(request, service, idempotent)
    deadline_s = min(_read_deadline_s(request, service), settings.max_deadline_s)
    slot = _choose_slot(service, key, "" if idempotent else idempotency_key)
    headers = strip_headers(request.headers, _REQUEST_HEADERS, RESERVED_PREFIX)
    return Request(
        id=uuid4().hex,
        service=service.name,
        shard=find_shard(slot, service.slots, service.shards),
        slot=slot,
        key=key,
        method=request.method,
        target=target,
        headers=[[name, value] for name, value in headers],
        body=request.body,
        idempotent=idempotent,
        idempotency_key=idempotency_key,
        fingerprint=make_fingerprint(
            service.name, request.method, target, request.body
        ),
        deadline_ms=deadline_s * 1000,
    )


def make_fingerprint(service: str, method: str, target: str, body: bytes) -> str:
    """
    Hash the parts of a request that identify it.

    Parameters
    ----------
    service, method, target : str
        Service, method and target of the request.
    body : bytes
        Body of the request.

    Returns
    -------
    str
        XXH3 (128 bits) in hexadecimal digits.

    Examples
    --------
    >>> make_fingerprint("desk", "POST", "/a", b"")
    '65a943050f591485c51cddf50f49d4ad'
    """
    head = f"{service}\0{method}\0{target}\0".encode()
    return xxh3_128_hexdigest(head + body)


def strip_headers(
    headers: Iterable[Header],
    dropped: frozenset[str] = frozenset(),
    dropped_prefix: str | None = None,
) -> list[Header]:
    """
    Drop the headers that concern one connection only.

    Parameters
    ----------
    headers : iterable of (str, str)
        Headers with names in lower case.
    dropped : frozenset of str
        Further names to drop.
    dropped_prefix : str, optional
        Headers whose names start with this prefix are dropped as well.

    Returns
    -------
    list of (str, str)
        Headers to pass on, in their order.

    References
    ----------
    RFC 9110, section 7.6.1.

    Examples
    --------
    >>> strip_headers((("connection", "x-a"), ("x-a", "1"), ("x-b", "2")))
    [('x-b', '2')]
    """
    all_headers = tuple(headers)
    connection_tokens = list_tokens(all_headers, "connection")
    return [
        (name, value)
        for name, value in all_headers
        if name not in _HOP_HEADERS
        and name not in dropped
        and name not in connection_tokens
        and not (dropped_prefix and name.startswith(dropped_prefix))
    ]


def _make_origin_form(target: str) -> str:
    scheme, separator, remainder = target.partition("://")
    if not separator or scheme.lower() not in ("http", "https"):
        return target
    path = remainder.partition("/")[2]
    return f"/{path}"


def _read_idempotency_key(
    request: HttpRequest, service: Service, idempotent: bool
) -> str:
    key = _find_single_value(request, IDEMPOTENCY_KEY_HEADER)
    if key is None:
        if idempotent or not service.idempotency_key_required:
            return ""
        detail = f"{request.method} needs the header Idempotency-Key"
        raise _refuse(Reason.IDEMPOTENCY_KEY_MISSING, detail)
    if not _IDEMPOTENCY_KEY.fullmatch(key):
        detail = "Idempotency-Key must be 1 to 255 printable ASCII characters"
        raise _refuse(Reason.BAD_REQUEST, detail)
    return key


def _read_deadline_s(request: HttpRequest, service: Service) -> float:
    value = _find_single_value(request, DEADLINE_HEADER)
    if value is None:
        return service.default_deadline_s
    if not _DEADLINE_MS.fullmatch(value):
        detail = "Request-Timeout-Ms must be a positive number of milliseconds"
        raise _refuse(Reason.BAD_REQUEST, detail)
    return int(value) / 1000


def _find_single_value(request: HttpRequest, name: str) -> str | None:
    values = {value for header, value in request.headers if header == name}
    if len(values) > 1:
        raise _refuse(Reason.BAD_REQUEST, f"{name} is given with different values")
    return values.pop() if values else None


def _choose_slot(service: Service, key: str, idempotency_key: str) -> int:
    if service.key.source is not KeySource.none:
        return find_slot(key, service.slots)
    if idempotency_key:
        return find_slot(idempotency_key, service.slots)
    return randrange(service.slots)


def _refuse(reason: Reason, detail: str) -> RefusedError:
    return RefusedError(refuse_not_run(reason, detail))
