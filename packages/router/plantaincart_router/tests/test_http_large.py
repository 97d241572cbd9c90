"""Large answers on thin links, with slow readers and little memory."""

from asyncio import (
    CancelledError,
    IncompleteReadError,
    Queue,
    StreamReader,
    StreamWriter,
    create_task,
    gather,
    get_running_loop,
    sleep,
    wait_for,
)
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from statistics import median
from time import monotonic

import pytest
from plantaincart_router.http.answerbuffers import AnswerBuffers
from plantaincart_router.http.caller import CallerConnection
from plantaincart_router.http.exchange import HttpConnection
from plantaincart_router.http.heldbytes import HeldBytes, HeldKind
from plantaincart_router.http.message import HttpAnswer, HttpRequest
from plantaincart_router.http.pacing import BulkPacer
from plantaincart_router.http.server import HttpServer
from plantaincart_schema.generated.settings import EntrySettings
from plantaincart_testing.streams import open_connection, start_server

HOST = "127.0.0.1"
LINK_MBPS = 10.0
LINK_BYTES_PER_S = 1_250_000
# The largest download of the users' sheet, and a small answer.
LARGE, SMALL = b"x" * 540_000, b"y" * 400
# More than the system's buffers of a connection take.
HUGE = b"z" * 20_000_000
# A small answer must not wait for more than a few tens of milliseconds of bulk.
MAX_DELAY_S = 0.06
LIMITS = EntrySettings(host=HOST, port=0, body_timeout_s=0.8, max_body_bytes=1_000_000)


async def answer_by_target(
    request: HttpRequest, caller: CallerConnection
) -> HttpAnswer:
    bodies = {"/large": LARGE, "/huge": HUGE}
    return HttpAnswer(200, (), bodies.get(request.target, SMALL))


@asynccontextmanager
async def run_server(
    pace: bool = True, max_bytes: float = 1e9, link_mbps: float = LINK_MBPS
) -> AsyncIterator[tuple[HttpServer, int]]:
    pacer = BulkPacer(get_running_loop(), link_mbps) if pace else None
    server = HttpServer(LIMITS, answer_by_target, HeldBytes(max_bytes), pacer)
    try:
        yield server, await server.start(HOST, 0)
    finally:
        server.close()


@dataclass(frozen=True)
class ThinLink:
    """A link of 10 Mbit/s, and the seconds that small answers took to cross it."""

    port: int
    small_delays_s: list[float] = field(default_factory=list)


