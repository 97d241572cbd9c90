"""Quotas of accounts over five real instances, as counted by an upstream."""

from asyncio import create_task, gather, get_running_loop, sleep
from collections import Counter
from contextlib import asynccontextmanager, closing, suppress
from dataclasses import replace
from functools import partial
from random import Random
from time import monotonic

import pytest
from plantaincart_core.account import ClientAccount, digest_key
from plantaincart_core.accountquota import QuotaBounds
from plantaincart_core.traffic import RoutingConfiguration, ServicePolicy
from plantaincart_router.direct.clock import read_boot_time
from plantaincart_router.direct.gateway import Gateway
from plantaincart_router.direct.messagecheck import check_notice, check_report
from plantaincart_router.direct.metrics import RouterMetrics
from plantaincart_router.direct.pool import UpstreamPools
from plantaincart_router.direct.tests.fakes import (
    PlainDialect,
    make_notice,
    make_plan,
    make_record,
)
from plantaincart_router.direct.tests.memorysystem import run_system, wait_for
from plantaincart_router.http.caller import CallerConnection
from plantaincart_router.http.message import HttpRequest
from plantaincart_schema.codec import decode_msgpack, encode_msgpack
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.direct import (
    AccountQuota,
    AccountReport,
    CoordinatorNotice,
    MemberReport,
)
from plantaincart_testing.streams import start_server

NAMES = ("r1", "r2", "r3", "r4", "r5")
BOUNDS = QuotaBounds()
RATE, BURST = 60.0, 30.0
# Most callers of the account come to the same instances.
WEIGHTS = (8, 4, 2, 1, 1)


def make_account(rate=RATE, burst=BURST, name="depot"):
    return ClientAccount(
        name=name,
        key_digests=frozenset([digest_key(name)]),
        rate_per_s=rate,
        burst=burst,
    )


def make_account_plan(version, *accounts):
    """Return a plan whose requests go to the service `desk`."""
    plan = make_plan(version, keyed=False, accounts=accounts, timeout_s=4.0)
    desk = replace(plan.routes[0].services[0], service="desk")
    services = {
        "ledger": replace(plan.services["ledger"], keyed=True),
        "desk": ServicePolicy(
            name="desk",
            keyed=False,
            health_path="/health",
            max_connections=1000,
            cold_requests_per_s=0.0,
        ),
    }
    route = replace(plan.routes[0], services=(desk,))
    return RoutingConfiguration(
        version=version, routes=(route,), services=services, accounts=plan.accounts
    )


class Desk:
    """Upstream that counts requests by account."""

    def __init__(self):
        self.arrivals = {}

    async def serve(self, reader, writer):
        # A writer that is left open raises an error after the event loop has ended.
        with suppress(EOFError, ConnectionError), closing(writer):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                fields = dict(
                    line.split(": ", 1)
                    for line in head.decode().split("\r\n")[1:]
                    if line
                )
                times = self.arrivals.setdefault(fields.get("account"), [])
                times.append(monotonic())
                writer.write(
                    f"HTTP/1.1 200 X\r\nid: {fields['id']}\r\n"
                    "content-length: 0\r\n\r\n".encode()
                )

    def count(self, account="depot", since=0.0):
        return sum(at >= since for at in self.arrivals.get(account, ()))

    def find_fullest(self, account="depot", since=0.0):
        """Return the most requests in a window."""
        times = [at for at in self.arrivals.get(account, ()) if at >= since]
        first = most = 0
        for number, at in enumerate(times):
            while at - times[first] > BOUNDS.window_s:
                first += 1
            most = max(most, number - first + 1)
        return most


