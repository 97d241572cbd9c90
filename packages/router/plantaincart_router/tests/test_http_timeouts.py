"""After how long a silent connection ends, by the options of its socket."""

from asyncio import (
    AbstractEventLoop,
    Runner,
    StreamReader,
    StreamWriter,
    create_task,
    new_event_loop,
    sleep,
)
from collections.abc import Callable
from socket import (
    IPPROTO_TCP,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_USER_TIMEOUT,
)

import pytest
from plantaincart_router.http.exchange import HttpConnection
from plantaincart_router.http.message import HttpRequest
from plantaincart_testing.streams import start_server
from uvloop import new_event_loop as new_uvloop

HOST = "127.0.0.1"
GET = HttpRequest("GET", "/a")
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
# Time for which sent bytes may stay unacknowledged.
SEND_TIMEOUT_MS = 800
MAKE_LOOPS = pytest.mark.parametrize(
    "make_loop", [new_event_loop, new_uvloop], ids=["asyncio", "uvloop"]
)
MakeLoop = Callable[[], AbstractEventLoop]


def read_option(connection: HttpConnection, option: int) -> int:
    assert connection._transport is not None
    tcp_socket = connection._transport.get_extra_info("socket")
    return int(tcp_socket.getsockopt(IPPROTO_TCP, option))


def allows_all_probes(connection: HttpConnection) -> bool:
    """
    Whether a connection survives until the last of its keep-alive probes is lost.

    With a user timeout, the kernel gives a connection up at the first check after that
    time at which a probe is unanswered, whatever the count of probes.
    """
    user_timeout_ms = read_option(connection, TCP_USER_TIMEOUT)
    silence_s = read_option(connection, TCP_KEEPIDLE)
    count = read_option(connection, TCP_KEEPCNT)
    assert count > 1
    silence_s += count * read_option(connection, TCP_KEEPINTVL)
    return user_timeout_ms == 0 or user_timeout_ms >= silence_s * 1000


async def answer_late(reader: StreamReader, writer: StreamWriter) -> None:
    """Answer the first request late and all others at once."""
    delay_s = 1.3
    try:
        while await reader.readuntil(b"\r\n\r\n"):
            await sleep(delay_s)
            delay_s = 0.0
            writer.write(OK)
    except EOFError:
        pass
    finally:
        writer.close()


@MAKE_LOOPS
def test_lost_probe_doesnt_end_a_healthy_connection(make_loop: MakeLoop) -> None:
    """One of 30 packets is lost on the links (pattern lossy)."""

    async def check() -> None:
        server = await start_server(answer_late, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        connection = await HttpConnection.open(HOST, port, 5)
        exchange = create_task(connection.exchange(GET, 5))
        await sleep(1.15)
        assert not exchange.done()
        assert allows_all_probes(connection), "while an answer is awaited"
        await exchange
        await connection.exchange(GET, 5)
        await sleep(1.15)
        assert connection.reusable
        assert allows_all_probes(connection), "while idle"
        connection.close()
        server.close()

    with Runner(loop_factory=make_loop) as runner:
        runner.run(check())


@MAKE_LOOPS
def test_sent_bytes_must_be_acknowledged_soon(make_loop: MakeLoop) -> None:
    """A machine has lost power, and a request goes on a kept connection (zone_loss)."""

    async def check() -> None:
        server = await start_server(answer_late, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        connection = await HttpConnection.open(HOST, port, 5)
        for _ in range(2):
            exchange = create_task(connection.exchange(GET, 5))
            await sleep(0.001)
            assert read_option(connection, TCP_USER_TIMEOUT) == SEND_TIMEOUT_MS
            await exchange
            await sleep(1.15)
        connection.close()
        server.close()

    with Runner(loop_factory=make_loop) as runner:
        runner.run(check())


@MAKE_LOOPS
def test_long_send_lifts_the_limit_of_a_short_one(make_loop: MakeLoop) -> None:
    async def check() -> None:
        server = await start_server(answer_late, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        connection = await HttpConnection.open(HOST, port, 5)
        await connection.exchange(GET, 5)
        await connection.exchange(GET, 5)
        assert read_option(connection, TCP_USER_TIMEOUT) == SEND_TIMEOUT_MS
        request = HttpRequest("POST", "/a", (), bytes(100_000))
        exchange = create_task(connection.exchange(request, 5))
        await sleep(0)
        assert read_option(connection, TCP_USER_TIMEOUT) == 0
        exchange.cancel()
        server.close()

    with Runner(loop_factory=make_loop) as runner:
        runner.run(check())


@MAKE_LOOPS
def test_upstream_that_reads_a_long_body_late_is_waited_for(
    make_loop: MakeLoop,
) -> None:
    """The request waits in the queue of a busy upstream, which hasn't read its body."""

    async def read_late(reader: StreamReader, writer: StreamWriter) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await sleep(1.6)
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        try:
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(len(body))
            writer.write(OK)
        except EOFError:
            pass
        finally:
            writer.close()

    body = bytes(16_000_000)

    async def check() -> None:
        server = await start_server(read_late, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        connection = await HttpConnection.open(HOST, port, 5)
        request = HttpRequest("POST", "/a", (), body)
        exchange = create_task(connection.exchange(request, 5))
        await sleep(0.1)
        assert read_option(connection, TCP_USER_TIMEOUT) == 0
        assert (await exchange).status == 200
        connection.close()
        server.close()

    with Runner(loop_factory=make_loop) as runner:
        runner.run(check())
