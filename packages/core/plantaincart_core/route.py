"""Matching of requests to services, and extraction of their keys."""

from collections.abc import Iterable
from urllib.parse import parse_qsl, unquote, urlsplit

from plantaincart_schema.generated.configuration import (
    Configuration,
    KeySource,
    Service,
)

__all__ = ["RouteTable", "extract_key"]

_FIRST_PRINTABLE = 0x20
_DELETE = 0x7F


class RouteTable:
    """
    Lookup of services by Host header and path prefix.

    Parameters
    ----------
    configuration : Configuration
        Configuration that declares the services.

    Notes
    -----
    Services that declare the request's host take precedence over services that
    declare no hosts; in each group the longest matching path prefix wins. A prefix
    matches whole path segments.

    Examples
    --------
    >>> from dataclasses import replace
    >>> from plantaincart_core.configuration import EMPTY_CONFIGURATION
    >>> from plantaincart_schema.generated.configuration import KeyRule
    >>> service = Service(
    ...     name="ledger", key=KeyRule(source=KeySource.none), path_prefix="/returns"
    ... )
    >>> table = RouteTable(replace(EMPTY_CONFIGURATION, services=[service]))
    >>> table.resolve("GET", "any.example", "/returns/7").name
    'ledger'
    >>> table.resolve("GET", "any.example", "/returnsheet") is None
    True
    """

    def __init__(self, configuration: Configuration) -> None:
        self._by_host: dict[str, list[Service]] = {}
        self._any_host: list[Service] = []
        for service in configuration.services:
            for host in service.hosts:
                self._by_host.setdefault(host.lower(), []).append(service)
            if not service.hosts:
                self._any_host.append(service)
        for services in [self._any_host, *self._by_host.values()]:
            services.sort(key=_prefix_length, reverse=True)

    def resolve(self, method: str, host: str, path: str) -> Service | None:
        """
        Find the service of a request.

        Parameters
        ----------
        method : str
            Request method; ignored, as services accept all methods.
        host : str
            Value of the Host header, with or without a port; may be empty.
        path : str
            Request target; its query is ignored.

        Returns
        -------
        Service or None
            None if no service is declared for the request.
        """
        path = path.partition("?")[0]
        with_host = self._by_host.get(_strip_port(host).lower(), [])
        for service in (*with_host, *self._any_host):
            if _matches_prefix(service.path_prefix, path):
                return service
        return None


def extract_key(
    service: Service, target: str, headers: Iterable[tuple[str, str]]
) -> str | None:
    """
    Extract the key of a request according to the key rule of its service.

    Parameters
    ----------
    service : Service
        Service of the request.
    target : str
        Request target.
    headers : iterable of tuple of str
        Pairs of header name in lower case and value.

    Returns
    -------
    str or None
        Percent-decoded key; empty for a service without keys. None if the key is
        missing, empty, given more than once with different values, or contains
        control characters or invalid UTF-8.
    """
    rule = service.key
    match rule.source:
        case KeySource.none:
            return ""
        case KeySource.header:
            name = rule.name.lower()
            values = [value.strip() for header, value in headers if header == name]
        case KeySource.query:
            values = _read_query(target, rule.name)
        case KeySource.path_segment:
            values = _read_segment(service, target)
    if len(set(values)) != 1 or not _is_printable(values[0]):
        return None
    return values[0]


def _read_query(target: str, name: str) -> list[str]:
    try:
        pairs = parse_qsl(urlsplit(target).query, errors="strict")
    except ValueError:
        return []
    return [value for parameter, value in pairs if parameter == name]


def _read_segment(service: Service, target: str) -> list[str]:
    path = target.partition("?")[0]
    below_prefix = path.removeprefix(service.path_prefix.rstrip("/")).lstrip("/")
    segments = below_prefix.split("/")
    if service.key.segment >= len(segments):
        return []
    try:
        return [unquote(segments[service.key.segment], errors="strict")]
    except UnicodeDecodeError:
        return []


def _is_printable(key: str) -> bool:
    return bool(key) and all(
        ord(char) >= _FIRST_PRINTABLE and ord(char) != _DELETE for char in key
    )


def _prefix_length(service: Service) -> int:
    return len(service.path_prefix.rstrip("/"))


def _matches_prefix(prefix: str, path: str) -> bool:
    trimmed = prefix.rstrip("/")
    return path == trimmed or path.startswith(trimmed + "/")


def _strip_port(host: str) -> str:
    if host.startswith("["):
        return host.partition("]")[0].lstrip("[")
    return host.partition(":")[0]
