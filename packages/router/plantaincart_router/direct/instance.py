"""One instance: its HTTP servers, table feeds, start and shutdown."""

from asyncio import Task, create_task, gather, get_running_loop, sleep
from collections.abc import Awaitable, Callable
from dataclasses import replace
from time import monotonic

from plantaincart_schema.generated.settings import EntrySettings

from plantaincart_router.direct.answermemory import make_buffers
from plantaincart_router.direct.clock import SuspensionMonitor
from plantaincart_router.direct.feed import TableFeed
from plantaincart_router.direct.follower import Follower
from plantaincart_router.direct.gateway import Gateway
from plantaincart_router.direct.interface import Platform
from plantaincart_router.direct.lastingtask import keep_running
from plantaincart_router.direct.metrics import RouterMetrics
from plantaincart_router.direct.pool import UpstreamPools
from plantaincart_router.direct.reachabilityprobe import ReachabilityProbe
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.shutdownwindow import EXIT_RESERVE_S
from plantaincart_router.direct.view import SystemView
from plantaincart_router.direct.where.explainer import RequestExplainer
from plantaincart_router.direct.where.handler import WhereHandler
from plantaincart_router.direct.where.question import WHERE_PATH
from plantaincart_router.http.caller import CallerConnection
from plantaincart_router.http.message import HttpAnswer, HttpRequest
from plantaincart_router.http.pacing import BulkPacer
from plantaincart_router.http.server import HttpServer
from plantaincart_router.log import write_event

__all__ = ["DirectInstance"]

# Seconds after SIGTERM for which new connections are accepted, until the load balancer
# has seen two failed readiness checks.
DRAIN_ACCEPT_S = 2.5
MAINTENANCE_INTERVAL_S = 0.25
# Maximum size of the fields between instances in the head of a relayed request.
RELAY_HEAD_BYTES = 2048
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# Limits on requests until a routing configuration is in force.
INITIAL_LIMITS = EntrySettings(
    host="", port=0, max_body_bytes=67108864, head_timeout_s=3.0, idle_timeout_s=15.0
)


