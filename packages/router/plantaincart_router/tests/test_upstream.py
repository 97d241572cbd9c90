from asyncio import Event, create_task, gather
from collections.abc import AsyncIterator, Callable
from dataclasses import replace

import pytest
from plantaincart_router.control import GRANT_PATH
from plantaincart_router.exception import (
    AnswerMalformedError,
    AnswerTimeoutError,
    ConnectFailedError,
)
from plantaincart_router.http.message import HttpAnswer, HttpRequest, find_header
from plantaincart_router.http.server import CallerConnection, HttpServer
from plantaincart_router.upstream import UpstreamClient
from plantaincart_schema.codec import decode_json, encode_json
from plantaincart_schema.exception import PlantaincartError
from plantaincart_schema.generated.configuration import Upstream
from plantaincart_schema.generated.settings import DispatchSettings, EntrySettings
from plantaincart_schema.generated.upstream import (
    GrantAnswer,
    GrantRequest,
    UpstreamLoad,
)

HOST = "127.0.0.1"
GET = HttpRequest("GET", "/a", (("plantaincart-request", "r1"),))
GRANT = GrantRequest(service="s", epoch=2, sequence=3, slots=[1], expires_at_ms=9)
GRANT_ANSWER = GrantAnswer(
    accepted=True, clock_ms=7, incarnation="i", epoch=2, sequence=3
)


class FakeUpstream:
    def __init__(self) -> None:
        self.ports: set[int] = set()
        self.callers: list[CallerConnection] = []
        self.answer = HttpAnswer(200, (), b"ok")
        self.silent = False
        self.release = Event()
        self.received: list[HttpRequest] = []
        self.server = HttpServer(EntrySettings(host=HOST, port=0), self.handle)

    async def handle(
        self, request: HttpRequest, caller: CallerConnection
    ) -> HttpAnswer:
        self.received.append(request)
        self.callers.append(caller)
        if self.silent:
            await self.release.wait()
        return self.answer

    @property
    def connections(self) -> int:
        return len(set(map(id, self.callers)))

    async def connect(self, **changes: float) -> UpstreamClient:
        port = await self.server.start(HOST, 0)
        upstream = Upstream(
            name="u1", service="s", data_centre="d", host=HOST, port=port, connections=3
        )
        return UpstreamClient(upstream, replace(DispatchSettings(), **changes))


@pytest.fixture
async def fake() -> AsyncIterator[FakeUpstream]:
    upstream = FakeUpstream()
    yield upstream
    upstream.server.close()


async def dispatch(
    client: UpstreamClient,
    idempotent: bool = True,
    timeout_s: float = 5,
    before_write: Callable[[], None] | None = None,
) -> HttpAnswer:
    return await client.dispatch(
        GET, idempotent=idempotent, timeout_s=timeout_s, before_write=before_write
    )


@pytest.mark.parametrize(
    ("fresh_s", "idempotent", "connections"),
    [(60.0, False, 1), (60.0, True, 1), (0.0, False, 3), (0.0, True, 3)],
)
async def test_stale_connections_are_replaced(
    fake: FakeUpstream, fresh_s: float, idempotent: bool, connections: int
) -> None:
    client = await fake.connect(fresh_connection_s=fresh_s)
    for _ in range(3):
        assert (await dispatch(client, idempotent)).body == b"ok"
    assert fake.connections == connections
    client.close()


async def test_idempotent_requests_use_older_connections(
    fake: FakeUpstream, monkeypatch: pytest.MonkeyPatch
) -> None:
    client = await fake.connect(fresh_connection_s=10.0)
    await dispatch(client)
    now = client._loop.time()
    client._idle[0].last_answer_at = now - 20
    await dispatch(client)
    assert fake.connections == 1
    client._idle[0].last_answer_at = now - 20
    await dispatch(client, idempotent=False)
    assert fake.connections == 2
    client.close()


async def test_connections_are_limited(fake: FakeUpstream) -> None:
    client = await fake.connect()
    fake.silent = True
    tasks = [create_task(dispatch(client)) for _ in range(3)]
    with pytest.raises(ConnectFailedError) as caught:
        await tasks[2]
    assert not caught.value.may_have_started
    fake.release.set()
    assert [answer.body for answer in await gather(*tasks[:2])] == [b"ok", b"ok"]
    assert client.connection_count == 2
    client.close()


async def test_timeout_closes_its_connection_and_older_idle_ones(
    fake: FakeUpstream,
) -> None:
    client = await fake.connect()
    await gather(dispatch(client), dispatch(client))
    assert client.connection_count == 2
    fake.silent = True
    with pytest.raises(AnswerTimeoutError):
        await dispatch(client, timeout_s=0.05)
    assert client.connection_count == 0
    client.close()


