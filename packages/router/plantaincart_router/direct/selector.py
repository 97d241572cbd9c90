"""Choice of the upstream for a request, or its rejection."""

from asyncio import timeout
from collections.abc import Sequence
from random import Random
from time import monotonic

from plantaincart_core.admission import Admission, LatencyEstimate, decide_admission
from plantaincart_core.choice import choose_cheapest
from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.verdict import (
    Reason,
    Refusal,
    RefusedError,
    refuse_may_have_run,
)

from plantaincart_router.direct.call import Call, refuse
from plantaincart_router.direct.coldlimiter import ColdUpstreamLimiter
from plantaincart_router.direct.metrics import RouterMetrics
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.transport import AttemptTransport
from plantaincart_router.direct.view import SystemView

__all__ = ["UpstreamSelector"]

# Estimated duration of a request before any request of its service was measured, as a
# fraction of the route's target.
DEFAULT_WORK_SHARE = 0.35
# Minimum delay in seconds after which callers retry requests for unowned keys.
MIN_UNOWNED_RETRY_S = 0.5
# Seconds by which requests stay parked beyond the expected end of a handover.
HANDOVER_MARGIN_S = 0.5
# Number of times that a request may wait for a permit, and the maximum of that time in
# seconds if another upstream can run it.
MAX_PERMITS = 3
MAX_UNKEYED_PATIENCE_S = 0.3
# Maximum number of upstreams that the text of a rejection names.
MAX_LISTED_UPSTREAMS = 3


