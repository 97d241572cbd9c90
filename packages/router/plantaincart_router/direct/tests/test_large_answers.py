"""Downloads through the gateway: memory, truncation and slow readers."""

from asyncio import (
    IncompleteReadError,
    create_task,
    gather,
    get_running_loop,
    sleep,
    wait_for,
)
from contextlib import asynccontextmanager
from socket import SO_LINGER, SO_RCVBUF, SOL_SOCKET, socket
from struct import pack

import pytest
from plantaincart_router.direct.answermemory import AnswerMemory, make_buffers
from plantaincart_router.direct.gateway import Gateway
from plantaincart_router.direct.instance import INITIAL_LIMITS
from plantaincart_router.direct.metrics import RouterMetrics
from plantaincart_router.direct.pool import UpstreamPools
from plantaincart_router.direct.relayserver import RelayHandler
from plantaincart_router.direct.settings import ResourceSettings, SendSettings
from plantaincart_router.direct.tests.fakes import PlainDialect, make_plan
from plantaincart_router.direct.tests.test_gateway import (
    Upstream,
    answer,
    call_gateway,
    run_gateway,
    verdict,
)
from plantaincart_router.http.heldbytes import HeldKind
from plantaincart_router.http.pacing import BulkPacer
from plantaincart_router.http.server import HttpServer
from plantaincart_testing.streams import open_connection

DOWNLOAD = b"x" * 300_000
SMALL_MACHINE = ResourceSettings(link_mbps=10.0, memory_mb=8.0)


@asynccontextmanager
async def run_small_gateway(*upstreams, plan=None):
    """Run a gateway whose machine has room for 1.2 MB of answers."""
    async with run_gateway(*upstreams, plan=plan) as (gateway, view):
        buffers = make_buffers(SendSettings(), SMALL_MACHINE)
        pools = UpstreamPools(SendSettings(), buffers)
        small = Gateway(
            gateway._settings, view, PlainDialect(), pools, RouterMetrics(dict)
        )
        yield small, buffers.held_bytes
        pools.close()


async def test_download_without_room_is_refused_before_it_is_sent():
    """Many downloads at once must not end the process; lookups go on."""
    upstream = Upstream(
        answer(body=DOWNLOAD), *[answer(body=DOWNLOAD, delay_s=0.3)] * 9
    )
    async with run_small_gateway(upstream) as (gateway, held):
        assert (await call_gateway(gateway)).status == 200
        responses = await gather(
            *(call_gateway(gateway, request_id=f"d{at}") for at in range(6))
        )
        statuses = sorted(response.status for response in responses)
        assert statuses == [200, 200, 503, 503, 503, 503]
        refused = next(item for item in responses if item.status == 503)
        assert verdict(refused) == "not-run"
        assert len(upstream.requests) == 3
        with gateway._answer_memory.reserve("lookup of another route"):
            pass
        assert held.total == 0


async def test_slow_readers_leave_no_room_for_further_downloads():
    """What callers haven't read counts like what is about to come."""
    async with run_small_gateway(Upstream(*[answer(body=DOWNLOAD)] * 5)) as (
        gateway,
        held,
    ):
        await call_gateway(gateway)
        held.add(HeldKind.OUTGOING, 600_000)
        assert (await call_gateway(gateway)).status == 503
        held.remove(HeldKind.OUTGOING, 600_000)
        assert (await call_gateway(gateway)).status == 200


async def test_relay_keeps_to_the_same_room():
    """An instance that sends for others must not be ended by their downloads."""
    async with run_small_gateway(Upstream()) as (gateway, held):
        assert isinstance(gateway.relay, RelayHandler)
        assert gateway.relay._answer_memory is gateway._answer_memory
        assert gateway._transport._relayed._buffers.held_bytes is held
        held.add(HeldKind.OUTGOING, 1_150_000)
        memory = AnswerMemory(held)
        with pytest.raises(Exception, match="no memory"), memory.reserve("relayed"):
            pass


