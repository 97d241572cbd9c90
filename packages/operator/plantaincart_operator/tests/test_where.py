"""The command where, against instances' handlers and stand-ins on loopback."""

from contextlib import asynccontextmanager
from json import loads
from time import monotonic

import pytest
from plantaincart_core.account import ClientAccount, digest_key
from plantaincart_core.ownermap import KEY_COUNT, KeyRange, OwnerMap
from plantaincart_operator.exit_code import ExitCode
from plantaincart_operator.output import Output
from plantaincart_operator.tests.conftest import find_free_port
from plantaincart_operator.where_command import show_where
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
from plantaincart_router.direct.view import SystemView
from plantaincart_router.direct.where.explainer import RequestExplainer
from plantaincart_router.direct.where.handler import WhereHandler
from plantaincart_router.http.message import HttpAnswer
from plantaincart_router.http.server import HttpServer
from plantaincart_schema.generated.settings import EntrySettings

HOST = "127.0.0.1"
URL = "http://a.example/x?y=1"
LIMITS = EntrySettings(host="", port=0)
ACCOUNT = ClientAccount(
    name="depot", key_digests=frozenset([digest_key("secret")]), rate_per_s=5.0
)


@asynccontextmanager
async def serve(handler):
    """Serve a handler at a free port; yield its address."""
    server = HttpServer(LIMITS, handler)
    port = await server.start(HOST, 0)
    try:
        yield f"{HOST}:{port}"
    finally:
        server.close()


@asynccontextmanager
async def run_instance(name="router-1", plan=None, upstreams=("u0",)):
    """Serve questions at an instance with some upstreams; yield address and view."""
    settings = make_settings(name)
    pools = UpstreamPools(settings.send)
    view = SystemView(settings, PlainReader(), pools)
    gateway = Gateway(settings, view, PlainDialect(), pools, RouterMetrics(dict))
    if plan is not None:
        view._adopt_routing_config(plan)
    for upstream in upstreams:
        view.directory.put(make_record(upstream), monotonic())
    explainer = RequestExplainer(settings, view, PlainDialect(), gateway.decision_parts)
    where = WhereHandler(explainer)

    async def handle(request, caller):
        return await where.answer(request)

    async with serve(handle) as address:
        yield address, view
    gateway.close()
    pools.close()


async def ask(capsys, address, *fields, output=Output.JSON, **options):
    code = await show_where(
        address, "GET", URL, header=list(fields), output=output, **options
    )
    printed = capsys.readouterr()
    return code, loads(printed.out) if output is Output.JSON else printed.out


async def test_owner_of_a_key(capsys):
    owner = KeyRange(first=0, last=KEY_COUNT - 1, owner="u0", born=1, fence=9)
    async with run_instance(plan=make_plan(keyed=True)) as (address, view):
        view.owners["ledger"] = OwnerMap([owner])
        code, report = await ask(capsys, address, "key: 7")
        answer = report["instances"][0]["explanation"]
        service = answer["services"][0]
        assert (code, service["decision"]["upstream"]) == (ExitCode.OK, "u0")
        assert service["owner"]["fence"] == 9
        code, text = await ask(capsys, address, "key: 7", output=Output.TEXT)
        assert code == ExitCode.OK
        assert "key       7 in 0-65535: owner u0" in text
        assert "decision  sent to u0" in text


async def test_key_of_an_account_is_sent_and_not_shown(capsys):
    plan = make_plan(keyed=False, accounts=[ACCOUNT])
    async with run_instance(plan=plan) as (address, _):
        code, text = await ask(
            capsys, address, "account-key: secret", output=Output.TEXT
        )
        assert code == ExitCode.OK
        assert "account   depot: 5/s" in text
        assert "secret" not in text
        code, text = await ask(
            capsys, address, "account-key: hidden", output=Output.TEXT
        )
        assert "refused: 401 account-unknown" in text
        assert "hidden" not in text


async def test_instances_are_compared(capsys):
    plan = make_plan(keyed=False)
    async with (
        run_instance("router-1", plan) as (first, _),
        run_instance("router-2", plan, ("u1", "u2")) as (second, _),
        run_instance("router-3") as (third, _),
    ):
        silent = f"{HOST}:{find_free_port()}"
        addresses = ",".join((first, second, third, silent))
        code, text = await ask(capsys, addresses, output=Output.TEXT)
        assert code == ExitCode.OK
        rows = [line.strip().split(maxsplit=2) for line in text.splitlines()[1:5]]
        assert rows[0] == ["router-1", "ledger", "sent to u0"]
        assert rows[1][:2] == ["router-2", "ledger"]
        assert "no configuration known yet" in rows[2][2]
        assert rows[3][0] == silent
        assert "ConnectFailedError" in rows[3][2]
        _, report = await ask(capsys, addresses)
        chances = [
            facts["chance"]
            for facts in report["instances"][1]["explanation"]["services"][0][
                "candidates"
            ]
        ]
        assert chances == [0.5, 0.5]


@pytest.mark.parametrize(
    ("answer", "code", "message"),
    [
        (HttpAnswer(404), ExitCode.REFUSED, "its build doesn't answer"),
        (
            HttpAnswer(200, (("content-type", "text/plain"),), b"plantaincart_x 1.0"),
            ExitCode.REFUSED,
            "its build doesn't answer",
        ),
        (
            HttpAnswer(200, (("content-type", "application/json"),), b"{"),
            ExitCode.UNAVAILABLE,
            "Explanation",
        ),
        (
            HttpAnswer(429, (), b'{"detail":"too many questions"}'),
            ExitCode.UNAVAILABLE,
            "too many questions",
        ),
        (
            HttpAnswer(400, (), b'{"detail":"target: a path"}'),
            ExitCode.REFUSED,
            "target: a path",
        ),
        (HttpAnswer(500, (), b"?"), ExitCode.UNAVAILABLE, "status 500"),
    ],
)
async def test_answers_that_explain_nothing(capsys, answer, code, message):
    async def handle(request, caller):
        return answer

    async with serve(handle) as address:
        given, report = await ask(capsys, address)
    assert (given, report["exit_code"]) == (code, code)
    assert message in report["problems"][0]["message"]


async def test_service_that_the_route_lacks_is_refused(capsys):
    async with run_instance(plan=make_plan(keyed=False)) as (address, _):
        code, report = await ask(capsys, address, service="other")
        assert code == ExitCode.REFUSED
        assert "no such one" in report["problems"][0]["message"]
        code, report = await ask(capsys, address, service="ledger")
        assert code == ExitCode.OK
