"""Requests through the gateway to upstreams on loopback that misbehave."""

from asyncio import create_task, gather, sleep, start_server
from contextlib import asynccontextmanager
from dataclasses import replace
from socket import SO_LINGER, SOL_SOCKET
from struct import pack
from time import monotonic

import pytest
from plantaincart_core.ownermap import KEYS, KeyRange, OwnerMap
from plantaincart_router.direct.gateway import Gateway
from plantaincart_router.direct.pool import UpstreamPools
from plantaincart_router.direct.settings import BoundSettings
from plantaincart_router.direct.store import StoreRow, TableView
from plantaincart_router.direct.tally import RouterMetrics
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


class Upstream:
    """Answers each request as the next script says; remembers what came."""

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


def answer(status=200, body=b"whole", headers="", request_id=None, pause_s=0.0):
    async def script(reader, writer, sent_id):
        await sleep(pause_s)
        echoed = sent_id if request_id is None else request_id
        head = f"HTTP/1.1 {status} X\r\nid: {echoed}\r\n{headers}"
        writer.write(f"{head}content-length: {len(body)}\r\n\r\n".encode() + body)
        return True

    return script


def not_run(status=503):
    return answer(status, b"", "not-run: 1\r\n")


def break_off():
    async def script(reader, writer, sent_id):
        writer.transport.abort()
        return False

    return script


def cut_short():
    async def script(reader, writer, sent_id):
        head = f"HTTP/1.1 200 X\r\nid: {sent_id}\r\ncontent-length: 10\r\n\r\nhalf"
        writer.write(head.encode())
        return False

    return script


def unframed(body=b"to the end", reset=False):
    async def script(reader, writer, sent_id):
        writer.write(f"HTTP/1.1 200 X\r\nid: {sent_id}\r\n\r\n".encode() + body)
        await writer.drain()
        if reset:
            await sleep(0.05)
            linger = pack("ii", 1, 0)
            raw = writer.get_extra_info("socket")
            raw.setsockopt(SOL_SOCKET, SO_LINGER, linger)
            writer.transport.abort()
        return False

    return script


def extra_first():
    """An answer to an earlier request comes before the one that is due."""

    async def script(reader, writer, sent_id):
        for echoed, body in (("earlier", b"wrong"), (sent_id, b"right")):
            head = f"HTTP/1.1 200 X\r\nid: {echoed}\r\ncontent-length: 5\r\n\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
            await sleep(0.02)
        return True

    return script


def hang(seconds=5.0):
    async def script(reader, writer, sent_id):
        end = create_task(reader.read(1))
        await end
        raise ConnectionError

    return script


class ClosingReader(PlainReader):
    """Any row of operators closes data centre a, where all upstreams are."""

    def read_closed_data_centre(self, row):
        return "a"

    def read_upstream(self, row):
        return make_record(row.key)


@asynccontextmanager
async def run_gateway(*upstreams, plan=None, bounds=None):
    plan = plan or make_plan(keyed=False)
    settings = make_settings(bounds=bounds or BoundSettings())
    pools = UpstreamPools(settings.send)
    view = SystemView(settings, PlainReader(), pools)
    view._adopt_routing_config(plan)
    servers = []
    for at, upstream in enumerate(upstreams):
        server = await start_server(upstream.serve, "127.0.0.1", 0)
        servers.append(server)
        port = server.sockets[0].getsockname()[1]
        view.directory.put(make_record(f"u{at}", port=port), monotonic())
    owner = KeyRange(first=0, last=KEYS - 1, owner="u0", born=1, fence=1)
    view.owners["ledger"] = OwnerMap([owner])
    try:
        yield Gateway(settings, view, PlainDialect(), pools, RouterMetrics(dict)), view
    finally:
        pools.close()
        for server in servers:
            server.close()


def make_request(request_id="r1", key=7, left_s=1.0, host="a.example", body=b""):
    headers = [("host", host), ("id", request_id), ("left-s", str(left_s))]
    if key is not None:
        headers.append(("key", str(key)))
    return HttpRequest("POST", "/x", tuple(headers), body)


async def ask(gateway, **fields):
    return await gateway.handle(make_request(**fields), CallerConnection())


def verdict(given):
    return find_header(given.headers, "verdict")


