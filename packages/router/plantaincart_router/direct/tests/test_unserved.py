"""Requests for keys that are unowned, or whose owner is unreachable."""

from asyncio import create_task, gather, get_running_loop, sleep
from time import monotonic

from plantaincart_core.ownermap import KeyRange
from plantaincart_router.direct.tests.fakes import make_plan, make_record
from plantaincart_router.direct.tests.test_coordinator import (
    replace_coordinator_during_an_owner_loss,
    run_system,
    wait_for,
)
from plantaincart_router.direct.tests.test_gateway import (
    Upstream,
    call_gateway,
    close_connection,
    run_gateway,
    verdict,
)
from plantaincart_router.http.message import find_header
from plantaincart_schema.generated.direct import CoordinatorNotice, MapChange

MAX_REFUSAL_S = 0.1
# Loopback port without a listener.
CLOSED_PORT = 1


def apply_moving(view, free_in_s):
    """Apply a notice that keys 0 to 99 are unowned for some seconds."""
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


def retry_after(response):
    return float(find_header(response.headers, "retry-after"))


async def test_key_that_is_free_after_the_deadline_is_refused_at_once():
    """A lost owner's grant expires after the caller's deadline (srv_crash, dark)."""
    upstream = Upstream()
    plan = make_plan(idempotent=False, timeout_s=2.0)
    async with run_gateway(upstream, plan=plan) as (gateway, view):
        apply_moving(view, free_in_s=1.5)
        started_at = monotonic()
        response = await call_gateway(gateway, remaining_s=1.0)
        assert monotonic() - started_at < MAX_REFUSAL_S
    assert (response.status, verdict(response)) == (503, "not-run")
    assert retry_after(response) >= 1.4
    assert upstream.requests == []


async def test_request_for_a_key_that_is_free_soon_is_parked():
    """A release takes as long as the requests in progress (pattern hot_key)."""
    old, new = Upstream(), Upstream()
    async with run_gateway(old, new, plan=make_plan()) as (gateway, view):
        apply_moving(view, free_in_s=0.2)
        task = create_task(call_gateway(gateway, remaining_s=1.0))
        await sleep(0.3)
        assert not task.done()
        view.owners["ledger"].assign(
            KeyRange(first=0, last=99, owner="u1", born=1, fence=2)
        )
        view._wake_waiters()
        assert (await task).status == 200
    assert (len(old.requests), len(new.requests)) == (0, 1)


async def test_overdue_handover_ends_parking():
    async with run_gateway(Upstream(), plan=make_plan()) as (gateway, view):
        apply_moving(view, free_in_s=0.05)
        started_at = monotonic()
        response = await call_gateway(gateway, remaining_s=1.0)
        assert monotonic() - started_at < 0.8
    assert (response.status, verdict(response)) == (503, "not-run")


async def test_unreachable_owner_is_tried_by_few_requests():
    """Requests for keys of a lost data centre arrive steadily (pattern cold_return)."""
    async with run_gateway(plan=make_plan(timeout_s=2.0)) as (gateway, view):
        view.directory.put(make_record("u0", port=CLOSED_PORT), monotonic())
        first = await call_gateway(gateway, remaining_s=2.0)
        assert (first.status, verdict(first)) == (503, "not-run")
        started_at = monotonic()
        rest = await gather(
            *(
                call_gateway(gateway, request_id=f"r{at}", remaining_s=2.0)
                for at in range(10)
            )
        )
        assert monotonic() - started_at < MAX_REFUSAL_S
    assert {(refused.status, verdict(refused)) for refused in rest} == {
        (503, "not-run")
    }
    assert all(retry_after(refused) > 0.0 for refused in rest)


async def test_reachable_owner_is_used_again():
    upstream = Upstream()
    async with run_gateway(upstream, plan=make_plan(timeout_s=2.0)) as (gateway, view):
        reachable = view.directory.get("u0")
        view.directory.put(make_record("u0", port=CLOSED_PORT), monotonic())
        assert (await call_gateway(gateway, remaining_s=2.0)).status == 503
        view.directory.put(reachable, monotonic())
        await sleep(0.6)
        assert (await call_gateway(gateway, remaining_s=2.0)).status == 200


async def test_owner_that_closes_connections_leaves_one_request_uncertain():
    """All instances connect to one owner, which closes new connections (hot_key)."""
    upstream = Upstream(*[close_connection()] * 20)
    plan = make_plan(idempotent=False, timeout_s=2.0)
    async with run_gateway(upstream, plan=plan) as (gateway, _):
        first = await call_gateway(gateway, remaining_s=2.0)
        assert (first.status, verdict(first)) == (502, "may-have-run")
        rest = await gather(
            *(
                call_gateway(gateway, request_id=f"r{at}", remaining_s=2.0)
                for at in range(10)
            )
        )
    assert {(refused.status, verdict(refused)) for refused in rest} == {
        (503, "not-run")
    }
    assert len(upstream.requests) == 1


async def test_idempotent_request_on_a_closed_connection_is_retried():
    upstream = Upstream(close_connection())
    async with run_gateway(upstream, plan=make_plan(timeout_s=2.0)) as (gateway, _):
        assert (await call_gateway(gateway, remaining_s=2.0)).status == 200
    assert len(upstream.requests) == 2


