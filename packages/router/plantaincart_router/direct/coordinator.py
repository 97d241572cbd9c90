"""The one instance that places keys: its term, its members and its map."""

from asyncio import Lock, Task, TimerHandle, create_task, get_running_loop, sleep
from collections.abc import Callable, Sequence
from time import monotonic

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

from plantaincart_router.direct.feed import TableFeed
from plantaincart_router.direct.granter import Granter
from plantaincart_router.direct.interface import GrantCalls
from plantaincart_router.direct.ledger import OwnershipLedger
from plantaincart_router.direct.maphistory import MapHistory
from plantaincart_router.direct.membership import Member, Membership
from plantaincart_router.direct.noticecodec import pack_changes
from plantaincart_router.direct.ownershiprow import (
    decode_ownership,
    encode_ownership,
)
from plantaincart_router.direct.placement import ServicePlacement
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.slowness import SlownessBook
from plantaincart_router.direct.store import (
    Store,
    StoreConflictError,
    StoreRow,
    StoreUnavailableError,
)
from plantaincart_router.direct.term import Term
from plantaincart_router.direct.view import SystemView
from plantaincart_router.log import write_event

__all__ = ["OWNERSHIP_TABLE", "Coordinator"]

OWNERSHIP_TABLE = "ownership"

# Fencing tokens are the epoch and a sequence number in one integer.
SEQUENCE_BITS = 24
STEP_S = 0.1
# A mean over a time constant halves in the constant times this.
LN_2 = 0.69
# Least time in seconds for which changes are gathered before they are sent, and notices
# of changes a second; each takes some 0.1 ms of processor time.
GATHER_S = 0.02
NOTICES_PER_S = 1500.0
# Seconds for which a whole map is sent as it was encoded, since it tells in how many
# seconds keys are free, and for which the comparison of upstreams holds.
WHOLE_MAP_LASTS_S = 0.1
SLOWNESS_LASTS_S = 0.5
# Seconds between two new grants of keys that their owner says it doesn't hold.
REGRANT_PAUSE_S = 1.0


