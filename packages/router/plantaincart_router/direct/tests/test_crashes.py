"""A request ends each upstream that runs it, and comes again (BUDGET)."""

from asyncio import create_task, get_running_loop, sleep
from dataclasses import replace
from time import monotonic

import pytest
from plantaincart_core import quarantine
from plantaincart_router.direct import crashledger, crashwatch
from plantaincart_router.direct.crashledger import CrashLedger, Loss
from plantaincart_router.direct.fingerprint import fingerprint_request
from plantaincart_router.direct.messagecheck import check_notice, check_report
from plantaincart_router.direct.pool import UpstreamPools
from plantaincart_router.direct.reachabilityprobe import ReachabilityProbe
from plantaincart_router.direct.settings import SendSettings
from plantaincart_router.direct.tests.fakes import make_notice, make_plan, make_record
from plantaincart_router.direct.tests.memorysystem import (
    find_port,
    run_system,
    wait_for,
)
from plantaincart_router.direct.tests.test_gateway import (
    Upstream,
    answer,
    call_gateway,
    close_connection,
    make_request,
    run_gateway,
    verdict,
)
from plantaincart_router.http.message import HttpRequest, find_header
from plantaincart_schema.codec import decode_msgpack, encode_msgpack
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.direct import (
    CoordinatorNotice,
    CrashRecord,
    MemberReport,
)

REQUEST = make_request()


def make_loss(upstream, request=REQUEST, born=1):
    return Loss(
        fingerprint=fingerprint_request(request, "ledger"),
        request_id="r1",
        record=make_record(upstream, born=born),
    )


def record_crashes(ledger, *upstreams, now=0.0):
    for upstream in upstreams:
        ledger.record_crash(make_loss(upstream), now)


def remaining_s(ledger, now, rank=0, request=REQUEST):
    return ledger.remaining_s(request, "ledger", rank, now)


class CrashingUpstream(Upstream):
    """Ends under a request with the body ``crash``, and answers all others."""

    def __init__(self):
        super().__init__(*[self._run] * 100)

    async def _run(self, reader, writer, request_id_sent):
        if self.requests[-1][2] != b"crash":
            return await answer()(reader, writer, request_id_sent)
        self.listener.close()
        writer.transport.abort()
        return False

    @property
    def has_ended(self):
        return any(body == b"crash" for _, _, body in self.requests)


def test_requests_of_one_caller_are_the_same_whatever_their_id_and_deadline():
    first = make_request("r1", remaining_s=1.0, body=b"x")
    second = make_request("r2", remaining_s=0.4, body=b"x")
    assert fingerprint_request(first, "a") == fingerprint_request(second, "a")


@pytest.mark.parametrize(
    "fields",
    [
        {"method": "PUT"},
        {"target": "/y"},
        {"body": b"y"},
        {"headers": (("host", "b.example"),)},
        {"headers": (("host", "a.example"), ("authorization", "other"))},
    ],
)
def test_other_requests_are_told_apart(fields):
    """A request was refused for the crashes of another one."""
    plain = {"method": "POST", "target": "/x", "body": b"x"}
    plain["headers"] = (("host", "a.example"), ("authorization", "one"))
    first, second = HttpRequest(**plain), HttpRequest(**{**plain, **fields})
    assert fingerprint_request(first, "a") != fingerprint_request(second, "a")


def test_one_process_counts_once():
    """Several copies that were running at one upstream counted as several crashes."""
    ledger = CrashLedger()
    record_crashes(ledger, "u1", "u1", "u2", "u2")
    assert remaining_s(ledger, 0.0) == 0.0
    record_crashes(ledger, "u3")
    assert remaining_s(ledger, 0.0) == crashledger.TRIAL_DELAY_S


def test_answer_clears_a_request_at_all_instances():
    """A request that was running at upstreams that others ended is refused for long."""
    ledgers = [CrashLedger() for _ in range(3)]
    record_crashes(ledgers[0], "u1", "u2", "u3")
    for ledger in ledgers[1:]:
        assert ledger.merge(ledgers[0].list_told(0.1, whole=False), 0.1)
        assert remaining_s(ledger, 0.2) > 0.0
    ledgers[1].record_answer(REQUEST, "ledger", 0.3)
    ledgers[0].merge(ledgers[1].list_reported(0.4, whole=False), 0.4)
    ledgers[2].merge(ledgers[0].list_told(0.5, whole=False), 0.5)
    assert [remaining_s(ledger, 0.6) for ledger in ledgers] == [0.0] * 3
    # Records that were sent before don't count again.
    ledgers[0].merge([make_record_of("u1", "u2", "u3")], 0.7)
    assert remaining_s(ledgers[0], 0.8) == 0.0


