from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from socket import socket
from time import monotonic

import pytest
from plantaincart_operator.platform import Platform
from plantaincart_operator.settings import load_operator_settings
from plantaincart_router.http.message import HttpAnswer, HttpRequest
from plantaincart_schema.generated.operator import OperatorSettings
from plantaincart_schema.generated.platform import InstanceEntry, InstanceState
from plantaincart_schema.generated.status import KeyStatus, Status
from plantaincart_testing.fault import FaultPlan, PlatformFaults
from plantaincart_testing.listener import (
    AnswerWithFault,
    Handler,
    Listener,
    WireFault,
    answer_json,
)
from plantaincart_testing.platform import PlatformHandler, PlatformState

HOST = "127.0.0.1"


def find_free_port() -> int:
    with socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


class AdminStub(Handler):
    """Admin address of one instance; answers /status and /key."""

    def __init__(self, status: Status, key: KeyStatus | None) -> None:
        self.status = status
        self.key = key

    async def handle(self, request: HttpRequest) -> AnswerWithFault:
        if request.target == "/status":
            return answer_json(200, self.status), WireFault.NONE
        if request.target.startswith("/key") and self.key is not None:
            return answer_json(200, self.key), WireFault.NONE
        return HttpAnswer(404, (), b"no such service"), WireFault.NONE


@dataclass
class StubSystem:
    """Stub platform and instances' admin addresses, run in the test's event loop."""

    path: Path
    settings: OperatorSettings
    platform: Platform
    state: PlatformState
    listeners: list[Listener] = field(default_factory=list)

    def set_faults(self, faults: PlatformFaults) -> None:
        self.state.fault_plan = FaultPlan(faults, monotonic())

    async def add_instance(
        self,
        name: str,
        version: int,
        key: KeyStatus | None = None,
        state: InstanceState = InstanceState.live,
        unreachable: bool = False,
    ) -> AdminStub:
        status = Status(
            instance=name,
            incarnation="x",
            data_centre="north",
            clock=1,
            ready=True,
            leaving=False,
            configuration_version=version,
            table_reachable=True,
            lease_held=True,
        )
        stub = AdminStub(status, key)
        port = find_free_port()
        if not unreachable:
            listener = Listener(stub)
            await listener.start(HOST, port)
            self.listeners.append(listener)
        entry = InstanceEntry(
            name=name,
            data_centre="north",
            mesh_host=HOST,
            mesh_port=1,
            admin_host=HOST,
            admin_port=port,
            state=state,
        )
        self.state.instances.put(entry, monotonic())
        return stub


@pytest.fixture
async def stub_system(tmp_path: Path) -> AsyncIterator[StubSystem]:
    port = find_free_port()
    path = tmp_path / "platform.toml"
    path.write_text(
        f'operator = "anna"\nadmin_timeout_s = 0.5\napply_timeout_s = 2.0\n'
        f'wait_poll_s = 0.01\n[platform]\ntable_host = "{HOST}"\n'
        f"table_port = {port}\ntimeout_s = 0.5\n"
    )
    state = PlatformState()
    listener = Listener(PlatformHandler(state))
    await listener.start(HOST, port)
    settings = load_operator_settings(path)
    async with Platform(settings) as platform:
        system = StubSystem(path, settings, platform, state, [listener])
        yield system
    for listener in system.listeners:
        listener.close()
