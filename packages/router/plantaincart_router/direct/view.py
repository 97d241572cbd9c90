"""State of the system as one instance knows it: routing, upstreams, owners, loads."""

from asyncio import Event
from time import monotonic

from plantaincart_core.account import AccountIndex
from plantaincart_core.directory import UpstreamDirectory, UpstreamRecord
from plantaincart_core.fleetdivision import DivisionHistory, FleetDivision
from plantaincart_core.ownermap import KeyRange, OwnerMap
from plantaincart_core.pace import PaceSettings
from plantaincart_core.pacetable import PaceTable
from plantaincart_core.silence import SilenceSettings
from plantaincart_core.traffic import RouteIndex, RoutingConfiguration, ServicePolicy
from plantaincart_core.upstreamload import UpstreamLoads
from plantaincart_core.upstreamspeed import UpstreamSpeeds
from plantaincart_schema.generated.direct import (
    CoordinatorNotice,
    KeyLoad,
    MapChange,
    RefusedKey,
)

from plantaincart_router.direct.accountfact import AccountFact
from plantaincart_router.direct.backoff import UpstreamBackoffs
from plantaincart_router.direct.crashfact import CrashFact
from plantaincart_router.direct.crashledger import CrashLedger
from plantaincart_router.direct.feed import TableSink
from plantaincart_router.direct.interface import PlatformReader
from plantaincart_router.direct.limitfact import LimitFact
from plantaincart_router.direct.loadfact import LoadFact
from plantaincart_router.direct.pacefact import PaceFact
from plantaincart_router.direct.peerfact import PeerFact
from plantaincart_router.direct.pool import UpstreamPools
from plantaincart_router.direct.quota import UpstreamQuotas
from plantaincart_router.direct.rangecodec import read_range
from plantaincart_router.direct.rankfact import RankFact
from plantaincart_router.direct.relayfact import RelayFact
from plantaincart_router.direct.roomfact import RoomFact
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.sharedfact import SharedFact
from plantaincart_router.direct.sharedroom import SharedRoom
from plantaincart_router.direct.silencefact import SilenceFact
from plantaincart_router.direct.speedfact import SpeedFact
from plantaincart_router.direct.store import TableRows
from plantaincart_router.direct.unowned import UnownedRanges
from plantaincart_router.log import write_event

__all__ = ["SystemView"]

# Maximum number of keys in a report. Requests for further keys aren't counted until the
# next report.
MAX_REPORTED_KEYS = 512
# Fraction of the drain bound for which a draining owner still gets requests. The bound
# starts when the store acknowledges the change, which is later than the time up to
# which the table was known.
DRAIN_BOUND_SHARE = 0.7
# Seconds after a restoration of the store within which operators have written closed
# data centres again. Until then the closures known before stay in force.
CLOSURE_REWRITE_S = 10.0
# Seconds for which a lower number of instances is ignored.
MEMBER_COUNT_MEMORY_S = 5.0
# Seconds for which the coordinator is told of an upstream that leaves. It covers a
# change of the coordinator.
LEAVING_REPORT_S = 10.0


