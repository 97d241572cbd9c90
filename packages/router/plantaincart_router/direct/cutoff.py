"""Resignation of a coordinator that reaches no upstream."""

from asyncio import sleep
from collections.abc import Awaitable, Callable
from time import monotonic

from plantaincart_router.direct.calloutcome import MIN_FAILING_UPSTREAMS
from plantaincart_router.direct.granter import Granter
from plantaincart_router.direct.membership import Membership
from plantaincart_router.direct.reachability import UpstreamReachability
from plantaincart_router.direct.settings import CoordinationSettings
from plantaincart_router.direct.term import Term
from plantaincart_router.log import write_event

__all__ = ["CutOffWatch"]

# Seconds between checks, and between attempts to resign.
CHECK_INTERVAL_S = 0.1
RETRY_INTERVAL_S = 0.4


class CutOffWatch:
    """
    Ends the term while no upstream is reachable, if another instance may reach them.

    Parameters
    ----------
    times : CoordinationSettings
        Times of the coordinator.
    term : Term
        The term, which nobody else can claim while the store is unreachable.
    granter : Granter
        Knows whether upstreams answer.
    reachability : UpstreamReachability
        Knows whether this instance can connect to upstreams.
    members : Membership
        Instances with their last reports.
    resign : callable
        Vacates the term; returns whether it has ended.

    Notes
    -----
    A term lasts for a grant duration before it is given up for this reason, so that the
    role doesn't go round where no instance reaches the upstreams.
    """

    def __init__(
        self,
        times: CoordinationSettings,
        term: Term,
        granter: Granter,
        reachability: UpstreamReachability,
        members: Membership,
        resign: Callable[[], Awaitable[bool]],
    ) -> None:
        self._times = times
        self._term = term
        self._granter = granter
        self._reachability = reachability
        self._members = members
        self._resign = resign
        self._started_at = monotonic()
        self._connected_at = self._started_at
        self._was_cut_off = False

    async def run(self) -> None:
        """Check until the term has ended."""
        while True:
            await sleep(CHECK_INTERVAL_S)
            now = monotonic()
            is_cut_off = self._granter.is_cut_off or self._fails_to_connect(now)
            successors = self._members.count_successors(self._term.holder, now)
            if is_cut_off != self._was_cut_off:
                self._was_cut_off = is_cut_off
                self._log(now, successors)
            if not is_cut_off or not successors or not self._may_resign(now):
                continue
            if await self._resign():
                return
            await sleep(RETRY_INTERVAL_S)

    def _fails_to_connect(self, now: float) -> bool:
        """
        Whether no connection can be opened; grants on kept ones may still arrive.

        Connects of requests also fail where many upstreams are full or the process is
        short of processor time. While the coordinator's own calls open connections, or
        are all answered, it isn't cut off.
        """
        granter = self._granter
        if granter.outcomes.failed_upstreams >= MIN_FAILING_UPSTREAMS:
            # Starts to try connections.
            self._reachability.record_lost()
        if not self._reachability.is_cut_off:
            self._connected_at = now
        self._connected_at = max(self._connected_at, granter.connected_at)
        is_over = now - self._connected_at >= self._times.cut_off_s
        silence_s = granter.outcomes.measure_silence(now)
        is_failing = granter.has_failing or silence_s >= self._times.cut_off_s
        return is_over and is_failing

    def _may_resign(self, now: float) -> bool:
        is_young = now - self._started_at < self._times.hold_s
        return not is_young and not self._term.store_unreachable

    def _log(self, now: float, successors: int) -> None:
        outcomes = self._granter.outcomes
        write_event(
            "coordinator_cut_off" if self._was_cut_off else "coordinator_reconnected",
            epoch=self._term.epoch,
            failed_upstreams=outcomes.failed_upstreams,
            silent_s=round(outcomes.measure_silence(now), 2),
            connected_s=round(now - self._connected_at, 2),
            successors=successors,
        )
