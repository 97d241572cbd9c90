"""Requests for keys whose grants have lapsed while no coordinator acts."""

from asyncio import create_task, gather, sleep
from dataclasses import replace
from time import monotonic

from plantaincart_core.grantlapse import TRY_INTERVAL_S
from plantaincart_core.ownermap import KEY_COUNT, KeyRange
from plantaincart_router.direct.tests.fakes import FAST, make_notice, make_plan
from plantaincart_router.direct.tests.test_gateway import (
    Upstream,
    call_gateway,
    not_run,
    run_gateway,
    verdict,
)
from plantaincart_router.direct.tests.test_unserved import (
    MAX_REFUSAL_S,
    apply_moving,
    retry_after,
)

PLAN = make_plan(idempotent=False, timeout_s=2.0)
# Longer than a trial takes to be answered, and shorter than the time to the next one.
SETTLE_S = 0.1


def make_lapsed_owner():
    return Upstream(*[not_run(421)] * 1000)


async def lose_coordinator(view):
    """Hear the coordinator once, and then no more."""
    view.apply_notice(make_notice(epoch=view.epoch))
    await sleep(1.5 * FAST.silent_s)


async def send(gateway, number=1, **fields):
    """Send requests side by side; return the answers and the longest time."""
    started_at = monotonic()
    answers = await gather(
        *(
            call_gateway(gateway, request_id=f"r{at}", remaining_s=2.0, **fields)
            for at in range(number)
        )
    )
    return answers, monotonic() - started_at


def are_refused(answers):
    outcomes = {(answer.status, verdict(answer)) for answer in answers}
    return outcomes == {(503, "not-run")}


async def test_requests_for_lapsed_keys_are_refused_at_once():
    """
    Requests arrive steadily where no coordinator renews grants (coordinator-killed).

    Guards against requests that are held until their deadline, and against sends that
    have no chance.
    """
    owner = make_lapsed_owner()
    async with run_gateway(owner, plan=PLAN) as (gateway, view):
        await lose_coordinator(view)
        first, elapsed_s = await send(gateway)
        assert elapsed_s < MAX_REFUSAL_S
        rest, elapsed_s = await send(gateway, 20)
        assert elapsed_s < MAX_REFUSAL_S
    assert are_refused(first + rest)
    assert all(retry_after(answer) >= 0.5 for answer in first + rest)
    assert len(owner.requests) == 1


async def test_lapsed_keys_are_tried_now_and_then_until_they_are_served():
    """Guards against keys that stay refused where no notices arrive."""
    owner = Upstream(not_run(421), not_run(421))
    async with run_gateway(owner, plan=PLAN) as (gateway, view):
        await lose_coordinator(view)
        await send(gateway)
        await sleep(TRY_INTERVAL_S)
        answers, elapsed_s = await send(gateway, 5)
        assert (are_refused(answers), len(owner.requests)) == (True, 2)
        assert elapsed_s < MAX_REFUSAL_S
        await sleep(TRY_INTERVAL_S)
        await send(gateway)
        served, _ = await send(gateway, 2)
    assert {answer.status for answer in served} == {200}


async def test_lapsed_keys_are_tried_at_once_after_a_notice():
    """Guards against keys that stay refused once a coordinator acts."""
    owner = Upstream(not_run(421))
    async with run_gateway(owner, plan=PLAN) as (gateway, view):
        await lose_coordinator(view)
        refused, _ = await send(gateway)
        view.apply_notice(make_notice(epoch=view.epoch))
        served, _ = await send(gateway)
    assert are_refused(refused)
    assert served[0].status == 200


async def test_keys_with_a_new_owner_are_tried_at_once():
    old, new = make_lapsed_owner(), Upstream()
    async with run_gateway(old, new, plan=PLAN) as (gateway, view):
        await lose_coordinator(view)
        await send(gateway)
        owners = view.owners["ledger"]
        first = replace(owners.find(0), last=99, owner="u1", fence=2)
        owners.assign(first)
        served, _ = await send(gateway)
    assert served[0].status == 200


async def test_other_keys_of_an_owner_are_served():
    """Guards against an instance that hears nobody and refuses what is served."""
    owner = Upstream(not_run(421))
    async with run_gateway(owner, plan=PLAN) as (gateway, view):
        last = KEY_COUNT - 1
        view.owners["ledger"].assign(
            KeyRange(first=100, last=last, owner="u0", born=1, fence=9)
        )
        await lose_coordinator(view)
        await sleep(FAST.hold_s)
        refused, _ = await send(gateway)
        served, _ = await send(gateway, 5, key=200)
    assert are_refused(refused)
    assert {answer.status for answer in served} == {200}


async def test_request_waits_for_a_new_owner_while_a_coordinator_acts():
    """Guards against refusals during moves, in which owners answer 421 for a moment."""
    old, new = make_lapsed_owner(), Upstream()
    async with run_gateway(old, new, plan=PLAN) as (gateway, view):
        view.apply_notice(make_notice(epoch=view.epoch))
        task = create_task(call_gateway(gateway, remaining_s=2.0))
        await sleep(SETTLE_S)
        view.owners["ledger"].assign(
            KeyRange(first=0, last=99, owner="u1", born=1, fence=2)
        )
        view._wake_waiters()
        assert (await task).status == 200


async def test_unowned_keys_are_refused_at_once_where_no_coordinator_acts():
    """Guards against requests parked for an owner that nobody can name."""
    async with run_gateway(Upstream(), plan=PLAN) as (gateway, view):
        await lose_coordinator(view)
        apply_moving(view, free_in_s=0.0)
        await sleep(1.5 * FAST.silent_s)
        answers, elapsed_s = await send(gateway, 3)
    assert are_refused(answers)
    assert elapsed_s < MAX_REFUSAL_S
