"""Answers of upstreams, and connections to upstreams and peers, fail under load."""

from collections.abc import Awaitable, Callable
from pathlib import Path

from plantaincart_testing.call import LoadPlan, Outcome
from plantaincart_testing.launch import SystemOptions
from plantaincart_testing.scenario import (
    ScenarioReport,
    ScheduledAction,
    run_scenario,
    wait_until_led,
)
from plantaincart_testing.shape import SMALL
from plantaincart_testing.system import LocalSystem
from plantaincart_testing.upstream_settings import UpstreamFaults
from pytest import mark

# Fewer than the attempts per request, since one request may meet all the faults.
FAULTS = 2
DEADLINE_S = 2.0
# Allowance for the entry's own rejection and for scheduling on a busy machine.
LATENCY_TOLERANCE_S = 0.75
PLAN = LoadPlan(
    services=SMALL.services, rate=100.0, duration_s=5.0, keys=30, deadline_s=DEADLINE_S
)
VERDICTS = {"ran", "not-run", "may-have-run"}


async def inject_faults(system: LocalSystem, faults: UpstreamFaults) -> None:
    for name in ("returns-ledger-1", "returns-ledger-2", "payments-desk-1"):
        await system.control_upstream(name).set_faults(name, faults)


async def silence_upstreams(system: LocalSystem) -> None:
    for name in system.layout.upstreams:
        await system.control_upstream(name).silence_open(name)


async def silence_paths(system: LocalSystem) -> None:
    for name in system.layout.upstreams:
        await system.proxy.silence_open(name)


async def silence_mesh(system: LocalSystem) -> None:
    for name in system.layout.instances:
        await system.proxy.silence_open(f"mesh-{name}")


async def run(
    folder: Path, inject: Callable[[LocalSystem], Awaitable[None]], proxied: bool
) -> ScenarioReport:
    options = SystemOptions(folder=folder, proxied=proxied)
    async with LocalSystem(options) as system:
        await wait_until_led(system)
        act = ScheduledAction(at_s=1.5, action=lambda: inject(system))
        return await run_scenario(system, PLAN, [act])


def check_results(report: ScenarioReport) -> None:
    assert report.findings == []
    for result in report.results:
        assert result.outcome in (Outcome.ANSWERED, Outcome.REFUSED), result
        assert result.verdict in VERDICTS
        assert result.latency_s <= DEADLINE_S + LATENCY_TOLERANCE_S


@mark.parametrize(
    "faults",
    [
        UpstreamFaults(late_next=FAULTS, late_s=0.5),
        UpstreamFaults(late_next=FAULTS, late_s=DEADLINE_S + 1.0),
        UpstreamFaults(truncate_next=FAULTS),
        UpstreamFaults(duplicate_next=FAULTS),
        UpstreamFaults(cross_next=FAULTS),
        UpstreamFaults(lose_next=FAULTS),
        UpstreamFaults(cross_next=FAULTS, late_next=FAULTS, late_s=0.5),
    ],
    ids=["late", "too-late", "truncated", "doubled", "crossed", "lost", "late-crossed"],
)
async def test_answers_that_fail(faults: UpstreamFaults, tmp_path: Path) -> None:
    report = await run(
        tmp_path, lambda system: inject_faults(system, faults), proxied=False
    )
    check_results(report)
    if faults.late_s < DEADLINE_S:
        lookups = [result for result in report.failures if result.call.is_idempotent]
        assert lookups == []


@mark.parametrize("silence", [silence_upstreams, silence_paths, silence_mesh])
async def test_connections_that_fall_silent_for_good(
    silence: Callable[[LocalSystem], Awaitable[None]], tmp_path: Path
) -> None:
    report = await run(tmp_path, silence, proxied=True)
    check_results(report)
    assert [result for result in report.failures if result.call.is_idempotent] == []
