"""Expected wait and duration of requests at upstreams."""

from time import monotonic

from plantaincart_core.admission import LatencyEstimate
from plantaincart_core.directory import UpstreamRecord

from plantaincart_router.direct.call import Call
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.view import SystemView

__all__ = ["CostEstimator"]

# Estimated duration of a request before any request of its service was measured, as a
# fraction of the route's target.
DEFAULT_WORK_SHARE = 0.35


class CostEstimator:
    """
    Estimates how long requests wait and run, and learns it from answered ones.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the instance.
    view : SystemView
        State of the system as this instance knows it.
    """

    def __init__(self, settings: DirectSettings, view: SystemView) -> None:
        self._settings = settings
        self._view = view
        self._mean_work_s: dict[str, float] = {}

    def estimate(self, call: Call, record: UpstreamRecord) -> LatencyEstimate:
        """Return the expected wait and duration of a request at an upstream."""
        loads = self._view.loads
        work_s = self.estimate_work(call)
        mean_s = self._mean_work_s.get(call.service.name, work_s)
        now = monotonic()
        wait_s = loads.estimate_wait_s(record.id, record.slots, mean_s, now)
        # A request that waits for a permit doesn't occupy the upstream meanwhile.
        wait_s = max(wait_s, self._view.quotas.estimate_wait_s(record, now))
        return LatencyEstimate(
            wait_s=wait_s,
            work_s=work_s * loads.get(record.id).slowness,
            remaining_s=call.remaining_s,
            target_s=call.route.target_s,
        )

    def estimate_work(self, call: Call) -> float:
        """Return the expected duration of a request in seconds, without queueing."""
        return self._view.loads.estimate_work_s(
            call.route.name, self.default_work_s(call)
        )

    def default_work_s(self, call: Call) -> float:
        """Return the duration assumed for an unmeasured route: the service's mean."""
        default_s = call.route.target_s * DEFAULT_WORK_SHARE
        return self._mean_work_s.get(call.service.name, default_s)

    def record_answer(self, call: Call) -> None:
        """Add an answered request to the mean duration of its service."""
        work_s = self.estimate_work(call)
        mean_s = self._mean_work_s.get(call.service.name, work_s)
        mean_s += self._settings.load.smoothing * 0.25 * (work_s - mean_s)
        self._mean_work_s[call.service.name] = mean_s
