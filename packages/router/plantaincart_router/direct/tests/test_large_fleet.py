"""Processor time of a coordinator with 1000 upstreams and 100 instances."""

from asyncio import sleep
from dataclasses import replace
from time import monotonic, process_time

from plantaincart_router.direct.clock import read_boot_time
from plantaincart_router.direct.coordinator import Coordinator
from plantaincart_router.direct.noticecodec import pack_notice
from plantaincart_router.direct.pool import UpstreamPools
from plantaincart_router.direct.previousterm import PreviousTerm
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
# Maximum number of reports per second and instance.
REPORTS_PER_S = 4
# Seconds until all keys must be granted: the bound for a restart of all processes, plus
# one second for the test machine.
MAX_GRANT_S = 6.0
# A quarter of the cores of a coordinator's machine; see
# `ResourceSettings.wanted_cores`.
MAX_CORES = 0.2


async def make_coordinator(calls, notify):
    """Return a coordinator with default settings and a stored row, and its view."""
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
        0,
        read_boot_time(),
        notify,
        [],
        PreviousTerm(settings.coordination, None, monotonic(), 0.0),
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


async def grant_all_keys(upstreams, members):
    """Return the longest delay of the event loop, and the upstreams with grants."""
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
    longest_delay_s, started_at, reported = 0.0, monotonic(), 0
    while monotonic() - started_at < MAX_GRANT_S:
        slept_at = monotonic()
        await sleep(0.002)
        longest_delay_s = max(longest_delay_s, monotonic() - slept_at)
        while reported < (monotonic() - started_at) * members * REPORTS_PER_S:
            member = f"router-{reported % members}"
            version = versions.get(member, -1)
            report = make_report(member, names[reported % members :][:20])
            coordinator.receive(replace(report, map_version=version))
            reported += 1
        if len({upstream for _, upstream, _, _ in calls.calls}) == upstreams:
            break
    coordinator.end("test")
    return longest_delay_s, len({upstream for _, upstream, _, _ in calls.calls})


@mark.parametrize(("upstreams", "members"), [(1000, 100), (3000, 300)])
async def test_initial_assignment_leaves_time_for_the_term(upstreams, members):
    longest_delay_s, granted = await grant_all_keys(upstreams, members)
    assert granted == upstreams
    assert longest_delay_s < CoordinationSettings().confirmed_s / 2


async def measure_reports():
    """Return the processor time in seconds of one report by each member."""
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
    started_at = process_time()
    for report in reports:
        coordinator.receive(report)
    elapsed_s = process_time() - started_at
    coordinator.end("test")
    return elapsed_s


async def test_reports_use_a_small_fraction_of_a_core():
    assert await measure_reports() * REPORTS_PER_S < MAX_CORES
