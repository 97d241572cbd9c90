"""Callers that come back to a short owner of keys, beside new ones."""

from asyncio import wait_for
from contextlib import asynccontextmanager
from dataclasses import replace
from time import monotonic

import pytest
from plantaincart_core import returnqueue
from plantaincart_router.direct.settings import AdmissionSettings
from plantaincart_router.direct.tests.fakes import make_plan
from plantaincart_router.direct.tests.test_entry_wait import grant_room
from plantaincart_router.direct.tests.test_gateway import (
    Upstream,
    answer,
    call_gateway,
    run_gateway,
    verdict,
)
from plantaincart_router.http.message import find_header

SLOTS, WORK_S, TIMEOUT_S = 2, 0.1, 5.0
# Requests at the owner with which the wait is too long for all, and with which it
# exceeds half of what the target allows.
TOO_MANY, MANY = 40, 13
RETURNING_S = 0.6 * TIMEOUT_S
# Longest time in seconds of a request that doesn't wait.
AT_ONCE_S = 0.1


@asynccontextmanager
async def run_short_owner(idempotent=True, keeps_room=True):
    """Run an owner that was too busy for a request just now."""
    plan = make_plan(timeout_s=TIMEOUT_S, idempotent=idempotent)
    (route,) = plan.routes
    patient = replace(route, name="patient", host="p.example", priority=2, target_s=2.0)
    admission = AdmissionSettings(keeps_room_for_returns=keeps_room)
    async with run_gateway(
        Upstream(*[answer()] * 20),
        plan=replace(plan, routes=(route, patient)),
        admission=admission,
    ) as (gateway, view):
        for name in ("lookup", "patient"):
            view.loads._work_s[name] = WORK_S
        grant_room(view, 1, u0=8)

        async def call(ahead, remaining_s=TIMEOUT_S, host="a.example"):
            view.loads.record_in_flight("u0", ahead, SLOTS, monotonic())
            return await call_gateway(gateway, remaining_s=remaining_s, host=host)

        assert (await call(TOO_MANY)).status == 503
        yield call


async def test_new_request_leaves_the_end_of_the_queue_to_one_that_returns():
    """An owner turns callers away (pattern hot_key)."""
    async with run_short_owner() as call:
        response = await call(MANY)
        assert (response.status, verdict(response)) == (503, "not-run")
        assert 0.1 <= float(find_header(response.headers, "retry-after")) <= 0.4
        assert (await call(MANY, RETURNING_S)).status == 200
        # The queue gets shorter.
        assert (await call(SLOTS)).status == 200


async def test_room_that_nobody_returns_for_is_given_to_new_requests(monkeypatch):
    monkeypatch.setattr(returnqueue, "SHORT_S", 0.0)
    async with run_short_owner() as call:
        assert (await call(MANY)).status == 200


@pytest.mark.parametrize("fields", [{"idempotent": False}, {"keeps_room": False}])
async def test_request_that_must_not_be_repeated_leaves_nothing(fields):
    """Neither does any while the setting is off."""
    async with run_short_owner(**fields) as call:
        assert (await call(MANY)).status == 200


async def test_less_urgent_caller_takes_no_place_that_an_urgent_one_leaves():
    """A patient route's caller returns to an owner short for an urgent one."""
    async with run_short_owner() as call:
        assert (await call(0, host="p.example")).status == 200
        assert (await call(MANY)).status == 503
        with pytest.raises(TimeoutError):
            await wait_for(call(MANY, RETURNING_S, "p.example"), AT_ONCE_S)
