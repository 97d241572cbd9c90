"""Requests through the gateway to faulty upstreams on loopback."""

from asyncio import create_task, gather, sleep
from contextlib import asynccontextmanager
from dataclasses import replace
from socket import SO_LINGER, SOL_SOCKET
from struct import pack
from time import monotonic

import pytest
from plantaincart_core.fleetdivision import FleetDivision
from plantaincart_core.ownermap import KEY_COUNT, KeyRange, OwnerMap
from plantaincart_router.direct.gateway import Gateway
from plantaincart_router.direct.metrics import RouterMetrics
from plantaincart_router.direct.pool import UpstreamPools
from plantaincart_router.direct.settings import BoundSettings, SendSettings
from plantaincart_router.direct.store import StoreRow, TableRows
from plantaincart_router.direct.tests.fakes import (
    PlainDialect,
    PlainReader,
    make_plan,
    make_record,
    make_settings,
)
from plantaincart_router.direct.view import SystemView
from plantaincart_router.http.caller import CallerConnection
from plantaincart_router.http.message import HttpRequest, find_header
from plantaincart_testing.streams import start_server


class Upstream:
    """Answers each request by the next script, and records the requests."""

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.requests = []
        self.closed = 0

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                fields = dict(line.split(": ", 1) for line in lines[1:] if line)
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                self.requests.append((lines[0], fields, body))
                script = self.scripts.pop(0) if self.scripts else answer()
                if not await script(reader, writer, fields.get("id", "")):
                    break
        except (EOFError, ConnectionError):
            self.closed += 1
        finally:
            writer.close()


def answer(status=200, body=b"whole", headers="", request_id=None, delay_s=0.0):
    async def script(reader, writer, request_id_sent):
        await sleep(delay_s)
        echoed = request_id_sent if request_id is None else request_id
        head = f"HTTP/1.1 {status} X\r\nid: {echoed}\r\n{headers}"
        writer.write(f"{head}content-length: {len(body)}\r\n\r\n".encode() + body)
        return True

    return script


def not_run(status=503):
    return answer(status, b"", "not-run: 1\r\n")


def close_connection():
    async def script(reader, writer, request_id_sent):
        writer.transport.abort()
        return False

    return script


def truncate_answer():
    async def script(reader, writer, request_id_sent):
        head = (
            f"HTTP/1.1 200 X\r\nid: {request_id_sent}\r\ncontent-length: 10\r\n\r\nhalf"
        )
        writer.write(head.encode())
        return False

    return script


def answer_without_length(body=b"to the end", reset=False):
    async def script(reader, writer, request_id_sent):
        writer.write(f"HTTP/1.1 200 X\r\nid: {request_id_sent}\r\n\r\n".encode() + body)
        await writer.drain()
        if reset:
            await sleep(0.05)
            linger = pack("ii", 1, 0)
            raw = writer.get_extra_info("socket")
            raw.setsockopt(SOL_SOCKET, SO_LINGER, linger)
            writer.transport.abort()
        return False

    return script


def answer_earlier_request_first():
    """Send an answer to an earlier request before the expected one."""

    async def script(reader, writer, request_id_sent):
        for echoed, body in (("earlier", b"wrong"), (request_id_sent, b"right")):
            head = f"HTTP/1.1 200 X\r\nid: {echoed}\r\ncontent-length: 5\r\n\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
            await sleep(0.02)
        return True

    return script


def flood(data):
    """Send bytes until the connection ends."""

    async def script(reader, writer, request_id_sent):
        while True:
            writer.write(data)
            await writer.drain()
            await sleep(0)

    return script


def hang(seconds=5.0):
    async def script(reader, writer, request_id_sent):
        end = create_task(reader.read(1))
        await end
        raise ConnectionError

    return script


class ClosingReader(PlainReader):
    """Reader for which any operator row closes data centre a, that of all upstreams."""

    def read_closed_data_centre(self, row):
        return "a"

    def read_upstream(self, row):
        return make_record(row.key)


