"""Admission of requests to the upstream that would run them."""

from abc import ABC, abstractmethod
from copy import deepcopy
from dataclasses import replace
from time import monotonic
from typing import Self

from plantaincart_core.admission import Admission, LatencyEstimate, decide_admission
from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.verdict import Refusal
from plantaincart_core.waitbound import WaitBounds

from plantaincart_router.direct.call import Call
from plantaincart_router.direct.cost import CostEstimator
from plantaincart_router.direct.rejection import RejectionFactory
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.view import SystemView

__all__ = ["AdmissionControl", "EntryPolicy"]


class EntryPolicy(ABC):
    """Rejects requests before an upstream is looked for."""

    @abstractmethod
    def check(self, call: Call, now: float) -> None:
        """
        Let a request pass, or reject it.

        Parameters
        ----------
        call : Call
            The request, before its first attempt.
        now : float
            Present time in seconds.

        Raises
        ------
        RefusedError
            If it must not be served now.
        """

    @abstractmethod
    def record_end(self, call: Call, refusal: Refusal | None) -> None:
        """
        Take note of the end of a request that was let pass by all policies.

        Parameters
        ----------
        call : Call
            The request.
        refusal : Refusal or None
            How it was turned away; None if it was answered.
        """


class AdmissionControl:
    """
    Admits requests that can be answered in time at an upstream.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the instance.
    view : SystemView
        State of the system as this instance knows it.
    costs : CostEstimator
        Expected wait and duration.
    rejections : RejectionFactory
        Makes the errors for requests that aren't admitted.
    """

    def __init__(
        self,
        settings: DirectSettings,
        view: SystemView,
        costs: CostEstimator,
        rejections: RejectionFactory,
    ) -> None:
        self._settings = settings
        self._view = view
        self._costs = costs
        self._rejections = rejections
        self._bounds = WaitBounds()

    def copy(
        self, view: SystemView, costs: CostEstimator, rejections: RejectionFactory
    ) -> Self:
        """Return a copy that decides by another state, and learns apart."""
        copied = type(self)(self._settings, view, costs, rejections)
        copied._bounds = deepcopy(self._bounds)
        return copied

    def assess(
        self, call: Call, record: UpstreamRecord
    ) -> tuple[LatencyEstimate, Admission]:
        """Return the expected times at an upstream, and the decision by them."""
        expected = self._costs.estimate(call, record)
        standing = self._view.loads.has_standing_queue(record.id, monotonic())
        share = self._settings.admission.choose_share(call.route.priority, standing)
        return expected, decide_admission(expected, share)

    def admit(self, call: Call, record: UpstreamRecord) -> None:
        """
        Reject a request that would wait too long.

        Parameters
        ----------
        call : Call
            The request.
        record : UpstreamRecord
            Upstream that would run it.

        Raises
        ------
        RefusedError
            If it isn't admitted.
        """
        expected, admission = self.assess(call, record)
        is_divided = self._view.room.share.is_divided(call.service.name)
        if call.service.keyed and is_divided:
            admission = self._put_back(call, record, expected, admission)
        if not admission.admitted:
            raise self._rejections.refuse_overloaded(call, record, expected, admission)

    def find_latest(self, call: Call, record: UpstreamRecord, now: float) -> float:
        """
        Return the latest time at which a request may be sent.

        Parameters
        ----------
        call : Call
            The request.
        record : UpstreamRecord
            Upstream that would run it.
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Time in seconds; may be in the past.
        """
        standing = self._view.loads.has_standing_queue(record.id, now)
        share = self._settings.admission.choose_share(call.route.priority, standing)
        expected = self._costs.estimate(call, record)
        target_at = call.started_at + share * call.route.target_s
        latest_at = min(target_at, call.deadline_at) - expected.work_s
        if call.service.keyed:
            # A unit of room is a place in the owner's queue, not yet a free slot.
            latest_at -= expected.wait_s
        return latest_at

    def _put_back(
        self,
        call: Call,
        record: UpstreamRecord,
        expected: LatencyEstimate,
        admission: Admission,
    ) -> Admission:
        """Admit a request to a short owner unless more urgent ones need the queue."""
        now, service = monotonic(), call.service.name
        target_s, work_s = call.route.target_s, self._costs.estimate_work(call)
        self._bounds.record(service, call.route.name, call.rank, target_s, work_s, now)
        if not admission.admitted:
            self._bounds.record_end(service, is_admitted=False)
            return admission
        standing = self._view.loads.has_standing_queue(record.id, now)
        share = self._settings.admission.choose_share(call.route.priority, standing)
        slowness = expected.work_s / max(work_s, 1e-4)
        need = (service, call.rank)
        if self._bounds.admits(*need, expected.wait_s, share, slowness, now):
            return admission
        longest_s = self._bounds.find_longest_s(*need, share, slowness, now)
        return replace(
            admission,
            admitted=False,
            max_latency_s=longest_s + expected.work_s,
            retry_after_s=round(expected.wait_s - longest_s, 3),
        )
