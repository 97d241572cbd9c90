"""Explanations of decisions: each reason, agreement with the gateway, no effects."""

from asyncio import create_task, gather, run, sleep, wait
from contextlib import ExitStack, asynccontextmanager, contextmanager
from dataclasses import replace
from sys import modules
from time import monotonic
from unittest.mock import Mock, patch

import pytest
from eliot import add_destinations, remove_destination
from hypothesis import given, settings
from hypothesis import strategies as st
from plantaincart_core.account import ClientAccount, digest_key
from plantaincart_core.accountquota import AccountShare
from plantaincart_core.ownermap import KEY_COUNT, KeyRange, OwnerMap
from plantaincart_core.rank import Rank
from plantaincart_core.roomshare import RoomGrant
from plantaincart_core.traffic import WeightedService
from plantaincart_core.upstreamload import LoadSettings
from plantaincart_router.direct.clock import read_boot_time
from plantaincart_router.direct.coordinator import SEQUENCE_BITS
from plantaincart_router.direct.crashledger import Loss
from plantaincart_router.direct.fingerprint import fingerprint_request
from plantaincart_router.direct.gateway import Gateway
from plantaincart_router.direct.metrics import RouterMetrics
from plantaincart_router.direct.pool import UpstreamPools
from plantaincart_router.direct.tests.fakes import (
    PlainDialect,
    PlainReader,
    make_plan,
    make_record,
    make_settings,
)
from plantaincart_router.direct.tests.statedump import dump_state
from plantaincart_router.direct.view import SystemView
from plantaincart_router.direct.where.explainer import RequestExplainer
from plantaincart_router.direct.where.handler import WhereHandler
from plantaincart_router.direct.where.question import (
    HEADER_FIELD,
    InvalidQuestionError,
    Question,
)
from plantaincart_router.http.caller import CallerConnection
from plantaincart_router.http.message import HttpAnswer, HttpRequest, find_header
from plantaincart_schema.codec import decode_json
from plantaincart_schema.generated.where import Explanation, QuestionProblem

DEPOT = ClientAccount(
    name="depot",
    key_digests=frozenset([digest_key("secret")]),
    priority=2,
    rate_per_s=10.0,
    burst=10.0,
)


class RecordingSender:
    """Stands for upstreams that answer at once."""

    def __init__(self, gate):
        self.gate = gate
        self.upstreams = []
        self.listener = None

    def close(self):
        pass

    async def send(self, call, record):
        self.upstreams.append(record.id)
        self.gate.release(record)
        return HttpAnswer(200)


class Case:
    """A gateway without upstreams, and the explainer over its state."""

    def __init__(self, **fields):
        self.settings = make_settings(**fields)
        self.pools = UpstreamPools(self.settings.send)
        self.view = SystemView(self.settings, PlainReader(), self.pools)
        self.gateway = Gateway(
            self.settings,
            self.view,
            PlainDialect(),
            self.pools,
            RouterMetrics(dict),
        )
        self.sender = self.gateway.silence = RecordingSender(self.view.room)
        self.explainer = RequestExplainer(
            self.settings, self.view, PlainDialect(), self.gateway.decision_parts
        )

    def adopt(self, **fields):
        self.view._adopt_routing_config(make_plan(**fields))

    def add(self, name, **fields):
        record = make_record(name, **fields)
        self.view.directory.put(record, monotonic())
        return record

    def own(self, name, fence=1):
        owner = KeyRange(first=0, last=KEY_COUNT - 1, owner=name, born=1, fence=fence)
        self.view.owners["ledger"] = OwnerMap([owner])

    def occupy(self, name, count):
        self.view.loads.record_in_flight(name, count, 2, monotonic())

    async def explain(self, request=None, service=""):
        request = request or make_request()
        return await self.explainer.explain(Question(request=request, service=service))

    async def decide(self, request=None):
        explanation = await self.explain(request)
        return explanation.refusal or explanation.services[0].decision

    async def handle(self, request=None):
        """Return what the gateway answers at once; None if the request waits."""
        request = request or make_request()
        task = create_task(self.gateway.handle(request, CallerConnection()))
        done, _ = await wait([task], timeout=0.02)
        if done:
            return task.result()
        task.cancel()
        await gather(task, return_exceptions=True)
        return None


