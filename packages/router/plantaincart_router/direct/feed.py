"""Following one table of the store."""

from abc import ABC, abstractmethod
from asyncio import sleep
from random import Random
from time import monotonic

from plantaincart_router.direct.store import (
    HistoryLostError,
    Store,
    StoreUnavailableError,
    TableView,
)
from plantaincart_router.log import write_event

__all__ = ["TableFeed", "TableSink"]

# First and longest pause in seconds between calls that fail.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8


class TableSink(ABC):
    """Takes over what a feed reads."""

    @abstractmethod
    def replace_table(self, table: str, view: TableView) -> None:
        """Take over a full read."""

    @abstractmethod
    def change_table(self, table: str, view: TableView) -> None:
        """Take over changes."""

    @abstractmethod
    def lose_store(self) -> None:
        """Note that the store doesn't answer."""

    @abstractmethod
    def regain_store(self) -> None:
        """Note that the store answers again."""

    @abstractmethod
    def choose_gather_s(self) -> float:
        """Choose the seconds from a change to the next call."""


class TableFeed:
    """
    Read a table in full, then its changes; in full again when history is lost.

    Parameters
    ----------
    store : Store
        Store to read.
    table : str
        Table to follow.
    sink : TableSink
        Takes over what is read.
    wait_s : float
        Seconds after which a call that finds no change ends.
    """

    def __init__(
        self, store: Store, table: str, sink: TableSink, wait_s: float
    ) -> None:
        self._wait_s = wait_s
        self._store = store
        self._table = table
        self._sink = sink
        self._random = Random()
        self._version: int | None = None
        self._away = False
        self._pause_s = FIRST_PAUSE_S
        self.answered_at = monotonic()

    async def follow(self) -> None:
        """Follow the table until cancelled."""
        while True:
            try:
                await self._step()
            except HistoryLostError:
                write_event("store_history_lost", table=self._table)
                self._version = None
            except StoreUnavailableError as error:
                await self._wait_out(error)

    async def _step(self) -> None:
        if self._version is None:
            view = await self._store.read(self._table)
            self._note_answer()
            self._sink.replace_table(self._table, view)
        else:
            # After an outage the first answer shows that the store is back, so it
            # must not wait for a change.
            wait_s = 0.0 if self._away else self._wait_s
            view = await self._store.watch(self._table, self._version, wait_s)
            self._note_answer()
            if view.rows:
                self._sink.change_table(self._table, view)
                # Changes come in groups; one call then brings several.
                await sleep(self._sink.choose_gather_s())
        self._version = max(view.version, self._version or 0)

    def _note_answer(self) -> None:
        self.answered_at = monotonic()
        self._pause_s = FIRST_PAUSE_S
        if self._away:
            self._away = False
            write_event("store_regained", table=self._table)
            self._sink.regain_store()

    async def _wait_out(self, error: StoreUnavailableError) -> None:
        if not self._away:
            self._away = True
            write_event("store_lost", table=self._table, error=str(error))
            self._sink.lose_store()
        await sleep(self._pause_s * (0.5 + self._random.random()))
        self._pause_s = min(LONGEST_PAUSE_S, self._pause_s * 2.0)
