"""Attempts to run a request on upstreams, with retries."""

from asyncio import sleep
from collections.abc import Callable
from time import monotonic

from plantaincart_core.quarantine import Quarantine
from plantaincart_core.retry import RetryBudget
from plantaincart_core.slotload import SlotLoads
from plantaincart_core.verdict import (
    Reason,
    Refusal,
    RefusedError,
    refuse_may_have_run,
    refuse_not_run,
)
from plantaincart_schema.generated.mesh import QuarantineNotice, Request
from plantaincart_schema.generated.settings import DispatchSettings

from plantaincart_router.delivery import AttemptResult, Delivery
from plantaincart_router.dispatcher import Dispatcher
from plantaincart_router.exception import AttemptMayHaveRunError, AttemptNotRunError
from plantaincart_router.failure import FailureClassifier
from plantaincart_router.hedge import Hedger
from plantaincart_router.metrics import Metrics
from plantaincart_router.quarantineguard import QuarantineGuard

__all__ = ["AttemptRunner", "AttemptResult"]

NOT_RUN_PAUSE_S = 0.02
MAX_NOT_RUN_PAUSE_S = 0.2
UPSTREAM_RETRY_AFTER_S = 1.0


class AttemptRunner:
    """
    Run requests on the upstreams of a shard.

    Parameters
    ----------
    dispatcher : Dispatcher
        Grants permits for upstreams.
    settings : DispatchSettings
        Limits on attempts, retries and hedges.
    quarantine : Quarantine
        Counts crashes of upstreams by the request that they ran.
    metrics : Metrics
        Counts attempts.
    may_act : callable
        Returns whether the leader may dispatch at a given time.
    announce : callable
        Sends a quarantine notice to every instance.
    renew_grant_now : callable
        Renews the grant of an upstream without waiting for the next interval.

    Notes
    -----
    After an attempt that is proven not to have run, the request is retried until the
    deadline. After an attempt that may have run, it is retried only if it is idempotent
    and the retry budget allows it. Once an attempt may have run, the verdict of the
    request stays `may-have-run` unless a later attempt is answered.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        settings: DispatchSettings,
        quarantine: Quarantine,
        metrics: Metrics,
        may_act: Callable[[float], bool],
        announce: Callable[[QuarantineNotice], None],
        renew_grant_now: Callable[[str], None],
    ) -> None:
        self._dispatcher = dispatcher
        self._settings = settings
        self._metrics = metrics
        classifier = FailureClassifier(quarantine, metrics, announce, renew_grant_now)
        self._guard = QuarantineGuard(quarantine, metrics)
        self._delivery = Delivery(
            dispatcher, settings, classifier, self._guard, metrics, may_act
        )
        self._hedger = Hedger(dispatcher, self._delivery, settings, metrics)
        self._retries = RetryBudget(settings.retry_ratio, settings.retry_burst)

    @property
    def slot_load(self) -> SlotLoads:
        """Load by hash slot, in seconds of upstream time."""
        return self._delivery.slot_load

    async def run(
        self,
        request: Request,
        deadline: float,
        confirm: Callable[[], None] | None = None,
    ) -> AttemptResult:
        """
        Run a request.

        Parameters
        ----------
        request : Request
            The request.
        deadline : float
            Time in seconds of the loop's clock.
        confirm : callable, optional
            Called directly before each socket write; raises `RefusedError` to abort.

        Returns
        -------
        AttemptResult
            Whole answer and the upstream that sent it.

        Raises
        ------
        RefusedError
            If there is no answer; the verdict covers all attempts.
        """
        with self._guard.admit(request):
            return await self._run(request, deadline, confirm)

    async def _run(
        self,
        request: Request,
        deadline: float,
        confirm: Callable[[], None] | None,
    ) -> AttemptResult:
        self._retries.record_request()
        self._hedger.record_request()
        avoid: frozenset[str] = frozenset()
        lost_attempt: AttemptMayHaveRunError | None = None
        pause_s = NOT_RUN_PAUSE_S
        attempts = 0
        while True:
            try:
                return await self._attempt(request, deadline, avoid, confirm)
            except AttemptNotRunError as error:
                avoid |= {error.upstream}
                self._metrics.sheds.labels(request.service).inc()
                if monotonic() + pause_s >= deadline:
                    raise _make_final_error(
                        lost_attempt, error.reason, str(error)
                    ) from None
                await sleep(pause_s)
                pause_s = min(MAX_NOT_RUN_PAUSE_S, pause_s * 2)
            except AttemptMayHaveRunError as error:
                attempts += 1
                avoid |= {error.upstream}
                lost_attempt = error
                self._guard.check_retry(request, str(error))
                if not self._may_retry(request, deadline, attempts):
                    raise _make_final_error(
                        lost_attempt, error.reason, str(error)
                    ) from None
                self._metrics.retries.labels(request.service).inc()
            except RefusedError as error:
                if lost_attempt is None:
                    raise
                raise _combine_with_lost_attempt(lost_attempt, error.refusal) from None

    async def _attempt(
        self,
        request: Request,
        deadline: float,
        avoid: frozenset[str],
        confirm: Callable[[], None] | None,
    ) -> AttemptResult:
        slot = request.slot if request.key else None
        permit = await self._dispatcher.acquire(
            slot, deadline, avoid, request.idempotent
        )
        if self._hedger.may_hedge(request) and not self._guard.is_suspect(request):
            result = await self._hedger.deliver(permit, request, deadline, avoid)
        else:
            result = await self._delivery.deliver(permit, request, deadline, confirm)
        self._guard.record_answer(request)
        return result

    def _may_retry(self, request: Request, deadline: float, attempts: int) -> bool:
        return (
            request.idempotent
            and attempts < self._settings.max_attempts
            and monotonic() < deadline
            and self._retries.spend()
        )


def _combine_with_lost_attempt(
    lost_attempt: AttemptMayHaveRunError, refusal: Refusal
) -> RefusedError:
    final = refusal.reason is Reason.QUARANTINED
    reason = refusal.reason if final else lost_attempt.reason
    detail = f"{lost_attempt}; {refusal.detail}"
    return RefusedError(refuse_may_have_run(reason, detail, refusal.retry_after_s))


def _make_final_error(
    lost_attempt: AttemptMayHaveRunError | None, reason: Reason, detail: str
) -> RefusedError:
    if lost_attempt is None:
        return RefusedError(refuse_not_run(reason, detail, UPSTREAM_RETRY_AFTER_S))
    return RefusedError(
        refuse_may_have_run(lost_attempt.reason, f"{lost_attempt}; {detail}")
    )
