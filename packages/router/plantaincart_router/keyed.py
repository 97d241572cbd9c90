"""Dispatch for services whose keys are owned by upstreams."""

from collections.abc import Callable, Mapping
from random import Random
from time import monotonic

from plantaincart_core.exception import RefusedError
from plantaincart_schema.generated.configuration import Service

from plantaincart_router.dispatcher import Dispatcher, QueuedRequest
from plantaincart_router.runtime import UpstreamRuntime

__all__ = ["KeyedDispatcher"]


class KeyedDispatcher(Dispatcher):
    """
    Sends each request to the upstream that owns its hash slot.

    Parameters
    ----------
    service, runtimes, may_act, random
        As for `Dispatcher`.
    find_owner : callable
        Returns the owner of a slot, or "" while it is unowned or being moved.

    Notes
    -----
    There is one queue for each owner, and one under the name "" for slots without an
    owner. `reassign` must be called whenever owners have changed.
    """

    def __init__(
        self,
        service: Service,
        runtimes: Mapping[str, UpstreamRuntime],
        may_act: Callable[[float], bool],
        random: Random,
        find_owner: Callable[[int], str],
    ) -> None:
        super().__init__(service, runtimes, may_act, random)
        self._find_owner = find_owner

    def reassign(self) -> None:
        """Move every queued request to the queue of its slot's present owner."""
        now = monotonic()
        queued_requests: list[QueuedRequest] = []
        for queue in self._queues.values():
            while (queued := queue.pop(now)) is not None:
                queued_requests.append(queued)
        for queued in queued_requests:
            try:
                self._push(self._find_queue(queued.slot), queued, now)
            except RefusedError as error:
                if not queued.future.done():
                    queued.future.set_exception(error)
        self.serve_queues()

    def _find_queue(self, slot: int | None) -> str:
        return "" if slot is None else self._find_owner(slot)

    def _find_upstream_queue(self, runtime: UpstreamRuntime) -> str:
        return runtime.name

    def _choose_upstream(
        self, slot: int | None, avoid: frozenset[str], now: float
    ) -> UpstreamRuntime | None:
        runtime = self._runtimes.get(self._find_queue(slot))
        if runtime is None or not runtime.reachable:
            return None
        if not runtime.limit.can_start(now):
            return None
        return runtime if runtime.grant.may_dispatch(slot, now) else None

    def _count_concurrency_slots(self, name: str, now: float) -> int:
        runtime = self._runtimes.get(name)
        return 0 if runtime is None else runtime.limit.find_limit(now)

    def _count_free(self, name: str, now: float) -> int:
        runtime = self._runtimes.get(name)
        if runtime is None or not runtime.reachable:
            return 0
        return int(runtime.limit.can_start(now) and now < runtime.grant.usable_until)
