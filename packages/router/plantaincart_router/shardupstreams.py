"""The upstreams of a led shard."""

from collections import Counter
from collections.abc import Callable
from time import monotonic

from plantaincart_core.configuration import list_data_centres_out_of_service
from plantaincart_core.latency import find_stragglers
from plantaincart_core.lease import ShardKey
from plantaincart_schema.generated.configuration import (
    Configuration,
    Service,
    Upstream,
    UpstreamState,
)
from plantaincart_schema.generated.mesh import Handover, Occupation, Warmth
from plantaincart_schema.generated.settings import Settings

from plantaincart_router.runtime import UpstreamRuntime

__all__ = ["ShardUpstreams"]

STRAGGLER_CAPACITY_SHARE = 0.25


class ShardUpstreams:
    """
    State of a shard's upstreams: configuration, load, warm-up and stragglers.

    Parameters
    ----------
    shard : ShardKey
        The shard.
    settings : Settings
        Settings of the instance.
    earlier_grants_expire_at : float
        Time in seconds of the monotonic clock by which all grants of earlier leaders
        have expired.

    Attributes
    ----------
    runtimes : dict of str to UpstreamRuntime
        Upstreams by name, including those that are draining.
    """

    def __init__(
        self, shard: ShardKey, settings: Settings, earlier_grants_expire_at: float
    ) -> None:
        self._shard = shard
        self._settings = settings
        self._earlier_grants_expire_at = earlier_grants_expire_at
        self._declared: set[str] = set()
        self.runtimes: dict[str, UpstreamRuntime] = {}

    @property
    def in_flight(self) -> int:
        """Number of requests that the upstreams are running."""
        return sum(len(runtime.running_requests) for runtime in self.runtimes.values())

    def update_configuration(
        self, configuration: Configuration, service: Service
    ) -> None:
        """Add declared upstreams and mark those that are draining or out of service."""
        closed = list_data_centres_out_of_service(configuration)
        declared = [
            upstream
            for upstream in configuration.upstreams
            if (upstream.service, upstream.shard)
            == (self._shard.service, self._shard.shard)
        ]
        self._declared = {upstream.name for upstream in declared}
        for upstream in declared:
            runtime = self.runtimes.get(upstream.name) or self._add(upstream, service)
            runtime.upstream = upstream
            runtime.limit.set_slots(upstream.slots)
            joined = upstream.state is UpstreamState.joined
            runtime.in_service = joined and upstream.data_centre not in closed

    def remove_undeclared(self, owns_slots: Callable[[str], bool]) -> None:
        """Remove upstreams no longer declared that own no slot and run no request."""
        for name in self.runtimes.keys() - self._declared:
            runtime = self.runtimes[name]
            runtime.in_service = False
            if not owns_slots(name) and not runtime.running_requests:
                del self.runtimes[name]
                runtime.close()

    def apply_handover(self, handover: Handover) -> None:
        """Apply the running requests and warm-ups that the earlier leader reported."""
        now = monotonic()
        for warmth in handover.warmth:
            runtime = self.runtimes.get(warmth.upstream)
            if runtime is not None:
                runtime.resume_warm_up(warmth.incarnation, now - warmth.age_s)
        for occupation in handover.occupations:
            runtime = self.runtimes.get(occupation.upstream)
            if runtime is not None:
                runtime.limit.add_inherited(now + occupation.remaining_s)

    def list_occupations(self, remaining_s: float) -> list[Occupation]:
        """List the requests in flight, for the next leader."""
        return [
            Occupation(upstream=name, remaining_s=remaining_s)
            for name, runtime in self.runtimes.items()
            for _ in runtime.running_requests
        ]

    def count_running_requests(self) -> Counter[str]:
        """Count the requests in flight at each upstream that has some."""
        counts = {
            name: len(runtime.running_requests)
            for name, runtime in self.runtimes.items()
        }
        return +Counter(counts)

    def remove_occupations(self, upstream: str, count: int) -> None:
        """Stop counting requests of the earlier leader that have ended."""
        runtime = self.runtimes.get(upstream)
        if runtime is not None:
            runtime.limit.discard_inherited(count)

    def list_warmth(self) -> list[Warmth]:
        """List how long upstreams have been warming up, for the next leader."""
        now = monotonic()
        return [
            Warmth(
                upstream=name,
                incarnation=runtime.grant.incarnation,
                age_s=runtime.limit.find_warm_up_age(now),
            )
            for name, runtime in self.runtimes.items()
            if runtime.reachable
        ]

    def mark_stragglers(self, now: float) -> None:
        """Mark the upstreams that are much slower than the others."""
        trackers = {name: runtime.latency for name, runtime in self.runtimes.items()}
        ages = {
            name: runtime.find_oldest_age(now)
            for name, runtime in self.runtimes.items()
            if runtime.running_requests
        }
        stragglers = find_stragglers(trackers, now, ages)
        for name, runtime in self.runtimes.items():
            runtime.straggling = name in stragglers

    def list_capacities(self) -> dict[str, float]:
        """List the usable concurrency of each upstream, reduced for stragglers."""
        return {
            name: runtime.upstream.slots
            * (STRAGGLER_CAPACITY_SHARE if runtime.straggling else 1.0)
            for name, runtime in self.runtimes.items()
            if runtime.in_service and runtime.reachable
        }

    def close(self) -> None:
        """Close all connections."""
        for runtime in self.runtimes.values():
            runtime.close()

    def _add(self, upstream: Upstream, service: Service) -> UpstreamRuntime:
        runtime = UpstreamRuntime(
            upstream,
            service,
            self._settings,
            self._earlier_grants_expire_at,
            monotonic(),
        )
        self.runtimes[upstream.name] = runtime
        return runtime
