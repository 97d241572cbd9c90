"""Choice of the upstream for a request, or its refusal."""

from asyncio import timeout
from collections.abc import Sequence
from random import Random
from time import monotonic

from plantaincart_core.admission import Admission, Expectation, decide_admission
from plantaincart_core.choice import choose_cheapest
from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.verdict import (
    Reason,
    Refusal,
    RefusedError,
    refuse_may_have_run,
)

from plantaincart_router.direct.call import Call, refuse
from plantaincart_router.direct.cold import ColdUpstreamLimiter
from plantaincart_router.direct.reach import ConnectFailures
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.tally import RouterMetrics
from plantaincart_router.direct.view import SystemView

__all__ = ["UpstreamSelector"]

# Seconds that a route's work is taken to last before any of its service was measured,
# as a part of its target.
WORK_GUESS_SHARE = 0.35
# Least seconds after which callers come back for keys without an owner.
MIN_UNOWNED_RETRY_S = 0.5
# Seconds beyond the expected end of a handover for which requests wait for it.
HANDOVER_SPREAD_S = 0.5


class UpstreamSelector:
    """
    Finds the owner of a key, or the cheapest upstream of a service without keys.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the instance.
    view : SystemView
        What is known of the system.
    cold_limiter : ColdUpstreamLimiter
        Counts what cold upstreams get.
    connect_failures : ConnectFailures
        Upstreams that no connection could be opened to.
    metrics : RouterMetrics
        Counts what happens.
    """

    def __init__(
        self,
        settings: DirectSettings,
        view: SystemView,
        cold_limiter: ColdUpstreamLimiter,
        connect_failures: ConnectFailures,
        metrics: RouterMetrics,
    ) -> None:
        self._settings = settings
        self._view = view
        self._cold_limiter = cold_limiter
        self._connect_failures = connect_failures
        self._metrics = metrics
        self._random = Random()
        self._mean_work_s: dict[str, float] = {}

    async def find_upstream(self, call: Call) -> UpstreamRecord:
        """
        Find the upstream that a request is sent to; wait for keys that move.

        Parameters
        ----------
        call : Call
            The request.

        Returns
        -------
        UpstreamRecord
            Upstream that should do it in time.

        Raises
        ------
        RefusedError
            If none can.
        """
        if call.service.keyed:
            return await self._find_owner(call)
        candidates = [
            record
            for record in self._view.directory
            if record.service == call.service.name
            and self._view.directory.can_work(record)
            and record.id not in call.tried
        ]
        # An outage may have made all of them vanish; a few may really have gone.
        doubtful = self._view.directory.is_doubtful
        sure = [record for record in candidates if not doubtful(record.id)]
        return self._choose(call, sure or candidates)

    async def _find_owner(self, call: Call) -> UpstreamRecord:
        key = call.reading.key
        if key is None:
            raise refuse(Reason.KEY_MISSING, "the service is divided by key", 0.0)
        parked_at = monotonic()
        parked_until = parked_at + self._settings.send.park_s
        self._view.record_key_load(call.service.name, key, self.estimate_work(call))
        while True:
            owned = self._view.find_owner(call.service.name, key)
            record = self._view.directory.get(owned.owner) if owned else None
            if (
                owned is not None
                and record is not None
                and record.born == owned.born
                and self._view.can_serve_keys(record)
            ):
                self._view.unowned.record_served(call.service.name, owned.first)
                self._metrics.observe(
                    "park_seconds", monotonic() - parked_at, call.service.name
                )
                self._check_reach(call, record)
                self._admit(call, record)
                return record
            now = monotonic()
            first = owned.first if owned is not None else 0
            unowned = self._view.unowned
            unowned_s = unowned.record_unserved(call.service.name, first, now)
            expected_s = unowned.estimate_wait(call.service.name, key, now)
            limit_s = self._settings.send.handover_s - unowned_s
            if expected_s is not None:
                limit_s = expected_s + HANDOVER_SPREAD_S
                parked_until = min(parked_until, now + limit_s)
            wait_s = min(
                parked_until - now, limit_s, call.left_s - self.estimate_work(call)
            )
            hopeless = expected_s is not None and expected_s > wait_s
            if hopeless or wait_s <= 0.0 or call.caller.gone.is_set():
                raise self._refuse_unowned(call, key, unowned_s, expected_s)
            await self.wait_for_change(call, wait_s)

    def _check_reach(self, call: Call, record: UpstreamRecord) -> None:
        """Refuse a request whose owner others have just failed to connect to."""
        left_s = self._connect_failures.retry_delay_s(record, monotonic())
        if left_s > 0.0 and not call.unreached:
            detail = f"upstream {record.id} couldn't be reached a moment ago"
            raise self.refuse_unreachable(call, record, detail)

    def refuse_unreachable(
        self, call: Call, record: UpstreamRecord, detail: str
    ) -> RefusedError:
        """
        Return the error for a key whose owner can't be connected to.

        Parameters
        ----------
        call : Call
            The request.
        record : UpstreamRecord
            Owner of its key.
        detail : str
            For the log.
        """
        left_s = self._connect_failures.retry_delay_s(record, monotonic())
        return self.refuse_unserved(
            call, Reason.UPSTREAM_UNREACHABLE, detail, max(left_s, MIN_UNOWNED_RETRY_S)
        )

    def _refuse_unowned(
        self, call: Call, key: int, unowned_s: float, expected_s: float | None
    ) -> RefusedError:
        detail = f"no owner for key {key}, for {unowned_s:.1f} s"
        if expected_s is None:
            times = self._settings.coordination
            # By then the hold of an owner that can't be reached has ended.
            hold_s = times.hold_s + times.call_timeout_s + times.hold_margin_s
            expected_s = hold_s - unowned_s
        else:
            detail += f", expected in {expected_s:.1f} s"
        return self.refuse_unserved(
            call, Reason.NO_OWNER, detail, max(expected_s, MIN_UNOWNED_RETRY_S)
        )

    async def wait_for_change(self, call: Call, wait_s: float) -> None:
        """Wait until the map or the upstreams change, but no longer than a time."""
        try:
            async with timeout(max(0.0, min(wait_s, call.left_s))):
                await self._view.wait_for_change()
        except TimeoutError:
            pass

    def _choose(
        self, call: Call, candidates: Sequence[UpstreamRecord]
    ) -> UpstreamRecord:
        now = monotonic()
        reached = [
            one
            for one in candidates
            if self._connect_failures.retry_delay_s(one, now) <= 0.0
        ]
        warm = {
            record.id: record
            for record in reached or candidates
            if self._is_warm_enough(call, record, now)
        }
        if not warm:
            raise self.refuse_unserved(
                call, Reason.UPSTREAM_UNREACHABLE, "no upstream may be given work", 0.5
            )
        home = self._settings.data_centre
        near = [name for name, record in warm.items() if record.data_centre == home]
        far = [name for name, record in warm.items() if record.data_centre != home]

        def measure(name: str) -> float:
            expected = self.expect(call, warm[name])
            return expected.wait_s + expected.work_s

        settings = self._settings.choice
        chosen = choose_cheapest(near, far, measure, settings, self._random)
        if chosen is not None and self._judge(call, warm[chosen])[1].admitted:
            return warm[chosen]
        # Nothing is refused while any upstream could do it.
        cheapest = warm[min(warm, key=measure)]
        self._admit(call, cheapest)
        return cheapest

    def _is_warm_enough(self, call: Call, record: UpstreamRecord, now: float) -> bool:
        left_s = self._view.directory.warmup_left_s(record.id, now)
        if left_s <= 0.0:
            return True
        allowed = call.service.cold_requests_per_s
        view = self._view
        return self._cold_limiter.allows_request(
            record.id, allowed, view.members, view.rank, call.service.keyed, now
        )

    def _admit(self, call: Call, record: UpstreamRecord) -> None:
        """Refuse a request that would wait too long."""
        now = monotonic()
        if call.service.keyed and not self._is_warm_enough(call, record, now):
            raise self.refuse_unserved(
                call, Reason.RATE_LIMITED, f"upstream {record.id} is cold", 0.5
            )
        expected, admission = self._judge(call, record)
        if not admission.admitted:
            raise self._refuse_full(call, record, expected, admission)

    def _judge(
        self, call: Call, record: UpstreamRecord
    ) -> tuple[Expectation, Admission]:
        expected = self.expect(call, record)
        standing = self._view.loads.has_standing_queue(record.id, monotonic())
        share = self._settings.admission.choose_share(call.route.priority, standing)
        return expected, decide_admission(expected, share)

    def _refuse_full(
        self,
        call: Call,
        record: UpstreamRecord,
        expected: Expectation,
        admission: Admission,
    ) -> RefusedError:
        load = self._view.loads.get(record.id)
        detail = (
            f"upstream {record.id}: expected wait {expected.wait_s:.2f} s and work "
            f"{expected.work_s:.2f} s exceed {admission.bound_s:.2f} s "
            f"(own {load.in_flight}, slowness {load.slowness:.1f})"
        )
        return self.refuse_unserved(
            call, Reason.QUEUE_FULL, detail, admission.retry_after_s
        )

    def refuse_unserved(
        self, call: Call, reason: Reason, detail: str, retry_after_s: float
    ) -> RefusedError:
        """
        Return the error that refuses a request.

        Parameters
        ----------
        call : Call
            The request; it is said to have run if it may have.
        reason : Reason
            Why it isn't served.
        detail : str
            For the log.
        retry_after_s : float
            Seconds after which it may be served; callers are spread beyond it.
        """
        if call.may_have_run:
            return RefusedError(refuse_may_have_run(Reason.UPSTREAM_LOST, detail))
        settings = self._settings.admission
        spread = retry_after_s * (1.0 + 0.5 * self._random.random())
        retry_s = min(max(spread, settings.least_retry_s), settings.most_retry_s)
        refusal = Refusal(
            status=503, reason=reason, detail=detail, retry_after_s=retry_s
        )
        return RefusedError(refusal)

    def expect(self, call: Call, record: UpstreamRecord) -> Expectation:
        """Return what a request can expect at an upstream."""
        loads = self._view.loads
        work_s = self.estimate_work(call)
        mean_s = self._mean_work_s.get(call.service.name, work_s)
        wait_s = loads.estimate_wait_s(record.id, record.slots, mean_s, monotonic())
        return Expectation(
            wait_s=wait_s,
            work_s=work_s * loads.get(record.id).slowness,
            left_s=call.left_s,
            target_s=call.route.target_s,
        )

    def estimate_work(self, call: Call) -> float:
        """Return the seconds that a request's work should take."""
        return self._view.loads.estimate_work_s(
            call.route.name, self.default_work_s(call)
        )

    def default_work_s(self, call: Call) -> float:
        """Return what a new route's work is taken to last: its service's mean."""
        guess_s = call.route.target_s * WORK_GUESS_SHARE
        return self._mean_work_s.get(call.service.name, guess_s)

    def record_service_mean(self, call: Call) -> None:
        """Take an answered request into the mean work of its service."""
        work_s = self.estimate_work(call)
        mean_s = self._mean_work_s.get(call.service.name, work_s)
        mean_s += self._settings.load.smoothing * 0.25 * (work_s - mean_s)
        self._mean_work_s[call.service.name] = mean_s
