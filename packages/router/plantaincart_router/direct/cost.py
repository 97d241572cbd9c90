"""Expected wait and duration of requests at upstreams."""

from time import monotonic
from typing import Self

from plantaincart_core.admission import LatencyEstimate
from plantaincart_core.directory import UpstreamRecord

from plantaincart_router.direct.call import Call
from plantaincart_router.direct.interface import LoadStatement
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.view import SystemView

__all__ = ["CostEstimator"]

# Estimated duration of a request before any request of its service was measured, as a
# fraction of the route's target.
DEFAULT_WORK_SHARE = 0.35
# Least expected duration in seconds that a wait is compared with.
MIN_EXPECTED_S = 1e-3


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

    def copy(self, view: SystemView) -> Self:
        """Return a copy that reads another state and learns apart."""
        copied = type(self)(self._settings, view)
        copied._mean_work_s = dict(self._mean_work_s)
        return copied

    def estimate(self, call: Call, record: UpstreamRecord) -> LatencyEstimate:
        """Return the expected wait and duration of a request at an upstream."""
        loads = self._view.loads
        work_s = self.estimate_work(call)
        mean_s = self._mean_work_s.get(call.service.name, work_s)
        now = monotonic()
        factor = self._find_factor(call, record, now)
        wait_s = loads.estimate_wait_s(record.id, record.slots, mean_s, now, factor)
        # A request that waits for a permit doesn't occupy the upstream meanwhile.
        wait_s = max(wait_s, self._view.quotas.estimate_wait_s(record, now))
        return LatencyEstimate(
            wait_s=wait_s,
            work_s=work_s * factor,
            remaining_s=call.remaining_s,
            target_s=call.route.target_s,
        )

    def _find_factor(self, call: Call, record: UpstreamRecord, now: float) -> float:
        """Return the time at an upstream relative to the usual one."""
        speeds, settings = self._view.speeds, self._settings.load
        factor = None
        if call.service.keyed:
            # Its request can't go elsewhere, and may outlast the slowdown of a moment.
            if settings.admits_keys_by_speed:
                factor = speeds.find_lasting(record.id)
        elif settings.chooses_by_slowdown:
            factor = speeds.find_factor(record.id, record.service, now)
        return self._view.loads.get(record.id).slowness if factor is None else factor

    def estimate_cost_s(self, call: Call, record: UpstreamRecord) -> float:
        """
        Return the cost of a request at an upstream, in seconds.

        A late answer costs more by what the penalty for other data centres can be in
        time, so that a nearer upstream isn't chosen when one that is farther away would
        answer within the target.
        """
        expected = self.estimate(call, record)
        latency_s = expected.wait_s + expected.work_s
        if latency_s <= expected.target_s:
            return latency_s
        penalty = self._settings.choice.remote_cost_factor - 1.0
        return latency_s + max(0.0, penalty) * expected.target_s

    def estimate_work(self, call: Call) -> float:
        """Return the expected duration of a request in seconds, without queueing."""
        return self._view.loads.estimate_work_s(
            call.route.name, self.default_work_s(call)
        )

    def default_work_s(self, call: Call) -> float:
        """Return the duration assumed for an unmeasured route: the service's mean."""
        default_s = call.route.target_s * DEFAULT_WORK_SHARE
        return self._mean_work_s.get(call.service.name, default_s)

    def record_overdue(
        self, record: UpstreamRecord, waited_s: float, expected_s: float
    ) -> None:
        """
        Learn from a request that wasn't answered in time.

        Parameters
        ----------
        record : UpstreamRecord
            Upstream to which it was sent.
        waited_s : float
            Seconds for which its answer was waited for.
        expected_s : float
            Seconds that it was expected to take when it was sent.
        """
        self._view.loads.record_overdue(record.id, waited_s, expected_s)
        factor = waited_s / max(expected_s, MIN_EXPECTED_S)
        lasting = self._view.speeds.find_lasting(record.id)
        if factor > 1.0 and lasting is not None:
            self._view.speeds.record_failure(record.id, lasting * factor)

    def record_shed(self, record: UpstreamRecord) -> None:
        """Learn from a request that was rejected although a slot was free."""
        settings = self._settings.load
        self._view.loads.record_shed(record.id)
        if settings.learns_speed:
            self._view.speeds.record_failure(record.id, settings.shed_slowness)

    def record_answer(
        self,
        call: Call,
        record: UpstreamRecord,
        seconds: float,
        load: LoadStatement | None,
        queued: bool,
    ) -> None:
        """
        Learn from the response time of an answered request.

        Parameters
        ----------
        call : Call
            The request.
        record : UpstreamRecord
            Upstream that ran it.
        seconds : float
            Seconds from sending the request to the end of the answer.
        load : LoadStatement or None
            What the answer states about the upstream's load.
        queued : bool
            Whether the request probably waited for a slot.
        """
        if self._settings.load.learns_speed:
            self._record_speed(call, record, seconds, load, queued)
        default_s = self.default_work_s(call)
        self._view.loads.record_work(
            call.route.name, record.id, seconds, queued, default_s
        )
        work_s = self.estimate_work(call)
        mean_s = self._mean_work_s.get(call.service.name, work_s)
        mean_s += self._settings.load.smoothing * 0.25 * (work_s - mean_s)
        self._mean_work_s[call.service.name] = mean_s

    def _record_speed(
        self,
        call: Call,
        record: UpstreamRecord,
        seconds: float,
        load: LoadStatement | None,
        queued: bool,
    ) -> None:
        speeds, usual_s = self._view.speeds, self.estimate_work(call)
        mean = speeds.find_mean_slowdown(record.service)
        slowdown = mean if load is None else load.slowdown
        # The usual time contains the mean slowdown.
        net_s = usual_s / mean
        if load is not None:
            work = 0.0 if queued else seconds / max(net_s * slowdown, MIN_EXPECTED_S)
            now = monotonic()
            speeds.record_statement(record.id, record.service, slowdown, now, work)
        if not queued:
            # A machine that is slow for good may state that, too, so that the lasting
            # factor isn't divided by what is stated.
            speeds.record_answer(record.id, seconds, usual_s, 1.0)
