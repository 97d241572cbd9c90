"""Local system of platform, upstreams, instances and proxies on loopback."""

from asyncio import sleep
from collections.abc import Awaitable, Callable, Iterable, Sequence
from contextlib import suppress
from pathlib import Path
from shutil import rmtree
from tempfile import mkdtemp
from time import monotonic
from types import TracebackType
from typing import Self

from plantaincart_router.exception import ExchangeError
from plantaincart_router.http.client import HttpClient
from plantaincart_router.platform.table import HttpTable
from plantaincart_schema.generated.configuration import Configuration, Declarations

from plantaincart_testing.addresses import Address
from plantaincart_testing.balancer import ReadinessBalancer
from plantaincart_testing.control import PlatformControl, ProxyControl, UpstreamControl
from plantaincart_testing.exception import ControlError, StartError
from plantaincart_testing.history import Event, read_history
from plantaincart_testing.launch import (
    Launch,
    SystemOptions,
    choose_host,
)
from plantaincart_testing.layout import Layout
from plantaincart_testing.process_group import ProcessGroup
from plantaincart_testing.proxy_fault import PassMode, RouteFaults, SourceList
from plantaincart_testing.publication import publish_declarations
from plantaincart_testing.toml import write_toml
from plantaincart_testing.upstream_settings import UpstreamReport

__all__ = ["LocalSystem"]

POLL_INTERVAL_S = 0.02
CALL_TIMEOUT_S = 1.0
_OK = 200


