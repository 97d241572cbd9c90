"""Parser of the planners' sheet, a spreadsheet export; reports all errors at once."""

from collections.abc import Iterator, Mapping
from csv import Error as CsvError
from csv import reader
from io import StringIO
from math import isfinite
from typing import Any

from plantaincart_schema.document import check_values, read_definition
from plantaincart_schema.exception import InvalidValueError

from plantaincart_core.sheet_row import RowAction, RowKind, Sheet, SheetRow

__all__ = ["RowAction", "RowKind", "Sheet", "SheetRow", "parse_sheet"]

_SEPARATORS = (",", ";", "\t")
_BYTE_ORDER_MARK = "\ufeff"
_REQUIRED_COLUMNS = ("kind", "name", "action")
_COMMENT_COLUMN = "comment"
_TRUE = ("true", "yes", "1")
_FALSE = ("false", "no", "0")


_OPTIONAL_CELLS: Mapping[tuple[RowKind, RowAction], tuple[str, ...]] = {
    (RowKind.data_centre, RowAction.bring_in): (),
    (RowKind.data_centre, RowAction.take_out): (),
    (RowKind.upstream, RowAction.join_service): (
        "service",
        "data_centre",
        "host",
        "port",
        "shard",
        "slots",
        "connections",
        "checks_fence",
    ),
    (RowKind.upstream, RowAction.leave_service): ("service", "data_centre"),
    (RowKind.upstream, RowAction.set_limit): ("service", "data_centre", "slots"),
    (RowKind.service, RowAction.set_limit): ("requests_per_s",),
}
_REQUIRED_CELLS: Mapping[tuple[RowKind, RowAction], str] = {
    (RowKind.upstream, RowAction.set_limit): "slots",
    (RowKind.service, RowAction.set_limit): "requests_per_s",
}


_COLUMNS = tuple(SheetRow.__dataclass_fields__)[1:]


def parse_sheet(text: str, source: str) -> Sheet:
    r"""
    Read a sheet and check each of its cells.

    Parameters
    ----------
    text : str
        CSV with a header row; separated by comma, semicolon or tab.
    source : str
        File name for error messages.

    Returns
    -------
    Sheet
        All rows except the header, comments and empty rows.

    Raises
    ------
    ExceptionGroup
        Of one `InvalidValueError` for each invalid cell, with row and column.

    Notes
    -----
    Variants that spreadsheets write are accepted: a byte order mark, CRLF line
    ends, capital letters and spaces in the header, and a decimal comma if the
    separator isn't a comma. Rows whose first cell starts with ``#`` are comments.

    Examples
    --------
    >>> sheet = parse_sheet("kind;name;action\r\ndata_centre;north;out\r\n", "day")
    >>> sheet.rows[0].name, sheet.rows[0].action.value
    ('north', 'out')
    """
    parser = _SheetParser(source)
    rows = parser.parse(text.removeprefix(_BYTE_ORDER_MARK))
    if parser.errors:
        raise ExceptionGroup(f"{source} is not valid", parser.errors)
    return Sheet(source, tuple(rows))