class UpstreamSelector:
    """
    Finds the owner of a key, or the upstream with the lowest cost if there are no keys.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the instance.
    view : SystemView
        State of the system as this instance knows it.
    cold_limiter : ColdUpstreamLimiter
        Limits requests to cold upstreams.
    transport : AttemptTransport
        Tells to which upstreams connecting failed recently.
    metrics : RouterMetrics
        Counters and histograms.
    """

    def __init__(
        self,
        settings: DirectSettings,
        view: SystemView,
        cold_limiter: ColdUpstreamLimiter,
        transport: AttemptTransport,
        metrics: RouterMetrics,
    ) -> None:
        self._settings = settings
        self._view = view
        self._cold_limiter = cold_limiter
        self._transport = transport
        self._metrics = metrics
        self._random = Random()
        self._mean_work_s: dict[str, float] = {}

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
            if await quotas.acquire(
                record, call.route.priority, self._choose_patience_s(call, record)
            ):
                if self._may_still_send(call, record):
                    return record
                quotas.give_back(record)
            else:
                call.excluded_upstreams.add(record.id)
                if call.service.keyed or not self._list_candidates(call):
                    break
            record = await self._find_candidate(call)
        detail = f"upstream {record.id} takes no more requests"
        wait_s = quotas.estimate_wait_s(record, monotonic())
        raise self.refuse_unserved(call, Reason.RATE_LIMITED, detail, wait_s)

    def _choose_patience_s(self, call: Call, record: UpstreamRecord) -> float:
        """Choose for how long a request may wait for a permit."""
        if self._view.quotas.limits.find((record.id, record.born)) is None:
            return 0.0
        share = self._settings.admission.choose_share(call.route.priority, False)
        limit_s = min(call.remaining_s, share * call.route.target_s)
        patience_s = limit_s - self.estimate_work(call)
        if not call.service.keyed and len(self._list_candidates(call)) > 1:
            patience_s = min(patience_s, MAX_UNKEYED_PATIENCE_S)
        return patience_s

    def _may_still_send(self, call: Call, record: UpstreamRecord) -> bool:
        """Whether an upstream that was found before a wait may get the request."""
        view = self._view
        if view.quotas.limits.find((record.id, record.born)) is None:
            return True
        if self.is_backed_off(record):
            return False
        if not call.service.keyed or call.metadata.key is None:
            return view.directory.accepts_requests(record)
        key_range = view.find_owner(call.service.name, call.metadata.key)
        owner = (record.id, record.born)
        is_owner = key_range is not None and (key_range.owner, key_range.born) == owner
        return is_owner and view.can_serve_keys(record)

    async def _find_candidate(self, call: Call) -> UpstreamRecord:
        if call.service.keyed:
            return await self._find_owner(call)
        candidates = self._exclude_backoffs(call, self._list_candidates(call))
        # After an outage of the store, announcements may be missing although the
        # upstreams run. These are used only if there are no others.
        is_suspected = self._view.directory.is_suspected
        confirmed = [record for record in candidates if not is_suspected(record.id)]
        return self._choose_cheapest(call, confirmed or candidates)

    def _list_candidates(self, call: Call) -> list[UpstreamRecord]:
        """List the upstreams that may run a request without a key."""
        return [
            record
            for record in self._view.directory
            if record.service == call.service.name
            and self._view.directory.accepts_requests(record)
            and record.id not in call.excluded_upstreams
        ]

    async def _find_owner(self, call: Call) -> UpstreamRecord:
        key = call.metadata.key
        if key is None:
            raise refuse(Reason.KEY_MISSING, "the service is divided by key", 0.0)
        parked_at = monotonic()
        parked_until = parked_at + self._settings.send.park_s
        self._view.record_key_load(call.service.name, key, self.estimate_work(call))
        while True:
            key_range = self._view.find_owner(call.service.name, key)
            record = self._view.directory.get(key_range.owner) if key_range else None
            if (
                key_range is not None
                and record is not None
                and record.born == key_range.born
                and self._view.can_serve_keys(record)
            ):
                self._view.unowned.record_served(call.service.name, key_range.first)
                self._metrics.observe(
                    "park_seconds", monotonic() - parked_at, call.service.name
                )
                if self.is_backed_off(record):
                    raise self.refuse_backed_off(call, [record])
                self._check_reachable(call, record)
                self._admit(call, record)
                return record
            now = monotonic()
            first = key_range.first if key_range is not None else 0
            unowned = self._view.unowned
            unowned_s = unowned.record_unserved(call.service.name, first, now)
            expected_s = unowned.estimate_wait(call.service.name, key, now)
            limit_s = self._settings.send.handover_s - unowned_s
            if expected_s is not None:
                limit_s = expected_s + HANDOVER_MARGIN_S
                parked_until = min(parked_until, now + limit_s)
            wait_s = min(
                parked_until - now, limit_s, call.remaining_s - self.estimate_work(call)
            )
            is_too_late = expected_s is not None and expected_s > wait_s
            if is_too_late or wait_s <= 0.0 or call.caller.disconnected.is_set():
                raise self._refuse_unowned(call, key, unowned_s, expected_s)
            await self.wait_for_change(call, wait_s)

    def is_backed_off(self, record: UpstreamRecord) -> bool:
        """Whether an upstream has asked not to get requests for some time."""
        return self._view.backoffs.remaining_s(record, monotonic()) > 0.0

    def _exclude_backoffs(
        self, call: Call, candidates: Sequence[UpstreamRecord]
    ) -> list[UpstreamRecord]:
        allowed = [record for record in candidates if not self.is_backed_off(record)]
        if candidates and not allowed:
            raise self.refuse_backed_off(call, candidates)
        return allowed

    def refuse_backed_off(
        self, call: Call, records: Sequence[UpstreamRecord]
    ) -> RefusedError:
        """
        Return the error for a request whose upstreams have all asked for a pause.

        Parameters
        ----------
        call : Call
            The request.
        records : sequence of UpstreamRecord
            Upstreams that could run it; at least one.
        """
        backoffs, now = self._view.backoffs, monotonic()
        remaining_s = min(backoffs.remaining_s(record, now) for record in records)
        names = ", ".join(record.id for record in records[:MAX_LISTED_UPSTREAMS])
        detail = f"no request for {remaining_s:.1f} s as requested by {names}"
        return self.refuse_unserved(call, Reason.QUEUE_FULL, detail, remaining_s)

    def _check_reachable(self, call: Call, record: UpstreamRecord) -> None:
        """Reject a request if connecting to the owner of its key has just failed."""
        retry_delay_s = self._transport.retry_delay_s(record, monotonic())
        if retry_delay_s > 0.0 and not call.failed_connects:
            detail = f"upstream {record.id} couldn't be reached a moment ago"
            raise self.refuse_unreachable(call, record, detail)

    def refuse_unreachable(
        self, call: Call, record: UpstreamRecord, detail: str
    ) -> RefusedError:
        """
        Return the error for a key whose owner is unreachable.

        Parameters
        ----------
        call : Call
            The request.
        record : UpstreamRecord
            Owner of the request's key.
        detail : str
            Text for the log.
        """
        retry_delay_s = self._transport.retry_delay_s(record, monotonic())
        return self.refuse_unserved(
            call,
            Reason.UPSTREAM_UNREACHABLE,
            detail,
            max(retry_delay_s, MIN_UNOWNED_RETRY_S),
        )

    def _refuse_unowned(
        self, call: Call, key: int, unowned_s: float, expected_s: float | None
    ) -> RefusedError:
        detail = f"no owner for key {key}, for {unowned_s:.1f} s"
        if expected_s is None:
            times = self._settings.coordination
            # Longest time until the grant of an unreachable owner has expired.
            max_grant_s = times.hold_s + times.call_timeout_s + times.hold_margin_s
            expected_s = max_grant_s - unowned_s
        else:
            detail += f", expected in {expected_s:.1f} s"
        return self.refuse_unserved(
            call, Reason.NO_OWNER, detail, max(expected_s, MIN_UNOWNED_RETRY_S)
        )

    async def wait_for_change(self, call: Call, wait_s: float) -> None:
        """Wait until the map or the upstreams change, for a limited time."""
        try:
            async with timeout(max(0.0, min(wait_s, call.remaining_s))):
                await self._view.wait_for_change()
        except TimeoutError:
            pass

    def _choose_cheapest(
        self, call: Call, candidates: Sequence[UpstreamRecord]
    ) -> UpstreamRecord:
        now = monotonic()
        reachable = [
            record
            for record in candidates
            if self._transport.retry_delay_s(record, now) <= 0.0
        ]
        eligible = {
            record.id: record
            for record in reachable or candidates
            if self._is_within_cold_limit(call, record, now)
        }
        if not eligible:
            raise self.refuse_unserved(
                call, Reason.UPSTREAM_UNREACHABLE, "no upstream may be given work", 0.5
            )
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
            expected = self.estimate(call, eligible[name])
            return expected.wait_s + expected.work_s

        settings = self._settings.choice
        chosen = choose_cheapest(
            local_names, remote_names, estimate_cost, settings, self._random
        )
        if chosen is not None and self._assess(call, eligible[chosen])[1].admitted:
            return eligible[chosen]
        # The request is rejected only if no upstream could answer in time.
        cheapest = eligible[min(eligible, key=estimate_cost)]
        self._admit(call, cheapest)
        return cheapest

    def _is_within_cold_limit(
        self, call: Call, record: UpstreamRecord, now: float
    ) -> bool:
        warmup_left_s = self._view.directory.remaining_warm_up_s(record.id, now)
        if warmup_left_s <= 0.0:
            return True
        allowed = call.service.cold_requests_per_s
        view = self._view
        return self._cold_limiter.allows_request(
            record.id, allowed, view.members, view.rank, call.service.keyed, now
        )

    def _admit(self, call: Call, record: UpstreamRecord) -> None:
        """Reject a request that would wait too long."""
        now = monotonic()
        if call.service.keyed and not self._is_within_cold_limit(call, record, now):
            raise self.refuse_unserved(
                call, Reason.RATE_LIMITED, f"upstream {record.id} is cold", 0.5
            )
        expected, admission = self._assess(call, record)
        if not admission.admitted:
            raise self._refuse_overloaded(call, record, expected, admission)

    def _assess(
        self, call: Call, record: UpstreamRecord
    ) -> tuple[LatencyEstimate, Admission]:
        expected = self.estimate(call, record)
        standing = self._view.loads.has_standing_queue(record.id, monotonic())
        share = self._settings.admission.choose_share(call.route.priority, standing)
        return expected, decide_admission(expected, share)

    def _refuse_overloaded(
        self,
        call: Call,
        record: UpstreamRecord,
        expected: LatencyEstimate,
        admission: Admission,
    ) -> RefusedError:
        loads, now = self._view.loads, monotonic()
        load = loads.get(record.id)
        detail = (
            f"upstream {record.id}: expected wait {expected.wait_s:.2f} s and work "
            f"{expected.work_s:.2f} s exceed {admission.max_latency_s:.2f} s "
            f"(own {load.in_flight}, slowness {load.slowness:.1f})"
        )
        retry_after_s = admission.retry_after_s
        if loads.has_standing_queue(record.id, now):
            # An overload that has lasted for a while is expected to last as long again.
            # Callers that return earlier only delay others.
            full_s = load.measure_full_s(now, loads.settings)
            retry_after_s = max(retry_after_s, full_s)
        return self.refuse_unserved(call, Reason.QUEUE_FULL, detail, retry_after_s)

    def refuse_unserved(
        self, call: Call, reason: Reason, detail: str, retry_after_s: float
    ) -> RefusedError:
        """
        Return the error that rejects a request.

        Parameters
        ----------
        call : Call
            The request. If an earlier attempt may have run, the verdict says so.
        reason : Reason
            Reason of the rejection.
        detail : str
            Text for the log.
        retry_after_s : float
            Seconds after which a retry may succeed. A random delay is added, so that
            callers don't retry all at once.
        """
        if call.may_have_run:
            return RefusedError(refuse_may_have_run(Reason.UPSTREAM_LOST, detail))
        settings = self._settings.admission
        delayed_s = retry_after_s * (1.0 + 0.5 * self._random.random())
        retry_s = min(max(delayed_s, settings.least_retry_s), settings.most_retry_s)
        refusal = Refusal(
            status=503, reason=reason, detail=detail, retry_after_s=retry_s
        )
        return RefusedError(refusal)

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

    def record_service_mean(self, call: Call) -> None:
        """Add an answered request to the mean duration of its service."""
        work_s = self.estimate_work(call)
        mean_s = self._mean_work_s.get(call.service.name, work_s)
        mean_s += self._settings.load.smoothing * 0.25 * (work_s - mean_s)
        self._mean_work_s[call.service.name] = mean_s
