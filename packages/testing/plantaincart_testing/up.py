"""
Start a local system on loopback and keep it running until interrupted.

Run ``python -m plantaincart_testing.up --help`` for its options.
"""

from asyncio import Event, get_running_loop, run, sleep
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from signal import SIGINT, SIGTERM
from sys import stdout
from tempfile import mkdtemp
from time import monotonic
from typing import Annotated, Literal

from cyclopts import App, Parameter
from cyclopts.validators import Number
from plantaincart_operator.platform import Platform
from plantaincart_operator.settings import load_operator_settings
from plantaincart_schema.generated.status import ShardStatus
from rich.console import Console
from rich.table import Table

from plantaincart_testing.exception import StartError
from plantaincart_testing.launch import SystemOptions
from plantaincart_testing.shape import SHAPES
from plantaincart_testing.system import LocalSystem

__all__ = [
    "InstancesOption",
    "ShapeName",
    "choose_options",
    "main",
    "make_console",
    "wait_until_served",
    "write_platform_file",
]

MAX_INSTANCES = 20
FILE_CONSOLE_WIDTH = 140
SERVED_POLL_INTERVAL_S = 0.1
MAX_UPSTREAM_PROCESSES = 12
"""Maximum number of processes that host the upstreams."""

ShapeName = Literal["small", "svealand", "nam-central"]
InstancesOption = Annotated[
    int | None,
    Parameter(
        validator=Number(gte=1, lte=MAX_INSTANCES),
        help="Instances of the router; those of the shape if left out.",
    ),
]

app = App(help="Start a whole system on loopback and keep it until interrupted.")


def choose_options(
    shape: ShapeName, instances: int | None, folder: Path
) -> SystemOptions:
    """
    Choose the size and settings of a local system.

    Parameters
    ----------
    shape : str
        Name of the shape.
    instances : int or None
        Number of instances; None for the number of the shape.
    folder : Path
        Folder for settings, logs and histories.

    Returns
    -------
    SystemOptions
        Options; proxies add the delays of the shape, if it has any.
    """
    size = SHAPES[shape]
    if instances is not None:
        size = replace(size, instances=instances)
    upstreams = sum(service.upstreams for service in size.services)
    return SystemOptions(
        shape=size,
        folder=folder,
        delayed=size.data_centre_delay_s > 0,
        upstreams_per_process=-(-upstreams // MAX_UPSTREAM_PROCESSES),
    )


def make_console() -> Console:
    """
    Make a console with a fixed table width if the output is a file or a pipe.

    Returns
    -------
    Console
        Console on standard output.
    """
    width = None if stdout.isatty() else FILE_CONSOLE_WIDTH
    return Console(highlight=False, width=width)


def write_platform_file(system: LocalSystem) -> Path:
    """
    Write the settings of the operator command for a local system.

    Parameters
    ----------
    system : LocalSystem
        Local system.

    Returns
    -------
    Path
        Path of the file.
    """
    address = system.layout.platform
    path = system.folder / "platform.toml"
    path.write_text(
        f'[platform]\ntable_host = "{address.host}"\ntable_port = {address.port}\n'
    )
    return path


async def wait_until_served(system: LocalSystem) -> None:
    """
    Wait until every shard has a leader, and owners for all its hash slots.

    Parameters
    ----------
    system : LocalSystem
        System whose instances are ready.

    Raises
    ------
    StartError
        If a shard isn't served in time.
    """
    settings = load_operator_settings(write_platform_file(system))
    shape = system.layout.shape
    is_keyed = {
        (service.name, shard): service.keyed
        for service in shape.services
        for shard in range(service.shards)
    }
    ends_at = monotonic() + system.options.start_timeout_s
    async with Platform(settings) as platform:
        while True:
            reports = await platform.read_statuses()
            led = [
                shard
                for report in reports
                if report.status
                for shard in report.status.shards
            ]
            served = {
                (shard.service, shard.shard)
                for shard in led
                if shard.serving
                and (not is_keyed[shard.service, shard.shard] or _has_owners(shard))
            }
            if served == is_keyed.keys():
                return
            if monotonic() >= ends_at:
                missing = sorted(is_keyed.keys() - served)
                raise StartError(f"shards not served in time: {missing}")
            await sleep(SERVED_POLL_INTERVAL_S)


def _has_owners(shard: ShardStatus) -> bool:
    return all(upstream.granted_slots for upstream in shard.upstreams)


@app.default
def main(*, instances: InstancesOption = None, shape: ShapeName = "small") -> None:
    """
    Start a system, print its addresses, and keep it until interrupted.

    Parameters
    ----------
    shape : str
        Services, data centres, upstreams and delays.
    """
    folder = Path(mkdtemp(prefix="plantaincart-up-"))
    run(_serve(choose_options(shape, instances, folder)))


async def _serve(options: SystemOptions) -> None:
    stop_requested = Event()
    for signal in (SIGINT, SIGTERM):
        get_running_loop().add_signal_handler(signal, stop_requested.set)
    console = make_console()
    console.print("starting ...")
    async with LocalSystem(options) as system:
        await wait_until_served(system)
        _print_system(system, console)
        await stop_requested.wait()
        console.print("stopping ...")


def _print_system(system: LocalSystem, console: Console) -> None:
    console.print(_build_instance_table(system))
    console.print(_build_upstream_table(system))
    layout = system.layout
    console.print(f"platform          http://{layout.platform}")
    console.print(f"platform control  http://{layout.platform_control}")
    if layout.proxied:
        console.print(f"proxy control     http://{layout.proxy_control}")
    for address in _list_upstream_controls(system):
        console.print(f"upstream control  http://{address}")
    console.print(f"logs              {system.folder}")
    console.print(f"\nexport PLANTAINCART_PLATFORM={write_platform_file(system)}")
    entry = system.entries[0]
    for service in layout.shape.services:
        key = "/member-17" if service.keyed else "/status"
        console.print(f"curl -i http://{entry}/{service.name}{key}")
    console.print("ready; Ctrl-C ends it")


def _build_instance_table(system: LocalSystem) -> Table:
    table = Table("instance", "data centre", "entry", "metrics, status", box=None)
    for instance in system.layout.instances.values():
        table.add_row(
            instance.name,
            instance.data_centre,
            f"http://{instance.entry}",
            f"http://{instance.admin}/metrics",
        )
    return table


def _build_upstream_table(system: LocalSystem) -> Table:
    table = Table("upstream", "shard", "data centre", "address", box=None)
    for upstream in system.layout.upstreams.values():
        shard = f"{upstream.service.name}/{upstream.shard}"
        address = f"http://{upstream.address}"
        table.add_row(upstream.name, shard, upstream.data_centre, address)
    return table


def _list_upstream_controls(system: LocalSystem) -> Iterator[str]:
    upstreams = len(system.layout.upstreams)
    processes = -(-upstreams // system.options.upstreams_per_process)
    for number in range(processes):
        yield str(system.layout.find_upstream_control(number))


if __name__ == "__main__":
    app()
