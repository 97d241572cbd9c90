"""An instance's tie to the coordinator, and its candidacy when that is lost."""

from asyncio import Task, create_task, sleep
from collections.abc import Sequence
from random import Random
from time import monotonic
from uuid import uuid4

from plantaincart_schema.codec import decode_packed, encode_packed
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.direct import (
    CoordinatorNotice,
    CoordinatorRow,
    MemberReport,
)
from zmq import DEALER, ROUTER, Context

from plantaincart_router.direct.coordinator import Coordinator
from plantaincart_router.direct.feed import TableFeed
from plantaincart_router.direct.interface import Platform
from plantaincart_router.direct.noticecodec import (
    open_notice,
    pack_notice,
    unpack_notice,
)
from plantaincart_router.direct.probe import StoreProbe
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.store import (
    StoreConflictError,
    StoreUnavailableError,
)
from plantaincart_router.direct.termrow import (
    COORDINATOR_TABLE,
    find_term,
    make_term_row,
)
from plantaincart_router.direct.view import SystemView
from plantaincart_router.log import write_event
from plantaincart_router.socket import LoopSocket

__all__ = ["Follower"]

# Seconds between reads of the term's row while the coordinator is suspected.
SUSPECT_READ_S = 0.4
# Seconds between attempts to give the role up while the store doesn't answer.
LEAVE_RETRY_S = 0.4
# Seconds for which it counts that a coordinator made grants that last long.
LONG_HOLD_LASTS_S = 40.0


