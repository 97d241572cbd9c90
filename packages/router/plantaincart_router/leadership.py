"""The shards that this instance leads: claims, takeovers and loss of leadership."""

from asyncio import Task, get_running_loop, sleep
from collections.abc import Callable, Iterable
from dataclasses import replace
from time import monotonic
from uuid import uuid4

from plantaincart_core.configuration import (
    find_service,
    list_data_centres_out_of_service,
)
from plantaincart_core.lease import (
    PromiseRegistry,
    ShardKey,
    SuccessorPromises,
)
from plantaincart_core.membership import (
    Peer,
    PeerRegistry,
    choose_successors,
)
from plantaincart_schema.codec import encode_json
from plantaincart_schema.generated.mesh import Handover, LeaderAnnouncement
from plantaincart_schema.generated.platform import (
    Condition,
    InstanceLease,
    Row,
    ShardLease,
    Transaction,
    Write,
)
from plantaincart_schema.generated.settings import LeaseSettings

from plantaincart_router.authority import Authority
from plantaincart_router.claim import (
    Claim,
    build_claim,
    build_first_row,
    decode_lease_row,
    pick_newer_row,
)
from plantaincart_router.exception import PlatformRefusedError, PlatformUnavailableError
from plantaincart_router.leaders import LeaderMap
from plantaincart_router.leasekeeper import LeaseKeeper, lease_key
from plantaincart_router.log import write_event
from plantaincart_router.platform.table import Table, commit_and_confirm
from plantaincart_router.recorder import records_prefix
from plantaincart_router.replica import ReplicaStore, collect_replicas
from plantaincart_router.rowview import RowView
from plantaincart_router.shard import Shard, ShardContext
from plantaincart_router.shardrow import ShardRow, shard_row_key
from plantaincart_router.watcher import TableWatcher

__all__ = ["Leadership"]

CLAIM_TIMEOUT_S = 0.8
LOAD_RETRY_S = 0.1


