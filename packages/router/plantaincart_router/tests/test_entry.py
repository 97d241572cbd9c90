from asyncio import CancelledError, Event, create_task, sleep, wait_for
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest
from plantaincart_core.configuration import EMPTY_CONFIGURATION
from plantaincart_core.route import RouteTable
from plantaincart_core.slot import find_shard, find_slot
from plantaincart_core.verdict import Reason, RefusedError, Verdict, refuse_not_run
from plantaincart_router.entry import Entry
from plantaincart_router.forwarder import Forwarder
from plantaincart_router.http.caller import CallerConnection
from plantaincart_router.http.message import (
    Header,
    HttpAnswer,
    HttpRequest,
    find_header,
)
from plantaincart_router.metrics import Metrics
from plantaincart_schema.codec import decode_json
from plantaincart_schema.generated.configuration import KeyRule, KeySource, Service
from plantaincart_schema.generated.mesh import Answer, Request
from plantaincart_schema.generated.settings import EntrySettings
from plantaincart_schema.generated.upstream import Problem

WaitUntil = Callable[[Callable[[], object]], Awaitable[None]]
SETTINGS = EntrySettings(host="127.0.0.1", port=0, max_in_flight=2, max_deadline_s=30)
KEYED = Service(
    name="desk",
    key=KeyRule(source=KeySource.path_segment, segment=0),
    path_prefix="/desk",
    shards=3,
)
UNKEYED = Service(
    name="haul",
    key=KeyRule(source=KeySource.none),
    path_prefix="/haul",
    idempotency_key_required=False,
)
ROUTES = RouteTable(replace(EMPTY_CONFIGURATION, services=[KEYED, UNKEYED]))
HOST = ("host", "router:80")


class ScriptedForwarder(Forwarder):
    """Answers as set in `outcome`: fields of an answer, an error, or None to wait."""

    def __init__(self) -> None:
        self.outcome: Exception | dict[str, object] | None = {}
        self.requests: list[Request] = []
        self.remaining_s: list[float] = []
        self.cancelled = Event()
        self.release = Event()
        self.now: Callable[[], float] = lambda: 0.0

    async def forward(self, request: Request, deadline_at: float) -> Answer:
        self.requests.append(request)
        self.remaining_s.append(deadline_at - self.now())
        if isinstance(self.outcome, Exception):
            raise self.outcome
        if self.outcome is None:
            try:
                await self.release.wait()
            except CancelledError:
                self.cancelled.set()
                await self.release.wait()
        values: dict[str, object] = {
            "id": request.id,
            "status": 200,
            "headers": [["X-A", "1"], ["Connection", "x-hop"], ["x-hop", "1"]],
            "body": b"whole",
            "verdict": Verdict.ran,
            **(self.outcome or {}),
        }
        return Answer(**values)  # type: ignore[arg-type]


class EntryHarness:
    def __init__(self) -> None:
        self.forwarder = ScriptedForwarder()
        self.metrics = Metrics("router-1")
        self.entry = Entry(SETTINGS, lambda: ROUTES, self.forwarder, self.metrics)
        self.forwarder.now = self.entry._loop.time
        self.caller = CallerConnection()

    async def send(
        self, target: str, *headers: Header, method: str = "GET", body: bytes = b""
    ) -> HttpAnswer:
        request = HttpRequest(method, target, (HOST, *headers), body)
        return await self.entry.handle(request, self.caller)


@pytest.fixture
async def harness() -> EntryHarness:
    return EntryHarness()


def read_problem(answer: HttpAnswer) -> tuple[int, str, str]:
    problem = decode_json(answer.body, Problem)
    assert problem.status == answer.status
    verdict = find_header(answer.headers, "plantaincart-verdict")
    assert problem.verdict == verdict
    return answer.status, problem.type.rpartition(":")[2], problem.verdict


async def test_request_is_converted_and_answer_is_relayed(
    harness: EntryHarness,
) -> None:
    answer = await harness.send(
        "/desk/k%201/x?full=1",
        ("connection", "close, x-hop"),
        ("x-hop", "1"),
        ("plantaincart-fence", "9.9"),
        ("request-timeout-ms", "1500"),
        ("idempotency-key", "once"),
        ("x-b", "2"),
        method="POST",
        body=b"filing",
    )
    request = harness.forwarder.requests[0]
    assert (request.service, request.key, request.idempotent) == ("desk", "k 1", False)
    assert request.slot == find_slot("k 1", KEYED.slots)
    assert request.shard == find_shard(request.slot, KEYED.slots, KEYED.shards)
    assert request.headers == [list(HOST), ["idempotency-key", "once"], ["x-b", "2"]]
    assert (request.body, request.idempotency_key) == (b"filing", "once")
    assert request.deadline_ms == 1500
    assert (answer.status, answer.body) == (200, b"whole")
    assert answer.headers == (
        ("x-a", "1"),
        ("plantaincart-verdict", "ran"),
        ("plantaincart-request", request.id),
    )
    assert b'answers_total{reason="",service="desk",verdict="ran"} 1.0' in (
        harness.metrics.render()
    )


TOO_MANY_DIGITS = "1" * 13
INVALID_REQUESTS: list[tuple[str, str, Header, int, str]] = [
    ("GET", "/none", ("x", "1"), 404, "no-route"),
    ("GET", "/desk", ("x", "1"), 400, "key-missing"),
    ("GET", "/desk/%00", ("x", "1"), 400, "key-missing"),
    ("POST", "/desk/k", ("x", "1"), 400, "idempotency-key-missing"),
    ("POST", "/desk/k", ("idempotency-key", ""), 400, "bad-request"),
    ("POST", "/desk/k", ("idempotency-key", "k" * 256), 400, "bad-request"),
    ("POST", "/desk/k", ("idempotency-key", "\xe9"), 400, "bad-request"),
    *[
        ("GET", "/desk/k", ("request-timeout-ms", value), 400, "bad-request")
        for value in ("0", "-1", "1.5", "", "soon", "1e3", "\u0661", TOO_MANY_DIGITS)
    ],
]


