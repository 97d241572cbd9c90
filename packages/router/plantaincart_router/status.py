"""The status of an instance for operators, and its gauges."""

from __future__ import annotations

from asyncio import sleep
from collections import Counter, defaultdict
from time import monotonic
from typing import TYPE_CHECKING

from plantaincart_core.configuration import find_service
from plantaincart_core.lease import ShardKey
from plantaincart_core.slot import find_shard, find_slot
from plantaincart_schema.generated.configuration import UpstreamState
from plantaincart_schema.generated.mesh import Verdict
from plantaincart_schema.generated.status import (
    KeyStatus,
    PeerStatus,
    QuarantineStatus,
    ServiceStatus,
    ServingState,
    ShardStatus,
    Status,
    UpstreamStatus,
)

from plantaincart_router.metrics import Metrics
from plantaincart_router.runtime import UpstreamRuntime
from plantaincart_router.shard import Shard
from plantaincart_router.shutdown import check_readiness

if TYPE_CHECKING:
    from plantaincart_router.instance import Instance

__all__ = ["StatusReport"]

GAUGE_INTERVAL_S = 1.0


class StatusReport:
    """
    Describe an instance.

    Parameters
    ----------
    instance : Instance
        The instance.
    """

    def __init__(self, instance: Instance) -> None:
        self._instance = instance

    async def run_gauges(self) -> None:
        """Set the gauges at an interval until cancelled."""
        while True:
            self._set_gauges()
            await sleep(GAUGE_INTERVAL_S)

    def describe_status(self) -> Status:
        """Describe the whole instance."""
        instance = self._instance
        now = monotonic()
        lease = instance.keeper.lease
        return Status(
            instance=instance.identity.name,
            incarnation=instance.identity.incarnation,
            data_centre=instance.identity.data_centre,
            clock=instance.clock.tick(),
            ready=check_readiness(instance).ready,
            leaving=instance.leaving,
            configuration_version=instance.configuration.current.version,
            table_reachable=instance.watcher.is_reachable(now),
            lease_held=lease.is_held(now),
            lease_remaining_s=max(0.0, lease.expires_at - now),
            peers=self._describe_peers(now),
            shards=[
                self._describe_shard(shard, now)
                for _, shard in sorted(
                    instance.leadership.shards.items(), key=lambda item: str(item[0])
                )
            ],
            services=_count_answers(instance.metrics),
            quarantined=self._describe_quarantine(now),
        )

    def describe_key(self, service_name: str, key: str) -> KeyStatus | None:
        """Describe a key's leader and owner; return None for an unknown service."""
        instance = self._instance
        service = find_service(instance.configuration.current, service_name)
        if service is None:
            return None
        slot = find_slot(key, service.slots)
        number = find_shard(slot, service.slots, service.shards)
        shard_key = ShardKey(service_name, number)
        leader = instance.leaders.find(shard_key)
        shard = instance.leadership.shards.get(shard_key)
        owner = shard.ownership.find_owner(slot) if shard is not None else ""
        runtime = shard.upstreams.runtimes.get(owner) if shard is not None else None
        now = monotonic()
        return KeyStatus(
            service=service_name,
            key=key,
            slot=slot,
            shard=number,
            leader=leader.name if leader else "",
            leader_incarnation=leader.incarnation if leader else "",
            epoch=leader.epoch if leader else 0,
            owner=owner,
            fence=str(runtime.grant.fence) if runtime else "",
            may_dispatch=_may_dispatch(shard, runtime, slot, now),
            reason=_explain_dispatch(shard, runtime, slot, now),
        )

    def _describe_peers(self, now: float) -> list[PeerStatus]:
        instance = self._instance
        peers = (instance.peers.find(name) for name in instance.mesh.list_peers())
        return [
            PeerStatus(
                name=peer.name,
                incarnation=peer.incarnation,
                data_centre=peer.data_centre,
                live=instance.peers.is_live(peer.name, now),
                last_heard_s=now - peer.last_heartbeat_at,
                configuration_version=peer.configuration_version,
            )
            for peer in peers
            if peer is not None
        ]

    def _describe_shard(self, shard: Shard, now: float) -> ShardStatus:
        lease = self._instance.keeper.lease
        serving = shard.may_act(now)
        return ShardStatus(
            service=shard.key.service,
            shard=shard.key.shard,
            epoch=shard.row.epoch,
            assignment_version=shard.row.row.assignment_version,
            leading_since_s=now - shard.leading_since,
            serving=serving,
            continuing=serving and not lease.is_held(now),
            queue=shard.dispatcher.queue_length,
            successors=shard.row.row.successors,
            upstreams=[
                self._describe_upstream(runtime, shard, now)
                for _, runtime in sorted(shard.upstreams.runtimes.items())
            ],
        )

    def _describe_upstream(
        self, runtime: UpstreamRuntime, shard: Shard, now: float
    ) -> UpstreamStatus:
        upstream = runtime.upstream
        state = ServingState.serving
        if upstream.state is UpstreamState.leaving:
            state = ServingState.leaving
        elif not runtime.in_service:
            state = ServingState.out
        owned = sum(owner == runtime.name for owner in shard.ownership.owners.values())
        return UpstreamStatus(
            name=runtime.name,
            data_centre=upstream.data_centre,
            state=state,
            incarnation=runtime.grant.incarnation,
            granted_slots=owned,
            fence=str(runtime.grant.fence),
            in_flight=runtime.limit.in_flight,
            allowed=runtime.limit.find_limit(now),
            limit=upstream.slots,
            warm=runtime.limit.is_warm(now),
            straggling=runtime.straggling,
            reachable=runtime.reachable,
        )

    def _describe_quarantine(self, now: float) -> list[QuarantineStatus]:
        quarantine = self._instance.quarantine
        return [
            QuarantineStatus(
                service=notice.service,
                fingerprint=notice.fingerprint,
                upstreams=notice.upstreams,
                remaining_s=quarantine.remaining_s(
                    notice.service, notice.fingerprint, now
                ),
            )
            for notice in quarantine.list_notices(now)
        ]

    def _set_gauges(self) -> None:
        instance = self._instance
        metrics, now = instance.metrics, monotonic()
        lease = instance.keeper.lease
        metrics.lease_held.set(lease.is_held(now))
        metrics.lease_remaining_s.set(max(0.0, lease.expires_at - now))
        metrics.table_reachable.set(instance.watcher.is_reachable(now))
        metrics.configuration_version.set(instance.configuration.current.version)
        metrics.mesh_peers.set(len(instance.peers.list_live(now)))
        metrics.entry_connections.set(instance.server.connection_count)
        shards = instance.leadership.shards.values()
        metrics.under_promises.set(
            any(shard.may_act(now) and not lease.is_held(now) for shard in shards)
        )
        for service in instance.configuration.current.services:
            led = [shard for shard in shards if shard.key.service == service.name]
            metrics.shards_led.labels(service.name).set(len(led))
            records = sum(len(shard.recorder.records) for shard in led)
            metrics.records.labels(service.name).set(records)
        for shard in shards:
            metrics.queue_length.labels(shard.key.service, str(shard.key.shard)).set(
                shard.dispatcher.queue_length
            )
            for runtime in shard.upstreams.runtimes.values():
                labels = (shard.key.service, runtime.name)
                metrics.upstream_in_flight.labels(*labels).set(runtime.limit.in_flight)
                metrics.upstream_limit.labels(*labels).set(
                    runtime.limit.find_limit(now)
                )


