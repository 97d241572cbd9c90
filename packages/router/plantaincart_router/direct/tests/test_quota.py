"""Upstreams in need name the requests a second that they take from all (LIMIT)."""

from asyncio import create_task, gather, get_running_loop, sleep
from dataclasses import replace
from time import monotonic, time

import pytest
from plantaincart_core.directory import UpstreamDirectory
from plantaincart_core.permit import PermitIssuer
from plantaincart_router.direct import quota
from plantaincart_router.direct.messagecheck import check_notice, check_report
from plantaincart_router.direct.quota import UpstreamQuotas
from plantaincart_router.direct.tests.fakes import make_notice, make_plan, make_record
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
from plantaincart_schema.codec import decode_msgpack, encode_msgpack
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.direct import (
    CoordinatorNotice,
    LimitReport,
    MemberReport,
    Quota,
)

LIMITED = make_record("u1")
PROCESS = ("u1", 1)


def make_quotas(members=1, rank=0, upstreams=("u1", "u2")):
    directory = UpstreamDirectory()
    for name in upstreams:
        directory.put(make_record(name), 0.0)
    quotas = UpstreamQuotas(directory)
    quotas.members, quotas.rank = members, rank
    return quotas


def hear(quotas, per_s, now, sent_at=None, record=LIMITED):
    quotas.record_answer(record, per_s, now if sent_at is None else sent_at, now)


def make_quota(permits=0, per_s=2.0, age_s=0.0, wait_s=0.0):
    return Quota(
        upstream="u1",
        born=1,
        per_s=per_s,
        age_s=age_s,
        permits=permits,
        wait_s=wait_s,
    )


def forget_start(quotas):
    """Make a limit known for long, so that instances don't wait for the coordinator."""
    for process in quotas._known_since:
        quotas._known_since[process] = float("-inf")


async def test_upstream_without_a_limit_needs_no_permit():
    quotas = make_quotas()
    assert await quotas.acquire(LIMITED, 0, 0.0)
    assert quotas.list_reports(1.0) == []


async def test_request_waits_for_a_permit():
    """An instance sent as many requests as callers asked for (LIMIT)."""
    quotas = make_quotas()
    hear(quotas, 2.0, monotonic())
    assert not await quotas.acquire(LIMITED, 0, 0.05)
    request = create_task(quotas.acquire(LIMITED, 0, 1.0))
    await sleep(0.01)
    assert [report.waiting for report in quotas.list_reports(monotonic())] == [1]
    quotas.apply([make_quota(permits=1)], monotonic())
    assert await request
    assert not await quotas.acquire(LIMITED, 0, 0.0)


async def test_most_urgent_request_gets_the_permit():
    """Urgent filings were refused while lookups were sent."""
    quotas = make_quotas()
    hear(quotas, 2.0, monotonic())
    lookup = create_task(quotas.acquire(LIMITED, 2, 0.3))
    filing = create_task(quotas.acquire(LIMITED, 0, 0.3))
    await sleep(0.01)
    quotas.apply([make_quota(permits=1)], monotonic())
    assert await gather(lookup, filing) == [False, True]


async def test_unused_permit_lapses():
    """Permits of a lost coordinator add up with those of its successor (LIMIT)."""
    quotas = make_quotas()
    hear(quotas, 2.0, monotonic() - 0.1)
    quotas.apply([make_quota(permits=3)], monotonic() - quota.PERMIT_S - 0.01)
    assert not quotas._has_permit(PROCESS, monotonic())


async def test_end_of_a_limit_releases_waiting_requests():
    quotas = make_quotas()
    hear(quotas, 2.0, monotonic())
    request = create_task(quotas.acquire(LIMITED, 0, 1.0))
    await sleep(0.01)
    hear(quotas, None, monotonic() + 0.1)
    assert await request
    assert quotas.estimate_wait_s(LIMITED, monotonic()) == 0.0


async def test_answer_from_before_the_limit_does_not_end_it():
    """An answer that was under way when the limit was named counted as its end."""
    quotas = make_quotas()
    now = monotonic()
    hear(quotas, 2.0, now)
    hear(quotas, None, now + 0.2, sent_at=now - 0.1)
    assert quotas.limits.find(PROCESS) == 2.0
    hear(quotas, None, now + 0.4, sent_at=now + 0.3)
    assert quotas.limits.find(PROCESS) is None


def test_latest_statement_counts_on_any_way():
    """An older report of a member brought back a limit that had ended."""
    first, second = make_quotas(), make_quotas()
    hear(first, 2.0, 10.0)
    stale = first.list_reports(10.5)
    hear(second, None, 12.0, sent_at=11.0)
    assert second.merge(stale, 10.6)
    hear(second, None, 12.0, sent_at=11.0)
    assert not second.merge(stale, 10.7)
    assert second.limits.find(PROCESS) is None
    assert first.merge(second.list_reports(12.1), 12.1)
    assert first.limits.find(PROCESS) is None