async def test_answer_is_relayed_whole():
    upstream = Upstream(answer(body=b"x" * 5000))
    async with run_gateway(upstream) as (gateway, _):
        given = await ask(gateway, body=b"filing")
    assert (given.status, given.body) == (200, b"x" * 5000)
    assert upstream.requests[0][2] == b"filing"
    assert upstream.requests[0][1]["only"] == "u0"


async def test_time_left_is_handed_on():
    upstream = Upstream()
    async with run_gateway(upstream) as (gateway, _):
        await ask(gateway, left_s=0.6)
    assert 0.4 < float(upstream.requests[0][1]["left-s"]) <= 0.6


async def test_route_timeout_bounds_the_time_handed_on():
    upstream = Upstream()
    plan = make_plan(keyed=False, timeout_s=0.3)
    async with run_gateway(upstream, plan=plan) as (gateway, _):
        await ask(gateway, left_s=5.0)
    assert float(upstream.requests[0][1]["left-s"]) <= 0.3


async def test_no_plan_is_503_and_not_404():
    async with run_gateway(Upstream()) as (gateway, view):
        view.routing_config = view.routes = None
        given = await ask(gateway)
    assert (given.status, verdict(given)) == (503, "not-run")


async def test_no_route_is_404():
    async with run_gateway(Upstream()) as (gateway, _):
        assert (await ask(gateway, host="other.example")).status == 404


@pytest.mark.parametrize("script", [break_off, cut_short, lambda: unframed(reset=True)])
async def test_lost_filing_is_not_called_not_run(script):
    upstream = Upstream(script())
    plan = make_plan(keyed=False, idempotent=False)
    async with run_gateway(upstream, plan=plan) as (gateway, _):
        given = await ask(gateway)
    assert (given.status, verdict(given)) == (502, "may-have-run")
    assert len(upstream.requests) == 1


@pytest.mark.parametrize("script", [break_off, cut_short])
async def test_lost_lookup_is_sent_again(script):
    upstream = Upstream(script(), answer())
    async with run_gateway(upstream) as (gateway, _):
        given = await ask(gateway)
    assert given.status == 200
    assert len(upstream.requests) == 2


async def test_answer_without_length_ends_with_its_connection():
    async with run_gateway(Upstream(unframed())) as (gateway, _):
        given = await ask(gateway)
    assert (given.status, given.body) == (200, b"to the end")


async def test_answer_to_another_request_is_left_out():
    """Pattern garble (extra late): the spare answer reaches nobody."""
    async with run_gateway(Upstream(extra_first())) as (gateway, _):
        given = await ask(gateway)
    assert (given.status, given.body) == (200, b"right")


async def test_shed_request_goes_to_another_upstream():
    first, second = Upstream(*[not_run()] * 3), Upstream(*[not_run()] * 3)
    second.scripts = []
    async with run_gateway(first, second) as (gateway, _):
        given = await ask(gateway)
    assert given.status == 200


async def test_shed_request_of_a_key_is_refused_as_not_run():
    upstream = Upstream(not_run())
    plan = make_plan(keyed=True, idempotent=False)
    async with run_gateway(upstream, plan=plan) as (gateway, _):
        given = await ask(gateway)
    assert (given.status, verdict(given)) == (503, "not-run")
    assert find_header(given.headers, "retry-after") is not None
    assert len(upstream.requests) == 1


async def test_owner_that_sheds_although_free_is_asked_again():
    """Pattern srv_grey (shed): the health check is good, part of the work is shed."""
    shed = answer(503, b"", "not-run: 1\r\npresent: 0\r\n")
    upstream = Upstream(shed, answer())
    plan = make_plan(keyed=True, idempotent=False)
    async with run_gateway(upstream, plan=plan) as (gateway, view):
        given = await ask(gateway)
        assert view.loads.get("u0").slowness > 1.0
    assert given.status == 200


async def test_repeats_end_with_the_budget():
    """Pattern srv_grey: an upstream sheds all, and repeats must not multiply."""
    upstream, other = Upstream(*[not_run()] * 100), Upstream(*[not_run()] * 100)
    bounds = BoundSettings(retry_ratio=0.0, retry_extra=5.0)
    async with run_gateway(upstream, other, bounds=bounds) as (gateway, _):
        for at in range(20):
            await ask(gateway, request_id=f"r{at}")
    assert len(upstream.requests) + len(other.requests) <= 25


