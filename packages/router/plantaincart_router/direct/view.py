"""What an instance believes of the system: plan, upstreams, owners and loads."""

from asyncio import Event
from time import monotonic

from plantaincart_core.directory import UpstreamDirectory, UpstreamRecord
from plantaincart_core.loadsheet import unpack_loads
from plantaincart_core.ownermap import KeyRange, OwnerMap
from plantaincart_core.traffic import RouteIndex, TrafficPlan
from plantaincart_core.upstreamload import LoadBook
from plantaincart_schema.generated.direct import (
    CoordinatorNotice,
    KeyLoad,
    MapChange,
    RefusedKey,
)

from plantaincart_router.direct.feed import TableSink
from plantaincart_router.direct.interface import PlatformReader
from plantaincart_router.direct.ownerless import UnownedRanges
from plantaincart_router.direct.pool import UpstreamPools
from plantaincart_router.direct.rangecodec import read_range
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.store import TableView
from plantaincart_router.log import write_event

__all__ = ["SystemView"]

# Keys reported at a time; what is beyond it counts in the next report.
MAX_REPORTED_KEYS = 512
# Part of the bound on a leaving owner's last request that is made use of. The bound
# runs from the store's acknowledgement, which came after the table was last known.
LEAVING_SHARE = 0.7
# Seconds for which the highest count of instances is believed.
MEMBERS_LAST_S = 5.0


