"""Model of an instance: lease, promises, takeovers and handovers."""

from dataclasses import dataclass, replace
from math import inf
from typing import TYPE_CHECKING

from plantaincart_core.grant import UpstreamGrants
from plantaincart_core.lease import HeldLease, LeaseObserver
from plantaincart_core.membership import choose_successors
from plantaincart_core.promise import PromiseRegistry, SuccessorPromises
from plantaincart_core.slot import ShardKey
from plantaincart_core.takeover import find_earlier_grant_expiry, may_take_over
from plantaincart_core.tests.model_grant import (
    GRANTS,
    GrantingProcess,
    Leadership,
    ShardRow,
)
from plantaincart_core.tests.simulation import Rows

if TYPE_CHECKING:
    from plantaincart_core.tests.model import System

READ_TIMEOUT_S = 1.0
RESEND_INTERVAL_S = 1.0
GRANT_INTERVAL_S = 0.04
PROMISE_INTERVAL_S = 0.25


@dataclass(frozen=True)
class LeaseRow:
    incarnation: str
    sequence: int
    lost: bool = False


@dataclass(frozen=True)
class PendingWrite:
    """A write of a shard's row, sent again until it is committed or can't commit."""

    row: ShardRow
    conditions: dict[str, int]
    writes: dict[str, ShardRow | LeaseRow]