@asynccontextmanager
async def open_case(**fields):
    case = Case(**fields)
    try:
        yield case
    finally:
        case.gateway.close()
        case.pools.close()


def make_request(key=7, account_key=None, left_s=1.0, host="a.example"):
    headers = [("host", host), ("left-s", str(left_s))]
    if key is not None:
        headers.append(("key", str(key)))
    if account_key is not None:
        headers.append(("account-key", account_key))
    return HttpRequest("GET", "/x", tuple(headers))


@pytest.fixture(autouse=True)
def stop_clocks():
    """Stop the time for all modules, so that nothing expires between two decisions."""
    now, boot_time = monotonic(), read_boot_time()
    with ExitStack() as patches:
        for name, module in list(modules.items()):
            if not name.startswith(("plantaincart_", __name__)):
                continue
            for clock, value in (("monotonic", now), ("read_boot_time", boot_time)):
                if hasattr(module, clock):
                    stopped = Mock(return_value=value)
                    patches.enter_context(patch.object(module, clock, stopped))
        yield


@contextmanager
def collect_events():
    """Collect what is logged."""
    events = []
    add_destinations(events.append)
    # What was logged before the first destination comes at once.
    events.clear()
    try:
        yield events
    finally:
        remove_destination(events.append)


def divide_room(case, units):
    grant = RoomGrant(
        epoch=1,
        version=1,
        units=units,
        rooms={"ledger": 2},
        asked_at=monotonic(),
    )
    case.view.room.share.apply(grant)


def name_limit(case, record, told_wait_s):
    quotas, now = case.view.quotas, monotonic()
    quotas.record_answer(record, 5.0, now, now)
    quotas._told_waits[record.id, record.born] = (told_wait_s, now, 0)


def no_configuration(case):
    pass


def no_route(case):
    case.adopt(keyed=False)
    return make_request(host="other.example")


def unknown_account(case):
    case.adopt(keyed=False, accounts=[DEPOT])
    return make_request(account_key="wrong")


def quota_used_up(case):
    case.adopt(keyed=False, accounts=[DEPOT])
    case.add("u0")
    shares = [AccountShare("depot", 0, 0.0, 2.0)]
    case.view.account_fact.quotas.apply(shares, read_boot_time(), is_led=True)
    return make_request(account_key="secret")


def quota_of_instance_alone(case):
    case.adopt(keyed=False, accounts=[DEPOT])
    case.add("u0")
    return make_request(account_key="secret")


def token_wanted(case):
    case.view.account_fact.quotas.apply([], read_boot_time(), is_led=True)
    return quota_of_instance_alone(case)


def token_held(case):
    token_wanted(case)
    shares = [AccountShare("depot", 3, 1.0, 0.0)]
    case.view.account_fact.quotas.apply(shares, read_boot_time(), is_led=True)
    return make_request(account_key="secret")


def service_not_described(case):
    plan = make_plan(keyed=False)
    case.view._adopt_routing_config(replace(plan, services={}))


def quarantined(case):
    case.adopt(keyed=False)
    request = make_request()
    fingerprint = fingerprint_request(request, "ledger")
    for name in ("u1", "u2", "u3", "u4"):
        loss = Loss(fingerprint=fingerprint, request_id="1", record=make_record(name))
        case.view.crashes.record_crash(loss, monotonic())


def cut_by_rank(case):
    case.adopt(keyed=False)
    case.add("u0")
    case.view.rank_fact._told = {"ledger": {Rank(0, 1): 0.2}}
    case.view.rank_fact._told_at = monotonic()


def cut_by_rank_while_the_coordinator_is_silent(case):
    cut_by_rank(case)
    case.view.rank_fact._told_at -= 60.0


def free_upstream(case):
    case.adopt(keyed=False)
    case.add("u0")


