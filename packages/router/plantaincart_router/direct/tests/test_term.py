"""How long a coordinator acts on the word of the store."""

from asyncio import create_task, sleep
from time import monotonic

from plantaincart_router.direct.membership import Membership
from plantaincart_router.direct.store import StoreUnavailableError
from plantaincart_router.direct.term import Term
from plantaincart_router.direct.tests.fakes import FAST, MemoryClient, MemoryStore
from plantaincart_schema.generated.direct import CoordinatorRow, MemberReport

# Seconds beyond its time at which an end is noticed, on a busy machine.
LATE_S = 0.1


class SlowStore(MemoryClient):
    """Doesn't answer until the caller would have given up."""

    silent_s = 0.0

    async def write(self, table, row):
        await self._fall_silent()
        return await super().write(table, row)

    async def read(self, table):
        await self._fall_silent()
        return await super().read(table)

    async def _fall_silent(self):
        if self.silent_s:
            await sleep(self.silent_s)
            raise StoreUnavailableError("timeout")


def report(member, silent_s):
    return MemberReport(
        member=member,
        incarnation="i",
        address="",
        epoch=1,
        map_version=0,
        store_silent_s=silent_s,
    )


class Keeper:
    """A term that is renewed, and when it ended."""

    def __init__(self, **fields):
        self.client = SlowStore(MemoryStore(), "r1")
        self.members = Membership(FAST)
        self.ended_at = None
        row = CoordinatorRow(holder="r1", address="", epoch=1, beat=0, vacant=False)
        self.term = Term(
            FAST, self.client, row, 0, self.members, self.end, lambda: None
        )
        self.task = create_task(self.term.renew())

    def end(self, reason):
        self.ended_at = self.ended_at or monotonic()
        self.term.close()

    async def fall_silent(self, seconds):
        """Let the store answer for a while, then fall silent; return when."""
        await sleep(3 * FAST.beat_s)
        assert self.ended_at is None
        self.client.silent_s = seconds
        return monotonic()


async def test_term_ends_in_time_although_a_call_is_under_way():
    """A call that hung kept the coordinator acting beyond the time it is given."""
    keeper = Keeper()
    silent_at = await keeper.fall_silent(seconds=5.0)
    await sleep(2 * FAST.confirmed_s)
    keeper.task.cancel()
    assert keeper.ended_at is not None
    assert keeper.ended_at - silent_at <= FAST.confirmed_s + LATE_S


async def test_term_goes_on_while_nobody_reaches_the_store():
    keeper = Keeper()
    await keeper.fall_silent(seconds=0.02)
    ends_at = monotonic() + 3 * FAST.confirmed_s
    while monotonic() < ends_at:
        keeper.members.record_report(report("r2", FAST.reached_s), monotonic())
        await sleep(0.02)
        assert keeper.ended_at is None
    assert keeper.term.doubt
    keeper.client.silent_s = 0.0
    await sleep(3 * FAST.beat_s)
    assert not keeper.term.doubt
    keeper.task.cancel()


async def test_term_ends_when_the_store_answers_another():
    keeper = Keeper()
    silent_at = await keeper.fall_silent(seconds=0.02)
    keeper.members.record_report(report("r2", 0.0), monotonic())
    await sleep(FAST.confirmed_s / 2)
    keeper.task.cancel()
    assert keeper.ended_at is not None
    assert keeper.ended_at - silent_at < FAST.confirmed_s / 2
