"""Upstreams that may run a request."""

from abc import ABC, abstractmethod
from asyncio import timeout
from collections.abc import Sequence
from time import monotonic

from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.ownermap import KeyRange
from plantaincart_core.verdict import Reason

from plantaincart_router.direct.call import Call, refuse
from plantaincart_router.direct.coldlimiter import ColdUpstreamLimiter
from plantaincart_router.direct.cost import CostEstimator
from plantaincart_router.direct.metrics import RouterMetrics
from plantaincart_router.direct.rejection import RejectionFactory
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.transport import AttemptTransport
from plantaincart_router.direct.view import SystemView

__all__ = ["CandidateFilter", "CandidateFinder", "ColdFilter"]

# Seconds by which requests stay parked beyond the expected end of a handover.
HANDOVER_MARGIN_S = 0.5


class CandidateFilter(ABC):
    """Excludes upstreams from a choice for a reason of its own."""

    @abstractmethod
    def allows(self, call: Call, record: UpstreamRecord, now: float) -> bool:
        """
        Return whether an upstream may be sent a request now.

        Parameters
        ----------
        call : Call
            The request.
        record : UpstreamRecord
            Upstream in service.
        now : float
            Present time in seconds.
        """


class ColdFilter(CandidateFilter):
    """
    Excludes cold upstreams whose rate this instance has used up.

    Parameters
    ----------
    view : SystemView
        State of the system as this instance knows it.
    limiter : ColdUpstreamLimiter
        Counts the requests to cold upstreams.
    """

    def __init__(self, view: SystemView, limiter: ColdUpstreamLimiter) -> None:
        self._view = view
        self._limiter = limiter

    def allows(self, call: Call, record: UpstreamRecord, now: float) -> bool:
        """Return whether an upstream is warm, or may get another request."""
        view = self._view
        if view.directory.remaining_warm_up_s(record.id, now) <= 0.0:
            return True
        return self._limiter.allows_request(
            record.id,
            call.service.cold_requests_per_s,
            view.list_divisions(now),
            call.service.keyed,
            now,
        )


