"""Requests whose owner is known to be out of reach, or to come later."""

from asyncio import create_task, gather, get_running_loop, sleep
from time import monotonic

from plantaincart_core.ownermap import KeyRange
from plantaincart_router.direct.tests.fakes import make_plan, make_record
from plantaincart_router.direct.tests.test_coordinator import (
    replace_leader_of_a_lost_owner,
    run_system,
    wait_for,
)
from plantaincart_router.direct.tests.test_gateway import (
    Upstream,
    ask,
    break_off,
    run_gateway,
    verdict,
)
from plantaincart_router.http.message import find_header
from plantaincart_schema.generated.direct import CoordinatorNotice, MapChange

AT_ONCE_S = 0.1
# An address of the loopback network that nothing listens on.
CLOSED_PORT = 1


def tell_moving(view, free_in_s):
    """Say that keys 0 to 99 have no owner until a time."""
    change = MapChange(
        service="ledger",
        first=0,
        last=99,
        owner="",
        born=0,
        fence=0,
        free_in_s=free_in_s,
    )
    view.apply_notice(
        CoordinatorNotice(
            coordinator="router-2",
            epoch=view.epoch,
            members=2,
            map_version=view.map_version + 1,
            complete=False,
            changes=[change],
        )
    )


def retry_after(given):
    return float(find_header(given.headers, "retry-after"))


async def test_key_that_is_free_too_late_is_refused_at_once():
    """Pattern srv_crash (dark): the hold of a lost owner outlasts the caller."""
    upstream = Upstream()
    plan = make_plan(idempotent=False, timeout_s=2.0)
    async with run_gateway(upstream, plan=plan) as (gateway, view):
        tell_moving(view, free_in_s=1.5)
        began = monotonic()
        given = await ask(gateway, left_s=1.0)
        assert monotonic() - began < AT_ONCE_S
    assert (given.status, verdict(given)) == (503, "not-run")
    assert retry_after(given) >= 1.4
    assert upstream.requests == []


async def test_key_that_is_free_soon_is_waited_for():
    """Pattern hot_key: a release takes as long as the work under way."""
    old, new = Upstream(), Upstream()
    async with run_gateway(old, new, plan=make_plan()) as (gateway, view):
        tell_moving(view, free_in_s=0.2)
        task = create_task(ask(gateway, left_s=1.0))
        await sleep(0.3)
        assert not task.done()
        view.owners["ledger"].assign(
            KeyRange(first=0, last=99, owner="u1", born=1, fence=2)
        )
        view._wake_waiters()
        assert (await task).status == 200
    assert (len(old.requests), len(new.requests)) == (0, 1)


async def test_handover_that_is_overdue_is_not_waited_for():
    async with run_gateway(Upstream(), plan=make_plan()) as (gateway, view):
        tell_moving(view, free_in_s=0.05)
        began = monotonic()
        given = await ask(gateway, left_s=1.0)
        assert monotonic() - began < 0.8
    assert (given.status, verdict(given)) == (503, "not-run")


async def test_unreachable_owner_is_tried_by_few():
    """Pattern cold_return: requests for keys of a lost data centre kept coming."""
    async with run_gateway(plan=make_plan(timeout_s=2.0)) as (gateway, view):
        view.directory.put(make_record("u0", port=CLOSED_PORT), monotonic())
        first = await ask(gateway, left_s=2.0)
        assert (first.status, verdict(first)) == (503, "not-run")
        began = monotonic()
        rest = await gather(
            *(ask(gateway, request_id=f"r{at}", left_s=2.0) for at in range(10))
        )
        assert monotonic() - began < AT_ONCE_S
    assert {(one.status, verdict(one)) for one in rest} == {(503, "not-run")}
    assert all(retry_after(one) > 0.0 for one in rest)


async def test_owner_that_is_back_is_used_again():
    upstream = Upstream()
    async with run_gateway(upstream, plan=make_plan(timeout_s=2.0)) as (gateway, view):
        there = view.directory.get("u0")
        view.directory.put(make_record("u0", port=CLOSED_PORT), monotonic())
        assert (await ask(gateway, left_s=2.0)).status == 503
        view.directory.put(there, monotonic())
        await sleep(0.6)
        assert (await ask(gateway, left_s=2.0)).status == 200


