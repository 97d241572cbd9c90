"""Latency and processor time that the router adds to calls straight to upstreams."""

from asyncio import gather
from collections.abc import Sequence
from os import getpid
from time import monotonic

from plantaincart_testing.addresses import Address
from plantaincart_testing.bench.figure import FigureCollector
from plantaincart_testing.bench.latency import (
    LatencySummary,
    count_failures,
    summarise_latency,
)
from plantaincart_testing.bench.process_usage import UsageMeter
from plantaincart_testing.bench.subject import (
    BenchOptions,
    Subject,
    make_system,
    wait_until_warm,
)
from plantaincart_testing.call import Call, LoadPlan, make_calls
from plantaincart_testing.client import Caller
from plantaincart_testing.launch import SystemOptions
from plantaincart_testing.scenario import find_leader
from plantaincart_testing.shape import ServiceShape, Shape
from plantaincart_testing.system import LocalSystem

__all__ = ["WORKLOAD", "measure_overhead"]

SERVICE = ServiceShape(
    name="haul-desk", keyed=False, upstreams=4, shards=1, slots=8, connections=130
)
SHAPE = Shape(name="pair", data_centres=("north",), services=(SERVICE,), instances=2)
SERVICE_TIME_S = 0.002
WARM_UP_S = 1.0
CALLERS = 16
CLOSED_LOOP_S = 4.0
OPEN_LOOP_S = 6.0
TARGET_ADDED_P99_MS = 5.0
TARGET_P99_MS = 15.0
DIRECT_SUBJECT = "direct"
_MS_PER_S = 1000
WORKLOAD = (
    f"one entry instance and one leader, {SERVICE.upstreams} upstreams with "
    f"{SERVICE.slots} concurrency slots each, service time "
    f"{SERVICE_TIME_S * _MS_PER_S:g} ms, {CALLERS} callers in a closed loop for "
    f"{CLOSED_LOOP_S:g} s, then open loop at half of the router's "
    f"highest rate for {OPEN_LOOP_S:g} s on each subject"
)


async def measure_overhead(options: BenchOptions, collector: FigureCollector) -> None:
    """
    Measure the router's highest rate, then compare all subjects at half that rate.

    Parameters
    ----------
    options : BenchOptions
        Seed, repeats and folder; the shape is always one with two instances.
    collector : FigureCollector
        Receives the measured figures.
    """
    for repeat in range(options.repeats):
        rate, router_latency = await _measure(
            options, collector, Subject.ROUTER, repeat, 0.0
        )
        _, baseline_latency = await _measure(
            options, collector, Subject.TWO_RANDOM, repeat, rate
        )
        direct_latency = await _measure_direct(options, collector, repeat, rate)
        for subject, latency in (
            (Subject.ROUTER, router_latency),
            (Subject.TWO_RANDOM, baseline_latency),
        ):
            added_ms = latency.p50_ms - direct_latency.p50_ms
            collector.add("added p50", subject, "ms", added_ms)
            added_ms = latency.p99_ms - direct_latency.p99_ms
            collector.add("added p99", subject, "ms", added_ms, TARGET_ADDED_P99_MS)


async def _measure(
    options: BenchOptions,
    collector: FigureCollector,
    subject: Subject,
    repeat: int,
    rate: float,
) -> tuple[float, LatencySummary]:
    settings = _make_settings(options, f"overhead-{subject}-{repeat}", repeat)
    async with make_system(subject, settings) as system:
        await wait_until_warm(system)
        entry, pids = await _find_entry_and_pids(system, subject)
        highest_rate = await _measure_highest_rate(collector, subject, [entry])
        rate = rate or highest_rate / 2
        meter = UsageMeter(pids)
        latency = await _run_open_loop(
            collector, subject, [entry], rate, options.seed + repeat
        )
        cpu_ms = meter.read().cpu_s * len(pids) * _MS_PER_S / latency.count
    collector.add("CPU per call, all processes", subject, "ms", cpu_ms)
    return rate, latency


async def _measure_direct(
    options: BenchOptions, collector: FigureCollector, repeat: int, rate: float
) -> LatencySummary:
    settings = _make_settings(options, f"overhead-direct-{repeat}", repeat)
    async with make_system(Subject.RANDOM, settings) as system:
        await wait_until_warm(system)
        addresses = [place.address for place in system.layout.upstreams.values()]
        await _measure_highest_rate(collector, DIRECT_SUBJECT, addresses)
        return await _run_open_loop(
            collector, DIRECT_SUBJECT, addresses, rate, options.seed + repeat
        )


def _make_settings(options: BenchOptions, name: str, repeat: int) -> SystemOptions:
    return SystemOptions(
        shape=SHAPE,
        folder=options.folder / name,
        upstream={
            "lookup_s": SERVICE_TIME_S,
            "spread": 0.0,
            "warm_up_s": WARM_UP_S,
        },
        lookups_recorded=False,
        seed=options.seed + repeat,
    )


async def _find_entry_and_pids(
    system: LocalSystem, subject: Subject
) -> tuple[Address, Sequence[int]]:
    """
    Return an entry address, and the ids of the processes that handle its calls.

    For the router, the entry instance isn't the leader, so that each call passes
    through both instances.
    """
    names = list(system.layout.instances)
    if subject is not Subject.ROUTER:
        entry = names[0]
        return system.layout.instances[entry].entry, [system.find_process(entry).pid]
    leader = await find_leader(system, SERVICE.name)
    entry = next(name for name in names if name != leader)
    pids = [system.find_process(name).pid for name in (entry, leader)]
    return system.layout.instances[entry].entry, pids


async def _measure_highest_rate(
    collector: FigureCollector, subject: str, addresses: Sequence[Address]
) -> float:
    caller = Caller(addresses)
    path = f"/{SERVICE.name}/status"
    call = Call(service=SERVICE.name, method="GET", target=path)
    began_at = monotonic()
    caller_meter = UsageMeter([getpid()])
    ends_at = began_at + CLOSED_LOOP_S
    await gather(*(_send_until(caller, call, ends_at) for _ in range(CALLERS)))
    rate = len(caller.results) / (monotonic() - began_at)
    caller.close()
    collector.add("highest rate, closed loop", subject, "calls/s", rate)
    collector.add_note(
        f"{subject}: caller used {caller_meter.read().core_share:.0%} of a core"
    )
    return rate


async def _send_until(caller: Caller, call: Call, ends_at: float) -> None:
    while monotonic() < ends_at:
        await caller.send(call)


async def _run_open_loop(
    collector: FigureCollector,
    subject: str,
    addresses: Sequence[Address],
    rate: float,
    seed: int,
) -> LatencySummary:
    caller = Caller(addresses)
    plan = _make_plan(rate, OPEN_LOOP_S, seed)
    results = await caller.run(list(make_calls(plan)))
    caller.close()
    latency = summarise_latency(results)
    target_ms = TARGET_P99_MS if subject == Subject.ROUTER else None
    collector.add("rate", subject, "calls/s", rate)
    collector.add("p50", subject, "ms", latency.p50_ms)
    collector.add("p99", subject, "ms", latency.p99_ms, target_ms)
    collector.add("p99.9", subject, "ms", latency.p999_ms)
    for reason, count in count_failures(results).most_common():
        collector.add_note(f"{subject}: {count} calls {reason}")
    return latency


def _make_plan(rate: float, duration_s: float, seed: int) -> LoadPlan:
    return LoadPlan(
        services=SHAPE.services,
        rate=rate,
        duration_s=duration_s,
        write_share=0.0,
        seed=seed,
    )