def test_statement_that_is_passed_on_does_not_become_later():
    first, second = make_quotas(), make_quotas()
    hear(first, 2.0, 10.0)
    now = 10.0
    for _ in range(200):
        now += 0.01
        # Each message takes a while, in which the statement seems to age less.
        second.merge(first.list_reports(now), now + 0.02)
        first.merge(second.list_reports(now), now + 0.02)
    assert first.limits.find_heard_at(PROCESS) < 10.2


async def test_instances_take_turns_while_the_coordinator_is_silent():
    """Each instance heeded the limit for itself, so the sum exceeded it (LIMIT)."""
    instances = [make_quotas(members=8, rank=rank) for rank in range(8)]
    for quotas in instances:
        hear(quotas, 4.0, monotonic())
        forget_start(quotas)
    began_at, sent = monotonic(), 0
    while monotonic() - began_at < 2.0:
        for quotas in instances:
            sent += quotas._may_send(PROCESS, monotonic())
        await sleep(0.01)
    # One a turn of 0.25 s, in up to nine turns that are touched.
    assert 7 <= sent <= 9


async def test_nothing_is_sent_by_an_instance_that_knows_no_turn():
    quotas = make_quotas(members=8, rank=None)
    hear(quotas, 4.0, monotonic())
    forget_start(quotas)
    assert not await quotas.acquire(LIMITED, 0, 0.3)
    assert quotas.estimate_wait_s(LIMITED, monotonic()) > 0.0


async def test_turns_end_when_the_coordinator_issues_permits():
    quotas = make_quotas(members=1, rank=0)
    hear(quotas, 50.0, monotonic())
    forget_start(quotas)
    assert quotas._may_send(PROCESS, monotonic())
    quotas.apply([make_quota(per_s=50.0)], monotonic())
    await sleep(0.05)
    assert not quotas._may_send(PROCESS, monotonic())


def test_sum_of_the_permits_keeps_the_limit_over_two_issuers():
    """A new coordinator issued what its predecessor had just issued (LIMIT)."""
    issued = []
    now = 0.0
    for _ in range(2):
        issuer = PermitIssuer()
        issuer.set_limits({PROCESS: 3.0}, now)
        for _ in range(100):
            now += 0.05
            for member in ("r1", "r2", "r3"):
                issuer.set_waiting(member, {PROCESS: 4})
                issued += [now] * issuer.issue(member, PROCESS, now)
    for start in issued:
        window = [at for at in issued if start <= at < start + 4.0]
        assert len(window) <= 3.0 * 4.0 + 2
    assert len(issued) >= 0.9 * 3.0 * now - 2


def test_waiting_requests_of_lost_instances_are_forgotten():
    issuer = PermitIssuer()
    issuer.set_limits({PROCESS: 1.0}, 0.0)
    issuer.set_waiting("r1", {PROCESS: 50})
    issuer.set_waiting("r2", {PROCESS: 1})
    issuer.retain(["r2"])
    assert issuer.estimate_wait_s(PROCESS, 0.0) == 2.0


def test_state_ends_with_the_process_and_ignores_unknown_ones():
    """Members that name ever other upstreams fill the memory of all instances."""
    quotas = make_quotas()
    reports = [
        LimitReport(upstream=f"x{number}", born=1, per_s=1.0, age_s=0.0)
        for number in range(1000)
    ]
    assert not quotas.merge(reports, 1.0)
    hear(quotas, 2.0, 1.0)
    quotas.apply([make_quota(permits=1)], 1.0)
    quotas.remove(LIMITED)
    assert len(quotas.limits) == 0
    assert not quotas._permits
    assert not quotas._known_since


REPORT = {
    "member": "r1",
    "incarnation": "i",
    "address": "127.0.0.1:1",
    "epoch": 1,
    "map_version": 1,
    "store_silent_s": 0.0,
}
LIMIT = LimitReport(upstream="u1", born=1, per_s=1.0, age_s=0.0)


@pytest.mark.parametrize(
    "fields",
    [
        {"upstream": "u" * 300},
        {"born": -1},
        {"per_s": float("nan")},
        {"per_s": -1.0},
        {"age_s": float("nan")},
        {"age_s": -1.0},
        {"waiting": -1},
        {"waiting": 10**9},
    ],
)
def test_reports_out_of_range_are_refused(fields):
    check_report(MemberReport(**REPORT, limits=[LIMIT]))
    with pytest.raises(MalformedMessageError):
        check_report(MemberReport(**REPORT, limits=[replace(LIMIT, **fields)]))


@pytest.mark.parametrize(
    "fields",
    [{"permits": -1}, {"permits": 10**9}, {"wait_s": float("nan")}, {"per_s": 1e9}],
)
def test_notices_out_of_range_are_refused(fields):
    check_notice(make_notice(quotas=[make_quota(permits=1)]))
    with pytest.raises(MalformedMessageError):
        check_notice(make_notice(quotas=[replace(make_quota(), **fields)]))


