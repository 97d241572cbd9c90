"""Waiting for a permit at upstreams that have named a limit."""

from time import monotonic

from plantaincart_core.directory import UpstreamRecord

from plantaincart_router.direct.call import Call
from plantaincart_router.direct.candidates import CandidateFinder
from plantaincart_router.direct.cost import CostEstimator
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.view import SystemView

__all__ = ["PermitWait"]

# Maximum of the time in seconds for which a request waits for a permit if another
# upstream can run it.
MAX_UNKEYED_PATIENCE_S = 0.3


class PermitWait:
    """
    Lets requests wait for permits, as long as they can still be answered in time.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the instance.
    view : SystemView
        State of the system as this instance knows it.
    costs : CostEstimator
        Expected duration of requests.
    candidates : CandidateFinder
        Upstreams that may run a request.
    """

    def __init__(
        self,
        settings: DirectSettings,
        view: SystemView,
        costs: CostEstimator,
        candidates: CandidateFinder,
    ) -> None:
        self._settings = settings
        self._view = view
        self._costs = costs
        self._candidates = candidates

    async def acquire(self, call: Call, record: UpstreamRecord) -> bool:
        """Wait for a permit; return False if there was none in time."""
        return await self._view.quotas.acquire(
            record, call.route.priority, self._choose_patience_s(call, record)
        )

    def may_still_send(self, call: Call, record: UpstreamRecord) -> bool:
        """Whether an upstream that was found before a wait may get the request."""
        view = self._view
        if view.quotas.limits.find((record.id, record.born)) is None:
            return True
        if self._candidates.is_backed_off(record):
            return False
        if not self._candidates.is_allowed(call, record, monotonic()):
            return False
        if not call.service.keyed or call.metadata.key is None:
            return view.directory.accepts_requests(record)
        key_range = view.find_owner(call.service.name, call.metadata.key)
        owner = (record.id, record.born)
        is_owner = key_range is not None and (key_range.owner, key_range.born) == owner
        return is_owner and view.draining.can_serve_keys(record)

    def _choose_patience_s(self, call: Call, record: UpstreamRecord) -> float:
        """Choose for how long a request may wait for a permit."""
        if self._view.quotas.limits.find((record.id, record.born)) is None:
            return 0.0
        share = self._settings.admission.choose_share(call.route.priority, False)
        limit_s = min(call.remaining_s, share * call.route.target_s)
        patience_s = limit_s - self._costs.estimate_work(call)
        is_alone = len(self._candidates.list_in_service(call)) <= 1
        if not call.service.keyed and not is_alone:
            patience_s = min(patience_s, MAX_UNKEYED_PATIENCE_S)
        return patience_s