@asynccontextmanager
async def run_gateway(*upstreams, plan=None, bounds=None, send=None):
    plan = plan or make_plan(keyed=False)
    settings = make_settings(
        bounds=bounds or BoundSettings(), send=send or SendSettings()
    )
    pools = UpstreamPools(settings.send)
    view = SystemView(settings, PlainReader(), pools)
    view._adopt_routing_config(plan)
    servers = []
    for at, upstream in enumerate(upstreams):
        server = await start_server(upstream.serve, "127.0.0.1", 0)
        upstream.listener = server
        servers.append(server)
        port = server.sockets[0].getsockname()[1]
        view.directory.put(make_record(f"u{at}", port=port), monotonic())
    owner = KeyRange(first=0, last=KEY_COUNT - 1, owner="u0", born=1, fence=1)
    view.owners["ledger"] = OwnerMap([owner])
    try:
        yield Gateway(settings, view, PlainDialect(), pools, RouterMetrics(dict)), view
    finally:
        pools.close()
        for server in servers:
            server.close()


def make_request(request_id="r1", key=7, remaining_s=1.0, host="a.example", body=b""):
    headers = [("host", host), ("id", request_id), ("left-s", str(remaining_s))]
    if key is not None:
        headers.append(("key", str(key)))
    return HttpRequest("POST", "/x", tuple(headers), body)


async def call_gateway(gateway, **fields):
    return await gateway.handle(make_request(**fields), CallerConnection())


def verdict(response):
    return find_header(response.headers, "verdict")


async def test_complete_answer_is_relayed():
    upstream = Upstream(answer(body=b"x" * 5000))
    async with run_gateway(upstream) as (gateway, _):
        response = await call_gateway(gateway, body=b"filing")
    assert (response.status, response.body) == (200, b"x" * 5000)
    assert upstream.requests[0][2] == b"filing"
    assert upstream.requests[0][1]["only"] == "u0"


async def test_remaining_time_is_sent_to_the_upstream():
    upstream = Upstream()
    async with run_gateway(upstream) as (gateway, _):
        await call_gateway(gateway, remaining_s=0.6)
    assert 0.4 < float(upstream.requests[0][1]["left-s"]) <= 0.6


async def test_route_timeout_limits_the_remaining_time():
    upstream = Upstream()
    plan = make_plan(keyed=False, timeout_s=0.3)
    async with run_gateway(upstream, plan=plan) as (gateway, _):
        await call_gateway(gateway, remaining_s=5.0)
    assert float(upstream.requests[0][1]["left-s"]) <= 0.3


async def test_missing_routing_configuration_is_503():
    async with run_gateway(Upstream()) as (gateway, view):
        view.routing_config = view.routes = None
        response = await call_gateway(gateway)
    assert (response.status, verdict(response)) == (503, "not-run")


async def test_first_requests_wait_for_the_configuration():
    """All processes were killed, and callers return at once (pattern kill_all)."""
    async with run_gateway(Upstream()) as (gateway, view):
        configuration, view.routing_config = view.routing_config, None
        task = create_task(call_gateway(gateway))
        await sleep(0.2)
        assert not task.done()
        view.routing_config = configuration
        view._wake_waiters()
        assert (await task).status == 200


async def test_requests_are_refused_at_once_if_no_configuration_comes():
    """An instance that starts in an outage of the store (pattern platform_down)."""
    async with run_gateway(Upstream()) as (gateway, view):
        view.routing_config = None
        gateway._started_at -= 1.0
        started_at = monotonic()
        response = await call_gateway(gateway)
    assert (response.status, verdict(response)) == (503, "not-run")
    assert monotonic() - started_at < 0.1


async def test_no_route_is_404():
    async with run_gateway(Upstream()) as (gateway, _):
        assert (await call_gateway(gateway, host="other.example")).status == 404


@pytest.mark.parametrize(
    "script",
    [close_connection, truncate_answer, lambda: answer_without_length(reset=True)],
)
async def test_lost_non_idempotent_request_may_have_run(script):
    upstream = Upstream(script())
    plan = make_plan(keyed=False, idempotent=False)
    # What takes longer to connect to isn't sent, and hasn't run.
    send = SendSettings(connect_timeout_s=5.0)
    async with run_gateway(upstream, plan=plan, send=send) as (gateway, _):
        response = await call_gateway(gateway)
    assert (response.status, verdict(response)) == (502, "may-have-run")
    assert len(upstream.requests) == 1