class SystemView(TableSink):
    """
    Beliefs of one instance, fed by the store and by the coordinator.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the instance.
    reader : PlatformReader
        Reads the rows of operators and upstreams.
    pools : UpstreamPools
        Connections that end when their upstream has gone.
    """

    def __init__(
        self, settings: DirectSettings, reader: PlatformReader, pools: UpstreamPools
    ) -> None:
        self._settings = settings
        self._reader = reader
        self._pools = pools
        self._closed_by_row: dict[str, str] = {}
        self._leaving_since: dict[str, float] = {}
        self._seen_working: set[str] = set()
        self._operator_rows_loaded = False
        self._key_loads: dict[str, dict[int, float]] = {}
        self._refused_keys: list[RefusedKey] = []
        self.routing_config: TrafficPlan | None = None
        self.routes: RouteIndex | None = None
        self.directory = UpstreamDirectory()
        self.upstreams_loaded = False
        self.owners: dict[str, OwnerMap] = {}
        self.unowned = UnownedRanges()
        self.map_version = -1
        self.epoch = 0
        self.members = 1
        self.rank: int | None = None
        self._counted_at = 0.0
        self.loads = LoadBook(settings.load)
        self._changed = Event()

    def replace_table(self, table: str, view: TableView, since: float) -> None:
        """Take over a full read of a table."""
        if table == self._reader.upstream_table:
            records = [self._reader.read_upstream(row) for row in view.rows]
            known = {one.id: one for one in self.directory}
            now = monotonic()
            self.directory.replace_all([one for one in records if one], now)
            self._note_leaving(known, since)
            self.upstreams_loaded = True
            write_event("upstreams_read", count=len(self.directory))
        else:
            self._closed_by_row.clear()
            self.change_table(table, view, since)
        self._announce()

    def change_table(self, table: str, view: TableView, since: float) -> None:
        """Take over changes of a table."""
        if table == self._reader.upstream_table:
            self._change_upstreams(view, since)
        else:
            self._change_operator_rows(view, since)
        self._announce()

    def handle_store_lost(self) -> None:
        """Keep what is known while the store doesn't answer."""
        self.directory.note_outage()

    def handle_store_regained(self) -> None:
        """Wait for announcements that lapsed meanwhile."""
        self.directory.note_return(monotonic())

    def defer_removals(self, wait_s: float) -> None:
        """Keep upstreams that vanish for a time, since the store was away."""
        if wait_s > 0.0:
            self.directory.distrust_removals(monotonic() + wait_s)

    def choose_gather_s(self) -> float:
        """Choose how long changes are gathered, by the count of instances."""
        settings = self._settings
        return settings.feed.choose_gather_s(self.members, settings.bounds)

    def expire(self) -> None:
        """Take out upstreams that are still missing after an outage."""
        for record in self.directory.expire(monotonic()):
            self._forget(record)

    def apply_notice(self, notice: CoordinatorNotice) -> bool:
        """
        Take over what the coordinator says.

        Parameters
        ----------
        notice : CoordinatorNotice
            Its message.

        Returns
        -------
        bool
            False if the notice is older than what is known.
        """
        if notice.epoch < self.epoch:
            return False
        if notice.epoch > self.epoch and not notice.complete:
            return False
        self.epoch = notice.epoch
        self._count_members(notice)
        if notice.complete:
            self.owners = {}
        self._apply_changes(notice.changes)
        if notice.complete or notice.changes:
            self.map_version = notice.map_version
            self._announce()
        self._apply_loads(notice)
        return True

    def find_owner(self, service: str, key: int) -> KeyRange | None:
        """Return the range of a key, or None before any map is known."""
        owners = self.owners.get(service)
        return None if owners is None else owners.find(key)

    def displace(self, record: UpstreamRecord) -> None:
        """Take out an upstream whose address another process has."""
        if self.directory.get(record.id) == record:
            write_event("upstream_displaced", upstream=record.id, born=record.born)
            self.directory.displace(record)
            self._forget(record)
            self._announce()

    def can_serve_keys(self, record: UpstreamRecord) -> bool:
        """Whether an owner may still be sent requests for its keys."""
        if self.directory.can_work(record):
            return True
        bounds = self._settings.bounds
        bound_s = bounds.evacuate_s if record.ready else bounds.drain_s
        since = self._leaving_since.get(record.id, float("-inf"))
        return monotonic() - since < bound_s * LEAVING_SHARE

    async def wait_for_change(self) -> None:
        """Wait until the map or the upstreams change."""
        await self._changed.wait()

    def record_key_load(self, service: str, key: int, work_s: float) -> None:
        """Count work that was asked for a key."""
        keys = self._key_loads.setdefault(service, {})
        if key in keys or len(keys) < MAX_REPORTED_KEYS:
            keys[key] = keys.get(key, 0.0) + work_s

    def record_refused_key(
        self, service: str, key: int, owner: str, fence: int
    ) -> None:
        """Note that an owner says it doesn't hold a key."""
        self._refused_keys.append(
            RefusedKey(service=service, key=key, owner=owner, fence=fence)
        )

    def pop_key_loads(self) -> list[KeyLoad]:
        """Return the work asked since the last call."""
        asked, self._key_loads = self._key_loads, {}
        return [
            KeyLoad(
                service=service,
                keys=list(keys),
                work_ms=[round(work * 1000.0) for work in keys.values()],
            )
            for service, keys in asked.items()
        ]

    def pop_refused_keys(self) -> list[RefusedKey]:
        """Return what owners refused since the last call."""
        refusing, self._refused_keys = self._refused_keys, []
        return refusing

    def _change_upstreams(self, view: TableView, since: float) -> None:
        known = {one.id: one for one in self.directory}
        now = monotonic()
        for row in view.rows:
            record = None if row.deleted else self._reader.read_upstream(row)
            if record is not None:
                self.directory.put(record, now)
                self._log_upstream(known.get(record.id), record)
            else:
                self.directory.remove(row.key, now)
        self._note_leaving(known, since)

    def _note_leaving(self, known: dict[str, UpstreamRecord], told: float) -> None:
        """Note upstreams that have begun to leave, at the earliest at a time."""
        for record in self.directory:
            if self.directory.can_work(record):
                self._leaving_since.pop(record.id, None)
                if self._operator_rows_loaded:
                    self._seen_working.add(record.id)
            else:
                # One that never worked here may have been leaving for long.
                working = record.id in self._seen_working
                since = told if working else float("-inf")
                self._leaving_since.setdefault(record.id, since)
        for record in known.values():
            present = self.directory.get(record.id)
            if present is None or present.born != record.born:
                self._forget(record)

    def _forget(self, record: UpstreamRecord) -> None:
        write_event("upstream_gone", upstream=record.id, born=record.born)
        self._pools.close_idle(record)
        if self.directory.get(record.id) is None:
            self.loads.forget(record.id)
            self._leaving_since.pop(record.id, None)
            self._seen_working.discard(record.id)

    def _log_upstream(self, old: UpstreamRecord | None, new: UpstreamRecord) -> None:
        if old is None or (old.born, old.ready) != (new.born, new.ready):
            write_event(
                "upstream_changed",
                upstream=new.id,
                born=new.born,
                service=new.service,
                data_centre=new.data_centre,
                ready=new.ready,
                warmup_left_s=new.warmup_left_s,
            )

    def _change_operator_rows(self, view: TableView, since: float) -> None:
        for row in view.rows:
            if row.deleted:
                self._closed_by_row.pop(row.key, None)
                continue
            closed = self._reader.read_closed_data_centre(row)
            if closed is not None:
                self._closed_by_row[row.key] = closed
            else:
                self._adopt_plan(self._reader.read_plan(row))
        closed_now = frozenset(self._closed_by_row.values())
        changed = closed_now != self.directory.closed_data_centres
        if changed:
            write_event("data_centres_closed", names=sorted(closed_now))
            self.directory.closed_data_centres = closed_now
        if changed or not self._operator_rows_loaded:
            self._operator_rows_loaded = True
            self._note_leaving({}, since)

    def _adopt_plan(self, plan: TrafficPlan | None) -> None:
        if plan is None or (
            self.routing_config and plan.version <= self.routing_config.version
        ):
            return
        self.routing_config = plan
        self.routes = RouteIndex(plan)
        write_event("plan_adopted", version=plan.version, routes=len(plan.routes))

    def _apply_changes(self, changes: list[MapChange]) -> None:
        for change in changes:
            owners = self.owners.setdefault(change.service, OwnerMap())
            keys = read_range(change)
            owners.assign(keys)
            if keys.owner:
                self.unowned.discard_expected(change.service, keys)
            elif change.free_in_s > 0.0:
                free_at = monotonic() + change.free_in_s
                self.unowned.set_expected_at(change.service, keys, free_at)

    def _count_members(self, notice: CoordinatorNotice) -> None:
        """Believe a lower count only after a while: a new coordinator starts at 0."""
        now = monotonic()
        if notice.members >= self.members or now - self._counted_at > MEMBERS_LAST_S:
            self.members = max(1, notice.members)
            self.rank = notice.rank
            self._counted_at = now

    def _apply_loads(self, notice: CoordinatorNotice) -> None:
        now = monotonic()
        if notice.loads is not None:
            slots = {record.id: record.slots for record in self.directory}
            for upstream, total in unpack_loads(notice.loads, slots).items():
                self.loads.record_present(upstream, total, slots[upstream], now)
        for upstream, slowness in notice.slowness.items():
            self.loads.get(upstream).slowness = slowness

    def _announce(self) -> None:
        self._changed.set()
        self._changed = Event()
