from asyncio import (
    AbstractEventLoop,
    Event,
    Runner,
    StreamReader,
    StreamWriter,
    create_task,
    get_running_loop,
    new_event_loop,
    sleep,
)
from collections.abc import AsyncIterator, Awaitable, Callable
from socket import create_server

import pytest
from plantaincart_router.exception import (
    AnswerLostError,
    AnswerMalformedError,
    AnswerTimeoutError,
    ConnectFailedError,
    ExchangeError,
    SendFailedError,
)
from plantaincart_router.http.client import HttpClient, HttpConnection
from plantaincart_router.http.message import HttpAnswer, HttpRequest
from plantaincart_testing.streams import start_server
from uvloop import new_event_loop as new_uvloop

HOST = "127.0.0.1"
WaitUntil = Callable[[Callable[[], object]], Awaitable[None]]
GET = HttpRequest("GET", "/a")
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

Handler = Callable[[StreamReader, StreamWriter], Awaitable[None]]
StartServer = Callable[[Handler], Awaitable[int]]


@pytest.fixture
async def start_server_with() -> AsyncIterator[StartServer]:
    servers = []

    async def start(handle: Handler) -> int:
        server = await start_server(handle, HOST, 0)
        servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    yield start
    for server in servers:
        server.close()


def answer_with(*answers: bytes, close: bool = False) -> Handler:
    """Return a handler that answers the n-th request with the n-th of `answers`."""

    async def handle(reader: StreamReader, writer: StreamWriter) -> None:
        for answer in answers:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
        if not close:
            await reader.read()
        writer.close()

    return handle


