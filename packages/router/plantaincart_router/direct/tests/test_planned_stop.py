"""
A planned stop of one instance, with its HTTP server on loopback.

The tests guard against requests that came late in the grace period being passed on and
cut at its end without an answer, among them requests that may not be repeated (LOST).
"""

from asyncio import create_task, gather, sleep
from contextlib import asynccontextmanager
from dataclasses import replace
from time import monotonic

import pytest
from plantaincart_router.direct.instance import DirectInstance
from plantaincart_router.direct.interface import Platform
from plantaincart_router.direct.relaycodec import (
    RelayOutcome,
    read_outcome,
    write_relayed,
)
from plantaincart_router.direct.settings import BoundSettings
from plantaincart_router.direct.tests.fakes import (
    MemoryClient,
    MemoryGrants,
    MemoryStore,
    PlainDialect,
    PlainReader,
    make_plan,
    make_record,
    make_settings,
)
from plantaincart_router.direct.tests.memorysystem import find_port
from plantaincart_router.direct.tests.test_gateway import (
    Upstream,
    answer,
    call_gateway,
    make_request,
    run_gateway,
    verdict,
)
from plantaincart_router.http.caller import CallerConnection
from plantaincart_testing.streams import open_connection, start_server

GRACE_S = 3.0
# Times after SIGTERM: connections are still accepted, and a load balancer has stopped.
EARLY_S, LATE_S = 0.3, 2.0
BOUNDS = BoundSettings(shutdown_grace_s=GRACE_S)
# Longer than what is left of the grace period when the late requests are complete.
LONG_WORK_S = 1.9
LONG_DEADLINE_S = 5.0


class QuietClient(MemoryClient):
    """Client of a store in which nothing changes."""

    async def watch(self, table, after, wait_s):
        await sleep(wait_s)
        return await super().watch(table, after, wait_s)


def work(duration_s):
    """Work for a time, whatever deadline the upstream was told."""
    return answer(delay_s=duration_s)


@asynccontextmanager
async def run_instance(*upstreams, idempotent=False):
    settings = replace(
        make_settings("router-1", find_port(), bounds=BOUNDS),
        front_port=find_port(),
        metrics_port=find_port(),
    )
    platform = Platform(
        store=QuietClient(MemoryStore(), "router-1"),
        reader=PlainReader(),
        grants=MemoryGrants({}, "router-1"),
        header_codec=PlainDialect(),
    )
    instance = DirectInstance(settings, platform, "/ready")
    plan = make_plan(keyed=False, idempotent=idempotent, timeout_s=LONG_DEADLINE_S)
    instance.view._adopt_routing_config(plan)
    servers = []
    for number, upstream in enumerate(upstreams):
        servers.append(await start_server(upstream.serve, "127.0.0.1", 0))
        port = servers[-1].sockets[0].getsockname()[1]
        instance.view.directory.put(make_record(f"u{number}", port=port), monotonic())
    await instance.start()
    try:
        yield instance, settings.front_port
    finally:
        instance.close()
        for server in servers:
            server.close()


class Caller:
    """A connection on which one request is sent in parts."""

    def __init__(self, reader, writer):
        self._reader, self._writer = reader, writer

    @classmethod
    async def connect(cls, port):
        return cls(*await open_connection("127.0.0.1", port))

    async def send(self, text):
        self._writer.write(text.encode())
        await self._writer.drain()

    async def read(self):
        """Return status and body of the answer, which must be complete."""
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode().lower()
        lines = head.split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines[1:] if line)
        body = await self._reader.readexactly(int(fields["content-length"]))
        self._writer.close()
        return int(lines[0].split()[1]), body.decode()


def make_head(size=0, left_s=LONG_DEADLINE_S):
    return (
        f"POST /x HTTP/1.1\r\nhost: a.example\r\nid: r1\r\nleft-s: {left_s}\r\n"
        f"content-length: {size}\r\n"
    )