async def test_nothing_is_sent_if_before_write_raises(
    fake: FakeUpstream,
) -> None:
    client = await fake.connect()

    def raise_error() -> None:
        raise LookupError("lease lost")

    with pytest.raises(LookupError):
        await dispatch(client, before_write=raise_error)
    assert fake.received == []
    await dispatch(client)
    assert fake.connections == 1
    client.close()


@pytest.mark.parametrize("idempotent", [True, False])
async def test_answer_to_another_request_is_malformed(
    fake: FakeUpstream, idempotent: bool
) -> None:
    client = await fake.connect()
    fake.answer = HttpAnswer(200, (("plantaincart-request", "r0"),))
    with pytest.raises(AnswerMalformedError):
        await dispatch(client, idempotent)
    assert client.connection_count == 0
    client.close()


@pytest.mark.parametrize(("status", "accepted"), [(200, True), (409, False)])
async def test_grants_and_clock_use_a_separate_connection(
    fake: FakeUpstream, status: int, accepted: bool
) -> None:
    client = await fake.connect()
    await dispatch(client)
    expected = replace(GRANT_ANSWER, accepted=accepted)
    fake.answer = HttpAnswer(status, (), encode_json(expected))
    assert await client.send_grant(GRANT, 5) == expected
    fake.answer = HttpAnswer(200, (), encode_json(GRANT_ANSWER))
    assert await client.read_clock(5) == GRANT_ANSWER
    assert fake.connections == 2
    put, get = fake.received[1:]
    assert (put.method, put.target, get.method) == ("PUT", GRANT_PATH, "GET")
    assert decode_json(put.body, GrantRequest) == GRANT
    assert find_header(put.headers, "content-type") == "application/json"
    client.close()


@pytest.mark.parametrize(
    ("status", "body"),
    [(200, b""), (200, b"{}"), (200, b"\xff"), (200, b"[]"), (500, b"{}"), (404, b"")],
)
async def test_malformed_grant_answers(
    fake: FakeUpstream, status: int, body: bytes
) -> None:
    client = await fake.connect()
    fake.answer = HttpAnswer(status, (), body)
    for call in (client.send_grant(GRANT, 5), client.read_clock(5)):
        with pytest.raises(AnswerMalformedError):
            await call
    with pytest.raises(AnswerMalformedError):
        await client.read_load(5)
    client.close()


async def test_load_report_and_close(fake: FakeUpstream) -> None:
    client = await fake.connect()
    fake.answer = HttpAnswer(200, (), b'{"in_flight":2,"load":0.5}')
    assert await client.read_load(5) == UpstreamLoad(in_flight=2, load=0.5)
    client.close()
    with pytest.raises(ConnectFailedError):
        await dispatch(client)
    with pytest.raises(ConnectFailedError):
        await client.read_clock(5)


class UpstreamSilentOnOpenConnections(FakeUpstream):
    """Stops answering on open connections once `silent` is set; answers on new ones."""

    async def handle(
        self, request: HttpRequest, caller: CallerConnection
    ) -> HttpAnswer:
        is_old = caller in self.callers
        self.silent = self.silent and is_old
        return await super().handle(request, caller)


@pytest.mark.parametrize(
    "second_write_error", [None, PlantaincartError(), ConnectFailedError()]
)
async def test_idempotent_request_leaves_silent_connection_after_half_its_time(
    second_write_error: Exception | None,
) -> None:
    fake = UpstreamSilentOnOpenConnections()
    client = await fake.connect(fresh_connection_s=10.0)
    await dispatch(client)
    fake.silent = True
    writes = 0

    def check() -> None:
        nonlocal writes
        writes += 1
        if writes == 2 and second_write_error is not None:
            raise second_write_error

    if second_write_error is None:
        assert (await dispatch(client, True, 1.0, check)).body == b"ok"
        assert fake.connections == 2
    else:
        # The first copy may have run, whatever error stops the second one.
        with pytest.raises(AnswerTimeoutError):
            await dispatch(client, True, 1.0, check)
    client.close()
    fake.server.close()


async def test_non_idempotent_request_is_not_sent_again() -> None:
    fake = UpstreamSilentOnOpenConnections()
    client = await fake.connect(fresh_connection_s=10.0)
    await dispatch(client, False)
    fake.silent = True
    with pytest.raises(AnswerTimeoutError):
        await dispatch(client, False, 0.2)
    assert len(fake.received) == 2
    client.close()
    fake.server.close()
