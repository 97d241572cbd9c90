"""Forwarding of outcomes that arrive after the leadership of their shard has ended."""

from asyncio import Task, get_running_loop, sleep
from collections.abc import Callable, Iterable, Sequence
from time import monotonic
from typing import Any

from plantaincart_core.lease import ShardKey
from plantaincart_schema.codec import decode_json, encode_json
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.mesh import Acknowledgement, RecordOutcomes
from plantaincart_schema.generated.platform import Record, RecordBatch, RecordState

from plantaincart_router.exception import MeshTimeoutError, PeerLostError
from plantaincart_router.leaders import Leader, LeaderMap
from plantaincart_router.log import write_event
from plantaincart_router.mesh import Mesh

__all__ = ["OutcomeRelay"]

RELAY_TIMEOUT_S = 0.5
RETRY_S = 0.1
# If no leader accepts the outcome within this time, it stays unknown.
FORWARD_TIMEOUT_S = 10.0

RecordLateOutcomes = Callable[[ShardKey, int, Sequence[Record]], str]


class OutcomeRelay:
    """
    Send late outcomes to the present leader of their shard, and receive them.

    Parameters
    ----------
    name : str
        Name of this instance.
    mesh : Mesh
        Connections to the peers.
    leaders : LeaderMap
        Leaders of all shards.
    record_late_outcomes : callable
        Adds records of an earlier epoch to a shard that this instance leads; returns
        an empty string, or the reason for a rejection.

    Notes
    -----
    If a request is in flight when its leader hands over or loses the shard, the answer
    still arrives at that leader. The next leader has only the request's intent; without
    the outcome it would always answer a resend with `may-have-run`.
    """

    def __init__(
        self,
        name: str,
        mesh: Mesh,
        leaders: LeaderMap,
        record_late_outcomes: RecordLateOutcomes,
    ) -> None:
        self._name = name
        self._mesh = mesh
        self._leaders = leaders
        self._record_late_outcomes = record_late_outcomes
        self._loop = get_running_loop()
        self._tasks: set[Task[Any]] = set()
        mesh.register_handler(RecordOutcomes, self._answer_outcomes)

    @property
    def pending(self) -> int:
        """Number of tasks whose outcome is not known or not yet forwarded."""
        return len(self._tasks)

    def track_running(self, running: Iterable[Task[Any]]) -> None:
        """Track requests that still run although their leadership has ended."""
        for task in running:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def forward_outcomes(
        self, shard: ShardKey, epoch: int, records: Sequence[Record]
    ) -> None:
        """
        Start to send answered records to the next leader of the shard.

        Parameters
        ----------
        shard : ShardKey
            The shard.
        epoch : int
            Epoch of the leadership that dispatched the requests.
        records : sequence of Record
            Records; only answered ones with a stored body are sent.
        """
        records = [
            record
            for record in records
            if record.state is RecordState.answered and record.body_kept
        ]
        if not records:
            return
        self.track_running(
            [self._loop.create_task(self._forward_outcomes(shard, epoch, records))]
        )

    async def _forward_outcomes(
        self, shard: ShardKey, epoch: int, records: Sequence[Record]
    ) -> None:
        newest_at = max(record.created_at for record in records)
        batch = RecordBatch(records=list(records), newest_at=newest_at)
        message = RecordOutcomes(
            service=shard.service,
            shard=shard.shard,
            epoch=epoch,
            batch=encode_json(batch),
        )
        reason = "no later leader"
        ends_at = monotonic() + FORWARD_TIMEOUT_S
        while monotonic() < ends_at:
            leader = self._leaders.find(shard)
            if leader is not None and leader.epoch > epoch:
                reason = await self._send(leader, message, shard, records)
                if not reason:
                    return
            await sleep(RETRY_S)
        write_event(
            "outcomes_lost", shard=str(shard), count=len(records), reason=reason
        )

    async def _send(
        self,
        leader: Leader,
        message: RecordOutcomes,
        shard: ShardKey,
        records: Sequence[Record],
    ) -> str:
        if leader.name == self._name:
            return self._record_late_outcomes(shard, message.epoch, records)
        try:
            answer = await self._mesh.request(
                leader.name, message, Acknowledgement, RELAY_TIMEOUT_S
            )
        except (PeerLostError, MeshTimeoutError, MalformedMessageError) as error:
            return repr(error)
        return "" if answer.accepted else answer.reason or "refused"

    async def _answer_outcomes(
        self, sender: str, message: RecordOutcomes
    ) -> Acknowledgement:
        shard = ShardKey(message.service, message.shard)
        try:
            batch = decode_json(message.batch, RecordBatch)
        except MalformedMessageError as error:
            write_event("record_batch_malformed", reason=str(error), peer=sender)
            return Acknowledgement(accepted=False, reason=str(error))
        reason = self._record_late_outcomes(shard, message.epoch, batch.records)
        return Acknowledgement(accepted=not reason, reason=reason)
