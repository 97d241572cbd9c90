"""Forwarding of requests to the leader of their shard, here or on a peer."""

from asyncio import CancelledError, Task, current_task, get_running_loop, sleep
from dataclasses import replace
from time import monotonic

from plantaincart_core.lease import ShardKey
from plantaincart_core.verdict import (
    Reason,
    Refusal,
    Verdict,
    refuse_may_have_run,
    refuse_not_run,
)
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.mesh import Answer, Cancel, Request

from plantaincart_router.answer import make_refusal_answer
from plantaincart_router.exception import MeshTimeoutError, PeerLostError
from plantaincart_router.forwarder import Forwarder
from plantaincart_router.identity import Identity
from plantaincart_router.leaders import Leader, LeaderMap
from plantaincart_router.leadership import Leadership
from plantaincart_router.log import write_event
from plantaincart_router.mesh import Mesh

__all__ = ["LeaderForwarder"]

LEADER_POLL_S = 0.05
ANSWER_GRACE_S = 0.1
RETRY_AFTER_S = 1.0


class LeaderForwarder(Forwarder):
    """
    Forward requests to leaders and answer requests that peers forward.

    Parameters
    ----------
    identity : Identity
        Identity of this instance.
    leadership : Leadership
        Shards that this instance leads.
    leaders : LeaderMap
        Leaders of all shards.
    mesh : Mesh
        Connections to the peers.

    Notes
    -----
    A request whose leader is lost is sent again if it is idempotent or has an
    idempotency key: if it was ever dispatched, the next leader finds its record. After
    such a loss, a rejection proves only that the later copy has not run, so the verdict
    is then `may-have-run`.

    A request names the incarnation of its receiver and its deadline on the receiver's
    clock. If the receiver was frozen and continues after the deadline, it therefore
    rejects the requests left in its buffers.
    """

    def __init__(
        self,
        identity: Identity,
        leadership: Leadership,
        leaders: LeaderMap,
        mesh: Mesh,
    ) -> None:
        self._name = identity.name
        self._incarnation = identity.incarnation
        self._leadership = leadership
        self._leaders = leaders
        self._mesh = mesh
        self._loop = get_running_loop()
        self._served: dict[str, tuple[Request, Task[object] | None]] = {}
        mesh.register_handler(Request, self._answer_request)
        mesh.register_handler(Cancel, self._answer_cancel)

    @property
    def served(self) -> int:
        """Number of requests from peers that are being answered."""
        return len(self._served)

    async def forward(self, request: Request, deadline_at: float) -> Answer:
        """Send a request to the leader of its shard; see `Forwarder.forward`."""
        shard = ShardKey(request.service, request.shard)
        leader_lost = False
        while monotonic() < deadline_at:
            leader = self._leaders.find(shard)
            if leader is None:
                remaining_s = deadline_at - monotonic()
                await self._leaders.wait_for_change(min(LEADER_POLL_S, remaining_s))
                continue
            try:
                answer = await self._send(leader, request, deadline_at)
            except PeerLostError as error:
                if error.sent and not _may_resend(request):
                    detail = f"leader {leader.name} was lost"
                    refusal = refuse_may_have_run(Reason.LEADER_LOST, detail)
                    return make_refusal_answer(request, refusal)
                leader_lost = leader_lost or error.sent
                request = replace(request, resent=True)
                await sleep(LEADER_POLL_S)
                continue
            except (MeshTimeoutError, MalformedMessageError) as error:
                detail = f"no answer from leader {leader.name}: {error}"
                refusal = refuse_may_have_run(Reason.DEADLINE_PASSED, detail)
                return make_refusal_answer(request, refusal)
            if answer.reason != Reason.NOT_LEADER.value:
                return _weaken_verdict(answer) if leader_lost else answer
            await self._leaders.wait_for_change(LEADER_POLL_S)
        return make_refusal_answer(request, self._refuse_unanswered(shard, leader_lost))

    def _refuse_unanswered(self, shard: ShardKey, leader_lost: bool) -> Refusal:
        detail = f"no leader of {shard} answered within the deadline"
        if leader_lost:
            return refuse_may_have_run(Reason.LEADER_LOST, detail, RETRY_AFTER_S)
        return refuse_not_run(Reason.NO_LEADER, detail, RETRY_AFTER_S)

    async def _send(
        self, leader: Leader, request: Request, deadline_at: float
    ) -> Answer:
        remaining_s = max(0.001, deadline_at - monotonic())
        if leader.name == self._name:
            return await self._answer_here(request, deadline_at)
        expiry = self._mesh.estimate_time(leader.name, deadline_at)
        if expiry is None:
            raise PeerLostError(leader.name, sent=False)
        request = replace(
            request,
            deadline_ms=remaining_s * 1000,
            receiver=expiry.incarnation,
            expires_at_ms=expiry.clock_ms,
        )
        try:
            return await self._mesh.request(
                leader.name, request, Answer, remaining_s + ANSWER_GRACE_S
            )
        except CancelledError:
            self._mesh.send(leader.name, Cancel(id=request.id))
            raise

    async def _answer_here(self, request: Request, deadline: float) -> Answer:
        key = ShardKey(request.service, request.shard)
        shard = self._leadership.shards.get(key)
        if shard is None:
            detail = f"{self._name} doesn't lead {key}"
            refusal = refuse_not_run(Reason.NOT_LEADER, detail, RETRY_AFTER_S)
            return make_refusal_answer(request, refusal)
        return await shard.submit(request, deadline)

    async def _answer_request(self, sender: str, request: Request) -> Answer:
        now = monotonic()
        deadline = now + request.deadline_ms / 1000
        if request.expires_at_ms:
            deadline = min(deadline, request.expires_at_ms / 1000)
        refusal = self._refuse_stale(request, now, deadline)
        if refusal is not None:
            write_event("request_stale", request=request.id, reason=refusal.detail)
            return make_refusal_answer(request, refusal)
        self._served[request.id] = (request, current_task())
        try:
            return await self._answer_here(request, deadline)
        except CancelledError:
            raise
        except Exception as error:
            write_event("request_failed", request=request.id, error=repr(error))
            refusal = refuse_may_have_run(Reason.OUTCOME_UNKNOWN, repr(error))
            return make_refusal_answer(request, refusal)
        finally:
            self._served.pop(request.id, None)

    def _refuse_stale(
        self, request: Request, now: float, deadline: float
    ) -> Refusal | None:
        """Reject a request that waited in a buffer while this process was stopped."""
        if request.receiver not in ("", self._incarnation):
            detail = f"sent to {self._name} before it restarted"
            return refuse_not_run(Reason.NOT_LEADER, detail, RETRY_AFTER_S)
        if now >= deadline:
            detail = "deadline passed on the way to the leader"
            return refuse_not_run(Reason.DEADLINE_PASSED, detail)
        return None

    async def _answer_cancel(self, sender: str, message: Cancel) -> None:
        served = self._served.get(message.id)
        if served is None:
            return
        request, task = served
        if request.idempotent and task is not None:
            task.cancel()


def _may_resend(request: Request) -> bool:
    return request.idempotent or bool(request.idempotency_key)


def _weaken_verdict(answer: Answer) -> Answer:
    """
    Replace the verdict `not-run` of a second copy after the first copy was lost.

    The verdict must cover both copies, so it becomes `may-have-run`. The exception is a
    reused idempotency key: if the first copy had been dispatched, the next leader would
    have its record under that key, not the record of another request.
    """
    reused = answer.reason == Reason.IDEMPOTENCY_KEY_REUSED.value
    if answer.verdict is not Verdict.not_run or reused:
        return answer
    return replace(answer, verdict=Verdict.may_have_run)
