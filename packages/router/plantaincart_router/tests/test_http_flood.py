"""Servers that send bytes without end, over loopback."""

from asyncio import Event, StreamReader, StreamWriter, create_task, gather, sleep
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from time import monotonic

import pytest
from plantaincart_router.exception import AnswerMalformedError, ExchangeError
from plantaincart_router.http.client import HttpClient
from plantaincart_router.http.exchange import HttpConnection
from plantaincart_router.http.message import HttpRequest
from plantaincart_testing.streams import start_server

HOST = "127.0.0.1"
GET = HttpRequest("GET", "/a")
MB = 1_000_000
DEADLINE_S = 8.0
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# Name, first bytes, bytes that follow without end, and bytes that the server may have
# sent until the connection is closed, including some MB in the buffers of the kernel.
FLOODS = [
    ("body to the end", b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65536, 40 * MB),
    ("body with a length", b"HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n",
     b"x" * 65536, 40 * MB),
    ("chunks", CHUNKED, b"8000\r\n" + b"x" * 32768 + b"\r\n", 40 * MB),
    ("small chunks", CHUNKED, b"1\r\nx\r\n" * 10000, 12 * MB),
    ("chunk extensions", CHUNKED, b"1;" + b"e" * 30000 + b"\r\nx\r\n", 12 * MB),
    ("one chunk extension", CHUNKED + b"1;", b"e" * 65536, 12 * MB),
    ("trailers", CHUNKED + b"0\r\n", b"A: b\r\n" * 5000, 12 * MB),
    ("head lines", b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 5000, 12 * MB),
    ("one head line", b"HTTP/1.1 200 OK\r\nA: ", b"a" * 65536, 12 * MB),
    ("interim answers", b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 1000, 12 * MB),
    ("zeros", b"", bytes(65536), 12 * MB),
]  # fmt: skip


class FloodingServer:
    """Sends the first bytes, then others until the connection ends."""

    def __init__(self, first: bytes, endless: bytes) -> None:
        self._first = first
        self._endless = endless
        self.sent_bytes = 0
        self.end: Exception | None = None
        self.ended = Event()

    async def handle(self, reader: StreamReader, writer: StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._first)
            while True:
                writer.write(self._endless)
                await writer.drain()
                self.sent_bytes += len(self._endless)
                await sleep(0)
        except ConnectionError as error:
            self.end = error
        finally:
            self.ended.set()
            writer.close()