class QuotaSystem:
    """Five instances with their gateways, and one upstream."""

    def __init__(self, system, desk, port):
        self.system = system
        self.desk = desk
        self.random = Random(7)
        self.statuses = Counter()
        self.gateways = {}
        self.pools = []
        record = replace(make_record("d1", service="desk", port=port), slots=1000)
        for name, instance in system.instances.items():
            pools = UpstreamPools(instance.settings.send)
            instance.view.directory.put(record, monotonic())
            self.pools.append(pools)
            self.gateways[name] = Gateway(
                instance.settings,
                instance.view,
                PlainDialect(),
                pools,
                RouterMetrics(dict),
            )

    def adopt(self, version, *accounts):
        for instance in self.system.instances.values():
            instance.view._adopt_routing_config(make_account_plan(version, *accounts))

    async def send_one(self, name, number, account):
        headers = (
            ("host", "a.example"),
            ("id", f"{account}-{number}"),
            ("left-s", "3.0"),
            ("account-key", account),
        )
        request = HttpRequest("GET", "/x", headers)
        answer = await self.gateways[name].handle(request, CallerConnection())
        self.statuses[account, answer.status] += 1

    async def send_for(self, seconds, per_s, account="depot", weights=WEIGHTS):
        tasks, began_at = [], monotonic()
        for number in range(int(seconds * per_s)):
            name = self.random.choices(NAMES, weights)[0]
            tasks.append(create_task(self.send_one(name, number, account)))
            await sleep(max(0.0, began_at + (number + 1) / per_s - monotonic()))
        await gather(*tasks)

    def all_led(self):
        return all(
            instance.view.account_fact.quotas.has_been_led
            and instance.view.rank is not None
            for instance in self.system.instances.values()
        )


@asynccontextmanager
async def run_quota_system(*accounts):
    desk = Desk()
    server = await start_server(desk.serve, "127.0.0.1", 0)
    async with run_system(get_running_loop(), names=NAMES) as system:
        port = server.sockets[0].getsockname()[1]
        quota_system = QuotaSystem(system, desk, port)
        quota_system.adopt(2, *(accounts or [make_account()]))
        try:
            await wait_for(quota_system.all_led, 4.0)
            yield quota_system
        finally:
            for pools in quota_system.pools:
                pools.close()
            server.close()


async def test_account_within_its_quota_is_never_refused():
    accounts = [make_account(), make_account(3.0, 3.0, "small")]
    async with run_quota_system(*accounts) as quotas:
        await gather(
            quotas.send_for(6.0, 0.6 * RATE, weights=(1,) * 5),
            quotas.send_for(6.0, 2.0, "small", weights=(1,) * 5),
        )
    assert {status for _, status in quotas.statuses} == {200}


async def test_hot_account_gets_its_quota_and_others_theirs():
    accounts = [make_account(), make_account(10.0, 10.0, "small")]
    async with run_quota_system(*accounts) as quotas:
        await gather(
            quotas.send_for(7.0, 4.0 * RATE), quotas.send_for(7.0, 6.0, "small")
        )
    assert quotas.desk.find_fullest() <= BOUNDS.find_limit(make_account())
    assert quotas.desk.count() >= 0.95 * 7.0 * RATE
    assert quotas.statuses["small", 429] == 0


def lose_coordinator(system):
    system.find_coordinator().follower.close()


def cut_off_one(system):
    """One instance hears of nobody, and its callers go on."""
    next(
        instance
        for instance in system.instances.values()
        if not instance.is_coordinator
    ).follower.close()


def lose_store(system):
    system.store.refused_clients |= set(NAMES)


def lose_store_and_coordinator(system):
    lose_store(system)
    lose_coordinator(system)


@pytest.mark.parametrize(
    ("fault", "used_share"),
    [
        (lose_coordinator, 0.95),
        (cut_off_one, 0.95),
        (lose_store, 0.95),
        # Each instance has an equal share, which not all of them use.
        (lose_store_and_coordinator, 0.0),
    ],
)
async def test_sum_is_kept_over_a_fault(fault, used_share):
    async with run_quota_system() as quotas:
        began_at = monotonic()
        sending = create_task(quotas.send_for(9.0, 4.0 * RATE))
        await sleep(1.5)
        fault(quotas.system)
        await sending
    assert quotas.desk.find_fullest() <= BOUNDS.find_limit(make_account())
    used = quotas.desk.count(since=began_at)
    assert used >= used_share * (9.0 * RATE)
    assert used >= 0.5 * 9.0 * RATE


async def test_instance_that_was_frozen_uses_nothing_of_before():
    """Its tasks stand still, and notices wait for it."""
    async with run_quota_system() as quotas:
        name, frozen = next(
            (name, instance)
            for name, instance in quotas.system.instances.items()
            if not instance.is_coordinator
        )
        weights = [int(other != name) for other in NAMES]
        sending = create_task(quotas.send_for(8.0, 4.0 * RATE, weights=weights))
        await sleep(1.0)
        for number in range(3):
            await quotas.send_one(name, f"before-{number}", "depot")
        fact, held = frozen.view.account_fact, []
        fact.apply = lambda notice, now: held.append((notice, now))
        frozen.follower._report = lambda: None
        await sleep(1.0)
        del fact.apply, frozen.follower._report
        for notice, now in held:
            fact.apply(notice, now)
        state = fact.quotas._states["depot"]
        assert state.expires_at < read_boot_time()
        late = [
            quotas.send_one(name, f"late-{number}", "depot") for number in range(60)
        ]
        await gather(*late)
        await sending
    assert quotas.desk.find_fullest() <= BOUNDS.find_limit(make_account())