def test_crashes_after_an_answer_count():
    """What one instance had cleared was passed on for ever, and cleared all later
    crashes as well (BUDGET)."""
    coordinator, *members = (CrashLedger() for _ in range(4))
    record_crashes(members[0], "u1", "u2")
    ended = 2
    for tick in range(200):
        now = tick * 0.1
        for member in members:
            coordinator.merge(member.list_reported(now, whole=False), now)
        for member in members:
            member.merge(coordinator.list_told(now, whole=False), now)
        member = members[tick % 3]
        if tick == 3:
            members[0].record_answer(REQUEST, "ledger", now)
        elif tick > 5 and tick % 4 == 0 and not remaining_s(member, now, rank=2):
            ended += 1
            record_crashes(member, f"u{ended}", now=now)
    # Two before the answer, those that are needed, and one that is tried once more.
    assert ended == 2 + crashledger.MAX_CRASHES + 1


def make_record_of(*upstreams):
    return CrashRecord(
        service="ledger",
        fingerprint=fingerprint_request(REQUEST, "ledger"),
        upstreams=[f"{name}#1" for name in upstreams],
    )


def test_trial_is_made_by_one_instance_after_the_other():
    """All instances tried a request at once when its quarantine had ended (BUDGET)."""
    ledger = CrashLedger()
    record_crashes(ledger, "u1", "u2", "u3")
    now = crashledger.TRIAL_DELAY_S + 0.1
    allowed = [rank for rank in range(11) if not remaining_s(ledger, now, rank)]
    assert allowed == [0]
    record_crashes(ledger, "u4", now=now)
    assert min(remaining_s(ledger, now + 60.0, rank) for rank in range(11)) > 500.0


def test_failed_trial_is_told_at_once():
    """The next instance tried a request, as a notice of the trial was still due."""
    coordinator = CrashLedger()
    record_crashes(coordinator, "u1", "u2", "u3")
    records = [make_record_of("u1", "u2", "u3", "u4")]
    now = crashledger.TRIAL_DELAY_S + 0.1
    assert coordinator.merge(records, now)
    assert not coordinator.merge(records, now + 0.1)
    assert not coordinator.merge([make_record_of("u5")], now + 0.2)


def test_later_coordinator_learns_all_from_the_members():
    """A coordinator was lost together with what it knew (BUDGET)."""
    members = [CrashLedger() for _ in range(3)]
    for member, upstream in zip(members, ("u1", "u2", "u3"), strict=True):
        record_crashes(member, upstream)
    long_after = 2 * crashledger.RECENT_S
    coordinator = CrashLedger()
    for member in members:
        assert member.list_reported(long_after, whole=False) == []
        coordinator.merge(member.list_reported(long_after, whole=True), long_after)
    assert remaining_s(coordinator, long_after) > 0.0


@pytest.mark.parametrize("ready", [True, False])
def test_vanished_announcement_shows_a_crash(ready):
    """A device on the way accepts connections to an upstream that has ended."""
    ledger = CrashLedger()
    for name in ("u1", "u2", "u3"):
        ledger.record_loss(make_loss(name), 0.0)
        ledger.record_gone(make_record(name, ready=ready), 3.0)
    # A planned end isn't a crash.
    assert (remaining_s(ledger, 3.0) > 0.0) is ready


def test_lost_connection_to_a_running_upstream_is_no_crash():
    ledger = CrashLedger()
    for name in ("u1", "u2", "u3"):
        ledger.record_loss(make_loss(name), 0.0)
        ledger.record_gone(make_record(name, born=2), 1.0)
        ledger.record_gone(make_record(name), crashledger.ANNOUNCEMENT_S + 0.1)
    assert remaining_s(ledger, 6.0) == 0.0


def test_memory_and_messages_are_bounded(monkeypatch):
    """Callers with ever other requests fill the memory of all instances."""
    monkeypatch.setattr(quarantine, "MAX_FINGERPRINTS", 50)
    ledger = CrashLedger()
    for number in range(500):
        request = make_request(body=str(number).encode())
        for name in ("u1", "u2"):
            loss = make_loss(name, request)
            ledger.record_loss(loss, 0.0)
            ledger.record_crash(loss, 0.0)
    record_crashes(ledger, "u1", "u2", "u3")
    told = ledger.list_told(0.0, whole=True)
    assert len(told) == crashledger.MAX_RECORDS
    # The one that must be refused goes first.
    assert len(told[0].upstreams) == 3
    assert len(ledger._quarantine) <= 50
    assert len(ledger._losses) <= crashledger.MAX_LOSSES


