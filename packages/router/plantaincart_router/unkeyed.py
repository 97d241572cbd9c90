"""Dispatch for services without keys: each upstream can run each request."""

from plantaincart_core.picker import Candidate, pick_upstream

from plantaincart_router.dispatcher import Dispatcher
from plantaincart_router.runtime import UpstreamRuntime

__all__ = ["UnkeyedDispatcher"]


class UnkeyedDispatcher(Dispatcher):
    """
    Sends each request to the upstream with the lowest share of its limit in use.

    Parameters
    ----------
    service, runtimes, may_act, random
        As for `Dispatcher`.
    """

    def _find_queue(self, slot: int | None) -> str:
        return ""

    def _find_upstream_queue(self, runtime: UpstreamRuntime) -> str:
        return ""

    def _choose_upstream(
        self, slot: int | None, avoid: frozenset[str], now: float
    ) -> UpstreamRuntime | None:
        usable = self._list_usable(now)
        preferred = [runtime for runtime in usable if runtime.name not in avoid]
        name = pick_upstream(
            (
                Candidate(
                    name=runtime.name,
                    in_flight=runtime.limit.in_flight,
                    allowed=runtime.limit.find_limit(now),
                    latency_s=runtime.latency.mean(now),
                    straggling=runtime.straggling,
                )
                for runtime in preferred or usable
            ),
            self._random,
        )
        return None if name is None else self._runtimes[name]

    def _count_concurrency_slots(self, name: str, now: float) -> int:
        return sum(runtime.limit.find_limit(now) for runtime in self._list_usable(now))

    def _count_free(self, name: str, now: float) -> int:
        return sum(runtime.limit.can_start(now) for runtime in self._list_usable(now))

    def _list_usable(self, now: float) -> list[UpstreamRuntime]:
        return [
            runtime
            for runtime in self._runtimes.values()
            if runtime.reachable
            and runtime.in_service
            and runtime.grant.may_dispatch(None, now)
        ]
