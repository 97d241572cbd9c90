"""The one instance that places keys: its term, its members and its map."""

from asyncio import Lock, Task, TimerHandle, create_task, get_running_loop, sleep
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from statistics import median
from time import monotonic

from plantaincart_core.ownermap import KeyRange
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.direct import (
    CoordinatorNotice,
    CoordinatorRow,
    MapChange,
    MemberReport,
    OwnershipRow,
)

from plantaincart_router.direct.granter import Granter
from plantaincart_router.direct.interface import GrantCalls
from plantaincart_router.direct.ledger import OwnershipLedger
from plantaincart_router.direct.ownershiprow import (
    decode_ownership,
    encode_ownership,
)
from plantaincart_router.direct.placement import ServicePlacement
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.store import (
    Store,
    StoreConflictError,
    StoreRow,
    StoreUnavailableError,
)
from plantaincart_router.direct.termrow import (
    COORDINATOR_TABLE,
    find_term,
    make_term_row,
)
from plantaincart_router.direct.view import SystemView
from plantaincart_router.log import write_event

__all__ = ["OWNERSHIP_TABLE", "Coordinator"]

OWNERSHIP_TABLE = "ownership"

# Fencing tokens are the epoch and a sequence number in one integer.
SEQUENCE_BITS = 24
# Changes kept for members that lag; one that lags more gets the whole map.
KEPT_CHANGES = 1000
STEP_S = 0.1
# A mean over a time constant halves in the constant times this.
LN_2 = 0.69
# Loads go with every notice to this many members, else with every second, third ...;
# the upstreams' slowness with every so many of these.
MEMBERS_PER_LOADS = 30
SLOWNESS_EVERY = 4
SLOWNESS_WEIGHT = 0.15
# Seconds for which changes are gathered before they are sent.
GATHER_S = 0.02
# Seconds after which a change that a member doesn't know yet is sent again.
RESEND_S = 0.6
# Seconds between two new grants of keys that their owner says it doesn't hold.
REGRANT_PAUSE_S = 1.0