class Follower:
    """
    Report to the coordinator, take over its map, and replace it when it is lost.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the instance.
    view : SystemView
        What is known of the system.
    platform : Platform
        Store and calls.

    Attributes
    ----------
    feeds : sequence of TableFeed
        Tables that are followed through the coordinator; set before the start.
    coordinator : Coordinator or None
        This instance's own term, if it has one.
    """

    def __init__(
        self, settings: DirectSettings, view: SystemView, platform: Platform
    ) -> None:
        self._settings = settings
        self._times = settings.coordination
        self._view = view
        self._platform = platform
        self._random = Random()
        self._incarnation = uuid4().hex[:12]
        self._context: Context = Context()  # type: ignore[type-arg]
        self._router: LoopSocket | None = None
        self._dealer: LoopSocket | None = None
        self._peers: dict[str, bytes] = {}
        self._row: CoordinatorRow | None = None
        self._row_version = 0
        self._row_changed_at = monotonic()
        self._row_read_at = 0.0
        self._row_unread = False
        self._last_notice_at = 0.0
        self._connected_at = 0.0
        self._resigned = False
        self._resigned_epoch = 0
        self._long_hold_at = float("-inf")
        self._probe = StoreProbe(
            self._times,
            platform.store,
            lambda: view.members,
            self._handle_store_reached,
        )
        self._leaving = False
        self._task: Task[None] | None = None
        self.coordinator: Coordinator | None = None
        self.feeds: Sequence[TableFeed] = ()

    def start(self, loop) -> None:  # type: ignore[no-untyped-def]
        """Listen for other instances and look for the coordinator."""
        self._loop = loop
        self._router = LoopSocket(self._context, ROUTER, loop, self._receive_report)
        self._router.bind(self._settings.host, self._settings.peer_port)
        self._task = create_task(self._run())

    def announce(self) -> None:
        """Tell others soon of a change, if this instance is the coordinator."""
        if self.coordinator is not None:
            self.coordinator.announce()

    async def leave(self) -> None:
        """Give the role up, however often that takes, and take part no more."""
        self._leaving = True
        while self.coordinator is not None and not self.coordinator.ended:
            if await self.coordinator.resign():
                return
            await sleep(LEAVE_RETRY_S)

    def close(self) -> None:
        """Release sockets."""
        if self._task is not None:
            self._task.cancel()
        self._probe.close()
        if self.coordinator is not None:
            self.coordinator.end("stopped")
        for socket in (self._router, self._dealer):
            if socket is not None:
                socket.close()
        self._context.destroy(0)

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
            except StoreUnavailableError as error:
                self._row_unread = True
                write_event("coordinator_row_unread", error=str(error))
            except Exception as error:
                write_event("follower_failed", error=repr(error))
            await sleep(self._times.report_s)

    async def _step(self) -> None:
        if self.coordinator is not None and self.coordinator.ended:
            self.coordinator = None
            self._row = None
            self._resigned = False
        self._report()
        if self.coordinator is not None or self._leaving:
            return
        if self._row is None or self._resigned or self._is_silent():
            await self._look_for_coordinator()

    def _is_silent(self) -> bool:
        since = max(self._last_notice_at, self._connected_at)
        return monotonic() - since > self._times.silent_s

    async def _look_for_coordinator(self) -> None:
        now = monotonic()
        read_lately = now - self._row_read_at < SUSPECT_READ_S
        if read_lately and self._row is not None and not self._resigned:
            return
        await self._read_row()
        row = self._row
        if row is not None and not self._is_free(row):
            unchanged_s = monotonic() - self._row_changed_at
            if unchanged_s < self._times.unchanged_s:
                return
        await self._claim()

    async def _read_row(self) -> None:
        view = await self._platform.store.read(COORDINATOR_TABLE)
        now = monotonic()
        if self._row_unread:
            # The store is back; calls made in the outage may never be answered.
            self._row_unread = False
            for feed in self.feeds:
                feed.poll_now()
        gap_s = now - self._row_read_at
        self._row_read_at = now
        self._probe.record_answer(now)
        found = find_term(view)
        if found is None:
            self._row, self._row_version = None, 0
            return
        row, version = found
        if version != self._row_version or gap_s > self._times.unchanged_s * 2:
            self._row_changed_at = now
        old, self._row, self._row_version = self._row, row, version
        if row.vacant:
            return
        if old is None or (old.holder, old.epoch) != (row.holder, row.epoch):
            self._connect(row)

    async def _claim(self) -> None:
        await sleep(self._random.random() * self._times.candidate_s)
        weakness = self._settings.resources.weakness
        if weakness > 0.0:
            known = self._row_version
            await sleep(weakness * self._times.weak_candidate_s)
            await self._read_row()
            if self._row_version != known:
                return
        old = self._row
        epoch = max(self._view.epoch, old.epoch if old else 0) + 1
        row = CoordinatorRow(
            holder=self._settings.name,
            address=f"{self._settings.host}:{self._settings.peer_port}",
            epoch=epoch,
            beat=0,
            vacant=False,
        )
        stored = make_term_row(row, self._row_version)
        try:
            version = await self._platform.store.write(COORDINATOR_TABLE, stored)
        except StoreConflictError:
            self._row_read_at = 0.0
            return
        self._row, self._row_version, self._resigned = row, version, False
        self._disconnect()
        self.coordinator = Coordinator(
            self._settings,
            self._view,
            self._platform.store,
            self._platform.grants,
            row,
            version,
            self._notify,
            self.feeds,
            previous_renewed_at=self._row_changed_at,
            previous_grant_duration_s=self._guess_earlier_hold(),
        )
        self.coordinator.start()
        self._report()

    def _is_free(self, row: CoordinatorRow) -> bool:
        """Whether the term of a row has surely ended, although it stands there."""
        resigned = row.epoch == self._resigned_epoch
        return row.vacant or resigned or self._is_own(row)

    def _is_own(self, row: CoordinatorRow) -> bool:
        """
        Whether a term is that of an earlier process of this instance.

        It has ended then, since an instance runs one process at a time.
        """
        return self.coordinator is None and row.holder == self._settings.name

    def _guess_earlier_hold(self) -> float:
        """Return for how long the earlier coordinator may have granted keys."""
        usual_s = min(self._times.hold_s, self._settings.bounds.max_hold_s)
        if monotonic() - self._long_hold_at < LONG_HOLD_LASTS_S:
            return self._settings.bounds.max_hold_s
        return usual_s

    def _connect(self, row: CoordinatorRow) -> None:
        self._disconnect()
        write_event("coordinator_known", holder=row.holder, epoch=row.epoch)
        if self._is_own(row):
            return
        host, _, port = row.address.rpartition(":")
        self._dealer = LoopSocket(
            self._context, DEALER, self._loop, self._receive_notice
        )
        self._dealer.connect(host, int(port))
        self._connected_at = monotonic()
        self._resigned = False
        self._report()

    def _disconnect(self) -> None:
        if self._dealer is not None:
            self._dealer.close()
            self._dealer = None

    def _report(self) -> None:
        settings, view = self._settings, self._view
        if self.coordinator is None and self._dealer is None:
            return
        report = MemberReport(
            member=settings.name,
            incarnation=self._incarnation,
            address=f"{settings.host}:{settings.peer_port}",
            epoch=view.epoch,
            map_version=view.map_version,
            store_silent_s=self._probe.measure_silence(),
            leaving=self._leaving,
            loads=view.pop_key_loads(),
            in_flight=view.loads.list_in_flight(),
            slowness=view.loads.take_ratios(),
            refusing=view.pop_refused_keys(),
            tables={
                feed.table: feed.version
                for feed in self.feeds
                if feed.version is not None
            },
        )
        if self.coordinator is not None:
            self.coordinator.receive(report)
        elif self._dealer is not None:
            self._dealer.send([encode_packed(report)])

    def _take_doubt(self, doubt: bool) -> None:
        """Try the store while the coordinator gets no answer from it."""
        if not doubt:
            self._probe.end()
            return
        for feed in self.feeds:
            feed.handle_coordinator_outage()
        self._probe.begin()

    def _handle_store_reached(self) -> None:
        """Act on an answer that the coordinator doesn't get."""
        for feed in self.feeds:
            feed.poll_now()
        # The coordinator gives up when it hears of this, and need not wait.
        self._report()

    def _receive_report(self, frames: list[bytes]) -> None:
        try:
            report = decode_packed(frames[-1], MemberReport)
        except MalformedMessageError as error:
            write_event("report_unreadable", error=str(error))
            return
        self._peers[report.member] = frames[0]
        if self.coordinator is not None:
            self.coordinator.receive(report)

    def _notify(self, member: str, notice: CoordinatorNotice) -> None:
        if member == self._settings.name:
            self._view.apply_notice(open_notice(notice))
            return
        peer = self._peers.get(member)
        if peer is not None and self._router is not None:
            self._router.send([peer, *pack_notice(notice)])

    def _receive_notice(self, frames: list[bytes]) -> None:
        try:
            notice = unpack_notice(frames)
        except MalformedMessageError as error:
            write_event("notice_unreadable", error=str(error))
            return
        if self._row is None or notice.epoch < self._row.epoch:
            return
        if notice.resigned:
            self._resigned = True
            self._resigned_epoch = notice.epoch
            for feed in self.feeds:
                feed.poll_now()
            return
        self._last_notice_at = monotonic()
        self._take_doubt(notice.doubt)
        if notice.hold_s > self._times.hold_s:
            self._long_hold_at = self._last_notice_at
        self._view.defer_removals(notice.removals_wait_s)
        self._take_tables(notice)
        self._view.apply_notice(notice)

    def _take_tables(self, notice: CoordinatorNotice) -> None:
        feeds = {feed.table: feed for feed in self.feeds}
        for change in notice.tables:
            feed = feeds.get(change.table)
            if feed is not None:
                feed.apply_relayed_change(change)
