"""What the failure of an attempt says about the request and its upstream."""

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
    Tell attempts that have not run from those that may have.

    Parameters
    ----------
    quarantine : Quarantine
        Told of the requests whose upstreams crashed.
    metrics : Metrics
        Where failures are counted.
    announce : callable
        Passes a quarantine notice to every instance.
    renew_grant_now : callable
        Has the grant of an upstream renewed at once.
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
        Raise what an exchange without a whole answer means.

        Parameters
        ----------
        runtime : UpstreamRuntime
            Upstream that was given the request.
        request : Request
            The request.
        incarnation : str
            Incarnation of the upstream at the start of the attempt.
        error : ExchangeError
            What went wrong.

        Raises
        ------
        AttemptNotRunError
            If nothing that could start the request was sent.
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
        Check whether a whole answer says that the request has not run.

        Parameters
        ----------
        runtime : UpstreamRuntime
            Upstream that answered.
        request : Request
            The request.
        answer : HttpAnswer
            Its answer.

        Raises
        ------
        AttemptNotRunError
            If it says so.
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
