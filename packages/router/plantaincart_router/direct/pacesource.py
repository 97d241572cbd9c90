"""Use of the limits of upstreams that are paced."""

from random import Random

from plantaincart_core.admission import LatencyEstimate
from plantaincart_core.directory import UpstreamRecord

from plantaincart_router.direct.call import Call
from plantaincart_router.direct.candidates import CandidateFilter
from plantaincart_router.direct.capacity import CapacitySource
from plantaincart_router.direct.view import SystemView

__all__ = ["PaceFilter", "PaceSource", "is_good_answer"]

# Multiple of the expected time from which an answer counts as slow, and least time in
# seconds that does.
SLOW_RATIO = 4.0
SLOW_FLOOR_S = 0.05
FIRST_ERROR_STATUS = 500

# Share of a service's upstreams up to which those that are paced are passed over.
MAX_PACED_SHARE = 0.5
# Seconds for which the counted shares are reused.
SHARE_CACHE_S = 0.1


def is_good_answer(status: int, seconds: float, expected: LatencyEstimate) -> bool:
    """
    Return whether an answer shows that its upstream bears its requests.

    Parameters
    ----------
    status : int
        Status of the answer.
    seconds : float
        Seconds from sending the request to the end of the answer.
    expected : LatencyEstimate
        Expected times when it was sent.
    """
    limit_s = SLOW_RATIO * (expected.wait_s + expected.work_s)
    return status < FIRST_ERROR_STATUS and seconds < max(limit_s, SLOW_FLOOR_S)


class PaceSource(CapacitySource):
    """
    Limits upstreams to their pace, except owners of keys.

    Parameters
    ----------
    view : SystemView
        State of the system as this instance knows it.

    Notes
    -----
    If most upstreams of a service are paced, nothing is limited: the others couldn't
    run the requests.
    """

    def __init__(self, view: SystemView) -> None:
        self._view = view
        self._shares: dict[str, float] = {}
        self._shares_at = float("-inf")

    def find_limit(self, record: UpstreamRecord, now: float) -> float | None:
        """Return the limit of an upstream; None if it isn't paced."""
        limit = self._view.paces.find_limit(record.id, now)
        if limit is None:
            return None
        config = self._view.routing_config
        service = config.services.get(record.service) if config else None
        if service is None or service.keyed:
            # Nobody else can run an owner's requests.
            return None
        if self._find_paced_share(record.service, now) > MAX_PACED_SHARE:
            return None
        return max(limit, 1.0)

    def _find_paced_share(self, service: str, now: float) -> float:
        if now - self._shares_at > SHARE_CACHE_S:
            totals: dict[str, int] = {}
            paced: dict[str, int] = {}
            for record in self._view.directory:
                totals[record.service] = totals.get(record.service, 0) + 1
                if record.id in self._view.paces:
                    paced[record.service] = paced.get(record.service, 0) + 1
            self._shares = {name: count / totals[name] for name, count in paced.items()}
            self._shares_at = now
        return self._shares.get(service, 0.0)


class PaceFilter(CandidateFilter):
    """
    Passes over paced upstreams as often as their limits demand.

    Parameters
    ----------
    view : SystemView
        State of the system as this instance knows it.
    source : PaceSource
        Limits of the upstreams.

    Notes
    -----
    A limit of few requests can't be divided into whole units among many instances
    without leaving the upstream idle, since an instance with a unit sends it few of its
    requests. So each instance draws: with a limit of a quarter of the slots, an
    upstream is considered for a quarter of the requests, whoever gets them.
    """

    def __init__(self, view: SystemView, source: PaceSource) -> None:
        self._view = view
        self._source = source
        self._random = Random()

    def allows(self, call: Call, record: UpstreamRecord, now: float) -> bool:
        """Return whether an upstream isn't paced, or may get this request."""
        share = self.find_share(record, now)
        return share >= 1.0 or self._random.random() < share

    def find_share(self, record: UpstreamRecord, now: float) -> float:
        """Return the share of requests for which an upstream is considered."""
        paces = self._view.paces
        limit = paces.find_limit(record.id, now) if len(paces) else None
        most = self._source.find_limit(record, now)
        if limit is None or most is None:
            return 1.0
        loads = self._view.loads
        if loads.get(record.id).estimate_in_flight(now, loads.settings) >= most:
            return 0.0
        return min(1.0, limit / max(1, record.slots))
