"""HTTP requests and answers with their complete bodies."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["Header", "HttpAnswer", "HttpRequest", "find_header", "list_tokens"]

Header = tuple[str, str]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """
    HTTP request with its complete body.

    Parameters
    ----------
    method : str
        Method in upper case.
    target : str
        Request target: path and query.
    headers : tuple of (str, str)
        Names in lower case, in the order received.
    body : bytes
        Body without transfer coding.
    """

    method: str
    target: str
    headers: tuple[Header, ...] = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """
    HTTP answer with its complete body.

    Parameters
    ----------
    status : int
        Final status code, 200 to 599.
    headers : tuple of (str, str)
        Names in lower case, in the order received.
    body : bytes
        Body without transfer coding.
    """

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""


def find_header(headers: Iterable[Header], name: str) -> str | None:
    """
    Find the first header with a given name.

    Parameters
    ----------
    headers : iterable of (str, str)
        Headers with names in lower case.
    name : str
        Name in lower case.

    Returns
    -------
    str or None
        Value, or None if no header has the name.

    Examples
    --------
    >>> find_header((("host", "a"), ("accept", "*/*")), "accept")
    '*/*'
    """
    for header, value in headers:
        if header == name:
            return value
    return None


def list_tokens(headers: Iterable[Header], name: str) -> list[str]:
    """
    List the comma-separated tokens of all headers with a given name.

    Parameters
    ----------
    headers : iterable of (str, str)
        Headers with names in lower case.
    name : str
        Name in lower case.

    Returns
    -------
    list of str
        Tokens in lower case.

    Examples
    --------
    >>> list_tokens((("connection", "Close, X-Hop"),), "connection")
    ['close', 'x-hop']
    """
    values = (value for header, value in headers if header == name)
    tokens = (token.strip().lower() for value in values for token in value.split(","))
    return [token for token in tokens if token]