def test_without_known_memory_nothing_is_refused():
    """Earlier deployments: the limits of answers in progress are as before."""
    buffers = make_buffers(SendSettings(), ResourceSettings())
    assert buffers.max_total_bytes == SendSettings().max_buffered_bytes
    assert buffers.receive_window == 0
    memory = AnswerMemory(buffers.held_bytes)
    memory.record_answer("pack", 60_000_000)
    with memory.reserve("pack"), memory.reserve("pack"), memory.reserve("pack"):
        pass


def cut_off(head, sent=100_000, reset=True):
    """Send part of a download, then end the connection."""

    async def script(reader, writer, request_id_sent):
        writer.write(f"HTTP/1.1 200 X\r\nid: {request_id_sent}\r\n{head}\r\n".encode())
        body = DOWNLOAD[:sent]
        if "chunked" in head:
            body = b"%x\r\n%b\r\n" % (len(body), body)
        writer.write(body)
        await writer.drain()
        await sleep(0.05)
        if reset:
            raw = writer.get_extra_info("socket")
            raw.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
            writer.transport.abort()
        return False

    return script


TRUNCATIONS = [
    ("content-length: 300000\r\n", True),
    ("content-length: 300000\r\n", False),
    ("transfer-encoding: chunked\r\n", True),
    ("transfer-encoding: chunked\r\n", False),
    ("", True),
]


@asynccontextmanager
async def run_entry(gateway, held):
    pacer = BulkPacer(get_running_loop(), SMALL_MACHINE.link_mbps)
    server = HttpServer(INITIAL_LIMITS, gateway.handle, held, pacer)
    try:
        yield await server.start("127.0.0.1", 0)
    finally:
        server.close()


async def request_slowly(port):
    """Open a connection that takes few bytes at once, and send a request."""
    raw = socket()
    raw.setsockopt(SOL_SOCKET, SO_RCVBUF, 8192)
    raw.connect(("127.0.0.1", port))
    raw.setblocking(False)
    reader, writer = await open_connection(sock=raw, limit=4096)
    writer.write(
        b"GET /x HTTP/1.1\r\nhost: a.example\r\nid: r1\r\nleft-s: 2\r\nkey: 7\r\n\r\n"
    )
    return reader, writer


async def read_slowly(reader):
    head = await wait_for(reader.readuntil(b"\r\n\r\n"), 3)
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    body = b""
    while len(body) < length:
        data = await wait_for(reader.read(20_000), 3)
        if not data:
            raise IncompleteReadError(body, length)
        body += data
        await sleep(0.002)
    return head, body


@pytest.mark.parametrize(("head", "reset"), TRUNCATIONS)
@pytest.mark.parametrize("idempotent", [True, False])
async def test_truncated_download_never_looks_complete(head, reset, idempotent):
    """Half a signed contract, delivered to a slow reader with a status of success."""
    upstream = Upstream(cut_off(head, reset=reset), answer(body=DOWNLOAD))
    plan = make_plan(keyed=False, idempotent=idempotent, timeout_s=3.0)
    async with (
        run_small_gateway(upstream, plan=plan) as (gateway, held),
        run_entry(gateway, held) as port,
    ):
        reader, writer = await request_slowly(port)
        head, body = await read_slowly(reader)
        if idempotent:
            assert b" 200 " in head and body == DOWNLOAD
            assert len(upstream.requests) == 2
        else:
            assert b" 502 " in head and b"may-have-run" in head
            assert len(upstream.requests) == 1
        writer.close()
        await sleep(0.05)
        assert held.total == 0


async def test_caller_sees_that_an_instance_broke_off_a_download():
    """The caller reads slowly, and the instance ends: bytes are missing."""
    async with run_small_gateway(Upstream(answer(body=DOWNLOAD))) as (gateway, held):
        async with run_entry(gateway, held) as port:
            reader, _ = await request_slowly(port)
            task = create_task(read_slowly(reader))
            await sleep(0.1)
        with pytest.raises((IncompleteReadError, ConnectionError)):
            await task
