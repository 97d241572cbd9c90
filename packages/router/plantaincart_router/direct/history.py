"""The latest changes of a table, kept for instances that follow it at second hand."""

from collections import deque
from itertools import takewhile

from plantaincart_router.direct.store import StoreRow, TableView

__all__ = ["TableHistory"]

# Changes kept; an instance that lags more reads the store itself.
KEPT_ROWS = 2000


class TableHistory:
    """
    Changes of a table in order, from some version on.

    Parameters
    ----------
    kept : int
        Changes kept.

    Attributes
    ----------
    version : int or None
        Version of the store up to which the changes are known; None before the table
        was read.

    Examples
    --------
    >>> history = TableHistory()
    >>> history.restart(7)
    >>> history.add(TableView(rows=[StoreRow(key="a", version=9)], version=10))
    >>> [row.key for row in history.list_since(8)]
    ['a']
    >>> history.list_since(9)
    []
    >>> history.list_since(6) is None
    True
    """

    def __init__(self, kept: int = KEPT_ROWS) -> None:
        self._kept = kept
        self._rows: deque[StoreRow] = deque()
        self._known_since = 0
        self.version: int | None = None

    def restart(self, version: int) -> None:
        """Begin anew after the whole table was read."""
        self._rows.clear()
        self._known_since = self.version = version

    def add(self, view: TableView) -> None:
        """Add the changes that follow those known."""
        # `list_since` stops at the first row that is old enough.
        self._rows.extend(sorted(view.rows, key=lambda row: row.version))
        while len(self._rows) > self._kept:
            self._known_since = self._rows.popleft().version
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
            Changes in order; None if some of them aren't known.
        """
        if self.version is None or version < self._known_since:
            return None
        later = list(takewhile(lambda row: row.version > version, reversed(self._rows)))
        return later[::-1]