class Leadership(Authority):
    """
    Claim shards, and start and stop leading them.

    Parameters
    ----------
    context_builder : callable
        Builds the context of the shards; takes this object as their authority.
    describe_self : callable
        Returns this instance as a peer.
    peers : PeerRegistry
        Live peers.
    table : Table
        Platform table.
    watcher : TableWatcher
        Reads the lease and shard rows periodically.
    keeper : LeaseKeeper
        Lease of this instance.
    settings : LeaseSettings
        Durations of leases.
    leaders : LeaderMap
        Updated with the leader that each shard row names.
    replicas : ReplicaStore
        Replicas that this instance stores for other leaders.

    Notes
    -----
    A shard's row names its leader and the incarnation under which that instance
    holds its lease. Another instance takes the shard over once the lease row has
    stayed unchanged under that incarnation for the lease duration. The takeover is
    one transaction: its conditions are the versions of both rows as they were read,
    and it increments the epoch and marks the lease as lost, so the earlier leader
    can't renew it.
    """

    def __init__(
        self,
        context_builder: Callable[[Authority], ShardContext],
        describe_self: Callable[[], Peer],
        peers: PeerRegistry,
        table: Table,
        watcher: TableWatcher,
        keeper: LeaseKeeper,
        settings: LeaseSettings,
        leaders: LeaderMap,
        replicas: ReplicaStore,
    ) -> None:
        self._describe_self = describe_self
        self._peers = peers
        self._table = table
        self.watcher = watcher
        self._settings = settings
        self._replicas = replicas
        self._loop = get_running_loop()
        self._claims: dict[ShardKey, Task[None]] = {}
        self.keeper = keeper
        self.continuation = SuccessorPromises(settings)
        self.promises = PromiseRegistry(
            monotonic() + settings.promise_ttl_s + settings.margin_s
        )
        self.shards: dict[ShardKey, Shard] = {}
        self.rows = RowView(settings, self.promises, leaders)
        self.stopping = False
        self.isolated = False
        self.context = context_builder(self)

    def find_authority_expiry(
        self, shard: ShardKey, epoch: int, successors: set[str]
    ) -> float:
        """Return until when this instance may lead a shard; see `Authority`."""
        covered = self.continuation.find_promised_until(
            shard, epoch, successors, self.keeper.last_renewal
        )
        return max(self.keeper.lease.expires_at, covered)

    def is_table_reachable(self) -> bool:
        """Return whether a recent read of the table succeeded."""
        return self.watcher.is_reachable(monotonic())

    def report_loss(self, shard: ShardKey, epoch: int, reason: str) -> None:
        """Stop leading a shard whose leadership in this epoch has ended."""
        led = self.shards.get(shard)
        if led is not None and led.row.epoch == epoch:
            self.stop_leading(shard, reason)

    def stop_leading(self, shard: ShardKey, reason: str) -> None:
        """Stop leading a shard."""
        led = self.shards.pop(shard, None)
        if led is None:
            return
        write_event(
            "leadership_ended", shard=str(shard), epoch=led.row.epoch, reason=reason
        )
        led.close()
        self.continuation.discard(shard)

    def stop_leading_all(self) -> None:
        """Stop leading all shards because the lease has been marked as lost."""
        for shard in list(self.shards):
            self.stop_leading(shard, "lease marked as lost")

    def list_shards(self) -> list[ShardKey]:
        """List all shards of the configuration."""
        configuration = self.context.configuration.current
        return [
            ShardKey(service.name, number)
            for service in configuration.services
            for number in range(service.shards)
        ]

    def list_keys(self) -> Iterable[str]:
        """List the keys of the table rows that the watcher reads."""
        return self.rows.list_keys(self.list_shards(), [self._describe_self().name])

    async def read_lease(self, name: str) -> InstanceLease | None:
        """Read an instance's lease; None if there is none or the read failed."""
        key = lease_key(name)
        try:
            rows = await self._table.read([key])
        except (PlatformUnavailableError, PlatformRefusedError):
            return None
        return decode_lease_row(rows.get(key))

    def is_named_as_leader(self, row: ShardLease) -> bool:
        """Return whether a row names this instance under its present lease."""
        return (row.leader, row.incarnation) == (
            self._describe_self().name,
            self.keeper.incarnation,
        )

    def choose_successors(self) -> list[str]:
        """Choose the successors to name in the rows of the shards led here."""
        live = self._peers.list_live(monotonic())
        return choose_successors(self._describe_self(), live, self._settings.successors)

    def update_configuration(self) -> None:
        """Apply the current configuration to the shards led here."""
        configuration = self.context.configuration.current
        for key, shard in list(self.shards.items()):
            service = find_service(configuration, key.service)
            if service is None or key.shard >= service.shards:
                self.stop_leading(key, "no longer configured")
            else:
                shard.update_configuration(service)

    def is_claiming(self, shard: ShardKey) -> bool:
        """Return whether a claim of a shard is in progress."""
        return shard in self._claims

    def list_named_not_led(self) -> list[ShardKey]:
        """List the shards whose row names this instance but which it doesn't lead."""
        return [
            shard
            for shard, row in self.rows.list_rows()
            if self.is_named_as_leader(row)
            and shard not in self.shards
            and shard not in self._claims
        ]

    async def relinquish(self, shard: ShardKey) -> bool:
        """Clear the leader in a shard's row that names this instance."""
        row, version = self.rows.find(shard)
        if row is None:
            return False
        cleared = replace(row, leader="", incarnation="", epoch=row.epoch + 1)
        key = shard_row_key(shard)
        transaction = Transaction(
            write_id=uuid4().hex,
            conditions=[Condition(key=key, version=version)],
            writes=[Write(key=key, value=encode_json(cleared))],
        )
        try:
            answer = await self._table.commit(transaction)
        except (PlatformUnavailableError, PlatformRefusedError):
            return False
        write_event("shard_relinquished", shard=str(shard), written=answer.committed)
        return answer.committed

    def is_data_centre_out_of_service(self) -> bool:
        """Return whether this instance's data centre is out of service."""
        configuration = self.context.configuration.current
        return self._describe_self().data_centre in list_data_centres_out_of_service(
            configuration
        )

    def announce(self, shard: Shard) -> None:
        """Announce to every peer that this instance leads a shard."""
        self.context.mesh.broadcast(self.describe_leader(shard))

    @property
    def name(self) -> str:
        """Name of this instance."""
        return self._describe_self().name

    def describe_leader(self, shard: Shard) -> LeaderAnnouncement:
        """Build the announcement that this instance leads a shard."""
        return LeaderAnnouncement(
            service=shard.key.service,
            shard=shard.key.shard,
            leader=self._describe_self().name,
            incarnation=self.keeper.incarnation,
            epoch=shard.row.epoch,
        )

    def start_claim(self, claim: Claim) -> Task[None] | None:
        """Start a claim unless the shard is led here or being claimed already."""
        if claim.shard in self._claims or claim.shard in self.shards:
            return None
        self.promises.begin_takeover(claim.shard)
        task = self._loop.create_task(self._claim(claim))
        self._claims[claim.shard] = task
        task.add_done_callback(lambda task: self._finish_claim(claim.shard, task))
        return task

    async def start_leading(
        self, row: ShardLease, version: int, earlier_grants_expire_at: float, cause: str
    ) -> Shard | None:
        """
        Start to lead a shard whose row names this instance.

        Parameters
        ----------
        row : ShardLease
            The row.
        version : int
            Version of the row in the table.
        earlier_grants_expire_at : float
            Time in seconds of the monotonic clock by which all grants of earlier
            leaders have expired.
        cause : str
            Cause of the change of leader, for the log and the metrics.

        Returns
        -------
        Shard or None
            The shard; None if its service isn't configured or this instance leads
            the shard already.
        """
        key = ShardKey(row.service, row.shard)
        service = find_service(self.context.configuration.current, row.service)
        if service is None or key in self.shards:
            return None
        self.rows.record_row(key, row, version)
        shard_row = ShardRow(key, row, version, self._table, self.context.mesh, self)
        shard = Shard(self.context, service, shard_row, earlier_grants_expire_at)
        self.shards[key] = shard
        shard.start()
        write_event("leadership_began", shard=str(key), epoch=row.epoch, cause=cause)
        self.context.metrics.takeovers.labels(cause).inc()
        self.announce(shard)
        return shard

    async def load_records(
        self,
        shard: Shard,
        handover: Handover | None,
        earlier_successors: Iterable[str] = (),
    ) -> None:
        """
        Load a shard's records from a handover, or from the table and the replicas.

        Parameters
        ----------
        shard : Shard
            The shard.
        handover : Handover or None
            Handover message of the earlier leader, if there was one.
        earlier_successors : iterable of str
            Successors named by the earlier leader; they store the record batches
            that it could not write to the table.
        """
        if handover is not None and handover.complete:
            shard.load_handover(handover)
            shard.spawn(self._track_record_rows(shard))
            return
        rows = await self._scan_records(shard)
        replicas = await collect_replicas(
            self.context.mesh,
            shard.key,
            shard.successors.union(earlier_successors) - {self.name},
            self._replicas,
        )
        if not shard.closed:
            handover_batches = handover.batches if handover is not None else []
            shard.load_records(rows, [*handover_batches, *replicas.batches])

    async def _track_record_rows(self, shard: Shard) -> None:
        shard.recorder.track_rows(await self._scan_records(shard))

    async def _scan_records(self, shard: Shard) -> dict[str, Row]:
        while not shard.closed:
            try:
                return await self._table.scan(records_prefix(shard.key))
            except (PlatformUnavailableError, PlatformRefusedError):
                await sleep(LOAD_RETRY_S)
        return {}

    async def _claim(self, claim: Claim) -> None:
        replicas = await collect_replicas(
            self.context.mesh,
            claim.shard,
            set(claim.row.successors) if claim.row else set(),
            self._replicas,
        )
        latest_row = claim.row or build_first_row(claim.shard)
        rows = [*replicas.rows, claim.handover.row if claim.handover else b""]
        latest_row = pick_newer_row(latest_row, rows)
        row = replace(
            latest_row,
            leader=self._describe_self().name,
            incarnation=self.keeper.incarnation,
            epoch=latest_row.epoch + 1,
            successors=self.choose_successors(),
        )
        transaction = build_claim(claim, row)
        deadline = monotonic() + CLAIM_TIMEOUT_S
        try:
            answer = await commit_and_confirm(self._table, transaction, deadline)
        except (PlatformUnavailableError, PlatformRefusedError):
            write_event("claim_unresolved", shard=str(claim.shard), epoch=row.epoch)
            return
        if not answer.committed:
            write_event("claim_lost", shard=str(claim.shard), epoch=row.epoch)
            return
        key = shard_row_key(claim.shard)
        version = next(
            written.version for written in answer.versions if written.key == key
        )
        shard = await self.start_leading(
            row, version, claim.earlier_grants_expire_at, claim.cause
        )
        if shard is not None:
            handover = claim.handover
            if handover is not None:
                shard.upstreams.apply_handover(handover)
            earlier_successors = claim.row.successors if claim.row is not None else []
            await self.load_records(shard, handover, earlier_successors)

    def _finish_claim(self, shard: ShardKey, task: Task[None]) -> None:
        self._claims.pop(shard, None)
        self.promises.end_takeover(shard)
        if not task.cancelled() and task.exception() is not None:
            write_event("claim_failed", shard=str(shard), error=repr(task.exception()))
