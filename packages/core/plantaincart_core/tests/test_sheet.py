import pytest
from plantaincart_core.configuration import apply_sheet, describe_changes
from plantaincart_core.sheet import parse_sheet
from plantaincart_core.tests.sample import configure

HEADER = "kind,name,action,service,data_centre,host,port,slots,requests_per_s,comment"
GOOD_ROWS = [
    "data_centre,north,out",
    "upstream,south-3,join,ledger,south,10.0.0.3,8001,3",
    "upstream,south-1,leave,,,,,,,broken disk",
    "upstream,south-2,limit,,,,,4",
    "service,ledger,limit,,,,,,12.5",
]
CHANGES = [
    "service ledger: requests_per_s 0.0 -> 12.5",
    "data centre north: in_service True -> False",
    "upstream south-1: state joined -> leaving",
    "upstream south-2: slots 2 -> 4",
    "upstream south-3: added",
]


def list_places(group: ExceptionGroup) -> list[str]:
    return [error.place for error in group.exceptions]  # type: ignore[attr-defined]


@pytest.mark.parametrize("separator", [",", ";", "\t"])
@pytest.mark.parametrize("line_end", ["\n", "\r\n"])
@pytest.mark.parametrize("mark", ["", "\ufeff"])
def test_spreadsheet_exports_are_read(separator: str, line_end: str, mark: str) -> None:
    text = line_end.join([HEADER.title(), "# today", "", *GOOD_ROWS, ",,,,,", ""])
    text = text.replace(",", separator)
    if separator == ";":
        text = text.replace("12.5", "12,5")
    current = configure("north", "south")
    changed = apply_sheet(current, parse_sheet(mark + text, "day"), "w", "anna")
    assert changed.version == current.version + 1
    assert describe_changes(current, changed) == CHANGES
    assert changed.upstreams[-1].shard == 0


@pytest.mark.parametrize(
    ("row", "place"),
    [
        ("planet,north,out", "row 2, column kind"),
        ("data_centre,north,away", "row 2, column action"),
        ("data_centre,north,join", "row 2, column action"),
        ("data_centre,,out", "row 2, column name"),
        ("data_centre,north,out,ledger", "row 2, column service"),
        ("upstream,x,limit", "row 2, column slots"),
        ("upstream,x,limit,,,,,0", "row 2, column slots"),
        ("upstream,x,limit,,,,,two", "row 2, column slots"),
        ("upstream,x,join,a,b,10.0.0.9,70000,1", "row 2, column port"),
        ("service,ledger,limit,,,,,,nan", "row 2, column requests_per_s"),
        ("service,ledger,limit,,,,,,-1", "row 2, column requests_per_s"),
        ("data_centre,north,out,,,,,,,,more", "row 2, column K"),
        ('data_centre,"north,out', "row 2, column A"),
    ],
)
def test_invalid_cells_are_reported(row: str, place: str) -> None:
    with pytest.raises(ExceptionGroup) as caught:
        parse_sheet(f"{HEADER}\n{row}\n", "day")
    assert list_places(caught.value) == [place]


def test_all_errors_are_reported_at_once() -> None:
    rows = "data_centre,a,in\ndata_centre,a,out\nplanet,b,in\nupstream,,leave"
    with pytest.raises(ExceptionGroup) as caught:
        parse_sheet(f"{HEADER}\n{rows}", "day")
    columns = ["row 4, column kind", "row 5, column name", "row 3, column name"]
    assert list_places(caught.value) == columns


@pytest.mark.parametrize("header", ["", "kind,name", "kind,name,action,kind", "a,b"])
def test_invalid_headers_are_reported(header: str) -> None:
    with pytest.raises(ExceptionGroup) as caught:
        parse_sheet(f"{header}\ndata_centre,a,in", "day")
    assert all(place.startswith("row 1") for place in list_places(caught.value))


@pytest.mark.parametrize(
    ("row", "column"),
    [
        ("data_centre,west,out", "name"),
        ("service,desk,limit,,,,,,1", "name"),
        ("upstream,west-1,leave", "name"),
        ("upstream,x,join,ledger,south,10.0.0.9", "port"),
        ("upstream,x,join,desk,south,10.0.0.9,1", "service"),
        ("upstream,x,join,ledger,west,10.0.0.9,1", "data_centre"),
        ("upstream,x,join,ledger,south,host.example,1", "host"),
        ("upstream,x,join,ledger,south,10.0.0.1,8001", "port"),
        ("upstream,south-1,join,ledger,south,10.0.0.9,1", "host"),
        ("upstream,south-1,leave,,north", "data_centre"),
    ],
)
def test_rows_in_conflict_with_the_configuration_are_reported(
    row: str, column: str
) -> None:
    sheet = parse_sheet(f"{HEADER}\ndata_centre,north,out\n{row}\n", "day")
    with pytest.raises(ExceptionGroup) as caught:
        apply_sheet(configure("north", "south"), sheet, "w", "anna")
    assert f"row 3, column {column}" in list_places(caught.value)