@pytest.mark.parametrize(
    ("method", "target", "header", "status", "reason"), INVALID_REQUESTS
)
async def test_invalid_requests_are_rejected_as_not_run(
    harness: EntryHarness,
    method: str,
    target: str,
    header: Header,
    status: int,
    reason: str,
) -> None:
    answer = await harness.send(target, header, method=method)
    assert read_problem(answer) == (status, reason, "not-run")
    assert harness.forwarder.requests == []


async def test_conflicting_header_values_are_rejected(harness: EntryHarness) -> None:
    keys = (("idempotency-key", "a"), ("idempotency-key", "b"))
    answer = await harness.send("/desk/k", *keys, method="POST")
    assert read_problem(answer) == (400, "bad-request", "not-run")


@pytest.mark.parametrize(
    ("header", "deadline_ms"),
    [(("x", "1"), 10_000), (("request-timeout-ms", "999999"), 30_000)],
)
async def test_deadline_has_a_default_and_an_upper_bound(
    harness: EntryHarness, header: Header, deadline_ms: float
) -> None:
    await harness.send("/desk/k", header)
    assert harness.forwarder.requests[0].deadline_ms == deadline_ms
    assert harness.forwarder.remaining_s[0] == pytest.approx(deadline_ms / 1000, abs=1)


async def test_slot_of_unkeyed_service_depends_on_idempotency_key(
    harness: EntryHarness,
) -> None:
    for _ in range(2):
        await harness.send("/haul", ("idempotency-key", "once"), method="POST")
    await harness.send("/haul", method="POST")
    slots = [request.slot for request in harness.forwarder.requests]
    assert slots[:2] == [find_slot("once", UNKEYED.slots)] * 2
    fingerprints = {request.fingerprint for request in harness.forwarder.requests}
    assert len(fingerprints) == 1


REFUSAL = refuse_not_run(Reason.QUEUE_FULL, "full", 0.2)
NOT_RUN = {"verdict": Verdict.not_run, "status": 503, "reason": "no-leader"}
OUTCOMES = [
    ("refusal", RefusedError(REFUSAL), 503, "queue-full", "not-run", "1"),
    ("error", ValueError("x"), 500, "outcome-unknown", "may-have-run", None),
    ("cancelled", CancelledError(), 500, "outcome-unknown", "may-have-run", None),
    ("other request", {"id": "other"}, 500, "outcome-unknown", "may-have-run", None),
    ("status", {"status": 101}, 500, "outcome-unknown", "may-have-run", None),
    ("refused", NOT_RUN, 503, "no-leader", "not-run", None),
    ("wait", {**NOT_RUN, "retry_after_s": 2.1}, 503, "no-leader", "not-run", "3"),
    ("new reason", {**NOT_RUN, "reason": "x"}, 503, "outcome-unknown", "not-run", None),
]


@pytest.mark.parametrize(
    ("outcome", "status", "reason", "verdict", "retry_after"),
    [row[1:] for row in OUTCOMES],
    ids=[row[0] for row in OUTCOMES],
)
async def test_forwarder_outcomes_become_answers(
    harness: EntryHarness,
    outcome: Exception | dict[str, object],
    status: int,
    reason: str,
    verdict: str,
    retry_after: str | None,
) -> None:
    harness.forwarder.outcome = outcome
    answer = await harness.send("/desk/k")
    assert read_problem(answer) == (status, reason, verdict)
    assert find_header(answer.headers, "retry-after") == retry_after
    assert harness.entry.in_flight == 0


async def test_stuck_forwarder_gives_504_soon_after_the_deadline(
    harness: EntryHarness,
) -> None:
    harness.forwarder.outcome = None
    answer = await wait_for(harness.send("/desk/k", ("request-timeout-ms", "1")), 5)
    assert read_problem(answer) == (504, "deadline-passed", "may-have-run")
    await harness.forwarder.cancelled.wait()
    assert harness.entry.in_flight == 1
    harness.forwarder.release.set()
    await sleep(0)
    await sleep(0)
    assert harness.entry.in_flight == 0


async def test_disconnect_of_caller_cancels_the_forwarder(
    harness: EntryHarness, wait_until: WaitUntil
) -> None:
    harness.forwarder.outcome = None
    task = create_task(harness.send("/desk/k"))
    await wait_until(lambda: harness.forwarder.requests)
    harness.caller.set_disconnected()
    await harness.forwarder.cancelled.wait()
    assert read_problem(await task) == (409, "outcome-unknown", "may-have-run")
    harness.forwarder.release.set()
    assert b'callers_gone_total{service="desk"} 1.0' in harness.metrics.render()


async def test_requests_in_flight_are_limited(harness: EntryHarness) -> None:
    harness.forwarder.outcome = None
    tasks = [
        create_task(harness.send("/desk/k")) for _ in range(SETTINGS.max_in_flight)
    ]
    await sleep(0)
    answer = await harness.send("/desk/k")
    assert read_problem(answer) == (503, "too-many-requests-in-flight", "not-run")
    assert find_header(answer.headers, "retry-after") == "1"
    harness.forwarder.release.set()
    assert [(await task).status for task in tasks] == [200, 200]
