"""What a shard's leader keeps for each of its upstreams."""

from asyncio import Task, create_task, shield
from dataclasses import dataclass

from plantaincart_core.grant import ClockReading, UpstreamGrant
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
# Seconds in which an upstream notices that a request was given up, and the longer ones
# allowed while one more could be too many.
CANCELLATION_S = 0.05
COLD_CANCELLATION_S = 0.25


@dataclass(eq=False)
class RunningRequest:
    """
    A request that an upstream has been given.

    Parameters
    ----------
    slot : int or None
        Slot of its key; None for a service without keys.
    started_at : float
        Seconds on the loop's clock.
    task : asyncio.Task or None
        Task that awaits the answer.
    revoked : bool
        Set when the upstream lost the slot and the answer is given up.
    cut : bool
        Set when it was given up and the upstream may not have noticed yet.
    """

    slot: int | None
    started_at: float
    task: "Task[object] | None"
    revoked: bool = False
    cut: bool = False


class UpstreamRuntime:
    """
    Connections, grant, limit and latency of one upstream.

    Parameters
    ----------
    upstream : Upstream
        Its entry in the configuration.
    service : Service
        Its service.
    settings : Settings
        Settings of the instance.
    earlier_grants_expire_at : float
        Seconds on the loop's clock until which it may hold an earlier leader's grant.
    now : float
        Present seconds on the loop's clock.
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
        self.grant = UpstreamGrant(
            settings.grant, earlier_until=earlier_grants_expire_at
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
        self._warm_incarnation = ""
        self._cold_at = now

    @property
    def name(self) -> str:
        """Name of the upstream."""
        return self.upstream.name

    def start_request(self, slot: int | None, now: float) -> RunningRequest:
        """Count a request that is about to be given to the upstream."""
        running_request = RunningRequest(slot, now, None)
        self.running_requests.add(running_request)
        self.limit.start(now)
        if slot is not None:
            self.running_by_slot[slot] = self.running_by_slot.get(slot, 0) + 1
        return running_request

    def end_request(self, running_request: RunningRequest, now: float) -> None:
        """Discount a request that the upstream no longer runs."""
        self.running_requests.discard(running_request)
        self.limit.finish(now)
        if running_request.cut:
            is_warm = self.limit.is_warm(now)
            unnoticed_s = CANCELLATION_S if is_warm else COLD_CANCELLATION_S
            self.limit.occupy(now + unnoticed_s)
        if running_request.slot is not None:
            left = self.running_by_slot[running_request.slot] - 1
            if left:
                self.running_by_slot[running_request.slot] = left
            else:
                del self.running_by_slot[running_request.slot]

    def resume_warm_up(self, incarnation: str, cold_at: float) -> None:
        """
        Go on with a warm-up that an earlier leader followed.

        Parameters
        ----------
        incarnation : str
            Incarnation of the upstream; another one is cold.
        cold_at : float
            Seconds on the loop's clock at which it was cold.
        """
        if not self.reachable:
            self._warm_incarnation, self._cold_at = incarnation, cold_at
        elif self.grant.incarnation == incarnation:
            self.limit.turn_cold(cold_at)

    def find_oldest_age(self, now: float) -> float:
        """Return the age in seconds of the oldest request in flight, 0 for none."""
        oldest = min(
            (running_request.started_at for running_request in self.running_requests),
            default=now,
        )
        return now - oldest

    def record_answer(self, answer: GrantAnswer, sent_at: float, now: float) -> bool:
        """
        Count an answer on the grant path.

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
            self.limit.turn_cold(now)
        self.reachable = True
        if answer.incarnation == self._warm_incarnation:
            self.limit.turn_cold(self._cold_at)
        self._warm_incarnation = ""
        self.failures = 0
        self.probed_at = now
        return restarted

    def record_failure(self, error: ExchangeError) -> bool:
        """
        Count a failed call on the grant path.

        Returns
        -------
        bool
            Whether the upstream has just become unreachable.
        """
        self.failures += 1
        self.grant.drop_reading()
        if self.reachable and self.failures >= FAILURES_UNTIL_UNREACHABLE:
            self.reachable = False
            return True
        return False

    async def has_crashed(self, incarnation: str) -> bool:
        """
        Ask the upstream whether it is still the given incarnation.

        Parameters
        ----------
        incarnation : str
            Incarnation that was given a request whose connection then ended.

        Returns
        -------
        bool
            True if it refuses connections, ends each of them, or has restarted.
            Concurrent questions share one call.
        """
        if self._probe is None or self._probe.done():
            # A task of its own, so that a cancelled question leaves the others whole.
            self._probe = create_task(self._probe_incarnation(incarnation))
        return await shield(self._probe)

    async def _probe_incarnation(self, incarnation: str) -> bool:
        for _ in range(CRASH_PROBES):
            try:
                answer = await self.client.read_clock(self.settings.grant.timeout_s)
            except ConnectFailedError:
                return True
            except (AnswerLostError, SendFailedError):
                # The call went out on a connection that ended with the process.
                continue
            except ExchangeError:
                return False
            return answer.incarnation != incarnation
        return True

    def close(self) -> None:
        """Close all connections."""
        self.client.close()
