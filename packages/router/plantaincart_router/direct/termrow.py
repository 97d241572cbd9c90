"""The row of the store that names the coordinator."""

from plantaincart_schema.codec import decode_json, encode_json
from plantaincart_schema.generated.direct import CoordinatorRow

from plantaincart_router.direct.store import StoreRow, TableRows

__all__ = ["COORDINATOR_KEY", "COORDINATOR_TABLE", "find_term", "make_term_row"]

COORDINATOR_TABLE = "coordinator"
COORDINATOR_KEY = "term"


def find_term(view: TableRows) -> tuple[CoordinatorRow, int] | None:
    """
    Find the present term in the coordinator table.

    Parameters
    ----------
    view : TableRows
        All rows of the table.

    Returns
    -------
    tuple of (CoordinatorRow, int) or None
        The term and the version of its row; None if there has been no term.

    Raises
    ------
    MalformedMessageError
        If the row can't be decoded.
    """
    for row in view.rows:
        if row.key == COORDINATOR_KEY:
            return decode_json(row.value, CoordinatorRow), row.version
    return None


def make_term_row(term: CoordinatorRow, version: int) -> StoreRow:
    """
    Make the row for a term.

    Parameters
    ----------
    term : CoordinatorRow
        Content of the row.
    version : int
        Version that the stored row must have; 0 if there is none.

    Returns
    -------
    StoreRow
        Row to write.
    """
    return StoreRow(key=COORDINATOR_KEY, value=encode_json(term), version=version)