async def test_no_request_is_sent_on_a_connection_that_is_closed_at_once():
    class ClosingUpstream(Upstream):
        async def serve(self, reader, writer):
            self.closed += 1
            writer.transport.abort()

    upstream = ClosingUpstream()
    plan = make_plan(idempotent=False, timeout_s=2.0)
    async with run_gateway(upstream, plan=plan) as (gateway, _):
        await call_gateway(gateway, remaining_s=2.0)
        await sleep(0.3)
        response = await call_gateway(gateway, remaining_s=2.0)
        assert upstream.closed >= 2
    assert (response.status, verdict(response)) == (503, "not-run")


async def test_first_request_to_an_owner_with_a_long_queue_is_not_lost():
    """
    An owner with a long queue accepts fewer connections (hot_key in a large fleet).

    Each of some hundred instances lost requests before it noticed that.
    """

    class ClosingUpstream(Upstream):
        async def serve(self, reader, writer):
            writer.transport.abort()

    plan = make_plan(idempotent=False, timeout_s=2.0)
    async with run_gateway(ClosingUpstream(), plan=plan) as (gateway, _):
        response = await call_gateway(gateway, remaining_s=2.0)
    assert (response.status, verdict(response)) == (503, "not-run")


async def test_callers_return_later_to_an_owner_with_a_standing_queue():
    """A key stays hot for seconds (hot_key); returns would only delay other callers."""
    plan = make_plan(idempotent=False, timeout_s=2.0)
    async with run_gateway(Upstream(), plan=plan) as (gateway, view):
        load = view.loads.get("u0")
        load.set_peer_in_flight(12, monotonic())
        response = await call_gateway(gateway, remaining_s=2.0)
        assert response.status == 503
        assert retry_after(response) < 0.7
        load.record_occupancy(False, monotonic(), 0.8)
        for ago_s in (1.5, 0.8, 0.1):
            load.record_occupancy(True, monotonic() - ago_s, 0.8)
        response = await call_gateway(gateway, request_id="r2", remaining_s=2.0)
    assert (response.status, verdict(response)) == (503, "not-run")
    assert retry_after(response) >= 1.4


async def test_new_connections_are_checked_after_one_has_stayed_open():
    """An owner closes new connections for seconds (hot_key in a large fleet)."""

    class OverloadedUpstream(Upstream):
        closes_connections = False

        async def serve(self, reader, writer):
            if self.closes_connections:
                writer.transport.abort()
                return
            await super().serve(reader, writer)

    upstream = OverloadedUpstream(close_connection())
    plan = make_plan(idempotent=False, timeout_s=2.0)
    async with run_gateway(upstream, plan=plan) as (gateway, _):
        await call_gateway(gateway, remaining_s=2.0)
        await sleep(0.3)
        assert (await call_gateway(gateway, remaining_s=2.0)).status == 200
        upstream.closes_connections = True
        gateway._pools.close()
        response = await call_gateway(gateway, remaining_s=2.0)
    assert (response.status, verdict(response)) == (503, "not-run")


async def test_unreachable_upstream_without_keys_is_skipped():
    """Each request tried to connect to an upstream that was gone (srv_crash)."""
    plan = make_plan(keyed=False)
    upstream = Upstream()
    async with run_gateway(upstream, plan=plan) as (gateway, view):
        view.directory.put(make_record("u9", port=CLOSED_PORT), monotonic())
        unreachable = view.directory.get("u9")
        gateway._pools.connect_failures.record_failure(unreachable, monotonic())
        for at in range(5):
            response = await call_gateway(gateway, request_id=f"r{at}")
            assert response.status == 200
            assert not gateway._pools.connect_failures.retry_delay_s(
                unreachable, monotonic() + 0.3
            )


async def test_members_get_the_time_until_keys_of_a_lost_owner_are_free():
    async with run_system(get_running_loop()) as system:
        upstream = system.upstreams["u1"]
        key = upstream.grants[0].first
        upstream.reachable = False
        member = next(
            instance
            for instance in system.instances.values()
            if not instance.is_coordinator
        )

        def estimate_wait():
            return member.view.unowned.estimate_wait("ledger", key, monotonic())

        for instance in system.instances.values():
            instance.view.directory.remove("u1", monotonic())
        await wait_for(lambda: estimate_wait() is not None, 1.0)
        # Grant duration of the test settings, with its margins.
        assert 0.0 < estimate_wait() <= 0.7
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree())
        assert estimate_wait() is None


async def test_successor_announces_the_time_until_keys_are_free():
    """The first map after a takeover lacked the time (roll_term after a loss)."""
    async with run_system(get_running_loop()) as system:
        key = system.upstreams["u1"].grants[0].first
        old, _ = await replace_coordinator_during_an_owner_loss(system)
        member = next(
            instance
            for instance in system.instances.values()
            if not instance.is_coordinator
        )
        await wait_for(lambda: member.view.epoch > 1, 2.0)
        unowned = member.view.unowned
        assert unowned.estimate_wait("ledger", key, monotonic()) is not None
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree())
        old.follower.close()