def _count_answers(metrics: Metrics) -> list[ServiceStatus]:
    counts: defaultdict[str, Counter[str]] = defaultdict(Counter)
    for family in metrics.answers.collect():
        for sample in family.samples:
            if sample.name.endswith("_total") and sample.labels["service"]:
                verdict = sample.labels["verdict"]
                counts[sample.labels["service"]][verdict] += int(sample.value)
    return [
        ServiceStatus(
            name=name,
            requests=verdicts.total(),
            ran=verdicts[Verdict.ran.value],
            may_have_run=verdicts[Verdict.may_have_run.value],
            not_run=verdicts[Verdict.not_run.value],
        )
        for name, verdicts in sorted(counts.items())
    ]


def _may_dispatch(
    shard: Shard | None, runtime: UpstreamRuntime | None, slot: int, now: float
) -> bool:
    if shard is None or runtime is None:
        return False
    return shard.may_act(now) and runtime.grant.may_dispatch(slot, now)


def _explain_dispatch(
    shard: Shard | None, runtime: UpstreamRuntime | None, slot: int, now: float
) -> str:
    if shard is None:
        return "this instance doesn't lead the shard; ask the leader"
    if not shard.may_act(now):
        return "the leader's lease has lapsed and no promises cover it"
    if runtime is None:
        return "the slot is being moved or has no owner"
    if not runtime.reachable:
        return f"{runtime.name} is unreachable; its slots move when its grant lapses"
    if not runtime.grant.may_dispatch(slot, now):
        return f"{runtime.name} has not accepted a grant for the slot yet"
    return "granted"
