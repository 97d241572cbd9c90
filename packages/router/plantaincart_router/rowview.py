"""The shard and lease rows of the table, as last read by this instance."""

from collections.abc import Iterable, Sequence
from time import monotonic

from plantaincart_core.lease import LeaseObserver, PromiseRegistry, ShardKey
from plantaincart_schema.generated.platform import InstanceLease, Row, ShardLease
from plantaincart_schema.generated.settings import LeaseSettings

from plantaincart_router.claim import (
    decode_lease_row,
    decode_shard_row,
    format_lease_holder,
)
from plantaincart_router.leaders import Leader, LeaderMap
from plantaincart_router.leasekeeper import lease_key
from plantaincart_router.shardrow import shard_row_key
from plantaincart_router.watcher import TableView

__all__ = ["RowView"]


class RowView:
    """
    Store the rows as last read and measure how long each lease stays unchanged.

    Parameters
    ----------
    settings : LeaseSettings
        Durations of leases.
    promises : PromiseRegistry
        Updated with the epochs of the rows.
    leaders : LeaderMap
        Updated with the leader that each shard row names.

    Notes
    -----
    A lease is observed under its holder's name and incarnation: when the row is renewed
    under another incarnation, the lease of the earlier incarnation counts as absent.
    """

    def __init__(
        self, settings: LeaseSettings, promises: PromiseRegistry, leaders: LeaderMap
    ) -> None:
        self._promises = promises
        self._leaders = leaders
        self._observer = LeaseObserver(settings)
        self._rows: dict[ShardKey, tuple[ShardLease, int]] = {}
        self._epochs_seen: dict[ShardKey, tuple[int, float]] = {}
        self._present: set[ShardKey] = set()
        self._leases: dict[str, Row] = {}

    def find(self, shard: ShardKey) -> tuple[ShardLease | None, int]:
        """Return a shard's row and its version, or None and 0."""
        return self._rows.get(shard, (None, 0))

    def is_present(self, shard: ShardKey) -> bool:
        """Return whether the latest read showed the shard's row."""
        return shard in self._present

    def list_rows(self) -> list[tuple[ShardKey, ShardLease]]:
        """List all shard rows."""
        return [(shard, row) for shard, (row, _) in self._rows.items()]

    def find_lease(self, name: str) -> InstanceLease | None:
        """Return the lease of an instance as last read."""
        return decode_lease_row(self._leases.get(name))

    def find_lease_row(self, name: str) -> Row | None:
        """Return the lease row of an instance as last read."""
        return self._leases.get(name)

    def list_keys(self, shards: Iterable[ShardKey], names: Iterable[str]) -> list[str]:
        """List the table keys of the given shards, instances and all known leaders."""
        leaders = {row.leader for row, _ in self._rows.values() if row.leader}
        return [
            *(shard_row_key(shard) for shard in shards),
            *(lease_key(name) for name in sorted(leaders.union(names))),
        ]

    def update(self, view: TableView, shards: Sequence[ShardKey]) -> None:
        """Store the rows of a successful read."""
        self._leases = {
            key.removeprefix("leases/"): row
            for key, row in view.rows.items()
            if key.startswith("leases/")
        }
        self._present = set()
        versions: dict[str, int] = {}
        for shard in shards:
            table_row = view.rows.get(shard_row_key(shard))
            row = decode_shard_row(table_row)
            if row is not None and table_row is not None:
                self._present.add(shard)
                self.record_row(shard, row, table_row.version)
                versions[format_lease_holder(row)] = self._find_holder_version(row)
        self._observer.observe_rows(view.sent_at, view.received_at, versions)

    def record_failed_read(self, now: float) -> None:
        """Record a failed read."""
        self._observer.record_failed_read(now)

    def record_row(self, shard: ShardKey, row: ShardLease, version: int) -> None:
        """Record a shard's row that was read or written."""
        stored = self._rows.get(shard)
        if stored is None or version > stored[1]:
            self._rows[shard] = (row, version)
        latest_epoch = self._epochs_seen.get(shard)
        if latest_epoch is None or row.epoch > latest_epoch[0]:
            self._epochs_seen[shard] = (row.epoch, monotonic())
        self._promises.record_epoch(shard, row.epoch)
        self._leaders.update(shard, Leader(row.leader, row.incarnation, row.epoch))

    def find_epoch_seen_at(self, shard: ShardKey) -> float:
        """Return when this instance first read a row with the shard's present epoch."""
        return self._epochs_seen[shard][1]

    def measure_unchanged_s(self, row: ShardLease) -> float:
        """Return for how many seconds the leader's lease has been seen unchanged."""
        return self._observer.measure_unchanged_s(format_lease_holder(row))

    def is_marked_lost(self, row: ShardLease) -> bool:
        """Return whether a taker has marked the leader's lease as lost."""
        lease = self.find_lease(row.leader)
        return lease is not None and (
            lease.lost and lease.incarnation == row.incarnation
        )

    def _find_holder_version(self, row: ShardLease) -> int:
        """Return the version of the leader's lease row, or 0 if it holds no lease."""
        table_row = self._leases.get(row.leader)
        lease = decode_lease_row(table_row)
        if table_row is None or lease is None or lease.lost:
            return 0
        return table_row.version if lease.incarnation == row.incarnation else 0