class StallingServer:
    """Sends a part of a declared body, then waits for the end of the connection."""

    def __init__(self, declared_bytes: int, sent_bytes: int) -> None:
        self._declared_bytes = declared_bytes
        self._sent_bytes = sent_bytes

    async def handle(self, reader: StreamReader, writer: StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            head = f"HTTP/1.1 200 OK\r\ncontent-length: {self._declared_bytes}\r\n\r\n"
            writer.write(head.encode() + b"x" * self._sent_bytes)
            await reader.read()
        except ConnectionError:
            pass
        finally:
            writer.close()


@asynccontextmanager
async def serve(server: FloodingServer | StallingServer) -> AsyncIterator[int]:
    listener = await start_server(server.handle, HOST, 0)
    try:
        yield int(listener.sockets[0].getsockname()[1])
    finally:
        listener.close()


@pytest.mark.parametrize(
    ("first", "endless", "max_sent_bytes"),
    [row[1:] for row in FLOODS],
    ids=[row[0] for row in FLOODS],
)
async def test_flood_is_ended_by_a_reset_before_the_deadline(
    first: bytes, endless: bytes, max_sent_bytes: int
) -> None:
    """A faulty upstream sends bytes that are no answer (pattern garble)."""
    server = FloodingServer(first, endless)
    async with serve(server) as port:
        connection = await HttpConnection.open(HOST, port, 5, True)
        started_at = monotonic()
        with pytest.raises(AnswerMalformedError) as caught:
            await connection.exchange(GET, DEADLINE_S)
        elapsed_s = monotonic() - started_at
        await server.ended.wait()
    assert caught.value.may_have_started
    assert elapsed_s < DEADLINE_S / 2
    assert server.sent_bytes < max_sent_bytes
    assert isinstance(server.end, ConnectionResetError)


async def test_flood_of_answers_to_other_requests_is_ended() -> None:
    """Late answers precede the expected one, but not without end."""
    server = FloodingServer(b"", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" * 99)
    async with serve(server) as port:
        connection = await HttpConnection.open(HOST, port, 5)
        started_at = monotonic()
        with pytest.raises(AnswerMalformedError):
            await connection.exchange(
                GET, DEADLINE_S, matches_request=lambda answer: False
            )
        assert monotonic() - started_at < DEADLINE_S / 2
        await server.ended.wait()


async def test_flood_to_a_client_is_ended() -> None:
    """Grants and calls to the store go through HttpClient."""
    server = FloodingServer(CHUNKED, b"8000\r\n" + b"x" * 32768 + b"\r\n")
    async with serve(server) as port:
        client = HttpClient(HOST, port, DEADLINE_S)
        with pytest.raises(AnswerMalformedError):
            await client.request("GET", "/")
        await server.ended.wait()
    assert server.sent_bytes < 40 * MB
    client.close()


async def test_many_incomplete_answers_stay_within_a_common_limit() -> None:
    """Many connections hold large incomplete answers at the same time."""
    client_count = 12
    async with serve(StallingServer(15 * MB, 12 * MB)) as port:
        client = HttpClient(HOST, port, 6.0)

        async def is_ended_early() -> bool:
            try:
                await client.request("GET", "/", timeout_s=6.0)
            except AnswerMalformedError:
                return True
            except ExchangeError:
                return False
            return False

        ended_early = await gather(*(is_ended_early() for _ in range(client_count)))
    held_bytes = 12 * MB * ended_early.count(False)
    assert held_bytes <= 64 * 1024 * 1024


async def test_small_answers_survive_the_common_limit() -> None:
    """The largest incomplete answer is given up, not the one that comes next."""
    async with serve(StallingServer(15 * MB, 12 * MB)) as port:
        client = HttpClient(HOST, port, 4.0)
        large = [create_task(client.request("GET", "/")) for _ in range(8)]
        await sleep(1.0)
        async with serve(StallingServer(1000, 1000)) as other_port:
            small = HttpClient(HOST, other_port, 2.0)
            assert len((await small.request("GET", "/")).body) == 1000
            small.close()
        results = await gather(*large, return_exceptions=True)
    assert any(isinstance(result, AnswerMalformedError) for result in results)


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 102 Processing\r\n\r\n" * 3
        + b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\n" + b"A: b\r\n" * 100 + b"Content-Length: 2\r\n\r\nok",
        CHUNKED + b"1;ext=1\r\no\r\n1\r\nk\r\n0\r\nT: v\r\n\r\n",
    ],
    ids=["interim answers", "many header lines", "extension and trailer"],
)
async def test_unusual_answers_within_the_limits_are_accepted(data: bytes) -> None:
    async def handle(reader: StreamReader, writer: StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        await reader.read()
        writer.close()

    listener = await start_server(handle, HOST, 0)
    port = int(listener.sockets[0].getsockname()[1])
    connection = await HttpConnection.open(HOST, port, 5)
    assert (await connection.exchange(GET, 5)).body == b"ok"
    assert connection.reusable
    connection.close()
    listener.close()


async def test_answer_of_chunks_of_single_bytes_is_accepted() -> None:
    async def handle(reader: StreamReader, writer: StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(CHUNKED + b"1\r\nx\r\n" * 2000 + b"0\r\n\r\n")
        await reader.read()
        writer.close()

    listener = await start_server(handle, HOST, 0)
    port = int(listener.sockets[0].getsockname()[1])
    connection = await HttpConnection.open(HOST, port, 5)
    assert (await connection.exchange(GET, 5)).body == b"x" * 2000
    connection.close()
    listener.close()
