"""The operator command with running instances."""

from asyncio import create_subprocess_exec, gather, sleep
from asyncio.subprocess import PIPE
from collections.abc import AsyncIterator
from dataclasses import replace
from json import loads
from pathlib import Path
from sys import executable
from time import monotonic
from typing import Any

import pytest
from plantaincart_operator.platform import Platform
from plantaincart_operator.settings import load_operator_settings
from plantaincart_testing.call import Call
from plantaincart_testing.client import Caller
from plantaincart_testing.fault import PlatformFaults
from plantaincart_testing.launch import SystemOptions
from plantaincart_testing.shape import SMALL
from plantaincart_testing.system import LocalSystem
from plantaincart_testing.up import wait_until_served, write_platform_file

pytestmark = pytest.mark.xdist_group("operator-system")

IN_FORCE_WITHIN_S = 3.0
TIMEOUT_S = 15.0


@pytest.fixture
async def system(tmp_path: Path) -> AsyncIterator[LocalSystem]:
    options = SystemOptions(shape=replace(SMALL, instances=3), folder=tmp_path)
    async with LocalSystem(options) as running:
        await wait_until_served(running)
        yield running


async def run(
    system: LocalSystem, *arguments: str, operator: str = ""
) -> tuple[int, Any]:
    path = write_platform_file(system)
    if operator:
        text = f'operator = "{operator}"\n' + path.read_text()
        path = path.with_name(f"{operator}.toml")
        path.write_text(text)
    command = ["-m", "plantaincart_operator", *arguments, "--output", "json"]
    process = await create_subprocess_exec(
        executable, *command, "--platform", str(path), stdout=PIPE
    )
    stdout, _ = await process.communicate()
    return await process.wait(), loads(stdout)


def write_sheet(system: LocalSystem, name: str, action: str) -> str:
    path = system.folder / f"{name}-{action}.csv"
    path.write_text(f"kind,name,action\ndata_centre,{name},{action}\n")
    return str(path)


def write_limit(system: LocalSystem, service: str, limit: int) -> str:
    path = system.folder / f"{service}-{limit}.csv"
    row = f"service,{service},limit,{limit}"
    path.write_text(f"kind,name,action,requests_per_s\n{row}\n")
    return str(path)


async def read_versions(system: LocalSystem) -> dict[str, int]:
    settings = load_operator_settings(write_platform_file(system))
    async with Platform(settings) as platform:
        reports = await platform.read_statuses()
    return {
        report.entry.name: report.status.configuration_version
        for report in reports
        if report.status is not None
    }


async def test_sheet_status_and_key_commands(system: LocalSystem) -> None:
    sheet = write_sheet(system, "south", "out")
    code, report = await run(system, "sheet", "apply", sheet, "--wait", "10")
    assert (code, report["in_force"], report["instances"]) == (0, 3, 3)
    assert report["in_force_after_s"] < IN_FORCE_WITHIN_S
    assert set((await read_versions(system)).values()) == {2}
    code, report = await run(system, "status")
    shards = [
        shard for entry in report["instances"] for shard in entry["status"]["shards"]
    ]
    assert {shard["service"] for shard in shards} == {"returns-ledger", "payments-desk"}
    caller = Caller(system.entries)
    call = Call(service="", method="GET", target="/returns-ledger/k1", key="k1")
    results = await caller.send_until_answered(call, TIMEOUT_S)
    caller.close()
    code, report = await run(system, "key", "returns-ledger", "k1")
    echo = results[-1].echo
    assert echo is not None
    assert report["status"]["owner"] == echo.upstream
    assert report["status"]["leader"] == report["asked"]


async def test_racing_operators(system: LocalSystem) -> None:
    version = 1
    for limit in (10, 20, 30):
        sheets = [
            write_limit(system, service, limit)
            for service in ("returns-ledger", "payments-desk")
        ]
        expected = ("--expect-version", str(version))
        outcomes = await gather(
            run(system, "sheet", "apply", sheets[0], *expected, operator="anna"),
            run(system, "sheet", "apply", sheets[1], *expected, operator="bertil"),
        )
        codes = sorted(code for code, _ in outcomes)
        assert codes == [0, 3]
        loser = next(report for code, report in outcomes if code == 3)
        assert len(loser["problems"][0]["changes"]) == 1
        version += 1
    _, history = await run(system, "sheet", "history")
    assert [entry["version"] for entry in history["entries"]] == [4, 3, 2, 1]


async def test_version_survives_restarts_in_an_outage(system: LocalSystem) -> None:
    await system.platform.set_faults(PlatformFaults(lost_answers_next=2))
    sheet = write_sheet(system, "south", "out")
    code, report = await run(system, "sheet", "apply", sheet, "--wait", "10")
    assert (code, report["version"]) == (0, 2)
    await system.platform.set_faults(PlatformFaults(down=True, parts=["table"]))
    code, _ = await run(system, "sheet", "apply", write_sheet(system, "north", "out"))
    assert code == 4
    for name in list(system.layout.instances):
        system.kill(name)
        await system.restart(name, wait=False)
        deadline = monotonic() + TIMEOUT_S
        while (await read_versions(system)).get(name) != 2:
            assert monotonic() < deadline, f"{name} has no configuration"
            await sleep(0.05)
    await system.platform.clear_faults()
    code, report = await run(system, "sheet", "apply", sheet, "--wait", "10")
    assert (code, report["version"], report["in_force"]) == (0, 2, 3)
