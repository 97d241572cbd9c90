"""One attempt: sending a request to an upstream and reading the answer."""

from asyncio import CancelledError, current_task
from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic
from urllib.parse import quote

from plantaincart_core.slotload import SlotLoads
from plantaincart_core.verdict import Reason, RefusedError, refuse_not_run
from plantaincart_schema.generated.mesh import Request
from plantaincart_schema.generated.settings import DispatchSettings

from plantaincart_router.dispatcher import Dispatcher, Permit
from plantaincart_router.exception import (
    AttemptMayHaveRunError,
    AttemptNotRunError,
    ExchangeError,
)
from plantaincart_router.failure import FailureClassifier
from plantaincart_router.http.message import Header, HttpAnswer, HttpRequest
from plantaincart_router.log import write_request_event
from plantaincart_router.metrics import Metrics
from plantaincart_router.quarantineguard import QuarantineGuard
from plantaincart_router.runtime import UpstreamRuntime

__all__ = ["AttemptResult", "Delivery"]

SLOT_LOAD_HALF_LIFE_S = 5.0


@dataclass(frozen=True)
class AttemptResult:
    """A whole answer and the upstream that sent it."""

    answer: HttpAnswer
    upstream: str


class Delivery:
    """
    Send requests to upstreams under permits.

    Parameters
    ----------
    dispatcher : Dispatcher
        Takes the permits back.
    settings : DispatchSettings
        Time limit of one attempt.
    classifier : FailureClassifier
        Decides whether a failed attempt may have run.
    guard : QuarantineGuard
        Rejects requests whose earlier runs crashed upstreams.
    metrics : Metrics
        Counts attempts.
    may_act : callable
        Returns whether the leader may dispatch at a given time.

    Attributes
    ----------
    slot_load : SlotLoads
        Load by hash slot, in seconds of upstream time.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        settings: DispatchSettings,
        classifier: FailureClassifier,
        guard: QuarantineGuard,
        metrics: Metrics,
        may_act: Callable[[float], bool],
    ) -> None:
        self._dispatcher = dispatcher
        self._settings = settings
        self._classifier = classifier
        self._guard = guard
        self._metrics = metrics
        self._may_act = may_act
        self.slot_load = SlotLoads(half_life_s=SLOT_LOAD_HALF_LIFE_S)

    async def deliver(
        self,
        permit: Permit,
        request: Request,
        deadline: float,
        confirm: Callable[[], None] | None = None,
    ) -> AttemptResult:
        """
        Send a request to the upstream of a permit, then release the permit.

        Parameters
        ----------
        permit : Permit
            Permit for the upstream.
        request : Request
            The request.
        deadline : float
            Time in seconds of the loop's clock.
        confirm : callable, optional
            Called directly before the socket write; raises `RefusedError` to abort.

        Returns
        -------
        AttemptResult
            Whole answer and the upstream that sent it.

        Raises
        ------
        AttemptNotRunError
            If the request is proven not to have run.
        AttemptMayHaveRunError
            If its outcome is unknown.
        RefusedError
            If the lease expired, the request has crashed upstreams, or `confirm`
            raised it; nothing was sent.
        """
        runtime, running_request = permit.runtime, permit.running_request
        incarnation = runtime.grant.incarnation
        started = monotonic()
        try:
            running_request.task = current_task()
            answer = await self._exchange(runtime, request, deadline, confirm)
        except ExchangeError as error:
            running_request.may_still_run = error.may_have_started
            await self._classifier.raise_failure(runtime, request, incarnation, error)
        except CancelledError:
            running_request.may_still_run = True
            if not running_request.revoked:
                raise
            task = current_task()
            if task is not None:
                task.uncancel()
            detail = f"{runtime.name} lost the slot while the request was there"
            raise AttemptMayHaveRunError(
                runtime.name, Reason.UPSTREAM_LOST, detail
            ) from None
        finally:
            running_request.task = None
            self._dispatcher.release(permit)
        self._classifier.check_answer(runtime, request, answer)
        self._record_latency(runtime, request, started)
        return AttemptResult(answer, runtime.name)

    async def _exchange(
        self,
        runtime: UpstreamRuntime,
        request: Request,
        deadline: float,
        confirm: Callable[[], None] | None,
    ) -> HttpAnswer:
        def check() -> None:
            self._check_authority(runtime, request)
            self._guard.check_dispatch(request)
            if confirm is not None:
                confirm()

        remaining_s = deadline - monotonic()
        if request.idempotent:
            remaining_s = min(remaining_s, self._settings.attempt_timeout_s)
        self._metrics.dispatches.labels(request.service).inc()
        write_request_event(
            "request_dispatched",
            idempotent=request.idempotent,
            request=request.id,
            service=request.service,
            shard=request.shard,
            slot=request.slot,
            key=request.key,
            upstream=runtime.name,
            fence=runtime.grant.fence,
        )
        return await runtime.client.dispatch(
            _build_outgoing(runtime, request, remaining_s),
            idempotent=request.idempotent,
            timeout_s=max(0.001, remaining_s),
            before_write=check,
        )

    def _check_authority(self, runtime: UpstreamRuntime, request: Request) -> None:
        now = monotonic()
        if not self._may_act(now):
            detail = "the lease lapsed before the request was sent"
            raise RefusedError(refuse_not_run(Reason.NOT_LEADER, detail))
        slot = request.slot if request.key else None
        if not runtime.grant.may_dispatch(slot, now):
            detail = "the grant lapsed before the request was sent"
            raise AttemptNotRunError(runtime.name, Reason.NO_OWNER, detail)

    def _record_latency(
        self, runtime: UpstreamRuntime, request: Request, started: float
    ) -> None:
        now = monotonic()
        latency_s = now - started
        runtime.latency.record(latency_s, now)
        runtime.limit.record_success(now, latency_s, request.idempotent)
        self._dispatcher.record_service(latency_s, now, request.idempotent)
        self._metrics.upstream_seconds.labels(request.service).observe(latency_s)
        if request.key:
            self.slot_load.record(request.slot, latency_s, now)


def _build_outgoing(
    runtime: UpstreamRuntime, request: Request, remaining_s: float
) -> HttpRequest:
    headers = [(name, value) for name, value in request.headers]
    headers += _list_fence_headers(runtime, request)
    headers.append(("plantaincart-deadline-ms", str(max(1, int(remaining_s * 1000)))))
    return HttpRequest(request.method, request.target, tuple(headers), request.body)


def _list_fence_headers(runtime: UpstreamRuntime, request: Request) -> list[Header]:
    headers = [
        ("plantaincart-fence", str(runtime.grant.fence)),
        ("plantaincart-service", request.service),
        ("plantaincart-request", request.id),
    ]
    if request.key:
        headers.append(("plantaincart-slot", str(request.slot)))
        headers.append(("plantaincart-key", quote(request.key)))
    return headers