async def test_hanging_upstream_ends_at_the_deadline():
    plan = make_plan(keyed=False, idempotent=False)
    async with run_gateway(Upstream(hang()), plan=plan) as (gateway, _):
        began = monotonic()
        given = await ask(gateway, left_s=0.2)
    assert (given.status, verdict(given)) == (504, "may-have-run")
    assert monotonic() - began < 0.4


async def test_upstream_that_answers_nothing_in_time_counts_as_slow():
    """Pattern srv_slow (inc-2f01): half of them took ten times as long."""
    upstream = Upstream(*[hang()] * 5)
    plan = make_plan(keyed=True, idempotent=False)
    async with run_gateway(upstream, plan=plan) as (gateway, view):
        for at in range(5):
            given = await ask(gateway, request_id=f"r{at}", left_s=0.5)
            assert given.status == 504
        assert view.loads.get("u0").slowness > 1.5
        # The coordinator hears of it, which gives its keys to others.
        assert view.loads.take_ratios()["u0"] > 1.5


async def test_caller_that_leaves_ends_a_lookup():
    upstream = Upstream(hang())
    async with run_gateway(upstream) as (gateway, _):
        caller = CallerConnection()
        task = create_task(gateway.handle(make_request(left_s=3.0), caller))
        await sleep(0.1)
        caller.set_gone()
        await sleep(0.1)
        assert task.cancelled()
        assert upstream.closed == 1


async def test_caller_that_left_before_sends_nothing():
    upstream = Upstream()
    async with run_gateway(upstream) as (gateway, _):
        caller = CallerConnection()
        caller.set_gone()
        task = create_task(gateway.handle(make_request(), caller))
        await sleep(0.1)
        assert task.done()
    assert upstream.requests == []


async def test_request_waits_for_keys_that_move():
    """Pattern hot_key: keys change hands while requests for them come."""
    old, new = Upstream(), Upstream()
    async with run_gateway(old, new, plan=make_plan()) as (gateway, view):
        view.owners["ledger"].assign(KeyRange(first=0, last=99))
        task = create_task(ask(gateway, left_s=1.0))
        await sleep(0.1)
        view.owners["ledger"].assign(
            KeyRange(first=0, last=99, owner="u1", born=1, fence=2)
        )
        view._wake_waiters()
        assert (await task).status == 200
    assert (len(old.requests), len(new.requests)) == (0, 1)


async def test_key_without_owner_is_refused_in_time():
    async with run_gateway(Upstream(), plan=make_plan()) as (gateway, view):
        view.owners["ledger"] = OwnerMap()
        given = await ask(gateway, left_s=0.4)
    assert (given.status, verdict(given)) == (503, "not-run")


async def test_keys_of_a_lost_owner_are_refused_at_once_after_a_while():
    """Pattern srv_crash: an owner is out of reach, its keys are asked for steadily."""
    async with run_gateway(Upstream(), plan=make_plan(timeout_s=4.0)) as (
        gateway,
        view,
    ):
        view.owners["ledger"] = OwnerMap()
        handover_s = gateway._settings.send.handover_s
        await ask(gateway, left_s=3.0)
        for _ in range(3):
            began = monotonic()
            given = await ask(gateway, left_s=3.0)
            assert monotonic() - began < 0.1
            assert (given.status, verdict(given)) == (503, "not-run")
            assert float(find_header(given.headers, "retry-after")) >= handover_s / 2
        view.owners["ledger"].assign(
            KeyRange(first=0, last=KEYS - 1, owner="u0", born=1, fence=2)
        )
        assert (await ask(gateway, left_s=3.0)).status == 200


async def test_full_owner_refuses_at_once():
    """Pattern burst: what can't be served in time isn't held."""
    plan = make_plan(idempotent=False)
    async with run_gateway(Upstream(), plan=plan) as (gateway, view):
        view.loads.get("u0").set_others(40, monotonic())
        began = monotonic()
        given = await ask(gateway)
    assert (given.status, verdict(given)) == (503, "not-run")
    assert monotonic() - began < 0.1
    assert float(find_header(given.headers, "retry-after")) > 0.0


