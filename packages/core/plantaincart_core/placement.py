"""Placement of upstreams in the shards of their service."""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import replace

from plantaincart_schema.generated.configuration import (
    Declarations,
    Service,
    Upstream,
    UpstreamState,
)

__all__ = ["assign_shards", "choose_shard", "place_upstreams"]


def assign_shards(
    declarations: Declarations, placed: Mapping[str, int] | None = None
) -> Declarations:
    """
    Distribute upstreams without an explicit shard evenly over their service's shards.

    Parameters
    ----------
    declarations : Declarations
        Declarations of services and upstreams. The upstreams of a service have no
        explicit shards if none of them declares a shard above 0.
    placed : mapping of str to int, optional
        Shards of upstreams that are already placed; these are kept.

    Returns
    -------
    Declarations
        The declarations with the shard of each upstream set.

    Examples
    --------
    >>> from plantaincart_schema.generated.configuration import KeyRule, KeySource
    >>> ledger = Service(name="a", key=KeyRule(source=KeySource.none), shards=2)
    >>> upstreams = [
    ...     Upstream(name=name, service="a", data_centre=name[0], host="::1", port=port)
    ...     for port, name in enumerate(["n-1", "n-2", "s-1", "s-2"], 1)
    ... ]
    >>> spread = assign_shards(
    ...     Declarations(services=[ledger], data_centres=[], upstreams=upstreams)
    ... )
    >>> [(upstream.name, upstream.shard) for upstream in spread.upstreams]
    [('n-1', 0), ('n-2', 1), ('s-1', 0), ('s-2', 1)]
    """
    upstreams = place_upstreams(
        declarations.services, declarations.upstreams, placed or {}
    )
    return replace(declarations, upstreams=upstreams)


def place_upstreams(
    services: Iterable[Service],
    upstreams: Sequence[Upstream],
    placed: Mapping[str, int],
) -> list[Upstream]:
    """
    Assign shards to the upstreams of services without explicit shards.

    Parameters
    ----------
    services : iterable of Service
        Services of the upstreams.
    upstreams : sequence of Upstream
        Upstreams in the order of their declaration.
    placed : mapping of str to int
        Shards of upstreams that are already placed.

    Returns
    -------
    list of Upstream
        The upstreams with their shards, in the same order.
    """
    shards = _choose_shards(services, upstreams, placed)
    return [
        replace(upstream, shard=shards.get(upstream.name, upstream.shard))
        for upstream in upstreams
    ]


def choose_shard(
    service: Service, data_centre: str, upstreams: Collection[Upstream]
) -> int:
    """
    Choose the shard for a further upstream of a service.

    Parameters
    ----------
    service : Service
        Service of the upstream.
    data_centre : str
        Data centre of the upstream.
    upstreams : collection of Upstream
        Upstreams that are already placed; leaving ones are ignored.

    Returns
    -------
    int
        The shard with the fewest upstreams; among several such shards, the one with
        the fewest upstreams in the data centre.
    """
    service_upstreams = [
        upstream
        for upstream in upstreams
        if upstream.service == service.name and upstream.state is UpstreamState.joined
    ]
    counts = Counter(upstream.shard for upstream in service_upstreams)
    counts_in_data_centre = Counter(
        upstream.shard
        for upstream in service_upstreams
        if upstream.data_centre == data_centre
    )
    return min(
        range(service.shards),
        key=lambda shard: (counts[shard], counts_in_data_centre[shard], shard),
    )


def _choose_shards(
    services: Iterable[Service],
    upstreams: Sequence[Upstream],
    placed: Mapping[str, int],
) -> dict[str, int]:
    shards: dict[str, int] = {}
    for service in services:
        service_upstreams = [item for item in upstreams if item.service == service.name]
        if service.shards == 1 or any(upstream.shard for upstream in service_upstreams):
            continue
        placed_upstreams = [
            replace(upstream, shard=placed[upstream.name])
            for upstream in service_upstreams
            if placed.get(upstream.name, service.shards) < service.shards
        ]
        names = {upstream.name for upstream in placed_upstreams}
        for upstream in service_upstreams:
            if upstream.name not in names:
                shard = choose_shard(service, upstream.data_centre, placed_upstreams)
                placed_upstreams.append(replace(upstream, shard=shard))
        shards.update((upstream.name, upstream.shard) for upstream in placed_upstreams)
    return shards