async def test_owner_with_too_many_connections_costs_one_filing_its_verdict():
    """Pattern hot_key: all instances connect to one owner, which closes new ones."""
    upstream = Upstream(*[break_off()] * 20)
    plan = make_plan(idempotent=False, timeout_s=2.0)
    async with run_gateway(upstream, plan=plan) as (gateway, _):
        first = await ask(gateway, left_s=2.0)
        assert (first.status, verdict(first)) == (502, "may-have-run")
        rest = await gather(
            *(ask(gateway, request_id=f"r{at}", left_s=2.0) for at in range(10))
        )
    assert {(one.status, verdict(one)) for one in rest} == {(503, "not-run")}
    assert len(upstream.requests) == 1


async def test_lookup_whose_new_connection_ended_is_sent_again():
    upstream = Upstream(break_off())
    async with run_gateway(upstream, plan=make_plan(timeout_s=2.0)) as (gateway, _):
        assert (await ask(gateway, left_s=2.0)).status == 200
    assert len(upstream.requests) == 2


async def test_nothing_is_sent_on_a_connection_that_is_closed_at_once():
    class ClosingUpstream(Upstream):
        async def serve(self, reader, writer):
            self.closed += 1
            writer.transport.abort()

    upstream = ClosingUpstream()
    plan = make_plan(idempotent=False, timeout_s=2.0)
    async with run_gateway(upstream, plan=plan) as (gateway, _):
        await ask(gateway, left_s=2.0)
        await sleep(0.3)
        given = await ask(gateway, left_s=2.0)
        assert upstream.closed >= 2
    assert (given.status, verdict(given)) == (503, "not-run")


async def test_doubt_outlasts_a_connection_that_stays_open():
    """Pattern hot_key in a large fleet: its owner closes new ones for seconds."""

    class FullUpstream(Upstream):
        full = False

        async def serve(self, reader, writer):
            if self.full:
                writer.transport.abort()
                return
            await super().serve(reader, writer)

    upstream = FullUpstream(break_off())
    plan = make_plan(idempotent=False, timeout_s=2.0)
    async with run_gateway(upstream, plan=plan) as (gateway, _):
        await ask(gateway, left_s=2.0)
        await sleep(0.3)
        assert (await ask(gateway, left_s=2.0)).status == 200
        upstream.full = True
        gateway._sender._pools.close()
        given = await ask(gateway, left_s=2.0)
    assert (given.status, verdict(given)) == (503, "not-run")


async def test_unreachable_upstream_without_keys_is_passed_over():
    """Pattern srv_crash: each request found out for itself that one is gone."""
    plan = make_plan(keyed=False)
    upstream = Upstream()
    async with run_gateway(upstream, plan=plan) as (gateway, view):
        view.directory.put(make_record("u9", port=CLOSED_PORT), monotonic())
        gone = view.directory.get("u9")
        gateway._selector._connect_failures.record_failure(gone, monotonic())
        for at in range(5):
            given = await ask(gateway, request_id=f"r{at}")
            assert given.status == 200
            assert not gateway._selector._connect_failures.retry_delay_s(
                gone, monotonic() + 0.3
            )


async def test_members_hear_how_long_a_lost_owner_keeps_its_keys():
    async with run_system(get_running_loop()) as system:
        upstream = system.upstreams["u1"]
        key = upstream.holdings[0].first
        upstream.reachable = False
        member = next(one for one in system.instances.values() if not one.leads)

        def waits():
            return member.view.unowned.estimate_wait("ledger", key, monotonic())

        for instance in system.instances.values():
            instance.view.directory.remove("u1", monotonic())
        await wait_for(lambda: waits() is not None, 1.0)
        # The hold of the tests' settings, and its margins.
        assert 0.0 < waits() <= 0.7
        await wait_for(lambda: system.all_served() and system.all_follow())
        assert waits() is None


async def test_successor_says_how_long_a_lost_owner_keeps_its_keys():
    """Pattern roll_term after a loss: the map of a takeover didn't say it."""
    async with run_system(get_running_loop()) as system:
        key = system.upstreams["u1"].holdings[0].first
        old, _ = await replace_leader_of_a_lost_owner(system)
        member = next(one for one in system.instances.values() if not one.leads)
        await wait_for(lambda: member.view.epoch > 1, 2.0)
        unowned = member.view.unowned
        assert unowned.estimate_wait("ledger", key, monotonic()) is not None
        await wait_for(lambda: system.all_served() and system.all_follow())
        old.follower.close()
