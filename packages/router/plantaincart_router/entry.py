"""The entry: receives requests from callers and answers them."""

from asyncio import CancelledError, Future, Task, TimerHandle, get_running_loop
from collections.abc import Callable

from plantaincart_core.exception import RefusedError
from plantaincart_core.route import RouteTable
from plantaincart_core.verdict import (
    Reason,
    Refusal,
    Verdict,
    refuse_may_have_run,
    refuse_not_run,
)
from plantaincart_schema.generated.mesh import Answer, Request
from plantaincart_schema.generated.settings import EntrySettings

from plantaincart_router.answer import (
    FIRST_STATUS,
    LAST_STATUS,
    make_refusal_answer,
    render_answer,
)
from plantaincart_router.forwarder import Forwarder
from plantaincart_router.http.message import HttpAnswer, HttpRequest
from plantaincart_router.http.problem import render_problem
from plantaincart_router.http.server import CallerConnection
from plantaincart_router.log import write_event, write_request_event
from plantaincart_router.metrics import Metrics
from plantaincart_router.requestparser import prepare_request

__all__ = ["DEADLINE_GRACE_S", "Entry"]

# Time after the deadline in which the leader's rejection may still arrive.
DEADLINE_GRACE_S = 0.25
RETRY_AFTER_S = 1.0


class Entry:
    """
    Answer callers through the leaders of the shards.

    Parameters
    ----------
    settings : EntrySettings
        Limits on requests in flight and on deadlines.
    read_routes : callable
        Returns the route table in force.
    forwarder : Forwarder
        Sends requests to the leaders.
    metrics : Metrics
        Counts answers.

    Notes
    -----
    The forwarder runs in a separate task, so that a caller is answered soon after its
    deadline even when the forwarder is stuck, and so that the task can be cancelled
    when the caller disconnects. A request counts as in flight until that task has
    ended.
    """

    def __init__(
        self,
        settings: EntrySettings,
        read_routes: Callable[[], RouteTable],
        forwarder: Forwarder,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._read_routes = read_routes
        self._forwarder = forwarder
        self._metrics = metrics
        self._loop = get_running_loop()
        self._tasks: set[Task[Answer]] = set()

    @property
    def in_flight(self) -> int:
        """Number of requests whose forwarder task has not ended."""
        return len(self._tasks)

    async def handle(
        self, request: HttpRequest, caller: CallerConnection
    ) -> HttpAnswer:
        """
        Answer a request.

        Parameters
        ----------
        request : HttpRequest
            Whole request of the caller.
        caller : CallerConnection
            Connection that signals when the caller disconnects.

        Returns
        -------
        HttpAnswer
            Answer of the upstream, or a problem document with the verdict.
        """
        arrived_at = self._loop.time()
        try:
            self._check_in_flight()
            prepared = prepare_request(request, self._read_routes(), self._settings)
        except RefusedError as error:
            self._metrics.record_answer(
                "",
                error.refusal.verdict.value,
                error.refusal.reason.value,
                self._loop.time() - arrived_at,
            )
            return render_problem(error.refusal)
        answer = await self._forward(prepared, arrived_at, caller)
        self._record_answer(prepared, answer, self._loop.time() - arrived_at)
        return render_answer(answer)

    def _check_in_flight(self) -> None:
        limit = self._settings.max_in_flight
        if len(self._tasks) >= limit:
            detail = f"{limit} requests are in flight"
            reason = Reason.TOO_MANY_REQUESTS_IN_FLIGHT
            raise RefusedError(refuse_not_run(reason, detail, RETRY_AFTER_S))

    async def _forward(
        self, request: Request, arrived_at: float, caller: CallerConnection
    ) -> Answer:
        deadline_at = arrived_at + request.deadline_ms / 1000
        task = self._loop.create_task(self._forwarder.forward(request, deadline_at))
        self._tasks.add(task)
        self._metrics.entry_in_flight.set(len(self._tasks))
        ended: Future[None] = self._loop.create_future()
        task.add_done_callback(lambda task: self._finish_task(task, ended))
        caller.set_disconnect_callback(lambda: _set_ended(ended))
        timer = self._loop.call_at(deadline_at + DEADLINE_GRACE_S, _set_ended, ended)
        try:
            await ended
        finally:
            caller.set_disconnect_callback(None)
            self._cancel(task, timer)
        if task.done():
            return _read_outcome(request, task)
        if caller.disconnected.is_set():
            return self._answer_caller_gone(request)
        refusal = refuse_may_have_run(
            Reason.DEADLINE_PASSED, "no answer within the deadline"
        )
        return make_refusal_answer(request, refusal)

    def _cancel(self, task: Task[Answer], timer: TimerHandle) -> None:
        timer.cancel()
        if not task.done():
            task.cancel()

    def _finish_task(self, task: Task[Answer], ended: Future[None]) -> None:
        self._tasks.discard(task)
        self._metrics.entry_in_flight.set(len(self._tasks))
        _set_ended(ended)
        if not task.cancelled():
            # Marks the error as retrieved, so that asyncio doesn't log it.
            task.exception()

    def _answer_caller_gone(self, request: Request) -> Answer:
        self._metrics.callers_gone.labels(request.service).inc()
        refusal = refuse_may_have_run(Reason.OUTCOME_UNKNOWN, "the caller has gone")
        return make_refusal_answer(request, refusal)

    def _record_answer(
        self, request: Request, answer: Answer, latency_s: float
    ) -> None:
        verdict = answer.verdict.value
        self._metrics.record_answer(request.service, verdict, answer.reason, latency_s)
        write_request_event(
            "request_answered",
            idempotent=request.idempotent,
            request=request.id,
            service=request.service,
            shard=request.shard,
            slot=request.slot,
            key=request.key,
            method=request.method,
            idempotency_key=request.idempotency_key or None,
            status=answer.status,
            verdict=verdict,
            reason=answer.reason or None,
            upstream=answer.upstream or None,
            epoch=answer.epoch or None,
            latency_ms=latency_s * 1000,
        )


def _set_ended(ended: Future[None]) -> None:
    if not ended.done():
        ended.set_result(None)


def _read_outcome(request: Request, task: Task[Answer]) -> Answer:
    try:
        answer = task.result()
    except RefusedError as error:
        return make_refusal_answer(request, error.refusal)
    except (CancelledError, Exception) as error:
        detail = f"{type(error).__name__}: {error}"
    else:
        if answer.id == request.id and FIRST_STATUS <= answer.status <= LAST_STATUS:
            return answer
        detail = f"answer {answer.id} with status {answer.status} doesn't fit"
    write_event("forward_failed", request=request.id, error=detail)
    refusal = Refusal(
        status=500,
        reason=Reason.OUTCOME_UNKNOWN,
        detail="the request's way to its upstream failed",
        verdict=Verdict.may_have_run,
    )
    return make_refusal_answer(request, refusal)
