"""Rows of the planners' sheet."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["RowAction", "RowKind", "Sheet", "SheetRow"]


class RowKind(StrEnum):
    """Kind of item that a row of the sheet changes."""

    data_centre = "data_centre"
    upstream = "upstream"
    service = "service"


class RowAction(StrEnum):
    """Change that a row of the sheet makes."""

    bring_in = "in"
    take_out = "out"
    join_service = "join"
    leave_service = "leave"
    set_limit = "limit"


@dataclass(frozen=True, kw_only=True)
class SheetRow:
    """
    One row of the sheet; a cell that was left empty is None.

    Parameters
    ----------
    number : int
        Row number as in the spreadsheet; the header row is 1.
    kind : RowKind
        Kind of the item.
    name : str
        Name of the data centre, upstream or service.
    action : RowAction
        Change to make.
    service, data_centre, host : str, optional
        Service, data centre and IP address of an upstream that joins.
    port, shard, slots, connections : int, optional
        Port, shard, concurrency, and number of connections of an upstream.
    checks_fence : bool, optional
        Whether an upstream rejects requests with a stale fencing token.
    requests_per_s : float, optional
        Rate limit of a service in requests/s; 0 for none.
    """

    number: int
    kind: RowKind
    name: str
    action: RowAction
    service: str | None = None
    data_centre: str | None = None
    host: str | None = None
    port: int | None = None
    shard: int | None = None
    slots: int | None = None
    connections: int | None = None
    checks_fence: bool | None = None
    requests_per_s: float | None = None


@dataclass(frozen=True)
class Sheet:
    """
    The rows of a sheet in the order of the file.

    Parameters
    ----------
    source : str
        File name for error messages.
    rows : tuple of SheetRow
        Rows without the header, empty rows and comment rows.
    """

    source: str
    rows: tuple[SheetRow, ...]
