"""A coordinator of a thousand upstreams and a hundred instances keeps its term."""

from asyncio import sleep
from dataclasses import replace
from time import monotonic, process_time

from plantaincart_router.direct.coordinator import Coordinator
from plantaincart_router.direct.noticecodec import pack_notice
from plantaincart_router.direct.pool import UpstreamPools
from plantaincart_router.direct.settings import CoordinationSettings
from plantaincart_router.direct.termrow import make_term_row
from plantaincart_router.direct.tests.fakes import (
    MemoryGrants,
    MemoryStore,
    MemoryUpstream,
    PlainReader,
    make_plan,
    make_record,
    make_settings,
)
from plantaincart_router.direct.view import SystemView
from plantaincart_schema.generated.direct import CoordinatorRow, MemberReport
from pytest import mark

UPSTREAMS = 1000
MEMBERS = 100
# Fastest that instances report, a second.
REPORTS_PER_S = 4
# Seconds until all keys must be granted: those of a restart of everything, and one for
# the machine that runs this.
PATIENCE_S = 6.0
# A fourth of what a coordinator's machine has; `ResourceSettings.wanted_cores`.
MOST_CORES = 0.2


async def make_coordinator(calls, notify):
    """Return a coordinator with the usual times that has written its row."""
    settings = replace(make_settings(), coordination=CoordinationSettings())
    view = SystemView(settings, PlainReader(), UpstreamPools(settings.send))
    store = MemoryStore()
    row = CoordinatorRow(
        holder=settings.name, address="127.0.0.1:1", epoch=1, beat=0, vacant=False
    )
    version = await store.write("coordinator", make_term_row(row, 0))
    coordinator = Coordinator(
        settings,
        view,
        store,
        calls,
        row,
        version,
        notify,
        [],
        previous_renewed_at=monotonic(),
        previous_grant_duration_s=0.0,
    )
    return coordinator, view


def make_report(member, upstreams):
    return MemberReport(
        member=member,
        incarnation="1",
        address="127.0.0.1:1",
        epoch=1,
        map_version=0,
        store_silent_s=-1.0,
        in_flight=dict.fromkeys(upstreams, 1),
    )


async def divide_keys_of_many(upstreams, members):
    """Return the longest time without a turn of the loop, and the grants made."""
    names = [f"u{number}" for number in range(upstreams)]
    calls = MemoryGrants({name: MemoryUpstream(name) for name in names})
    versions = {}

    def notify(member, notice):
        pack_notice(notice)
        versions[member] = notice.map_version

    coordinator, view = await make_coordinator(calls, notify)
    view.routing_config = make_plan()
    view.upstreams_loaded = True
    for name in names:
        view.directory.put(make_record(name), monotonic())
    coordinator.start()
    longest_s, began, reported = 0.0, monotonic(), 0
    while monotonic() - began < PATIENCE_S:
        turn = monotonic()
        await sleep(0.002)
        longest_s = max(longest_s, monotonic() - turn)
        while reported < (monotonic() - began) * members * REPORTS_PER_S:
            member = f"router-{reported % members}"
            version = versions.get(member, -1)
            report = make_report(member, names[reported % members :][:20])
            coordinator.receive(replace(report, map_version=version))
            reported += 1
        if len({one for _, one, _, _ in calls.calls}) == upstreams:
            break
    coordinator.end("test")
    return longest_s, len({one for _, one, _, _ in calls.calls})


@mark.parametrize(("upstreams", "members"), [(1000, 100), (3000, 300)])
async def test_first_division_among_many_leaves_time_for_the_term(upstreams, members):
    longest_s, granted = await divide_keys_of_many(upstreams, members)
    assert granted == upstreams
    assert longest_s < CoordinationSettings().confirmed_s / 2


async def take_reports_of_many():
    """Return the processor time in seconds of one round of reports."""
    names = [f"u{number}" for number in range(UPSTREAMS)]
    coordinator, _ = await make_coordinator(
        MemoryGrants({}), lambda member, notice: None
    )
    members = [f"router-{number}" for number in range(MEMBERS)]
    share = UPSTREAMS // MEMBERS * 2
    reports = [
        make_report(member, names[at * 10 : at * 10 + share])
        for at, member in enumerate(members)
    ]
    for report in reports:
        coordinator.receive(report)
    began = process_time()
    for report in reports:
        coordinator.receive(report)
    spent_s = process_time() - began
    coordinator.end("test")
    return spent_s


async def test_reports_of_many_take_a_small_part_of_a_core():
    assert await take_reports_of_many() * REPORTS_PER_S < MOST_CORES