class LocalSystem(ProcessGroup):
    """
    Platform, upstreams, instances and proxies as processes on loopback.

    Parameters
    ----------
    options : SystemOptions, optional
        Size and settings of the system; by default the small shape.

    Attributes
    ----------
    layout : Layout
        Names and addresses of the processes.
    folder : Path
        Folder with settings, logs and histories.
    platform : PlatformControl
        Client of the platform stand-in's control address.
    proxy : ProxyControl
        Client of the proxy's control address, for a system with proxies. Routes
        are named ``mesh-INSTANCE``, ``table-INSTANCE`` and by upstream.

    Notes
    -----
    Used as ``async with LocalSystem(options) as system``. Inside the block the
    system is ready; after the block all processes have ended.
    """

    def __init__(self, options: SystemOptions | None = None) -> None:
        self.options = options or SystemOptions()
        shape, base_port = self.options.shape, self.options.base_port
        proxied = self.options.proxied or self.options.delayed
        host = self.options.host
        if not host:
            ports = Layout(shape, "", base_port, proxied).list_ports()
            host = choose_host(ports)
        layout = Layout(shape, host, base_port, proxied)
        self.folder = _make_folder(self.options.folder)
        super().__init__(layout, Launch(self.options, layout, self.folder))
        self.platform = PlatformControl(host, self.layout.platform_control.port)
        self.proxy = ProxyControl(host, self.layout.proxy_control.port)
        self._upstream_controls = [
            UpstreamControl(host, self.layout.find_upstream_control(number).port)
            for number in range(len(self._launch.upstream_groups))
        ]

    @property
    def entries(self) -> list[Address]:
        """Entry addresses of the instances."""
        return [instance.entry for instance in self.layout.instances.values()]

    @property
    def logs(self) -> list[Path]:
        """Log files of the instances."""
        return [self.folder / f"{name}.log" for name in self.layout.instances]

    async def __aenter__(self) -> Self:
        try:
            await self.start()
        except BaseException:
            self.close()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    async def start(self) -> None:
        """
        Start all processes and wait until they are ready.

        Raises
        ------
        StartError
            If a process ends early or isn't ready in time; includes the output.
        """
        await self.start_platform()
        await self.publish(self.layout.make_declarations(self.options.unfenced))
        await self.start_instances()

    async def start_platform(self) -> None:
        """Start all processes except the instances."""
        self._launch.remove_old_files()
        self._add(self._launch.make_platform())
        if self.layout.proxied:
            self._add(self._launch.make_proxy())
        for process in self._launch.make_upstreams():
            self._add(process)
        await self._wait_until(self._are_stand_ins_up)

    async def start_instances(self) -> None:
        """Start the instances and wait until they are ready."""
        for process in self._launch.make_instances():
            self._add(process)
        await self.set_sources()
        await self.wait_ready()

    def close(self) -> None:
        """Kill all processes, and remove the folder if it is temporary."""
        self.kill_all()
        for control in (self.platform, self.proxy, *self._upstream_controls):
            control.close()
        if self.options.folder is None:
            rmtree(self.folder, ignore_errors=True)

    def control_upstream(self, name: str) -> UpstreamControl:
        """Return the control client of the process that hosts an upstream."""
        number = self._launch.upstream_groups.index(self._find_group(name))
        return self._upstream_controls[number]

    async def restart(self, name: str, wait: bool = True) -> None:
        """Start a process that has ended again, with the same settings."""
        self.find_process(name).start()
        await self.set_sources()
        if wait and name in self.layout.instances:
            await self.wait_ready([name])
        elif wait:
            await self._wait_until(self._are_stand_ins_up)

    async def set_sources(self) -> None:
        """Send the instances' process ids to the proxy."""
        if not self.layout.proxied:
            return
        present = self._processes.keys() & self.layout.instances.keys()
        pids = {name: self._processes[name].pid for name in present}
        await self.proxy.set_sources(SourceList(pids=pids))

    async def partition(
        self,
        names: Sequence[str],
        others: Sequence[str] | None = None,
        mode: PassMode = PassMode.CUT,
    ) -> None:
        """
        Partition instances from other instances; the system must have proxies.

        Parameters
        ----------
        names : sequence of str
            Instances on one side.
        others : sequence of str, optional
            Instances on the other side; by default all other instances.
        mode : PassMode
            ``CUT`` resets connections, ``SILENT`` drops their bytes, and ``PASS``
            ends the partition.
        """
        if others is None:
            others = [name for name in self.layout.instances if name not in names]
        faults = RouteFaults(mode=mode)
        for name in names:
            for other in others:
                await self.proxy.set_faults(f"mesh-{name}", faults, other)
                await self.proxy.set_faults(f"mesh-{other}", faults, name)

    async def publish(self, declarations: Declarations) -> Configuration:
        """Write a new version of the configuration into the table."""
        (self.folder / "declarations.toml").write_text(write_toml(declarations))
        address = self.layout.platform
        table = HttpTable(address.host, address.port, CALL_TIMEOUT_S)
        try:
            return await publish_declarations(table, declarations)
        finally:
            table.close()

    async def wait_ready(self, names: Iterable[str] | None = None) -> None:
        """
        Wait until the readiness checks of instances succeed.

        Parameters
        ----------
        names : iterable of str, optional
            Names of the instances; by default all.

        Raises
        ------
        StartError
            If a process ends or an instance isn't ready in time.
        """
        awaited = list(self.layout.instances if names is None else names)
        await self._wait_until(lambda: self._are_ready(awaited))

    async def is_ready(self, name: str) -> bool:
        """Return whether the readiness check of an instance succeeds."""
        return await _is_answered_ok(self.layout.instances[name].admin, "/ready")

    def make_balancer(self) -> ReadinessBalancer:
        """Return a balancer for the instances; the caller starts it."""
        instances = self.layout.instances.values()
        return ReadinessBalancer(
            {instance.entry: instance.admin for instance in instances}
        )

    async def read_reports(self) -> dict[str, UpstreamReport]:
        """Return the counts of each upstream whose control address answers."""
        reports: list[UpstreamReport] = []
        for control in self._upstream_controls:
            with suppress(ControlError):
                reports += await control.list_reports()
        return {report.name: report for report in reports}

    def read_history(self) -> list[Event]:
        """Return the executions at all upstreams in order of time."""
        groups = self._launch.upstream_groups
        return read_history(self._launch.find_history(names[0]) for names in groups)

    async def _are_stand_ins_up(self) -> bool:
        try:
            await self.platform.read_usage()
            if self.layout.proxied:
                await self.proxy.list_routes()
            for control in self._upstream_controls:
                await control.list_reports()
        except ControlError:
            return False
        return True

    async def _are_ready(self, names: Sequence[str]) -> bool:
        for name in names:
            if not await self.is_ready(name):
                return False
        return True

    async def _wait_until(self, check: Callable[[], Awaitable[bool]]) -> None:
        ends_at = monotonic() + self.options.start_timeout_s
        while not await check():
            ended = [process for process in self._processes.values() if process.status]
            is_timeout = monotonic() >= ends_at
            if ended or is_timeout:
                raise StartError(self._describe_start_failure(ended, is_timeout))
            await sleep(POLL_INTERVAL_S)


async def _is_answered_ok(address: Address, target: str) -> bool:
    http = HttpClient(address.host, address.port, CALL_TIMEOUT_S)
    try:
        answer = await http.request("GET", target)
    except ExchangeError:
        return False
    finally:
        http.close()
    return answer.status == _OK


def _make_folder(folder: Path | None) -> Path:
    if folder is None:
        return Path(mkdtemp(prefix="plantaincart-"))
    folder.mkdir(parents=True, exist_ok=True)
    return folder