def no_upstream(case):
    case.adopt(keyed=False)


def only_draining(case):
    case.adopt(keyed=False)
    case.add("u0", ready=False)


def all_backed_off(case):
    case.adopt(keyed=False)
    record = case.add("u0")
    case.view.backoffs.record(record, 5.0, monotonic())


def all_cold(case):
    case.adopt(keyed=False)
    record = case.add("u0", warmup_left_s=30.0)
    for _ in range(30):
        case.gateway.decision_parts.cold_limiter.record(record.id, monotonic())


def all_busy(case):
    case.adopt(keyed=False)
    for name in ("u0", "u1"):
        case.add(name)
        case.occupy(name, 40)


def room_wanted(case):
    case.adopt(keyed=False)
    case.add("u0")
    divide_room(case, {"u0": 0})


def room_too_late(case):
    room_wanted(case)
    return make_request(left_s=0.15)


def permit_wanted(case):
    case.adopt(keyed=False)
    name_limit(case, case.add("u0"), 0.2)


def permit_too_late(case):
    case.adopt(keyed=False)
    name_limit(case, case.add("u0"), 60.0)


def key_missing(case):
    case.adopt(keyed=True)
    return make_request(key=None)


def owned(case):
    case.adopt(keyed=True)
    case.add("u0")
    case.own("u0", fence=(5 << SEQUENCE_BITS) + 3)


def key_moves(case):
    case.adopt(keyed=True)
    case.own("")
    key_range = KeyRange(first=0, last=KEY_COUNT - 1)
    case.view.unowned.set_expected_at("ledger", key_range, monotonic() + 0.1)


def key_unowned_for_long(case):
    case.adopt(keyed=True)
    case.own("")
    key_range = KeyRange(first=0, last=KEY_COUNT - 1)
    case.view.unowned.set_expected_at("ledger", key_range, monotonic() + 30.0)


def owner_backed_off(case):
    case.adopt(keyed=True)
    record = case.add("u0")
    case.own("u0")
    case.view.backoffs.record(record, 5.0, monotonic())


def owner_unreachable(case):
    case.adopt(keyed=True)
    record = case.add("u0")
    case.own("u0")
    case.pools.connect_failures.record_failure(record, monotonic())


def owner_cold(case):
    all_cold(case)
    case.view.routing_config = case.view.routes = None
    case.adopt(keyed=True)
    case.own("u0")


def owner_busy(case):
    case.adopt(keyed=True)
    case.add("u0")
    case.own("u0")
    case.occupy("u0", 40)


REASONS = [
    (no_configuration, "refused", "no-route", "no configuration"),
    (no_route, "refused", "no-route", "no route for host and path"),
    (unknown_account, "refused", "account-unknown", "no account holds the key"),
    (quota_used_up, "refused", "rate-limited", "quota of the account"),
    (quota_of_instance_alone, "refused", "rate-limited", "own share"),
    (token_wanted, "waits", "token", ""),
    (token_held, "sent", "u0", ""),
    (service_not_described, "refused", "no-route", "service not described"),
    (quarantined, "refused", "quarantined", "upstreams ended"),
    (cut_by_rank, "refused", "queue-full", "share 0.20 of rank 0/1"),
    (cut_by_rank_while_the_coordinator_is_silent, "refused", "queue-full", "share"),
    (free_upstream, "sent", "u0", ""),
    (no_upstream, "refused", "upstream-unreachable", "no upstream may be given"),
    (only_draining, "refused", "upstream-unreachable", "no upstream may be given"),
    (all_backed_off, "refused", "queue-full", "as requested by u0"),
    (all_cold, "refused", "upstream-unreachable", "no upstream may be given"),
    (all_busy, "refused", "queue-full", "expected wait"),
    (room_wanted, "waits", "room", ""),
    (room_too_late, "refused", "queue-full", "no room after"),
    (permit_wanted, "waits", "permit", ""),
    (permit_too_late, "refused", "queue-full", "expected wait"),
    (key_missing, "refused", "key-missing", "divided by key"),
    (owned, "sent", "u0", ""),
    (key_moves, "waits", "owner", ""),
    (key_unowned_for_long, "refused", "no-owner", "expected in"),
    (owner_backed_off, "refused", "queue-full", "as requested by u0"),
    (owner_unreachable, "refused", "upstream-unreachable", "couldn't be reached"),
    (owner_cold, "refused", "rate-limited", "u0 is cold"),
    (owner_busy, "refused", "queue-full", "expected wait"),
]