class DirectInstance:
    """
    One running instance.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the instance.
    platform : Platform
        Store, header fields and upstream calls of the platform.
    ready_target : str
        Path of the readiness check.
    pools : UpstreamPools, optional
        Connections to upstreams; by default new pools with `settings.send`.
    """

    def __init__(
        self,
        settings: DirectSettings,
        platform: Platform,
        ready_target: str,
        pools: UpstreamPools | None = None,
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._ready_target = ready_target
        self._pools = pools or UpstreamPools(
            settings.send, make_buffers(settings.send, settings.resources)
        )
        held = self._pools.buffers.held_bytes
        pacer = BulkPacer(get_running_loop(), settings.resources.link_mbps)
        self.view = SystemView(settings, platform.reader, self._pools)
        self.metrics = RouterMetrics(self._read_gauges)
        self.gateway = Gateway(
            settings, self.view, platform.header_codec, self._pools, self.metrics
        )
        self._front_server = HttpServer(
            INITIAL_LIMITS, self.gateway.handle, held, pacer
        )
        self._relay_server = HttpServer(
            _allow_relay_fields(INITIAL_LIMITS), self.gateway.relay.handle, held, pacer
        )
        self._ready_server = HttpServer(INITIAL_LIMITS, self._answer_ready)
        self._where = WhereHandler(
            RequestExplainer(
                settings,
                self.view,
                platform.header_codec,
                self.gateway.decision_parts,
            )
        )
        self._metrics_server = HttpServer(INITIAL_LIMITS, self._answer_metrics)
        self.follower = Follower(settings, self.view, platform)
        reader = platform.reader
        feed_settings = settings.feed.adapt(settings.bounds)
        self._feeds = [
            TableFeed(
                platform.store,
                table,
                self.view,
                feed_settings,
                self.follower.announce,
                awaits_relay=True,
            )
            for table in (reader.operator_table, reader.upstream_table)
        ]
        self.follower.feeds = self._feeds
        self._tasks: list[Task[None]] = []
        self._draining = False

    async def start(self) -> None:
        """Start the servers, the follower and the feeds."""
        settings = self._settings
        await self._front_server.start(settings.host, settings.front_port)
        await self._ready_server.start(settings.host, settings.ready_port)
        await self._metrics_server.start(settings.host, settings.metrics_port)
        relay_port = await self._relay_server.start(settings.host, settings.relay_port)
        self.view.relay_fact.address = settings.make_relay_address(relay_port)
        self.follower.start(get_running_loop())
        lasting: dict[str, Callable[[], Awaitable[None]]] = {
            f"feed {feed.table}": feed.follow for feed in self._feeds
        }
        lasting["maintenance"] = self._run_maintenance
        lasting["reachability"] = ReachabilityProbe(self._pools).run
        self._tasks = [
            create_task(keep_running(name, run)) for name, run in lasting.items()
        ]
        write_event(
            "started", data_centre=settings.data_centre, port=settings.front_port
        )

    async def stop(self) -> None:
        """Fail the readiness check, finish the requests in progress, and stop."""
        started_at = monotonic()
        self._draining = True
        self.view.shutdown.begin()
        write_event("stopping", in_flight=self.gateway.in_flight)
        withdrawal = create_task(self.follower.withdraw())
        self._tasks.append(withdrawal)
        self._front_server.end_keep_alive()
        self._relay_server.end_keep_alive()
        grace_s = self._settings.bounds.shutdown_grace_s - EXIT_RESERVE_S
        await sleep(
            max(0.0, min(DRAIN_ACCEPT_S, grace_s / 2) - (monotonic() - started_at))
        )
        open_connections, open_relays = await self._drain(
            self.view.shutdown.last_send_at
        )
        if open_connections or open_relays:
            # What isn't there by now couldn't be sent any more.
            for server in (self._front_server, self._relay_server):
                server.refuse_incomplete("the instance stops")
            open_connections, open_relays = await self._drain(started_at + grace_s)
        write_event("stopped", connections=open_connections, relays=open_relays)
        self.close()

    async def _drain(self, until: float) -> tuple[int, int]:
        """Return how many connections and relays are still open at a time."""
        limit_s = max(0.0, until - monotonic())
        return await gather(
            self._front_server.drain(limit_s), self._relay_server.drain(limit_s)
        )

    def close(self) -> None:
        """Stop at once, without waiting for requests in progress."""
        for task in self._tasks:
            task.cancel()
        self._front_server.close()
        self._relay_server.close()
        self._ready_server.close()
        self._metrics_server.close()
        self.follower.close()
        self.gateway.close()
        self._pools.close()
        self._platform.store.close()

    @property
    def is_ready(self) -> bool:
        """Whether this instance can answer requests."""
        view = self.view
        if self._draining or view.routing_config is None or not view.upstreams_loaded:
            return False
        keyed = any(policy.keyed for policy in view.routing_config.services.values())
        return not keyed or bool(view.owners)

    async def _answer_ready(
        self, request: HttpRequest, caller: CallerConnection
    ) -> HttpAnswer:
        if request.target.partition("?")[0] != self._ready_target:
            return HttpAnswer(404)
        return HttpAnswer(200 if self.is_ready else 503)

    async def _answer_metrics(
        self, request: HttpRequest, caller: CallerConnection
    ) -> HttpAnswer:
        if request.target.partition("?")[0] == WHERE_PATH:
            return await self._where.answer(request)
        headers = (("content-type", METRICS_CONTENT_TYPE),)
        return HttpAnswer(200, headers, self.metrics.render())

    def _read_gauges(self) -> dict[str, tuple[str, float]]:
        view, coordinator = self.view, self.follower.coordinator
        ranges = sum(len(owners) for owners in view.owners.values())
        return {
            "in_flight": ("Requests held", float(self.gateway.in_flight)),
            "held_bytes": (
                "Bytes held for callers and upstreams",
                float(self._pools.buffers.held_bytes.total),
            ),
            "upstreams": ("Upstreams known", float(len(view.directory))),
            "plan_version": (
                "Configuration in force",
                float(view.routing_config.version if view.routing_config else 0),
            ),
            "map_version": ("Version of the owners' map", float(view.map_version)),
            "map_ranges": ("Ranges of the owners' map", float(ranges)),
            "epoch": ("Epoch of the coordinator that is followed", float(view.epoch)),
            "store_era": (
                "Times that the store was restored",
                float(self._platform.store.era),
            ),
            "members": (
                "Live instances as last heard",
                float(view.members),
            ),
            "paced_upstreams": (
                "Upstreams whose requests are limited after a start or failures",
                float(len(view.paces)),
            ),
            "known_speeds": (
                "Upstreams whose lasting speed is known",
                float(len(view.speeds.list_lasting())),
            ),
            "coordinator": ("1 on the coordinator", float(coordinator is not None)),
            "cut_off": (
                "1 while no upstream can be connected to",
                float(view.reachability.is_cut_off),
            ),
            "ready": ("1 while callers should come here", float(self.is_ready)),
        }

    async def _run_maintenance(self) -> None:
        applied = None
        suspension_monitor = SuspensionMonitor()
        while True:
            await sleep(MAINTENANCE_INTERVAL_S)
            suspension_monitor.measure_suspension()
            self.view.expire()
            routing_config = self.view.routing_config
            if (
                routing_config is not None
                and routing_config.limits is not None
                and routing_config is not applied
            ):
                applied = routing_config
                self._front_server.limits = EntrySettings(
                    host="",
                    port=0,
                    max_head_bytes=routing_config.limits.max_head_bytes,
                    max_body_bytes=routing_config.limits.max_body_bytes,
                    head_timeout_s=routing_config.limits.head_timeout_s,
                    idle_timeout_s=routing_config.limits.idle_timeout_s,
                )
                self._relay_server.limits = _allow_relay_fields(
                    replace(
                        INITIAL_LIMITS,
                        max_head_bytes=routing_config.limits.max_head_bytes,
                        max_body_bytes=routing_config.limits.max_body_bytes,
                    )
                )


def _allow_relay_fields(limits: EntrySettings) -> EntrySettings:
    """Allow heads that are longer by the fields between instances."""
    max_head_bytes = limits.max_head_bytes + RELAY_HEAD_BYTES
    return replace(limits, max_head_bytes=max_head_bytes)
