"""Limits on requests that crashed upstreams: one copy at a time, then quarantine."""

from collections.abc import Iterator
from contextlib import contextmanager
from time import monotonic

from plantaincart_core.quarantine import Quarantine
from plantaincart_core.verdict import (
    Reason,
    RefusedError,
    refuse_may_have_run,
    refuse_not_run,
)
from plantaincart_schema.generated.mesh import Request

from plantaincart_router.metrics import Metrics

__all__ = ["QuarantineGuard"]

RETRY_AFTER_S = 1.0


class QuarantineGuard:
    """
    Reject requests in quarantine, and second copies of suspect requests.

    Parameters
    ----------
    quarantine : Quarantine
        Crashes by fingerprint of the request.
    metrics : Metrics
        Counts rejections.

    Notes
    -----
    A request that has crashed an upstream is suspect: only one copy of it runs at a
    time, since several could crash as many upstreams before the first crash is noticed.
    The check is repeated directly before the request is written, since a copy may have
    been queued while another copy crashed an upstream.
    """

    def __init__(self, quarantine: Quarantine, metrics: Metrics) -> None:
        self._quarantine = quarantine
        self._metrics = metrics
        self._running: dict[str, str] = {}

    def is_suspect(self, request: Request) -> bool:
        """Return whether a request has crashed an upstream."""
        strikes = self._quarantine.count_strikes(
            request.service, request.fingerprint, monotonic()
        )
        return strikes > 0

    @contextmanager
    def admit(self, request: Request) -> Iterator[None]:
        """
        Admit a request for as long as the block runs.

        Parameters
        ----------
        request : Request
            The request.

        Raises
        ------
        RefusedError
            If the request is in quarantine, or is suspect and another copy is running;
            the verdict is `not-run`.
        """
        self._check(request)
        try:
            yield
        finally:
            if self._running.get(request.fingerprint) == request.id:
                del self._running[request.fingerprint]

    def check_dispatch(self, request: Request) -> None:
        """
        Check a request that is about to be written to an upstream.

        Parameters
        ----------
        request : Request
            The request.

        Raises
        ------
        RefusedError
            If the request is now in quarantine, or is suspect and another copy is
            running; the verdict is `not-run` for this attempt.
        """
        self._check(request)
        if self.is_suspect(request):
            self._running[request.fingerprint] = request.id

    def check_retry(self, request: Request, detail: str) -> None:
        """
        Check whether a lost attempt has put the request in quarantine.

        Parameters
        ----------
        request : Request
            The request.
        detail : str
            Description of the lost attempt.

        Raises
        ------
        RefusedError
            If the request is in quarantine; the verdict is `may-have-run`.
        """
        remaining_s = self._find_remaining_s(request)
        if remaining_s > 0:
            raise RefusedError(
                refuse_may_have_run(Reason.QUARANTINED, detail, remaining_s)
            )

    def record_answer(self, request: Request) -> None:
        """Clear the crashes of a request that an upstream has answered."""
        self._quarantine.record_answer(request.service, request.fingerprint)

    def _check(self, request: Request) -> None:
        remaining_s = self._find_remaining_s(request)
        if remaining_s > 0:
            self._metrics.quarantined.labels(request.service).inc()
            detail = "upstreams crashed while running this request"
            raise RefusedError(refuse_not_run(Reason.QUARANTINED, detail, remaining_s))
        if self._running.get(request.fingerprint, request.id) != request.id:
            detail = "the same request is being tried after a crash"
            refusal = refuse_not_run(Reason.IN_PROGRESS, detail, RETRY_AFTER_S)
            raise RefusedError(refusal)

    def _find_remaining_s(self, request: Request) -> float:
        return self._quarantine.remaining_s(
            request.service, request.fingerprint, monotonic()
        )
