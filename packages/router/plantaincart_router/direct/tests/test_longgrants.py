"""
Grants that a stopping coordinator makes for longer in an outage of the store.

The tests guard against two upstreams with the same keys, where a successor doesn't know
of long grants, and against takeovers that wait for long grants which nobody has made.
"""

from asyncio import create_task, get_running_loop, sleep
from dataclasses import replace
from time import monotonic

import pytest
from plantaincart_router.direct.previousterm import PreviousTerm
from plantaincart_router.direct.settings import CoordinationSettings
from plantaincart_router.direct.tests.fakes import FAST
from plantaincart_router.direct.tests.memorysystem import run_system, wait_for
from plantaincart_schema.generated.direct import CoordinatorRow

TIMES = CoordinationSettings()
LONGEST_S = 10.0
ROW = CoordinatorRow(
    holder="a",
    address="",
    epoch=7,
    beat=3,
    vacant=False,
    electors=["a", "b", "c"],
    earlier_ended=True,
    store_clock_s=50.0,
)


def find_last_expiry(system):
    return max(
        grant.expires_at
        for upstream in system.upstreams.values()
        for grant in upstream.grants
    )


def describe(silent_s, left, row=ROW):
    """Describe a previous term by what the row shows and what members report."""
    previous_term = PreviousTerm(
        TIMES, row, monotonic(), TIMES.hold_s, LONGEST_S, silent_s
    )
    for member, member_silent_s in left.items():
        previous_term.record_left(member, member_silent_s)
    return previous_term


def measure_wait(previous_term):
    return previous_term.find_last_expiry() - monotonic()


async def make_long_grants(system):
    """Stop the coordinator in an outage until it has made long grants."""
    system.store.refused_clients = set(system.instances)
    withdrawal = create_task(system.find_coordinator().follower.withdraw())
    await wait_for(lambda: find_last_expiry(system) - monotonic() > 2.0 * FAST.hold_s)
    withdrawal.cancel()


async def restart_all(system):
    """Kill all processes, and start the coordinator again."""
    holder = system.find_coordinator().settings.name
    for name in list(system.instances):
        system.kill(name)
    system.store.refused_clients = set()
    started = system.add(holder, get_running_loop())
    await wait_for(lambda: started.is_coordinator)
    return started.follower.coordinator


@pytest.mark.parametrize("row_age_s", [1.0, 2.0, 3.0, 4.0])
def test_takeover_after_a_kill_of_all_processes_waits_for_normal_grants(row_age_s):
    """Guards against a slow start after a power loss beside a healthy store."""
    restarted = dict.fromkeys(ROW.electors, 0.0)
    wait_s = measure_wait(describe(row_age_s + TIMES.beat_s, restarted))
    row = replace(ROW, store_clock_s=None)
    assert wait_s <= measure_wait(describe(None, restarted, row)) + 0.01


def test_ordinary_takeover_waits_for_normal_grants():
    """Guards against slow takeovers from a coordinator that was lost."""
    silent_s = TIMES.beat_s + TIMES.unchanged_s + TIMES.row_read_s
    left = {"b": TIMES.silent_s, "c": TIMES.silent_s}
    row = replace(ROW, store_clock_s=None)
    wait_s = measure_wait(describe(silent_s, left))
    assert wait_s <= measure_wait(describe(None, left, row)) + 0.01


def test_long_grants_are_expected_after_a_long_silence():
    silent_s = TIMES.long_grants_after_s + 1.0
    assert measure_wait(describe(silent_s, {"b": 0.5, "c": 0.5})) > LONGEST_S
    assert measure_wait(describe(silent_s, {"b": 0.5, "c": 3.0})) > LONGEST_S
    # Most electors had left before grants can have been prolonged.
    assert measure_wait(describe(silent_s, {"b": 3.0, "c": 3.0})) < LONGEST_S


@pytest.mark.parametrize("delay_s", [0.0, 3.0 * FAST.beat_s])
async def test_second_successor_expects_long_grants(delay_s):
    """Guards against a chain of takeovers that forgets long grants."""
    async with run_system(get_running_loop()) as system:
        await make_long_grants(system)
        last_expiry = find_last_expiry(system)
        await restart_all(system)
        await sleep(delay_s)
        successor = await restart_all(system)
        assert successor.last_earlier_expiry >= last_expiry


async def test_long_grants_are_expected_after_the_store_has_answered_again():
    """Guards against a row renewed after an outage that hides long grants."""
    async with run_system(get_running_loop()) as system:
        await make_long_grants(system)
        last_expiry = find_last_expiry(system)
        system.store.refused_clients = set()
        await sleep(5.0 * FAST.beat_s)
        successor = await restart_all(system)
        assert successor.last_earlier_expiry >= last_expiry


async def test_no_long_grants_where_the_store_names_no_clock():
    """Guards against long grants that no successor can know of."""
    async with run_system(get_running_loop()) as system:
        system.store.names_clock = False
        coordinator = system.find_coordinator()
        coordinator.platform.store.clock = None
        system.store.refused_clients = set(system.instances)
        withdrawal = create_task(coordinator.follower.withdraw())
        await sleep(3.0 * FAST.long_grants_after_s)
        assert coordinator.is_coordinator
        assert find_last_expiry(system) - monotonic() <= FAST.hold_s
        withdrawal.cancel()


async def test_no_long_grants_before_the_store_was_silent_for_long():
    """Guards against long grants that the row's age doesn't show."""
    async with run_system(get_running_loop()) as system:
        system.store.refused_clients = set(system.instances)
        silent_at = monotonic()
        withdrawal = create_task(system.find_coordinator().follower.withdraw())
        while monotonic() < silent_at + 0.7 * FAST.long_grants_after_s:
            assert find_last_expiry(system) - monotonic() <= FAST.hold_s
            await sleep(0.02)
        withdrawal.cancel()


async def test_no_long_grants_while_the_store_answers_others_for_long():
    """Guards against long grants of a coordinator that alone lacks the store."""
    async with run_system(get_running_loop()) as system:
        coordinator = system.find_coordinator()
        system.store.refused_clients = {coordinator.settings.name}
        withdrawal = create_task(coordinator.follower.withdraw())
        ends_at = monotonic() + 2.0 * FAST.long_grants_after_s
        while monotonic() < ends_at:
            assert find_last_expiry(system) - monotonic() <= FAST.hold_s
            await sleep(0.02)
        withdrawal.cancel()