class Instance(GrantingProcess):
    def __init__(self, system: "System", name: str, rate: float, offset: float):
        super().__init__(system.simulation, name, rate, offset)
        self.system = system

    def start(self) -> None:
        super().start()
        settings = self.settings = self.system.leases
        bound_s = settings.promise_ttl_s + settings.margin_s
        self.observer = LeaseObserver(settings)
        self.promises = PromiseRegistry(self.now + bound_s)
        self.leaderships: dict[ShardKey, Leadership] = {}
        self.pending_writes: dict[ShardKey, PendingWrite] = {}
        self.seen_versions: dict[ShardKey, int] = {}
        self.epochs: dict[ShardKey, tuple[int, float]] = {}
        self.lease_count = 0
        self.read_deadline = -inf
        self.begin_lease()
        self.every(settings.renew_s, self.renew)
        self.every(settings.poll_s, self.poll)
        self.every(GRANT_INTERVAL_S, self.tick)
        self.every(PROMISE_INTERVAL_S, self.request_promises)
        self.every(
            RESEND_INTERVAL_S, lambda: [self.send(s) for s in list(self.pending_writes)]
        )
        self.renew()

    @property
    def lease_key(self) -> str:
        return f"leases/{self.name}"

    def begin_lease(self) -> None:
        self.lease_count += 1
        self.incarnation = f"{self.start_count}+{self.lease_count}"
        self.lease = HeldLease(self.settings)
        self.continuation = SuccessorPromises(self.settings)
        self.lease_version = -1
        self.renewals: dict[int, float] = {}

    # Leadership

    def is_leading(self, shard: ShardKey) -> bool:
        return (
            self.alive
            and shard in self.leaderships
            and self.now < self.leadership_ends_at(shard)
        )

    def leadership_ends_at(self, shard: ShardKey) -> float:
        row = self.leaderships[shard].row
        covered = self.continuation.find_promised_until(
            shard, row.epoch, self.list_successors(shard), self.lease.last_renewal
        )
        return max(self.lease.expires_at, covered)

    def list_successors(self, shard: ShardKey) -> set[str]:
        names = set(self.leaderships[shard].row.successors)
        if shard in self.pending_writes:
            names.update(self.pending_writes[shard].row.successors)
        return names

    def start_leading(
        self, shard: ShardKey, row: ShardRow, earlier_grants_expire_at: float
    ) -> None:
        owners = dict(row.owners)
        upstreams = self.system.upstreams[shard]
        self.leaderships[shard] = Leadership(
            row=row,
            grants={
                name: UpstreamGrants(
                    GRANTS, earlier_grants_expire_at=earlier_grants_expire_at
                )
                for name in upstreams
            },
            target_owners=owners,
            last_answer_at=dict.fromkeys(upstreams, self.now),
        )
        self.system.check_leaders()

    def resign(self, shard: ShardKey) -> None:
        if self.leaderships.pop(shard, None):
            self.continuation.discard(shard)

    # Lease and table

    def renew(self) -> None:
        sequence = max(self.renewals, default=0) + 1
        self.renewals[sequence] = self.now
        row = LeaseRow(self.incarnation, sequence)
        table = self.system.table
        if self.lease_version < 0:
            self.lease_version = table.find_version(self.lease_key)
        lease = self.lease

        def resolve(rows: Rows) -> None:
            if lease is self.lease:
                self.process_rows(rows)

        conditions = {self.lease_key: self.lease_version}
        table.commit(self, conditions, {self.lease_key: row}, resolve)

    def poll(self) -> None:
        """Read the rows unless a read is in progress that hasn't timed out."""
        if self.read_deadline > self.now:
            return
        self.read_deadline = self.now + READ_TIMEOUT_S
        sent_at = self.now
        self.observer.record_failed_read(sent_at)

        def receive(rows: Rows) -> None:
            self.read_deadline = -inf
            versions = {
                f"{key}/{row.value.incarnation}": row.version
                for key, row in rows.items()
                if key.startswith("leases/")
            }
            self.observer.observe_rows(sent_at, self.now, versions)
            self.process_rows(rows)
            for shard in self.system.upstreams:
                self.consider_takeover(shard, rows)

        self.system.table.read(self, receive)

    def process_rows(self, rows: Rows) -> None:
        self.update_lease(rows)
        for shard in self.system.upstreams:
            row = rows[str(shard)]
            if row.version > self.seen_versions.get(shard, 0):
                self.seen_versions[shard] = row.version
                self.update_shard(shard, row.value)
        self.close_writes(rows)

    def update_lease(self, rows: Rows) -> None:
        row = rows.get(self.lease_key)
        if row is None or row.version <= self.lease_version:
            return
        if row.value.incarnation == self.incarnation and not row.value.lost:
            self.lease_version = row.version
            self.lease.record_renewal(self.renewals[row.value.sequence])
            self.system.check_leaders()
        else:
            for shard in list(self.leaderships):
                self.resign(shard)
            self.lease.invalidate(self.now)
            self.begin_lease()
            self.lease_version = row.version

    def update_shard(self, shard: ShardKey, row: ShardRow) -> None:
        self.promises.record_epoch(shard, row.epoch)
        pending_write = self.pending_writes.get(shard)
        epoch, replaced_at = self.epochs.get(shard, (-1, self.now))
        if row.epoch > epoch:
            self.epochs[shard] = (row.epoch, self.now)
        is_own = (row.leader, row.incarnation) == (self.name, self.incarnation)
        if not is_own:
            self.resign(shard)
        elif (
            shard in self.leaderships and self.leaderships[shard].row.epoch == row.epoch
        ):
            self.leaderships[shard].row = row
        else:
            by_takeover = pending_write is not None and pending_write.row == row
            seen_at = replaced_at if by_takeover else self.now
            self.start_leading(
                shard, row, find_earlier_grant_expiry(GRANTS, seen_at, self.now)
            )

    def consider_takeover(self, shard: ShardKey, rows: Rows) -> None:
        row = rows[str(shard)].value
        is_own = (row.leader, row.incarnation) == (self.name, self.incarnation)
        if is_own or shard in self.leaderships or shard in self.pending_writes:
            return
        stale = rows[str(shard)].version < self.seen_versions[shard]
        if stale or not self.lease.is_held(self.now):
            return
        key = f"leases/{row.leader}"
        lease = rows.get(key)
        same_incarnation = (
            lease is not None and lease.value.incarnation == row.incarnation
        )
        if row.leader and not may_take_over(
            shard=shard,
            successors=row.successors,
            candidate=self.name,
            unchanged_s=self.observer.measure_unchanged_s(f"{key}/{row.incarnation}"),
            settings=self.settings,
            promises=self.promises,
            now=self.now,
            lost=same_incarnation and lease.value.lost,
        ):
            return
        new = replace(row, leader=self.name, incarnation=self.incarnation)
        new = replace(new, epoch=row.epoch + 1, successors=self.select_successors())
        conditions = {key: lease.version if lease else 0} if row.leader else {}
        lost_row = {key: replace(lease.value, lost=True)} if same_incarnation else {}
        self.promises.begin_takeover(shard)
        self.write(shard, new, conditions, lost_row)

    def write(self, shard: ShardKey, row: ShardRow, lease=None, lost_row=None) -> None:
        conditions = {str(shard): self.seen_versions[shard], **(lease or {})}
        writes = {str(shard): row, **(lost_row or {})}
        self.pending_writes[shard] = PendingWrite(row, conditions, writes)
        self.send(shard)

    def send(self, shard: ShardKey) -> None:
        pending_write = self.pending_writes[shard]
        self.system.table.commit(
            self, pending_write.conditions, pending_write.writes, self.process_rows
        )

    def close_writes(self, rows: Rows) -> None:
        for shard, pending_write in list(self.pending_writes.items()):
            if any(
                key in rows and rows[key].version > version
                for key, version in pending_write.conditions.items()
            ):
                del self.pending_writes[shard]
                self.promises.end_takeover(shard)

    def change_successors(self, shard: ShardKey, names: tuple[str, ...]) -> None:
        if shard in self.leaderships and shard not in self.pending_writes:
            self.write(shard, replace(self.leaderships[shard].row, successors=names))

    def hand_over(self, shard: ShardKey, peer: "Instance") -> None:
        if (
            peer is self
            or shard not in self.leaderships
            or shard in self.pending_writes
        ):
            return
        row = self.leaderships[shard].row
        self.resign(shard)
        new = replace(row, leader=peer.name, incarnation=peer.incarnation)
        self.write(shard, replace(new, epoch=row.epoch + 1))

    # Promises

    def select_successors(self) -> tuple[str, ...]:
        peers = {peer.name: peer for peer in self.system.list_peers()}
        return tuple(choose_successors(peers[self.name], peers.values(), 2))

    def request_promises(self) -> None:
        """Request promises of the successors if renewals of the lease fail."""
        if self.now - self.lease.last_renewal < 2 * self.settings.renew_s:
            return
        for shard, leadership in self.leaderships.items():
            for name in self.list_successors(shard):
                peer = self.system.instances[name]
                self.request_promise(
                    peer, shard, leadership.row.epoch, self.continuation
                )

    def request_promise(self, peer, shard, epoch, continuation) -> None:
        sent_at = self.now
        start_count = self.start_count

        def receive() -> None:
            continuation.record_answer(peer.name, sent_at, [(shard, epoch)])
            self.system.check_leaders()

        def serve() -> None:
            settings = self.settings
            until = peer.now + settings.promise_ttl_s + settings.margin_s
            if (
                peer.promises.make_promise(shard, epoch, until)
                and start_count == self.start_count
            ):
                self.after(self.system.network.draw_delay(), receive)

        if self.system.is_connected(self.name, peer.name):
            peer.after(self.system.network.draw_delay(), serve)
