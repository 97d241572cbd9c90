"""Classification of failed attempts: not run, may have run, or upstream crashed."""

from collections.abc import Callable
from time import monotonic
from typing import NoReturn

from plantaincart_core.quarantine import Quarantine
from plantaincart_core.verdict import Reason, Verdict
from plantaincart_schema.generated.mesh import QuarantineNotice, Request

from plantaincart_router.exception import (
    AnswerMalformedError,
    AnswerTimeoutError,
    AttemptMayHaveRunError,
    AttemptNotRunError,
    ExchangeError,
)
from plantaincart_router.http.message import HttpAnswer, find_header
from plantaincart_router.http.problem import VERDICT_HEADER
from plantaincart_router.log import write_event
from plantaincart_router.metrics import Metrics
from plantaincart_router.runtime import UpstreamRuntime

__all__ = ["FailureClassifier"]

SHED_STATUS = 503


class FailureClassifier:
    """
    Decide whether a failed attempt may have run the request.

    Parameters
    ----------
    quarantine : Quarantine
        Counts crashes of upstreams by the request that they ran.
    metrics : Metrics
        Counts failures.
    announce : callable
        Sends a quarantine notice to every instance.
    renew_grant_now : callable
        Renews the grant of an upstream without waiting for the next interval.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        metrics: Metrics,
        announce: Callable[[QuarantineNotice], None],
        renew_grant_now: Callable[[str], None],
    ) -> None:
        self._quarantine = quarantine
        self._metrics = metrics
        self._announce = announce
        self._renew_grant_now = renew_grant_now

    async def raise_failure(
        self,
        runtime: UpstreamRuntime,
        request: Request,
        incarnation: str,
        error: ExchangeError,
    ) -> NoReturn:
        """
        Raise the error of an attempt whose exchange had no whole answer.

        Parameters
        ----------
        runtime : UpstreamRuntime
            Upstream that the request was sent to.
        request : Request
            The request.
        incarnation : str
            Incarnation of the upstream at the start of the attempt.
        error : ExchangeError
            Error of the exchange.

        Raises
        ------
        AttemptNotRunError
            If the upstream can't have received enough to run the request.
        AttemptMayHaveRunError
            Otherwise.
        """
        name = type(error).__name__
        self._metrics.exchange_failures.labels(request.service, name).inc()
        detail = f"{runtime.name}: {error.detail}"
        if not error.may_have_started:
            self._renew_grant_now(runtime.name)
            raise AttemptNotRunError(runtime.name, Reason.UPSTREAM_UNREACHABLE, detail)
        if isinstance(error, AnswerTimeoutError):
            raise AttemptMayHaveRunError(runtime.name, Reason.UPSTREAM_TIMEOUT, detail)
        if isinstance(error, AnswerMalformedError):
            reason = Reason.UPSTREAM_MALFORMED
            write_event(
                "upstream_answer_malformed",
                upstream=runtime.name,
                request=request.id,
                reason=error.detail,
            )
            raise AttemptMayHaveRunError(runtime.name, reason, detail)
        if await runtime.has_crashed(incarnation):
            self._record_crash(runtime, request, incarnation)
        raise AttemptMayHaveRunError(runtime.name, Reason.UPSTREAM_LOST, detail)

    def check_answer(
        self, runtime: UpstreamRuntime, request: Request, answer: HttpAnswer
    ) -> None:
        """
        Check whether a whole answer carries the verdict `not-run`.

        Parameters
        ----------
        runtime : UpstreamRuntime
            Upstream that answered.
        request : Request
            The request.
        answer : HttpAnswer
            Answer of the upstream.

        Raises
        ------
        AttemptNotRunError
            If it does.
        """
        verdict = find_header(answer.headers, VERDICT_HEADER)
        if verdict != Verdict.not_run.value:
            return
        if answer.status == SHED_STATUS:
            runtime.limit.record_shed(monotonic())
        else:
            self._renew_grant_now(runtime.name)
        detail = f"{runtime.name} answered {answer.status}, not run"
        raise AttemptNotRunError(runtime.name, Reason.UPSTREAM_UNREACHABLE, detail)

    def _record_crash(
        self, runtime: UpstreamRuntime, request: Request, incarnation: str
    ) -> None:
        crashed = f"{runtime.name}#{incarnation}"
        quarantined = self._quarantine.record_crash(
            request.service, request.fingerprint, crashed, monotonic()
        )
        write_event(
            "upstream_crashed",
            upstream=runtime.name,
            request=request.id,
            fingerprint=request.fingerprint,
            quarantined=quarantined,
        )
        self._announce(
            QuarantineNotice(
                service=request.service,
                fingerprint=request.fingerprint,
                upstreams=[crashed],
            )
        )
