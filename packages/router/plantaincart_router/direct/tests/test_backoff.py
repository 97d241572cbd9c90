"""Upstreams that reject a request with 503 and ask to be left alone for a time."""

from asyncio import create_task, gather, get_running_loop, sleep
from time import monotonic

import pytest
from plantaincart_router.direct.pool import UpstreamPools
from plantaincart_router.direct.tests.fakes import make_plan, make_record
from plantaincart_router.direct.tests.memorysystem import (
    SAMPLE_KEYS,
    run_system,
    wait_for,
)
from plantaincart_router.direct.tests.test_gateway import (
    Upstream,
    answer,
    call_gateway,
    run_gateway,
    verdict,
)
from plantaincart_router.http.message import find_header

MAX_REFUSAL_S = 0.1


def not_run_for(seconds, headers="", delay_s=0.0):
    headers = f"not-run: 1\r\nretry-after: {seconds}\r\n{headers}"
    return answer(503, b"", headers, delay_s=delay_s)


def retry_after(response):
    return float(find_header(response.headers, "retry-after"))


@pytest.mark.parametrize("headers", ["", "present: 0\r\n"], ids=["full", "free"])
async def test_owner_gets_no_request_before_its_retry_after(headers):
    """An owner got every request for its keys while it asked for none (BUDGET)."""
    upstream = Upstream(not_run_for(0.8, headers))
    plan = make_plan(idempotent=False, timeout_s=2.0)
    async with run_gateway(upstream, plan=plan) as (gateway, _):
        started_at = monotonic()
        responses = []
        while monotonic() - started_at < 0.7:
            asked_at = monotonic()
            responses.append(await call_gateway(gateway, remaining_s=2.0))
            assert monotonic() - asked_at < MAX_REFUSAL_S
            await sleep(0.05)
        assert {(refused.status, verdict(refused)) for refused in responses} == {
            (503, "not-run")
        }
        assert retry_after(responses[0]) >= 0.7
        assert len(upstream.requests) == 1
        await sleep(0.2)
        assert (await call_gateway(gateway, remaining_s=2.0)).status == 200


async def test_longest_retry_after_counts():
    """Requests on two connections are rejected one after the other (BUDGET)."""
    # Both are sent before the first is rejected.
    upstream = Upstream(not_run_for(0.9, delay_s=0.2), not_run_for(0.1, delay_s=0.25))
    plan = make_plan(idempotent=False, timeout_s=2.0)
    async with run_gateway(upstream, plan=plan) as (gateway, _):
        await gather(
            *(call_gateway(gateway, request_id=f"r{at}") for at in range(2)),
        )
        await sleep(0.4)
        assert (await call_gateway(gateway, remaining_s=2.0)).status == 503
    assert len(upstream.requests) == 2


async def test_unkeyed_requests_use_other_upstreams():
    """An upstream without keys got its share of the requests all the same (BUDGET)."""
    rejecting = Upstream(*[not_run_for(30)] * 50)
    # Slower than usual, so that the other one seems to be the better choice.
    other = Upstream(*[answer(delay_s=0.3)] * 50)
    plan = make_plan(keyed=False, timeout_s=2.0)
    async with run_gateway(rejecting, other, plan=plan) as (gateway, _):
        for at in range(6):
            response = await call_gateway(gateway, request_id=f"r{at}")
            assert response.status == 200
    assert len(rejecting.requests) == 1
    assert len(other.requests) == 6


async def test_unkeyed_request_is_refused_if_all_upstreams_ask_for_a_pause():
    """All upstreams of a service are overloaded at once (BUDGET)."""
    upstreams = Upstream(*[not_run_for(1.0)] * 50), Upstream(*[not_run_for(30)] * 50)
    plan = make_plan(keyed=False, timeout_s=2.0)
    async with run_gateway(*upstreams, plan=plan) as (gateway, _):
        while not all(upstream.requests for upstream in upstreams):
            await call_gateway(gateway)
        started_at = monotonic()
        response = await call_gateway(gateway)
        assert monotonic() - started_at < MAX_REFUSAL_S
    assert (response.status, verdict(response)) == (503, "not-run")
    assert 0.5 < retry_after(response) <= 1.5
    assert [len(upstream.requests) for upstream in upstreams] == [1, 1]


@pytest.mark.parametrize("keyed", [True, False])
async def test_request_that_waits_for_a_connection_is_not_sent(keyed, monkeypatch):
    """A request was admitted before another one was rejected (BUDGET)."""
    open_connection = UpstreamPools.open

    async def open_slowly(pools, record, timeout_s):
        if rejecting.requests:
            await sleep(0.3)
        return await open_connection(pools, record, timeout_s)

    monkeypatch.setattr(UpstreamPools, "open", open_slowly)
    rejecting = Upstream(not_run_for(2.0, delay_s=0.15))
    plan = make_plan(keyed=keyed, idempotent=False, timeout_s=2.0)
    async with run_gateway(rejecting, plan=plan) as (gateway, _):
        first = create_task(call_gateway(gateway, remaining_s=2.0))
        await sleep(0.05)
        assert len(rejecting.requests) == 1
        second = create_task(call_gateway(gateway, request_id="r2", remaining_s=2.0))
        await sleep(0.05)
        assert not second.done()
        responses = await gather(first, second)
    assert [(each.status, verdict(each)) for each in responses] == [
        (503, "not-run")
    ] * 2
    assert len(rejecting.requests) == 1


async def ask_all_keys(system, until, limit_s):
    """Request all keys evenly at all instances until a condition holds."""

    def ask():
        for instance in system.instances.values():
            for key in SAMPLE_KEYS:
                instance.view.key_demand.record_load("ledger", key, 0.01)
        return until()

    await wait_for(ask, limit_s)


def ask_for_pause(instances, seconds, upstream="u1"):
    for instance in instances:
        record = instance.view.directory.get(upstream)
        instance.view.backoffs.record(record, seconds, monotonic())


async def test_keys_of_an_owner_that_wants_a_long_pause_move():
    """The keys of an overloaded owner are refused for as long as it asks (BUDGET)."""
    async with run_system(get_running_loop()) as system:
        ask_for_pause(system.instances.values(), 30.0)
        owner = system.upstreams["u1"]
        await ask_all_keys(
            system, lambda: not any(owner.owns(key) for key in SAMPLE_KEYS), 3.0
        )
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree())


@pytest.mark.parametrize(("instances", "seconds"), [(1, 30.0), (3, 1.0)])
async def test_keys_stay_with_an_owner_that_wants_a_short_or_narrow_pause(
    instances, seconds
):
    """A move costs the caches of its keys, and a retry at another instance succeeds."""
    async with run_system(get_running_loop()) as system:
        owner = system.upstreams["u1"]
        keys = [key for key in SAMPLE_KEYS if owner.owns(key)]
        ask_for_pause(list(system.instances.values())[:instances], seconds)
        ends_at = monotonic() + 0.8
        await ask_all_keys(system, lambda: monotonic() > ends_at, 3.0)
        assert keys
        assert all(owner.owns(key) for key in keys)


async def test_keys_of_a_draining_owner_move_although_all_upstreams_want_a_pause():
    async with run_system(get_running_loop()) as system:
        for name in system.upstreams:
            ask_for_pause(system.instances.values(), 30.0, name)
        await sleep(0.2)
        for instance in system.instances.values():
            instance.view.directory.put(make_record("u1", ready=False), monotonic())
        owner = system.upstreams["u1"]
        await wait_for(
            lambda: (
                not any(owner.owns(key) for key in SAMPLE_KEYS)
                and system.all_keys_owned()
            )
        )
