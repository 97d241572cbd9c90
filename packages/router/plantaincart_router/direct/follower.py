"""Messages between an instance and the coordinator, and takeover of its term."""

from asyncio import Task, create_task, sleep
from collections.abc import Sequence
from random import Random
from time import monotonic
from typing import Any
from uuid import uuid4

from plantaincart_schema.codec import decode_msgpack, encode_changed
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.direct import (
    CoordinatorNotice,
    CoordinatorRow,
    MemberReport,
)
from zmq import DEALER, ROUTER, Context

from plantaincart_router.direct.clock import read_boot_time
from plantaincart_router.direct.coordinator import Coordinator
from plantaincart_router.direct.feed import TableFeed
from plantaincart_router.direct.hearing import Hearing
from plantaincart_router.direct.inquiry import (
    CoordinatorInquiry,
    answer_inquiry,
    make_term,
)
from plantaincart_router.direct.interface import Platform
from plantaincart_router.direct.membership import INTRODUCTION_S
from plantaincart_router.direct.messagecheck import check_notice, check_report
from plantaincart_router.direct.noticecodec import (
    open_notice,
    pack_notice,
    unpack_notice,
)
from plantaincart_router.direct.previousterm import PreviousTerm
from plantaincart_router.direct.probe import StoreProbe
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.store import StoreUnavailableError
from plantaincart_router.direct.termwatch import TermWatch
from plantaincart_router.direct.view import SystemView
from plantaincart_router.log import write_event
from plantaincart_router.socket import LoopSocket

__all__ = ["Follower"]

# Seconds between attempts to vacate the coordinator row while the store is unreachable.
RESIGN_RETRY_S = 0.4
# Seconds for which the store may take to tell the coordinator before others are asked,
# and intervals between reports from one question to the next.
INQUIRY_DELAY_S = 0.3
INQUIRY_REPORTS = 2
# Minimum interval in seconds between reports of requests that begin to wait.
MIN_REPORT_INTERVAL_S = 0.05
# Seconds after the end of a term without upstreams for which an instance is taken to be
# cut off from them.
CUT_OFF_MEMORY_S = 5.0
# Multiple of `weak_candidate_s` for which such a candidate waits for others. Those with
# the fewest resources write the row after twice that time and a random delay.
CUT_OFF_RELUCTANCE = 4.0