@pytest.mark.parametrize(
    "parts",
    [
        pytest.param((make_head(), "\r\n"), id="head"),
        pytest.param((make_head(4) + "\r\nab", "cd"), id="body"),
    ],
)
async def test_request_that_is_complete_late_is_refused_before_the_end(parts):
    """A POST whose head ended 4.2 s after SIGTERM ran, and was cut at 5.7 s."""
    upstream = Upstream(work(LONG_WORK_S))
    async with run_instance(upstream) as (instance, port):
        caller = await Caller.connect(port)
        stop = create_task(instance.stop())
        await sleep(EARLY_S)
        await caller.send(parts[0])
        reading = create_task(caller.read())
        await sleep(LATE_S - EARLY_S)
        is_refused_early = reading.done()
        if not is_refused_early:
            await caller.send(parts[1])
        status, _ = await reading
        await stop
    assert status == 503
    assert is_refused_early
    assert upstream.requests == []


async def test_request_that_would_take_too_long_is_refused_at_once():
    """It may come in time, and can't be answered in time."""
    upstream = Upstream(work(0.1), work(LONG_WORK_S))
    async with run_instance(upstream) as (instance, port):
        for _ in range(20):
            instance.view.loads.record_work(
                "lookup", "u0", LONG_WORK_S, False, LONG_WORK_S
            )
        stop = create_task(instance.stop())
        await sleep(1.0)
        caller = await Caller.connect(port)
        sent_at = monotonic()
        await caller.send(make_head() + "\r\n")
        status, text = await caller.read()
        assert monotonic() - sent_at < 0.3
        await stop
    assert (status, text) == (503, "the instance stops")
    assert upstream.requests == []


@pytest.mark.parametrize("sent_after_s", [-0.2, EARLY_S])
async def test_request_that_outlasts_the_grace_period_gets_an_answer(sent_after_s):
    """Callers saw a connection that ends, and couldn't tell whether they were read."""
    upstream = Upstream(work(LONG_DEADLINE_S))
    async with run_instance(upstream) as (instance, port):
        caller = await Caller.connect(port)
        if sent_after_s < 0.0:
            await caller.send(make_head() + "\r\n")
            await sleep(-sent_after_s)
        stop = create_task(instance.stop())
        if sent_after_s > 0.0:
            await sleep(sent_after_s)
            await caller.send(make_head() + "\r\n")
        status, _ = await caller.read()
        await stop
    assert status == 504
    assert len(upstream.requests) == 1
    if sent_after_s > 0.0:
        # The upstream can still answer by itself.
        assert float(upstream.requests[0][1]["left-s"]) < GRACE_S - sent_after_s


async def test_request_with_a_short_deadline_is_still_served():
    """It ends in time in any case, and its caller needs no other instance."""
    upstream = Upstream(work(0.1))
    async with run_gateway(upstream, bounds=BOUNDS) as (gateway, view):
        view.shutdown.begin()
        await sleep(GRACE_S / 2 + 0.1)
        response = await call_gateway(gateway, remaining_s=0.8)
    assert response.status == 200


async def test_waiting_request_is_refused_when_it_can_not_be_sent_any_more():
    """A request that waited for room was sent when it could only be cut."""
    upstream = Upstream()
    async with run_gateway(upstream, bounds=BOUNDS, plan=LONG_PLAN) as (gateway, view):

        async def wait_for_room(call):
            await sleep(LONG_DEADLINE_S)

        gateway._selector.find_upstream = wait_for_room
        request = create_task(call_gateway(gateway, remaining_s=LONG_DEADLINE_S))
        await sleep(0.1)
        view.shutdown.begin()
        begun_at = monotonic()
        response = await request
    assert monotonic() - begun_at < GRACE_S / 2 + 0.3
    assert (response.status, verdict(response)) == (503, "not-run")


async def test_request_is_not_sent_again_late():
    """An upstream's refusal late in the grace period led to a run that was cut."""
    late_refusal = answer(503, b"", "not-run: 1\r\n", delay_s=GRACE_S / 2 + 0.2)
    upstream = Upstream(late_refusal, work(LONG_WORK_S))
    async with run_gateway(upstream, bounds=BOUNDS, plan=LONG_PLAN) as (gateway, view):
        view.shutdown.begin()
        response = await call_gateway(gateway, remaining_s=LONG_DEADLINE_S)
    assert (response.status, verdict(response)) == (503, "not-run")
    assert len(upstream.requests) == 1


