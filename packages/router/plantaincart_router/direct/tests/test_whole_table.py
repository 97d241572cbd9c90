"""
Whole tables that the coordinator sends to instances that lack them.

All instances start at once (patterns herd_kill, power_off_all) or lag behind after a
takeover or a restoration of the store. Each of them read all tables from the store,
whose calls are billed.
"""

from asyncio import sleep
from contextlib import asynccontextmanager
from dataclasses import replace

from plantaincart_router.direct.membership import Member
from plantaincart_router.direct.tests.fakes import MemoryStore
from plantaincart_router.direct.tests.test_relay import (
    TABLE,
    TIMES,
    FeedReader,
    relay_for,
)
from plantaincart_schema.generated.direct import MemberReport

ROWS = {f"u{number}": b"1" for number in range(40)}


def count_calls(reader):
    return reader.client.reads + reader.client.calls


@asynccontextmanager
async def run_readers():
    """Yield a store, the reader of the coordinator, and that of a new member."""
    store = MemoryStore()
    for key, value in ROWS.items():
        store.put(TABLE, key, value)
    coordinator = FeedReader(store, "leader", is_coordinator=True)
    await sleep(0.02)
    member = FeedReader(store, "member", awaits_relay=True)
    await sleep(0.02)
    try:
        yield store, coordinator, member
    finally:
        coordinator.task.cancel()
        member.task.cancel()


async def test_started_instance_gets_tables_without_a_call():
    async with run_readers() as (store, coordinator, member):
        coordinator.relay_to(member, may_send_table=True)
        store.put(TABLE, "u99", b"2")
        await relay_for(coordinator, member, 0.2, may_send_table=True)
        assert member.sink.rows == {**ROWS, "u99": b"2"}
        assert count_calls(member) == 0


async def test_started_instance_reads_the_store_if_no_table_comes():
    async with run_readers() as (_, coordinator, member):
        coordinator.relay_to(member, may_send_table=False)
        assert count_calls(member) == 0
        await sleep(TIMES.first_read_s + 0.05)
        assert member.sink.rows == ROWS


async def test_lagging_instance_gets_the_whole_table_without_a_call():
    async with run_readers() as (store, coordinator, member):
        coordinator.relay_to(member, may_send_table=True)
        store.put(TABLE, "u98", b"2")
        await sleep(2 * TIMES.lead_wait_s)
        # The change is no longer kept.
        coordinator.feed._history.restart(store.version)
        coordinator.relay_to(member, may_send_table=True)
        assert "u98" in member.sink.rows
        assert count_calls(member) == 0


async def test_restored_table_is_relayed():
    async with run_readers() as (store, coordinator, member):
        copy = store.copy()
        store.put(TABLE, "u97", b"2")
        await relay_for(coordinator, member, 0.2, may_send_table=True)
        assert "u97" in member.sink.rows
        store.restore(copy)
        await relay_for(coordinator, member, 0.3, may_send_table=True)
        assert member.sink.rows == ROWS
        assert member.feed.version == store.version
        assert count_calls(member) == 0


async def test_new_coordinator_states_the_age_of_a_relayed_table():
    """A member that has never called the store itself takes over."""
    async with run_readers() as (_, coordinator, member):
        coordinator.relay_to(member, may_send_table=True)
        assert count_calls(member) == 0
        change = member.feed.describe_since(member.feed.version)
        assert 0.0 <= change.age_s < 1.0


async def test_relayed_changes_renew_the_age_of_a_table():
    """A member that called the store hours ago takes over."""
    async with run_readers() as (_, coordinator, member):
        coordinator.relay_to(member, may_send_table=True)
        member.feed._answered_at -= 5 * 3600.0
        coordinator.relay_to(member, may_send_table=True)
        change = member.feed.describe_since(member.feed.version)
        assert 0.0 <= change.age_s < 1.0


def test_table_is_sent_once_until_the_member_reports_it():
    report = MemberReport(
        member="r2",
        incarnation="1",
        address="",
        epoch=1,
        map_version=0,
        store_silent_s=-1.0,
    )
    member = Member(report, 0.0)
    assert member.find_table_version(TABLE) is None
    member.record_tables_sent({TABLE: 7})
    assert member.find_table_version(TABLE) == 7
    member.report = replace(report, tables={TABLE: 7})
    assert member.find_table_version(TABLE) == 7
