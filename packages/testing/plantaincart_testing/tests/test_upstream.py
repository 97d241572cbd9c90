"""Upstream stand-in called over HTTP, in the process of the test."""

from asyncio import gather, sleep, timeout
from collections.abc import AsyncIterator
from pathlib import Path

from plantaincart_router.exception import (
    AnswerLostError,
    AnswerTimeoutError,
    ConnectFailedError,
)
from plantaincart_router.http.client import HttpClient, HttpConnection
from plantaincart_router.http.message import HttpAnswer, HttpRequest
from plantaincart_schema.codec import decode_json, encode_json
from plantaincart_schema.generated.upstream import (
    GrantAnswer,
    GrantRequest,
    UpstreamLoad,
)
from plantaincart_testing.checker import check_at_most_once
from plantaincart_testing.finding import list_executions
from plantaincart_testing.history import EventKind, HistoryWriter, read_history
from plantaincart_testing.upstream import GRANT_PATH, LOAD_PATH, UpstreamHost
from plantaincart_testing.upstream_message import Echo
from plantaincart_testing.upstream_settings import UpstreamFaults, UpstreamSettings
from pytest import mark, raises
from pytest_asyncio import fixture

HOST = "127.0.0.1"
TIMEOUT_S = 5.0
HEADERS = (
    ("plantaincart-fence", "1.1"),
    ("plantaincart-slot", "5"),
    ("plantaincart-service", "s"),
    ("plantaincart-key", "k"),
    ("plantaincart-request", "r"),
    ("plantaincart-deadline-ms", "5000"),
    ("idempotency-key", "c"),
)


class UpstreamFixture:
    def __init__(self, history: Path) -> None:
        self.history = history
        settings = UpstreamSettings(
            name="u", service="s", host=HOST, port=0, wait_limit=2, warm_up_s=0.0
        )
        self.host = UpstreamHost(settings, HistoryWriter(history), True, False)
        self.timeout_s = TIMEOUT_S
        self.http = HttpClient(HOST, 1, TIMEOUT_S)

    async def start(self) -> None:
        await self.host.start()
        self.http = HttpClient(HOST, self.host.port, self.timeout_s)
        await self.grant([5])

    async def grant(self, slots: list[int], epoch: int = 1) -> HttpAnswer:
        clock_ms = decode_json(
            (await self.http.request("GET", GRANT_PATH)).body, GrantAnswer
        ).clock_ms
        grant = GrantRequest(
            service="s",
            epoch=epoch,
            sequence=1,
            slots=slots,
            expires_at_ms=clock_ms + 60_000,
        )
        return await self.http.request("PUT", GRANT_PATH, (), encode_json(grant))

    async def post(self, body: bytes = b"{}", **headers: str) -> HttpAnswer:
        replaced = {f"plantaincart-{key}": value for key, value in headers.items()}
        sent = tuple((name, replaced.get(name, value)) for name, value in HEADERS)
        return await self.http.request("POST", "/s/k", sent, body, self.timeout_s)

    def list_kinds(self) -> list[EventKind]:
        return [event.kind for event in read_history([self.history])]


@fixture
async def upstream(tmp_path: Path) -> AsyncIterator[UpstreamFixture]:
    upstream = UpstreamFixture(tmp_path / "history.jsonl")
    await upstream.start()
    yield upstream
    upstream.http.close()
    upstream.host.stop()


async def test_answer_identifies_its_execution(upstream: UpstreamFixture) -> None:
    echoes = [decode_json((await upstream.post()).body, Echo) for _ in range(2)]
    executions = list_executions(read_history([upstream.history]))
    assert [echo.count for echo in echoes] == [1, 2]
    assert [execution.begin.execution for execution in executions] == [1, 2]
    assert executions[0].fence == (1, 1)
    assert len(check_at_most_once(read_history([upstream.history]))) == 1


@mark.parametrize(
    ("headers", "status"),
    [
        ({"slot": "6"}, 409),
        ({"fence": "2.1"}, 409),
        ({"service": "t"}, 409),
        ({"deadline-ms": "0"}, 504),
        ({"fence": "x"}, 400),
    ],
)
async def test_rejected_request_is_not_run(
    upstream: UpstreamFixture, headers: dict[str, str], status: int
) -> None:
    answer = await upstream.post(**headers)
    assert answer.status == status
    assert EventKind.BEGIN not in upstream.list_kinds()
    if status != 400:
        assert dict(answer.headers)["plantaincart-verdict"] == "not-run"


