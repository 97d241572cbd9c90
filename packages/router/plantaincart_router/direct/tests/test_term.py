"""How long a coordinator keeps its term without confirmation by the store."""

from asyncio import create_task, sleep
from dataclasses import replace
from time import monotonic

from plantaincart_router.direct.clock import read_boot_time
from plantaincart_router.direct.membership import Membership
from plantaincart_router.direct.store import StoreUnavailableError
from plantaincart_router.direct.term import Term
from plantaincart_router.direct.tests.fakes import FAST, MemoryClient, MemoryStore
from plantaincart_schema.generated.direct import CoordinatorRow, MemberReport

# Tolerance in seconds for the end of a term on a busy machine.
TOLERANCE_S = 0.1


class SlowStore(MemoryClient):
    """A store that can be made to time out instead of answering."""

    timeout_s = 0.0

    async def write(self, table, row, also=(), absent=()):
        await self._time_out_if_silent()
        return await super().write(table, row, also, absent)

    async def read(self, table):
        await self._time_out_if_silent()
        return await super().read(table)

    async def _time_out_if_silent(self):
        if self.timeout_s:
            await sleep(self.timeout_s)
            raise StoreUnavailableError("timeout")


def make_report(member, store_silent_s, heard_ago_s=0.0):
    return MemberReport(
        member=member,
        incarnation="i",
        address="",
        epoch=1,
        map_version=0,
        store_silent_s=store_silent_s,
        heard_epoch=1,
        heard_at=read_boot_time() - heard_ago_s,
    )


class RenewedTerm:
    """A term with its renewal task, and the time at which it ended."""

    def __init__(self, **fields):
        self.client = SlowStore(MemoryStore(), "r1")
        self.members = Membership(FAST)
        self.ended_at = None
        row = CoordinatorRow(holder="r1", address="", epoch=1, beat=0, vacant=False)
        self.term = Term(
            FAST,
            self.client,
            row,
            0,
            0,
            read_boot_time(),
            self.members,
            lambda: True,
            self.end,
            lambda: None,
            lambda: None,
        )
        self.task = create_task(self.term.renew())

    def end(self, reason):
        self.ended_at = self.ended_at or monotonic()
        self.term.close()

    def report(self, member, store_silent_s, heard_ago_s=0.0):
        report = make_report(member, store_silent_s, heard_ago_s)
        self.members.record_report(report, monotonic())
        self.term.record_report(report)

    async def silence_store(self, seconds):
        """Let the store answer for a while, then time out; return the time of that."""
        await sleep(3 * FAST.beat_s)
        assert self.ended_at is None
        self.client.timeout_s = seconds
        return monotonic()


async def test_term_ends_in_time_although_a_call_hangs():
    """A hanging call to the store must not extend the term."""
    term_run = RenewedTerm()
    silent_at = await term_run.silence_store(seconds=5.0)
    await sleep(2 * FAST.confirmed_s)
    term_run.task.cancel()
    assert term_run.ended_at is not None
    assert term_run.ended_at - silent_at <= FAST.confirmed_s + TOLERANCE_S


async def test_term_lasts_while_no_instance_reaches_the_store():
    term_run = RenewedTerm()
    term_run.report("r2", -1.0)
    await term_run.silence_store(seconds=0.02)
    ends_at = monotonic() + 3 * FAST.confirmed_s
    while monotonic() < ends_at:
        term_run.report("r2", FAST.reached_s)
        await sleep(0.02)
        assert term_run.ended_at is None
        assert term_run.term.is_valid
    assert term_run.term.store_unreachable
    term_run.client.timeout_s = 0.0
    await sleep(3 * FAST.beat_s)
    assert not term_run.term.store_unreachable
    term_run.task.cancel()


async def test_term_ends_where_reads_are_answered_and_writes_are_not():
    """Guards against a term that outlasts an unchanged row, which others may claim."""
    term_run = RenewedTerm()
    await sleep(3 * FAST.beat_s)

    async def reject(table, row, also=(), absent=()):
        raise StoreUnavailableError("too many writes", False)

    term_run.client.write = reject
    rejected_at = monotonic()
    await sleep(2 * FAST.confirmed_s)
    term_run.task.cancel()
    assert term_run.ended_at is not None
    assert term_run.ended_at - rejected_at <= FAST.confirmed_s + TOLERANCE_S


async def test_term_counts_from_a_write_whose_answer_is_lost():
    term_run = RenewedTerm()
    await sleep(3 * FAST.beat_s)
    write = term_run.client.write

    async def lose_answer(table, row, also=(), absent=()):
        await write(table, row, also, absent)
        raise StoreUnavailableError("answer lost")

    term_run.client.write = lose_answer
    await sleep(2 * FAST.confirmed_s)
    term_run.task.cancel()
    assert term_run.ended_at is None


