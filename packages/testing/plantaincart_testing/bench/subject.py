"""Systems under test: the router and the baseline routers."""

from asyncio import sleep
from dataclasses import dataclass, replace
from enum import StrEnum
from gc import collect as collect_garbage
from gc import freeze as freeze_heap
from pathlib import Path
from sys import executable
from time import monotonic

from plantaincart_router.exception import ExchangeError
from plantaincart_schema.codec import encode_json

from plantaincart_testing.baseline import BaselineSettings, UpstreamSelection
from plantaincart_testing.exception import StartError
from plantaincart_testing.launch import SystemOptions
from plantaincart_testing.process import ManagedProcess
from plantaincart_testing.scenario import read_status
from plantaincart_testing.shape import Shape
from plantaincart_testing.system import LocalSystem

__all__ = [
    "BaselineSystem",
    "BenchOptions",
    "Subject",
    "make_system",
    "wait_until_warm",
]

POLL_S = 0.1
WARM_UP_TIMEOUT_S = 40.0
DEFAULT_WARM_UP_S = 5.0


class Subject(StrEnum):
    """System under test: the router, or a baseline by how it chooses upstreams."""

    ROUTER = "plantaincart"
    RANDOM = "random"
    TWO_RANDOM = "two-random"


@dataclass(frozen=True, kw_only=True)
class BenchOptions:
    """
    Options of a run of the benchmark suite.

    Parameters
    ----------
    shape : Shape
        Shape of the systems, for the parts that have no fixed shape.
    seed : int
        Seed of loads, service times and random choices.
    repeats : int
        Number of runs of each measurement.
    folder : Path
        Folder for settings, logs and execution histories of the systems.
    """

    shape: Shape
    seed: int
    repeats: int
    folder: Path


class BaselineSystem(LocalSystem):
    """
    A local system whose instances are baseline routers.

    Parameters
    ----------
    options : SystemOptions
        Shape and settings of the system.
    choice : Choice
        How the baseline routers choose an upstream.
    """

    def __init__(self, options: SystemOptions, choice: UpstreamSelection) -> None:
        super().__init__(options)
        self._choice = choice

    async def start_instances(self) -> None:
        """Start the baseline routers and wait until they are ready."""
        upstreams = self.layout.make_declarations(self.options.unfenced).upstreams
        for place in self.layout.instances.values():
            settings = BaselineSettings(
                host=place.entry.host,
                port=place.entry.port,
                admin_port=place.admin.port,
                choice=self._choice,
                upstreams=upstreams,
                seed=self.options.seed,
            )
            path = self.folder / f"{place.name}.json"
            path.write_bytes(encode_json(settings))
            module = "plantaincart_testing.baseline"
            command = [executable, "-m", module, f"--settings={path}"]
            output = self.folder / f"{place.name}.out"
            self._add(ManagedProcess(place.name, command, output))
        await self.wait_ready()


def make_system(subject: Subject, options: SystemOptions) -> LocalSystem:
    """
    Make a system under test; upstreams of a baseline don't check fencing tokens.

    Parameters
    ----------
    subject : Subject
        Kind of system.
    options : SystemOptions
        Shape and settings of the system.

    Returns
    -------
    LocalSystem
        System that hasn't been started yet.
    """
    collect_garbage()
    freeze_heap()
    if subject is Subject.ROUTER:
        return LocalSystem(options)
    upstream = {**options.upstream, "checks_fence": False}
    return BaselineSystem(
        replace(options, upstream=upstream), UpstreamSelection(subject.value)
    )


async def wait_until_warm(system: LocalSystem) -> None:
    """
    Wait until every shard is served and its upstreams are reachable and warm.

    Parameters
    ----------
    system : LocalSystem
        System whose instances are ready. Baselines don't report warm-up, so for them
        this waits for the duration of the warm-up instead.

    Raises
    ------
    StartError
        If that takes longer than `WARM_UP_TIMEOUT_S` seconds.
    """
    if isinstance(system, BaselineSystem):
        await sleep(system.options.upstream.get("warm_up_s", DEFAULT_WARM_UP_S))
        return
    shard_count = sum(service.shards for service in system.options.shape.services)
    ends_at = monotonic() + WARM_UP_TIMEOUT_S
    while monotonic() < ends_at:
        if await _count_warm_shards(system) == shard_count:
            return
        await sleep(POLL_S)
    raise StartError(f"upstreams still warming up after {WARM_UP_TIMEOUT_S} s")


async def _count_warm_shards(system: LocalSystem) -> int:
    count = 0
    for name in system.layout.instances:
        try:
            status = await read_status(system, name)
        except ExchangeError:
            continue
        for shard in status.shards:
            is_warm = all(
                upstream.reachable and upstream.warm for upstream in shard.upstreams
            )
            count += shard.serving and is_warm
    return count