async def test_lowered_quota_is_kept_after_a_window():
    async with run_quota_system() as quotas:
        sending = create_task(quotas.send_for(13.0, 3.0 * RATE))
        await sleep(2.0)
        low = make_account(10.0, 10.0)
        quotas.adopt(3, low)
        await sleep(BOUNDS.window_s)
        since = monotonic()
        await sending
        lasted_s = monotonic() - since
    assert quotas.desk.find_fullest(since=since) <= BOUNDS.find_limit(low)
    assert quotas.desk.count(since=since) >= 0.95 * 10.0 * min(lasted_s, 5.9)


async def test_sum_is_kept_while_answers_are_slow():
    """Each answer of the coordinator comes after its receiver is alone."""
    loop, low = get_running_loop(), make_account(10.0, 10.0)
    async with run_quota_system() as quotas:
        for instance in quotas.system.instances.values():
            fact = instance.view.account_fact
            fact.apply = partial(loop.call_later, 0.7, fact.apply)
        sending = create_task(quotas.send_for(11.0, 3.0 * RATE))
        await sleep(2.0)
        quotas.adopt(3, low)
        await sleep(BOUNDS.window_s)
        since = monotonic()
        await sending
    assert quotas.desk.find_fullest() <= BOUNDS.find_limit(make_account())
    assert quotas.desk.find_fullest(since=since) <= BOUNDS.find_limit(low)
    assert quotas.desk.count(since=since) >= 0.5 * 10.0 * 4.0


async def test_coordinator_of_an_earlier_build_leaves_equal_shares():
    """Its notices have no fields of accounts, so each instance is alone."""
    async with run_quota_system() as quotas:
        for instance in quotas.system.instances.values():
            instance.view.account_fact.describe = lambda now, is_new: {}
        since = monotonic()
        await quotas.send_for(6.0, 3.0 * RATE, weights=(1,) * 5)
    assert quotas.desk.find_fullest() <= BOUNDS.find_limit(make_account())
    assert quotas.desk.count(since=since) >= 0.8 * 6.0 * RATE


REPORT = MemberReport(
    member="r1",
    incarnation="i",
    address="a:1",
    epoch=1,
    map_version=1,
    store_silent_s=0.0,
)


@pytest.mark.parametrize(
    "fields",
    [
        {"accounts": [AccountReport(account="", wanted=1)]},
        {"accounts": [AccountReport(account="a", wanted=-1)]},
        {"accounts": [AccountReport(account="a", wanted=1, returned=10**7)]},
        {"accounts": [AccountReport(account="a", wanted=1)] * 5000},
        {"accounts_at": float("nan")},
        {"accounts_heard": -1.0},
    ],
)
def test_reports_out_of_range_are_refused(fields):
    check_report(REPORT)
    with pytest.raises(MalformedMessageError):
        check_report(replace(REPORT, **fields))


@pytest.mark.parametrize(
    "fields",
    [
        {"accounts": [AccountQuota(account="a" * 256)]},
        {"accounts": [AccountQuota(account="a", tokens=-1)]},
        {"accounts": [AccountQuota(account="a", level=1.5)]},
        {"accounts": [AccountQuota(account="a", wait_s=float("inf"))]},
        {"accounts_at": float("inf")},
    ],
)
def test_notices_out_of_range_are_refused(fields):
    check_notice(make_notice())
    with pytest.raises(MalformedMessageError):
        check_notice(make_notice(**fields))


def test_messages_of_another_build_are_read():
    """Instances of two builds run side by side during an upgrade."""
    fields = {"member": "r1", "incarnation": "i", "address": "a:1", "epoch": 1}
    earlier = encode_msgpack({**fields, "map_version": 1, "store_silent_s": 0.0})
    assert decode_msgpack(earlier, MemberReport).accounts == []
    fields = {"coordinator": "r1", "epoch": 1, "members": 1, "map_version": 1}
    earlier = encode_msgpack({**fields, "complete": False})
    assert not decode_msgpack(earlier, CoordinatorNotice).accounts_led
