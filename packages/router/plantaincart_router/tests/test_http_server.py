from asyncio import Event, Runner, StreamReader, StreamWriter, create_task, wait_for
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from dataclasses import replace
from socket import create_connection

import pytest
from plantaincart_core.verdict import Reason, RefusedError, refuse_not_run
from plantaincart_router.http.client import HttpClient, HttpConnection
from plantaincart_router.http.message import HttpAnswer, HttpRequest, find_header
from plantaincart_router.http.server import CallerConnection, HttpServer
from plantaincart_schema.codec import decode_json
from plantaincart_schema.generated.settings import EntrySettings
from plantaincart_schema.generated.upstream import Problem
from plantaincart_testing.streams import open_connection
from uvloop import new_event_loop

HOST = "127.0.0.1"
WaitUntil = Callable[[Callable[[], object]], Awaitable[None]]
LIMITS = EntrySettings(host=HOST, port=0, max_head_bytes=2048, max_body_bytes=1000)
GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"


class Harness:
    """Starts servers whose handler echoes, waits or fails, depending on the target."""

    def __init__(self) -> None:
        self.release = Event()
        self.started = Event()
        self.requests: list[HttpRequest] = []
        self.disconnected_targets: list[str] = []
        self.servers: list[HttpServer] = []

    async def start(self, **changes: float) -> tuple[HttpServer, int]:
        server = HttpServer(replace(LIMITS, **changes), self.handle)
        self.servers.append(server)
        return server, await server.start(HOST, 0)

    async def handle(
        self, request: HttpRequest, caller: CallerConnection
    ) -> HttpAnswer:
        self.requests.append(request)
        self.started.set()
        caller.set_disconnect_callback(
            lambda: self.disconnected_targets.append(request.target)
        )
        if request.target == "/wait":
            await self.release.wait()
        if request.target == "/fail":
            raise ValueError("unexpected")
        if request.target == "/refuse":
            raise RefusedError(refuse_not_run(Reason.QUEUE_FULL, "full", 1.2))
        if request.target == "/empty":
            return HttpAnswer(204)
        if request.target == "/large":
            return HttpAnswer(200, (), b"x" * 20_000_000)
        return HttpAnswer(200, (("x-target", request.target),), request.body)


@pytest.fixture
async def harness() -> AsyncIterator[Harness]:
    harness = Harness()
    yield harness
    for server in harness.servers:
        server.close()


async def read_answer(reader: StreamReader) -> tuple[int, dict[str, str], bytes]:
    head = await wait_for(reader.readuntil(b"\r\n\r\n"), 5)
    first, *lines = head.decode().strip().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return int(first.split()[1]), headers, body


async def send(port: int, data: bytes) -> tuple[StreamReader, StreamWriter]:
    reader, writer = await open_connection(HOST, port)
    writer.write(data)
    return reader, writer


async def test_keep_alive_and_pipelined_requests_are_answered_in_order(
    harness: Harness,
) -> None:
    _, port = await harness.start()
    requests_data = b"".join(
        b"POST /%d HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n%d"
        % (number, number)
        for number in range(9)
    )
    reader, writer = await send(port, requests_data)
    for number in range(9):
        status, headers, body = await read_answer(reader)
        assert (status, headers["x-target"], body) == (
            200,
            f"/{number}",
            b"%d" % number,
        )
    writer.close()


async def test_chunked_request_in_single_bytes(harness: Harness) -> None:
    _, port = await harness.start()
    head = b"POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    reader, writer = await open_connection(HOST, port)
    for byte in head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n":
        writer.write(bytes([byte]))
        await writer.drain()
    assert (await read_answer(reader))[2] == b"abcde"
    writer.close()


async def test_expect_100_continue(harness: Harness) -> None:
    _, port = await harness.start()
    head = b"POST /c HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
    reader, writer = await send(port, head + b"Expect: 100-continue\r\n\r\n")
    assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
    writer.write(b"ok")
    assert (await read_answer(reader))[2] == b"ok"
    writer.close()


async def test_head_and_bodiless_answers_keep_the_connection(harness: Harness) -> None:
    _, port = await harness.start()
    client = HttpClient(HOST, port, 5)
    head = await client.request("HEAD", "/h")
    assert (head.status, head.body) == (200, b"")
    assert (await client.request("GET", "/empty")).status == 204
    assert (await client.request("POST", "/p", body=b"x")).body == b"x"
    assert harness.servers[0].connection_count == 1
    client.close()


REJECTED_REQUESTS = [
    ("malformed", b"no http\r\n\r\n", 400, "bad-request"),
    ("binary", bytes(range(256)), 400, "bad-request"),
    ("TLS hello", b"\x16\x03\x01\x02\x00\x01", 400, "bad-request"),
    ("no host", b"GET / HTTP/1.1\r\n\r\n", 400, "bad-request"),
    ("space in name", b"GET / HTTP/1.1\r\nHost : x\r\n\r\n", 400, "bad-request"),
    (
        "two lengths",
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1, 2\r\n\r\n",
        400,
        "bad-request",
    ),
    (
        "negative length",
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
        400,
        "bad-request",
    ),
    (
        "unknown coding",
        b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n",
        501,
        "bad-request",
    ),
    (
        "bad chunk",
        b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        400,
        "bad-request",
    ),
    ("connect", b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 405, "bad-request"),
    (
        "whole long head",
        b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"a" * 2500 + b"\r\n\r\n",
        431,
        "head-too-large",
    ),
    ("endless head", b"GET /" + b"a" * 4000, 431, "head-too-large"),
    (
        "declared large body",
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n",
        413,
        "body-too-large",
    ),
    (
        "chunked large body",
        b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"800\r\n" + b"x" * 1200,
        413,
        "body-too-large",
    ),
    ("slow head", b"GET / HTTP/1.1\r\nHo", 408, "timeout"),
    (
        "slow body",
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nab",
        408,
        "timeout",
    ),
]