async def test_cold_upstream_gets_no_more_than_it_bears():
    """Pattern cold_return: many requests find a new upstream at one moment."""
    upstream = Upstream(*[answer(pause_s=0.05)] * 100)
    async with run_gateway(upstream) as (gateway, view):
        port = view.directory.get("u0").port
        view.directory.put(
            make_record("u0", port=port, warmup_left_s=3.0, born=2), monotonic()
        )
        view.members, view.rank = 2, 0
        await gather(*(ask(gateway, request_id=f"r{at}") for at in range(40)))
    bounds = BoundSettings()
    bound = 3.0 * bounds.cold_ratio + bounds.cold_extra
    assert len(upstream.requests) <= bound / 2 + 1


async def test_restarted_instance_gives_a_closed_data_centre_no_grace():
    """Pattern evacuate with all processes lost: it was closed long before the start."""
    settings = make_settings()
    for closed_first in (True, False):
        view = SystemView(settings, ClosingReader(), UpstreamPools(settings.send))
        upstreams = TableView(rows=[StoreRow(key="u0", version=1)], version=1)
        closures = TableView(rows=[StoreRow(key="closed", version=1)], version=1)
        reads = [("operator", closures), ("upstreams", upstreams)]
        for table, rows in reads if closed_first else reversed(reads):
            view.replace_table(table, rows, float("-inf"))
        assert not view.can_serve_keys(view.directory.get("u0"))


@pytest.mark.parametrize(("unknown_s", "may_finish"), [(0.5, True), (4.0, False)])
async def test_owner_of_a_data_centre_that_closes(unknown_s, may_finish):
    """Pattern core_cut: the closure comes late, and has been in force for long."""
    settings = make_settings()
    view = SystemView(settings, ClosingReader(), UpstreamPools(settings.send))
    view.replace_table("operator", TableView(rows=[], version=1), float("-inf"))
    row = StoreRow(key="u0", version=1)
    upstreams = TableView(rows=[row], version=1)
    view.replace_table("upstreams", upstreams, float("-inf"))
    closure = StoreRow(key="closed", version=2)
    changes = TableView(rows=[closure], version=2)
    view.change_table("operator", changes, monotonic() - unknown_s)
    record = view.directory.get("u0")
    assert not view.directory.can_work(record)
    assert view.can_serve_keys(record) is may_finish


async def test_leaving_upstream_gets_no_unkeyed_work():
    upstream = Upstream()
    async with run_gateway(upstream) as (gateway, view):
        port = view.directory.get("u0").port
        view.directory.put(make_record("u0", port=port, ready=False), monotonic())
        given = await ask(gateway)
    assert given.status == 503
    assert upstream.requests == []


async def test_upstream_that_vanished_in_an_outage_is_the_last_choice():
    """Pattern node_cut: an upstream left while this instance alone was cut off."""
    gone, left = Upstream(), Upstream()
    async with run_gateway(gone, left) as (gateway, view):
        view.handle_store_lost()
        view.handle_store_regained()
        view.directory.remove("u0", monotonic())
        view.loads.get("u1").slowness = 3.0
        for at in range(10):
            assert (await ask(gateway, request_id=f"r{at}")).status == 200
        assert gone.requests == []
        view.directory.remove("u1", monotonic())
        assert (await ask(gateway)).status == 200


async def test_new_route_is_taken_to_work_as_long_as_its_service():
    """Pattern config_change (route): a few requests come on a route just added."""
    async with run_gateway(Upstream()) as (gateway, view):
        for at in range(20):
            await ask(gateway, request_id=f"r{at}")
        old = view.routing_config.routes[0]
        added = replace(old, name="added", prefix="/x/", target_s=2.0)
        view._adopt_routing_config(
            replace(view.routing_config, version=2, routes=(old, added))
        )
        view.loads.get("u0").set_others(4, monotonic())
        view.loads.get("u0").slowness = 3.0
        request = make_request()
        request = HttpRequest("GET", "/x/y", request.headers, b"")
        given = await gateway.handle(request, CallerConnection())
    assert given.status == 200


async def test_displaced_owner_is_asked_once():
    """Pattern replace_with_reuse: each request there counts for another service."""
    other = Upstream(*[answer(421, b"", "not-run: 1\r\nanswered-by: v9\r\n")] * 50)
    async with run_gateway(other, plan=make_plan()) as (gateway, _):
        for at in range(5):
            given = await ask(gateway, request_id=f"r{at}", left_s=0.3)
            assert (given.status, verdict(given)) == (503, "not-run")
    assert len(other.requests) == 1
