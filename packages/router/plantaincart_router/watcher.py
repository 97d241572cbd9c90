"""Periodic reads of the table rows that an instance depends on."""

from asyncio import sleep
from collections.abc import Callable, Iterable, Mapping
from time import monotonic

from plantaincart_schema.generated.platform import Row
from plantaincart_schema.generated.settings import LeaseSettings

from plantaincart_router.exception import PlatformRefusedError, PlatformUnavailableError
from plantaincart_router.log import write_event
from plantaincart_router.platform.table import Table

__all__ = ["TableView", "TableWatcher"]


class TableView:
    """
    Rows as of one successful read.

    Parameters
    ----------
    rows : mapping
        Rows that exist, by key.
    sent_at, received_at : float
        Times in seconds of the loop's clock before and after the read.
    """

    def __init__(
        self, rows: Mapping[str, Row], sent_at: float, received_at: float
    ) -> None:
        self.rows = rows
        self.sent_at = sent_at
        self.received_at = received_at


class TableWatcher:
    """
    Read a set of rows at an interval and call observers with them.

    Parameters
    ----------
    table : Table
        Platform table.
    settings : LeaseSettings
        Interval of the reads and lease duration.
    list_keys : callable
        Returns the keys to read.

    Notes
    -----
    All rows come from one read, so a view is consistent. The table counts as reachable
    if a read sent within the last half of the lease duration succeeded.
    """

    def __init__(
        self,
        table: Table,
        settings: LeaseSettings,
        list_keys: Callable[[], Iterable[str]],
    ) -> None:
        self._table = table
        self._settings = settings
        self._list_keys = list_keys
        self._observers: list[Callable[[TableView], None]] = []
        self._failure_observers: list[Callable[[float], None]] = []
        self._last_success = float("-inf")
        self._was_reachable = False

    def add_observers(
        self, observer: Callable[[TableView], None], failed: Callable[[float], None]
    ) -> None:
        """Call `observer` with each view and `failed` with the time of each failure."""
        self._observers.append(observer)
        self._failure_observers.append(failed)

    def is_reachable(self, now: float) -> bool:
        """Return whether a recent read succeeded."""
        return now - self._last_success < self._settings.ttl_s / 2

    async def run(self) -> None:
        """Read at the interval until cancelled."""
        while True:
            started = monotonic()
            await self.read_once()
            self._report_change(monotonic())
            elapsed_s = monotonic() - started
            await sleep(max(0.0, self._settings.poll_s - elapsed_s))

    async def read_once(self) -> bool:
        """Read the rows once, call the observers and return whether it succeeded."""
        sent_at = monotonic()
        try:
            rows = await self._table.read(list(self._list_keys()))
        except (PlatformUnavailableError, PlatformRefusedError):
            for failed in self._failure_observers:
                failed(monotonic())
            return False
        self._last_success = sent_at
        view = TableView(rows, sent_at, monotonic())
        for observer in self._observers:
            observer(view)
        return True

    def _report_change(self, now: float) -> None:
        reachable = self.is_reachable(now)
        if reachable != self._was_reachable:
            self._was_reachable = reachable
            write_event("table_reachable" if reachable else "table_unreachable")
