"""Client accounts at the entry: keys, names and relayed requests."""

from dataclasses import replace

import pytest
from plantaincart_core.account import ClientAccount, digest_key
from plantaincart_router.direct.interface import RequestMetadata
from plantaincart_router.direct.tests.cutsystem import run_cut_system
from plantaincart_router.direct.tests.fakes import make_plan
from plantaincart_router.direct.tests.test_gateway import (
    Upstream,
    make_request,
    run_gateway,
    verdict,
)
from plantaincart_router.http.caller import CallerConnection
from plantaincart_router.http.message import HttpRequest, find_header

KEY = "k1-of-the-depot"


def make_account(name="depot", keys=(KEY,), **fields):
    digests = frozenset(digest_key(key) for key in keys)
    return ClientAccount(name=name, key_digests=digests, **fields)


def make_account_plan(version=1, accounts=None, **fields):
    accounts = [make_account()] if accounts is None else accounts
    return make_plan(version, keyed=False, accounts=accounts, **fields)


async def call(gateway, *more, request_id="r1"):
    request = make_request(request_id=request_id)
    request = replace(request, headers=request.headers + more)
    return await gateway.handle(request, CallerConnection())


async def test_upstream_is_told_the_account_and_not_the_key():
    upstream = Upstream()
    async with run_gateway(upstream, plan=make_account_plan()) as (gateway, _):
        response = await call(gateway, ("account-key", KEY), ("account", "other"))
    assert response.status == 200
    fields = upstream.requests[0][1]
    assert fields["account"] == "depot"
    assert KEY not in str(fields)


@pytest.mark.parametrize(
    "headers",
    [
        (),
        (("account-key", "k2"),),
        (("account-key", KEY), ("account-key", KEY)),
        (("account", "depot"),),
    ],
)
async def test_unknown_key_is_refused_at_once(headers):
    upstream = Upstream()
    async with run_gateway(upstream, plan=make_account_plan()) as (gateway, _):
        response = await call(gateway, *headers)
    assert (response.status, verdict(response)) == (401, "not-run")
    assert upstream.requests == []


@pytest.mark.parametrize(
    ("headers", "account"),
    [
        ((), None),
        ((("account-key", "k2"), ("account", "depot")), None),
        ((("account-key", KEY), ("account", "other")), "depot"),
    ],
)
async def test_public_route_needs_no_key(headers, account):
    upstream = Upstream()
    plan = make_account_plan(public=True)
    async with run_gateway(upstream, plan=plan) as (gateway, _):
        assert (await call(gateway, *headers)).status == 200
    assert upstream.requests[0][1].get("account") == account
    assert "account-key" not in upstream.requests[0][1]


async def test_configuration_without_accounts_needs_no_key():
    upstream = Upstream()
    plan = make_account_plan(accounts=[])
    async with run_gateway(upstream, plan=plan) as (gateway, view):
        assert (await call(gateway)).status == 200
        assert (await call(gateway, ("account", "depot"))).status == 200
        assert view.account_fact.describe(1.0, True) == {}
    assert [fields.get("account") for _, fields, _ in upstream.requests] == [None] * 2


async def test_no_configuration_is_no_unknown_key():
    async with run_gateway(Upstream()) as (gateway, view):
        view.routing_config = view.routes = None
        gateway._started_at -= 10.0
        assert (await call(gateway)).status == 503


async def test_keys_are_those_of_the_present_configuration():
    """A key that was withdrawn is refused on connections that stay open, too."""
    upstream = Upstream()
    async with run_gateway(upstream, plan=make_account_plan()) as (gateway, view):
        key = ("account-key", KEY)
        assert (await call(gateway, key)).status == 200
        later = make_account_plan(2, [make_account(keys=["k2"])])
        view._adopt_routing_config(later)
        assert (await call(gateway, key)).status == 401
        assert (await call(gateway, ("account-key", "k2"))).status == 200
        # An older version, from a store that was restored or read late.
        view._adopt_routing_config(make_account_plan())
        assert (await call(gateway, key)).status == 401


async def test_priority_of_the_account_goes_before_that_of_the_route():
    plan = make_account_plan(accounts=[make_account(priority=2)])
    async with run_gateway(Upstream(), plan=plan) as (gateway, _):
        headers = (("host", "a.example"), ("account-key", KEY))
        request = HttpRequest("GET", "/x", headers)
        metadata = gateway._header_codec.read_request(request)
        started = gateway._start_call(request, metadata, CallerConnection(), 0.0)
    assert (started.rank.account, started.rank.route) == (2, 1)


async def test_key_is_in_no_log_line_and_no_representation(monkeypatch):
    events = []
    for module in ("accountgate", "gateway", "view"):
        monkeypatch.setattr(
            f"plantaincart_router.direct.{module}.write_event",
            lambda name, **fields: events.append((name, fields)),
        )
    async with run_gateway(Upstream(), plan=make_account_plan()) as (gateway, _):
        await call(gateway, ("account-key", KEY))
        for _ in range(20):
            await call(gateway, ("account-key", "k2-secret"))
    assert {"request_ended", "unknown_key"} <= {name for name, _ in events}
    # Unknown keys are counted, with one line a second.
    assert [name for name, _ in events].count("unknown_key") == 1
    digest = digest_key(KEY)
    texts = [str(events), repr(make_account())]
    texts.append(
        repr(
            RequestMetadata(
                request_id="r1",
                remaining_s=None,
                key=None,
                host="a",
                account_key_digest=digest,
            )
        )
    )
    for secret in (KEY, "k2-secret", digest.hex(), repr(digest)):
        assert secret not in "".join(texts)


async def test_request_over_the_quota_is_refused_and_not_run():
    upstream = Upstream()
    plan = make_account_plan(accounts=[make_account(rate_per_s=10.0, burst=1.0)])
    async with run_gateway(upstream, plan=plan) as (gateway, view):
        response = await call(gateway, ("account-key", KEY))
        assert (response.status, verdict(response)) == (429, "not-run")
        assert float(find_header(response.headers, "retry-after")) > 0.0
        # What the coordinator of an earlier build tells makes no difference.
        view.rank = 0
        assert view.account_fact.quotas.is_alone(1e9)
    assert upstream.requests == []


async def test_relay_passes_on_the_account_that_the_entry_found():
    """The relay must believe the entry, and the entry not the caller."""
    accounts = [make_account(), make_account("other", keys=["k2"])]
    async with run_cut_system(accounts=accounts) as system:
        await system.cut("hang", "hang")
        for number in range(40):
            headers = (("account-key", KEY), ("account", "other"))
            await system.call("cut", f"a{number}", more=headers)
            if system.instances["cut"].view.reachability.is_cut_off and number > 30:
                break
        forged = await system.call("cut", "forged", more=(("account", "other"),))
        assert forged.status == 401
        ran = {
            request_id: account
            for upstream in system.upstreams
            for request_id, account in upstream.accounts.items()
        }
        relayed = system.instances["whole"].metrics._counts["relays"]
    assert relayed.get(("answered",), 0) > 0
    assert ran and set(ran.values()) == {"depot"}