@pytest.mark.parametrize("script", [close_connection, truncate_answer])
async def test_lost_idempotent_request_is_retried(script):
    upstream = Upstream(script(), answer())
    async with run_gateway(upstream) as (gateway, _):
        response = await call_gateway(gateway)
    assert response.status == 200
    assert len(upstream.requests) == 2


async def test_answer_without_length_ends_with_its_connection():
    async with run_gateway(Upstream(answer_without_length())) as (gateway, _):
        response = await call_gateway(gateway)
    assert (response.status, response.body) == (200, b"to the end")


async def test_flood_of_bytes_that_are_no_answer_may_have_run():
    """An upstream sends bytes without end instead of an answer (pattern garble)."""
    upstream = Upstream(flood(b"HTTP/1.1 102 Processing\r\n\r\n" * 100))
    plan = make_plan(keyed=False, idempotent=False)
    async with run_gateway(upstream, plan=plan) as (gateway, _):
        started_at = monotonic()
        response = await call_gateway(gateway)
    assert (response.status, verdict(response)) == (502, "may-have-run")
    assert monotonic() - started_at < 0.5
    assert len(upstream.requests) == 1


async def test_answer_to_another_request_is_ignored():
    """A late extra answer must not reach any caller (pattern garble, extra late)."""
    async with run_gateway(Upstream(answer_earlier_request_first())) as (gateway, _):
        response = await call_gateway(gateway)
    assert (response.status, response.body) == (200, b"right")


async def test_shed_request_goes_to_another_upstream():
    first, second = Upstream(*[not_run()] * 3), Upstream(*[not_run()] * 3)
    second.scripts = []
    async with run_gateway(first, second) as (gateway, _):
        response = await call_gateway(gateway)
    assert response.status == 200


async def test_shed_request_of_a_key_is_refused_as_not_run():
    upstream = Upstream(not_run())
    plan = make_plan(keyed=True, idempotent=False)
    async with run_gateway(upstream, plan=plan) as (gateway, _):
        response = await call_gateway(gateway)
    assert (response.status, verdict(response)) == (503, "not-run")
    assert find_header(response.headers, "retry-after") is not None
    assert len(upstream.requests) == 1


async def test_request_shed_by_a_free_owner_is_retried():
    """The health check succeeds, but some requests are shed (srv_grey, shed)."""
    shed = answer(503, b"", "not-run: 1\r\npresent: 0\r\n")
    upstream = Upstream(shed, answer())
    plan = make_plan(keyed=True, idempotent=False)
    async with run_gateway(upstream, plan=plan) as (gateway, view):
        response = await call_gateway(gateway)
        assert view.loads.get("u0").slowness > 1.0
    assert response.status == 200


async def test_retries_stay_within_the_budget():
    """Retries must not multiply when an upstream sheds all requests (srv_grey)."""
    upstream, other = Upstream(*[not_run()] * 100), Upstream(*[not_run()] * 100)
    bounds = BoundSettings(retry_ratio=0.0, retry_extra=5.0)
    async with run_gateway(upstream, other, bounds=bounds) as (gateway, _):
        for at in range(20):
            await call_gateway(gateway, request_id=f"r{at}")
    assert len(upstream.requests) + len(other.requests) <= 25


async def test_hanging_upstream_ends_at_the_deadline():
    plan = make_plan(keyed=False, idempotent=False)
    async with run_gateway(Upstream(hang()), plan=plan) as (gateway, _):
        started_at = monotonic()
        response = await call_gateway(gateway, remaining_s=0.2)
    assert (response.status, verdict(response)) == (504, "may-have-run")
    assert monotonic() - started_at < 0.4


async def test_upstream_that_misses_deadlines_counts_as_slow():
    """Half of the requests took ten times as long (pattern srv_slow, inc-2f01)."""
    upstream = Upstream(*[hang()] * 5)
    plan = make_plan(keyed=True, idempotent=False)
    async with run_gateway(upstream, plan=plan) as (gateway, view):
        for at in range(5):
            response = await call_gateway(gateway, request_id=f"r{at}", remaining_s=0.5)
            assert response.status == 504
        assert view.loads.get("u0").slowness > 1.5
        # The ratio is reported to the coordinator, which moves keys to other upstreams.
        assert view.loads.drain_slowness()["u0"] > 1.5


