"""Fault-injecting proxy in the process of the test."""

from asyncio import get_running_loop
from collections.abc import AsyncIterator
from os import getpid

from plantaincart_router.exception import (
    AnswerLostError,
    AnswerTimeoutError,
    ExchangeError,
)
from plantaincart_router.http.client import HttpConnection
from plantaincart_router.http.message import HttpAnswer, HttpRequest
from plantaincart_testing.listener import AnswerWithFault, Handler, Listener, WireFault
from plantaincart_testing.proxy import Route
from plantaincart_testing.proxy_fault import (
    Direction,
    PassMode,
    RouteFaults,
    RouteSettings,
)
from plantaincart_testing.source import SourceFinder
from pytest import MonkeyPatch, mark, raises
from pytest_asyncio import fixture

HOST = "127.0.0.1"
SHORT_TIMEOUT_S = 0.2
LONG_TIMEOUT_S = 5.0
TEST_PROCESS = "self"


class EchoHandler(Handler):
    def __init__(self) -> None:
        self.handled = 0

    async def handle(self, request: HttpRequest) -> AnswerWithFault:
        self.handled += 1
        return HttpAnswer(200, (), request.body), WireFault.NONE


class ProxyFixture:
    def __init__(self) -> None:
        self.echo = EchoHandler()
        self.target = Listener(self.echo)
        self.finder = SourceFinder()
        self.finder.set_pids({TEST_PROCESS: getpid()})
        self.route: Route

    async def start(self) -> None:
        port = await self.target.start(HOST, 0)
        settings = RouteSettings(
            name="r",
            host=HOST,
            port=0,
            target_host=HOST,
            target_port=port,
        )
        self.route = Route(settings, self.finder)
        self.port = await self.route.start()

    async def open(self) -> HttpConnection:
        return await HttpConnection.open(HOST, self.port, LONG_TIMEOUT_S)


async def send(connection: HttpConnection, body: bytes = b"x") -> bytes:
    return (
        await connection.exchange(HttpRequest("POST", "/", (), body), LONG_TIMEOUT_S)
    ).body


async def send_with_short_timeout(connection: HttpConnection) -> None:
    await connection.exchange(HttpRequest("POST", "/", (), b"x"), SHORT_TIMEOUT_S)


@fixture
async def proxy() -> AsyncIterator[ProxyFixture]:
    proxy = ProxyFixture()
    await proxy.start()
    yield proxy
    proxy.route.close()
    proxy.target.close()


async def test_bytes_are_forwarded_and_counted(proxy: ProxyFixture) -> None:
    connection = await proxy.open()
    body = b"y" * 100_000
    assert await send(connection, body) == body
    proxy.route.set_source_names(
        proxy.finder.find_names(proxy.route.list_unknown_sources())
    )
    report = proxy.route.describe()
    assert min(report.bytes_to_target, report.bytes_to_source) > len(body)
    assert report.sources == {TEST_PROCESS: 1}


@mark.parametrize(
    ("source", "is_cut"), [("", True), (TEST_PROCESS, True), ("other", False)]
)
async def test_cut(proxy: ProxyFixture, source: str, is_cut: bool) -> None:
    connection = await proxy.open()
    await send(connection)
    proxy.route.set_faults(RouteFaults(mode=PassMode.CUT), source)
    if not is_cut:
        assert await send(connection) == b"x"
        return
    with raises(ExchangeError):
        await send(connection)
    with raises(AnswerLostError):
        await send(await proxy.open())
    proxy.route.set_faults(RouteFaults())
    assert await send(await proxy.open()) == b"x"


async def test_no_source_is_searched_once_its_faults_are_over(
    proxy: ProxyFixture, monkeypatch: MonkeyPatch
) -> None:
    """A search lists the open files of the sources, and holds up all connections."""
    proxy.route.set_faults(RouteFaults(mode=PassMode.CUT), TEST_PROCESS)
    proxy.route.set_faults(RouteFaults(), TEST_PROCESS)
    monkeypatch.setattr(proxy.finder, "find_names", None)
    assert await send(await proxy.open()) == b"x"


async def test_silenced_connections_stay_silent(proxy: ProxyFixture) -> None:
    connection, other = await proxy.open(), await proxy.open()
    await send(connection)
    proxy.route.silence_open()
    with raises(AnswerTimeoutError):
        await send_with_short_timeout(connection)
    assert await send(await proxy.open()) == b"x"
    with raises(AnswerTimeoutError):
        await send_with_short_timeout(other)


async def test_connection_that_is_opened_in_a_silence_never_reaches_the_target(
    proxy: ProxyFixture,
) -> None:
    """They filled the target's connections, which it never saw end."""
    proxy.route.set_faults(RouteFaults(mode=PassMode.SILENT))
    connections = [await proxy.open() for _ in range(3)]
    proxy.route.set_faults(RouteFaults())
    for connection in connections:
        with raises(AnswerTimeoutError):
            await send_with_short_timeout(connection)
    assert not proxy.target.connections
    assert await send(await proxy.open()) == b"x"


@mark.parametrize(
    ("direction", "handled"), [(Direction.TO_TARGET, 0), (Direction.TO_SOURCE, 1)]
)
async def test_one_direction(
    proxy: ProxyFixture, direction: Direction, handled: int
) -> None:
    connection = await proxy.open()
    proxy.route.set_faults(RouteFaults(mode=PassMode.SILENT, direction=direction))
    with raises(AnswerTimeoutError):
        await send_with_short_timeout(connection)
    assert proxy.echo.handled == handled


@mark.parametrize(
    ("faults", "least_s"),
    [
        (RouteFaults(delay_s=0.05), 0.1),
        (RouteFaults(delay_s=0.05, direction=Direction.TO_TARGET), 0.05),
        (RouteFaults(bytes_per_s=100_000.0), 0.2),
    ],
)
async def test_delay(proxy: ProxyFixture, faults: RouteFaults, least_s: float) -> None:
    loop = get_running_loop()
    connection = await proxy.open()
    proxy.route.set_faults(faults)
    started_at = loop.time()
    body = b"z" * 10_000
    assert await send(connection, body) == body
    assert loop.time() - started_at >= least_s
