"""The latest changes of a table, kept for relaying them to other instances."""

from collections import deque
from itertools import takewhile

from plantaincart_router.direct.store import StoreRow, TableRows

__all__ = ["TableHistory"]

# Number of changes kept. An instance that lacks more of them reads the store itself.
MAX_ROWS = 2000


class TableHistory:
    """
    Changes of a table in the order of their versions, complete since some version.

    Parameters
    ----------
    max_rows : int
        Maximum number of changes kept.

    Attributes
    ----------
    version : int or None
        Version of the store up to which the changes are complete; None before the first
        read of the table.

    Examples
    --------
    >>> history = TableHistory()
    >>> history.restart(7)
    >>> history.add(TableRows(rows=[StoreRow(key="a", version=9)], version=10))
    >>> [row.key for row in history.list_since(8)]
    ['a']
    >>> history.list_since(9)
    []
    >>> history.list_since(6) is None
    True
    """

    def __init__(self, max_rows: int = MAX_ROWS) -> None:
        self._max_rows = max_rows
        self._rows: deque[StoreRow] = deque()
        self._complete_since = 0
        self.version: int | None = None

    def restart(self, version: int) -> None:
        """Discard all changes, after the whole table was read at a version."""
        self._rows.clear()
        self._complete_since = self.version = version

    def add(self, view: TableRows) -> None:
        """Add changes that follow the present version."""
        # Rows must be in order, since `list_since` stops at the first older one.
        self._rows.extend(sorted(view.rows, key=lambda row: row.version))
        while len(self._rows) > self._max_rows:
            self._complete_since = self._rows.popleft().version
        self.version = max(view.version, self.version or 0)

    def list_since(self, version: int) -> list[StoreRow] | None:
        """
        List the changes after a version.

        Parameters
        ----------
        version : int
            Version of the store.

        Returns
        -------
        list of StoreRow or None
            Changes in order; None if some of them are no longer kept.
        """
        if self.version is None or version < self._complete_since:
            return None
        newer = list(takewhile(lambda row: row.version > version, reversed(self._rows)))
        return newer[::-1]