async def test_caller_that_disconnects_ends_an_idempotent_request():
    upstream = Upstream(hang())
    async with run_gateway(upstream) as (gateway, _):
        caller = CallerConnection()
        task = create_task(gateway.handle(make_request(remaining_s=3.0), caller))
        await sleep(0.1)
        caller.set_disconnected()
        await sleep(0.1)
        assert task.cancelled()
        assert upstream.closed == 1


async def test_request_of_a_disconnected_caller_is_not_sent():
    upstream = Upstream()
    async with run_gateway(upstream) as (gateway, _):
        caller = CallerConnection()
        caller.set_disconnected()
        task = create_task(gateway.handle(make_request(), caller))
        await sleep(0.1)
        assert task.done()
    assert upstream.requests == []


async def test_request_is_parked_while_its_key_moves():
    """Keys move while requests for them arrive (pattern hot_key)."""
    old, new = Upstream(), Upstream()
    async with run_gateway(old, new, plan=make_plan()) as (gateway, view):
        view.owners["ledger"].assign(KeyRange(first=0, last=99))
        task = create_task(call_gateway(gateway, remaining_s=1.0))
        await sleep(0.1)
        view.owners["ledger"].assign(
            KeyRange(first=0, last=99, owner="u1", born=1, fence=2)
        )
        view._wake_waiters()
        assert (await task).status == 200
    assert (len(old.requests), len(new.requests)) == (0, 1)


async def test_request_for_an_unowned_key_is_refused_in_time():
    async with run_gateway(Upstream(), plan=make_plan()) as (gateway, view):
        view.owners["ledger"] = OwnerMap()
        response = await call_gateway(gateway, remaining_s=0.4)
    assert (response.status, verdict(response)) == (503, "not-run")


async def test_keys_of_a_lost_owner_are_refused_at_once_after_a_while():
    """Requests for keys of an unreachable owner arrive steadily (srv_crash)."""
    async with run_gateway(Upstream(), plan=make_plan(timeout_s=4.0)) as (
        gateway,
        view,
    ):
        view.owners["ledger"] = OwnerMap()
        handover_s = gateway._settings.send.handover_s
        await call_gateway(gateway, remaining_s=3.0)
        for _ in range(3):
            started_at = monotonic()
            response = await call_gateway(gateway, remaining_s=3.0)
            assert monotonic() - started_at < 0.1
            assert (response.status, verdict(response)) == (503, "not-run")
            assert float(find_header(response.headers, "retry-after")) >= handover_s / 2
        view.owners["ledger"].assign(
            KeyRange(first=0, last=KEY_COUNT - 1, owner="u0", born=1, fence=2)
        )
        assert (await call_gateway(gateway, remaining_s=3.0)).status == 200


async def test_request_to_an_overloaded_owner_is_refused_at_once():
    """Requests that can't be answered in time must not be queued (pattern burst)."""
    plan = make_plan(idempotent=False)
    async with run_gateway(Upstream(), plan=plan) as (gateway, view):
        view.loads.get("u0").set_peer_in_flight(40, monotonic())
        started_at = monotonic()
        response = await call_gateway(gateway)
    assert (response.status, verdict(response)) == (503, "not-run")
    assert monotonic() - started_at < 0.1
    assert float(find_header(response.headers, "retry-after")) > 0.0


async def test_cold_upstream_gets_no_more_than_its_limit():
    """Many requests find a new upstream at the same time (pattern cold_return)."""
    upstream = Upstream(*[answer(delay_s=0.05)] * 100)
    async with run_gateway(upstream) as (gateway, view):
        port = view.directory.get("u0").port
        view.directory.put(
            make_record("u0", port=port, warmup_left_s=3.0, born=2), monotonic()
        )
        view.list_divisions = lambda now: [FleetDivision(members=2, rank=0)]
        await gather(*(call_gateway(gateway, request_id=f"r{at}") for at in range(40)))
    bounds = BoundSettings()
    bound = 3.0 * bounds.cold_ratio + bounds.cold_extra
    assert 3 <= len(upstream.requests) <= bound / 2 + 1


