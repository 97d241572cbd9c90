"""An instance: construction, start and stop of its components."""

from asyncio import Task, get_running_loop
from collections.abc import Coroutine, Sequence
from random import Random
from time import monotonic, time
from typing import Any
from uuid import uuid4

from plantaincart_core.clock import HybridClock
from plantaincart_core.configuration import CONFIGURATION_ROW, ConfigurationTracker
from plantaincart_core.lease import ShardKey
from plantaincart_core.membership import Peer, PeerRegistry
from plantaincart_core.quarantine import Quarantine
from plantaincart_core.route import RouteTable
from plantaincart_schema.generated.mesh import (
    Heartbeat,
    LeaderAnnouncement,
    QuarantineNotice,
)
from plantaincart_schema.generated.platform import Record
from plantaincart_schema.generated.settings import Settings

from plantaincart_router.admin import AdminProviders, AdminServer
from plantaincart_router.authority import Authority
from plantaincart_router.candidacy import Candidacy
from plantaincart_router.discovery import ConfigurationFollower, PeerDiscovery
from plantaincart_router.entry import Entry
from plantaincart_router.handover import Handovers
from plantaincart_router.http.server import HttpServer
from plantaincart_router.identity import build_identity
from plantaincart_router.isolation import IsolationDetector
from plantaincart_router.leaders import Leader, LeaderMap
from plantaincart_router.leadership import Leadership
from plantaincart_router.leasekeeper import LeaseKeeper
from plantaincart_router.log import start_log, stop_log, write_event
from plantaincart_router.mesh import Mesh
from plantaincart_router.metrics import Metrics
from plantaincart_router.outcome import OutcomeRelay
from plantaincart_router.platform.instances import HttpInstanceDirectory
from plantaincart_router.platform.table import HttpTable
from plantaincart_router.replica import ReplicaStore
from plantaincart_router.routing import LeaderForwarder
from plantaincart_router.shard import ShardContext
from plantaincart_router.shutdown import check_readiness
from plantaincart_router.status import StatusReport
from plantaincart_router.succession import Succession
from plantaincart_router.watcher import TableWatcher

__all__ = ["Instance"]

INCARNATION_CHARS = 12
# One of this many reads of the table includes the configuration row.
READS_PER_CONFIGURATION = 5
MILLISECONDS = 1000