class Coordinator(OwnershipLedger):
    """
    A term as coordinator.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the instance.
    view : SystemView
        What is known of the system.
    store : Store
        Keeps the term and the decisions.
    calls : GrantCalls
        Calls to upstreams.
    term : CoordinatorRow
        The row that names this instance.
    version : int
        Version of that row.
    notify : callable
        Sends a notice to the member of a name.
    feeds : sequence of TableFeed
        Tables that the members follow through this instance.
    idle_since : float
        Time in seconds before which the earlier coordinator last renewed its term.
    earlier_hold_s : float
        Seconds for which the earlier coordinator may have granted keys.

    Attributes
    ----------
    ended : bool
        Whether the term is over.

    Notes
    -----
    How long the term lasts is decided by `Term`. An earlier coordinator may still send
    grants for `confirmed_s` after the takeover; upstreams that don't answer a release
    count as holding their keys until the last of these has lapsed.
    """

    def __init__(
        self,
        settings: DirectSettings,
        view: SystemView,
        store: Store,
        calls: GrantCalls,
        term: CoordinatorRow,
        version: int,
        notify: Callable[[str, CoordinatorNotice], None],
        feeds: Sequence[TableFeed],
        idle_since: float,
        earlier_hold_s: float,
    ) -> None:
        self._settings = settings
        self._times = settings.coordination
        self._view = view
        self._store = store
        self._notify = notify
        self._feeds = feeds
        self._granter = Granter(calls, self._times, settings.bounds.max_hold_s)
        self._normal_hold_s = self._granter.hold_s
        self._placements: dict[str, ServicePlacement] = {}
        self._row_versions: dict[str, int] = {}
        self._write_lock = Lock()
        self._sequence = 0
        self._map = MapHistory()
        self._members = Membership(self._times)
        self._term = Term(
            self._times,
            store,
            term,
            version,
            self._members,
            self.end,
            self._note_confirmed,
        )
        self._slowness = SlownessBook()
        self._regranted: dict[tuple[str, int], float] = {}
        self._packed_map = (-1, float("-inf"), b"")
        self._compared: dict[str, float] = {}
        self._compared_at = float("-inf")
        self._resumed = False
        self._tasks: list[Task[None]] = []
        self._flush: TimerHandle | None = None
        self._decayed_at = monotonic()
        self._idle_since = idle_since
        self._earlier_hold_s = earlier_hold_s
        self.ended = False

    @property
    def epoch(self) -> int:
        """Epoch of the term."""
        return self._term.epoch

    def start(self) -> None:
        """Begin the term's work."""
        write_event("term_started", epoch=self.epoch)
        for feed in self._feeds:
            feed.leads = True
            feed.ask_again()
        self._tasks = [
            create_task(self._run_guarded("renew_term", self._term.renew)),
            create_task(self._run_guarded("place", self._place)),
            create_task(self._run_guarded("renew", self._granter.renew)),
        ]

    def end(self, reason: str) -> None:
        """End the term; nothing is granted from now on."""
        if self.ended:
            return
        self.ended = True
        self._term.close()
        write_event("term_ended", epoch=self.epoch, reason=reason)
        self._granter.acts = False
        self._granter.clear()
        for placement in self._placements.values():
            placement.stop()
        for task in self._tasks:
            task.cancel()
        for feed in self._feeds:
            feed.leads = False
        for name in self._members.list_names():
            self._notify(name, self._make_notice(name, resigned=True))
        if self._flush is not None:
            self._flush.cancel()

    async def hand_over(self) -> bool:
        """
        Say in the store that the role is free, and end the term.

        Returns
        -------
        bool
            False if the store doesn't answer; the term goes on then, since nobody
            could take the role.
        """
        try:
            vacated = await self._term.vacate()
        except StoreUnavailableError as error:
            write_event("term_not_vacated", epoch=self.epoch, error=str(error))
            # Nobody can take the role, so grants are made to outlast this instance.
            self._granter.hold_s = self._settings.bounds.max_hold_s
            return False
        if vacated:
            self.end("planned")
        return self.ended

    def receive(self, report: MemberReport) -> None:
        """Take a member's report and answer it."""
        if self.ended:
            return
        if report.epoch > self.epoch:
            self.end("a later epoch is known")
            return
        member = self._members.note(report, monotonic())
        self._take_loads(report)
        loads = None
        if self._members.wants_loads(member):
            loads = self._members.pack_loads(monotonic())
        self._notify(report.member, self._make_notice(report.member, loads))

    def next_fence(self) -> int:
        """Return a fencing token above all that were ever given."""
        self._sequence += 1
        return (self.epoch << SEQUENCE_BITS) + self._sequence

    async def write(
        self, service: str, describe: Callable[[int, int], OwnershipRow]
    ) -> None:
        """Write the row of a service; end the term if a later one has written."""
        async with self._write_lock:
            try:
                await self._write_row(service, describe(self.epoch, self._sequence))
            except StoreConflictError:
                await self._resolve_conflict(service)
                await self._write_row(service, describe(self.epoch, self._sequence))

    def publish(self, service: str, keys: KeyRange, free_in_s: float = 0.0) -> None:
        """Tell the members of a new owner."""
        self._map.add([_make_change(service, keys, free_in_s)])
        self.announce()

    def announce(self) -> None:
        """Tell the members soon of what has changed."""
        if self._flush is None and not self.ended:
            gather_s = max(GATHER_S, len(self._members) / NOTICES_PER_S)
            self._flush = get_running_loop().call_later(gather_s, self._send_changes)

    def _send_changes(self) -> None:
        self._flush = None
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

    def _note_confirmed(self) -> None:
        self._granter.hold_s = self._normal_hold_s

    async def _write_row(self, service: str, row: OwnershipRow) -> None:
        version = self._row_versions.get(service, 0)
        stored = StoreRow(key=service, value=encode_ownership(row), version=version)
        self._row_versions[service] = await self._store.write(OWNERSHIP_TABLE, stored)

    async def _resolve_conflict(self, service: str) -> None:
        view = await self._store.read(OWNERSHIP_TABLE)
        for row in view.rows:
            if row.key == service:
                found = _read_ownership(row)
                if found is not None and found.epoch > self.epoch:
                    self.end("a later epoch has written")
                    raise StoreUnavailableError("term ended", may_have_happened=False)
                self._row_versions[service] = row.version
                return
        self._row_versions[service] = 0

    async def _place(self) -> None:
        while not self.ended:
            try:
                if not self._resumed:
                    await self._resume()
                await self._step()
            except StoreUnavailableError as error:
                write_event("placement_waits", error=str(error))
            await sleep(STEP_S)

    async def _resume(self) -> None:
        view = await self._store.read(OWNERSHIP_TABLE)
        rows = []
        for row in view.rows:
            self._row_versions[row.key] = row.version
            found = _read_ownership(row)
            if found is not None:
                rows.append(found)
        for found in rows:
            placement = self._add_placement(found.service)
            placement.resume(found)
            self._extend_holds(found)
            # From now on an earlier coordinator's write fails.
            await self.write(found.service, placement.describe_row)
        for found in rows:
            self._placements[found.service].start_resumed()
        self._resumed = True
        self._map.skip_version()
        write_event("placements_resumed", services=len(rows))

    def _extend_holds(self, row: OwnershipRow) -> None:
        times = self._times
        until = self._idle_since + times.confirmed_s + times.call_timeout_s
        until += self._earlier_hold_s * (1.0 + times.clock_drift)
        until += times.hold_margin_s
        for one in row.ranges:
            self._granter.extend_hold(one.owner, one.born, until)
            if one.previous:
                self._granter.extend_hold(one.previous, one.previous_born, until)

    def _add_placement(self, service: str) -> ServicePlacement:
        placement = ServicePlacement(
            service, self._settings, self._view, self._granter, self
        )
        self._placements[service] = placement
        return placement

    async def _step(self) -> None:
        now = monotonic()
        self._members.forget_silent(now)
        self._decay(now)
        self._view.expire()
        plan = self._view.plan
        if plan is None or not self._view.upstreams_known:
            return
        displaced, self._granter.displaced = self._granter.displaced, []
        for record in displaced:
            self._view.displace(record)
        refused, self._granter.refused = self._granter.refused, []
        for policy in plan.services.values():
            if not policy.keyed:
                continue
            placement = self._placements.get(policy.name)
            if placement is None:
                placement = self._add_placement(policy.name)
            placement.regrant(refused)
            await placement.step()

    def _decay(self, now: float) -> None:
        span_s = now - self._decayed_at
        self._decayed_at = now
        factor = 0.5 ** (span_s / (self._times.load_memory_s * LN_2))
        for placement in self._placements.values():
            placement.decay_load(factor)

    def _take_loads(self, report: MemberReport) -> None:
        for load in report.loads:
            placement = self._placements.get(load.service)
            if placement is not None:
                work_s = [work / 1000.0 for work in load.work_ms]
                placement.add_load(load.keys, work_s)
        self._slowness.take(report.slowness)
        now = monotonic()
        for refused in report.refusing:
            placement = self._placements.get(refused.service)
            if placement is None:
                continue
            keys = placement.owners.find(refused.key)
            name = (refused.service, keys.first)
            recent = now - self._regranted.get(name, 0.0) < REGRANT_PAUSE_S
            if keys.fence == refused.fence and not recent:
                self._regranted[name] = now
                self._granter.refused.append(keys)

    def _make_notice(
        self,
        name: str,
        loads: bytes | None = None,
        resigned: bool = False,
    ) -> CoordinatorNotice:
        member = self._members.get(name)
        changes: list[MapChange] | None = []
        slowness: dict[str, float] = {}
        tables: list[TableChange] = []
        if member is not None:
            if self._resumed:
                changes = self._map.list_since(member.find_map_version(self.epoch))
            tables = self._describe_tables(member)
            member.note_map(self._map.version, changes is None)
            if loads is not None and self._members.wants_slowness(member):
                slowness = self._compare_slowness()
        return CoordinatorNotice(
            coordinator=self._term.holder,
            epoch=self.epoch,
            members=len(self._members),
            rank=self._members.find_rank(name),
            map_version=self._map.version,
            complete=changes is None,
            resigned=resigned,
            hold_s=self._granter.hold_s,
            doubt=self._term.doubt,
            changes=changes or [],
            packed_changes=self._pack_map() if changes is None else None,
            loads=loads,
            slowness=slowness,
            tables=tables,
            removals_wait_s=self._view.directory.removals_wait_s(monotonic()),
        )

    def _describe_tables(self, member: Member) -> list[TableChange]:
        """Describe what the member doesn't know of the followed tables."""
        described: list[TableChange] = []
        if self._term.doubt:
            # A feed may still wait for an answer that doesn't come.
            return described
        for feed in self._feeds:
            version = member.find_table_version(feed.table)
            change = None if version is None else feed.describe_since(version)
            if change is not None:
                described.append(change)
        member.note_tables({change.table: change.version for change in described})
        return described

    def _compare_slowness(self) -> dict[str, float]:
        now = monotonic()
        if now - self._compared_at > SLOWNESS_LASTS_S:
            services = {one.id: one.service for one in self._view.directory}
            self._compared = self._slowness.compare(services)
            self._compared_at = now
        return self._compared

    def _pack_map(self) -> bytes:
        """Return the whole map, encoded anew when it has changed."""
        now = monotonic()
        version, packed_at, packed = self._packed_map
        if version != self._map.version or now - packed_at > WHOLE_MAP_LASTS_S:
            packed = pack_changes(self._describe_map())
            self._packed_map = (self._map.version, now, packed)
        return packed

    def _describe_map(self) -> list[MapChange]:
        return [
            _make_change(service, keys, free_in_s)
            for service, placement in self._placements.items()
            for keys, free_in_s in placement.describe()
        ]


def _read_ownership(row: StoreRow) -> OwnershipRow | None:
    try:
        return decode_ownership(row.value)
    except MalformedMessageError as error:
        write_event("ownership_row_unreadable", key=row.key, error=str(error))
        return None


def _make_change(service: str, keys: KeyRange, free_in_s: float) -> MapChange:
    return MapChange(
        service=service,
        first=keys.first,
        last=keys.last,
        owner=keys.owner,
        born=keys.born,
        fence=keys.fence,
        free_in_s=round(free_in_s, 2),
    )