REPORT = {
    "member": "r1",
    "incarnation": "i",
    "address": "127.0.0.1:1",
    "epoch": 1,
    "map_version": 1,
    "store_silent_s": 0.0,
}


@pytest.mark.parametrize(
    "records",
    [
        [make_record_of("u" * 300)],
        [make_record_of("u1")] * 1000,
        [make_record_of(*(f"u{number}" for number in range(1000)))],
    ],
)
def test_oversized_records_are_refused(records):
    with pytest.raises(MalformedMessageError):
        check_report(MemberReport(**REPORT, crashes=records))
    with pytest.raises(MalformedMessageError):
        check_notice(make_notice(crashes=records))


def test_messages_of_another_build_are_read():
    """Instances of two builds run side by side during an upgrade."""
    earlier = encode_msgpack(REPORT)
    assert decode_msgpack(earlier, MemberReport).crashes == []
    fields = {"coordinator": "r1", "epoch": 1, "members": 1, "map_version": 1}
    notice = encode_msgpack({**fields, "complete": False, "field_of_later_build": 1})
    assert decode_msgpack(notice, CoordinatorNotice).crashes == []


async def test_crash_is_recorded_and_the_next_attempts_are_refused():
    """A request ended one upstream after the other (BUDGET)."""
    upstreams = [CrashingUpstream() for _ in range(8)]
    plan = make_plan(keyed=False, attempts=2, timeout_s=2.0)
    async with run_gateway(*upstreams, plan=plan) as (gateway, _):
        probe = create_task(ReachabilityProbe(gateway._pools).run())
        for number in range(8):
            last = await call_gateway(gateway, request_id=f"r{number}", body=b"crash")
            for other in range(4):
                answered = await call_gateway(gateway, request_id=f"o{number}-{other}")
                assert answered.status == 200
            await sleep(crashwatch.DOUBT_S)
        probe.cancel()
    ended = sum(upstream.has_ended for upstream in upstreams)
    # Attempts that are sent before the third crash is certain end another upstream.
    assert crashledger.MAX_CRASHES <= ended <= crashledger.MAX_CRASHES + 1
    assert (last.status, verdict(last)) == (503, "not-run")
    assert float(find_header(last.headers, "retry-after")) > 1.0


async def test_lost_answers_of_running_upstreams_quarantine_nothing():
    """Upstreams lose answers, but go on: the request isn't the cause of crashes."""
    upstreams = [Upstream(*[close_connection()] * 3) for _ in range(3)]
    plan = make_plan(keyed=False, attempts=2, timeout_s=2.0)
    async with run_gateway(*upstreams, plan=plan) as (gateway, view):
        for number in range(6):
            await call_gateway(gateway, request_id=f"r{number}")
        await sleep(crashwatch.SURVIVAL_S + 0.05)
        assert len(view.crashes._quarantine) == 0
        assert (await call_gateway(gateway)).status == 200


async def test_upstreams_that_a_cut_instance_loses_quarantine_nothing():
    """All connections of an instance to upstreams are reset and refused (RECOVER)."""
    pools, ledger = UpstreamPools(SendSettings()), CrashLedger()
    watch = crashwatch.CrashWatch(pools, ledger)
    losses = []
    for number in range(6):
        loss = make_loss(f"u{number}")
        record = replace(loss.record, port=find_port(), data_centre="ab"[number % 2])
        pools.reachability.directory.put(record, monotonic())
        losses.append(replace(loss, record=record))
    for loss in losses:
        await watch.check(loss)
    assert pools.reachability.is_cut_off
    await sleep(crashwatch.DOUBT_S + 0.1)
    # The first loss is recorded before there is any doubt.
    assert ledger._quarantine.count_strikes("ledger", losses[0].fingerprint, 0.0) <= 1


async def test_instances_tell_each_other_over_a_change_of_the_coordinator():
    """Callers return to other instances, and the coordinator is lost (BUDGET)."""
    async with run_system(get_running_loop()) as system:
        names = list(system.instances)
        for name, upstream in zip(names[:2], ("u1", "u2"), strict=True):
            record_crashes(
                system.instances[name].view.crashes, upstream, now=monotonic()
            )
        coordinator = system.find_coordinator().settings.name
        system.kill(coordinator)
        last = next(iter(system.instances.values()))
        record_crashes(last.view.crashes, "u1", "u2", "u3", now=monotonic())
        rest = system.instances.values()
        await wait_for(
            lambda: all(remaining_s(item.view.crashes, monotonic()) for item in rest)
        )
        joined = system.add("r9", get_running_loop())
        await wait_for(lambda: remaining_s(joined.view.crashes, monotonic()) > 0.0)
