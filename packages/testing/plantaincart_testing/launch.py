"""Settings files and processes of a local system."""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from os import getpid
from pathlib import Path
from socket import socket
from sys import executable
from typing import Any

from plantaincart_schema.codec import encode_json

from plantaincart_testing.exception import StartError
from plantaincart_testing.layout import Layout
from plantaincart_testing.process import ManagedProcess
from plantaincart_testing.proxy_fault import ProxySettings, RouteSettings
from plantaincart_testing.shape import SMALL, Shape
from plantaincart_testing.toml import write_toml
from plantaincart_testing.upstream_settings import UpstreamProcessSettings

__all__ = [
    "PLATFORM",
    "PROXY",
    "Launch",
    "SystemOptions",
    "choose_host",
    "release_host",
]

PLATFORM = "platform"
PROXY = "proxy"
_HOST_NUMBER_LIMIT = 250
_hosts_in_use: set[str] = set()


@dataclass(frozen=True, kw_only=True)
class SystemOptions:
    """
    Size and settings of a local system.

    Parameters
    ----------
    shape : Shape
        Services, data centres, upstreams and instances.
    host : str
        Loopback address of all listeners; empty to choose an unused one.
    base_port : int
        Lowest port that the system uses.
    folder : Path, optional
        Folder for settings, logs and histories; None for a temporary one that is
        removed at the end.
    proxied : bool
        Whether instances connect to peers, table and upstreams through proxies.
    delayed : bool
        Whether the proxies add the shape's delays.
    settings : mapping of str to mapping
        Settings of all instances by section and key, which replace the defaults.
    instance_settings : mapping of str to mapping
        Settings of single instances, by name of the instance.
    upstream : mapping of str to object
        Settings of all upstream stand-ins, which replace the defaults.
    unfenced : sequence of str
        Upstreams that don't check fencing tokens.
    upstreams_per_process : int
        Number of upstreams in each upstream process.
    lookups_recorded : bool
        Whether executions of idempotent requests are recorded too.
    seed : int
        Seed of the upstreams' service times.
    start_timeout_s : float
        Maximum time in seconds until the system is ready.
    """

    shape: Shape = SMALL
    host: str = ""
    base_port: int = 7000
    folder: Path | None = None
    proxied: bool = False
    delayed: bool = False
    settings: Mapping[str, Mapping[str, Any]] = field(default_factory=dict)
    instance_settings: Mapping[str, Mapping[str, Mapping[str, Any]]] = field(
        default_factory=dict
    )
    upstream: Mapping[str, Any] = field(default_factory=dict)
    unfenced: Sequence[str] = ()
    upstreams_per_process: int = 1
    lookups_recorded: bool = True
    seed: int = 1
    start_timeout_s: float = 30.0


