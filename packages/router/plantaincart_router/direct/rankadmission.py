"""Admission by rank while a service is short of room at all instances."""

from copy import deepcopy
from typing import Self

from plantaincart_core.rank import Rank
from plantaincart_core.rankcut import RankCount, ShareCounter
from plantaincart_core.verdict import Reason, Refusal

from plantaincart_router.direct.admissioncontrol import EntryPolicy
from plantaincart_router.direct.call import Call
from plantaincart_router.direct.cost import CostEstimator
from plantaincart_router.direct.metrics import RouterMetrics
from plantaincart_router.direct.rankfact import RankFact
from plantaincart_router.direct.rejection import RejectionFactory

__all__ = ["RankAdmission"]

ASKED = RankCount(asked=1)
CUT = RankCount(cut=1)
SERVED = RankCount(served=1)
REFUSED = RankCount(refused=1)


class RankAdmission(EntryPolicy):
    """
    Admits the share of requests that the coordinator tells for their rank.

    Parameters
    ----------
    fact : RankFact
        Shares by service and rank.
    costs : CostEstimator
        Expected duration of requests.
    rejections : RejectionFactory
        Makes the errors for requests that aren't admitted.
    metrics : RouterMetrics
        Counters and histograms.
    """

    def __init__(
        self,
        fact: RankFact,
        costs: CostEstimator,
        rejections: RejectionFactory,
        metrics: RouterMetrics,
    ) -> None:
        self._fact = fact
        self._costs = costs
        self._rejections = rejections
        self._metrics = metrics
        self._counters: dict[tuple[str, Rank], ShareCounter] = {}

    def copy(
        self,
        fact: RankFact,
        costs: CostEstimator,
        rejections: RejectionFactory,
        metrics: RouterMetrics,
    ) -> Self:
        """Return a copy that counts requests apart."""
        copied = type(self)(fact, costs, rejections, metrics)
        copied._counters = deepcopy(self._counters)
        return copied

    def check(self, call: Call, now: float) -> None:
        """Let a request pass by the share of its rank, or reject it."""
        service, rank = call.service.name, call.rank
        self._fact.record(service, rank, ASKED)
        share = self._fact.find_share(service, rank, now)
        if share >= 1.0:
            self._counters.pop((service, rank), None)
            return
        counter = self._counters.setdefault((service, rank), ShareCounter())
        if counter.admits(share, call.is_returning):
            return
        self._fact.record(service, rank, CUT)
        self._metrics.count("rank_cut", service)
        detail = (
            f"{service} is short of room: share {share:.2f} of rank "
            f"{rank.account}/{rank.route} admitted (returning {call.is_returning})"
        )
        work_s = self._costs.estimate_work(call)
        raise self._rejections.refuse_short(call, detail, 0.0, work_s)

    def record_end(self, call: Call, refusal: Refusal | None) -> None:
        """Count a request that was answered, or turned away for lack of room."""
        if refusal is None:
            self._fact.record(call.service.name, call.rank, SERVED)
        elif refusal.reason is Reason.QUEUE_FULL:
            self._fact.record(call.service.name, call.rank, REFUSED)