WHOLE_ANSWERS = [
    ("length", OK, b"ok", True),
    ("chunked", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
     b"1\r\no\r\n1\r\nk\r\n0\r\n\r\n", b"ok", True),
    ("no content", b"HTTP/1.1 204 No Content\r\n\r\n", b"", True),
    ("informational first", b"HTTP/1.1 103 Early Hints\r\n\r\n" + OK, b"ok", True),
    ("close", OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"), b"ok", False),
    ("HTTP/1.0", OK.replace(b"1.1", b"1.0"), b"ok", False),
    ("doubled", OK + OK, b"ok", False),
    ("data after the end", OK + b"x", b"ok", False),
]  # fmt: skip


@pytest.mark.parametrize(
    ("data", "body", "reusable"),
    [row[1:] for row in WHOLE_ANSWERS],
    ids=[row[0] for row in WHOLE_ANSWERS],
)
async def test_whole_answers(
    start_server_with: StartServer, data: bytes, body: bytes, reusable: bool
) -> None:
    connection = await HttpConnection.open(
        HOST, await start_server_with(answer_with(data)), 5
    )
    assert (await connection.exchange(GET, 5)).body == body
    assert connection.reusable is reusable
    connection.close()


INCOMPLETE_ANSWERS = [
    ("nothing", b"", True, AnswerLostError),
    ("half a head", OK[:20], True, AnswerLostError),
    ("half a body", OK[:-1], True, AnswerLostError),
    ("half a chunk", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
     True, AnswerLostError),
    ("until close", b"HTTP/1.1 200 OK\r\n\r\nall of it", True, AnswerLostError),
    ("no HTTP", b"\x00\x01\x02 not HTTP at all\r\n\r\n", False, AnswerMalformedError),
    ("two lengths", b"HTTP/1.1 200 OK\r\nContent-Length: 1, 2\r\n\r\n", False,
     AnswerMalformedError),
    ("bad chunk", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
     False, AnswerMalformedError),
    ("switch", b"HTTP/1.1 101 Switching Protocols\r\n\r\n", False,
     AnswerMalformedError),
    ("endless head", b"HTTP/1.1 200 OK\r\nA: " + b"a" * 70000, False,
     AnswerMalformedError),
    ("silence", b"", False, AnswerTimeoutError),
    ("half, then silence", OK[:-1], False, AnswerTimeoutError),
]  # fmt: skip


@pytest.mark.parametrize(
    ("data", "close", "error"),
    [row[1:] for row in INCOMPLETE_ANSWERS],
    ids=[row[0] for row in INCOMPLETE_ANSWERS],
)
async def test_incomplete_answers_raise_and_close_the_connection(
    start_server_with: StartServer, data: bytes, close: bool, error: type[ExchangeError]
) -> None:
    port = await start_server_with(answer_with(data, close=close))
    connection = await HttpConnection.open(HOST, port, 5)
    limit_s = 0.05 if error is AnswerTimeoutError else 5
    with pytest.raises(error) as caught:
        await connection.exchange(GET, limit_s)
    assert caught.value.may_have_started
    assert not connection.reusable


async def test_late_second_answer_never_reaches_the_next_request(
    start_server_with: StartServer, wait_until: WaitUntil
) -> None:
    send_second, second_sent = Event(), Event()

    async def handle(reader: StreamReader, writer: StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(OK)
        await send_second.wait()
        writer.write(OK)
        second_sent.set()

    connection = await HttpConnection.open(HOST, await start_server_with(handle), 5)
    await connection.exchange(GET, 5)
    assert connection.reusable
    send_second.set()
    await second_sent.wait()
    await wait_until(lambda: not connection.reusable)
    with pytest.raises(SendFailedError) as caught:
        await connection.exchange(GET, 5)
    assert not caught.value.may_have_started


async def test_answer_before_the_request_closes_the_connection(
    start_server_with: StartServer, wait_until: WaitUntil
) -> None:
    async def handle(reader: StreamReader, writer: StreamWriter) -> None:
        writer.write(OK)

    connection = await HttpConnection.open(HOST, await start_server_with(handle), 5)
    await wait_until(lambda: not connection.reusable)


@pytest.mark.parametrize(
    ("request_", "timeout_s"),
    [
        (GET, 0.0),
        (GET, -1.0),
        (HttpRequest("GET", "/a b"), 5.0),
        (HttpRequest("GET", "/", (("x", "a\r\nb"),)), 5.0),
        (HttpRequest("GET", "/", (("x", "\u2028"),)), 5.0),
    ],
    ids=["no time", "late", "target", "line feed", "not latin-1"],
)
async def test_invalid_requests_are_not_sent(
    start_server_with: StartServer,
    request_: HttpRequest,
    timeout_s: float,
    wait_until: WaitUntil,
) -> None:
    received: list[bytes] = []

    async def handle(reader: StreamReader, writer: StreamWriter) -> None:
        received.append(await reader.read())

    connection = await HttpConnection.open(HOST, await start_server_with(handle), 5)
    with pytest.raises(SendFailedError) as caught:
        await connection.exchange(request_, timeout_s)
    assert not caught.value.may_have_started
    connection.close()
    await wait_until(lambda: received)
    assert received == [b""]


async def test_nothing_is_sent_if_before_write_raises(
    start_server_with: StartServer,
) -> None:
    connection = await HttpConnection.open(
        HOST, await start_server_with(answer_with(OK)), 5
    )

    def raise_error() -> None:
        raise LookupError("lease lost")

    with pytest.raises(LookupError):
        await connection.exchange(GET, 5, raise_error)
    assert (await connection.exchange(GET, 5)).body == b"ok"
    connection.close()


async def test_cancelled_exchange_closes_the_connection(
    start_server_with: StartServer, wait_until: WaitUntil
) -> None:
    connection = await HttpConnection.open(
        HOST, await start_server_with(answer_with(b"")), 5
    )
    task = create_task(connection.exchange(GET, 5))
    await sleep(0)
    task.cancel()
    await wait_until(lambda: task.done())
    assert task.cancelled()
    assert not connection.reusable


async def test_refused_and_closed_connections_raise_different_errors(
    start_server_with: StartServer,
) -> None:
    async def handle(reader: StreamReader, writer: StreamWriter) -> None:
        writer.close()

    port = await start_server_with(handle)
    client = HttpClient(HOST, 1, 5)
    with pytest.raises(ConnectFailedError) as caught:
        await client.request("GET", "/")
    assert not caught.value.may_have_started
    with pytest.raises(AnswerLostError):
        await HttpClient(HOST, port, 5).request("GET", "/")


async def test_pool_reuses_connections_and_timeout_closes_idle_ones(
    start_server_with: StartServer,
) -> None:
    opened = 0
    silent = Event()

    async def handle(reader: StreamReader, writer: StreamWriter) -> None:
        nonlocal opened
        opened += 1
        while await reader.readline():
            await reader.readuntil(b"\r\n\r\n")
            if not silent.is_set():
                writer.write(OK)

    client = HttpClient(HOST, await start_server_with(handle), 5)
    answers: list[HttpAnswer] = []

    async def call() -> None:
        answers.append(await client.request("GET", "/"))

    await call()
    await call()
    assert (opened, len(answers)) == (1, 2)
    first, second = create_task(call()), create_task(call())
    await first
    await second
    assert opened == 2
    silent.set()
    with pytest.raises(AnswerTimeoutError):
        await client.request("GET", "/", timeout_s=0.05)
    silent.clear()
    await call()
    assert opened == 3
    client.close()


@pytest.mark.parametrize("make_loop", [new_event_loop, new_uvloop])
def test_write_reaches_the_socket_before_other_callbacks(
    make_loop: Callable[[], AbstractEventLoop],
) -> None:
    received: list[bytes] = []

    async def check() -> None:
        with create_server((HOST, 0)) as listener:
            port = listener.getsockname()[1]
            connection = await HttpConnection.open(HOST, port, 5)
            accepted, _ = listener.accept()
        accepted.setblocking(False)
        task = create_task(connection.exchange(GET, 5))
        get_running_loop().call_soon(lambda: received.append(accepted.recv(4096)))
        await sleep(0)
        accepted.sendall(OK)
        await task
        accepted.close()
        connection.close()

    with Runner(loop_factory=make_loop) as runner:
        runner.run(check())
    assert received[0].startswith(b"GET /a ")


async def test_lost_answer_on_a_kept_connection_closes_those_idle_for_longer(
    start_server_with: StartServer, wait_until: WaitUntil
) -> None:
    """A server forgets all idle connections, and resets each when it is used."""
    writers: list[StreamWriter] = []
    answering, forgotten = Event(), Event()

    async def handle(reader: StreamReader, writer: StreamWriter) -> None:
        writers.append(writer)
        is_kept = False
        while await reader.readline():
            await reader.readuntil(b"\r\n\r\n")
            if is_kept and forgotten.is_set():
                break
            await answering.wait()
            writer.write(OK)
            is_kept = True
        writer.close()

    client = HttpClient(HOST, await start_server_with(handle), 5)
    calls = [create_task(client.request("GET", "/")) for _ in range(4)]
    await wait_until(lambda: len(writers) == 4)
    answering.set()
    for call in calls:
        assert (await call).body == b"ok"
    forgotten.set()
    with pytest.raises(AnswerLostError):
        await client.request("GET", "/")
    assert (await client.request("GET", "/")).body == b"ok"
    assert len(writers) == 5
    client.close()


@pytest.mark.parametrize(
    ("host", "port"),
    [(HOST, 65536), (HOST, -1), (HOST, 10**30), ("a\0b", 80), ("\ud800", 80)],
)
async def test_address_out_of_range_fails_to_connect(host, port):
    """OverflowError or ValueError passed callers that expect a failed connection."""
    with pytest.raises(ConnectFailedError):
        await HttpConnection.open(host, port, 1.0)
