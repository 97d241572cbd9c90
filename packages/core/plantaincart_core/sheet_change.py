"""Changes of the configuration by a sheet."""

from dataclasses import replace

from plantaincart_schema.exception import InvalidValueError
from plantaincart_schema.generated.configuration import (
    Configuration,
    Upstream,
    UpstreamState,
)

from plantaincart_core.declaration_check import check_address
from plantaincart_core.placement import choose_shard
from plantaincart_core.sheet_row import RowAction, RowKind, Sheet, SheetRow

__all__ = ["apply_sheet"]

_IMMUTABLE_COLUMNS = ("service", "data_centre", "host", "port", "shard")
_LIMIT_COLUMNS = ("slots", "connections", "checks_fence")
_REQUIRED_TO_JOIN = ("service", "data_centre", "host", "port")


def apply_sheet(
    current: Configuration, sheet: Sheet, write_id: str, applied_by: str
) -> Configuration:
    """
    Build the next version of the configuration from a sheet.

    Parameters
    ----------
    current : Configuration
        Version to which the sheet is applied.
    sheet : Sheet
        Rows to apply.
    write_id : str
        Identity of this apply.
    applied_by : str
        Name of the operator.

    Returns
    -------
    Configuration
        With a version one above `current`.

    Raises
    ------
    ExceptionGroup
        Of one `InvalidValueError` for each value that conflicts with `current`;
        then no row of the sheet is applied.

    Notes
    -----
    The service, data centre, address and shard of an existing upstream can't be
    changed: a server at another address under the same name could own the same
    keys while the grant of the previous one is still valid.
    """
    change = _SheetChange(current, sheet.source)
    for row in sheet.rows:
        change.apply(row)
    if change.errors:
        raise ExceptionGroup(f"{sheet.source} can't be applied", change.errors)
    return replace(
        current,
        version=current.version + 1,
        write_id=write_id,
        applied_by=applied_by,
        services=list(change.services.values()),
        data_centres=list(change.data_centres.values()),
        upstreams=list(change.upstreams.values()),
    )


class _SheetChange:
    def __init__(self, current: Configuration, source: str) -> None:
        self._source = source
        self.services = {service.name: service for service in current.services}
        self.data_centres = {item.name: item for item in current.data_centres}
        self.upstreams = {item.name: item for item in current.upstreams}
        self.errors: list[InvalidValueError] = []

    def apply(self, row: SheetRow) -> None:
        match row.kind:
            case RowKind.data_centre:
                self._apply_data_centre(row)
            case RowKind.service:
                self._apply_service(row)
            case RowKind.upstream if row.name in self.upstreams:
                self._apply_existing_upstream(row, self.upstreams[row.name])
            case RowKind.upstream if row.action is RowAction.join_service:
                self._join_new_upstream(row)
            case RowKind.upstream:
                self._add_unknown_name_error(
                    row, "name", row.name, list(self.upstreams)
                )

    def _apply_data_centre(self, row: SheetRow) -> None:
        data_centre = self.data_centres.get(row.name)
        if data_centre is None:
            self._add_unknown_name_error(row, "name", row.name, list(self.data_centres))
            return
        in_service = row.action is RowAction.bring_in
        self.data_centres[row.name] = replace(data_centre, in_service=in_service)

    def _apply_service(self, row: SheetRow) -> None:
        service = self.services.get(row.name)
        if service is None or row.requests_per_s is None:
            self._add_unknown_name_error(row, "name", row.name, list(self.services))
            return
        self.services[row.name] = replace(service, requests_per_s=row.requests_per_s)

    def _apply_existing_upstream(self, row: SheetRow, upstream: Upstream) -> None:
        for column in _IMMUTABLE_COLUMNS:
            given, existing = getattr(row, column), getattr(upstream, column)
            if given is not None and given != existing:
                expected = f"upstream {row.name} exists with {existing}; must keep it"
                self._add_error(
                    row, column, repr(given), f"{expected}, or take a new name"
                )
        limits = {column: getattr(row, column) for column in _LIMIT_COLUMNS}
        given_limits = {
            key: value for key, value in limits.items() if value is not None
        }
        state = upstream.state
        if row.action is RowAction.join_service:
            state = UpstreamState.joined
        elif row.action is RowAction.leave_service:
            state = UpstreamState.leaving
        self.upstreams[row.name] = replace(upstream, state=state, **given_limits)

    def _join_new_upstream(self, row: SheetRow) -> None:
        error_count = len(self.errors)
        for column in _REQUIRED_TO_JOIN:
            if getattr(row, column) is None:
                self._add_error(
                    row, column, "nothing", "must be given for a new upstream"
                )
        self._check_new_upstream(row)
        if len(self.errors) == error_count:
            self.upstreams[row.name] = self._build_upstream(row)

    def _check_new_upstream(self, row: SheetRow) -> None:
        if row.service is not None and row.service not in self.services:
            self._add_unknown_name_error(
                row, "service", row.service, list(self.services)
            )
        elif row.service is not None and row.shard is not None:
            shards = self.services[row.service].shards
            if row.shard >= shards:
                self._add_error(row, "shard", str(row.shard), f"must be below {shards}")
        if row.data_centre is not None and row.data_centre not in self.data_centres:
            self._add_unknown_name_error(
                row, "data_centre", row.data_centre, list(self.data_centres)
            )
        if row.host is not None:
            problem = check_address(row.host)
            if problem is not None:
                self._add_error(row, "host", repr(row.host), problem)
        for other in self.upstreams.values():
            if (other.host, other.port) == (row.host, row.port):
                expected = f"must differ from upstream {other.name}"
                self._add_error(row, "port", f"{row.host}:{row.port}", expected)

    def _build_upstream(self, row: SheetRow) -> Upstream:
        columns = (*_IMMUTABLE_COLUMNS, *_LIMIT_COLUMNS)
        values = {column: getattr(row, column) for column in columns}
        given = {key: value for key, value in values.items() if value is not None}
        if row.shard is None and row.service is not None:
            service = self.services[row.service]
            given["shard"] = choose_shard(
                service, row.data_centre or "", self.upstreams.values()
            )
        return Upstream(name=row.name, **given)

    def _add_unknown_name_error(
        self, row: SheetRow, column: str, given: str, names: list[str]
    ) -> None:
        expected = f"must be one of {', '.join(sorted(names)) or 'none declared'}"
        self._add_error(row, column, repr(given), expected)

    def _add_error(self, row: SheetRow, column: str, given: str, expected: str) -> None:
        place = f"row {row.number}, column {column}"
        self.errors.append(InvalidValueError(self._source, place, given, expected))
