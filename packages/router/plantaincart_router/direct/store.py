"""The store that keeps what must outlast the instances."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from plantaincart_router.exception import RouterError

__all__ = [
    "HistoryLostError",
    "Store",
    "StoreConflictError",
    "StoreRow",
    "StoreUnavailableError",
    "TableView",
]


class StoreUnavailableError(RouterError):
    """
    The store gave no usable answer.

    Parameters
    ----------
    detail : str
        What was seen.
    may_have_happened : bool
        Whether a write may have taken effect or still will.
    """

    def __init__(self, detail: str, may_have_happened: bool = True) -> None:
        super().__init__(detail)
        self.may_have_happened = may_have_happened


class StoreConflictError(RouterError):
    """A condition of a write doesn't hold; nothing was written."""


class HistoryLostError(RouterError):
    """The store no longer knows the changes since the version asked for."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreRow:
    """
    A row as read or as changed.

    Parameters
    ----------
    key : str
        Key within its table.
    value : bytes
        Content; empty for a deleted row.
    version : int
        Version of the row; 0 where there is none.
    deleted : bool
        Whether the row was deleted.
    """

    key: str
    value: bytes = b""
    version: int = 0
    deleted: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class TableView:
    """
    Rows of a table, or changes of it, up to a version.

    Parameters
    ----------
    rows : sequence of StoreRow
        Rows in order.
    version : int
        Version of the store that they show.
    """

    rows: Sequence[StoreRow]
    version: int


class Store(ABC):
    """
    Tables of versioned rows with conditional writes and a feed of changes.

    Notes
    -----
    Every method raises `StoreUnavailableError` where no usable answer came.
    """

    @abstractmethod
    async def read(self, table: str) -> TableView:
        """Read all rows of a table as of one moment."""

    @abstractmethod
    async def watch(self, table: str, after: int, wait_s: float) -> TableView:
        """
        Wait for changes of a table.

        Parameters
        ----------
        table : str
            Name of the table.
        after : int
            Version after which changes are wanted.
        wait_s : float
            Seconds after which an empty view is returned.

        Raises
        ------
        HistoryLostError
            If changes since then are no longer known.
        """

    @abstractmethod
    async def write(self, table: str, row: StoreRow) -> int:
        """
        Write a row if its version is still that of `row`; 0 for a new row.

        Parameters
        ----------
        table : str
            Name of the table.
        row : StoreRow
            Key, content and the version that the row must have.

        Returns
        -------
        int
            Version of the row written.

        Raises
        ------
        StoreConflictError
            If the row has another version.
        """

    @abstractmethod
    async def delete(self, table: str, key: str) -> None:
        """Delete a row, whatever its version."""

    def close(self) -> None:  # noqa: B027
        """Release connections."""
