"""State of the system as one instance knows it: routing, upstreams, owners, loads."""

from asyncio import Event
from time import monotonic

from plantaincart_core.account import AccountIndex
from plantaincart_core.directory import UpstreamDirectory, UpstreamRecord
from plantaincart_core.fleetdivision import DivisionHistory, FleetDivision
from plantaincart_core.grantlapse import GrantLapses
from plantaincart_core.ownermap import KeyRange, OwnerMap
from plantaincart_core.pace import PaceSettings
from plantaincart_core.pacetable import PaceTable
from plantaincart_core.silence import SilenceSettings
from plantaincart_core.traffic import RouteIndex, RoutingConfiguration, ServicePolicy
from plantaincart_core.upstreamload import UpstreamLoads
from plantaincart_core.upstreamspeed import UpstreamSpeeds
from plantaincart_schema.generated.direct import (
    CoordinatorNotice,
    MapChange,
)

from plantaincart_router.direct.accountfact import AccountFact
from plantaincart_router.direct.backoff import UpstreamBackoffs
from plantaincart_router.direct.closures import DataCentreClosures
from plantaincart_router.direct.crashfact import CrashFact
from plantaincart_router.direct.crashledger import CrashLedger
from plantaincart_router.direct.draining import DrainWatch
from plantaincart_router.direct.feed import TableSink
from plantaincart_router.direct.interface import PlatformReader
from plantaincart_router.direct.keydemand import KeyDemand
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
from plantaincart_router.direct.shutdownwindow import ShutdownWindow
from plantaincart_router.direct.silencefact import SilenceFact
from plantaincart_router.direct.speedfact import SpeedFact
from plantaincart_router.direct.store import StoreRow, TableRows
from plantaincart_router.direct.unowned import UnownedRanges
from plantaincart_router.log import write_event

__all__ = ["SystemView"]

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
    shutdown : ShutdownWindow
        Which requests may still be sent after SIGTERM.
    reachability : UpstreamReachability
        Whether this instance can connect to any upstream.
    crashes : CrashLedger
        Requests under which upstreams have ended.
    speeds : UpstreamSpeeds
        Lasting speed of upstreams, and the slowdown of the moment.
    paces : PaceTable
        Limits of upstreams that have just started or fail.
    key_demand : KeyDemand
        What requests ask of keys.
    lapses : GrantLapses
        Keys that nobody can serve, since no coordinator renews their grants.
    draining : DrainWatch
        For how long upstreams that leave may still get requests.
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
        self._eras: dict[str, int] = {}
        self._operator_rows_loaded = False
        self.routing_config: RoutingConfiguration | None = None
        self.routes: RouteIndex | None = None
        self.directory = UpstreamDirectory()
        self._closures = DataCentreClosures(self.directory)
        self.draining = DrainWatch(self.directory, settings.bounds)
        self.shutdown = ShutdownWindow(settings.bounds.shutdown_grace_s)
        self.reachability = pools.reachability
        self.reachability.directory = self.directory
        self.upstreams_loaded = False
        self.owners: dict[str, OwnerMap] = {}
        self.unowned = UnownedRanges()
        times = settings.coordination
        self.lapses = GrantLapses(times.silent_s, times.takeover_s)
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
        self.key_demand = KeyDemand()
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
                self._closures.doubt(monotonic())
            self._closures.clear()
            self.change_table(table, view, known_until)
            kept = self._closures.list_unconfirmed()
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
        if self._closures.expire(now):
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
        self.lapses.record_notice(now)
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
        elif notice.map_after > self.map_version:
            # A notice was lost. The next report says so by the version of the map.
            return True
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

    def _replace_upstreams(
        self, view: TableRows, known_until: float, is_restored: bool
    ) -> list[str]:
        """Apply all announcements; return the upstreams that don't follow their row."""
        valid_records, unreadable = [], set()
        for row in view.rows:
            record = self._read_upstream(row)
            if record is None:
                unreadable.add(row.key)
            else:
                valid_records.append(record)
        previous = {record.id: record for record in self.directory}
        if is_restored:
            self.directory.replace_restored(valid_records, monotonic(), unreadable)
        else:
            self.directory.replace_all(valid_records, monotonic(), unreadable)
        self._update_draining(previous, known_until)
        self.upstreams_loaded = True
        write_event("upstreams_read", count=len(self.directory))
        read = {record.id: record for record in valid_records}
        return [record.id for record in self.directory if read.get(record.id) != record]

    def _change_upstreams(self, view: TableRows, known_until: float) -> None:
        previous = {record.id: record for record in self.directory}
        now = monotonic()
        for row in view.rows:
            if row.deleted:
                self.directory.remove(row.key, now)
                continue
            record = self._read_upstream(row)
            if record is not None:
                self.directory.put(record, now)
                self._log_upstream(previous.get(record.id), record)
            else:
                self.directory.hold(row.key, now)
        self._update_draining(previous, known_until)

    def _read_upstream(self, row: StoreRow) -> UpstreamRecord | None:
        try:
            return self._reader.read_upstream(row)
        except Exception as error:
            self._skip_row(row, error)
            return None

    def _skip_row(self, row: StoreRow, error: Exception) -> None:
        """Log a row that can't be applied; the others of its table are."""
        write_event("row_skipped", key=row.key, version=row.version, error=repr(error))

    def _update_draining(
        self, previous: dict[str, UpstreamRecord], known_until: float
    ) -> None:
        """Record upstreams that drain or are gone, at the earliest at `known_until`."""
        self.draining.update(known_until, self._operator_rows_loaded)
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
            self.draining.forget(record.id)

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
            if row.deleted:
                self._closures.remove(row.key)
                continue
            try:
                self._apply_operator_row(row)
            except Exception as error:
                self._skip_row(row, error)
        changed = self._closures.update_directory()
        if changed or not self._operator_rows_loaded:
            self._operator_rows_loaded = True
            self._update_draining({}, known_until)

    def _apply_operator_row(self, row: StoreRow) -> None:
        data_centre = self._reader.read_closed_data_centre(row)
        self._closures.put(row.key, data_centre)
        if data_centre is None:
            self._adopt_routing_config(self._reader.read_configuration(row))

    def _adopt_routing_config(
        self, routing_config: RoutingConfiguration | None
    ) -> None:
        if routing_config is None or (
            self.routing_config
            and routing_config.version <= self.routing_config.version
        ):
            return
        routes, accounts = (
            RouteIndex(routing_config),
            AccountIndex(routing_config.accounts),
        )
        self.routing_config, self.routes = routing_config, routes
        self.account_fact.accounts = accounts
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
