"""Choice of the upstream for a request, or its rejection."""

from collections.abc import Sequence
from random import Random
from time import monotonic

from plantaincart_core.choice import choose_cheapest
from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.verdict import Reason

from plantaincart_router.direct.admissioncontrol import AdmissionControl
from plantaincart_router.direct.call import Call
from plantaincart_router.direct.candidates import CandidateFinder
from plantaincart_router.direct.cost import CostEstimator
from plantaincart_router.direct.permitwait import PermitWait
from plantaincart_router.direct.rejection import RejectionFactory
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.view import SystemView

__all__ = ["UpstreamSelector"]

# Number of times that a request may wait for a permit.
MAX_PERMITS = 3


class UpstreamSelector:
    """
    Finds the owner of a key, or the upstream with the lowest cost if there are no keys.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the instance.
    view : SystemView
        State of the system as this instance knows it.
    candidates : CandidateFinder
        Upstreams that may run a request.
    costs : CostEstimator
        Expected wait and duration.
    admission : AdmissionControl
        Rejects requests that would wait too long.
    permit_wait : PermitWait
        Lets requests wait for a permit.
    rejections : RejectionFactory
        Makes the errors for requests that are rejected.
    """

    def __init__(
        self,
        settings: DirectSettings,
        view: SystemView,
        candidates: CandidateFinder,
        costs: CostEstimator,
        admission: AdmissionControl,
        permit_wait: PermitWait,
        rejections: RejectionFactory,
    ) -> None:
        self._settings = settings
        self._view = view
        self._candidates = candidates
        self._costs = costs
        self._admission = admission
        self._permit_wait = permit_wait
        self._rejections = rejections
        self._random = Random()

    async def find_upstream(self, call: Call) -> UpstreamRecord:
        """
        Find the upstream for a request; park the request while its key moves.

        Parameters
        ----------
        call : Call
            The request.

        Returns
        -------
        UpstreamRecord
            Upstream that should answer within the admission bound.

        Raises
        ------
        RefusedError
            If there is no such upstream.
        """
        quotas = self._view.quotas
        record = await self._find_candidate(call)
        for _ in range(MAX_PERMITS):
            if await self._permit_wait.acquire(call, record):
                if self._permit_wait.may_still_send(call, record):
                    return record
                quotas.give_back(record)
            else:
                call.excluded_upstreams.add(record.id)
                if call.service.keyed or not self._candidates.list_in_service(call):
                    break
            record = await self._find_candidate(call)
        detail = f"upstream {record.id} takes no more requests"
        wait_s = quotas.estimate_wait_s(record, monotonic())
        raise self._rejections.refuse_unserved(
            call, Reason.RATE_LIMITED, detail, wait_s
        )

    async def _find_candidate(self, call: Call) -> UpstreamRecord:
        if not call.service.keyed:
            candidates = self._candidates.list_candidates(call)
            candidates = await self._candidates.wait_for_room(call, candidates)
            return self._choose_cheapest(call, candidates)
        record = await self._candidates.find_owner(call)
        if not self._candidates.is_allowed(call, record, monotonic()):
            raise self._rejections.refuse_unserved(
                call, Reason.RATE_LIMITED, f"upstream {record.id} is cold", 0.5
            )
        self._admission.admit(call, record)
        await self._candidates.wait_for_room(call, [record])
        return record

    def _choose_cheapest(
        self, call: Call, candidates: Sequence[UpstreamRecord]
    ) -> UpstreamRecord:
        eligible = {record.id: record for record in candidates}
        own_data_centre = self._settings.data_centre
        local_names = [
            name
            for name, record in eligible.items()
            if record.data_centre == own_data_centre
        ]
        remote_names = [
            name
            for name, record in eligible.items()
            if record.data_centre != own_data_centre
        ]

        def estimate_cost(name: str) -> float:
            expected = self._costs.estimate(call, eligible[name])
            return expected.wait_s + expected.work_s

        settings = self._settings.choice
        chosen = choose_cheapest(
            local_names, remote_names, estimate_cost, settings, self._random
        )
        if chosen is not None:
            _, admission = self._admission.assess(call, eligible[chosen])
            if admission.admitted:
                return eligible[chosen]
        # The request is rejected only if no upstream could answer in time.
        cheapest = eligible[min(eligible, key=estimate_cost)]
        if not self._admission.assess(call, cheapest)[1].admitted:
            self._view.room.record_shortage(call.service.name)
        self._admission.admit(call, cheapest)
        return cheapest
