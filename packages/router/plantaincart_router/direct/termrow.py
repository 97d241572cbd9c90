"""The rows of the store that name the coordinator and the eras with a coordinator."""

from plantaincart_schema.codec import decode_json, encode_json
from plantaincart_schema.generated.direct import CoordinatorRow

from plantaincart_router.direct.store import StoreRow, TableRows

__all__ = [
    "COORDINATOR_KEY",
    "COORDINATOR_TABLE",
    "find_term",
    "is_era_claimed",
    "list_later_eras",
    "make_era_rows",
    "make_term_row",
]

COORDINATOR_TABLE = "coordinator"
COORDINATOR_KEY = "term"
# A row with this prefix before an era of the store shows that a term was claimed in
# that era, or in a later one.
ERA_KEY_PREFIX = "era-"
# Maximum number of eras that one claim marks; a transaction holds 100 rows.
MAX_ERA_ROWS = 50


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


def make_era_rows(view: TableRows) -> list[StoreRow]:
    """
    Make the rows that a claim of the term adds to the coordinator table.

    Parameters
    ----------
    view : TableRows
        All rows of the table.

    Returns
    -------
    list of StoreRow
        A row for each era up to the present one that isn't marked as claimed yet. Eras
        before the present one are marked as well, since the store may have been
        restored several times without a claim.
    """
    claimed = {row.key for row in view.rows}
    first_era = max(1, view.era - MAX_ERA_ROWS + 1)
    keys = [f"{ERA_KEY_PREFIX}{era}" for era in range(first_era, view.era + 1)]
    return [StoreRow(key=key, value=b"1") for key in keys if key not in claimed]


def is_era_claimed(view: TableRows) -> bool:
    """Return whether a term was claimed since the store was last restored."""
    era_key = f"{ERA_KEY_PREFIX}{view.era}"
    return view.era == 0 or any(row.key == era_key for row in view.rows)


def list_later_eras(era: int) -> list[tuple[str, str]]:
    """
    Return table and key of the row that a claim in a later era adds.

    Parameters
    ----------
    era : int
        Era in which the writer's term was claimed; 0 if the store states no eras.

    Returns
    -------
    list of (str, str)
        Rows that must not exist for a write of that term. The store hands out versions
        again after a restoration, so versions alone don't prove that no later term has
        written the row.
    """
    return [(COORDINATOR_TABLE, f"{ERA_KEY_PREFIX}{era + 1}")]