@pytest.mark.parametrize(
    ("prepare", "outcome", "why", "detail"),
    REASONS,
    ids=[prepare.__name__ for prepare, *_ in REASONS],
)
async def test_each_reason_is_named_and_met(prepare, outcome, why, detail):
    async with open_case() as case:
        request = prepare(case)
        if prepare is no_configuration:
            case.gateway._started_at -= 10.0
        state = dump_state([case.gateway, case.view])
        with collect_events() as events:
            decision = await case.decide(request)
        assert events == []
        assert dump_state([case.gateway, case.view]) == state
        named = {
            "sent": decision.upstream,
            "waits": decision.cause,
            "refused": decision.reason,
        }
        assert decision.outcome == outcome, decision
        assert not why or named[outcome] == why, decision
        assert detail in decision.detail
        assert "secret" not in str(decision)
        answer = await case.handle(request)
        check_agreement(case, decision, answer)


def check_agreement(case, decision, answer):
    """Check that the gateway has done what the explanation said."""
    if decision.outcome == "waits":
        assert answer is None
        assert case.sender.upstreams == []
    elif decision.outcome == "sent":
        assert answer is not None
        assert answer.status == 200, answer
    else:
        assert answer is not None
        assert case.sender.upstreams == []
        reason = find_header(answer.headers, "reason")
        assert (answer.status, reason) == (decision.status, decision.reason)
        has_retry = find_header(answer.headers, "retry-after") is not None
        assert has_retry == (decision.retry_after_s > 0.0)


UPSTREAM_STATES = st.fixed_dictionaries(
    {
        "data_centre": st.sampled_from(["a", "b"]),
        "ready": st.sampled_from([True, True, True, False]),
        "in_flight": st.sampled_from([0, 0, 1, 3, 40]),
        "obstacle": st.sampled_from([None, None, "backoff", "connect", "cold"]),
        "lasting": st.sampled_from([None, 0.5, 1.0, 2.0]),
        "units": st.integers(0, 2),
    }
)
STATES = st.fixed_dictionaries(
    {
        "upstreams": st.lists(UPSTREAM_STATES, max_size=6),
        "keyed": st.booleans(),
        "owner": st.integers(0, 5),
        "is_divided": st.booleans(),
        "share": st.sampled_from([1.0, 1.0, 0.6, 0.0]),
        "tokens": st.sampled_from([None, None, 0, 1, 2]),
        "earlier": st.integers(0, 2),
        "mean_work_s": st.sampled_from([None, 0.05, 0.4]),
    }
)


def build(case, state):
    """Put a gateway into a drawn state."""
    accounts = [] if state["tokens"] is None else [DEPOT]
    case.adopt(keyed=state["keyed"], accounts=accounts)
    now, view = monotonic(), case.view
    quotas = view.account_fact.quotas
    shares = [AccountShare("depot", state["tokens"] or 0, 1.0, 5.0)]
    quotas.apply(shares, read_boot_time(), is_led=True)
    lasting = {}
    for at, drawn in enumerate(state["upstreams"]):
        is_cold = drawn["obstacle"] == "cold"
        record = case.add(
            f"u{at}",
            data_centre=drawn["data_centre"],
            ready=drawn["ready"],
            warmup_left_s=30.0 if is_cold else 0.0,
        )
        case.occupy(record.id, drawn["in_flight"])
        if drawn["lasting"] is not None:
            lasting[record.id] = drawn["lasting"]
        if drawn["obstacle"] == "backoff":
            view.backoffs.record(record, 5.0, now)
        elif drawn["obstacle"] == "connect":
            for _ in range(3):
                case.pools.connect_failures.record_failure(record, now)
    view.speeds.set_lasting(lasting)
    if state["mean_work_s"] is not None:
        case.gateway.decision_parts.costs._mean_work_s["ledger"] = state["mean_work_s"]
    if state["is_divided"]:
        units = {f"u{at}": item["units"] for at, item in enumerate(state["upstreams"])}
        divide_room(case, units)
    name = f"u{state['owner']}"
    case.own(name if view.directory.get(name) else "")
    view.rank_fact._told = {
        "ledger": {Rank(account, 1): state["share"] for account in (0, 2)}
    }
    view.rank_fact._told_at = now


