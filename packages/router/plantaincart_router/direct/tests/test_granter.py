"""Release of keys by upstreams that don't answer, and queued grant calls."""

from asyncio import create_task, sleep, timeout
from time import monotonic

import pytest
from plantaincart_core.ownermap import KeyRange
from plantaincart_router.direct.granter import (
    MAX_PAUSE_S,
    PAUSE_S_PER_FAILURE,
    Granter,
)
from plantaincart_router.direct.tests.fakes import (
    FAST,
    MemoryGrants,
    MemoryUpstream,
    make_record,
)
from plantaincart_router.exception import AnswerTimeoutError

GRANTED = KeyRange(first=0, last=99, owner="u0", born=1, fence=5)
RELEASED = KeyRange(first=0, last=99, owner="u1", born=1, fence=6)


class ReleaseTimeoutGrants(MemoryGrants):
    """Releases time out."""

    async def release(self, upstream, keys):
        self.calls.append(("release", upstream.id, keys, False))
        await sleep(FAST.release_timeout_s)
        raise AnswerTimeoutError("silent")


async def test_keys_of_a_silent_owner_are_free_when_its_grant_expires():
    granter = Granter(ReleaseTimeoutGrants({}), FAST, 10.0)
    started_at = monotonic()
    grant_duration_s = 1.5 * FAST.release_timeout_s
    granter.extend_grant_expiry("u0", 1, started_at + grant_duration_s)
    async with timeout(2.0):
        assert await granter.release(make_record("u0"), RELEASED) is None
    elapsed_s = monotonic() - started_at
    assert grant_duration_s <= elapsed_s < grant_duration_s + FAST.release_timeout_s / 4


async def test_release_waits_for_requests_although_no_grant_is_known():
    upstream = MemoryUpstream("u0", work_s=0.2)
    granter = Granter(MemoryGrants({"u0": upstream}), FAST, 10.0)
    handover = await granter.release(make_record("u0"), RELEASED)
    assert handover == "handover-u0"


async def test_answer_before_the_grant_expires_is_used():
    upstream = MemoryUpstream("u0", work_s=0.2)
    granter = Granter(MemoryGrants({"u0": upstream}), FAST, 10.0)
    await granter.grant(make_record("u0"), GRANTED)
    releasing = create_task(granter.release(make_record("u0"), RELEASED))
    assert await releasing == "handover-u0"


class GrantTimeoutGrants(MemoryGrants):
    """Grants time out."""

    async def grant(
        self, upstream, keys, hold_s, handover="", renewal=False, before_write=None
    ):
        self.calls.append(("grant", upstream.id, keys, renewal))
        await sleep(FAST.call_timeout_s)
        raise AnswerTimeoutError("silent")


async def test_queued_renewal_is_not_sent_after_the_keys_moved():
    """
    A queued renewal must not be sent once its keys have moved.

    In the pattern zone_cut, renewals were queued behind calls to an unreachable
    upstream and were sent when the cut ended.
    """
    calls = GrantTimeoutGrants({})
    granter = Granter(calls, FAST, 10.0)
    record = make_record("u0")
    moved = KeyRange(first=100, last=199, owner="u0", born=1, fence=6)
    granter.keep_renewing("ledger", record, GRANTED)
    granter.keep_renewing("ledger", record, moved)
    renewing = create_task(granter.renew())
    await sleep(FAST.call_timeout_s / 2)
    granter.stop_renewing("ledger", moved.first, moved.last)
    await sleep(2 * FAST.call_timeout_s)
    renewing.cancel()
    granter.cancel_renewals()
    assert [keys for _, _, keys, _ in calls.calls if keys == moved] == []


async def test_queued_grant_is_not_sent_after_the_term_ended():
    calls = GrantTimeoutGrants({})
    granter = Granter(calls, FAST, 10.0)
    first = create_task(granter.grant(make_record("u0"), GRANTED))
    await sleep(0)
    second = create_task(granter.grant(make_record("u0"), RELEASED))
    await sleep(FAST.call_timeout_s / 2)
    granter.enabled = False
    assert not await first
    assert not await second
    assert [keys for _, _, keys, _ in calls.calls] == [GRANTED]


class SlowConnectGrants(MemoryGrants):
    """Connections take long to open."""

    connect_s = FAST.call_timeout_s

    async def grant(self, *args, **options):
        await sleep(self.connect_s)
        await super().grant(*args, **options)


@pytest.mark.parametrize("ended", ["term", "keys"])
async def test_grant_is_not_written_after_keys_or_term_have_changed(ended):
    """A connection opened after a takeover, and an outdated grant went out on it."""
    upstream = MemoryUpstream("u0")
    granter = Granter(SlowConnectGrants({"u0": upstream}), FAST, 10.0)
    is_current = True
    request = create_task(
        granter.grant(make_record("u0"), GRANTED, is_current=lambda: is_current)
    )
    await sleep(FAST.call_timeout_s / 2)
    if ended == "term":
        granter.enabled = False
    else:
        is_current = False
    assert not await request
    assert upstream.grants == []
    assert not granter.is_failing("u0", 1)


async def test_grant_expires_by_the_time_at_which_it_was_written():
    """Keys counted as free while an upstream still held what had been sent late."""
    upstream = MemoryUpstream("u0")
    granter = Granter(SlowConnectGrants({"u0": upstream}), FAST, 10.0)
    granter.grant_duration_s = FAST.hold_s
    await granter.grant(make_record("u0"), GRANTED)
    margin_s = FAST.call_timeout_s + FAST.hold_margin_s
    assert granter.grant_expiry("u0", 1) >= upstream.grants[0].expires_at + margin_s


async def test_failing_process_may_be_tried_after_a_pause_that_grows():
    upstream = MemoryUpstream("u0", reachable=False)
    granter = Granter(MemoryGrants({"u0": upstream}), FAST, 10.0)
    record, started_at = make_record("u0"), monotonic()
    await granter.grant(record, GRANTED)
    assert not granter.may_be_tried("u0", 1, started_at + 60.0)
    await granter.grant(record, GRANTED)
    assert granter.is_failing("u0", 1)
    assert not granter.may_be_tried("u0", 1, started_at + 1.5 * PAUSE_S_PER_FAILURE)
    assert granter.may_be_tried("u0", 1, started_at + 2.5 * PAUSE_S_PER_FAILURE)
    for _ in range(100):
        await granter.grant(record, GRANTED)
    assert not granter.may_be_tried("u0", 1, started_at + 0.9 * MAX_PAUSE_S)
    assert granter.may_be_tried("u0", 1, monotonic() + MAX_PAUSE_S)
    upstream.reachable = True
    await granter.grant(record, GRANTED)
    assert not granter.is_failing("u0", 1)
    assert not granter.may_be_tried("u0", 1, monotonic() + 60.0)


async def test_queued_grant_lasts_as_long_as_grants_do_when_it_is_sent():
    """Guards against a long grant that is sent after long grants have ended."""
    upstream = MemoryUpstream("u0")
    calls = MemoryGrants({"u0": upstream})
    granter = Granter(calls, FAST, 10.0)
    granter.grant_duration_s = 10.0
    calls.hanging = True
    first = create_task(granter.grant(make_record("u0"), GRANTED))
    await sleep(0.01)
    queued = create_task(granter.grant(make_record("u0"), GRANTED))
    await sleep(0.01)
    granter.grant_duration_s = FAST.hold_s
    calls.hanging = False
    await first
    assert await queued
    assert upstream.grants[-1].expires_at - monotonic() <= FAST.hold_s
