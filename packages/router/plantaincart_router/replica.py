"""Replicas stored for other leaders during an outage of the table."""

from asyncio import gather
from collections import deque
from dataclasses import dataclass, field

from plantaincart_core.lease import ShardKey
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.mesh import (
    RecordReplica,
    RecordReplicaAnswer,
    RecordReplicaRequest,
)

from plantaincart_router.exception import MeshTimeoutError, PeerLostError
from plantaincart_router.mesh import Mesh

__all__ = ["ReplicaStore", "Replicas", "collect_replicas"]

COLLECT_TIMEOUT_S = 0.3
MAX_BATCHES = 4096


@dataclass(frozen=True)
class Replicas:
    """Encoded record batches and provisional rows of a shard."""

    batches: list[bytes]
    rows: list[bytes]


@dataclass
class _ShardReplicas:
    epoch: int = 0
    row: bytes = b""
    batches: "deque[bytes]" = field(default_factory=lambda: deque(maxlen=MAX_BATCHES))


class ReplicaStore:
    """
    Record batches and provisional rows of shards that other instances lead.

    Notes
    -----
    At most `MAX_BATCHES` batches are stored for each shard. Further batches are
    rejected: the leader may still rely on every stored one. A replica of an earlier
    epoch than the latest known one is rejected, so that a deposed leader can't count it
    as durable.
    """

    def __init__(self) -> None:
        self._replicas: dict[ShardKey, _ShardReplicas] = {}

    def store(self, replica: RecordReplica, latest_epoch: int) -> bool:
        """
        Store a replica.

        Parameters
        ----------
        replica : RecordReplica
            Batch or row sent by a leader.
        latest_epoch : int
            Latest epoch of the shard that this instance has seen.

        Returns
        -------
        bool
            Whether it was stored; False if the sender has been deposed or the limit
            is reached.
        """
        if replica.epoch < latest_epoch:
            return False
        shard = ShardKey(replica.service, replica.shard)
        replicas = self._replicas.setdefault(shard, _ShardReplicas(replica.epoch))
        if replica.epoch > replicas.epoch:
            # The new leader has loaded and written the replicas of earlier epochs.
            replicas = self._replicas[shard] = _ShardReplicas(replica.epoch)
        if replica.batch:
            if len(replicas.batches) == MAX_BATCHES:
                return False
            replicas.batches.append(replica.batch)
        if replica.row:
            replicas.row = replica.row
        return True

    def find(self, shard: ShardKey) -> Replicas:
        """Return the replicas of a shard that are stored here."""
        replicas = self._replicas.get(shard, _ShardReplicas())
        return Replicas(list(replicas.batches), [replicas.row] if replicas.row else [])


async def collect_replicas(
    mesh: Mesh, shard: ShardKey, successors: set[str], own_store: ReplicaStore
) -> Replicas:
    """
    Collect the replicas that an earlier leader stored with its successors.

    Parameters
    ----------
    mesh : Mesh
        Connections to the successors.
    shard : ShardKey
        The shard.
    successors : set of str
        Successors that the shard's row named.
    own_store : ReplicaStore
        Replicas stored by this instance.

    Returns
    -------
    Replicas
        Replicas of this instance and of the successors that answered in time. Each
        successor stores all replicas, so one answer suffices.
    """
    request = RecordReplicaRequest(service=shard.service, shard=shard.shard)
    answers = await gather(*(_ask(mesh, name, request) for name in successors))
    replicas = own_store.find(shard)
    batches, rows = list(replicas.batches), list(replicas.rows)
    for answer in answers:
        if answer is not None:
            batches += answer.batches
            rows += [answer.row] if answer.row else []
    return Replicas(batches, rows)


async def _ask(
    mesh: Mesh, name: str, request: RecordReplicaRequest
) -> RecordReplicaAnswer | None:
    try:
        return await mesh.request(name, request, RecordReplicaAnswer, COLLECT_TIMEOUT_S)
    except (PeerLostError, MeshTimeoutError, MalformedMessageError):
        return None