class CandidateFinder:
    """
    Lists the upstreams of a service without keys, and finds the owner of a key.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the instance.
    view : SystemView
        State of the system as this instance knows it.
    filters : sequence of CandidateFilter
        All must allow an upstream that is chosen among several.
    transport : AttemptTransport
        Tells to which upstreams connecting failed recently.
    costs : CostEstimator
        Expected duration of requests.
    rejections : RejectionFactory
        Makes the errors for requests without a candidate.
    metrics : RouterMetrics
        Counters and histograms.
    """

    def __init__(
        self,
        settings: DirectSettings,
        view: SystemView,
        filters: Sequence[CandidateFilter],
        transport: AttemptTransport,
        costs: CostEstimator,
        rejections: RejectionFactory,
        metrics: RouterMetrics,
    ) -> None:
        self._settings = settings
        self._view = view
        self._filters = filters
        self._transport = transport
        self._costs = costs
        self._rejections = rejections
        self._metrics = metrics

    def list_in_service(self, call: Call) -> list[UpstreamRecord]:
        """List the upstreams that may run a request without a key."""
        return [
            record
            for record in self._view.directory
            if record.service == call.service.name
            and self._view.directory.accepts_requests(record)
            and record.id not in call.excluded_upstreams
        ]

    def list_candidates(self, call: Call) -> list[UpstreamRecord]:
        """
        List the upstreams among which one is chosen for a request without a key.

        Parameters
        ----------
        call : Call
            The request.

        Returns
        -------
        list of UpstreamRecord
            At least one.

        Raises
        ------
        RefusedError
            If there is none.
        """
        candidates = self._exclude_backoffs(call, self.list_in_service(call))
        # After an outage of the store, announcements may be missing although the
        # upstreams run. These are used only if there are no others.
        is_suspected = self._view.directory.is_suspected
        confirmed = [record for record in candidates if not is_suspected(record.id)]
        candidates = confirmed or candidates
        now = monotonic()
        reachable = [
            record
            for record in candidates
            if self._transport.retry_delay_s(record, now) <= 0.0
        ]
        eligible = [
            record
            for record in reachable or candidates
            if self.is_allowed(call, record, now)
        ]
        if not eligible:
            raise self._rejections.refuse_unserved(
                call, Reason.UPSTREAM_UNREACHABLE, "no upstream may be given work", 0.5
            )
        return eligible

    def is_allowed(self, call: Call, record: UpstreamRecord, now: float) -> bool:
        """Return whether all filters allow an upstream."""
        return all(item.allows(call, record, now) for item in self._filters)

    async def find_owner(self, call: Call) -> UpstreamRecord:
        """
        Find the owner of a request's key; park the request while its key moves.

        Parameters
        ----------
        call : Call
            The request.

        Returns
        -------
        UpstreamRecord
            Owner that can be reached and hasn't asked for a pause.

        Raises
        ------
        RefusedError
            If there is no such upstream.
        """
        key = call.metadata.key
        if key is None:
            raise refuse(Reason.KEY_MISSING, "the service is divided by key", 0.0)
        parked_at, is_parked = monotonic(), False
        parked_until = parked_at + self._settings.send.park_s
        work_s = self._costs.estimate_work(call)
        self._view.key_demand.record_load(call.service.name, key, work_s)
        while True:
            key_range = self._view.find_owner(call.service.name, key)
            record = self._view.directory.get(key_range.owner) if key_range else None
            if (
                key_range is not None
                and record is not None
                and record.born == key_range.born
                and self._view.draining.can_serve_keys(record)
            ):
                self._view.unowned.record_served(call.service.name, key_range.first)
                self._metrics.observe(
                    "park_seconds", monotonic() - parked_at, call.service.name
                )
                if self.is_backed_off(record):
                    raise self._rejections.refuse_backed_off(call, [record])
                self._check_grant(call, key_range)
                if is_parked:
                    # Requests that waited for the key at other instances go out, too.
                    self._view.room.share.doubt(record.id, monotonic())
                self._check_reachable(call, record)
                return record
            now = monotonic()
            first = key_range.first if key_range is not None else 0
            unowned = self._view.unowned
            unowned_s = unowned.record_unserved(call.service.name, first, now)
            expected_s = unowned.estimate_wait(call.service.name, key, now)
            if self._view.lapses.is_coordinator_silent(now):
                # Nobody names an owner before a takeover.
                takeover_s = self._view.lapses.estimate_wait_s(now)
                expected_s = max(expected_s or 0.0, takeover_s)
                raise self._rejections.refuse_unowned(call, key, unowned_s, expected_s)
            limit_s = self._settings.send.handover_s - unowned_s
            if expected_s is not None:
                limit_s = expected_s + HANDOVER_MARGIN_S
                parked_until = min(parked_until, now + limit_s)
            wait_s = min(parked_until - now, limit_s, call.remaining_s - work_s)
            is_too_late = expected_s is not None and expected_s > wait_s
            if is_too_late or wait_s <= 0.0 or call.caller.disconnected.is_set():
                raise self._rejections.refuse_unowned(call, key, unowned_s, expected_s)
            is_parked = True
            await self.wait_for_change(call, wait_s)

    def check_refusal(self, call: Call) -> None:
        """Reject a request that the owner of its key has refused, if nobody renews."""
        key = call.metadata.key
        key_range = (
            None if key is None else self._view.find_owner(call.service.name, key)
        )
        if key_range is not None and self._view.lapses.is_lapsed(
            call.service.name, key_range
        ):
            raise self._rejections.refuse_lapsed(call, key_range.owner)

    def is_backed_off(self, record: UpstreamRecord) -> bool:
        """Whether an upstream has asked not to get requests for some time."""
        return self._view.backoffs.remaining_s(record, monotonic()) > 0.0

    async def wait_for_change(self, call: Call, wait_s: float) -> None:
        """Wait until the map or the upstreams change, for a limited time."""
        try:
            async with timeout(max(0.0, min(wait_s, call.remaining_s))):
                await self._view.wait_for_change()
        except TimeoutError:
            pass

    def _check_grant(self, call: Call, key_range: KeyRange) -> None:
        """Reject a request for a key whose grant nobody renews, unless it is a try."""
        lapses, service = self._view.lapses, call.service.name
        if call.tries_lapsed or not lapses.is_lapsed(service, key_range):
            return
        if not lapses.may_try(service, key_range, monotonic()):
            raise self._rejections.refuse_lapsed(call, key_range.owner)
        call.tries_lapsed = True

    def _exclude_backoffs(
        self, call: Call, candidates: Sequence[UpstreamRecord]
    ) -> list[UpstreamRecord]:
        allowed = [record for record in candidates if not self.is_backed_off(record)]
        if candidates and not allowed:
            raise self._rejections.refuse_backed_off(call, candidates)
        return allowed

    def _check_reachable(self, call: Call, record: UpstreamRecord) -> None:
        """Reject a request if connecting to the owner of its key has just failed."""
        retry_delay_s = self._transport.retry_delay_s(record, monotonic())
        if retry_delay_s > 0.0 and not call.failed_connects:
            detail = f"upstream {record.id} couldn't be reached a moment ago"
            raise self._rejections.refuse_unreachable(call, record, detail)
