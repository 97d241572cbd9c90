"""One instance: its servers, its feeds, and its start and stop."""

from asyncio import Task, create_task, get_running_loop, sleep
from time import monotonic

from plantaincart_schema.generated.settings import EntrySettings

from plantaincart_router.direct.feed import TableFeed
from plantaincart_router.direct.follower import Follower
from plantaincart_router.direct.gateway import Gateway
from plantaincart_router.direct.interface import Platform
from plantaincart_router.direct.pool import UpstreamPools
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.tally import RouterMetrics
from plantaincart_router.direct.view import SystemView
from plantaincart_router.http.caller import CallerConnection
from plantaincart_router.http.message import HttpAnswer, HttpRequest
from plantaincart_router.http.server import HttpServer
from plantaincart_router.log import write_event

__all__ = ["DirectNode"]

# Seconds after SIGTERM for which new connections are taken, until the balancer has
# noticed two failed checks.
LEAVE_S = 2.5
# Seconds kept back from the grace period for the end of the process itself.
EXIT_RESERVE_S = 0.3
HOUSEKEEPING_S = 0.25
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# Bounds on callers until a configuration names others.
START_LIMITS = EntrySettings(
    host="", port=0, max_body_bytes=67108864, head_timeout_s=3.0, idle_timeout_s=15.0
)


class DirectNode:
    """
    One running instance.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the instance.
    platform : Platform
        What the platform supplies.
    ready_target : str
        Path of the readiness check.
    """

    def __init__(
        self, settings: DirectSettings, platform: Platform, ready_target: str
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._ready_target = ready_target
        self._pools = UpstreamPools(settings.send)
        self.view = SystemView(settings, platform.reader, self._pools)
        self.metrics = RouterMetrics(self._read_gauges)
        self.gateway = Gateway(
            settings, self.view, platform.dialect, self._pools, self.metrics
        )
        self._front = HttpServer(START_LIMITS, self.gateway.handle)
        self._ready = HttpServer(START_LIMITS, self._answer_ready)
        self._metrics = HttpServer(START_LIMITS, self._answer_metrics)
        self.follower = Follower(settings, self.view, platform)
        reader = platform.reader
        self._feeds = [
            TableFeed(
                platform.store,
                table,
                self.view,
                settings.feed,
                self.follower.announce,
            )
            for table in (reader.operator_table, reader.upstream_table)
        ]
        self.follower.feeds = self._feeds
        self._tasks: list[Task[None]] = []
        self._leaving = False

    async def start(self) -> None:
        """Listen and begin to follow the store."""
        settings = self._settings
        await self._front.start(settings.host, settings.front_port)
        await self._ready.start(settings.host, settings.ready_port)
        await self._metrics.start(settings.host, settings.metrics_port)
        self.follower.start(get_running_loop())
        self._tasks = [create_task(feed.follow()) for feed in self._feeds]
        self._tasks.append(create_task(self._keep_house()))
        write_event(
            "started", data_centre=settings.data_centre, port=settings.front_port
        )

    async def stop(self) -> None:
        """Leave the rotation, end what is under way, and stop."""
        began = monotonic()
        self._leaving = True
        write_event("stopping", in_flight=self.gateway.in_flight)
        leave = create_task(self.follower.leave())
        self._tasks.append(leave)
        self._front.announce_close()
        grace_s = self._settings.bounds.shutdown_grace_s - EXIT_RESERVE_S
        await sleep(max(0.0, min(LEAVE_S, grace_s / 2) - (monotonic() - began)))
        left = await self._front.drain(grace_s - (monotonic() - began))
        write_event("stopped", connections=left)
        self.close()

    def close(self) -> None:
        """Stop at once."""
        for task in self._tasks:
            task.cancel()
        self._front.close()
        self._ready.close()
        self._metrics.close()
        self.follower.close()
        self._pools.close()
        self._platform.store.close()

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        view = self.view
        if self._leaving or view.routing_config is None or not view.upstreams_loaded:
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
        headers = (("content-type", METRICS_CONTENT_TYPE),)
        return HttpAnswer(200, headers, self.metrics.render())

    def _read_gauges(self) -> dict[str, tuple[str, float]]:
        view, coordinator = self.view, self.follower.coordinator
        ranges = sum(len(owners) for owners in view.owners.values())
        return {
            "in_flight": ("Requests held", float(self.gateway.in_flight)),
            "upstreams": ("Upstreams known", float(len(view.directory))),
            "plan_version": (
                "Configuration in force",
                float(view.routing_config.version if view.routing_config else 0),
            ),
            "map_version": ("Version of the owners' map", float(view.map_version)),
            "map_ranges": ("Ranges of the owners' map", float(ranges)),
            "epoch": ("Epoch of the coordinator that is followed", float(view.epoch)),
            "members": ("Live instances as last heard", float(view.members)),
            "coordinator": ("1 on the coordinator", float(coordinator is not None)),
            "ready": ("1 while callers should come here", float(self.is_ready)),
        }

    async def _keep_house(self) -> None:
        adopted = None
        while True:
            await sleep(HOUSEKEEPING_S)
            self.view.expire()
            plan = self.view.routing_config
            if plan is not None and plan.limits is not None and plan is not adopted:
                adopted = plan
                self._front.limits = EntrySettings(
                    host="",
                    port=0,
                    max_head_bytes=plan.limits.max_head_bytes,
                    max_body_bytes=plan.limits.max_body_bytes,
                    head_timeout_s=plan.limits.head_timeout_s,
                    idle_timeout_s=plan.limits.idle_timeout_s,
                )