@settings(max_examples=150, deadline=None)
@given(STATES)
def test_gateway_does_what_was_explained(state):
    run(check_state(state))


async def check_state(state):
    async with open_case(load=LoadSettings()) as case:
        build(case, state)
        request = make_request(account_key="secret")
        for _ in range(state["earlier"]):
            await case.handle(request)
        case.sender.upstreams.clear()
        before = dump_state([case.gateway, case.view])
        explanation = await case.explain(request)
        assert dump_state([case.gateway, case.view]) == before
        service = explanation.services[0]
        answer = await case.handle(request)
        check_agreement(case, service.decision, answer)
        if service.decision.outcome == "sent":
            chances = {facts.upstream: facts.chance for facts in service.candidates}
            assert sum(chances.values()) == pytest.approx(1.0, abs=0.01)
            assert chances[service.decision.upstream] == max(chances.values())
            assert chances[case.sender.upstreams[0]] > 0.0
        elif service.decision.outcome == "refused":
            assert not any(facts.chance for facts in service.candidates)


async def test_requests_change_the_dumped_state():
    async with open_case() as case:
        free_upstream(case)
        before = dump_state([case.gateway, case.view])
        await case.handle()
        assert dump_state([case.gateway, case.view]) != before


async def test_candidates_are_described():
    async with open_case() as case:
        case.adopt(keyed=False)
        now, view = monotonic(), case.view
        for name in ("near", "busy", "paced"):
            case.add(name)
        case.add("far", data_centre="b")
        case.add("draining", ready=False)
        case.occupy("near", 1)
        case.occupy("busy", 40)
        view.paces.apply({"paced": 1.0}, now)
        view.speeds.set_lasting({"near": 1.5})
        view.speeds.record_statement("near", "ledger", 3.0, now - 0.1)
        divide_room(case, {"near": 2, "far": 1, "busy": 1, "paced": 1})
        service = (await case.explain()).services[0]
        facts = {item.upstream: item for item in service.candidates}
        assert service.rank == "0/1"
        assert service.retries_left > 0.0
        assert facts["near"].lasting == 1.5
        assert 1.0 < facts["near"].slowdown < 3.0
        assert facts["near"].slowdown_age_s == pytest.approx(0.1, abs=0.05)
        assert facts["near"].known_age_s < 0.1
        assert (facts["near"].in_flight, facts["near"].units) == (1.0, 2)
        assert facts["far"].cost_s > facts["far"].work_s
        assert facts["busy"].states == ["too-late"]
        assert (facts["paced"].pace, facts["paced"].states) == (1.0, ["paced"])
        assert 0.0 < facts["paced"].chance < 0.6
        assert facts["draining"].states == ["draining", "no-room"]
        assert sum(item.chance for item in facts.values()) == pytest.approx(
            1.0, abs=1e-3
        )


async def test_what_was_learnt_is_used():
    async with open_case() as case:
        owned(case)
        case.gateway.decision_parts.costs._mean_work_s["ledger"] = 0.4
        service = (await case.explain()).services[0]
        assert service.candidates[0].work_s == 0.4


async def test_owner_is_described():
    async with open_case() as case:
        owned(case)
        service = (await case.explain()).services[0]
        assert (service.owner.owner, service.owner.epoch) == ("u0", 5)
        assert (service.owner.first, service.owner.last) == (0, KEY_COUNT - 1)
        assert [facts.upstream for facts in service.candidates] == ["u0"]
        key_moves(case)
        service = (await case.explain()).services[0]
        assert service.owner.owner == ""
        assert service.owner.expected_s == pytest.approx(0.1, abs=0.05)