class _SheetParser:
    def __init__(self, source: str) -> None:
        self._source = source
        self._decimal_comma = False
        self.errors: list[InvalidValueError] = []

    def parse(self, text: str) -> list[SheetRow]:
        lines = self._split(text)
        header = next(lines, (1, []))[1]
        columns = self._read_header(header)
        if self.errors:
            return []
        rows = [self._read_row(number, columns, line) for number, line in lines]
        valid_rows = [row for row in rows if row is not None]
        self._check_duplicates(valid_rows)
        return valid_rows

    def _split(self, text: str) -> Iterator[tuple[int, list[str]]]:
        first_line = text.partition("\n")[0]
        separator = max(_SEPARATORS, key=first_line.count)
        self._decimal_comma = separator != ","
        lines = reader(StringIO(text, newline=""), delimiter=separator, strict=True)
        number = 0
        try:
            for line in lines:
                number += 1
                cells = [cell.strip() for cell in line]
                if number == 1 or (any(cells) and not cells[0].startswith("#")):
                    yield number, cells
        except CsvError as error:
            self._add_error(number + 1, "A", "", f"must be CSV: {error}")

    def _read_header(self, header: list[str]) -> list[str]:
        names = [name.lower().replace(" ", "_") for name in header]
        while names and not names[-1]:
            names.pop()
        allowed = (*_COLUMNS, _COMMENT_COLUMN)
        for index, name in enumerate(names):
            if name not in allowed or name in names[:index]:
                expected = f"must be one of {', '.join(allowed)}, each once"
                self._add_error(1, _name_column(index), repr(name), expected)
        for name in _REQUIRED_COLUMNS:
            if name not in names:
                self._add_error(1, name, "no such column", "must be in the header row")
        return names

    def _read_row(
        self, number: int, columns: list[str], line: list[str]
    ) -> SheetRow | None:
        error_count = len(self.errors)
        for index, cell in enumerate(line[len(columns) :], len(columns)):
            if cell:
                self._add_error(
                    number, _name_column(index), repr(cell), "has no header"
                )
        cells = {
            column: cell
            for column, cell in zip(columns, line, strict=False)
            if cell and column != _COMMENT_COLUMN
        }
        kind = self._read_choice(number, "kind", cells.pop("kind", ""), RowKind)
        action = self._read_choice(number, "action", cells.pop("action", ""), RowAction)
        name = cells.pop("name", "")
        if not name:
            self._add_error(number, "name", "nothing", "must be given")
        values = {
            column: self._read_cell(number, column, cell)
            for column, cell in cells.items()
        }
        if kind is not None and action is not None:
            self._check_cells(number, kind, action, cells)
        if kind is None or action is None or len(self.errors) > error_count:
            return None
        return SheetRow(number=number, kind=kind, name=name, action=action, **values)

    def _check_cells(
        self, number: int, kind: RowKind, action: RowAction, cells: Mapping[str, str]
    ) -> None:
        allowed = _OPTIONAL_CELLS.get((kind, action))
        if allowed is None:
            actions = [a.value for k, a in _OPTIONAL_CELLS if k is kind]
            expected = f"must be one of {', '.join(actions)} for kind {kind.value}"
            self._add_error(number, "action", repr(action.value), expected)
            return
        for column, cell in cells.items():
            if column not in allowed:
                expected = f"must be empty for {kind.value} {action.value}"
                self._add_error(number, column, repr(cell), expected)
        required = _REQUIRED_CELLS.get((kind, action))
        if required is not None and required not in cells:
            self._add_error(number, required, "nothing", "must be given")

    def _read_choice(
        self, number: int, column: str, cell: str, kind: type[Any]
    ) -> Any | None:
        try:
            return kind(cell.lower().replace(" ", "_"))
        except ValueError:
            expected = f"must be one of {', '.join(choice.value for choice in kind)}"
            self._add_error(number, column, repr(cell) if cell else "nothing", expected)
            return None

    def _read_cell(self, number: int, column: str, cell: str) -> Any:
        owner = "Service" if column == "requests_per_s" else "Upstream"
        schema = read_definition("configuration")["$defs"][owner]["properties"][column]
        try:
            value = self._convert(schema["type"], cell)
        except ValueError:
            self._add_error(
                number, column, repr(cell), f"must be of type {schema['type']}"
            )
            return None
        for error in check_values(value, schema, self._source):
            self._add_error(number, column, repr(cell), error.allowed)
        return value

    def _convert(self, type_name: str, cell: str) -> Any:
        match type_name:
            case "integer":
                return int(cell)
            case "number":
                return _read_number(
                    cell.replace(",", ".") if self._decimal_comma else cell
                )
            case "boolean":
                return _read_boolean(cell)
            case _:
                return cell

    def _check_duplicates(self, rows: list[SheetRow]) -> None:
        seen: dict[tuple[RowKind, str, bool], SheetRow] = {}
        for row in rows:
            identity = (row.kind, row.name, row.action is RowAction.set_limit)
            first = seen.setdefault(identity, row)
            if first is not row:
                expected = f"is already in row {first.number}; must occur only once"
                self._add_error(row.number, "name", repr(row.name), expected)

    def _add_error(self, number: int, column: str, given: str, expected: str) -> None:
        place = f"row {number}, column {column}"
        self.errors.append(InvalidValueError(self._source, place, given, expected))


def _read_number(cell: str) -> float:
    number = float(cell)
    if not isfinite(number):
        raise ValueError(cell)
    return number


def _read_boolean(cell: str) -> bool:
    if cell.lower() in _TRUE:
        return True
    if cell.lower() in _FALSE:
        return False
    raise ValueError(cell)


def _name_column(index: int) -> str:
    letters = ""
    index += 1
    while index:
        index, letter = divmod(index - 1, 26)
        letters = chr(ord("A") + letter) + letters
    return letters
