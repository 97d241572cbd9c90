"""Digest that identifies the contents of a request."""

from plantaincart_router.http.message import HttpRequest, find_header
from plantaincart_router.requestparser import make_fingerprint

__all__ = ["fingerprint_request"]


def fingerprint_request(request: HttpRequest, service: str) -> str:
    """
    Hash the parts of a request that stay the same when its caller repeats it.

    Parameters
    ----------
    request : HttpRequest
        The request.
    service : str
        Service that it is sent to.

    Returns
    -------
    str
        Hexadecimal digest of the service, host, caller's credentials, method, target
        and body.

    Examples
    --------
    >>> first = HttpRequest("GET", "/a", (("host", "a.example"), ("id", "1")))
    >>> second = HttpRequest("GET", "/a", (("host", "a.example"), ("id", "2")))
    >>> fingerprint_request(first, "desk") == fingerprint_request(second, "desk")
    True
    """
    host = find_header(request.headers, "host") or ""
    credentials = find_header(request.headers, "authorization") or ""
    target = f"{host}\0{credentials}\0{request.target}"
    return make_fingerprint(service, request.method, target, request.body)