def test_messages_of_another_build_are_read():
    """Instances of two builds run side by side during an upgrade."""
    assert decode_msgpack(encode_msgpack(REPORT), MemberReport).limits == []
    fields = {"coordinator": "r1", "epoch": 1, "members": 1, "map_version": 1}
    earlier = encode_msgpack({**fields, "complete": False})
    assert decode_msgpack(earlier, CoordinatorNotice).quotas == []


def limited(per_s, delay_s=0.0):
    return answer(headers=f"limit: {per_s}\r\n", delay_s=delay_s)


@pytest.mark.parametrize("keyed", [True, False])
async def test_requests_beyond_the_limit_are_refused_as_not_run(keyed):
    """An upstream in need got all requests for its keys (LIMIT)."""
    upstream = Upstream(*[limited(1.0)] * 50)
    plan = make_plan(keyed=keyed, idempotent=False, timeout_s=2.0)
    async with run_gateway(upstream, plan=plan) as (gateway, view):
        assert (await call_gateway(gateway)).status == 200
        view.quotas.rank = 0
        responses = await gather(
            *(call_gateway(gateway, request_id=f"r{number}") for number in range(20))
        )
        refused = [each for each in responses if each.status != 200]
        assert len(refused) >= 18
        assert {(each.status, verdict(each)) for each in refused} == {(503, "not-run")}
        assert all(float(find_header(each.headers, "retry-after")) for each in refused)
    assert len(upstream.requests) <= 3


async def test_unkeyed_requests_use_upstreams_without_a_limit():
    """Callers were refused though other upstreams had free slots."""
    in_need = Upstream(*[limited(0.5)] * 50)
    # Slower than usual, so that the other one seems to be the better choice.
    other = Upstream(*[answer(delay_s=0.2)] * 50)
    plan = make_plan(keyed=False, timeout_s=2.0)
    async with run_gateway(in_need, other, plan=plan) as (gateway, view):
        view.quotas.rank = 0
        for number in range(12):
            response = await call_gateway(gateway, request_id=f"r{number}")
            assert response.status == 200
    assert len(in_need.requests) <= 1 + 0.5 * 12 * 0.25 + 1


def all_heard(system, per_s):
    return all(
        instance.view.quotas.limits.find(PROCESS) == per_s
        for instance in system.instances.values()
    )


async def test_all_instances_and_a_later_coordinator_learn_of_a_limit():
    """One instance heard of a limit, and callers came to the others (LIMIT)."""
    async with run_system(get_running_loop()) as system:
        follower = next(
            instance
            for instance in system.instances.values()
            if not instance.is_coordinator
        )
        hear(follower.view.quotas, 2.0, monotonic())
        await wait_for(lambda: all_heard(system, 2.0))
        system.kill(system.find_coordinator().settings.name)
        joined = system.add("r9", get_running_loop())
        await wait_for(lambda: joined.view.quotas.limits.find(PROCESS) == 2.0)
        waiting = [
            create_task(instance.view.quotas.acquire(LIMITED, 0, 4.0))
            for instance in system.instances.values()
        ]
        assert all(await gather(*waiting))
        hear(joined.view.quotas, None, monotonic())
        await wait_for(lambda: all_heard(system, None))


async def test_permits_of_all_instances_keep_the_limit():
    """Each of several instances got as many permits as the upstream takes (LIMIT)."""
    async with run_system(get_running_loop()) as system:
        for instance in system.instances.values():
            hear(instance.view.quotas, 5.0, monotonic())
        sent = []

        async def ask(instance, until):
            while monotonic() < until:
                if await instance.view.quotas.acquire(LIMITED, 0, 0.5):
                    sent.append(monotonic())

        until = monotonic() + 3.0
        await gather(
            *(
                ask(instance, until)
                for instance in system.instances.values()
                for _ in range(3)
            )
        )
        assert 0.6 * 5.0 * 3.0 <= len(sent) <= 5.0 * 3.5 + 3


async def test_keys_with_load_leave_a_limited_owner():
    """Callers of a limited owner's keys are refused for as long as it is in need."""
    async with run_system(get_running_loop()) as system:
        owned = [key for key in SAMPLE_KEYS if system.upstreams["u1"].owns(key)]

        def count_owned():
            for instance in system.instances.values():
                hear(instance.view.quotas, 0.5, monotonic())
                for key in SAMPLE_KEYS:
                    instance.view.key_demand.record_load("ledger", key, 0.05)
            return sum(system.upstreams["u1"].owns(key) for key in owned)

        await wait_for(lambda: count_owned() <= len(owned) // 2, 6.0)


async def test_coordinator_of_an_earlier_build_issues_nothing():
    """During an upgrade the coordinator may know no limits; callers must be served."""
    quotas = make_quotas(members=2, rank=int(time() * 5.0) % 2)
    hear(quotas, 5.0, monotonic())
    forget_start(quotas)
    quotas.apply([], monotonic())
    assert await quotas.acquire(LIMITED, 0, 1.0)