class SystemView(TableSink):
    """
    State of the system at one instance, updated by the store and the coordinator.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the instance.
    reader : PlatformReader
        Parses the rows of operators and upstreams.
    pools : UpstreamPools
        Idle connections; those to an upstream that is gone are closed.

    Attributes
    ----------
    reachability : UpstreamReachability
        Whether this instance can connect to any upstream.
    crashes : CrashLedger
        Requests under which upstreams have ended.
    speeds : UpstreamSpeeds
        Lasting speed of upstreams, and the slowdown of the moment.
    paces : PaceTable
        Limits of upstreams that have just started or fail.
    quotas : UpstreamQuotas
        Limits that upstreams have named.
    room : SharedRoom
        Room that this instance may use at upstreams.
    peer_fact : PeerFact
        Instances that can be asked for the coordinator.
    relay_fact : RelayFact
        Relays, and whether this instance needs them.
    silence_fact : SilenceFact
        Services whose upstreams fall silent.
    account_fact : AccountFact
        Client accounts, and this instance's part of their quotas.
    rank_fact : RankFact
        Requests by rank, and the share of each that is admitted.
    facts : tuple of SharedFact
        All that instances share through the coordinator, besides the map of owners.
    """

    def __init__(
        self, settings: DirectSettings, reader: PlatformReader, pools: UpstreamPools
    ) -> None:
        self._settings = settings
        self._reader = reader
        self._pools = pools
        self._closed_by_row: dict[str, str] = {}
        self._unconfirmed_closures: dict[str, tuple[str, float]] = {}
        self._eras: dict[str, int] = {}
        self._draining_since: dict[str, float] = {}
        self._seen_active: set[str] = set()
        self._operator_rows_loaded = False
        self._key_loads: dict[str, dict[int, float]] = {}
        self._refused_keys: list[RefusedKey] = []
        self.routing_config: RoutingConfiguration | None = None
        self.routes: RouteIndex | None = None
        self.directory = UpstreamDirectory()
        self.reachability = pools.reachability
        self.reachability.directory = self.directory
        self.upstreams_loaded = False
        self.owners: dict[str, OwnerMap] = {}
        self.unowned = UnownedRanges()
        self.map_version = -1
        self.epoch = 0
        self.members = 1
        self.rank: int | None = None
        self._members_counted_at = 0.0
        self._divisions = DivisionHistory(settings.coordination.member_s)
        self.loads = UpstreamLoads(settings.load)
        self.speeds = UpstreamSpeeds()
        pace_settings = PaceSettings()
        self.paces = PaceTable(pace_settings)
        self.backoffs = UpstreamBackoffs()
        self.crashes = CrashLedger()
        self.quotas = UpstreamQuotas(self.directory)
        self.relay_fact = RelayFact(settings.data_centre)
        self.peer_fact = PeerFact()
        self.silence_fact = SilenceFact(SilenceSettings())
        self.account_fact = AccountFact(settings)
        self.rank_fact = RankFact(self.loads, self.directory)
        self.room = SharedRoom(
            settings.room,
            self.directory,
            self.loads,
            self.find_policy,
            self.backoffs,
            pools.connect_failures,
        )
        # Waiting for a permit and for room are reported in the same way.
        self.room.ask = lambda: self.quotas.on_wait()
        self.facts: tuple[SharedFact, ...] = (
            self.relay_fact,
            self.peer_fact,
            self.silence_fact,
            CrashFact(self.crashes),
            LimitFact(self.quotas),
            LoadFact(self.loads, self.directory),
            self.account_fact,
            RoomFact(self.room, self.directory, self.find_policy, self.loads),
            PaceFact(self.paces, pace_settings, self.directory, self.loads),
        )
        if settings.load.learns_speed:
            self.facts += (SpeedFact(self.speeds, self.directory),)
        if settings.admission.cuts_by_rank:
            self.facts += (self.rank_fact,)
        self._changed = Event()

    @property
    def relays(self) -> tuple[str, ...]:
        """Addresses of the relays that the coordinator named last."""
        return self.relay_fact.relays

    @relays.setter
    def relays(self, relays: tuple[str, ...]) -> None:
        self.relay_fact.relays = relays

    def replace_table(self, table: str, view: TableRows, known_until: float) -> None:
        """
        Apply a full read of a table.

        After a restoration of the store, what is known is kept where the rows may be
        older.
        """
        previous_era = self._eras.get(table)
        is_restored = previous_era is not None and view.era > previous_era
        self._eras[table] = view.era
        if table == self._reader.upstream_table:
            kept = self._replace_upstreams(view, known_until, is_restored)
        else:
            if is_restored:
                self._doubt_closures()
            self._closed_by_row.clear()
            self.change_table(table, view, known_until)
            kept = sorted(self._unconfirmed_closures)
        if is_restored:
            write_event(
                "table_restored",
                table=table,
                previous=previous_era,
                era=view.era,
                read=len(view.rows),
                kept=kept,
                plan=self.routing_config.version if self.routing_config else None,
            )
        self._wake_waiters()

    def change_table(self, table: str, view: TableRows, known_until: float) -> None:
        """Apply changes of a table."""
        if table == self._reader.upstream_table:
            self._change_upstreams(view, known_until)
        else:
            self._change_operator_rows(view, known_until)
        self._wake_waiters()

    def handle_store_lost(self) -> None:
        """Keep the present state while the store is unreachable."""
        self.directory.record_outage()

    def handle_store_regained(self) -> None:
        """Keep upstreams whose announcement expired in the outage for a while."""
        self.directory.record_recovery(monotonic())

    def defer_removals(self, wait_s: float) -> None:
        """Delay removals of upstreams for a time after an outage of the store."""
        if wait_s > 0.0:
            self.directory.defer_removals_until(monotonic() + wait_s)

    def choose_gather_s(self) -> float:
        """Choose for how long changes are batched, by the number of instances."""
        settings = self._settings
        return settings.feed.choose_gather_s(self.members, settings.bounds)

    def expire(self) -> None:
        """Remove upstreams and closures that are still missing after an outage."""
        now = monotonic()
        for record in self.directory.expire(now):
            self._handle_upstream_gone(record)
        expired = [
            key
            for key, (_, until) in self._unconfirmed_closures.items()
            if until <= now
        ]
        for key in expired:
            del self._unconfirmed_closures[key]
        if expired:
            self._update_closures()
            self._wake_waiters()

    def apply_notice(self, notice: CoordinatorNotice) -> bool:
        """
        Apply a notice of the coordinator.

        Parameters
        ----------
        notice : CoordinatorNotice
            The notice.

        Returns
        -------
        bool
            False if the notice is outdated, or lacks the whole map of a new epoch.
        """
        if notice.epoch < self.epoch:
            return False
        now = monotonic()
        for fact in self.facts:
            if not fact.needs_map:
                fact.apply(notice, now)
        if notice.epoch > self.epoch and not notice.complete:
            return False
        self.epoch = notice.epoch
        self._count_members(notice)
        for fact in self.facts:
            if fact.needs_map:
                fact.apply(notice, now)
        if notice.complete:
            self.owners = {}
        self._apply_changes(notice.changes)
        if notice.complete or notice.changes:
            self.map_version = notice.map_version
            self._wake_waiters()
        return True

    def list_divisions(self, now: float) -> list[FleetDivision]:
        """Return the divisions of limits that may be in force at some instance."""
        return self._divisions.list_recent(now)

    def find_policy(self, service: str) -> ServicePolicy | None:
        """Return the settings of a service, or None if it isn't described."""
        config = self.routing_config
        return None if config is None else config.services.get(service)

    def find_owner(self, service: str, key: int) -> KeyRange | None:
        """Return the range of a key, or None before a map was received."""
        owners = self.owners.get(service)
        return None if owners is None else owners.find(key)

    def displace(self, record: UpstreamRecord) -> None:
        """Remove an upstream whose address is used by another process."""
        present = self.directory.get(record.id)
        if present is not None and present.born == record.born:
            write_event("upstream_displaced", upstream=record.id, born=record.born)
            self.directory.displace(record, monotonic())
            self._handle_upstream_gone(record)
            self._wake_waiters()

    def can_serve_keys(self, record: UpstreamRecord) -> bool:
        """Whether an owner may still get requests for its keys."""
        if not self.is_within_drain_bound(record):
            return False
        if self.directory.is_in_service(record):
            return True
        bounds = self._settings.bounds
        bound_s = bounds.evacuate_s if record.ready else bounds.drain_s
        since = self._draining_since.get(record.id, float("-inf"))
        return monotonic() - since < bound_s * DRAIN_BOUND_SHARE

    def is_within_drain_bound(self, record: UpstreamRecord) -> bool:
        """Whether an upstream may get requests by what its answers have said."""
        since = self.directory.leaving.find_since(record.id, record.born)
        bound_s = self._settings.bounds.drain_s * DRAIN_BOUND_SHARE
        return since is None or monotonic() - since < bound_s

    def record_leaving(self, upstream: str, born: int) -> None:
        """
        Record that an upstream said in an answer that it leaves.

        Parameters
        ----------
        upstream : str
            Identity of the upstream.
        born : int
            Start of its process in Unix milliseconds.
        """
        if self.directory.leaving.record(upstream, born, monotonic()):
            write_event("upstream_leaving", upstream=upstream, born=born)
            self._wake_waiters()

    def list_leaving(self) -> dict[str, int]:
        """Return the process starts of upstreams that lately began to leave, by id."""
        return self.directory.leaving.list_recent(monotonic(), LEAVING_REPORT_S)

    async def wait_for_change(self) -> None:
        """Wait until the map or the upstreams change."""
        await self._changed.wait()

    def record_key_load(self, service: str, key: int, work_s: float) -> None:
        """Add requested work to the load of a key."""
        loads = self._key_loads.setdefault(service, {})
        if key in loads or len(loads) < MAX_REPORTED_KEYS:
            loads[key] = loads.get(key, 0.0) + work_s

    def record_refused_key(
        self, service: str, key: int, owner: str, fence: int
    ) -> None:
        """Record that the owner of a key answered that it doesn't own it."""
        self._refused_keys.append(
            RefusedKey(service=service, key=key, owner=owner, fence=fence)
        )

    def pop_key_loads(self) -> list[KeyLoad]:
        """Return the requested work since the last call, by key."""
        key_loads, self._key_loads = self._key_loads, {}
        return [
            KeyLoad(
                service=service,
                keys=list(loads),
                work_ms=[round(work * 1000.0) for work in loads.values()],
            )
            for service, loads in key_loads.items()
        ]

    def pop_refused_keys(self) -> list[RefusedKey]:
        """Return the keys that their owners refused since the last call."""
        refused_keys, self._refused_keys = self._refused_keys, []
        return refused_keys

    def _replace_upstreams(
        self, view: TableRows, known_until: float, is_restored: bool
    ) -> list[str]:
        """Apply all announcements; return the upstreams that don't follow their row."""
        records = [self._reader.read_upstream(row) for row in view.rows]
        valid_records = [record for record in records if record]
        previous = {record.id: record for record in self.directory}
        if is_restored:
            self.directory.replace_restored(valid_records, monotonic())
        else:
            self.directory.replace_all(valid_records, monotonic())
        self._update_draining(previous, known_until)
        self.upstreams_loaded = True
        write_event("upstreams_read", count=len(self.directory))
        read = {record.id: record for record in valid_records}
        return [record.id for record in self.directory if read.get(record.id) != record]

    def _doubt_closures(self) -> None:
        until = monotonic() + CLOSURE_REWRITE_S
        for key, data_centre in self._closed_by_row.items():
            self._unconfirmed_closures.setdefault(key, (data_centre, until))

    def _change_upstreams(self, view: TableRows, known_until: float) -> None:
        previous = {record.id: record for record in self.directory}
        now = monotonic()
        for row in view.rows:
            record = None if row.deleted else self._reader.read_upstream(row)
            if record is not None:
                self.directory.put(record, now)
                self._log_upstream(previous.get(record.id), record)
            else:
                self.directory.remove(row.key, now)
        self._update_draining(previous, known_until)

    def _update_draining(
        self, previous: dict[str, UpstreamRecord], known_until: float
    ) -> None:
        """Record upstreams that started draining, at the earliest at `known_until`."""
        for record in self.directory:
            if self.directory.is_in_service(record):
                self._draining_since.pop(record.id, None)
                if self._operator_rows_loaded:
                    self._seen_active.add(record.id)
            else:
                # An upstream that was never active here may have been draining for
                # long.
                was_active = record.id in self._seen_active
                since = known_until if was_active else float("-inf")
                self._draining_since.setdefault(record.id, since)
        for record in previous.values():
            present = self.directory.get(record.id)
            if present is None or present.born != record.born:
                self._handle_upstream_gone(record)

    def _handle_upstream_gone(self, record: UpstreamRecord) -> None:
        write_event("upstream_gone", upstream=record.id, born=record.born)
        self._pools.close_idle(record)
        now = monotonic()
        for fact in self.facts:
            fact.forget_upstream(record, now)
        if self.directory.get(record.id) is None:
            self._draining_since.pop(record.id, None)
            self._seen_active.discard(record.id)

    def _log_upstream(self, old: UpstreamRecord | None, new: UpstreamRecord) -> None:
        is_cold = new.warmup_left_s > 0.0
        if old is None or (old.born, old.ready, old.warmup_left_s > 0.0) != (
            new.born,
            new.ready,
            is_cold,
        ):
            write_event(
                "upstream_changed",
                upstream=new.id,
                born=new.born,
                service=new.service,
                data_centre=new.data_centre,
                ready=new.ready,
                warmup_left_s=new.warmup_left_s,
            )

    def _change_operator_rows(self, view: TableRows, known_until: float) -> None:
        for row in view.rows:
            self._unconfirmed_closures.pop(row.key, None)
            if row.deleted:
                self._closed_by_row.pop(row.key, None)
                continue
            data_centre = self._reader.read_closed_data_centre(row)
            if data_centre is not None:
                self._closed_by_row[row.key] = data_centre
            else:
                self._adopt_routing_config(self._reader.read_configuration(row))
        changed = self._update_closures()
        if changed or not self._operator_rows_loaded:
            self._operator_rows_loaded = True
            self._update_draining({}, known_until)

    def _update_closures(self) -> bool:
        """Put the known closures in force; return whether they have changed."""
        unconfirmed = {name for name, _ in self._unconfirmed_closures.values()}
        closed = frozenset(self._closed_by_row.values()) | unconfirmed
        changed = closed != self.directory.closed_data_centres
        if changed:
            write_event("data_centres_closed", names=sorted(closed))
            self.directory.closed_data_centres = closed
        return changed

    def _adopt_routing_config(
        self, routing_config: RoutingConfiguration | None
    ) -> None:
        if routing_config is None or (
            self.routing_config
            and routing_config.version <= self.routing_config.version
        ):
            return
        self.routing_config = routing_config
        self.routes = RouteIndex(routing_config)
        self.account_fact.accounts = AccountIndex(routing_config.accounts)
        write_event(
            "plan_adopted",
            version=routing_config.version,
            routes=len(routing_config.routes),
            accounts=len(routing_config.accounts),
        )

    def _apply_changes(self, changes: list[MapChange]) -> None:
        for change in changes:
            owners = self.owners.setdefault(change.service, OwnerMap())
            key_range = read_range(change)
            owners.assign(key_range)
            if key_range.owner:
                self.unowned.discard_expected(change.service, key_range)
                if key_range.first == key_range.last:
                    # A key that was divided off is hot: all instances have requests
                    # for it, and none of them counts those that others send now.
                    self.room.share.doubt(key_range.owner, monotonic())
            elif change.free_in_s > 0.0:
                free_at = monotonic() + change.free_in_s
                self.unowned.set_expected_at(change.service, key_range, free_at)

    def _count_members(self, notice: CoordinatorNotice) -> None:
        """Adopt a lower count only after a while: a new coordinator starts at 0."""
        now = monotonic()
        if (
            notice.members >= self.members
            or now - self._members_counted_at > MEMBER_COUNT_MEMORY_S
        ):
            self.members = self.quotas.members = max(1, notice.members)
            self.rank = self.quotas.rank = notice.rank
            self._members_counted_at = now
        division = FleetDivision(members=self.members, rank=self.rank)
        self._divisions.record(division, now)

    def _wake_waiters(self) -> None:
        self._changed.set()
        self._changed = Event()
