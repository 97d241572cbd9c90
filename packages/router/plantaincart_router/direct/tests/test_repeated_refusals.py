"""Upstreams that write an earlier refusal once more on a kept connection."""

from time import monotonic

import pytest
from plantaincart_router.direct.relaycodec import read_outcome, write_relayed
from plantaincart_router.direct.tests.fakes import make_plan
from plantaincart_router.direct.tests.test_gateway import (
    call_gateway,
    make_request,
    run_gateway,
    verdict,
)
from plantaincart_router.http.caller import CallerConnection
from plantaincart_router.http.message import HttpRequest, find_header

INTERIM = "HTTP/1.1 102 Processing\r\n\r\n"


def write_answer(status, body="", fields=""):
    head = f"HTTP/1.1 {status} X\r\n{fields}content-length: {len(body)}\r\n\r\n"
    return head + body


def write_refusal(request_id=None, load="present: 0\r\n"):
    echoed = "" if request_id is None else f"id: {request_id}\r\n"
    return write_answer(503, fields=f"{echoed}{load}not-run: 1\r\n")


class RepeatingUpstream:
    """Refuses the first requests, and sends a copy before each later answer."""

    load = "present: 0\r\n"

    def __init__(self, refused=0, make_copy=write_refusal, before="", one_write=False):
        self.refused = refused
        self.make_copy = make_copy
        self.before = before
        self.one_write = one_write
        self.ran = []
        self.requests = []
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        copy = ""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = [line for line in head.split("\r\n")[1:] if line]
                fields = dict(line.split(": ", 1) for line in lines)
                await reader.readexactly(int(fields.get("content-length", 0)))
                request_id = fields.get("id", "")
                self.requests.append(request_id)
                if copy:
                    # The copy arrives where the answer to this request is expected.
                    writer.write((self.before + copy).encode())
                    await writer.drain()
                if self.refused:
                    self.refused -= 1
                    answer = write_refusal(request_id, self.load)
                else:
                    self.ran.append(request_id)
                    answer = write_answer(200, "ran", f"id: {request_id}\r\n")
                copy = self.make_copy(request_id)
                writer.write((answer + copy * self.one_write).encode())
        except (EOFError, ConnectionError):
            pass
        finally:
            writer.close()


def check_promise(response, *upstreams, request_id):
    """A request runs at most once, and never if its caller is told that it didn't."""
    runs = sum(upstream.ran.count(request_id) for upstream in upstreams)
    assert runs <= 1
    assert verdict(response) != "not-run" or not runs


@pytest.mark.parametrize("idempotent", [False, True])
async def test_copy_of_first_refusal_isnt_taken_for_second_attempt(idempotent):
    """Callers were told "not run" for requests that an upstream was running."""
    upstream = RepeatingUpstream(refused=1)
    plan = make_plan(keyed=True, idempotent=idempotent)
    async with run_gateway(upstream, plan=plan) as (gateway, _):
        response = await call_gateway(gateway)
    check_promise(response, upstream, request_id="r1")
    assert (response.status, upstream.ran) == (200, ["r1"])
    assert upstream.connections == 2


@pytest.mark.parametrize("idempotent", [False, True])
async def test_request_whose_id_comes_again_avoids_connection_of_refusal(idempotent):
    """A caller returned with the id of a refused request, and got the refusal again."""
    upstream = RepeatingUpstream(refused=1)
    upstream.load = ""
    plan = make_plan(keyed=True, idempotent=idempotent)
    async with run_gateway(upstream, plan=plan) as (gateway, _):
        first = await call_gateway(gateway)
        assert verdict(first) == "not-run"
        second = await call_gateway(gateway)
    check_promise(second, upstream, request_id="r1")
    assert second.status == 200


async def test_relayed_retry_isnt_answered_by_the_first_refusal():
    """Two attempts through the same relay shared its connection to the upstream."""
    upstream = RepeatingUpstream(refused=1)
    async with run_gateway(upstream) as (gateway, view):
        record = view.directory.get("u0")
        request = write_relayed(make_request(), record, 1.0, False)
        for status in (503, 200):
            relayed = await gateway.relay.handle(request, CallerConnection())
            _, answer, _ = read_outcome(relayed)
            assert answer.status == status
    assert upstream.connections == 2


async def test_connection_with_many_rejections_is_closed():
    """The ids of rejected requests take little memory, and are all remembered."""
    upstream = RepeatingUpstream(refused=65, make_copy=lambda request_id: "")
    async with run_gateway(upstream) as (gateway, view):
        record = view.directory.get("u0")
        for number in range(65):
            request = make_request(request_id=f"r{number}")
            relayed = write_relayed(request, record, 1.0, False)
            await gateway.relay.handle(relayed, CallerConnection())
    assert upstream.connections == 2


COPIES = [
    ("other id", write_refusal, "", False),
    ("no id", lambda request_id: write_refusal(), "", False),
    ("no id, after interim", lambda request_id: write_refusal(), INTERIM, False),
    ("no id, after another's", lambda request_id: write_refusal(),
     write_refusal("other"), False),
    ("two ids", lambda request_id: write_answer(
        503, fields=f"id: r2\r\nid: {request_id}\r\nnot-run: 1\r\n"), "", False),
    ("in one write", write_refusal, "", True),
    ("no id, in one write", lambda request_id: write_refusal(), "", True),
]  # fmt: skip


@pytest.mark.parametrize(
    ("make_copy", "before", "one_write"),
    [row[1:] for row in COPIES],
    ids=[row[0] for row in COPIES],
)
async def test_copy_isnt_taken_for_the_answer_to_the_next_request(
    make_copy, before, one_write
):
    """A refusal that names no request made the next one run at a second upstream."""
    upstream = RepeatingUpstream(0, make_copy, before, one_write)
    other = RepeatingUpstream()
    plan = make_plan(keyed=False, idempotent=False)
    async with run_gateway(upstream, other, plan=plan) as (gateway, view):
        second = view.directory.get("u1")
        view.directory.remove("u1", monotonic())
        await call_gateway(gateway, request_id="r1")
        view.directory.put(second, monotonic())
        response = await call_gateway(gateway, request_id="r2")
    check_promise(response, upstream, other, request_id="r2")
    assert (response.status, response.body) == (200, b"ran")


async def test_refusal_without_id_counts_on_a_new_connection():
    """An upstream that refuses before it reads the request can't echo its id."""
    upstream = RepeatingUpstream()
    upstream.serve = _refuse_without_id
    plan = make_plan(keyed=True, idempotent=False)
    async with run_gateway(upstream, plan=plan) as (gateway, _):
        response = await call_gateway(gateway)
    assert (response.status, verdict(response)) == (503, "not-run")


async def _refuse_without_id(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.write(write_refusal(load="").encode())
    writer.close()


async def test_request_without_id_gets_a_new_connection():
    """No answer on a kept connection can be told to be that of such a request."""
    upstream = RepeatingUpstream()
    request = HttpRequest("POST", "/x", (("host", "a.example"), ("left-s", "1")))
    async with run_gateway(upstream, plan=make_plan(keyed=False)) as (gateway, _):
        await call_gateway(gateway, request_id="r1")
        answer = await gateway.handle(request, CallerConnection())
    assert find_header(answer.headers, "id") == ""
    assert (answer.status, upstream.connections) == (200, 2)
