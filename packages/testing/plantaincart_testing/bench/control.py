"""Resource use of idle instances, as a function of the size of the system."""

from asyncio import sleep
from collections.abc import Sequence
from dataclasses import dataclass
from time import monotonic

from plantaincart_router.platform.table import HttpTable

from plantaincart_testing.bench.figure import FigureCollector
from plantaincart_testing.bench.line_fit import fit_line
from plantaincart_testing.bench.preload import preload_records
from plantaincart_testing.bench.process_usage import UsageMeter
from plantaincart_testing.bench.subject import BenchOptions, wait_until_warm
from plantaincart_testing.launch import SystemOptions
from plantaincart_testing.publication import publish_sheet
from plantaincart_testing.shape import ServiceShape, Shape
from plantaincart_testing.system import LocalSystem

__all__ = ["WORKLOAD", "SystemSize", "measure_control"]

IDLE_DURATION_S = 4.0
UPSTREAMS_PER_PROCESS = 6
KEY_SLOTS = 256
TABLE_TIMEOUT_S = 1.0
_SERVICE_NAME = "returns-ledger"


@dataclass(frozen=True, kw_only=True)
class SystemSize:
    """
    Size of a system whose idle resource use is measured.

    Parameters
    ----------
    instances, upstreams, shards : int
        Number of each.
    keys : int
        Number of keys; each has an idempotency record.
    changes : int
        Configuration changes per second.
    """

    instances: int = 4
    upstreams: int = 6
    shards: int = 2
    keys: int = 0
    changes: int = 0


@dataclass(frozen=True, kw_only=True)
class IdleUsage:
    """
    Mean resource use of an idle instance.

    Parameters
    ----------
    cpu_percent : float
        Processor time in percent of a core.
    memory_mb : float
        Resident memory in MB.
    kb_per_s : float
        KB/s on connections to peers, table and upstreams. The bytes of each
        connection are counted once; the sum is divided by the number of instances.
    reads_per_s, writes_per_s : float
        Calls to the table per second.
    """

    cpu_percent: float
    memory_mb: float
    kb_per_s: float
    reads_per_s: float
    writes_per_s: float


USAGE_UNITS = {
    "cpu_percent": "% of a core",
    "memory_mb": "MB",
    "kb_per_s": "KB/s",
    "reads_per_s": "reads/s",
    "writes_per_s": "writes/s",
}
SWEEPS: dict[str, Sequence[SystemSize]] = {
    "instances": [SystemSize(instances=count) for count in (4, 8, 12)],
    "upstreams": [SystemSize(upstreams=count) for count in (6, 18, 36)],
    "shards": [SystemSize(upstreams=12, shards=count) for count in (2, 6, 12)],
    "keys": [SystemSize(keys=count) for count in (0, 10_000, 50_000)],
    "changes": [SystemSize(changes=count) for count in (0, 1)],
}
WORKLOAD = (
    f"idle for {IDLE_DURATION_S:g} s; 4 instances, 6 upstreams, 2 shards, no records, "
    "no configuration changes, with one of these varied: instances 4, 8, 12; "
    "upstreams 6, 18, 36; shards 2, 6, 12 with 12 upstreams; records 0, 10000, 50000; "
    "configuration changes 0, 1/s"
)


async def measure_control(options: BenchOptions, collector: FigureCollector) -> None:
    """
    Measure idle instances in systems of several sizes and fit a line to each series.

    Parameters
    ----------
    options : BenchOptions
        Seed, repeats and folder.
    collector : FigureCollector
        Receives the measured figures.
    """
    for repeat in range(options.repeats):
        idle_usages: dict[SystemSize, IdleUsage] = {}
        for dimension, sizes in SWEEPS.items():
            for size in sizes:
                if size not in idle_usages:
                    settings = _make_settings(options, size, dimension, repeat)
                    idle_usages[size] = await _measure(settings, size)
                _add_usage(collector, dimension, size, idle_usages[size])
            _add_slopes(
                collector, dimension, [(size, idle_usages[size]) for size in sizes]
            )


