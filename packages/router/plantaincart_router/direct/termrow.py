"""The row of the store that names the coordinator."""

from plantaincart_schema.codec import decode_json, encode_json
from plantaincart_schema.generated.direct import CoordinatorRow

from plantaincart_router.direct.store import StoreRow, TableView

__all__ = ["COORDINATOR_KEY", "COORDINATOR_TABLE", "find_term", "make_term_row"]

COORDINATOR_TABLE = "coordinator"
COORDINATOR_KEY = "term"


def find_term(view: TableView) -> tuple[CoordinatorRow, int] | None:
    """
    Find the term in its table.

    Parameters
    ----------
    view : TableView
        All rows of the table.

    Returns
    -------
    tuple of (CoordinatorRow, int) or None
        The term and its row's version; None if there has been none.

    Raises
    ------
    MalformedMessageError
        If the row isn't a term.
    """
    for row in view.rows:
        if row.key == COORDINATOR_KEY:
            return decode_json(row.value, CoordinatorRow), row.version
    return None


def make_term_row(term: CoordinatorRow, version: int) -> StoreRow:
    """
    Make the row that holds a term.

    Parameters
    ----------
    term : CoordinatorRow
        Its content.
    version : int
        Version that the present row must have; 0 for none.

    Returns
    -------
    StoreRow
        Row to write.
    """
    return StoreRow(key=COORDINATOR_KEY, value=encode_json(term), version=version)