async def test_lower_fencing_token_is_rejected(upstream: UpstreamFixture) -> None:
    assert (await upstream.grant([5], epoch=2)).status == 200
    assert (await upstream.grant([5], epoch=1)).status == 409
    assert (await upstream.post()).status == 409


async def test_requests_above_the_wait_limit_are_shed(
    upstream: UpstreamFixture,
) -> None:
    upstream.host.set_faults(UpstreamFaults(slow_factor=5.0))
    answers = await gather(*(upstream.post() for _ in range(8)))
    statuses = sorted(answer.status for answer in answers)
    assert statuses == [200] * 4 + [503] * 4
    assert upstream.host.describe().max_in_flight == 4


async def test_load_report_can_be_wrong(upstream: UpstreamFixture) -> None:
    upstream.host.set_faults(UpstreamFaults(reported_load=0.0, reported_in_flight=7))
    answer = await upstream.http.request("GET", LOAD_PATH)
    assert decode_json(answer.body, UpstreamLoad) == UpstreamLoad(in_flight=7, load=0.0)


@mark.parametrize(
    ("faults", "error"),
    [
        (UpstreamFaults(truncate_next=1), AnswerLostError),
        (UpstreamFaults(lose_next=1), AnswerLostError),
        (UpstreamFaults(late_next=1, late_s=60.0), AnswerTimeoutError),
    ],
)
async def test_request_with_faulty_answer_has_run(
    upstream: UpstreamFixture, faults: UpstreamFaults, error: type[Exception]
) -> None:
    upstream.host.set_faults(faults)
    upstream.timeout_s = 0.5 if error is AnswerTimeoutError else TIMEOUT_S
    with raises(error):
        await upstream.post()
    upstream.timeout_s = TIMEOUT_S
    assert (await upstream.post()).status == 200
    assert upstream.list_kinds().count(EventKind.END) == 2


async def test_answer_sent_twice_ends_the_connection(upstream: UpstreamFixture) -> None:
    upstream.host.set_faults(UpstreamFaults(duplicate_next=1))
    assert (await upstream.post()).status == 200
    assert decode_json((await upstream.post(request="r2")).body, Echo).request == "r2"


async def test_silent_connections(upstream: UpstreamFixture) -> None:
    silent = await HttpConnection.open(HOST, upstream.host.port, TIMEOUT_S)
    upstream.host.silence_open()
    with raises(AnswerTimeoutError):
        await silent.exchange(HttpRequest("GET", GRANT_PATH), 0.1)
    fresh = await HttpConnection.open(HOST, upstream.host.port, TIMEOUT_S)
    assert (
        await fresh.exchange(HttpRequest("GET", GRANT_PATH), TIMEOUT_S)
    ).status == 200
    upstream.host.set_faults(UpstreamFaults(silent=True))
    with raises(AnswerTimeoutError):
        await fresh.exchange(HttpRequest("GET", GRANT_PATH), 0.1)


async def test_closed_connection_cancels_execution(upstream: UpstreamFixture) -> None:
    upstream.host.set_faults(UpstreamFaults(slow_factor=10_000.0))
    connection = await HttpConnection.open(HOST, upstream.host.port, TIMEOUT_S)
    with raises(AnswerTimeoutError):
        await connection.exchange(HttpRequest("POST", "/s/k", HEADERS, b""), 0.1)
    async with timeout(5.0):
        while upstream.host.describe().in_flight:  # noqa: ASYNC110
            await sleep(0)
    assert upstream.list_kinds()[-1] is EventKind.CANCELLED


async def test_poison_crashes_and_restart_is_new_incarnation(
    upstream: UpstreamFixture,
) -> None:
    crashed = upstream.host.executor.incarnation
    with raises(AnswerLostError):
        await upstream.post(body=b"poison")
    with raises(ConnectFailedError):
        await upstream.post()
    await upstream.start()
    assert upstream.host.executor.incarnation != crashed
    assert (await upstream.post()).status == 200
    assert EventKind.CRASHED in upstream.list_kinds()
