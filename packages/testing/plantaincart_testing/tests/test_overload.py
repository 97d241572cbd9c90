"""Load above the capacity of the upstreams, and callers that retry immediately."""

from asyncio import gather
from collections import Counter
from dataclasses import replace
from pathlib import Path
from time import monotonic

from plantaincart_schema.generated.configuration import Service
from plantaincart_schema.generated.settings import DispatchSettings
from plantaincart_testing.bench.subject import wait_until_warm
from plantaincart_testing.call import Call, CallResult, LoadPlan, make_calls
from plantaincart_testing.client import Caller
from plantaincart_testing.finding import list_executions
from plantaincart_testing.launch import SystemOptions
from plantaincart_testing.scenario import (
    ScenarioReport,
    ScheduledAction,
    read_status,
    run_scenario,
)
from plantaincart_testing.shape import SMALL
from plantaincart_testing.system import LocalSystem

KEYED, UNKEYED = SMALL.services
LOOKUP_S = 0.08
OPTIONS = SystemOptions(
    upstream={"lookup_s": LOOKUP_S, "write_s": LOOKUP_S, "warm_up_s": 1.0}
)
DEADLINE_S = 1.0
# Time until hash slots that share an upstream with a hot one have been moved.
SLOTS_MOVED_AFTER_S = 5.0
LOAD_S = 6.0
# Minimum share of the capacity that is used throughout the load.
MIN_CAPACITY_SHARE = 0.7
IMMEDIATE_S = 0.25
# Share of calls whose deadline may pass, since their upstream is slower than usual.
MAX_LATE_SHARE = 0.05
# Requests whose cancellation at the deadline hasn't reached the upstream yet.
PENDING_CANCELLATIONS = 1
EXPECTED_REASONS = {"deadline-too-short", "queue-full", "rate-limited"}


def find_capacity(*services) -> float:
    return sum(service.upstreams * service.slots for service in services) / LOOKUP_S


def make_load(service, rate: float, seed: int, **changes) -> list[Call]:
    plan = LoadPlan(
        services=(service,),
        rate=rate,
        duration_s=LOAD_S,
        write_share=0.0,
        deadline_s=DEADLINE_S,
        seed=seed,
    )
    return list(make_calls(replace(plan, **changes)))


def count_attempts(report: ScenarioReport) -> int:
    return len(list_executions(report.events))


def check_attempts(report: ScenarioReport, results: list[CallResult]) -> None:
    settings = DispatchSettings()
    ratio = 1 + settings.retry_ratio + settings.hedge_ratio
    bursts = 2 * settings.retry_burst * (KEYED.shards + UNKEYED.shards)
    dispatched = sum(result.verdict != "not-run" for result in results)
    assert count_attempts(report) <= ratio * dispatched + bursts


async def test_twice_the_capacity(tmp_path: Path) -> None:
    calls = [
        *make_load(KEYED, 2 * find_capacity(KEYED), seed=1),
        *make_load(UNKEYED, 2 * find_capacity(UNKEYED), seed=2),
    ]
    calls.sort(key=lambda call: call.at_s)
    queues: list[int] = []
    async with LocalSystem(replace(OPTIONS, folder=tmp_path)) as system:
        await wait_until_warm(system)

        async def read_queues() -> None:
            for name in system.layout.instances:
                status = await read_status(system, name)
                queues.extend(shard.queue for shard in status.shards)

        actions = [
            ScheduledAction(at_s=at_s, action=read_queues) for at_s in (2.0, 4.0)
        ]
        report = await run_scenario(system, calls, actions)
        reports = await system.read_reports()
    served = Counter(
        result.call.service for result in report.results if result.is_success
    )
    rejected = [result for result in report.failures if result.verdict == "not-run"]
    assert report.findings == []
    for service in SMALL.services:
        assert (
            served[service.name] >= MIN_CAPACITY_SHARE * find_capacity(service) * LOAD_S
        )
    late = len(report.failures) - len(rejected)
    assert late <= MAX_LATE_SHARE * served.total()
    assert {result.reason for result in rejected} <= EXPECTED_REASONS
    slow = [result for result in rejected if result.latency_s > IMMEDIATE_S]
    assert len(slow) <= MAX_LATE_SHARE * len(rejected)
    assert all(result.retry_after_s >= 1 for result in rejected)
    assert max(queues) <= Service.__dataclass_fields__["queue_limit"].default
    max_in_flight = max(upstream.max_in_flight for upstream in reports.values())
    assert max_in_flight <= KEYED.slots + PENDING_CANCELLATIONS
    check_attempts(report, report.results)


async def test_hot_key_leaves_others_served(tmp_path: Path) -> None:
    rate = find_capacity(KEYED) / 2
    calls = make_load(KEYED, rate, seed=3, keys=100, hot_share=0.6, duration_s=9.0)
    async with LocalSystem(replace(OPTIONS, folder=tmp_path)) as system:
        await wait_until_warm(system)
        report = await run_scenario(system, calls)
    hot = [result for result in report.results if result.call.key == "k0"]
    others = [result for result in report.results if result.call.key != "k0"]
    assert report.findings == []
    assert sum(result.is_success for result in hot) >= (
        MIN_CAPACITY_SHARE * KEYED.slots / LOOKUP_S * LOAD_S
    )
    failed_at = [result.call.at_s for result in others if not result.is_success]
    assert max(failed_at, default=0.0) <= SLOTS_MOVED_AFTER_S
    check_attempts(report, report.results)


async def test_callers_that_retry_immediately(tmp_path: Path) -> None:
    async with LocalSystem(replace(OPTIONS, folder=tmp_path)) as system:
        await wait_until_warm(system)
        caller = Caller(system.entries)
        ends_at = monotonic() + LOAD_S

        async def send_repeatedly(number: int) -> None:
            service = SMALL.services[number % 2]
            key = f"k{number}" if service.keyed else ""
            target = (
                f"/{service.name}/{key}/status" if key else f"/{service.name}/status"
            )
            call = Call(
                service=service.name,
                method="GET",
                target=target,
                key=key,
                deadline_s=0.25,
            )
            while monotonic() < ends_at:
                await caller.send(call)

        await gather(*(send_repeatedly(number) for number in range(120)))
        report = await run_scenario(system, [], caller=caller)
    capacity = find_capacity(*SMALL.services)
    assert report.findings == []
    assert sum(result.is_success for result in report.results) >= (
        MIN_CAPACITY_SHARE * capacity * LOAD_S
    )
    check_attempts(report, report.results)
