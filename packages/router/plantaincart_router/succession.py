"""Promises and replicas between leaders and their successors, and upkeep."""

from asyncio import Event, gather, get_running_loop, sleep, timeout
from time import monotonic

from plantaincart_core.lease import ShardKey
from plantaincart_core.membership import PeerBook, plan_rebalance
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
# Lease left at which a leader that alone can't reach the table hands over.
RELEASE_BEFORE_S = 0.5
UPKEEP_INTERVAL_S = 1.0


class Succession:
    """
    Keep successors named, ask and give promises, keep leadership even.

    Parameters
    ----------
    leadership : Leadership
        The shards of this instance.
    mesh : Mesh
        Reaches the peers.
    peers : PeerBook
        Live peers.
    settings : LeaseSettings
        Durations of leases and promises.
    replicas : ReplicaStore
        What this instance keeps for other leaders.
    handovers : Handovers
        Hands shards over.

    Notes
    -----
    A leader that can't renew its lease asks each named successor to promise not to
    take over. A successor that can't reach the table either promises; one that can
    is handed the shard, since then this instance alone is cut off.
    """

    def __init__(
        self,
        leadership: Leadership,
        mesh: Mesh,
        peers: PeerBook,
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
        self._upkeep_requested = Event()
        self._loop = get_running_loop()
        mesh.handle(PromiseRequest, self._answer_promise)
        mesh.handle(RecordReplica, self._answer_replica)
        mesh.handle(RecordReplicaRequest, self._answer_replica_request)

    async def run_promises(self) -> None:
        """Ask for promises while the lease can't be renewed, until cancelled."""
        while True:
            if self._leadership.keeper.failing and self._leadership.shards:
                await self._ask_promises()
            await sleep(PROMISE_INTERVAL_S)

    async def run_upkeep(self) -> None:
        """Keep successors named and leadership even, until cancelled."""
        while True:
            await self._await_upkeep()
            if not self._leadership.is_table_reachable():
                continue
            await self._hand_over_if_out_of_service()
            await self._update_successors()
            await self._rebalance()

    def request_upkeep(self) -> None:
        """Have the next upkeep begin at once, after a new configuration."""
        self._upkeep_requested.set()

    async def _await_upkeep(self) -> None:
        try:
            async with timeout(UPKEEP_INTERVAL_S):
                await self._upkeep_requested.wait()
        except TimeoutError:
            return
        finally:
            self._upkeep_requested.clear()

    async def _ask_promises(self) -> None:
        successors: dict[str, list[Shard]] = {}
        for shard in self._leadership.shards.values():
            for name in shard.successors:
                successors.setdefault(name, []).append(shard)
        await gather(
            *(self._ask_successor(name, shards) for name, shards in successors.items())
        )

    async def _ask_successor(self, name: str, shards: list[Shard]) -> None:
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
            (ShardKey(each.service, each.shard), each.epoch) for each in answer.granted
        ]
        self._leadership.continuation.record_answer(name, sent_at, promised)
        lease_ends = self._leadership.keeper.lease.expires_at
        if answer.table_reachable and (lease_ends - monotonic() < RELEASE_BEFORE_S):
            for shard in shards:
                await self._handovers.release(shard, name)

    async def _answer_promise(
        self, sender: str, request: PromiseRequest
    ) -> PromiseAnswer:
        reachable = self._leadership.is_table_reachable()
        promises = self._leadership.promises
        until = monotonic() + request.ttl_s + self._settings.margin_s
        granted = [
            each
            for each in request.shards
            if not reachable
            and promises.promise(ShardKey(each.service, each.shard), each.epoch, until)
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
        return Acknowledgement(accepted=self._replicas.keep(replica, epoch))

    async def _answer_replica_request(
        self, sender: str, request: RecordReplicaRequest
    ) -> RecordReplicaAnswer:
        kept = self._replicas.find(ShardKey(request.service, request.shard))
        return RecordReplicaAnswer(
            batches=kept.batches, row=kept.rows[0] if kept.rows else b""
        )

    async def _update_successors(self) -> None:
        wanted = self._leadership.choose_successors()
        live = {peer.name for peer in self._peers.list_live(monotonic())}
        for shard in list(self._leadership.shards.values()):
            named = shard.row.row.successors
            stale = any(name not in live for name in named)
            if wanted and wanted != named and (stale or len(named) < len(wanted)):
                await shard.store_successors(wanted)

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
        count = plan_rebalance(len(self._leadership.shards), live)
        for key in list(self._leadership.shards)[:count]:
            await self._handovers.hand_over(key)
