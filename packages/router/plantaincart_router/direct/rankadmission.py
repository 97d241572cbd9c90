"""Admission by rank while a service is short of room at all instances."""

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
# A request with a smaller share of its route's usual time left has probably been turned
# away before.
RETURNING_SHARE = 0.95
# Factor by which the longest time seen for a route is forgotten with each request.
LONGEST_DECAY = 0.999
MAX_ROUTES = 4096


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
        self._longest_s: dict[str, float] = {}

    def check(self, call: Call, now: float) -> None:
        """Let a request pass by the share of its rank, or reject it."""
        service, rank = call.service.name, call.rank
        self._fact.record(service, rank, ASKED)
        is_returning = self._is_returning(call)
        share = self._fact.find_share(service, rank, now)
        if share >= 1.0:
            self._counters.pop((service, rank), None)
            return
        counter = self._counters.setdefault((service, rank), ShareCounter())
        if counter.admits(share, is_returning):
            return
        self._fact.record(service, rank, CUT)
        self._metrics.count("rank_cut", service)
        detail = (
            f"{service} is short of room: share {share:.2f} of rank "
            f"{rank.account}/{rank.route} admitted (returning {is_returning})"
        )
        work_s = self._costs.estimate_work(call)
        raise self._rejections.refuse_short(call, detail, 0.0, work_s)

    def record_end(self, call: Call, refusal: Refusal | None) -> None:
        """Count a request that was answered, or turned away for lack of room."""
        if refusal is None:
            self._fact.record(call.service.name, call.rank, SERVED)
        elif refusal.reason is Reason.QUEUE_FULL:
            self._fact.record(call.service.name, call.rank, REFUSED)

    def _is_returning(self, call: Call) -> bool:
        """
        Whether a request's caller has probably been turned away before.

        A retry has an id of its own; only the time that it has left shows it.
        """
        left_s = call.metadata.remaining_s
        if left_s is None:
            return False
        if len(self._longest_s) >= MAX_ROUTES:
            self._longest_s.clear()
        longest_s = self._longest_s.get(call.route.name, 0.0) * LONGEST_DECAY
        self._longest_s[call.route.name] = max(longest_s, left_s)
        return left_s < RETURNING_SHARE * longest_s
