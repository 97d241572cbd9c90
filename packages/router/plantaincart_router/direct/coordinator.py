"""The coordinator: the instance that assigns key ranges to upstreams for one term."""

from asyncio import Lock, Task, TimerHandle, create_task, get_running_loop, sleep
from collections.abc import Callable, Sequence
from time import monotonic
from typing import Any

from plantaincart_core.era import is_epoch_of_era
from plantaincart_core.ownermap import KeyRange
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.direct import (
    CoordinatorNotice,
    CoordinatorRow,
    MapChange,
    MemberReport,
    OwnershipRow,
    TableChange,
)

from plantaincart_router.direct.cutoff import CutOffWatch
from plantaincart_router.direct.feed import TableFeed
from plantaincart_router.direct.granter import Granter
from plantaincart_router.direct.interface import GrantCalls
from plantaincart_router.direct.maphistory import MapHistory
from plantaincart_router.direct.membership import Member, Membership
from plantaincart_router.direct.noticecodec import pack_changes
from plantaincart_router.direct.ownershiprow import (
    decode_ownership,
    encode_ownership,
)
from plantaincart_router.direct.ownershipwriter import OwnershipWriter
from plantaincart_router.direct.placement import ServicePlacement
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.sharedfact import NoticeScope
from plantaincart_router.direct.store import (
    Store,
    StoreConflictError,
    StoreRow,
    StoreUnavailableError,
    TableRows,
)
from plantaincart_router.direct.term import Term
from plantaincart_router.direct.termrow import list_later_eras
from plantaincart_router.direct.view import SystemView
from plantaincart_router.log import write_event

__all__ = ["OWNERSHIP_TABLE", "Coordinator"]

OWNERSHIP_TABLE = "ownership"

