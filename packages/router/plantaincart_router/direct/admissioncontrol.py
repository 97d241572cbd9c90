"""Admission of requests to the upstream that would run them."""

from abc import ABC, abstractmethod
from copy import deepcopy
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

# Shortest duration in seconds of a request.
MIN_WORK_S = 1e-4


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
        if not admission.admitted:
            self._bounds.record_end(call.service.name, is_admitted=False)
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

    def must_yield(self, call: Call, record: UpstreamRecord, is_first: bool) -> bool:
        """
        Return whether more urgent requests need the queue of a key's owner.

        Parameters
        ----------
        call : Call
            A request that is admitted there.
        record : UpstreamRecord
            Owner of its key.
        is_first : bool
            Whether this is asked for the first time for it.
        """
        now, service, rank = monotonic(), call.service.name, call.rank
        target_s, work_s = call.route.target_s, self._costs.estimate_work(call)
        self._bounds.record(service, call.route.name, rank, target_s, work_s, now)
        expected = self._costs.estimate(call, record)
        standing = self._view.loads.has_standing_queue(record.id, now)
        share = self._settings.admission.choose_share(call.route.priority, standing)
        slowness = expected.work_s / max(work_s, MIN_WORK_S)
        if is_first:
            return not self._bounds.admits(
                service, rank, expected.wait_s, share, slowness, now
            )
        longest_s = self._bounds.find_longest_s(service, rank, share, slowness, now)
        return expected.wait_s > longest_s
