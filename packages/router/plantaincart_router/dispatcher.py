"""Queues of requests for a shard's upstreams, and permits to send to them."""

from abc import ABC, abstractmethod
from asyncio import Future, get_running_loop
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from time import monotonic

from plantaincart_core.exception import QueueFullError
from plantaincart_core.latency import LatencyTracker
from plantaincart_core.queue import DeadlineQueue
from plantaincart_core.verdict import Reason, RefusedError, refuse_not_run
from plantaincart_schema.generated.configuration import Service

from plantaincart_router.runtime import RunningRequest, UpstreamRuntime

__all__ = ["Dispatcher", "Permit", "QueuedRequest"]

MIN_RETRY_AFTER_S = 0.2
# The remaining time of a request must cover this quantile of the latencies: the first
# when it arrives, the second when it is dispatched.
ARRIVAL_QUANTILE = 0.9
DISPATCH_QUANTILE = 0.75
# Factor on the estimated wait, so that few queued requests miss their deadline.
WAIT_MARGIN = 1.2
# Half-life in seconds of the mean service time, from which waits are estimated.
SERVICE_HALF_LIFE_S = 10.0


@dataclass(frozen=True)
class Permit:
    """Permission to send one request to an upstream."""

    runtime: UpstreamRuntime
    running_request: RunningRequest


@dataclass(eq=False)
class QueuedRequest:
    """A request that waits for a permit."""

    slot: int | None
    deadline: float
    avoid: frozenset[str]
    idempotent: bool
    future: "Future[Permit]"