@asynccontextmanager
async def run_thin_link(port: int) -> AsyncIterator[ThinLink]:
    """Pass connections on to a port, all answers one after the other at 10 Mbit/s."""
    sent: Queue[tuple[float, bool, StreamWriter, bytes]] = Queue()

    async def drain_link() -> None:
        free_at = monotonic()
        while True:
            came_at, is_small, writer, data = await sent.get()
            free_at = max(free_at, came_at) + len(data) / LINK_BYTES_PER_S
            if is_small:
                # Counts the bytes ahead on the link, and not how late this process
                # gets the processor.
                link.small_delays_s.append(free_at - came_at)
            await sleep(max(0.0, free_at - monotonic()))
            writer.write(data)

    async def pass_on(reader: StreamReader, writer: StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        server_reader, server_writer = await open_connection(HOST, port)
        server_writer.write(head)
        with suppress(CancelledError):
            while data := await server_reader.read(1500):
                sent.put_nowait((monotonic(), b"/small" in head, writer, data))

    draining = create_task(drain_link())
    listener = await start_server(pass_on, HOST, 0)
    link = ThinLink(listener.sockets[0].getsockname()[1])
    try:
        yield link
    finally:
        draining.cancel()
        listener.close()


async def fetch(port: int, target: str) -> tuple[bytes, float]:
    """Return a body, and the seconds until it was whole."""
    started_at = monotonic()
    reader, writer = await request(port, target)
    body = await read_body(reader)
    writer.close()
    return body, monotonic() - started_at


async def request(port: int, target: str) -> tuple[StreamReader, StreamWriter]:
    reader, writer = await open_connection(HOST, port)
    writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    return reader, writer


async def read_body(reader: StreamReader) -> bytes:
    head = await wait_for(reader.readuntil(b"\r\n\r\n"), 5)
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    return await wait_for(reader.readexactly(length), 5)


async def download_beside_small_answers(
    pace: bool,
) -> tuple[list[float], list[float], float]:
    """Return the delays of small answers on the link and in all, and the download's."""
    async with run_server(pace) as (_, port), run_thin_link(port) as link:
        download = create_task(fetch(link.port, "/large"))
        await sleep(0.05)
        delays_s = []
        for _ in range(6):
            body, delay_s = await fetch(link.port, "/small")
            assert body == SMALL
            delays_s.append(delay_s)
            await sleep(0.02)
        body, large_s = await download
        assert body == LARGE
        return link.small_delays_s, delays_s, large_s


async def test_small_answer_passes_a_download_on_a_thin_link() -> None:
    """A download of 540 KB takes the link for 430 ms, as long as a lookup may last."""
    link_delays_s, delays_s, large_s = await download_beside_small_answers(pace=True)
    assert len(link_delays_s) >= 6
    assert max(link_delays_s) < MAX_DELAY_S
    assert median(delays_s) < MAX_DELAY_S
    assert large_s < 1.0


async def test_small_answer_waits_for_a_download_that_is_not_paced() -> None:
    """Shows that the link of these tests has the queue that pacing avoids."""
    link_delays_s, _, _ = await download_beside_small_answers(pace=False)
    assert max(link_delays_s) > MAX_DELAY_S


async def test_a_reader_that_stands_still_delays_no_other_download() -> None:
    """Callers may read slowly; what is held for them is counted until they leave."""
    async with run_server() as (_, port):
        reader, writer = await request(port, "/large")
        reader._transport.pause_reading()  # type: ignore[attr-defined]
        await sleep(0.2)
        bodies = await gather(*(fetch(port, "/large") for _ in range(2)))
        assert [body for body, _ in bodies] == [LARGE, LARGE]
        writer.close()


async def wait_until(check: Callable[[], bool], limit_s: float = 3.0) -> None:
    deadline = monotonic() + limit_s
    while not check():
        assert monotonic() < deadline, "condition not met in time"
        await sleep(0.01)


async def test_unread_answers_are_counted_and_given_up() -> None:
    """Callers that never read must not fill the memory."""
    async with run_server(link_mbps=10_000.0) as (server, port):
        # The system's own buffers take some of what isn't read.
        callers = [await request(port, "/huge") for _ in range(2)]
        for reader, _ in callers:
            reader._transport.pause_reading()  # type: ignore[attr-defined]
        await wait_until(lambda: server.held.counts[HeldKind.OUTGOING] > 20_000_000)
        await wait_until(lambda: server.held.total == 0)
        for reader, _ in callers:
            reader._transport.resume_reading()  # type: ignore[attr-defined]
            with pytest.raises((IncompleteReadError, ConnectionError)):
                await read_body(reader)


async def test_large_answers_are_counted_no_longer_once_they_are_read() -> None:
    async with run_server() as (server, port):
        bodies = await gather(*(fetch(port, "/large") for _ in range(3)))
        assert all(body == LARGE for body, _ in bodies)
        await wait_until(lambda: server.held.total == 0)


async def test_download_that_is_broken_off_never_looks_complete() -> None:
    """The instance ends while it writes a large answer in pieces."""
    async with run_server() as (server, port):
        reader, _ = await request(port, "/large")
        await reader.readuntil(b"\r\n\r\n")
        server.close()
        with pytest.raises((IncompleteReadError, ConnectionError)):
            await wait_for(reader.readexactly(len(LARGE)), 5)


async def test_request_body_without_room_is_refused_unread() -> None:
    """Nothing is sent of a request whose body doesn't fit (503, not run)."""
    async with run_server(max_bytes=1_000_000) as (server, port):
        server.held.add(HeldKind.OUTGOING, 950_000)
        reader, writer = await open_connection(HOST, port)
        writer.write(b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n")
        head = await wait_for(reader.readuntil(b"\r\n\r\n"), 5)
        assert b"503" in head and b"not-run" in head
        body, _ = await fetch(port, "/small")
        assert body == SMALL
        server.held.remove(HeldKind.OUTGOING, 950_000)
        assert server.held.total == 0


async def test_request_bodies_are_counted_until_they_are_answered() -> None:
    async with run_server() as (server, port):
        reader, writer = await open_connection(HOST, port)
        writer.write(b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n")
        writer.write(b"z" * 999)
        await wait_until(lambda: server.held.counts[HeldKind.REQUEST] == 999)
        writer.write(b"z")
        assert await read_body(reader) == SMALL
        assert server.held.total == 0
        writer.write(b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nz")
        await wait_until(lambda: server.held.total == 1)
        writer.close()
        await wait_until(lambda: server.held.total == 0)


class SlowUpstream:
    """Sends a large answer as fast as it is read, and records how much was taken."""

    def __init__(self) -> None:
        self.written = 0
        self.ended_at = 0.0

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 X\r\ncontent-length: 4000000\r\n\r\n")
        for _ in range(400):
            writer.write(b"x" * 10_000)
            await writer.drain()
            self.written += 10_000
        self.ended_at = monotonic()
        writer.close()


@asynccontextmanager
async def exchange_with_slow_upstream(
    held: HeldBytes,
) -> AsyncIterator[tuple[SlowUpstream, HttpConnection]]:
    upstream = SlowUpstream()
    listener = await start_server(upstream.serve, HOST, 0)
    port = listener.sockets[0].getsockname()[1]
    buffers = AnswerBuffers(held=held, receive_window=25_000)
    connection = await HttpConnection.open(HOST, port, 1.0, buffers=buffers)
    try:
        yield upstream, connection
    finally:
        connection.close()
        listener.close()


async def test_reading_pauses_while_the_instance_holds_much() -> None:
    """Callers read slowly: the upstream must wait, and not the instance's memory."""
    held = HeldBytes(8_000_000)
    held.add(HeldKind.OUTGOING, 7_000_000)
    async with exchange_with_slow_upstream(held) as (_, connection):
        task = create_task(connection.exchange(HttpRequest("GET", "/", (), b""), 10.0))
        await sleep(0.4)
        assert held.counts[HeldKind.INCOMING] < 1_000_000
        held.remove(HeldKind.OUTGOING, 7_000_000)
        answer = await task
        assert len(answer.body) == 4_000_000
        assert held.total == 0


async def test_a_paused_answer_is_read_before_its_upstream_gives_up() -> None:
    """Upstreams cut off an answer that stays unread for some seconds."""
    held = HeldBytes(80_000_000)
    held.add(HeldKind.OUTGOING, 70_000_000)
    async with exchange_with_slow_upstream(held) as (_, connection):
        task = create_task(connection.exchange(HttpRequest("GET", "/", (), b""), 10.0))
        await sleep(0.5)
        assert held.counts[HeldKind.INCOMING] < 1_000_000
        assert len((await wait_for(task, 3.0)).body) == 4_000_000


async def test_the_largest_incomplete_answer_is_given_up_at_the_limit() -> None:
    """More arrives than any kind's usual size: better one failure than the process."""
    held = HeldBytes(1_000_000)
    async with exchange_with_slow_upstream(held) as (_, connection):
        with pytest.raises(Exception, match="above"):
            await connection.exchange(HttpRequest("GET", "/", (), b""), 5.0)
        assert held.total == 0
