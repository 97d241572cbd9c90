"""Change feed of one table, from the store or relayed by the coordinator."""

from abc import ABC, abstractmethod
from asyncio import Event, Timeout, get_running_loop, sleep, timeout
from collections.abc import Callable
from dataclasses import replace
from random import Random
from time import monotonic

from plantaincart_schema.generated.direct import ChangedRow, TableChange

from plantaincart_router.direct.noticecodec import pack_rows
from plantaincart_router.direct.settings import FeedSettings
from plantaincart_router.direct.store import (
    HistoryLostError,
    Store,
    StoreRow,
    StoreUnavailableError,
    TableRows,
)
from plantaincart_router.direct.tablehistory import TableHistory
from plantaincart_router.log import write_event

__all__ = ["TableFeed", "TableSink"]

# First and longest delay in seconds before a failed call is retried.
FIRST_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.8
# Seconds after which a call for changes may hang on a connection that has fallen silent
# in an outage. Other calls are answered within some milliseconds.
SILENT_CALL_S = 0.3
# Seconds after an unexpected error before the table is read again.
FAILURE_PAUSE_S = 1.0


class TableSink(ABC):
    """Receives the contents and changes of a table from a feed."""

    @abstractmethod
    def replace_table(self, table: str, view: TableRows, known_until: float) -> None:
        """
        Replace the contents of a table by a full read.

        Parameters
        ----------
        table : str
            Name of the table.
        view : TableRows
            All its rows.
        known_until : float
            Time in seconds up to which the previous contents were current. All
            differences were written after it.
        """

    @abstractmethod
    def change_table(self, table: str, view: TableRows, known_until: float) -> None:
        """
        Apply changes of a table.

        Parameters
        ----------
        table : str
            Name of the table.
        view : TableRows
            Rows that have changed.
        known_until : float
            Time in seconds up to which the previous contents were current.
        """

    @abstractmethod
    def handle_store_lost(self) -> None:
        """Handle the start of an outage of the store."""

    @abstractmethod
    def handle_store_regained(self) -> None:
        """Handle the end of an outage of the store."""

    @abstractmethod
    def choose_gather_s(self) -> float:
        """Choose the delay in seconds from a change to the next call."""