def _make_settings(
    options: BenchOptions, size: SystemSize, dimension: str, repeat: int
) -> SystemOptions:
    service = ServiceShape(
        name=_SERVICE_NAME,
        keyed=True,
        upstreams=size.upstreams,
        shards=size.shards,
        key_slots=KEY_SLOTS,
    )
    shape = Shape(
        name="control",
        data_centres=("north", "south"),
        services=(service,),
        instances=size.instances,
    )
    return SystemOptions(
        shape=shape,
        folder=options.folder
        / f"control-{dimension}-{getattr(size, dimension)}-{repeat}",
        proxied=True,
        upstreams_per_process=UPSTREAMS_PER_PROCESS,
        seed=options.seed + repeat,
    )


async def _measure(settings: SystemOptions, size: SystemSize) -> IdleUsage:
    system = LocalSystem(settings)
    try:
        await system.start_platform()
        await system.publish(system.layout.make_declarations())
        if size.keys:
            await preload_records(system, settings.shape.services[0], size.keys)
        await system.start_instances()
        await wait_until_warm(system)
        return await _measure_idle(system, size)
    finally:
        system.close()


async def _measure_idle(system: LocalSystem, size: SystemSize) -> IdleUsage:
    names = list(system.layout.instances)
    await system.platform.reset_usage()
    transferred_bytes = await _sum_transferred_bytes(system)
    meter = UsageMeter(system.find_process(name).pid for name in names)
    began_at = monotonic()
    await _publish_changes(system, size.changes)
    elapsed_s = monotonic() - began_at
    usage = meter.read()
    transferred_bytes = await _sum_transferred_bytes(system) - transferred_bytes
    clients = (await system.platform.read_usage()).clients
    instance_clients = [client for client in clients if client.client in names]
    return IdleUsage(
        cpu_percent=usage.core_share * 100,
        memory_mb=usage.memory_mb,
        kb_per_s=transferred_bytes / elapsed_s / len(names) / 1000,
        reads_per_s=sum(client.reads + client.scans for client in instance_clients)
        / elapsed_s
        / len(names),
        writes_per_s=sum(client.commits for client in instance_clients)
        / elapsed_s
        / len(names),
    )


async def _publish_changes(system: LocalSystem, changes_per_s: int) -> None:
    """Wait for the measured time while publishing changes at a constant rate."""
    if not changes_per_s:
        await sleep(IDLE_DURATION_S)
        return
    address = system.layout.platform
    table = HttpTable(address.host, address.port, TABLE_TIMEOUT_S)
    for number in range(round(IDLE_DURATION_S * changes_per_s)):
        limit = 10_000 + number
        sheet = (
            f"kind,name,action,requests_per_s\nservice,{_SERVICE_NAME},limit,{limit}\n"
        )
        await publish_sheet(table, sheet)
        await sleep(1.0 / changes_per_s)
    table.close()


async def _sum_transferred_bytes(system: LocalSystem) -> int:
    routes = await system.proxy.list_routes()
    return sum(route.bytes_to_target + route.bytes_to_source for route in routes)


def _add_usage(
    collector: FigureCollector, dimension: str, size: SystemSize, idle_usage: IdleUsage
) -> None:
    for field, unit in USAGE_UNITS.items():
        label = f"{dimension} {getattr(size, dimension)}: {field}"
        collector.add(label, "plantaincart", unit, getattr(idle_usage, field))


def _add_slopes(
    collector: FigureCollector,
    dimension: str,
    series: Sequence[tuple[SystemSize, IdleUsage]],
) -> None:
    for field, unit in USAGE_UNITS.items():
        points = [
            (float(getattr(size, dimension)), float(getattr(idle_usage, field)))
            for size, idle_usage in series
        ]
        label = f"slope of {field} by {dimension}"
        unit = f"{unit} for each"
        collector.add(label, "plantaincart", unit, fit_line(points).slope)