class Launch:
    """
    Writes the settings files of a system and creates its processes.

    Parameters
    ----------
    options : SystemOptions
        Size and settings of the system.
    layout : Layout
        Names and addresses of the processes.
    folder : Path
        Folder for settings, logs and histories.
    """

    def __init__(self, options: SystemOptions, layout: Layout, folder: Path) -> None:
        self._options = options
        self._layout = layout
        self.folder = folder
        self.upstream_groups = self._group_upstreams()

    def remove_old_files(self) -> None:
        """Remove logs and histories that an earlier run left in the folder."""
        names = [PLATFORM, PROXY, *self._layout.instances, *self._layout.upstreams]
        for name in names:
            for suffix in (".log", ".out", ".history.jsonl"):
                (self.folder / f"{name}{suffix}").unlink(missing_ok=True)

    def make_platform(self) -> ManagedProcess:
        """Create the platform stand-in."""
        layout = self._layout
        entries = encode_json(layout.make_instance_list())
        path = self._write_file("instances.json", entries)
        return self._make_process(
            PLATFORM,
            "plantaincart_testing.platform",
            f"--host={layout.host}",
            f"--port={layout.platform.port}",
            f"--control-port={layout.platform_control.port}",
            f"--instances-file={path}",
        )

    def make_proxy(self) -> ManagedProcess:
        """Create the fault-injecting proxy."""
        address = self._layout.proxy_control
        settings = ProxySettings(
            control_host=address.host,
            control_port=address.port,
            routes=list(self._list_routes()),
        )
        path = self._write_file("proxy.json", encode_json(settings))
        return self._make_process(
            PROXY, "plantaincart_testing.proxy", f"--settings={path}"
        )

    def make_upstreams(self) -> Iterator[ManagedProcess]:
        """Create the upstream stand-ins, each named after its first upstream."""
        options, layout = self._options, self._layout
        for number, names in enumerate(self.upstream_groups):
            address = layout.find_upstream_control(number)
            settings = UpstreamProcessSettings(
                control_host=address.host,
                control_port=address.port,
                history=str(self.find_history(names[0])),
                lookups_recorded=options.lookups_recorded,
                upstreams=[
                    layout.make_upstream_settings(name, options.upstream, options.seed)
                    for name in names
                ],
            )
            path = self._write_file(f"{names[0]}.json", encode_json(settings))
            yield self._make_process(
                names[0], "plantaincart_testing.upstream", f"--settings={path}"
            )

    def make_instances(self) -> Iterator[ManagedProcess]:
        """Create the instances."""
        options = self._options
        for name in self._layout.instances:
            overrides = dict(options.settings)
            for section, values in options.instance_settings.get(name, {}).items():
                overrides[section] = {**overrides.get(section, {}), **values}
            settings = self._layout.make_settings(name, self.folder, overrides)
            path = self._write_file(f"{name}.toml", write_toml(settings).encode())
            yield self._make_process(
                name, "plantaincart_router.daemon", f"--settings={path}"
            )

    def find_history(self, process: str) -> Path:
        """Return the history file of an upstream process."""
        return self.folder / f"{process}.history.jsonl"

    def _group_upstreams(self) -> list[list[str]]:
        names = list(self._layout.upstreams)
        size = self._options.upstreams_per_process
        return [names[start : start + size] for start in range(0, len(names), size)]

    def _list_routes(self) -> Iterator[RouteSettings]:
        shape = self._options.shape
        delay_s = shape.data_centre_delay_s if self._options.delayed else 0.0
        platform = self._layout.platform
        for instance in self._layout.instances.values():
            yield RouteSettings(
                name=f"mesh-{instance.name}",
                host=instance.mesh_proxy.host,
                port=instance.mesh_proxy.port,
                target_host=instance.mesh.host,
                target_port=instance.mesh.port,
                delay_s=delay_s,
            )
            yield RouteSettings(
                name=f"table-{instance.name}",
                host=instance.table_proxy.host,
                port=instance.table_proxy.port,
                target_host=platform.host,
                target_port=platform.port,
            )
        for upstream in self._layout.upstreams.values():
            yield RouteSettings(
                name=upstream.name,
                host=upstream.proxy.host,
                port=upstream.proxy.port,
                target_host=upstream.address.host,
                target_port=upstream.address.port,
                delay_s=delay_s,
            )

    def _write_file(self, name: str, data: bytes) -> Path:
        path = self.folder / name
        path.write_bytes(data)
        return path

    def _make_process(self, name: str, module: str, *arguments: str) -> ManagedProcess:
        command = [executable, "-m", module, *arguments]
        return ManagedProcess(name, command, self.folder / f"{name}.out")


def choose_host(ports: Sequence[int]) -> str:
    """
    Choose a loopback address on which all ports are free.

    Parameters
    ----------
    ports : sequence of int
        TCP ports that the system binds.

    Returns
    -------
    str
        Address of 127.0.0.0/8 that no other system of this process uses.

    Raises
    ------
    StartError
        If no address has all ports free.
    """
    high, low = divmod(getpid(), 256)
    for number in range(1, _HOST_NUMBER_LIMIT):
        host = f"127.{1 + high % 254}.{low}.{number}"
        if host not in _hosts_in_use and all(_is_free(host, port) for port in ports):
            _hosts_in_use.add(host)
            return host
    raise StartError("no loopback address has all ports free")


def release_host(host: str) -> None:
    """Allow an address to be chosen again."""
    _hosts_in_use.discard(host)


def _is_free(host: str, port: int) -> bool:
    with socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
