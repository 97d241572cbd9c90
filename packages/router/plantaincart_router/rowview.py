"""The shard and lease rows of the table as this instance last read them."""

from collections.abc import Iterable, Sequence
from time import monotonic

from plantaincart_core.lease import LeaseObserver, PromiseBook, ShardKey
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
    Follow the rows and measure how long each holder's lease stays unchanged.

    Parameters
    ----------
    settings : LeaseSettings
        Durations of leases.
    promises : PromiseBook
        Told of the epochs seen.
    leaders : LeaderMap
        Told of every leader.

    Notes
    -----
    A lease is observed under its holder's name and incarnation: when another
    incarnation renews the row, the earlier one's lease counts as absent.
    """

    def __init__(
        self, settings: LeaseSettings, promises: PromiseBook, leaders: LeaderMap
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
        """Tell whether the latest read showed the shard's row."""
        return shard in self._present

    def list_rows(self) -> list[tuple[ShardKey, ShardLease]]:
        """List the rows known."""
        return [(shard, row) for shard, (row, _) in self._rows.items()]

    def find_lease(self, name: str) -> InstanceLease | None:
        """Return the lease of an instance as last read."""
        return decode_lease_row(self._leases.get(name))

    def find_lease_row(self, name: str) -> Row | None:
        """Return the lease row of an instance as last read."""
        return self._leases.get(name)

    def list_keys(self, shards: Iterable[ShardKey], names: Iterable[str]) -> list[str]:
        """List the table keys to read: of shards, instances and known leaders."""
        leaders = {row.leader for row, _ in self._rows.values() if row.leader}
        return [
            *(shard_row_key(shard) for shard in shards),
            *(lease_key(name) for name in sorted(leaders.union(names))),
        ]

    def follow(self, view: TableView, shards: Sequence[ShardKey]) -> None:
        """Take over a successful read."""
        self._leases = {
            key.removeprefix("leases/"): row
            for key, row in view.rows.items()
            if key.startswith("leases/")
        }
        self._present = set()
        versions: dict[str, int] = {}
        for shard in shards:
            found = view.rows.get(shard_row_key(shard))
            row = decode_shard_row(found)
            if row is not None and found is not None:
                self._present.add(shard)
                self.observe(shard, row, found.version)
                versions[format_lease_holder(row)] = self._find_holder_version(row)
        self._observer.observe_rows(view.sent_at, view.received_at, versions)

    def observe_failure(self, now: float) -> None:
        """Take note of a failed read."""
        self._observer.observe_failure(now)

    def observe(self, shard: ShardKey, row: ShardLease, version: int) -> None:
        """Take note of a shard's row, read or written."""
        known = self._rows.get(shard)
        if known is None or version > known[1]:
            self._rows[shard] = (row, version)
        seen = self._epochs_seen.get(shard)
        if seen is None or row.epoch > seen[0]:
            self._epochs_seen[shard] = (row.epoch, monotonic())
        self._promises.record_epoch(shard, row.epoch)
        self._leaders.update(shard, Leader(row.leader, row.incarnation, row.epoch))

    def find_epoch_seen_at(self, shard: ShardKey) -> float:
        """Return when this instance first saw a row of the shard's present epoch."""
        return self._epochs_seen[shard][1]

    def unchanged_for(self, row: ShardLease) -> float:
        """Return for how many seconds the leader's lease is known to be unchanged."""
        return self._observer.unchanged_for(format_lease_holder(row))

    def is_marked_lost(self, row: ShardLease) -> bool:
        """Tell whether a taker has marked the leader's lease as lost."""
        lease = self.find_lease(row.leader)
        return lease is not None and (
            lease.lost and lease.incarnation == row.incarnation
        )

    def _find_holder_version(self, row: ShardLease) -> int:
        """Return the version of the holder's lease row, 0 if it holds none."""
        found = self._leases.get(row.leader)
        lease = decode_lease_row(found)
        if found is None or lease is None or lease.lost:
            return 0
        return found.version if lease.incarnation == row.incarnation else 0