class Dispatcher(ABC):
    """
    Grants permits for a shard's upstreams and queues requests meanwhile.

    Parameters
    ----------
    service : Service
        Service of the shard.
    runtimes : mapping of str to UpstreamRuntime
        Upstreams of the shard; a live view that changes with the configuration.
    may_act : callable
        Returns whether the leader may dispatch at a given time.
    random : random.Random
        Breaks ties.

    Notes
    -----
    Requests wait in bounded queues in the order of their arrival. A request whose
    estimated wait exceeds its remaining time is rejected at once.
    """

    def __init__(
        self,
        service: Service,
        runtimes: Mapping[str, UpstreamRuntime],
        may_act: Callable[[float], bool],
        random: Random,
    ) -> None:
        self.service = service
        self._runtimes = runtimes
        self._may_act = may_act
        self._random = random
        self._loop = get_running_loop()
        self._queues: dict[str, DeadlineQueue[QueuedRequest]] = {}
        self.accepting = True
        self.latency = LatencyTracker()
        self._service_time = LatencyTracker(half_life_s=SERVICE_HALF_LIFE_S)
        self._by_idempotency = {
            idempotent: LatencyTracker(half_life_s=SERVICE_HALF_LIFE_S)
            for idempotent in (True, False)
        }

    @property
    def queue_length(self) -> int:
        """Number of queued requests."""
        return sum(len(queue) for queue in self._queues.values())

    async def acquire(
        self,
        slot: int | None,
        deadline: float,
        avoid: frozenset[str] = frozenset(),
        idempotent: bool = True,
    ) -> Permit:
        """
        Wait for a permit to send a request to an upstream.

        Parameters
        ----------
        slot : int or None
            Hash slot of the request's key; None for a request without key.
        deadline : float
            Time in seconds of the loop's clock.
        avoid : frozenset of str
            Upstreams at which the request has failed, used only if no other is usable.
        idempotent : bool
            Whether the request is idempotent.

        Returns
        -------
        Permit
            Permit; the caller of this method returns it with `release`.

        Raises
        ------
        RefusedError
            If the queue is full or the deadline can't be met; the verdict is
            `not-run`.
        """
        now = monotonic()
        if not self.accepting:
            raise _refuse_not_leader()
        name = self._find_queue(slot)
        queue = self._queues.get(name)
        if not queue and self._may_act(now):
            runtime = self._choose_upstream(slot, avoid, now)
            if runtime is not None:
                return Permit(runtime, runtime.start_request(slot, now))
        queued = QueuedRequest(
            slot, deadline, avoid, idempotent, self._loop.create_future()
        )
        return await self._wait_in_queue(name, queued, now)

    def release(self, permit: Permit) -> None:
        """Return a permit and serve the queue of its upstream."""
        permit.runtime.end_request(permit.running_request, monotonic())
        self._serve(self._find_upstream_queue(permit.runtime))

    def record_service(self, latency_s: float, now: float, idempotent: bool) -> None:
        """Record how many seconds an upstream took for one request."""
        self.latency.record(latency_s, now)
        self._service_time.record(latency_s, now)
        self._by_idempotency[idempotent].record(latency_s, now)

    def serve_queues(self) -> None:
        """Reject expired requests and serve all queues; called periodically."""
        now = monotonic()
        for name, queue in list(self._queues.items()):
            for queued in queue.expire(now):
                _reject(
                    queued, Reason.DEADLINE_PASSED, "deadline passed in the queue", 0
                )
            self._serve(name)

    def stop(self) -> None:
        """Reject new and queued requests with the reason not-leader."""
        self.accepting = False
        for queue in self._queues.values():
            while (queued := queue.pop(float("-inf"))) is not None:
                if not queued.future.done():
                    queued.future.set_exception(_refuse_not_leader())

    def resume(self) -> None:
        """Accept requests again after a failed handover."""
        self.accepting = True

    @abstractmethod
    def _find_queue(self, slot: int | None) -> str:
        """Return the name of the queue for a request with this slot."""

    @abstractmethod
    def _find_upstream_queue(self, runtime: UpstreamRuntime) -> str:
        """Return the name of the queue that an upstream serves."""

    @abstractmethod
    def _choose_upstream(
        self, slot: int | None, avoid: frozenset[str], now: float
    ) -> UpstreamRuntime | None:
        """Return an upstream that may be sent a request now, or None."""

    @abstractmethod
    def _count_concurrency_slots(self, name: str, now: float) -> int:
        """Return how many requests of a queue may run at the same time."""

    @abstractmethod
    def _count_free(self, name: str, now: float) -> int:
        """Return how many requests of a queue may start now."""

    def _find_service_time(self, name: str, now: float) -> float:
        """Return the mean service time of a queue's requests in seconds."""
        return self._service_time.mean(now)

    async def _wait_in_queue(
        self, name: str, queued: QueuedRequest, now: float
    ) -> Permit:
        self._check_wait(name, queued, now)
        queue = self._push(name, queued, now)
        try:
            return await queued.future
        except BaseException:
            queue.remove(queued)
            self._release_unused(queued)
            raise

    def _check_wait(self, name: str, queued: QueuedRequest, now: float) -> None:
        if now >= queued.deadline:
            raise _refuse(Reason.DEADLINE_PASSED, "deadline passed", 0.0)
        concurrency_slots = self._count_concurrency_slots(name, now)
        queue = self._queues.get(name)
        if not concurrency_slots or not queue:
            return
        wait_s = queue.estimate_wait(
            concurrency_slots, self._find_service_time(name, now)
        )
        required_s = WAIT_MARGIN * wait_s + self._find_required_time(
            queued, ARRIVAL_QUANTILE
        )
        if now + required_s > queued.deadline:
            detail = f"estimated wait of {wait_s:.3f} s exceeds the deadline"
            retry_s = max(MIN_RETRY_AFTER_S, wait_s)
            raise _refuse(Reason.DEADLINE_TOO_SHORT, detail, retry_s)

    def _push(
        self, name: str, queued: QueuedRequest, now: float
    ) -> DeadlineQueue[QueuedRequest]:
        queue = self._queues.get(name)
        if queue is None:
            queue = self._queues[name] = DeadlineQueue(self.service.queue_limit)
        try:
            queue.push(queued, queued.deadline, now)
        except QueueFullError as error:
            concurrency_slots = max(1, self._count_concurrency_slots(name, now))
            wait_s = queue.estimate_wait(
                concurrency_slots, self._find_service_time(name, now)
            )
            retry_s = max(MIN_RETRY_AFTER_S, wait_s)
            raise _refuse(Reason.QUEUE_FULL, str(error), retry_s) from None
        return queue

    def _release_unused(self, queued: QueuedRequest) -> None:
        future = queued.future
        if future.done() and not future.cancelled() and future.exception() is None:
            self.release(future.result())

    def _serve(self, name: str) -> None:
        queue = self._queues.get(name)
        now = monotonic()
        if not queue or not self._may_act(now):
            return
        for _ in range(len(queue)):
            if not self._count_free(name, now):
                return
            queued = queue.pop(now)
            if queued is None:
                return
            self._serve_queued(queue, queued, now)

    def _find_required_time(self, queued: QueuedRequest, quantile: float) -> float:
        return self._by_idempotency[queued.idempotent].quantile(quantile)

    def _serve_queued(
        self, queue: DeadlineQueue[QueuedRequest], queued: QueuedRequest, now: float
    ) -> None:
        if queued.future.done():
            return
        runtime = self._choose_upstream(queued.slot, queued.avoid, now)
        if runtime is None:
            queue.push(queued, queued.deadline, now)
            return
        required_s = self._find_required_time(queued, DISPATCH_QUANTILE)
        if runtime.running_requests and now + required_s > queued.deadline:
            detail = "too little time is left for the upstream"
            _reject(queued, Reason.DEADLINE_TOO_SHORT, detail, MIN_RETRY_AFTER_S)
            return
        running_request = runtime.start_request(queued.slot, now)
        queued.future.set_result(Permit(runtime, running_request))


def _reject(queued: QueuedRequest, reason: Reason, detail: str, retry_s: float) -> None:
    if not queued.future.done():
        queued.future.set_exception(_refuse(reason, detail, retry_s))


def _refuse(reason: Reason, detail: str, retry_s: float) -> RefusedError:
    return RefusedError(refuse_not_run(reason, detail, retry_s))


def _refuse_not_leader() -> RefusedError:
    return _refuse(
        Reason.NOT_LEADER, "the shard is being handed over", MIN_RETRY_AFTER_S
    )
