"""How long keys of an upstream that doesn't answer are kept back."""

from asyncio import create_task, sleep, timeout
from time import monotonic

from plantaincart_core.ownermap import KeyRange
from plantaincart_router.direct.granter import Granter
from plantaincart_router.direct.tests.fakes import (
    FAST,
    MemoryGrants,
    MemoryUpstream,
    make_record,
)
from plantaincart_router.exception import AnswerTimeoutError

HELD = KeyRange(first=0, last=99, owner="u0", born=1, fence=5)
FREED = KeyRange(first=0, last=99, owner="u1", born=1, fence=6)


class SilentGrants(MemoryGrants):
    """Releases get no answer for as long as the calls are given."""

    async def release(self, upstream, keys):
        self.calls.append(("release", upstream.id, keys, False))
        await sleep(FAST.release_timeout_s)
        raise AnswerTimeoutError("silent")


async def test_keys_of_a_silent_owner_are_free_when_its_hold_ends():
    granter = Granter(SilentGrants({}), FAST, 10.0)
    began = monotonic()
    hold_s = 1.5 * FAST.release_timeout_s
    granter.extend_grant_expiry("u0", 1, began + hold_s)
    async with timeout(2.0):
        assert await granter.release(make_record("u0"), FREED) is None
    spent_s = monotonic() - began
    assert hold_s <= spent_s < hold_s + FAST.release_timeout_s / 4


async def test_release_waits_for_work_although_no_hold_is_known():
    upstream = MemoryUpstream("u0", work_s=0.2)
    granter = Granter(MemoryGrants({"u0": upstream}), FAST, 10.0)
    token = await granter.release(make_record("u0"), FREED)
    assert token == "handover-u0"


async def test_answer_that_comes_before_the_hold_ends_is_used():
    upstream = MemoryUpstream("u0", work_s=0.2)
    granter = Granter(MemoryGrants({"u0": upstream}), FAST, 10.0)
    await granter.grant(make_record("u0"), HELD)
    releasing = create_task(granter.release(make_record("u0"), FREED))
    assert await releasing == "handover-u0"


class SlowGrants(MemoryGrants):
    """Grants get no answer for as long as the calls are given."""

    async def grant(self, upstream, keys, hold_s, handover="", renewal=False):
        self.calls.append(("grant", upstream.id, keys, renewal))
        await sleep(FAST.call_timeout_s)
        raise AnswerTimeoutError("silent")


async def test_renewal_that_waited_while_the_keys_moved_is_not_sent():
    """Pattern zone_cut: renewals queued for an upstream were sent after the cut."""
    calls = SlowGrants({})
    granter = Granter(calls, FAST, 10.0)
    record = make_record("u0")
    moved = KeyRange(first=100, last=199, owner="u0", born=1, fence=6)
    granter.keep_renewing("ledger", record, HELD)
    granter.keep_renewing("ledger", record, moved)
    renewing = create_task(granter.renew())
    await sleep(FAST.call_timeout_s / 2)
    granter.stop_renewing("ledger", moved.first, moved.last)
    await sleep(2 * FAST.call_timeout_s)
    renewing.cancel()
    granter.cancel_renewals()
    assert [keys for _, _, keys, _ in calls.calls if keys == moved] == []


async def test_grant_that_waited_until_the_term_ended_is_not_sent():
    calls = SlowGrants({})
    granter = Granter(calls, FAST, 10.0)
    first = create_task(granter.grant(make_record("u0"), HELD))
    await sleep(0)
    second = create_task(granter.grant(make_record("u0"), FREED))
    await sleep(FAST.call_timeout_s / 2)
    granter.enabled = False
    assert not await first
    assert not await second
    assert [keys for _, _, keys, _ in calls.calls] == [HELD]
