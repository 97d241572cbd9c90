"""State of one upstream, kept by the leader of its shard."""

from asyncio import Task, create_task, shield
from dataclasses import dataclass

from plantaincart_core.grant import ClockReading, UpstreamGrants
from plantaincart_core.latency import LatencyTracker
from plantaincart_core.limit import UpstreamLimit
from plantaincart_schema.generated.configuration import Service, Upstream
from plantaincart_schema.generated.settings import Settings
from plantaincart_schema.generated.upstream import GrantAnswer

from plantaincart_router.exception import (
    AnswerLostError,
    ConnectFailedError,
    ExchangeError,
    SendFailedError,
)
from plantaincart_router.upstream import UpstreamClient

__all__ = ["RunningRequest", "UpstreamRuntime"]

FAILURES_UNTIL_UNREACHABLE = 2
CRASH_PROBES = 3
# Time in which an upstream notices that a request was cancelled. The longer time is for
# the warm-up, when one request too many could overload the upstream.
CANCELLATION_S = 0.05
COLD_CANCELLATION_S = 0.25


@dataclass(eq=False)
class RunningRequest:
    """
    A request that was sent to an upstream and has not ended.

    Parameters
    ----------
    slot : int or None
        Hash slot of its key; None for a service without keys.
    started_at : float
        Time in seconds of the loop's clock.
    task : asyncio.Task or None
        Task that awaits the answer.
    revoked : bool
        Set when the upstream lost the slot, so that its answer no longer counts.
    may_still_run : bool
        Set when the request was cancelled and the upstream may not have noticed yet.
    """

    slot: int | None
    started_at: float
    task: "Task[object] | None"
    revoked: bool = False
    may_still_run: bool = False


class UpstreamRuntime:
    """
    Connections, grant, concurrency limit and latency of one upstream.

    Parameters
    ----------
    upstream : Upstream
        Entry of the upstream in the configuration.
    service : Service
        Service of the upstream.
    settings : Settings
        Settings of the instance.
    earlier_grants_expire_at : float
        Time in seconds of the monotonic clock by which all grants of earlier leaders
        have expired.
    now : float
        Present time in seconds of the monotonic clock.
    """

    def __init__(
        self,
        upstream: Upstream,
        service: Service,
        settings: Settings,
        earlier_grants_expire_at: float,
        now: float,
    ) -> None:
        self.upstream = upstream
        self.settings = settings
        self.client = UpstreamClient(upstream, settings.dispatch)
        self.grant = UpstreamGrants(
            settings.grant, earlier_grants_expire_at=earlier_grants_expire_at
        )
        self.limit = UpstreamLimit(upstream.slots, service.warm_up_s, now)
        self.latency = LatencyTracker()
        self.running_requests: set[RunningRequest] = set()
        self.running_by_slot: dict[int, int] = {}
        self.reachable = False
        self.straggling = False
        self.in_service = True
        self.failures = 0
        self.probed_at = float("-inf")
        self._probe: Task[bool] | None = None
        self._warming_incarnation = ""
        self._warm_up_started_at = now

    @property
    def name(self) -> str:
        """Name of the upstream."""
        return self.upstream.name

    def start_request(self, slot: int | None, now: float) -> RunningRequest:
        """Count a request that is about to be sent to the upstream."""
        running_request = RunningRequest(slot, now, None)
        self.running_requests.add(running_request)
        self.limit.start(now)
        if slot is not None:
            self.running_by_slot[slot] = self.running_by_slot.get(slot, 0) + 1
        return running_request

    def end_request(self, running_request: RunningRequest, now: float) -> None:
        """Remove a request that the upstream no longer runs."""
        self.running_requests.discard(running_request)
        self.limit.finish(now)
        if running_request.may_still_run:
            is_warm = self.limit.is_warm(now)
            cancellation_s = CANCELLATION_S if is_warm else COLD_CANCELLATION_S
            self.limit.add_inherited(now + cancellation_s)
        if running_request.slot is not None:
            remaining = self.running_by_slot[running_request.slot] - 1
            if remaining:
                self.running_by_slot[running_request.slot] = remaining
            else:
                del self.running_by_slot[running_request.slot]

    def resume_warm_up(self, incarnation: str, warm_up_started_at: float) -> None:
        """
        Continue a warm-up that began under an earlier leader.

        Parameters
        ----------
        incarnation : str
            Incarnation that is warming up; another incarnation starts cold.
        warm_up_started_at : float
            Start of the warm-up, in seconds of the loop's clock.
        """
        if not self.reachable:
            self._warming_incarnation, self._warm_up_started_at = (
                incarnation,
                warm_up_started_at,
            )
        elif self.grant.incarnation == incarnation:
            self.limit.restart_warm_up(warm_up_started_at)

    def find_oldest_age(self, now: float) -> float:
        """Return the age in seconds of the oldest request in flight, 0 for none."""
        oldest = min(
            (running_request.started_at for running_request in self.running_requests),
            default=now,
        )
        return now - oldest

    def record_answer(self, answer: GrantAnswer, sent_at: float, now: float) -> bool:
        """
        Record an answer of the grant endpoint.

        Returns
        -------
        bool
            Whether the upstream has restarted since the last answer.
        """
        reading = ClockReading(
            clock_ms=answer.clock_ms, sent_at=sent_at, received_at=now
        )
        restarted = self.grant.record_reading(reading, answer.incarnation)
        if restarted or not self.reachable:
            self.limit.restart_warm_up(now)
        self.reachable = True
        if answer.incarnation == self._warming_incarnation:
            self.limit.restart_warm_up(self._warm_up_started_at)
        self._warming_incarnation = ""
        self.failures = 0
        self.probed_at = now
        return restarted

    def record_failure(self, error: ExchangeError) -> bool:
        """
        Record a failed call of the grant endpoint.

        Returns
        -------
        bool
            Whether the upstream has just become unreachable.
        """
        self.failures += 1
        self.grant.discard_reading()
        if self.reachable and self.failures >= FAILURES_UNTIL_UNREACHABLE:
            self.reachable = False
            return True
        return False

    async def has_crashed(self, incarnation: str) -> bool:
        """
        Probe whether an incarnation of the upstream has crashed.

        Parameters
        ----------
        incarnation : str
            Incarnation that ran a request when its connection was closed.

        Returns
        -------
        bool
            True if the upstream refuses connections, closes each of them, or has
            restarted. Concurrent calls share one probe.
        """
        if self._probe is None or self._probe.done():
            # A separate task, so that cancelling one caller doesn't cancel the others.
            self._probe = create_task(self._probe_incarnation(incarnation))
        return await shield(self._probe)

    async def _probe_incarnation(self, incarnation: str) -> bool:
        for _ in range(CRASH_PROBES):
            try:
                answer = await self.client.read_clock(self.settings.grant.timeout_s)
            except ConnectFailedError:
                return True
            except (AnswerLostError, SendFailedError):
                # The pooled connection may have been closed with the process.
                continue
            except ExchangeError:
                return False
            return answer.incarnation != incarnation
        return True

    def close(self) -> None:
        """Close all connections."""
        self.client.close()
