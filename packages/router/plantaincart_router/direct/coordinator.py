"""The coordinator: the instance that assigns key ranges to upstreams for one term."""

from asyncio import Task, TimerHandle, create_task, get_running_loop, sleep
from collections.abc import Callable, Sequence
from functools import partial
from time import monotonic

from plantaincart_core.ownermap import KeyRange
from plantaincart_schema.generated.direct import (
    CoordinatorNotice,
    CoordinatorRow,
    MemberReport,
    OwnershipRow,
)

from plantaincart_router.direct.cutoff import CutOffWatch
from plantaincart_router.direct.feed import TableFeed
from plantaincart_router.direct.fleetsize import FleetSize
from plantaincart_router.direct.granter import Granter
from plantaincart_router.direct.interface import GrantCalls
from plantaincart_router.direct.longgrants import LongGrants
from plantaincart_router.direct.membership import Membership
from plantaincart_router.direct.noticewriter import NoticeWriter, make_change
from plantaincart_router.direct.ownershiptable import OwnershipTable
from plantaincart_router.direct.ownershipwriter import OwnershipWriter
from plantaincart_router.direct.placement import ServicePlacement
from plantaincart_router.direct.placements import Placements
from plantaincart_router.direct.previousterm import PreviousTerm
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.store import Store, StoreUnavailableError
from plantaincart_router.direct.term import Term
from plantaincart_router.direct.view import SystemView
from plantaincart_router.log import write_event

__all__ = ["SEQUENCE_BITS", "Coordinator"]

# A fencing token is one integer: the epoch, followed by a sequence number of this many
# bits.
SEQUENCE_BITS = 24
PLACEMENT_INTERVAL_S = 0.1
# Minimum time in seconds for which changes are batched before they are sent, and
# maximum number of notices per second that announce changes. A notice takes some 0.1 ms
# of processor time.
MIN_GATHER_S = 0.02
NOTICES_PER_S = 1500.0
# Upstreams that must have refused a renewal before a later coordinator is assumed. One
# may have got a token late that this coordinator had used for a move.
MIN_REFUSING_PROCESSES = 2


