"""Merge of declarations into the configuration in force."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import replace

from plantaincart_schema.exception import InvalidValueError
from plantaincart_schema.generated.configuration import (
    Configuration,
    DataCentre,
    Declarations,
    Service,
    Upstream,
    UpstreamState,
)

from plantaincart_core.declaration_check import check_declarations
from plantaincart_core.placement import place_upstreams

__all__ = ["merge_declarations"]

_IMMUTABLE_SERVICE_FIELDS = ("slots", "shards")
_IMMUTABLE_UPSTREAM_FIELDS = ("service", "shard", "data_centre", "host", "port")
_EMPTY_DECLARATIONS = Declarations(services=[], data_centres=[], upstreams=[])


def merge_declarations(
    current: Configuration,
    declarations: Declarations,
    write_id: str,
    applied_by: str,
    previous: Declarations | None = None,
    source: str = "declarations",
) -> Configuration:
    """
    Build the next version of the configuration from declarations.

    Parameters
    ----------
    current : Configuration
        Version in force.
    declarations : Declarations
        Declarations that satisfy their schema.
    write_id : str
        Identity of this apply.
    applied_by : str
        Name of the operator.
    previous : Declarations, optional
        Declarations that were applied last.
    source : str
        File name for error messages.

    Returns
    -------
    Configuration
        With a version one above `current`.

    Raises
    ------
    ExceptionGroup
        Of one `InvalidValueError` for each value that can't be applied.

    Notes
    -----
    Values that a sheet can set (data centres in or out of service, upstreams
    joined or leaving, limits) keep their current value unless the declarations
    changed them since `previous`. An upstream that was removed from the
    declarations is first set to leaving and then removed by the next apply. An
    upstream that a sheet added is kept.

    The slots and shards of a service, and the service, shard, data centre and
    address of an upstream, can't change under the same name: while instances adopt
    the new version one after another, a key would have two owners.
    """
    merge = _Merge(current, declarations, previous or _EMPTY_DECLARATIONS)
    errors = [
        *check_declarations(declarations, source),
        *(InvalidValueError(source, *finding) for finding in merge.find_conflicts()),
    ]
    if errors:
        raise ExceptionGroup(f"{source} can't be applied", errors)
    return Configuration(
        version=current.version + 1,
        write_id=write_id,
        applied_by=applied_by,
        services=merge.merge_services(),
        data_centres=merge.merge_data_centres(),
        upstreams=merge.merge_upstreams(),
    )


class _Merge:
    def __init__(
        self, current: Configuration, declared: Declarations, previous: Declarations
    ) -> None:
        self._declared = declared
        self._previous = previous
        self._services = {item.name: item for item in current.services}
        self._data_centres = {item.name: item for item in current.data_centres}
        self._upstreams = {item.name: item for item in current.upstreams}
        placed = {item.name: item.shard for item in current.upstreams}
        self._placed = place_upstreams(declared.services, declared.upstreams, placed)

    def find_conflicts(self) -> Iterator[tuple[str, str, str]]:
        """Find values in the declarations that conflict with the version in force."""
        for index, service in enumerate(self._declared.services):
            existing = self._services.get(service.name)
            place = f"services.{index}"
            yield from _find_changed_fields(
                place, _IMMUTABLE_SERVICE_FIELDS, existing, service
            )
        for index, upstream in enumerate(self._placed):
            before = self._upstreams.get(upstream.name)
            place = f"upstreams.{index}"
            yield from _find_changed_fields(
                place, _IMMUTABLE_UPSTREAM_FIELDS, before, upstream
            )
        services = _collect_names(self._declared.services)
        data_centres = _collect_names(self._declared.data_centres)
        addresses = {(item.host, item.port) for item in self._declared.upstreams}
        for undeclared in self._list_undeclared():
            place = f"upstream {undeclared.name}"
            if undeclared.service not in services:
                yield (
                    place,
                    undeclared.service,
                    "its service must be declared while it runs",
                )
            if undeclared.data_centre not in data_centres:
                expected = "its data centre must be declared while it runs"
                yield place, undeclared.data_centre, expected
            if (undeclared.host, undeclared.port) in addresses:
                given = f"{undeclared.host}:{undeclared.port}"
                yield place, given, "must differ from a declared upstream's address"

    def merge_services(self) -> list[Service]:
        """List the declared services with their limits in force."""
        previous = {item.name: item for item in self._previous.services}
        return [
            self._merge_service(service, previous.get(service.name))
            for service in self._declared.services
        ]

    def merge_data_centres(self) -> list[DataCentre]:
        """List the declared data centres with their present service state."""
        previous = {item.name: item for item in self._previous.data_centres}
        merged = []
        for item in self._declared.data_centres:
            existing, before = (
                self._data_centres.get(item.name),
                previous.get(item.name),
            )
            if existing and (before is None or before.in_service == item.in_service):
                item = replace(item, in_service=existing.in_service)
            merged.append(item)
        return merged

    def merge_upstreams(self) -> list[Upstream]:
        """List the declared upstreams and the undeclared ones that are kept."""
        previous = {item.name: item for item in self._previous.upstreams}
        declared = [
            self._merge_upstream(upstream, previous.get(upstream.name))
            for upstream in self._placed
        ]
        return [*declared, *self._list_undeclared()]

    def _merge_service(self, service: Service, before: Service | None) -> Service:
        existing = self._services.get(service.name)
        if existing and before and before.requests_per_s == service.requests_per_s:
            return replace(service, requests_per_s=existing.requests_per_s)
        return service

    def _merge_upstream(self, upstream: Upstream, before: Upstream | None) -> Upstream:
        existing = self._upstreams.get(upstream.name)
        if existing is None:
            return upstream
        if before is None or before.state is upstream.state:
            upstream = replace(upstream, state=existing.state)
        if before is not None and before.slots == upstream.slots:
            upstream = replace(upstream, slots=existing.slots)
        return upstream

    def _list_undeclared(self) -> list[Upstream]:
        declared = _collect_names(self._declared.upstreams)
        removed = _collect_names(self._previous.upstreams)
        return [
            replace(upstream, state=UpstreamState.leaving)
            if upstream.name in removed
            else upstream
            for upstream in self._upstreams.values()
            if upstream.name not in declared and upstream.state is UpstreamState.joined
        ]


def _find_changed_fields(
    place: str,
    fields: Sequence[str],
    existing: Service | Upstream | None,
    declared: Service | Upstream,
) -> Iterator[tuple[str, str, str]]:
    for field in fields if existing is not None else ():
        before, after = getattr(existing, field), getattr(declared, field)
        if before != after:
            expected = f"must stay {before}, or take a new name"
            yield f"{place}.{field}", str(after), expected


def _collect_names(items: Iterable[Service | DataCentre | Upstream]) -> set[str]:
    return {item.name for item in items}
