"""Checks of declarations beyond their schema."""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from ipaddress import ip_address

from plantaincart_schema.exception import InvalidValueError
from plantaincart_schema.generated.configuration import (
    Declarations,
    KeySource,
    Service,
)

from plantaincart_core.placement import place_upstreams

__all__ = ["check_address", "check_declarations"]


def check_declarations(
    declarations: Declarations, source: str
) -> list[InvalidValueError]:
    """
    Check the conditions that the schema of declarations can't express.

    Parameters
    ----------
    declarations : Declarations
        Declarations that satisfy their schema.
    source : str
        File name for error messages.

    Returns
    -------
    list of InvalidValueError
        One for each error; empty if there are none.

    Notes
    -----
    Names and addresses must be unique, references must name declared items,
    services must differ in host or path prefix, and each shard needs an upstream.
    """
    findings = [
        *_check_names("services", [item.name for item in declarations.services]),
        *_check_names(
            "data_centres", [item.name for item in declarations.data_centres]
        ),
        *_check_names("upstreams", [item.name for item in declarations.upstreams]),
        *_check_services(declarations.services),
        *_check_upstreams(declarations),
        *_check_shards(declarations),
    ]
    return [
        InvalidValueError(source, place, given, allowed)
        for place, given, allowed in findings
    ]


def check_address(host: str) -> str | None:
    """
    Check that a host is an IP address.

    Parameters
    ----------
    host : str
        Host of an upstream.

    Returns
    -------
    str or None
        Expected form of a host that isn't an IP address; None for one that is.

    Examples
    --------
    >>> check_address("10.0.0.1") is None
    True
    """
    try:
        ip_address(host)
    except ValueError:
        return "must be an IP address"
    return None


_Finding = tuple[str, str, str]


def _check_names(kind: str, names: Sequence[str]) -> Iterator[_Finding]:
    for index, name in enumerate(names):
        if name in names[:index]:
            yield f"{kind}.{index}.name", repr(name), "must be unique"


def _check_services(services: Sequence[Service]) -> Iterator[_Finding]:
    routes: dict[tuple[str, str], str] = {}
    for index, service in enumerate(services):
        place = f"services.{index}"
        if service.shards > service.slots:
            expected = f"must be at most slots = {service.slots}"
            yield f"{place}.shards", str(service.shards), expected
        needs_name = service.key.source in (KeySource.header, KeySource.query)
        if needs_name and not service.key.name:
            yield f"{place}.key.name", "nothing", "must name the header or parameter"
        for host in service.hosts or [""]:
            route = (host.lower(), service.path_prefix.rstrip("/"))
            first = routes.setdefault(route, service.name)
            if first != service.name:
                expected = f"must differ from service {first} in host or prefix"
                yield f"{place}.path_prefix", repr(service.path_prefix), expected


def _check_upstreams(declarations: Declarations) -> Iterator[_Finding]:
    shards = {service.name: service.shards for service in declarations.services}
    data_centres = [item.name for item in declarations.data_centres]
    addresses: dict[tuple[str, int], str] = {}
    for index, upstream in enumerate(declarations.upstreams):
        place = f"upstreams.{index}"
        if upstream.service not in shards:
            yield f"{place}.service", repr(upstream.service), _describe_choices(shards)
        elif upstream.shard >= shards[upstream.service]:
            expected = f"must be below shards = {shards[upstream.service]}"
            yield f"{place}.shard", str(upstream.shard), expected
        if upstream.data_centre not in data_centres:
            expected = _describe_choices(data_centres)
            yield f"{place}.data_centre", repr(upstream.data_centre), expected
        problem = check_address(upstream.host)
        if problem is not None:
            yield f"{place}.host", repr(upstream.host), problem
        address = (upstream.host, upstream.port)
        first = addresses.setdefault(address, upstream.name)
        if first != upstream.name:
            given = f"{upstream.host}:{upstream.port}"
            yield f"{place}.port", given, f"must differ from upstream {first}"


def _check_shards(declarations: Declarations) -> Iterator[_Finding]:
    placed = place_upstreams(declarations.services, declarations.upstreams, {})
    counts = Counter((item.service, item.shard) for item in placed)
    for index, service in enumerate(declarations.services):
        if service.shards > service.slots:
            continue
        empty_shards = [n for n in range(service.shards) if not counts[service.name, n]]
        if empty_shards:
            numbers = ", ".join(str(number) for number in empty_shards)
            expected = f"shards {numbers} would have no upstream"
            yield f"services.{index}.shards", str(service.shards), expected


def _describe_choices(names: Iterable[str]) -> str:
    return f"must be one of {', '.join(sorted(names)) or 'none declared'}"