# A fencing token is one integer: the epoch, followed by a sequence number of this many
# bits.
SEQUENCE_BITS = 24
PLACEMENT_INTERVAL_S = 0.1
# Seconds between two reads of the owners while the previous coordinator moves keys.
REREAD_INTERVAL_S = 0.02
# The half-life of an exponential mean is its time constant times ln 2.
LN_2 = 0.69
# Minimum time in seconds for which changes are batched before they are sent, and
# maximum number of notices per second that announce changes. A notice takes some 0.1 ms
# of processor time.
MIN_GATHER_S = 0.02
NOTICES_PER_S = 1500.0
# Share of the members that an upstream must have asked for a long pause before its keys
# move. Below it, callers that are refused reach other instances on a retry.
MIN_BACKED_OFF_SHARE = 0.5
# Seconds for which the encoded whole map is reused. It contains the seconds until
# unowned keys are free, so it becomes outdated even if no owner changes.
WHOLE_MAP_CACHE_S = 0.1
# Upstreams that must have refused a renewal before a later coordinator is assumed. One
# may have got a token late that this coordinator had used for a move.
MIN_REFUSING_PROCESSES = 2
# Minimum time in seconds between two new grants of a key range whose owner answers that
# it doesn't own the keys.
MIN_REGRANT_INTERVAL_S = 1.0


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
    previous_renewed_at : float
        Latest time in seconds at which the previous coordinator can have renewed its
        term.
    previous_grant_duration_s : float
        Grant duration that the previous coordinator may have used.

    Attributes
    ----------
    ended : bool
        Whether the term has ended.

    Notes
    -----
    `Term` decides how long the term lasts. The previous coordinator may still send
    grants for `confirmed_s` after the takeover. An upstream that doesn't answer a
    release is therefore taken to own its keys until the last of those grants has
    expired.

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
        previous_renewed_at: float,
        previous_grant_duration_s: float,
    ) -> None:
        self._settings = settings
        self._times = settings.coordination
        self._view = view
        self._store = store
        self._notify = notify
        self._feeds = feeds
        self._granter = Granter(
            calls,
            self._times,
            settings.bounds.max_hold_s,
            lambda: self._term.is_valid,
        )
        self._granter.on_refused = self._check_superseded
        self._normal_grant_duration_s = self._granter.grant_duration_s
        self._placements: dict[str, ServicePlacement] = {}
        self._row_versions: dict[str, int] = {}
        self._write_lock = Lock()
        self._sequence = 0
        self._map_history = MapHistory()
        self._members = Membership(self._times)
        self._fact_terms = [fact.open_term(self._members) for fact in view.facts]
        self._term = Term(
            self._times,
            store,
            term,
            version,
            era,
            claimed_at,
            self._members,
            self.end,
            self._handle_confirmed,
            self._handle_reclaimed,
        )
        self._cut_off_watch = CutOffWatch(
            self._times,
            self._term,
            self._granter,
            view.reachability,
            self._members,
            self._resign_without_upstreams,
        )
        self._regranted_at: dict[tuple[str, int], float] = {}
        self._cached_map = (-1, float("-inf"), b"")
        self._resumed = False
        self._unwritten: set[str] = set()
        # Services whose row was read and then written, or was first written, in this
        # term; and rows of others that were found since.
        self._adopted: set[str] = set()
        self._unadopted_rows: dict[str, OwnershipRow] = {}
        self._tasks: list[Task[None]] = []
        self._flush_timer: TimerHandle | None = None
        self._decayed_at = monotonic()
        self._previous_renewed_at = previous_renewed_at
        self._previous_grant_duration_s = previous_grant_duration_s
        self.ended = False

    @property
    def epoch(self) -> int:
        """Epoch of the term."""
        return self._term.epoch

    @property
    def is_cut_off(self) -> bool:
        """Whether this instance reaches no upstream, or reached none at the end."""
        return self._granter.is_cut_off

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
        for placement in self._placements.values():
            placement.stop()
        for task in self._tasks:
            task.cancel()
        for feed in self._feeds:
            feed.relays_changes = False
        for name in self._members.list_names():
            self._notify(name, self._make_notice(name, resigned=True))
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
            if is_stopping and self._term.is_store_lost_for_all:
                # No other instance can take over during the outage, so grants must stay
                # valid for as long as possible after this instance has stopped.
                self._granter.grant_duration_s = self._settings.bounds.max_hold_s
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
        for upstream, born in report.leaving_upstreams.items():
            self._view.record_leaving(upstream, born)
        self._process_loads(report)
        now = monotonic()
        has_news = [term.record_report(member, now) for term in self._fact_terms]
        if any(has_news):
            self.announce()
        notice = self._make_notice(report.member, answers_report=True)
        self._notify(report.member, notice)

    def next_fencing_token(self) -> int:
        """Return a fencing token that is higher than all previous ones."""
        self._sequence += 1
        return (self.epoch << SEQUENCE_BITS) + self._sequence

    async def write(
        self, service: str, describe: Callable[[int, int], OwnershipRow]
    ) -> None:
        """Write the row of a service; end the term if a later term wrote it."""
        async with self._write_lock:
            try:
                await self._write_row(service, describe(self.epoch, self._sequence))
            except StoreConflictError:
                await self._resolve_conflict(service)
                await self._write_row(service, describe(self.epoch, self._sequence))

    def publish(
        self, service: str, key_range: KeyRange, free_in_s: float = 0.0
    ) -> None:
        """Announce a new owner to the members."""
        self._map_history.add([_make_change(service, key_range, free_in_s)])
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
            self._notify(name, self._make_notice(name))

    async def _run_guarded(self, name: str, work) -> None:  # type: ignore[no-untyped-def]
        try:
            await work()
        except Exception as error:
            write_event("coordinator_task_failed", task=name, error=repr(error))
            self.end(f"task {name} failed")
            raise

    def _handle_confirmed(self) -> None:
        self._granter.grant_duration_s = self._normal_grant_duration_s
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
        self._map_history.invalidate_versions()
        self._unwritten = set(self._placements)
        self.announce()

    async def _write_row(self, service: str, row: OwnershipRow) -> None:
        version = self._row_versions.get(service, 0)
        stored = StoreRow(key=service, value=encode_ownership(row), version=version)
        self._row_versions[service] = await self._store.write(
            OWNERSHIP_TABLE, stored, absent=list_later_eras(self._term.era)
        )
        self._unwritten.discard(service)
        self._adopted.add(service)

    async def _resolve_conflict(self, service: str) -> None:
        """Find the version that the row of a service has now."""
        view = await self._read_ownership_table()
        row = next((row for row in view.rows if row.key == service), None)
        self._row_versions[service] = 0 if row is None else row.version
        ownership = None if row is None else self._decode_row(row)
        if ownership is None:
            return
        write_event(
            "ownership_row_conflict",
            service=service,
            epoch=self.epoch,
            sequence=self._sequence,
            found_epoch=ownership.epoch,
            found_sequence=ownership.sequence,
        )
        if service not in self._adopted and ownership.epoch != self.epoch:
            # The previous coordinator granted keys after this one had read the rows.
            self._unadopted_rows[service] = ownership
            raise StoreUnavailableError(
                "row of an earlier term found", may_have_taken_effect=False
            )

    async def _read_ownership_table(self) -> TableRows:
        """Read the table, unless the store was restored since the term was claimed."""
        view = await self._store.read(OWNERSHIP_TABLE)
        if view.era > self._term.era:
            raise StoreUnavailableError(
                f"the store was restored, era {view.era}", may_have_taken_effect=False
            )
        return view

    def _decode_row(self, row: StoreRow) -> OwnershipRow | None:
        """Decode an ownership row; end the term if a later term wrote it."""
        ownership = _read_ownership(row)
        if ownership is not None and ownership.epoch > self.epoch:
            self.end("a later epoch wrote the ownership row")
            raise StoreUnavailableError("term ended", may_have_taken_effect=False)
        return ownership

    async def _run_placement(self) -> None:
        while not self.ended:
            try:
                if not self._resumed:
                    await self._resume()
                await self._place_once()
            except StoreUnavailableError as error:
                write_event("placement_waits", error=str(error))
            await sleep(PLACEMENT_INTERVAL_S)

    async def _resume(self) -> None:
        rows = await self._adopt_rows()
        for ownership in rows:
            self._placements[ownership.service].regrant_resumed()
        self._resumed = True
        self._map_history.invalidate_versions()
        write_event("placements_resumed", services=len(rows))

    async def _adopt_rows(self) -> list[OwnershipRow]:
        """Adopt the stored owners, in the state in which this term has written them."""
        while True:
            view = await self._read_ownership_table()
            self._row_versions = {row.key: row.version for row in view.rows}
            decoded = [self._decode_row(row) for row in view.rows]
            rows = [ownership for ownership in decoded if ownership is not None]
            await self._wait_for_unknown_grants(rows, None not in decoded)
            try:
                for ownership in rows:
                    await self._adopt_row(ownership)
            except StoreConflictError as error:
                # The previous coordinator has moved keys since the rows were read.
                write_event("ownership_rows_reread", epoch=self.epoch, error=str(error))
                await sleep(REREAD_INTERVAL_S)
                continue
            return rows

    async def _adopt_found_rows(self) -> None:
        """Adopt rows of the previous coordinator that were found after the takeover."""
        for service in list(self._unadopted_rows):
            try:
                await self._adopt_row(self._unadopted_rows[service])
            except StoreConflictError:
                await self._resolve_conflict(service)
                continue
            del self._unadopted_rows[service]
            self._placements[service].regrant_resumed()

    async def _adopt_row(self, ownership: OwnershipRow) -> None:
        """
        Adopt the owners of one service, and write them under this epoch.

        The new version makes later writes of the previous coordinator fail.
        """
        placement = self._add_placement(ownership.service)
        placement.resume(ownership)
        self._extend_grant_expiries(ownership)
        async with self._write_lock:
            row = placement.describe_row(self.epoch, self._sequence)
            await self._write_row(ownership.service, row)

    async def _wait_for_unknown_grants(
        self, rows: Sequence[OwnershipRow], all_readable: bool
    ) -> None:
        """Wait until grants that the rows don't show have expired."""
        era = self._term.era
        wait_s = self._last_grant_expiry() - monotonic()
        is_complete = all_readable and (era == 0 or self._covers_all_services(rows))
        if is_complete or wait_s <= 0.0:
            return
        write_event("unknown_grants_awaited", era=era, wait_s=round(wait_s, 2))
        await sleep(wait_s)

    def _covers_all_services(self, rows: Sequence[OwnershipRow]) -> bool:
        """Whether each keyed service has a row that was written in the present era."""
        routing_config = self._view.routing_config
        if routing_config is None:
            return False
        keyed = {name for name, item in routing_config.services.items() if item.keyed}
        written = {
            row.service for row in rows if is_epoch_of_era(row.epoch, self._term.era)
        }
        return keyed <= written

    def _last_grant_expiry(self) -> float:
        """Return the time by which all grants of the previous term have expired."""
        times = self._times
        expires_at = (
            self._previous_renewed_at + times.confirmed_s + times.call_timeout_s
        )
        expires_at += self._previous_grant_duration_s * (1.0 + times.clock_drift)
        return expires_at + times.hold_margin_s

    def _extend_grant_expiries(self, row: OwnershipRow) -> None:
        expires_at = self._last_grant_expiry()
        for key_range in row.ranges:
            self._granter.extend_grant_expiry(
                key_range.owner, key_range.born, expires_at
            )
            if key_range.previous:
                self._granter.extend_grant_expiry(
                    key_range.previous, key_range.previous_born, expires_at
                )

    def _add_placement(self, service: str) -> ServicePlacement:
        placement = ServicePlacement(
            service, self._settings, self._view, self._granter, self
        )
        self._placements[service] = placement
        return placement

    async def _place_once(self) -> None:
        now = monotonic()
        self._members.remove_silent(now)
        for term in self._fact_terms:
            term.retain(self._members.list_names())
        self._decay(now)
        self._view.expire()
        await self._adopt_found_rows()
        for service in sorted(self._unwritten):
            await self.write(service, self._placements[service].describe_row)
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
        unrenewed, self._granter.unrenewed = self._granter.unrenewed, []
        backed_off = self._list_backed_off()
        for policy in routing_config.services.values():
            if not policy.keyed:
                continue
            placement = self._placements.get(policy.name)
            if placement is None:
                placement = self._add_placement(policy.name)
            placement.regrant(unrenewed)
            await placement.step(backed_off)

    def _list_backed_off(self) -> set[str]:
        """List the upstreams that so many members must leave alone that keys move."""
        limit = len(self._members) * MIN_BACKED_OFF_SHARE
        counts = self._members.count_backoffs()
        return {name for name, count in counts.items() if count >= limit}

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._decayed_at
        self._decayed_at = now
        factor = 0.5 ** (elapsed_s / (self._times.load_memory_s * LN_2))
        for placement in self._placements.values():
            placement.decay_load(factor)

    def _process_loads(self, report: MemberReport) -> None:
        for load in report.loads:
            placement = self._placements.get(load.service)
            if placement is not None:
                work_s = [work / 1000.0 for work in load.work_ms]
                placement.add_load(load.keys, work_s)
        now = monotonic()
        for refused in report.refusing:
            placement = self._placements.get(refused.service)
            if placement is None:
                continue
            key_range = placement.owners.find(refused.key)
            name = (refused.service, key_range.first)
            was_recent = (
                now - self._regranted_at.get(name, 0.0) < MIN_REGRANT_INTERVAL_S
            )
            if key_range.fence == refused.fence and not was_recent:
                self._regranted_at[name] = now
                self._granter.unrenewed.append(key_range)

    def _make_notice(
        self, name: str, answers_report: bool = False, resigned: bool = False
    ) -> CoordinatorNotice:
        member = self._members.get(name)
        changes: list[MapChange] | None = []
        tables: list[TableChange] = []
        fields: dict[str, Any] = {}
        if member is not None:
            scope = NoticeScope(
                member=member,
                now=monotonic(),
                answers_report=answers_report,
                resigned=resigned,
            )
            for term in self._fact_terms:
                fields |= term.describe(scope)
            if self._resumed:
                changes = self._map_history.list_since(
                    member.find_map_version(self.epoch)
                )
            tables = self._list_table_changes(member)
            member.record_map_sent(self._map_history.version, changes is None)
        return CoordinatorNotice(
            coordinator=self._term.holder,
            epoch=self.epoch,
            members=len(self._members),
            rank=self._members.find_rank(name),
            map_version=self._map_history.version,
            complete=changes is None,
            resigned=resigned,
            hold_s=self._granter.grant_duration_s,
            doubt=self._term.store_unreachable,
            changes=changes or [],
            packed_changes=self._pack_map() if changes is None else None,
            tables=tables,
            removals_wait_s=self._view.directory.removal_delay_s(monotonic()),
            **fields,
        )

    def _list_table_changes(self, member: Member) -> list[TableChange]:
        """Describe the table changes that the member doesn't have yet."""
        changes: list[TableChange] = []
        if self._term.store_unreachable:
            # The feeds notice an outage later than the term, and would report the
            # tables as up to date until then.
            return changes
        # Whole tables of a large fleet would fill a slow link for seconds.
        may_send_table = self._settings.resources.shortage == 0.0
        for feed in self._feeds:
            version = member.find_table_version(feed.table)
            change = feed.describe_since(version, may_send_table)
            if change is not None:
                changes.append(change)
        member.record_tables_sent({change.table: change.version for change in changes})
        return changes

    def _pack_map(self) -> bytes:
        """Return the encoded whole map; encode it if the cached one is outdated."""
        now = monotonic()
        version, packed_at, packed = self._cached_map
        if version != self._map_history.version or now - packed_at > WHOLE_MAP_CACHE_S:
            packed = pack_changes(self._list_map_entries())
            self._cached_map = (self._map_history.version, now, packed)
        return packed

    def _list_map_entries(self) -> list[MapChange]:
        return [
            _make_change(service, key_range, free_in_s)
            for service, placement in self._placements.items()
            for key_range, free_in_s in placement.describe_map()
        ]


def _read_ownership(row: StoreRow) -> OwnershipRow | None:
    try:
        return decode_ownership(row.value)
    except MalformedMessageError as error:
        write_event("ownership_row_unreadable", key=row.key, error=str(error))
        return None


def _make_change(service: str, key_range: KeyRange, free_in_s: float) -> MapChange:
    return MapChange(
        service=service,
        first=key_range.first,
        last=key_range.last,
        owner=key_range.owner,
        born=key_range.born,
        fence=key_range.fence,
        free_in_s=round(free_in_s, 2),
    )