class Instance:
    """
    An instance with its entry, led shards, mesh and platform clients.

    Parameters
    ----------
    settings : Settings
        Validated settings.

    Notes
    -----
    All instances are alike. All components run on one event loop in one thread.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self._loop = get_running_loop()
        self.identity = build_identity(settings, uuid4().hex[:INCARNATION_CHARS])
        self.clock = HybridClock(time)
        name = settings.instance.name
        start_log(settings.log, name, self.identity.incarnation, self.clock)
        self.metrics = Metrics(name)
        self.configuration = ConfigurationTracker()
        self.routes = RouteTable(self.configuration.current)
        self.quarantine = Quarantine(settings.dispatch)
        self.leaving = False
        self._reads = 0
        self._tasks: list[Task[None]] = []
        self._build_platform()
        self._build_mesh()
        self._build_leadership()
        self._build_servers()

    async def start(self) -> None:
        """Bind all addresses and start all tasks."""
        self.mesh.start()
        await self.admin.start()
        entry = self.settings.entry
        await self.server.start(entry.host, entry.port)
        for work in (
            self.mesh.run_heartbeats(),
            self._peer_discovery.run(),
            self._configuration_follower.run(),
            self.watcher.run(),
            self.keeper.run(),
            self.succession.run_promises(),
            self.succession.run_maintenance(),
            self._isolation.run(),
            self._report.run_gauges(),
        ):
            self._spawn(work)
        write_event(
            "instance_started",
            data_centre=self.identity.data_centre,
            mesh=f"{self.identity.mesh_host}:{self.identity.mesh_port}",
        )

    def close(self) -> None:
        """Stop all tasks and close all connections at once."""
        for task in self._tasks:
            task.cancel()
        self.leadership.stop_leading_all()
        self.server.close()
        self.admin.close()
        self.mesh.close()
        self.table.close()
        stop_log()

    def _build_platform(self) -> None:
        platform = self.settings.platform
        name = self.settings.instance.name
        self.table = HttpTable(
            platform.table_host, platform.table_port, platform.timeout_s, name
        )
        self._directory = HttpInstanceDirectory(
            platform.instances_host or platform.table_host,
            platform.instances_port or platform.table_port,
            platform.timeout_s,
            name,
        )
        lease = self.settings.lease
        self.watcher = TableWatcher(self.table, lease, self._list_keys)
        self.keeper = LeaseKeeper(
            self.table, lease, self.identity, self._handle_lost_lease
        )

    def _build_mesh(self) -> None:
        mesh = self.settings.mesh
        self.peers = PeerRegistry(self.describe_self(), mesh.silent_after_s)
        self.mesh = Mesh(
            mesh, self.identity, self.peers, self.clock, self._build_heartbeat
        )
        self.mesh.add_peer_observer(self._send_state_to_peer)
        self.mesh.register_handler(LeaderAnnouncement, self._handle_announcement)
        self.mesh.register_handler(QuarantineNotice, self._handle_quarantine_notice)
        self._peer_discovery = PeerDiscovery(
            self._directory, self.mesh, self.peers, self.settings.platform
        )
        self._configuration_follower = ConfigurationFollower(
            self.configuration, self.mesh, self.peers, self._apply_configuration
        )
        self.watcher.add_observers(
            self._configuration_follower.handle_view, lambda _: None
        )

    def _build_leadership(self) -> None:
        self.leaders = LeaderMap()
        self.replicas = ReplicaStore()
        self.outcomes = OutcomeRelay(
            self.identity.name, self.mesh, self.leaders, self._record_late_outcomes
        )
        self.leadership = Leadership(
            self._build_context,
            self.describe_self,
            self.peers,
            self.table,
            self.watcher,
            self.keeper,
            self.settings.lease,
            self.leaders,
            self.replicas,
        )
        self.candidacy = Candidacy(
            self.leadership,
            self.leadership.rows,
            self.describe_self,
            self.peers,
            self.watcher,
            self.settings.lease,
        )
        self.handovers = Handovers(self.leadership, self.mesh, self.peers)
        self._isolation = IsolationDetector(
            self.leadership,
            self.handovers,
            self.mesh,
            self.peers,
            self.table,
            self.settings.mesh,
        )
        self.succession = Succession(
            self.leadership,
            self.mesh,
            self.peers,
            self.settings.lease,
            self.replicas,
            self.handovers,
        )
        self.forwarder = LeaderForwarder(
            self.identity, self.leadership, self.leaders, self.mesh
        )

    def _build_servers(self) -> None:
        self.entry = Entry(
            self.settings.entry, lambda: self.routes, self.forwarder, self.metrics
        )
        self.server = HttpServer(self.settings.entry, self.entry.handle)
        self._report = StatusReport(self)
        self.admin = AdminServer(
            self.settings.admin,
            AdminProviders(
                check_readiness=lambda: check_readiness(self),
                render_metrics=self.metrics.render,
                describe_status=self._report.describe_status,
                describe_key=self._report.describe_key,
            ),
        )

    def _build_context(self, authority: Authority) -> ShardContext:
        return ShardContext(
            settings=self.settings,
            configuration=self.configuration,
            mesh=self.mesh,
            authority=authority,
            quarantine=self.quarantine,
            metrics=self.metrics,
            outcomes=self.outcomes,
            random=Random(self.identity.incarnation),
        )

    def describe_self(self) -> Peer:
        """Describe this instance as a peer."""
        leadership = getattr(self, "leadership", None)
        return Peer(
            name=self.identity.name,
            incarnation=self.identity.incarnation,
            data_centre=self.identity.data_centre,
            host=self.identity.mesh_host,
            port=self.identity.mesh_port,
            configuration_version=self.configuration.current.version,
            led_shards=len(leadership.shards) if leadership is not None else 0,
            leaving=self.leaving,
            table_reachable=self.watcher.is_reachable(monotonic()),
        )

    def _build_heartbeat(self) -> Heartbeat:
        own_peer = self.describe_self()
        return Heartbeat(
            name=own_peer.name,
            incarnation=own_peer.incarnation,
            data_centre=own_peer.data_centre,
            host=own_peer.host,
            port=own_peer.port,
            clock=self.clock.tick(),
            monotonic_ms=int(monotonic() * MILLISECONDS),
            configuration_version=own_peer.configuration_version,
            led_shards=own_peer.led_shards,
            leaving=own_peer.leaving or self.leadership.is_data_centre_out_of_service(),
            table_reachable=own_peer.table_reachable,
        )

    def _record_late_outcomes(
        self, shard: ShardKey, epoch: int, records: Sequence[Record]
    ) -> str:
        led_shard = self.leadership.shards.get(shard)
        if led_shard is None or led_shard.row.epoch <= epoch:
            return "not the next leader"
        return led_shard.record_late_outcomes(records)

    def _list_keys(self) -> list[str]:
        # Rarely read: heartbeats announce a new version sooner than own reads do.
        self._reads += 1
        keys = list(self.leadership.list_keys())
        if self._reads % READS_PER_CONFIGURATION == 1:
            keys.append(CONFIGURATION_ROW)
        return keys

    def _handle_lost_lease(self) -> None:
        self.leadership.stop_leading_all()

    def _apply_configuration(self) -> None:
        self.routes = RouteTable(self.configuration.current)
        self.leadership.update_configuration()
        self.succession.request_maintenance()

    def _send_state_to_peer(self, name: str) -> None:
        for shard in self.leadership.shards.values():
            self.mesh.send(name, self.leadership.describe_leader(shard))
        for notice in self.quarantine.list_notices(monotonic()):
            self.mesh.send(name, notice)

    async def _handle_announcement(
        self, sender: str, message: LeaderAnnouncement
    ) -> None:
        shard = ShardKey(message.service, message.shard)
        leader = Leader(message.leader, message.incarnation, message.epoch)
        self.leaders.update(shard, leader)

    async def _handle_quarantine_notice(
        self, sender: str, notice: QuarantineNotice
    ) -> None:
        self.quarantine.merge(notice, monotonic())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.append(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            write_event("task_failed", error=repr(task.exception()))
