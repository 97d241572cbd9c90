"""Interface of the platform's transactional store."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from plantaincart_core.era import split_version

from plantaincart_router.exception import RouterError

__all__ = [
    "HistoryLostError",
    "Store",
    "StoreClock",
    "StoreConflictError",
    "StoreRow",
    "StoreUnavailableError",
    "TableRows",
]


class StoreUnavailableError(RouterError):
    """
    The store gave no valid answer.

    Parameters
    ----------
    detail : str
        Description of the failure.
    may_have_taken_effect : bool
        Whether a write may have taken effect, or may do so later.
    """

    def __init__(self, detail: str, may_have_taken_effect: bool = True) -> None:
        super().__init__(detail)
        self.may_have_taken_effect = may_have_taken_effect


class StoreConflictError(RouterError):
    """A condition of a write wasn't met; nothing was written."""


class HistoryLostError(RouterError):
    """The store no longer has all changes since the requested version."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreRow:
    """
    A row, or the change of a row.

    Parameters
    ----------
    key : str
        Key within its table.
    value : bytes
        Content; empty for a deleted row.
    version : int
        Version of the row, made by `plantaincart_core.era.join_version`; 0 if it
        doesn't exist.
    deleted : bool
        Whether the row was deleted.
    """

    key: str
    value: bytes = b""
    version: int = 0
    deleted: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class TableRows:
    """
    Rows or changes of a table up to a version of the store.

    Parameters
    ----------
    rows : sequence of StoreRow
        Rows, or changes in order.
    version : int
        Version of the store up to which the rows are current.
    clock_s : float or None
        Steady clock of the store in seconds when it answered; None if it names none.
    """

    rows: Sequence[StoreRow]
    version: int
    clock_s: float | None = None

    @property
    def era(self) -> int:
        """Era of the store, which rises whenever it is restored from a copy."""
        return split_version(self.version)[0]


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreClock:
    """
    Steady clock of the store, as an answer named it.

    Parameters
    ----------
    clock_s : float
        The clock in seconds.
    told_at : float
        Boot time in seconds at which the answer came.
    """

    clock_s: float
    told_at: float


class Store(ABC):
    """
    Tables of versioned rows with conditional writes and a change feed.

    Attributes
    ----------
    era : int
        Highest era that the store has stated in an answer; 0 if it states none.
    clock : StoreClock or None
        Clock in the latest answer that named one.

    Notes
    -----
    Every method raises `StoreUnavailableError` if the store gave no valid answer.

    A store that is restored from a copy loses the latest writes and hands out their
    versions again. Versions contain the era, so those of an earlier era are lower than
    all later ones, and conditions on them aren't met.
    """

    era: int = 0
    clock: StoreClock | None = None

    @abstractmethod
    async def read(self, table: str) -> TableRows:
        """Read a consistent snapshot of all rows of a table."""

    @abstractmethod
    async def watch(self, table: str, after: int, wait_s: float) -> TableRows:
        """
        Wait for changes of a table.

        Parameters
        ----------
        table : str
            Name of the table.
        after : int
            Version after which changes are returned.
        wait_s : float
            Seconds after which an empty result is returned.

        Raises
        ------
        HistoryLostError
            If the store no longer has all changes since that version, or was restored
            since.
        """

    @abstractmethod
    async def write(
        self,
        table: str,
        row: StoreRow,
        also: Sequence[StoreRow] = (),
        absent: Sequence[tuple[str, str]] = (),
    ) -> int:
        """
        Write a row if its stored version equals that of `row`; 0 for a new row.

        Parameters
        ----------
        table : str
            Name of the table.
        row : StoreRow
            Key, new content, and the version that the stored row must have.
        also : sequence of StoreRow
            Further rows of the table, written in the same transaction under the same
            kind of condition.
        absent : sequence of (str, str)
            Tables and keys of rows that must not exist.

        Returns
        -------
        int
            New version of the row.

        Raises
        ------
        StoreConflictError
            If a condition isn't met, or the store was restored since the version was
            read. In the second case the row may have been written in the new era.
        """

    @abstractmethod
    async def delete(self, table: str, key: str) -> None:
        """Delete a row regardless of its version."""

    def close(self) -> None:  # noqa: B027
        """Close all connections."""