async def test_each_service_of_divided_traffic_has_a_decision():
    async with open_case() as case:
        plan = make_plan(keyed=False)
        split = tuple(
            WeightedService(service=name, weight=weight)
            for name, weight in (("ledger", 3.0), ("desk", 1.0))
        )
        route = replace(plan.routes[0], services=split)
        desk = replace(plan.services["ledger"], name="desk")
        services = {**plan.services, "desk": desk}
        case.view._adopt_routing_config(
            replace(plan, routes=(route,), services=services)
        )
        case.add("u0")
        explanation = await case.explain()
        decided = [
            (item.service, item.share, item.decision.outcome)
            for item in explanation.services
        ]
        assert decided == [("ledger", 0.75, "sent"), ("desk", 0.25, "refused")]
        explanation = await case.explain(service="desk")
        assert [item.service for item in explanation.services] == ["desk"]
        with pytest.raises(InvalidQuestionError):
            await case.explain(service="other")


async def test_waiting_requests_go_first():
    async with open_case() as case:
        case.adopt(keyed=False)
        case.add("u0")
        divide_room(case, {"u0": 0})
        task = create_task(case.gateway.handle(make_request(), CallerConnection()))
        await sleep(0.01)
        state = dump_state([case.gateway, case.view])
        decision = await case.decide()
        assert dump_state([case.gateway, case.view]) == state
        assert (decision.outcome, decision.cause) == ("waits", "room")
        task.cancel()
        await gather(task, return_exceptions=True)


async def test_explanations_are_bounded_in_size():
    async with open_case() as case:
        case.adopt(keyed=False)
        for at in range(300):
            case.add(f"upstream-{at}")
        handler = WhereHandler(case.explainer)
        answer = await handler.answer(ask())
        service = decode_json(answer.body, Explanation).services[0]
        assert len(service.candidates) + service.omitted == 300
        assert len(answer.body) < 40_000


def ask(target="method=get&host=a.example&target=%2Fx%3Fy", headers=(), method="GET"):
    headers = tuple((HEADER_FIELD, value) for value in headers)
    return HttpRequest(method, f"/where?{target}", headers)


def test_questions_are_parsed():
    question = Question.parse(ask(headers=["Key: 7", "account-key:a:b"]))
    assert question.request == HttpRequest(
        "GET",
        "/x?y",
        (("host", "a.example"), ("key", "7"), ("account-key", "a:b")),
    )


@pytest.mark.parametrize(
    "asked",
    [
        ask(""),
        ask("method=GET"),
        ask("method=GET&target=x"),
        ask("method=GET&target=%2Fx%0D%0Ay"),
        ask("method=G%20T&target=%2Fx"),
        ask("method=GET&method=GET&target=%2Fx"),
        ask("method=GET&target=%2Fx&other=1"),
        ask("method=GET&target=%2Fx&host=%0A"),
        ask("method=GET&target=%2Fx&a&b&c&d&e"),
        ask(headers=["no colon, secret"]),
        ask(headers=["bad name: secret"]),
        ask(headers=["name: secret\x01"]),
        ask(headers=["a: b"] * 65),
    ],
)
async def test_malformed_questions_are_answered_400(asked):
    async with open_case() as case:
        answer = await WhereHandler(case.explainer).answer(asked)
        detail = decode_json(answer.body, QuestionProblem).detail
        assert answer.status == 400
        assert detail
        assert "secret" not in detail


async def test_questions_are_limited_in_rate():
    async with open_case() as case:
        handler = WhereHandler(case.explainer)
        answers = [await handler.answer(ask()) for _ in range(20)]
        assert [answer.status for answer in answers].count(200) == 6
        assert answers[-1].status == 429
        assert find_header(answers[-1].headers, "retry-after") == "1"
        assert (await handler.answer(ask(method="POST"))).status == 405