class _Member:
    """What a live instance reported last."""

    def __init__(self, report: MemberReport, now: float) -> None:
        self.report = report
        self.heard_at = now
        self.notices = 0
        self.sent_version = -1
        self.sent_at = float("-inf")
        self.complete_at = float("-inf")


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
    The term lasts while renewals of its row are confirmed. While most members say
    that the store answers none of them nobody can take over, so the term goes on for
    `offline_s`. An earlier coordinator may still send grants for `confirmed_s` after
    the takeover; upstreams that don't answer a release count as holding their keys
    until the last of these has lapsed.
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
        idle_since: float,
        earlier_hold_s: float,
    ) -> None:
        self._settings = settings
        self._times = settings.coordination
        self._view = view
        self._store = store
        self._term = term
        self._term_version = version
        self._notify = notify
        self._granter = Granter(calls, self._times, settings.bounds.max_hold_s)
        self._normal_hold_s = self._granter.hold_s
        self._placements: dict[str, ServicePlacement] = {}
        self._row_versions: dict[str, int] = {}
        self._write_lock = Lock()
        self._sequence = 0
        self._changes: deque[MapChange] = deque(maxlen=KEPT_CHANGES)
        self._map_version = 0
        self._members: dict[str, _Member] = {}
        self._slowness: dict[str, float] = {}
        self._regranted: dict[tuple[str, int], float] = {}
        self._confirmed_at = monotonic()
        self._doubt = False
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
        self._tasks = [
            create_task(self._run_guarded("renew_term", self._renew_term)),
            create_task(self._run_guarded("place", self._place)),
            create_task(self._run_guarded("renew", self._granter.renew)),
        ]

    def end(self, reason: str) -> None:
        """End the term; nothing is granted from now on."""
        if self.ended:
            return
        self.ended = True
        write_event("term_ended", epoch=self.epoch, reason=reason)
        self._granter.acts = False
        self._granter.clear()
        for placement in self._placements.values():
            placement.stop()
        for task in self._tasks:
            task.cancel()
        for name in self._members:
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
        row = replace(self._term, beat=self._term.beat + 1, vacant=True)
        try:
            await self._write_term(row)
        except StoreUnavailableError as error:
            write_event("term_not_vacated", epoch=self.epoch, error=str(error))
            # Nobody can take the role, so grants are made to outlast this instance.
            self._granter.hold_s = self._settings.bounds.max_hold_s
            return False
        except StoreConflictError as error:
            return not await self._read_term(str(error))
        self.end("planned")
        return True

    def receive(self, report: MemberReport) -> None:
        """Take a member's report and answer it."""
        if self.ended:
            return
        if report.epoch > self.epoch:
            self.end("a later epoch is known")
            return
        now = monotonic()
        if report.leaving:
            self._members.pop(report.member, None)
        member = self._members.get(report.member)
        if member is None or member.report.incarnation != report.incarnation:
            member = self._members[report.member] = _Member(report, now)
        member.report, member.heard_at = report, now
        self._take_loads(report)
        member.notices += 1
        loads = None
        if member.notices % self._count_notices_per_loads() == 0:
            loads = self._sum_in_flight()
        self._notify(report.member, self._make_notice(report.member, loads))

    def _count_notices_per_loads(self) -> int:
        """Return how many notices to a member go by until one tells it of loads."""
        return -(-len(self._members) // MEMBERS_PER_LOADS)

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

    def publish(self, service: str, changes: list[KeyRange]) -> None:
        """Tell the members of new owners."""
        for keys in changes:
            self._map_version += 1
            self._changes.append(_make_change(service, keys))
        if self._flush is None:
            self._flush = get_running_loop().call_later(GATHER_S, self._send_changes)

    def _send_changes(self) -> None:
        self._flush = None
        if self.ended:
            return
        for name in list(self._members):
            self._notify(name, self._make_notice(name))

    async def _run_guarded(self, name: str, work) -> None:  # type: ignore[no-untyped-def]
        try:
            await work()
        except Exception as error:
            write_event("coordinator_task_failed", task=name, error=repr(error))
            self.end(f"task {name} failed")
            raise

    async def _renew_term(self) -> None:
        while not self.ended:
            await sleep(self._times.beat_s)
            began = monotonic()
            row = replace(self._term, beat=self._term.beat + 1)
            try:
                await self._write_term(row)
                self._note_confirmation(began)
            except (StoreConflictError, StoreUnavailableError) as error:
                # The write may have happened although no answer said so.
                await self._read_term(str(error))

    def _note_confirmation(self, at: float) -> None:
        self._confirmed_at = at
        self._doubt = False
        self._granter.hold_s = self._normal_hold_s

    async def _read_term(self, error: str) -> bool:
        """Read the term's row; end the term if it no longer names this instance."""
        began = monotonic()
        try:
            view = await self._store.read(COORDINATOR_TABLE)
        except StoreUnavailableError:
            self._check_confirmation(error)
            return not self.ended
        found = find_term(view)
        if found is None or found[0].vacant or self._is_other(found[0]):
            self.end("the row no longer names this instance")
            return False
        self._term, self._term_version = found
        self._note_confirmation(began)
        return True

    def _is_other(self, row: CoordinatorRow) -> bool:
        return (row.epoch, row.holder) != (self.epoch, self._term.holder)

    def _check_confirmation(self, error: str) -> None:
        """Go on without the store only while no other instance reaches it either."""
        now = monotonic()
        age_s = now - self._confirmed_at
        self._doubt = True
        self._forget_members(now)
        silences = [
            one.report.store_silent_s
            for name, one in self._members.items()
            if name != self._term.holder
        ]
        if any(0.0 <= silence < self._times.reached_s for silence in silences):
            self.end(f"the store answers others, but not this instance: {error}")
        elif age_s > self._times.confirmed_s:
            nobody = bool(silences) and all(
                silence >= self._times.reached_s for silence in silences
            )
            if not nobody or age_s > self._times.offline_s:
                self.end(f"no renewal confirmed for {age_s:.1f} s: {error}")

    async def _write_term(self, row: CoordinatorRow) -> None:
        stored = make_term_row(row, self._term_version)
        self._term_version = await self._store.write(COORDINATOR_TABLE, stored)
        self._term = row

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
        self._map_version += 1
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
        self._forget_members(now)
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
        for upstream, ratio in report.slowness.items():
            known = self._slowness.get(upstream, 1.0)
            known += SLOWNESS_WEIGHT * (ratio - known)
            self._slowness[upstream] = known
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

    def _forget_members(self, now: float) -> None:
        for name, member in list(self._members.items()):
            if now - member.heard_at > self._times.member_s:
                del self._members[name]
                write_event("member_lost", member=name)

    def _make_notice(
        self,
        name: str,
        in_flight: dict[str, int] | None = None,
        resigned: bool = False,
    ) -> CoordinatorNotice:
        member = self._members.get(name)
        seen = self._find_seen_version(member)
        behind = self._map_version - seen
        complete = self._resumed and (seen < 0 or behind > len(self._changes))
        if complete:
            changes = self._describe_map()
        else:
            changes = list(self._changes)[max(0, len(self._changes) - behind) :]
        slowness: dict[str, float] = {}
        if member is not None:
            member.sent_version, member.sent_at = self._map_version, monotonic()
            if complete:
                member.complete_at = member.sent_at
            slowness_every = SLOWNESS_EVERY * self._count_notices_per_loads()
            if in_flight is not None and member.notices % slowness_every == 0:
                slowness = self._compare_slowness()
        return CoordinatorNotice(
            coordinator=self._term.holder,
            epoch=self.epoch,
            members=len(self._members),
            rank=sorted(self._members).index(name) if member else 0,
            map_version=self._map_version,
            complete=complete,
            resigned=resigned,
            hold_s=self._granter.hold_s,
            doubt=self._doubt,
            changes=changes if self._resumed else [],
            in_flight=in_flight or {},
            slowness=slowness,
        )

    def _compare_slowness(self) -> dict[str, float]:
        """Relate each upstream's slowness to the median of its service."""
        by_service: dict[str, dict[str, float]] = {}
        for upstream, value in self._slowness.items():
            record = self._view.directory.get(upstream)
            if record is not None:
                by_service.setdefault(record.service, {})[upstream] = value
        return {
            upstream: round(value / max(median(values.values()), 0.1), 2)
            for values in by_service.values()
            for upstream, value in values.items()
        }

    def _find_seen_version(self, member: _Member | None) -> int:
        """Return the version of the map that a member has or is about to get."""
        if member is None:
            return self._map_version
        report = member.report
        reported = report.map_version if report.epoch == self.epoch else -1
        since = member.sent_at if reported >= 0 else member.complete_at
        if monotonic() - since < RESEND_S:
            return max(reported, member.sent_version)
        return reported

    def _describe_map(self) -> list[MapChange]:
        return [
            _make_change(service, keys)
            for service, placement in self._placements.items()
            for keys in placement.describe()
        ]

    def _sum_in_flight(self) -> dict[str, int]:
        total: dict[str, int] = {}
        for member in self._members.values():
            for upstream, count in member.report.in_flight.items():
                total[upstream] = total.get(upstream, 0) + count
        return total


def _read_ownership(row: StoreRow) -> OwnershipRow | None:
    try:
        return decode_ownership(row.value)
    except MalformedMessageError as error:
        write_event("ownership_row_unreadable", key=row.key, error=str(error))
        return None


def _make_change(service: str, keys: KeyRange) -> MapChange:
    return MapChange(
        service=service,
        first=keys.first,
        last=keys.last,
        owner=keys.owner,
        born=keys.born,
        fence=keys.fence,
    )
