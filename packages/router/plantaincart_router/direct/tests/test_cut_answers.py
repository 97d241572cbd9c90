"""Answers that end early on their way through an instance, or through a relay."""

import pytest
from plantaincart_router.direct.relaycodec import (
    RelayOutcome,
    read_outcome,
    write_relayed,
)
from plantaincart_router.direct.settings import SendSettings
from plantaincart_router.direct.tests.fakes import make_plan
from plantaincart_router.direct.tests.test_gateway import (
    Upstream,
    call_gateway,
    make_request,
    run_gateway,
    verdict,
)
from plantaincart_router.http.caller import CallerConnection
from plantaincart_router.http.message import HttpAnswer, HttpRequest
from plantaincart_router.http.server import HttpServer
from plantaincart_schema.generated.settings import EntrySettings
from plantaincart_testing.streams import open_connection

HEAD = "HTTP/1.1 200 OK\r\nid: r1\r\ncontent-length: 12\r\n\r\n"
CHUNKED = "HTTP/1.1 200 OK\r\nid: r1\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n"
# Bytes after which the connection ends.
CUT_ANSWERS = [
    HEAD[:12],
    HEAD[:17],
    HEAD[: HEAD.index("length")],
    HEAD[: HEAD.index("2\r\n\r\n")],
    HEAD[:-4],
    HEAD[:-2],
    HEAD[:-1],
    "HTTP/1.1 103 X\r\n\r\n" + HEAD[:-2],
    HEAD,
    HEAD + "abc",
    CHUNKED,
    CHUNKED + "0\r\n",
    CHUNKED + "0\r\nsum: 1\r\n",
]
# What takes longer to connect to isn't sent, and hasn't run.
SEND = SendSettings(connect_timeout_s=5.0)


def cut_answer(data):
    async def script(reader, writer, request_id_sent):
        writer.write(data.encode())
        return False

    return script


@pytest.mark.parametrize("data", CUT_ANSWERS)
async def test_cut_answer_is_lost(data):
    """Callers got a 200 with an empty or short body, framed as whole."""
    upstream = Upstream(cut_answer(data))
    plan = make_plan(keyed=False, idempotent=False)
    async with run_gateway(upstream, plan=plan, send=SEND) as (gateway, _):
        response = await call_gateway(gateway)
    assert (response.status, verdict(response)) == (502, "may-have-run")
    assert len(upstream.requests) == 1


@pytest.mark.parametrize("data", CUT_ANSWERS)
async def test_cut_answer_is_lost_at_a_relay(data):
    upstream = Upstream(cut_answer(data))
    async with run_gateway(upstream, send=SEND) as (gateway, view):
        record = view.directory.get("u0")
        relayed = write_relayed(make_request(), record, 1.0, False)
        answer = await gateway.relay.handle(relayed, CallerConnection())
    outcome, _, _ = read_outcome(answer)
    assert outcome in (RelayOutcome.LOST, RelayOutcome.CLOSED_AT_ONCE)


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("status", [200, 404, 502])
async def test_answer_to_a_caller_states_its_length(version, method, status):
    """An instance that ends while it writes must not leave a whole answer."""

    async def handle(request: HttpRequest, caller: CallerConnection) -> HttpAnswer:
        headers = (("transfer-encoding", "chunked"), ("content-length", "9"))
        return HttpAnswer(status, headers, b"body")

    server = HttpServer(EntrySettings(host="", port=0), handle)
    reader, writer = await open_connection(
        "127.0.0.1", await server.start("127.0.0.1", 0)
    )
    fields = "Host: x\r\nContent-Length: 0\r\nConnection: close\r\n"
    writer.write(f"{method} / HTTP/{version}\r\n{fields}\r\n".encode())
    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    server.close()
    assert b"\r\ncontent-length: 4" in head
    assert b"transfer-encoding" not in head
    assert body == b"body"