async def test_restarted_instance_sends_nothing_to_a_closed_data_centre():
    """The data centre was closed long before the start (evacuate, processes lost)."""
    settings = make_settings()
    for closed_first in (True, False):
        view = SystemView(settings, ClosingReader(), UpstreamPools(settings.send))
        upstreams = TableRows(rows=[StoreRow(key="u0", version=1)], version=1)
        closures = TableRows(rows=[StoreRow(key="closed", version=1)], version=1)
        reads = [("operator", closures), ("upstreams", upstreams)]
        for table, rows in reads if closed_first else reversed(reads):
            view.replace_table(table, rows, float("-inf"))
        assert not view.draining.can_serve_keys(view.directory.get("u0"))


@pytest.mark.parametrize(("unnoticed_s", "may_finish"), [(0.5, True), (4.0, False)])
async def test_owner_in_a_closing_data_centre(unnoticed_s, may_finish):
    """The closure is received long after it came into force (pattern core_cut)."""
    settings = make_settings()
    view = SystemView(settings, ClosingReader(), UpstreamPools(settings.send))
    view.replace_table("operator", TableRows(rows=[], version=1), float("-inf"))
    row = StoreRow(key="u0", version=1)
    upstreams = TableRows(rows=[row], version=1)
    view.replace_table("upstreams", upstreams, float("-inf"))
    closure = StoreRow(key="closed", version=2)
    changes = TableRows(rows=[closure], version=2)
    view.change_table("operator", changes, monotonic() - unnoticed_s)
    record = view.directory.get("u0")
    assert not view.directory.accepts_requests(record)
    assert view.draining.can_serve_keys(record) is may_finish


async def test_draining_upstream_gets_no_requests_without_keys():
    upstream = Upstream()
    async with run_gateway(upstream) as (gateway, view):
        port = view.directory.get("u0").port
        view.directory.put(make_record("u0", port=port, ready=False), monotonic())
        response = await call_gateway(gateway)
    assert response.status == 503
    assert upstream.requests == []


async def test_upstream_missing_after_an_outage_is_the_last_choice():
    """An upstream stopped while this instance alone was cut off (node_cut)."""
    stopped, running = Upstream(), Upstream()
    async with run_gateway(stopped, running) as (gateway, view):
        view.handle_store_lost()
        view.handle_store_regained()
        view.directory.remove("u0", monotonic())
        view.loads.get("u1").slowness = 3.0
        for at in range(10):
            assert (await call_gateway(gateway, request_id=f"r{at}")).status == 200
        assert stopped.requests == []
        view.directory.remove("u1", monotonic())
        assert (await call_gateway(gateway)).status == 200


async def test_new_route_is_estimated_by_its_service():
    """The first requests arrive on a new route (pattern config_change, route)."""
    async with run_gateway(Upstream()) as (gateway, view):
        for at in range(20):
            await call_gateway(gateway, request_id=f"r{at}")
        old = view.routing_config.routes[0]
        added = replace(old, name="added", prefix="/x/", target_s=2.0)
        view._adopt_routing_config(
            replace(view.routing_config, version=2, routes=(old, added))
        )
        view.loads.get("u0").set_peer_in_flight(4, monotonic())
        view.loads.get("u0").slowness = 3.0
        request = make_request()
        request = HttpRequest("GET", "/x/y", request.headers, b"")
        response = await gateway.handle(request, CallerConnection())
    assert response.status == 200


async def test_displaced_owner_gets_one_request():
    """A misdirected request burdens another service (pattern replace_with_reuse)."""
    other = Upstream(*[answer(421, b"", "not-run: 1\r\nanswered-by: v9\r\n")] * 50)
    async with run_gateway(other, plan=make_plan()) as (gateway, _):
        for at in range(5):
            response = await call_gateway(gateway, request_id=f"r{at}", remaining_s=0.3)
            assert (response.status, verdict(response)) == (503, "not-run")
    assert len(other.requests) == 1
