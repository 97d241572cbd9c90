"""Following one table of the store, directly or through the coordinator."""

from abc import ABC, abstractmethod
from asyncio import Event, Timeout, get_running_loop, sleep, timeout
from collections.abc import Callable
from dataclasses import replace
from random import Random
from time import monotonic

from plantaincart_schema.generated.direct import ChangedRow, TableChange

from plantaincart_router.direct.history import TableHistory
from plantaincart_router.direct.settings import FeedSettings
from plantaincart_router.direct.store import (
    HistoryLostError,
    Store,
    StoreRow,
    StoreUnavailableError,
    TableView,
)
from plantaincart_router.log import write_event

__all__ = ["TableFeed", "TableSink"]

# First and longest pause in seconds between calls that fail.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8
# Seconds after which a call that waits for changes may hang on a connection that an
# outage has made silent; the store answers others within some ms.
DOUBTFUL_S = 0.3


class TableSink(ABC):
    """Takes over what a feed reads."""

    @abstractmethod
    def replace_table(self, table: str, view: TableView, since: float) -> None:
        """
        Take over a full read.

        Parameters
        ----------
        table : str
            Name of the table.
        view : TableView
            All its rows.
        since : float
            Time in seconds up to which the table was known before; what is new in it
            was written after that.
        """

    @abstractmethod
    def change_table(self, table: str, view: TableView, since: float) -> None:
        """
        Take over changes.

        Parameters
        ----------
        table : str
            Name of the table.
        view : TableView
            Rows that have changed.
        since : float
            Time in seconds up to which the table was known before.
        """

    @abstractmethod
    def handle_store_lost(self) -> None:
        """Note that the store doesn't answer."""

    @abstractmethod
    def handle_store_regained(self) -> None:
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
    settings : FeedSettings
        Times.
    note_change : callable, optional
        Called after changes were taken over.

    Attributes
    ----------
    table : str
        Table that is followed.
    relays_changes : bool
        Whether others follow the table through this instance. It then asks the store
        without regard to what it is told, and at short intervals, so that a
        connection that has gone silent is noticed soon.

    Notes
    -----
    While the coordinator passes the changes on, the store isn't asked: one reader
    serves all instances. One that misses changes asks for them itself, and when the
    coordinator falls silent each instance follows the store on its own again.

    A call waits for changes for seconds. When something else shows that there are
    changes, or that the store is back, one that is under way is given up and made anew,
    since its connection may have gone silent in the outage.
    """

    def __init__(
        self,
        store: Store,
        table: str,
        sink: TableSink,
        settings: FeedSettings,
        note_change: Callable[[], None] | None = None,
    ) -> None:
        self._settings = settings
        self._store = store
        self._sink = sink
        self._note_change = note_change
        self._random = Random()
        self._history = TableHistory()
        self._away = False
        self._pause_s = FIRST_PAUSE_S
        self._answered_at = float("-inf")
        self._known_until = float("-inf")
        self._relay_until = float("-inf")
        self._relayed_version = 0
        self._woken = Event()
        self._waiting: Timeout | None = None
        self._waiting_since = 0.0
        self._hurries = False
        self.table = table
        self.relays_changes = False

    @property
    def version(self) -> int | None:
        """Version of the store that was taken over; None before the first read."""
        return self._history.version

    def describe_since(self, version: int) -> TableChange | None:
        """
        Describe the changes after a version, for another instance.

        Parameters
        ----------
        version : int
            Version that the other has reached.

        Returns
        -------
        TableChange or None
            None while the store doesn't answer. If changes are missing, the other is
            told only how far it lags.
        """
        known = self._history.version
        if self._away or known is None:
            return None
        rows = self._history.list_since(version)
        return TableChange(
            table=self.table,
            age_s=round(monotonic() - self._answered_at, 3),
            after=known if rows is None else min(version, known),
            version=known,
            rows=[_pack_row(row) for row in rows or ()],
        )

    def apply_relayed_change(self, change: TableChange) -> None:
        """Take over what the coordinator passes on."""
        known = self._history.version
        if known is None or self.relays_changes:
            return
        settings = self._settings
        lasts_s = min(settings.relay_lasts_s, settings.relay_fresh_s - change.age_s)
        self._relay_until = monotonic() + lasts_s
        if change.after > known:
            write_event(
                "table_lags", table=self.table, version=known, relayed=change.version
            )
            self._relayed_version = max(self._relayed_version, change.version)
            self._woken.set()
            self._renew_call()
            return
        if lasts_s > 0.0:
            self._record_answer()
        if change.version < known:
            return
        rows = [_unpack_row(row) for row in change.rows]
        known_until = monotonic() - change.age_s
        self._adopt(TableView(rows=rows, version=change.version), known_until)

    def handle_coordinator_outage(self) -> None:
        """
        Take over that the store doesn't answer the coordinator.

        This instance asks for itself then, and if it gets no answer either, it
        leaves it to the instances whose turn it is to find out when there is one.
        """
        if self._away:
            self._relay_until = monotonic() + self._settings.relay_lasts_s
        else:
            self.poll_now()

    def poll_now(self) -> None:
        """Ask the store, whatever the coordinator has said."""
        self._relay_until = float("-inf")
        self._woken.set()
        self._renew_call()

    async def follow(self) -> None:
        """Follow the table until cancelled."""
        while True:
            if self._is_relayed:
                await self._wait_relayed()
                continue
            try:
                await self._step()
            except HistoryLostError:
                write_event("store_history_lost", table=self.table)
                self._history = TableHistory()
            except StoreUnavailableError as error:
                await self._wait_out(error)

    @property
    def _is_relayed(self) -> bool:
        known = self._history.version
        return (
            known is not None
            and not self.relays_changes
            and known >= self._relayed_version
            and monotonic() < self._relay_until
        )

    async def _wait_relayed(self) -> None:
        self._woken.clear()
        try:
            async with timeout(max(0.0, self._relay_until - monotonic())):
                await self._woken.wait()
        except TimeoutError:
            # The coordinator may have spoken meanwhile; the caller looks.
            return

    async def _step(self) -> None:
        known = self._history.version
        if known is None:
            began = monotonic()
            view = await self._store.read(self.table)
            self._answered_at = monotonic()
            self._record_answer()
            self._history.restart(view.version)
            self._sink.replace_table(self.table, view, self._known_until)
            self._known_until = began
            self._announce()
            return
        changed = await self._watch(known)
        if changed is None:
            return
        self._answered_at = monotonic()
        self._record_answer()
        if self._adopt(changed, self._answered_at):
            # Changes come in groups; one call then brings several.
            few = self._settings.gather_s
            await sleep(few if self.relays_changes else self._sink.choose_gather_s())

    async def _watch(self, known: int) -> TableView | None:
        """Wait for changes; return None if the call was given up."""
        wait_s = self._choose_wait_s(known)
        self._hurries = False
        self._waiting_since = monotonic()
        try:
            async with timeout(None) as self._waiting:
                return await self._store.watch(self.table, known, wait_s)
        except TimeoutError:
            write_event("feed_call_renewed", table=self.table, version=known)
            self._hurries = True
            return None
        finally:
            self._waiting = None

    def _renew_call(self) -> None:
        waiting = self._waiting
        if waiting is None or waiting.expired():
            return
        if monotonic() - self._waiting_since > DOUBTFUL_S:
            waiting.reschedule(get_running_loop().time())

    def _choose_wait_s(self, known: int) -> float:
        # After an outage the first answer shows that the store is back, and one that
        # lags wants to know what there is: neither must wait for a change.
        if self._away or self._hurries or known < self._relayed_version:
            return 0.0
        return (
            self._settings.lead_wait_s if self.relays_changes else self._settings.wait_s
        )

    def _adopt(self, view: TableView, known_until: float) -> bool:
        """Take over the changes that aren't known yet; say whether there were any."""
        since = self._known_until
        self._known_until = max(since, known_until)
        known = self._history.version or 0
        rows = [
            replace(row, version=row.version or view.version)
            for row in view.rows
            if row.version > known or not row.version
        ]
        fresh = TableView(rows=rows, version=view.version)
        self._history.add(fresh)
        if rows:
            self._sink.change_table(self.table, fresh, since)
            self._announce()
        return bool(rows)

    def _announce(self) -> None:
        if self._note_change is not None:
            self._note_change()

    def _record_answer(self) -> None:
        self._pause_s = FIRST_PAUSE_S
        if self._away:
            self._away = False
            write_event("store_regained", table=self.table)
            self._sink.handle_store_regained()

    async def _wait_out(self, error: StoreUnavailableError) -> None:
        if not self._away:
            self._away = True
            write_event("store_lost", table=self.table, error=str(error))
            self._sink.handle_store_lost()
        await sleep(self._pause_s * (0.5 + self._random.random()))
        self._pause_s = min(LONGEST_PAUSE_S, self._pause_s * 2.0)


def _pack_row(row: StoreRow) -> ChangedRow:
    return ChangedRow(
        key=row.key, value=row.value, version=row.version, deleted=row.deleted
    )


def _unpack_row(row: ChangedRow) -> StoreRow:
    return StoreRow(
        key=row.key, value=row.value, version=row.version, deleted=row.deleted
    )
