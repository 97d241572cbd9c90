"""Rejection of requests under which several upstreams have ended."""

from time import monotonic

from plantaincart_core.verdict import Reason, RefusedError, refuse_may_have_run

from plantaincart_router.direct.call import Call, refuse
from plantaincart_router.direct.metrics import RouterMetrics
from plantaincart_router.direct.view import SystemView

__all__ = ["QuarantineCheck"]


class QuarantineCheck:
    """
    Rejects requests in quarantine.

    Parameters
    ----------
    view : SystemView
        State of the system as this instance knows it.
    metrics : RouterMetrics
        Counters and histograms.
    """

    def __init__(self, view: SystemView, metrics: RouterMetrics) -> None:
        self._view = view
        self._metrics = metrics

    def measure_remaining_s(self, call: Call) -> float:
        """Return the seconds for which a request must be rejected; 0 for none."""
        view = self._view
        rank = view.members if view.rank is None else view.rank
        return view.crashes.remaining_s(
            call.request, call.service.name, rank, monotonic()
        )

    def check(self, call: Call) -> None:
        """
        Reject a request under which several upstreams have ended.

        Parameters
        ----------
        call : Call
            The request.

        Raises
        ------
        RefusedError
            If it is in quarantine.
        """
        remaining_s = self.measure_remaining_s(call)
        if remaining_s <= 0.0:
            return
        self._metrics.count("quarantined", call.service.name)
        detail = "upstreams ended while they ran this request"
        if call.may_have_run:
            raise RefusedError(refuse_may_have_run(Reason.UPSTREAM_LOST, detail))
        raise refuse(Reason.QUARANTINED, detail, remaining_s, 503)
