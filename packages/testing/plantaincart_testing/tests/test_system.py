"""Processes of a local system: platform, proxy and upstreams."""

from collections.abc import AsyncIterator
from pathlib import Path
from socket import socket

from plantaincart_core.configuration import (
    CONFIGURATION_ROW,
    DECLARATIONS_ROW,
    name_history_row,
)
from plantaincart_router.exception import ExchangeError, PlatformUnavailableError
from plantaincart_router.http.client import HttpClient
from plantaincart_router.platform.instances import HttpInstanceDirectory
from plantaincart_router.platform.table import HttpTable
from plantaincart_schema.document import read_declarations, read_settings
from plantaincart_schema.generated.platform import InstanceState
from plantaincart_testing.exception import StartError
from plantaincart_testing.fault import PlatformFaults
from plantaincart_testing.history import EventKind
from plantaincart_testing.launch import Launch, SystemOptions
from plantaincart_testing.system import LocalSystem
from plantaincart_testing.upstream import GRANT_PATH
from pytest import raises
from pytest_asyncio import fixture

UPSTREAM = "returns-ledger-1"


@fixture
async def system(tmp_path: Path) -> AsyncIterator[LocalSystem]:
    system = LocalSystem(SystemOptions(proxied=True, folder=tmp_path))
    try:
        await system.start_platform()
        yield system
    finally:
        system.close()


async def test_platform_through_a_proxy(system: LocalSystem) -> None:
    await system.publish(system.layout.make_declarations())
    second = await system.publish(system.layout.make_declarations())
    proxy = system.layout.instances["i1"].table_proxy
    client = (proxy.host, proxy.port, 5.0, "i1")
    table, directory = HttpTable(*client), HttpInstanceDirectory(*client)
    assert second.version == 2
    rows = await table.scan("configuration/")
    history = {name_history_row(version) for version in (1, 2)}
    assert rows.keys() == {CONFIGURATION_ROW, DECLARATIONS_ROW, *history}
    await system.platform.mark_leaving("i2")
    await system.platform.remove_instance("i3")
    states = {entry.name: entry.state for entry in await directory.list_instances()}
    assert sorted(states) == ["i1", "i2", "i4"]
    assert states["i2"] is InstanceState.leaving
    await system.platform.set_faults(PlatformFaults(clients_cut=["i1"]))
    with raises(PlatformUnavailableError):
        await table.scan("")
    await system.platform.clear_faults()
    await system.proxy.cut("table-i1")
    with raises(PlatformUnavailableError):
        await table.scan("")
    usage = {
        client.client: client for client in (await system.platform.read_usage()).clients
    }
    assert (usage["i1"].scans, usage["i1"].failed) == (1, 1)


async def test_upstream_frozen_killed_and_restarted(system: LocalSystem) -> None:
    proxy = system.layout.upstreams[UPSTREAM].proxy
    http = HttpClient(proxy.host, proxy.port, 5.0)
    assert (await http.request("GET", GRANT_PATH)).status == 200
    system.freeze(UPSTREAM)
    with raises(ExchangeError):
        await http.request("GET", GRANT_PATH, timeout_s=0.2)
    system.resume(UPSTREAM)
    assert (await http.request("GET", GRANT_PATH)).status == 200
    system.kill(UPSTREAM)
    with raises(ExchangeError):
        await http.request("GET", GRANT_PATH)
    await system.restart(UPSTREAM)
    assert (await http.request("GET", GRANT_PATH)).status == 200
    kinds = [
        event.kind for event in system.read_history() if event.upstream == UPSTREAM
    ]
    assert kinds == [EventKind.STARTED, EventKind.KILLED, EventKind.STARTED]


async def test_start_error_names_process_that_ended_early(tmp_path: Path) -> None:
    system = LocalSystem(SystemOptions(folder=tmp_path))
    address = system.layout.upstreams[UPSTREAM].address
    with socket() as occupied, raises(StartError, match=UPSTREAM):
        occupied.bind((address.host, address.port))
        await system.start_platform()
    system.close()
    assert not system.find_process("platform").is_running


def test_settings_files_are_valid(tmp_path: Path) -> None:
    overrides = {"lease": {"ttl_s": 2.0}}
    options = SystemOptions(
        folder=tmp_path,
        settings=overrides,
        instance_settings={"i2": {"lease": {"renew_s": 0.5}}},
    )
    system = LocalSystem(options)
    list(Launch(options, system.layout, tmp_path).make_instances())
    settings = [
        read_settings((tmp_path / f"{name}.toml").read_text(), name)
        for name in ("i1", "i2")
    ]
    assert [instance.lease.ttl_s for instance in settings] == [2.0, 2.0]
    assert [instance.lease.renew_s for instance in settings] == [0.4, 0.5]


async def test_declarations_file_is_valid(system: LocalSystem) -> None:
    declarations = system.layout.make_declarations(unfenced=[UPSTREAM])
    await system.publish(declarations)
    path = system.folder / "declarations.toml"
    assert read_declarations(path.read_text(), path.name) == declarations
