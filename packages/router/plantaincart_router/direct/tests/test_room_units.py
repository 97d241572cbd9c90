"""Requests wait for room, and use it again only when the upstream should have some."""

from asyncio import create_task, gather, sleep
from time import monotonic

from plantaincart_core.roomshare import RoomGrant
from plantaincart_router.direct import sender
from plantaincart_router.direct.tests.fakes import make_plan
from plantaincart_router.direct.tests.test_gateway import (
    Upstream,
    answer,
    call_gateway,
    close_connection,
    run_gateway,
    verdict,
)


def give(view, version=1, **units):
    view.room.apply(
        RoomGrant(
            epoch=1,
            version=version,
            units=units,
            rooms={"ledger": 8},
            asked_at=monotonic(),
        )
    )


async def test_request_goes_where_there_is_room():
    first, second = Upstream(), Upstream()
    async with run_gateway(first, second) as (gateway, view):
        give(view, u1=2)
        for _ in range(6):
            assert (await call_gateway(gateway)).status == 200
    assert (len(first.requests), len(second.requests)) == (0, 6)


async def test_request_waits_until_another_has_ended():
    upstream = Upstream(answer(delay_s=0.1), answer())
    async with run_gateway(upstream) as (gateway, view):
        give(view, u0=1)
        tasks = [create_task(call_gateway(gateway)) for _ in range(2)]
        await sleep(0.05)
        assert len(upstream.requests) == 1
        assert view.room.share.list_waiting() == {"u0": 1}
        assert [response.status for response in await gather(*tasks)] == [200, 200]
        assert view.room.share.list_waiting() == {}


async def test_waiting_request_goes_out_when_units_come():
    upstream = Upstream()
    asked = []
    async with run_gateway(upstream) as (gateway, view):
        view.room.ask = lambda: asked.append(monotonic())
        give(view)
        task = create_task(call_gateway(gateway))
        await sleep(0.15)
        # Again and again, since a report may be lost.
        assert len(asked) >= 2
        give(view, version=2, u0=1)
        assert (await task).status == 200


async def test_request_without_room_is_refused_as_not_run():
    upstream = Upstream()
    async with run_gateway(upstream) as (gateway, view):
        give(view)
        started_at = monotonic()
        response = await call_gateway(gateway)
        assert (response.status, verdict(response)) == (503, "not-run")
        # Before its deadline has passed.
        assert monotonic() - started_at < 0.9
    assert upstream.requests == []


async def test_unit_is_kept_for_a_while_after_a_reset(monkeypatch):
    """An owner reset 20 attempts within 15 ms, as each unit was used again at once."""
    monkeypatch.setattr(sender, "FULL_HOLD_S", 0.2)
    upstream = Upstream(close_connection(), answer())
    async with run_gateway(upstream, plan=make_plan(keyed=True)) as (gateway, view):
        give(view, u0=1)
        started_at = monotonic()
        assert (await call_gateway(gateway)).status == 200
        assert monotonic() - started_at >= 0.2
        assert view.room.share.count_in_use("u0") == 0


async def test_all_units_come_back(monkeypatch):
    """A unit of a request that was cancelled or failed was lost."""
    monkeypatch.setattr(sender, "FULL_HOLD_S", 0.01)
    monkeypatch.setattr(sender, "MAX_HOLD_S", 0.01)
    scripts = [answer(delay_s=2.0), close_connection(), answer(status=500), answer()]
    upstream = Upstream(*scripts)
    async with run_gateway(upstream, plan=make_plan(keyed=True)) as (gateway, view):
        give(view, u0=1)
        task = create_task(call_gateway(gateway))
        await sleep(0.05)
        task.cancel()
        await gather(task, return_exceptions=True)
        for _ in range(3):
            await call_gateway(gateway)
        await sleep(0.05)
        assert view.room.share.count_in_use("u0") == 0