class TableFeed:
    """
    Reads a table in full, then follows its changes.

    The table is read in full again if the store no longer has the changes.

    Parameters
    ----------
    store : Store
        Store to read.
    table : str
        Table to follow.
    sink : TableSink
        Receives the contents and changes.
    settings : FeedSettings
        Intervals and timeouts.
    on_change : callable, optional
        Called after changes were passed to the sink.
    awaits_relay : bool
        Whether to wait for the whole table from the coordinator for some time after the
        start.

    Attributes
    ----------
    table : str
        Table that is followed.
    relays_changes : bool
        Whether this instance relays the changes to the others. It then always calls the
        store itself, and with short waits, so that a connection that has fallen silent
        is noticed soon.

    Notes
    -----
    While the coordinator relays the changes, other instances don't call the store. An
    instance that has missed changes, or has just started, gets the whole table, or
    reads it from the store itself if the coordinator doesn't send it. If the
    coordinator falls silent, each instance follows the store on its own again.

    A call waits for changes for seconds. If there is other evidence that there are
    changes, or that the store is reachable again, a call in progress is cancelled and
    repeated, since its connection may have fallen silent in the outage.

    A feed lasts as long as its process. If an answer can't be applied, for whatever
    reason, the table is read again in full.
    """

    def __init__(
        self,
        store: Store,
        table: str,
        sink: TableSink,
        settings: FeedSettings,
        on_change: Callable[[], None] | None = None,
        awaits_relay: bool = False,
    ) -> None:
        self._settings = settings
        self._store = store
        self._sink = sink
        self._on_change = on_change
        self._random = Random()
        self._history = TableHistory()
        self._rows: dict[str, StoreRow] = {}
        self._packed: tuple[int, bytes] = (-1, b"")
        self._awaits_relay = awaits_relay
        self._store_unreachable = False
        self._retry_delay_s = FIRST_RETRY_DELAY_S
        self._answered_at = float("-inf")
        self._known_until = float("-inf")
        self._relay_valid_until = float("-inf")
        self._relayed_version = 0
        self._wake_event = Event()
        self._call_timeout: Timeout | None = None
        self._call_started_at = 0.0
        self._poll_at_once = False
        self._has_failed = False
        self.table = table
        self.relays_changes = False

    @property
    def version(self) -> int | None:
        """Version of the store up to which changes were applied; None before a read."""
        return self._history.version

    def describe_since(
        self, version: int | None, may_send_table: bool = False
    ) -> TableChange | None:
        """
        Describe the changes after a version, for another instance.

        Parameters
        ----------
        version : int or None
            Version that the other instance has reached; None if it lacks the table.
        may_send_table : bool
            Whether to describe the whole table if the changes aren't enough.

        Returns
        -------
        TableChange or None
            None while the store is unreachable. If some of the changes are no longer
            kept, the result contains the whole table, or only the present version.
        """
        current_version = self._history.version
        if self._store_unreachable or current_version is None:
            return None
        change = TableChange(
            table=self.table,
            age_s=round(monotonic() - self._answered_at, 3),
            after=current_version,
            version=current_version,
        )
        rows = None if version is None else self._history.list_since(version)
        if rows is not None and version is not None:
            return replace(
                change,
                after=min(version, current_version),
                rows=[_pack_row(row) for row in rows],
            )
        if not may_send_table:
            return None if version is None else change
        return replace(
            change, complete=True, packed_rows=self._pack_table(current_version)
        )

    def _pack_table(self, version: int) -> bytes:
        if self._packed[0] != version:
            rows = [_pack_row(row) for row in self._rows.values()]
            self._packed = (version, pack_rows(rows))
        return self._packed[1]

    def apply_relayed_change(self, change: TableChange) -> None:
        """Apply changes, or the whole table, that the coordinator relays."""
        current_version = self._history.version
        if self.relays_changes or (current_version is None and not change.complete):
            return
        # Another instance to which this one relays the table must learn its age.
        self._answered_at = max(self._answered_at, monotonic() - change.age_s)
        settings = self._settings
        relay_valid_s = min(
            settings.relay_lasts_s, settings.relay_fresh_s - change.age_s
        )
        self._relay_valid_until = monotonic() + relay_valid_s
        if change.complete:
            self._apply_whole_table(change)
            return
        if current_version is None:
            return
        if change.after > current_version:
            write_event(
                "table_lags",
                table=self.table,
                version=current_version,
                relayed=change.version,
            )
            self._relayed_version = max(self._relayed_version, change.version)
            self._wake_event.set()
            self._renew_call()
            return
        if relay_valid_s > 0.0:
            self._record_answer()
        if change.version < current_version:
            return
        rows = [_unpack_row(row) for row in change.rows]
        known_until = monotonic() - change.age_s
        self._apply_changes(TableRows(rows=rows, version=change.version), known_until)

    def _apply_whole_table(self, change: TableChange) -> None:
        current_version = self._history.version
        if change.age_s < self._settings.relay_fresh_s:
            self._record_answer()
        if current_version is not None and change.version <= current_version:
            return
        rows = [_unpack_row(row) for row in change.rows]
        write_event(
            "table_relayed", table=self.table, version=change.version, rows=len(rows)
        )
        self._replace(
            TableRows(rows=rows, version=change.version), monotonic() - change.age_s
        )
        self._wake_event.set()
        self._renew_call()

    def handle_coordinator_outage(self) -> None:
        """
        Handle a notice that the store doesn't answer the coordinator.

        This instance calls the store itself once the relayed changes are too old. If it
        gets no answer either, it makes no further calls: `StoreProbe` finds out when
        the store answers again.
        """
        if self._store_unreachable:
            self._relay_valid_until = monotonic() + self._settings.relay_lasts_s

    def poll_now(self) -> None:
        """Call the store at once, even if the coordinator relays the changes."""
        self._relay_valid_until = float("-inf")
        self._awaits_relay = False
        self._wake_event.set()
        self._renew_call()

    async def follow(self) -> None:
        """Follow the table until cancelled."""
        if self._awaits_relay and self._history.version is None:
            await self._wait_for_wake(self._settings.first_read_s)
        while True:
            if self._is_relayed:
                await self._wait_for_wake(self._relay_valid_until - monotonic())
                continue
            try:
                await self._step()
            except HistoryLostError:
                write_event("store_history_lost", table=self.table)
                self._history = TableHistory()
            except StoreUnavailableError as error:
                await self._handle_outage(error)
            except Exception as error:
                self._handle_failure(error)
            if self._has_failed:
                self._has_failed = False
                await sleep(FAILURE_PAUSE_S)

    @property
    def _is_relayed(self) -> bool:
        current_version = self._history.version
        return (
            current_version is not None
            and not self.relays_changes
            and current_version >= self._relayed_version
            and monotonic() < self._relay_valid_until
        )

    async def _wait_for_wake(self, limit_s: float) -> None:
        self._wake_event.clear()
        try:
            async with timeout(max(0.0, limit_s)):
                await self._wake_event.wait()
        except TimeoutError:
            # The coordinator may have extended the time meanwhile; `follow` checks
            # that.
            return

    async def _step(self) -> None:
        current_version = self._history.version
        if current_version is None:
            started_at = monotonic()
            view = await self._store.read(self.table)
            self._answered_at = monotonic()
            self._record_answer()
            self._replace(view, started_at)
            return
        changed = await self._wait_for_changes(current_version)
        if changed is None:
            return
        self._answered_at = monotonic()
        self._record_answer()
        if self._apply_changes(changed, self._answered_at):
            # Changes come in groups, so a delay lets one call return several of them.
            gather_s = self._settings.gather_s
            await sleep(
                gather_s if self.relays_changes else self._sink.choose_gather_s()
            )

    def _replace(self, view: TableRows, known_until: float) -> None:
        self._history.restart(view.version)
        self._rows = {row.key: row for row in view.rows}
        previously_until, self._known_until = self._known_until, known_until
        self._apply(self._sink.replace_table, view, previously_until)

    async def _wait_for_changes(self, current_version: int) -> TableRows | None:
        """Wait for changes; return None if the call was cancelled."""
        wait_s = self._choose_wait_s(current_version)
        self._poll_at_once = False
        self._call_started_at = monotonic()
        try:
            async with timeout(None) as self._call_timeout:
                return await self._store.watch(self.table, current_version, wait_s)
        except TimeoutError:
            write_event("feed_call_renewed", table=self.table, version=current_version)
            self._poll_at_once = True
            return None
        finally:
            self._call_timeout = None

    def _renew_call(self) -> None:
        call_timeout = self._call_timeout
        if call_timeout is None or call_timeout.expired():
            return
        if monotonic() - self._call_started_at > SILENT_CALL_S:
            call_timeout.reschedule(get_running_loop().time())

    def _choose_wait_s(self, current_version: int) -> float:
        # The first call after an outage shows that the store is reachable again, and a
        # call for missed changes should return them. Neither must wait for a change.
        if (
            self._store_unreachable
            or self._poll_at_once
            or current_version < self._relayed_version
        ):
            return 0.0
        return (
            self._settings.lead_wait_s if self.relays_changes else self._settings.wait_s
        )

    def _apply_changes(self, view: TableRows, known_until: float) -> bool:
        """Apply the changes that are new; return whether there were any."""
        previously_until = self._known_until
        self._known_until = max(previously_until, known_until)
        current_version = self._history.version or 0
        rows = [
            replace(row, version=row.version or view.version)
            for row in view.rows
            if row.version > current_version or not row.version
        ]
        new_changes = TableRows(rows=rows, version=view.version)
        self._history.add(new_changes)
        for row in rows:
            if row.deleted:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row
        if rows:
            self._apply(self._sink.change_table, new_changes, previously_until)
        return bool(rows)

    def _apply(
        self,
        change: Callable[[str, TableRows, float], None],
        view: TableRows,
        known_until: float,
    ) -> None:
        """Pass rows to the sink; read the table again if it fails."""
        try:
            change(self.table, view, known_until)
            if self._on_change is not None:
                self._on_change()
        except Exception as error:
            self._handle_failure(error)

    def _handle_failure(self, error: Exception) -> None:
        write_event(
            "feed_failed",
            table=self.table,
            version=self._history.version,
            error=repr(error),
        )
        self._history = TableHistory()
        self._has_failed = True
        self._wake_event.set()

    def _record_answer(self) -> None:
        self._retry_delay_s = FIRST_RETRY_DELAY_S
        if self._store_unreachable:
            self._store_unreachable = False
            write_event("store_regained", table=self.table)
            self._sink.handle_store_regained()

    async def _handle_outage(self, error: StoreUnavailableError) -> None:
        if not self._store_unreachable:
            self._store_unreachable = True
            write_event("store_lost", table=self.table, error=str(error))
            self._sink.handle_store_lost()
        await sleep(self._retry_delay_s * (0.5 + self._random.random()))
        self._retry_delay_s = min(MAX_RETRY_DELAY_S, self._retry_delay_s * 2.0)


def _pack_row(row: StoreRow) -> ChangedRow:
    return ChangedRow(
        key=row.key, value=row.value, version=row.version, deleted=row.deleted
    )


def _unpack_row(row: ChangedRow) -> StoreRow:
    return StoreRow(
        key=row.key, value=row.value, version=row.version, deleted=row.deleted
    )
