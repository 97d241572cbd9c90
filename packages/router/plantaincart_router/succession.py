"""Promises and replicas between leaders and successors; periodic maintenance."""

from asyncio import Event, gather, get_running_loop, sleep, timeout
from time import monotonic

from plantaincart_core.lease import ShardKey
from plantaincart_core.membership import PeerRegistry, count_excess_shards
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.mesh import (
    Acknowledgement,
    PromiseAnswer,
    PromiseRequest,
    RecordReplica,
    RecordReplicaAnswer,
    RecordReplicaRequest,
    ShardEpoch,
)
from plantaincart_schema.generated.settings import LeaseSettings

from plantaincart_router.exception import (
    MeshTimeoutError,
    PeerLostError,
)
from plantaincart_router.handover import Handovers
from plantaincart_router.leadership import Leadership
from plantaincart_router.mesh import Mesh
from plantaincart_router.replica import ReplicaStore
from plantaincart_router.shard import Shard

__all__ = ["Succession"]

PROMISE_INTERVAL_S = 0.2
PROMISE_TIMEOUT_S = 0.3
# Remaining lease time below which a leader that can't reach the table releases a shard
# to a successor that can.
RELEASE_BEFORE_S = 0.5
MAINTENANCE_INTERVAL_S = 1.0


class Succession:
    """
    Exchange promises and replicas, update successors and balance the leadership.

    Parameters
    ----------
    leadership : Leadership
        The shards of this instance.
    mesh : Mesh
        Connections to the peers.
    peers : PeerRegistry
        Live peers.
    settings : LeaseSettings
        Durations of leases and promises.
    replicas : ReplicaStore
        Replicas that this instance stores for other leaders.
    handovers : Handovers
        Performs handovers.

    Notes
    -----
    A leader that can't renew its lease asks each named successor to promise not to
    take over for a limited time. A successor that can't reach the table either
    promises. If a successor can reach the table, only this instance is cut off from
    it, and the shard is handed to that successor.
    """

    def __init__(
        self,
        leadership: Leadership,
        mesh: Mesh,
        peers: PeerRegistry,
        settings: LeaseSettings,
        replicas: ReplicaStore,
        handovers: Handovers,
    ) -> None:
        self._leadership = leadership
        self._handovers = handovers
        self._mesh = mesh
        self._peers = peers
        self._settings = settings
        self._replicas = replicas
        self._maintenance_requested = Event()
        self._loop = get_running_loop()
        mesh.register_handler(PromiseRequest, self._answer_promise)
        mesh.register_handler(RecordReplica, self._answer_replica)
        mesh.register_handler(RecordReplicaRequest, self._answer_replica_request)

    async def run_promises(self) -> None:
        """Request promises while the lease can't be renewed, until cancelled."""
        while True:
            if self._leadership.keeper.failing and self._leadership.shards:
                await self._request_promises()
            await sleep(PROMISE_INTERVAL_S)

    async def run_maintenance(self) -> None:
        """Update successors and balance the leadership, until cancelled."""
        while True:
            await self._await_next_maintenance()
            if not self._leadership.is_table_reachable():
                continue
            await self._hand_over_if_out_of_service()
            await self._update_successors()
            await self._rebalance()

    def request_maintenance(self) -> None:
        """Start the next round of maintenance at once, after a new configuration."""
        self._maintenance_requested.set()

    async def _await_next_maintenance(self) -> None:
        try:
            async with timeout(MAINTENANCE_INTERVAL_S):
                await self._maintenance_requested.wait()
        except TimeoutError:
            return
        finally:
            self._maintenance_requested.clear()

    async def _request_promises(self) -> None:
        successors: dict[str, list[Shard]] = {}
        for shard in self._leadership.shards.values():
            for name in shard.successors:
                successors.setdefault(name, []).append(shard)
        await gather(
            *(
                self._request_promise(name, shards)
                for name, shards in successors.items()
            )
        )

    async def _request_promise(self, name: str, shards: list[Shard]) -> None:
        request = PromiseRequest(
            shards=[
                ShardEpoch(
                    service=shard.key.service,
                    shard=shard.key.shard,
                    epoch=shard.row.epoch,
                )
                for shard in shards
            ],
            ttl_s=self._settings.promise_ttl_s,
        )
        sent_at = monotonic()
        try:
            answer = await self._mesh.request(
                name, request, PromiseAnswer, PROMISE_TIMEOUT_S
            )
        except (PeerLostError, MeshTimeoutError, MalformedMessageError):
            return
        promised = [
            (ShardKey(granted.service, granted.shard), granted.epoch)
            for granted in answer.granted
        ]
        self._leadership.continuation.record_answer(name, sent_at, promised)
        expires_at = self._leadership.keeper.lease.expires_at
        if answer.table_reachable and (expires_at - monotonic() < RELEASE_BEFORE_S):
            for shard in shards:
                await self._handovers.release(shard, name)

    async def _answer_promise(
        self, sender: str, request: PromiseRequest
    ) -> PromiseAnswer:
        reachable = self._leadership.is_table_reachable()
        promises = self._leadership.promises
        until = monotonic() + request.ttl_s + self._settings.margin_s
        granted = [
            shard
            for shard in request.shards
            if not reachable
            and promises.make_promise(
                ShardKey(shard.service, shard.shard), shard.epoch, until
            )
        ]
        return PromiseAnswer(granted=granted, table_reachable=reachable)

    async def _answer_replica(
        self, sender: str, replica: RecordReplica
    ) -> Acknowledgement:
        key = ShardKey(replica.service, replica.shard)
        row, _ = self._leadership.rows.find(key)
        if self._leadership.is_claiming(key) or key in self._leadership.shards:
            return Acknowledgement(accepted=False, reason="taking over")
        epoch = row.epoch if row is not None else 0
        return Acknowledgement(accepted=self._replicas.store(replica, epoch))

    async def _answer_replica_request(
        self, sender: str, request: RecordReplicaRequest
    ) -> RecordReplicaAnswer:
        replicas = self._replicas.find(ShardKey(request.service, request.shard))
        return RecordReplicaAnswer(
            batches=replicas.batches, row=replicas.rows[0] if replicas.rows else b""
        )

    async def _update_successors(self) -> None:
        chosen = self._leadership.choose_successors()
        live = {peer.name for peer in self._peers.list_live(monotonic())}
        for shard in list(self._leadership.shards.values()):
            current = shard.row.row.successors
            stale = any(name not in live for name in current)
            if chosen and chosen != current and (stale or len(current) < len(chosen)):
                await shard.store_successors(chosen)

    async def _hand_over_if_out_of_service(self) -> None:
        if self._leadership.is_data_centre_out_of_service():
            await gather(
                *(
                    self._handovers.hand_over(key)
                    for key in list(self._leadership.shards)
                )
            )

    async def _rebalance(self) -> None:
        live = self._peers.list_live(monotonic())
        count = count_excess_shards(len(self._leadership.shards), live)
        for key in list(self._leadership.shards)[:count]:
            await self._handovers.hand_over(key)