async def test_term_ends_when_the_store_answers_another_instance():
    term_run = RenewedTerm()
    silent_at = await term_run.silence_store(seconds=0.02)
    term_run.members.record_report(make_report("r2", 0.0), monotonic())
    await sleep(FAST.confirmed_s / 2)
    term_run.task.cancel()
    assert term_run.ended_at is not None
    assert term_run.ended_at - silent_at < FAST.confirmed_s / 2


async def report_in_outage(term_run, members, heard_ago_s=0.0):
    """Let members report that the store is silent, for longer than a term lasts."""
    for member in ("r2", "r3", "r4", "r5"):
        term_run.report(member, -1.0)
    await term_run.silence_store(seconds=0.02)
    ends_at = monotonic() + 3 * FAST.confirmed_s
    while monotonic() < ends_at and term_run.ended_at is None:
        for member in members:
            term_run.report(member, FAST.reached_s, heard_ago_s)
        await sleep(0.02)
    term_run.task.cancel()


async def test_term_ends_where_most_electors_are_missing():
    """Guards against two coordinators on the two sides of a partition."""
    term_run = RenewedTerm()
    await report_in_outage(term_run, ["r2"])
    assert term_run.ended_at is not None


async def test_term_lasts_where_most_electors_follow():
    term_run = RenewedTerm()
    await report_in_outage(term_run, ["r2", "r3"])
    assert term_run.ended_at is None


async def test_term_ends_where_electors_hear_no_notices():
    """Guards against a cut in one direction, in which reports still arrive."""
    term_run = RenewedTerm()
    await report_in_outage(term_run, ["r2", "r3", "r4", "r5"], 2 * FAST.followed_s)
    assert term_run.ended_at is not None


async def test_processes_started_in_an_outage_do_not_prolong_a_term():
    """Guards against members whose earlier process followed a later coordinator."""
    term_run = RenewedTerm()
    for member in ("r2", "r3"):
        term_run.report(member, -1.0)
    await term_run.silence_store(seconds=0.02)
    ends_at = monotonic() + 3 * FAST.confirmed_s
    while monotonic() < ends_at and term_run.ended_at is None:
        for member in ("r2", "r3"):
            report = replace(make_report(member, FAST.reached_s), incarnation="later")
            term_run.members.record_report(report, monotonic())
            term_run.term.record_report(report)
        await sleep(0.02)
    term_run.task.cancel()
    assert term_run.ended_at is not None


async def test_electors_of_an_unanswered_write_must_follow_too():
    """Guards against a late write of electors that a successor relies on."""
    term_run = RenewedTerm()
    for member in ("r2", "r3", "r4", "r5"):
        term_run.report(member, -1.0)
    await sleep(3 * FAST.beat_s)
    write = term_run.client.write

    async def lose_answers(table, row, also=(), absent=()):
        raise StoreUnavailableError("answer lost")

    term_run.client.write = lose_answers
    # r4 and r5 are lost; the row without them may or may not have been written.
    await sleep(1.2 * FAST.member_s)
    for member in ("r2", "r3"):
        term_run.report(member, -1.0)
    term_run.members.remove_silent(monotonic())
    await sleep(2 * FAST.beat_s)
    following = term_run.term._following
    assert following.count_electors() == 5
    term_run.client.write = write
    term_run.task.cancel()


async def test_term_waits_until_members_have_tried_a_store_whose_calls_hang():
    """Guards against a term that ends in an outage before members have tried."""
    term_run = RenewedTerm()
    term_run.report("r2", -1.0)
    await term_run.silence_store(seconds=0.6 * FAST.confirmed_s)
    ends_at = monotonic() + 5 * FAST.confirmed_s
    tried_at, silences = None, []
    while monotonic() < ends_at:
        if tried_at is None and term_run.term.store_unreachable:
            tried_at = monotonic() + FAST.reached_s
        was_tried = tried_at is not None and monotonic() >= tried_at
        term_run.report("r2", FAST.reached_s if was_tried else -1.0)
        if not was_tried:
            silences.append(term_run.term.is_valid)
        await sleep(0.02)
        assert term_run.ended_at is None
    assert not all(silences)
    assert term_run.term.is_valid
    term_run.task.cancel()


async def test_term_ends_where_members_never_try_the_store():
    term_run = RenewedTerm()
    silent_at = await term_run.silence_store(seconds=5.0)
    while term_run.ended_at is None and monotonic() < silent_at + 2.0:
        term_run.report("r2", -1.0)
        await sleep(0.02)
    term_run.task.cancel()
    assert term_run.ended_at - silent_at <= 2.0 * FAST.confirmed_s + TOLERANCE_S