class Coordinator(OwnershipWriter):
    """
    One term of this instance as the coordinator.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the instance.
    view : SystemView
        State of the system as this instance knows it.
    store : Store
        Stores the term and the ownership of keys.
    calls : GrantCalls
        Grant and release calls to upstreams.
    term : CoordinatorRow
        Coordinator row that names this instance.
    version : int
        Version of that row.
    era : int
        Era of the store in which the row was written.
    claimed_at : float
        Boot time in seconds at which the call that wrote the row began.
    notify : callable
        Sends a notice to the member with a given name.
    feeds : sequence of TableFeed
        Feeds of the tables whose changes this instance relays to the members.
    previous_term : PreviousTerm
        Tells when the terms of earlier coordinators have ended.

    Attributes
    ----------
    ended : bool
        Whether the term has ended.

    Notes
    -----
    `Term` decides how long the term lasts. The previous coordinator may still send
    grants after the takeover. An upstream that doesn't answer a release is therefore
    taken to own its keys until the last of those grants has expired.

    A store that was restored may have lost the latest ownership rows. A coordinator
    whose term goes on writes them again before its next move. One that has just been
    elected doesn't know to whom its predecessor granted keys of a service without a row
    of the present era, so it grants none until all those grants have expired. It does
    the same if a row can't be decoded.
    """

    def __init__(
        self,
        settings: DirectSettings,
        view: SystemView,
        store: Store,
        calls: GrantCalls,
        term: CoordinatorRow,
        version: int,
        era: int,
        claimed_at: float,
        notify: Callable[[str, CoordinatorNotice], None],
        feeds: Sequence[TableFeed],
        previous_term: PreviousTerm,
    ) -> None:
        self._settings = settings
        self._times = settings.coordination
        self._view = view
        self._notify = notify
        self._feeds = feeds
        self._granter = Granter(
            calls,
            self._times,
            settings.bounds.max_hold_s,
            lambda: self._term.is_valid,
        )
        self._granter.on_refused = self._check_superseded
        self._long_grants = LongGrants(
            self._times, settings.bounds.max_hold_s, self._granter, previous_term
        )
        self._sequence = 0
        self._members = Membership(self._times)
        self._fleet_size = FleetSize(self._members, previous_term)
        self._placement_group = Placements(
            settings,
            view,
            self._members,
            self._granter,
            lambda service: ServicePlacement(
                service, settings, view, self._granter, self
            ),
        )
        self._fact_terms = [fact.open_term(self._members) for fact in view.facts]
        self._term = Term(
            self._times,
            store,
            term,
            version,
            era,
            claimed_at,
            self._members,
            previous_term.has_ended,
            self.end,
            self._handle_confirmed,
            self._handle_reclaimed,
            self._long_grants.may_be_valid,
        )
        self._cut_off_watch = CutOffWatch(
            self._times,
            self._term,
            self._granter,
            view.reachability,
            self._members,
            self._resign_without_upstreams,
        )
        self._previous_term = previous_term
        self._ownership_table = OwnershipTable(
            self._times,
            view,
            store,
            self._term,
            self._granter,
            self._previous_term,
            self._placements,
            self._placement_group.add,
            lambda: self._sequence,
            self.end,
        )
        self._notice_writer = NoticeWriter(
            settings,
            view,
            self._term,
            self._members,
            self._fleet_size,
            self._granter,
            self._placements,
            feeds,
            self._fact_terms,
        )
        self._tasks: list[Task[None]] = []
        self._flush_timer: TimerHandle | None = None
        self._is_stopping = False
        self.ended = False

    @property
    def epoch(self) -> int:
        """Epoch of the term."""
        return self._term.epoch

    @property
    def is_cut_off(self) -> bool:
        """Whether this instance reaches no upstream, or reached none at the end."""
        return self._granter.is_cut_off

    @property
    def has_resumed(self) -> bool:
        """Whether the owners that the previous coordinator stored are adopted."""
        return self._notice_writer.is_map_known

    @property
    def last_earlier_expiry(self) -> float:
        """Time in seconds by which all grants of the previous term have expired."""
        return self._previous_term.find_last_expiry()

    @property
    def _placements(self) -> dict[str, ServicePlacement]:
        return self._placement_group.by_service

    def start(self) -> None:
        """Start the tasks of the term."""
        write_event("term_started", epoch=self.epoch)
        for feed in self._feeds:
            feed.relays_changes = True
            feed.poll_now()
        self._tasks = [
            create_task(self._run_guarded("renew_term", self._term.renew)),
            create_task(self._run_guarded("place", self._run_placement)),
            create_task(self._run_guarded("renew", self._granter.renew)),
            create_task(self._run_guarded("watch_upstreams", self._cut_off_watch.run)),
        ]

    def end(self, reason: str) -> None:
        """End the term: cancel all moves and renewals, and make no more grants."""
        if self.ended:
            return
        self.ended = True
        self._term.close()
        write_event("term_ended", epoch=self.epoch, reason=reason)
        self._granter.enabled = False
        self._granter.cancel_renewals()
        self._placement_group.stop()
        for task in self._tasks:
            task.cancel()
        for feed in self._feeds:
            feed.relays_changes = False
        for name in self._members.list_names():
            self._notify(name, self._notice_writer.write(name, resigned=True))
        if self._flush_timer is not None:
            self._flush_timer.cancel()

    async def _resign_without_upstreams(self) -> bool:
        return await self.resign("no upstream is reachable", is_stopping=False)

    async def resign(self, reason: str = "planned", is_stopping: bool = True) -> bool:
        """
        Mark the coordinator row as vacant, and end the term.

        Parameters
        ----------
        reason : str
            Reason that is logged.
        is_stopping : bool
            Whether this instance will stop soon.

        Returns
        -------
        bool
            False if the term continues since the store is unreachable.
        """
        try:
            vacated = await self._term.vacate()
        except StoreUnavailableError as error:
            write_event("term_not_vacated", epoch=self.epoch, error=str(error))
            # The write may have taken effect although its answer was lost.
            await self._term.reread_row(str(error))
            if is_stopping and not self._is_stopping:
                self._is_stopping = True
                work = partial(self._long_grants.run, self._term)
                task = create_task(self._run_guarded("prolong_grants", work))
                self._tasks.append(task)
            return self.ended
        if vacated:
            self.end(reason)
        return self.ended

    def receive(self, report: MemberReport) -> None:
        """Process a member's report and answer it with a notice."""
        if self.ended:
            return
        if report.epoch > self.epoch:
            self.end("a member reports a later epoch")
            return
        member = self._members.record_report(report, monotonic())
        self._term.record_report(report)
        if report.heard_epoch == self.epoch:
            self._previous_term.record_left(
                report.member, report.earlier_silent_s, report.earlier_members
            )
        for upstream, born in report.leaving_upstreams.items():
            self._view.record_leaving(upstream, born)
        self._placement_group.record_report(report)
        now = monotonic()
        has_news = [term.record_report(member, now) for term in self._fact_terms]
        if any(has_news):
            self.announce()
        notice = self._notice_writer.write(report.member, answers_report=True)
        self._notify(report.member, notice)

    def next_fencing_token(self) -> int:
        """Return a fencing token that is higher than all previous ones."""
        self._sequence += 1
        return (self.epoch << SEQUENCE_BITS) + self._sequence

    async def write(
        self, service: str, describe: Callable[[int, int], OwnershipRow]
    ) -> None:
        """Write the row of a service; end the term if a later term wrote it."""
        await self._ownership_table.write(service, describe)

    def publish(
        self, service: str, key_range: KeyRange, free_in_s: float = 0.0
    ) -> None:
        """Announce a new owner to the members."""
        change = make_change(service, key_range, free_in_s)
        self._notice_writer.map_history.add([change])
        self.announce()

    def announce(self) -> None:
        """Schedule a notice of the latest changes to all members."""
        if self._flush_timer is None and not self.ended:
            gather_s = max(MIN_GATHER_S, len(self._members) / NOTICES_PER_S)
            self._flush_timer = get_running_loop().call_later(
                gather_s, self._send_changes
            )

    def _send_changes(self) -> None:
        self._flush_timer = None
        if self.ended:
            return
        for name in self._members.list_names():
            self._notify(name, self._notice_writer.write(name))

    async def _run_guarded(self, name: str, work) -> None:  # type: ignore[no-untyped-def]
        try:
            await work()
        except Exception as error:
            write_event("coordinator_task_failed", task=name, error=repr(error))
            self.end(f"task {name} failed")
            raise

    def _handle_confirmed(self) -> None:
        self._long_grants.end()
        self._fleet_size.record_confirmed()
        self._granter.refusing_processes.clear()

    def _check_superseded(self) -> None:
        """
        End the term in an outage if upstreams have tokens of a later coordinator.

        An instance that this one doesn't hear may reach the store and take over.
        """
        refusing = self._granter.refusing_processes
        if self._term.store_unreachable and len(refusing) >= MIN_REFUSING_PROCESSES:
            self.end("upstreams refuse renewals, as they have seen later tokens")

    def _handle_reclaimed(self) -> None:
        # Members reject changes of a map of an earlier epoch.
        self._notice_writer.map_history.invalidate_versions()
        self._ownership_table.unwritten = set(self._placements)
        self.announce()

    async def _run_placement(self) -> None:
        while not self.ended:
            try:
                if not self.has_resumed:
                    await self._resume()
                await self._place_once()
            except StoreUnavailableError as error:
                write_event("placement_waits", error=str(error))
            await sleep(PLACEMENT_INTERVAL_S)

    async def _resume(self) -> None:
        rows = await self._ownership_table.adopt_rows()
        for ownership in rows:
            self._placements[ownership.service].regrant_resumed()
        self._notice_writer.is_map_known = True
        self._notice_writer.map_history.invalidate_versions()
        write_event("placements_resumed", services=len(rows))

    async def _place_once(self) -> None:
        now = monotonic()
        self._members.remove_silent(now)
        for term in self._fact_terms:
            term.retain(self._members.list_names())
        self._placement_group.decay_loads(now)
        self._view.expire()
        await self._ownership_table.adopt_found_rows()
        await self._ownership_table.write_unwritten()
        routing_config = self._view.routing_config
        if routing_config is None or not self._view.upstreams_loaded:
            return
        displaced_upstreams, self._granter.displaced_upstreams = (
            self._granter.displaced_upstreams,
            [],
        )
        for record in displaced_upstreams:
            self._view.displace(record)
        for record in self._granter.pop_leaving():
            self._view.record_leaving(record.id, record.born)
        keyed = [item.name for item in routing_config.services.values() if item.keyed]
        await self._placement_group.step(keyed)