async def test_silent_request_is_not_repeated_late():
    """A repeat for silence began when it could only be cut."""
    upstreams = [Upstream(work(LONG_DEADLINE_S)), Upstream(work(LONG_DEADLINE_S))]
    plan = make_plan(keyed=False, timeout_s=LONG_DEADLINE_S)
    async with run_gateway(*upstreams, bounds=BOUNDS, plan=plan) as (gateway, view):
        silence = view.silence_fact.find("ledger")
        silence.choose_limit_s = lambda *_: GRACE_S / 2 + 0.2
        view.shutdown.begin()
        response = await call_gateway(gateway, remaining_s=LONG_DEADLINE_S)
    assert response.status == 504
    assert sum(len(upstream.requests) for upstream in upstreams) == 1


async def test_connection_that_opens_late_carries_nothing():
    """The bytes went out as soon as the connection was open, however late."""
    upstream = Upstream(work(LONG_WORK_S))
    async with run_gateway(upstream, bounds=BOUNDS, plan=LONG_PLAN) as (gateway, view):
        pools, opens = gateway._pools, gateway._pools.open

        async def open_late(record, limit_s):
            connection = await opens(record, limit_s)
            await sleep(GRACE_S / 2 + 0.1)
            return connection

        pools.open = open_late
        request = create_task(call_gateway(gateway, remaining_s=LONG_DEADLINE_S))
        await sleep(0.05)
        view.shutdown.begin()
        response = await request
    assert (response.status, verdict(response)) == (503, "not-run")
    assert upstream.requests == []


async def test_relay_that_stops_takes_no_late_request():
    """An instance that is cut off sent through a relay that was about to exit."""
    upstream = Upstream(work(LONG_WORK_S), work(LONG_DEADLINE_S))
    async with run_gateway(upstream, bounds=BOUNDS) as (gateway, view):
        relayed = write_relayed(
            make_request(), view.directory.get("u0"), LONG_DEADLINE_S, False
        )
        view.shutdown.begin()
        early = create_task(gateway.relay.handle(relayed, CallerConnection()))
        await sleep(GRACE_S / 2 + 0.1)
        late = await gateway.relay.handle(relayed, CallerConnection())
        outcomes = [read_outcome(item)[0] for item in (await early, late)]
    assert outcomes == [RelayOutcome.ANSWERED, RelayOutcome.DECLINED]
    assert len(upstream.requests) == 1


async def test_relayed_request_that_outlasts_the_grace_period_is_answered():
    """An asking instance saw the connection to its relay end without an outcome."""
    upstream = Upstream(work(LONG_DEADLINE_S))
    async with run_gateway(upstream, bounds=BOUNDS) as (gateway, view):
        relayed = write_relayed(
            make_request(), view.directory.get("u0"), LONG_DEADLINE_S, False
        )
        request = create_task(gateway.relay.handle(relayed, CallerConnection()))
        await sleep(0.1)
        view.shutdown.begin()
        outcome, _, _ = read_outcome(await request)
    assert outcome is RelayOutcome.TIMED_OUT


async def test_kept_connections_are_closed_with_an_answer_or_unread():
    """A caller on a kept connection sends its next request whenever it likes."""
    upstream = Upstream()
    async with run_instance(upstream) as (instance, port):
        callers = [await Caller.connect(port) for _ in range(12)]
        stop = create_task(instance.stop())

        async def send_after(caller, delay_s):
            await sleep(delay_s)
            try:
                await caller.send(make_head() + "\r\n")
                return (await caller.read())[0]
            except (EOFError, ConnectionError):
                return 0

        answers = await gather(
            *(
                send_after(caller, GRACE_S / 12 * number)
                for number, caller in enumerate(callers)
            )
        )
        await stop
    assert answers.count(200) == len(upstream.requests)
    assert set(answers) <= {200, 503, 0}


LONG_PLAN = make_plan(keyed=False, idempotent=False, timeout_s=LONG_DEADLINE_S)