class Follower:
    """
    Reports to the coordinator, applies its notices, and replaces it when it is lost.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the instance.
    view : SystemView
        State of the system as this instance knows it.
    platform : Platform
        Store, and grant and release calls.

    Attributes
    ----------
    feeds : sequence of TableFeed
        Feeds of the tables that the coordinator relays; must be set before the start.
    coordinator : Coordinator or None
        Current term of this instance, if it is the coordinator.
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
        self._report_socket: LoopSocket | None = None
        self._notice_socket: LoopSocket | None = None
        self._inquired_at = float("-inf")
        self._peer_identities: dict[str, bytes] = {}
        self._term = TermWatch(self._times, platform.store)
        self._row_read_failed = False
        self._hearing = Hearing(self._times)
        self._coordinator_resigned = False
        self._resigned_epoch = 0
        self._cut_off_until = float("-inf")
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
        # The notice that answers the report names the relays.
        view.reachability.on_change = self._report
        # The notice that answers it brings permits.
        view.quotas.on_wait = self._report_soon
        self._reported_at = float("-inf")

    def start(self, loop) -> None:  # type: ignore[no-untyped-def]
        """Accept reports of other instances, and start to look for the coordinator."""
        self._loop = loop
        self._report_socket = LoopSocket(
            self._context, ROUTER, loop, self._receive_report
        )
        self._report_socket.bind(self._settings.host, self._settings.peer_port)
        self._inquiry = CoordinatorInquiry(self._context, loop, self._adopt_answer)
        self._task = create_task(self._run())

    def announce(self) -> None:
        """Send a change to the members soon, if this instance is the coordinator."""
        if self.coordinator is not None:
            self.coordinator.announce()

    async def withdraw(self) -> None:
        """End this instance's term, retrying until that succeeds; claim no other."""
        self._leaving = True
        while self.coordinator is not None and not self.coordinator.ended:
            if await self.coordinator.resign():
                return
            await sleep(RESIGN_RETRY_S)

    def close(self) -> None:
        """Stop all tasks and close the sockets."""
        if self._task is not None:
            self._task.cancel()
        self._probe.close()
        if self.coordinator is not None:
            self.coordinator.end("stopped")
        self._inquiry.close()
        for socket in (self._report_socket, self._notice_socket):
            if socket is not None:
                socket.close()
        self._context.destroy(0)

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
            except StoreUnavailableError as error:
                self._row_read_failed = True
                write_event("coordinator_row_unread", error=str(error))
                self._inquire()
            except Exception as error:
                write_event("follower_failed", error=repr(error))
            await sleep(self._times.report_s)

    async def _step(self) -> None:
        if self.coordinator is not None and self.coordinator.ended:
            if self.coordinator.is_cut_off:
                self._cut_off_until = monotonic() + CUT_OFF_MEMORY_S
            self.coordinator = None
            self._hearing.record_own_end()
            self._term.forget()
            self._coordinator_resigned = False
        self._report()
        if self._lacks_coordinator and not self._leaving:
            await self._find_or_replace_coordinator()

    def _is_coordinator_silent(self) -> bool:
        return monotonic() > self._hearing.silent_since

    async def _find_or_replace_coordinator(self) -> None:
        if monotonic() - self._term.read_at < self._choose_row_read_interval_s():
            return
        await self._read_row()
        row = self._term.row
        if self._term.may_claim(row is None or self._is_claimable(row)):
            await self._claim()

    def _choose_row_read_interval_s(self) -> float:
        """Choose by the resources, since the strongest instances claim the term."""
        times, shortage = self._times, self._settings.resources.shortage
        if self._term.row is None or self._coordinator_resigned:
            # The next term is claimed at once.
            return shortage * times.weak_candidate_s
        extra_s = shortage * times.weak_row_read_s * self._view.members
        return times.row_read_s + extra_s

    async def _read_row(self) -> None:
        timer = self._loop.call_later(INQUIRY_DELAY_S, self._inquire)
        try:
            view = await self._term.read()
        finally:
            timer.cancel()
        if self._row_read_failed:
            # Calls that were sent during the outage may never be answered.
            self._row_read_failed = False
            for feed in self.feeds:
                feed.poll_now()
        self._probe.record_answer(monotonic())
        previous_version, previously_read_at = self._term.version, self._term.read_at
        row = self._term.apply(view)
        if row is not None:
            self._connect(row)
        elif (
            previously_read_at > self._hearing.silent_since
            and self._term.version != previous_version
        ):
            self._reconnect()

    @property
    def _lacks_coordinator(self) -> bool:
        return self.coordinator is None and (
            self._term.row is None
            or self._coordinator_resigned
            or self._is_coordinator_silent()
        )

    @property
    def _known_epoch(self) -> int:
        return max(self._view.epoch, self._term.known_epoch, self._hearing.epoch)

    def _inquire(self) -> None:
        """Ask other instances for the coordinator, while the store doesn't tell."""
        interval_s = INQUIRY_REPORTS * self._times.report_s
        is_due = monotonic() - self._inquired_at >= interval_s
        peers = self._view.peer_fact.addresses
        if self._lacks_coordinator and not self._leaving and is_due and peers:
            self._inquired_at = monotonic()
            self._inquiry.ask(self._make_inquiry(), peers)

    def _make_inquiry(self) -> MemberReport:
        return MemberReport(
            member=self._settings.name,
            incarnation=self._incarnation,
            address=self._settings.peer_address,
            epoch=self._known_epoch,
            map_version=0,
            store_silent_s=-1.0,
            inquires=True,
        )

    def _answer_inquiry(self, identity: bytes, report: MemberReport) -> None:
        """Name a coordinator that acts, if its epoch is later than the one known."""
        term = None
        if self.coordinator is not None:
            if not self.coordinator.ended:
                address = self._settings.peer_address
                term = make_term(self._settings.name, address, self.coordinator.epoch)
        elif self._hearing.has_notice and not self._lacks_coordinator:
            # Its notices have come lately.
            term = self._term.row
        if term is not None and term.epoch > report.epoch and self._report_socket:
            self._report_socket.send([identity, *answer_inquiry(term)])

    def _adopt_answer(self, term: CoordinatorRow) -> None:
        """Follow a coordinator that another instance has named."""
        is_own = term.holder == self._settings.name
        if not self._lacks_coordinator or is_own or term.epoch <= self._known_epoch:
            return
        write_event("coordinator_told", holder=term.holder, epoch=term.epoch)
        self._term.adopt(term)
        self._inquiry.close()
        self._connect(term)

    async def _claim(self) -> None:
        await sleep(self._random.random() * self._times.candidate_s)
        if not await self._wait_for_better_candidates():
            return
        claimed_at = read_boot_time()
        replaced_row, renewed_at = self._term.row, self._term.changed_at
        silent_s, measured_at = self._term.measure_silence(), monotonic()
        row = await self._term.claim(
            self._settings.name, self._settings.peer_address, self._view.epoch
        )
        if row is None:
            return
        if silent_s is not None:
            silent_s += monotonic() - measured_at
        self._coordinator_resigned = False
        self._disconnect()
        self._hearing.leave_earlier(row.epoch)
        self.coordinator = Coordinator(
            self._settings,
            self._view,
            self._platform.store,
            self._platform.grants,
            row,
            self._term.version,
            self._term.era,
            claimed_at,
            self._notify,
            self.feeds,
            self._describe_previous_term(replaced_row, renewed_at, silent_s),
        )
        self.coordinator.start()
        self._report()

    def _describe_previous_term(
        self, row: CoordinatorRow | None, renewed_at: float, silent_s: float | None
    ) -> PreviousTerm:
        if row is None or not row.electors:
            # A coordinator of an earlier build acts in an outage although its row
            # doesn't change, and names no electors who would know it.
            renewed_at = max(renewed_at, self._hearing.outage_notice_at)
        previous_term = PreviousTerm(
            self._times,
            row,
            renewed_at,
            self._estimate_previous_grant_duration_s(),
            self._settings.bounds.max_hold_s,
            silent_s,
            self._term.is_restored(row),
        )
        previous_term.record_left(
            self._settings.name,
            self._hearing.measure_earlier_silence(),
            self._hearing.earlier_members,
        )
        return previous_term

    async def _wait_for_better_candidates(self) -> bool:
        """
        Wait for candidates that reach upstreams or have more resources.

        Returns
        -------
        bool
            Whether this instance should claim the term, since none of them has.
        """
        reluctance = self._settings.resources.shortage
        if self._is_cut_off():
            reluctance += CUT_OFF_RELUCTANCE
        seen_version = self._term.version
        remaining_s = reluctance * self._times.weak_candidate_s
        while remaining_s > 0.0 and self._term.version == seen_version:
            delay_s = min(remaining_s, self._times.weak_candidate_s)
            remaining_s -= delay_s
            await sleep(delay_s)
            await self._read_row()
        return self._term.version == seen_version and not self._leaving

    def _is_cut_off(self) -> bool:
        """Whether this instance reaches no upstream."""
        if self.coordinator is not None and self.coordinator.is_cut_off:
            return True
        is_cut_off = self._view.reachability.is_cut_off
        return is_cut_off or monotonic() < self._cut_off_until

    def _is_claimable(self, row: CoordinatorRow) -> bool:
        """Whether the term named by a row has certainly ended."""
        resigned = row.epoch == self._resigned_epoch
        return row.vacant or resigned or self._is_own_earlier(row)

    def _is_own_earlier(self, row: CoordinatorRow) -> bool:
        """
        Whether a term belongs to an earlier process of this instance.

        Such a term has ended, since an instance runs one process at a time.
        """
        return self.coordinator is None and row.holder == self._settings.name

    def _estimate_previous_grant_duration_s(self) -> float:
        """Return the longest grant duration of the previous coordinator."""
        normal_s = min(self._times.hold_s, self._settings.bounds.max_hold_s)
        if self._hearing.may_have_long_grants():
            return self._settings.bounds.max_hold_s
        return normal_s

    def _connect(self, row: CoordinatorRow) -> None:
        self._disconnect()
        self._hearing.leave_earlier(row.epoch)
        write_event("coordinator_known", holder=row.holder, epoch=row.epoch)
        if self._is_own_earlier(row):
            return
        host, _, port = row.address.rpartition(":")
        self._notice_socket = LoopSocket(
            self._context, DEALER, self._loop, self._receive_notice
        )
        self._notice_socket.connect(host, int(port))
        self._hearing.connected_at = monotonic()
        self._coordinator_resigned = False
        self._report()

    def _reconnect(self) -> None:
        """Replace a silent connection to a coordinator that renews its row."""
        row = self._term.row
        if row is not None and not row.vacant and self._lacks_coordinator:
            write_event("coordinator_unheard", holder=row.holder, epoch=row.epoch)
            self._connect(row)

    def _disconnect(self) -> None:
        if self._notice_socket is not None:
            self._notice_socket.close()
            self._notice_socket = None

    def _report(self) -> None:
        settings, view = self._settings, self._view
        if self.coordinator is None and self._notice_socket is None:
            return
        now = self._reported_at = monotonic()
        view.relay_fact.is_cut_off = self._is_cut_off()
        fields: dict[str, Any] = {}
        for fact in view.facts:
            fields |= fact.describe(now, self._is_newly_connected())
        report = MemberReport(
            member=settings.name,
            incarnation=self._incarnation,
            address=settings.peer_address,
            epoch=view.epoch,
            map_version=view.map_version,
            store_silent_s=self._probe.measure_silence(),
            heard_epoch=self._hearing.epoch,
            heard_at=self._hearing.sent_at,
            earlier_silent_s=self._hearing.measure_earlier_silence(),
            earlier_members=self._hearing.earlier_members,
            leaving=self._leaving,
            loads=view.key_demand.pop_loads(),
            refusing=view.key_demand.pop_refused(),
            tables={
                feed.table: feed.version
                for feed in self.feeds
                if feed.version is not None
            },
            leaving_upstreams=view.list_leaving(),
            backed_off=view.backoffs.list_long(view.directory, now),
            **fields,
        )
        if self.coordinator is not None:
            self.coordinator.receive(report)
        elif self._notice_socket is not None:
            self._notice_socket.send([encode_changed(report)])

    def _report_soon(self) -> None:
        """Report now, unless the last report has only just been sent."""
        if monotonic() - self._reported_at > MIN_REPORT_INTERVAL_S:
            self._report()

    def _is_newly_connected(self) -> bool:
        """Whether the coordinator may lack what earlier ones were told."""
        return monotonic() - self._hearing.connected_at < INTRODUCTION_S

    def _handle_store_doubt(self, doubt: bool) -> None:
        """Test whether this instance reaches the store if the coordinator doesn't."""
        if not doubt:
            self._probe.reset()
            return
        for feed in self.feeds:
            feed.handle_coordinator_outage()
        self._probe.start()

    def _handle_store_reached(self) -> None:
        """Act on an answer of the store while the coordinator gets none."""
        for feed in self.feeds:
            feed.poll_now()
        # The report makes the coordinator end its term without further delay.
        self._report()

    def _receive_report(self, frames: list[bytes]) -> None:
        try:
            report = decode_msgpack(frames[-1], MemberReport)
            check_report(report)
        except MalformedMessageError as error:
            write_event("report_unreadable", error=str(error))
            return
        if report.inquires:
            self._answer_inquiry(frames[0], report)
            return
        self._peer_identities[report.member] = frames[0]
        if self.coordinator is not None:
            self.coordinator.receive(report)

    def _notify(self, member: str, notice: CoordinatorNotice) -> None:
        if member == self._settings.name:
            self._view.apply_notice(open_notice(notice))
            return
        identity = self._peer_identities.get(member)
        if identity is not None and self._report_socket is not None:
            self._report_socket.send([identity, *pack_notice(notice)])

    def _receive_notice(self, frames: list[bytes]) -> None:
        try:
            notice = unpack_notice(frames)
            check_notice(notice)
        except MalformedMessageError as error:
            write_event("notice_unreadable", error=str(error))
            return
        if self._term.row is None or notice.epoch < self._term.known_epoch:
            return
        if notice.doubt:
            self._hearing.outage_notice_at = monotonic()
        if notice.resigned:
            self._coordinator_resigned = True
            self._resigned_epoch = notice.epoch
            self._term.defer_read()
            return
        self._hearing.record_notice(notice)
        self._handle_store_doubt(notice.doubt)
        self._view.defer_removals(notice.removals_wait_s)
        self._apply_table_changes(notice)
        self._view.apply_notice(notice)

    def _apply_table_changes(self, notice: CoordinatorNotice) -> None:
        feeds = {feed.table: feed for feed in self.feeds}
        for change in notice.tables:
            feed = feeds.get(change.table)
            if feed is not None:
                feed.apply_relayed_change(change)