@pytest.mark.parametrize(
    ("data", "status", "reason"),
    [row[1:] for row in REJECTED_REQUESTS],
    ids=[row[0] for row in REJECTED_REQUESTS],
)
async def test_rejections_are_problems_with_verdict_not_run(
    harness: Harness, data: bytes, status: int, reason: str
) -> None:
    _, port = await harness.start(head_timeout_s=0.05, body_timeout_s=0.05)
    reader, writer = await send(port, data)
    answer_status, headers, body = await read_answer(reader)
    problem = decode_json(body, Problem)
    assert (answer_status, problem.status) == (status, status)
    assert problem.type.endswith(":" + reason)
    assert headers["content-type"] == "application/problem+json"
    assert (headers["plantaincart-verdict"], problem.verdict) == ("not-run", "not-run")
    assert headers["connection"] == "close"
    assert await wait_for(reader.read(), 5) == b""
    assert harness.requests == []
    writer.close()
    client = HttpClient(HOST, port, 5)
    assert (await client.request("GET", "/next")).status == 200
    client.close()


@pytest.mark.parametrize(
    ("target", "status", "verdict", "retry_after"),
    [("/fail", 500, "may-have-run", None), ("/refuse", 503, "not-run", "2")],
)
async def test_handler_errors_become_problems(
    harness: Harness, target: str, status: int, verdict: str, retry_after: str | None
) -> None:
    _, port = await harness.start()
    client = HttpClient(HOST, port, 5)
    answer = await client.request("GET", target)
    assert answer.status == status
    assert find_header(answer.headers, "plantaincart-verdict") == verdict
    assert find_header(answer.headers, "retry-after") == retry_after
    client.close()


async def test_connections_above_the_limit_are_rejected(harness: Harness) -> None:
    _, port = await harness.start(max_connections=1)
    reader, writer = await send(port, GET)
    assert (await read_answer(reader))[0] == 200
    other_reader, other_writer = await open_connection(HOST, port)
    status, headers, _ = await read_answer(other_reader)
    assert (status, headers["retry-after"]) == (503, "1")
    writer.write(GET)
    assert (await read_answer(reader))[0] == 200
    writer.close()
    other_writer.close()


async def test_handler_is_notified_when_the_caller_disconnects(
    harness: Harness, wait_until: WaitUntil
) -> None:
    _, port = await harness.start()
    _, writer = await send(port, b"GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
    await harness.started.wait()
    writer.close()
    await wait_until(lambda: harness.disconnected_targets)
    assert harness.disconnected_targets == ["/wait"]


async def test_connection_of_caller_that_reads_nothing_is_closed(
    harness: Harness, wait_until: WaitUntil
) -> None:
    server, port = await harness.start(body_timeout_s=0.05)
    reader, writer = await send(port, b"GET /large HTTP/1.1\r\nHost: x\r\n\r\n")
    writer.transport.pause_reading()
    await harness.started.wait()
    await wait_until(lambda: not server.connection_count)
    writer.transport.resume_reading()
    with pytest.raises((ConnectionError, EOFError)):
        await reader.readexactly(20_000_000)


async def test_idle_connection_is_closed(harness: Harness) -> None:
    _, port = await harness.start(idle_timeout_s=0.02)
    reader, writer = await send(port, GET)
    await read_answer(reader)
    assert await wait_for(reader.read(), 5) == b""
    writer.close()


async def test_drain_aborts_no_request(harness: Harness) -> None:
    server, port = await harness.start()
    idle, idle_writer = await open_connection(HOST, port)
    running, running_writer = await send(port, b"GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
    partial, partial_writer = await send(port, GET[:9])
    await harness.started.wait()
    drained = create_task(server.drain(5))
    assert await wait_for(idle.read(), 5) == b""
    with pytest.raises(ConnectionError):
        await open_connection(HOST, port)
    partial_writer.write(GET[9:])
    harness.release.set()
    for reader in (partial, running):
        status, headers, _ = await read_answer(reader)
        assert (status, headers["connection"]) == (200, "close")
    assert await drained == 0
    for writer in (idle_writer, running_writer, partial_writer):
        writer.close()


async def test_drain_answers_a_connection_not_yet_accepted(
    harness: Harness,
) -> None:
    server, port = await harness.start()
    with create_connection((HOST, port)) as unaccepted:
        unaccepted.sendall(GET)
        assert await server.drain(5) == 0
        assert unaccepted.recv(4096).startswith(b"HTTP/1.1 200 ")


async def test_drain_ends_after_its_time_limit(harness: Harness) -> None:
    server, port = await harness.start()
    _, writer = await send(port, b"GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
    await harness.started.wait()
    assert await server.drain(0.01) == 1
    writer.close()


async def test_closed_connection_is_not_reusable(
    harness: Harness,
) -> None:
    _, port = await harness.start()
    connection = await HttpConnection.open(HOST, port, 5)
    assert connection.reusable
    connection.close()
    assert not connection.reusable


@pytest.mark.parametrize(
    "check",
    [
        test_keep_alive_and_pipelined_requests_are_answered_in_order,
        test_head_and_bodiless_answers_keep_the_connection,
        test_connections_above_the_limit_are_rejected,
        test_drain_aborts_no_request,
        test_drain_answers_a_connection_not_yet_accepted,
    ],
)
def test_on_uvloop(check: Callable[[Harness], Coroutine[None, None, None]]) -> None:
    async def run_check() -> None:
        harness = Harness()
        await check(harness)
        for server in harness.servers:
            server.close()

    with Runner(loop_factory=new_event_loop) as runner:
        runner.run(run_check())
