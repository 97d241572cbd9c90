"""Coordinators that reach the store and the members, but no upstream."""

from asyncio import create_task, get_running_loop, sleep
from contextlib import asynccontextmanager
from time import monotonic

import pytest
from plantaincart_router.direct.calloutcome import FAILURE_MEMORY_S
from plantaincart_router.direct.ownershiptable import OWNERSHIP_TABLE
from plantaincart_router.direct.settings import (
    CoordinationSettings,
    ResourceSettings,
)
from plantaincart_router.direct.termrow import COORDINATOR_TABLE
from plantaincart_router.direct.tests import fakes
from plantaincart_router.direct.tests.fakes import FAST, make_record
from plantaincart_router.direct.tests.memorysystem import (
    SAMPLE_KEYS,
    run_system,
    wait_for,
)
from plantaincart_schema.codec import decode_json
from plantaincart_schema.generated.direct import CoordinatorRow

# The cut is noticed before the grants expire; the longest takeover after a resignation
# is the one by a weak candidate.
RECOVERY_S = FAST.hold_s + FAST.candidate_s + FAST.weak_candidate_s + FAST.report_s
# Longer than any grant, so that all keys would be unowned without a takeover.
CUT_S = 4 * FAST.hold_s


def cut(instance, way):
    setattr(instance.grants, way, True)


def report_cut_off(instance):
    """Let connects to all upstreams fail, as they do for requests."""
    for record in list(instance.view.directory):
        instance.view.reachability.record_unreached(record, monotonic())
    assert instance.view.reachability.is_cut_off


def heal(instance):
    grants = instance.grants
    grants.disconnected = grants.hanging = grants.refuses_connections = False


def read_ownership_version(system):
    return system.store.rows[OWNERSHIP_TABLE, "ledger"].version


def read_epoch(system):
    """Return the epoch of the latest term; each takeover raises it by one."""
    row = system.store.rows[COORDINATOR_TABLE, "term"]
    return decode_json(row.value, CoordinatorRow).epoch


@asynccontextmanager
async def watch_owners(system):
    """Fail if a key has two owners at any moment."""
    keys_owned_twice = []

    async def watch():
        while True:
            keys_owned_twice.extend(
                key for key in SAMPLE_KEYS if system.count_owners(key) > 1
            )
            await sleep(0.01)

    watching = create_task(watch())
    try:
        yield
    finally:
        watching.cancel()
    assert keys_owned_twice == []


async def keeps_owners(system, duration_s):
    """Whether each key has one owner, of which all maps know, for some seconds."""
    deadline = monotonic() + duration_s
    while monotonic() < deadline:
        if not (system.all_keys_owned() and system.all_maps_agree()):
            return False
        await sleep(0.05)
    return True


@pytest.mark.parametrize("way", ["disconnected", "hanging"])
async def test_coordinator_that_reaches_no_upstream_is_replaced(way):
    """A coordinator kept its role although none of its grants arrived."""
    async with run_system(get_running_loop()) as system, watch_owners(system):
        old = system.find_coordinator()
        cut(old, way)
        await sleep(RECOVERY_S)
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree(), 0.2)
        assert system.find_coordinator() not in (None, old)
        assert await keeps_owners(system, CUT_S)
        assert not old.is_coordinator
        heal(old)
        assert await keeps_owners(system, FAST.hold_s)


async def test_kept_connections_renew_grants_while_new_ones_are_refused():
    """Keys must not move to upstreams of which only kept connections are left."""
    async with run_system(get_running_loop()) as system, watch_owners(system):
        cut(system.find_coordinator(), "refuses_connections")
        assert await keeps_owners(system, CUT_S)


@pytest.mark.parametrize("way", ["disconnected", "hanging"])
async def test_role_stays_while_all_instances_are_cut_off(way):
    """The role must not go round among instances that reach no upstream either."""
    async with run_system(get_running_loop()) as system, watch_owners(system):
        epoch = system.find_coordinator().follower.coordinator.epoch
        for instance in system.instances.values():
            cut(instance, way)
        await sleep(CUT_S)
        takeovers = read_epoch(system) - epoch
        for instance in system.instances.values():
            heal(instance)
        await wait_for(
            lambda: system.all_keys_owned() and system.all_maps_agree(), RECOVERY_S
        )
        assert takeovers <= CUT_S / FAST.hold_s
        # The cut is over, so the role stays where it is.
        epoch = read_epoch(system)
        assert await keeps_owners(system, FAST.hold_s)
        assert read_epoch(system) == epoch


@pytest.mark.parametrize("way", ["disconnected", "hanging"])
async def test_lone_coordinator_that_is_cut_off_keeps_the_owners(way):
    """Keys were moved from one unreachable upstream to another."""
    async with (
        run_system(get_running_loop(), names=("r1",)) as system,
        watch_owners(system),
    ):
        lone = system.find_coordinator()
        epoch, version = read_epoch(system), read_ownership_version(system)
        cut(lone, way)
        await sleep(CUT_S)
        assert (read_epoch(system), read_ownership_version(system)) == (epoch, version)
        heal(lone)
        await wait_for(
            lambda: system.all_keys_owned() and system.all_maps_agree(), RECOVERY_S
        )


async def test_moves_that_fail_in_a_cut_are_completed_after_it():
    """Keys whose move failed at all upstreams must get an owner after the cut."""
    async with (
        run_system(get_running_loop(), names=("r1",)) as system,
        watch_owners(system),
    ):
        lone = system.find_coordinator()
        cut(lone, "disconnected")
        lone.view.directory.remove("u1", monotonic())
        await sleep(CUT_S)
        heal(lone)
        await wait_for(
            lambda: system.all_keys_owned() and system.all_maps_agree(), RECOVERY_S
        )


async def test_role_stays_while_few_upstreams_are_unreachable():
    """Keys of upstreams that nobody reaches move, and the role stays."""
    async with (
        run_system(get_running_loop(), upstreams=6) as system,
        watch_owners(system),
    ):
        coordinator, epoch = system.find_coordinator(), read_epoch(system)
        version = read_ownership_version(system)
        for name in ("u1", "u4"):
            system.upstreams[name].reachable = False
        await sleep(CUT_S)
        assert system.all_keys_owned()
        assert read_ownership_version(system) > version
        assert (system.find_coordinator(), read_epoch(system)) == (coordinator, epoch)


async def test_role_stays_with_a_cut_off_coordinator_in_an_outage_of_the_store():
    """Nobody can claim the role then; it is given up when the store is back."""
    async with run_system(get_running_loop()) as system, watch_owners(system):
        old, epoch = system.find_coordinator(), read_epoch(system)
        system.store.refused_clients = set(system.instances)
        await sleep(FAST.confirmed_s)
        cut(old, "disconnected")
        await sleep(2 * FAST.hold_s)
        assert system.find_coordinator() is old
        assert read_epoch(system) == epoch
        system.store.refused_clients = set()
        await sleep(RECOVERY_S)
        assert system.find_coordinator() not in (None, old)
        assert system.all_keys_owned()
        assert system.all_maps_agree()


async def test_instances_that_are_cut_off_too_leave_the_role_to_others():
    """Most instances were cut off with the coordinator; one claimed the role again."""
    weak = ResourceSettings(cores=0.43, link_mbps=5.0)
    names = ("r1", "r2", "r3", "r4", "r5")
    async with run_system(get_running_loop(), names) as system, watch_owners(system):
        sound = system.add("weak", get_running_loop(), weak)
        await wait_for(system.all_maps_agree)
        for name in names:
            cut(system.instances[name], "hanging")
            report_cut_off(system.instances[name])
        await sleep(RECOVERY_S)
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree(), 0.2)
        assert system.find_coordinator() is sound
        assert await keeps_owners(system, CUT_S)


async def test_role_stays_while_all_instances_report_that_they_are_cut_off():
    async with run_system(get_running_loop()) as system, watch_owners(system):
        epoch = read_epoch(system)
        for instance in system.instances.values():
            cut(instance, "hanging")
            report_cut_off(instance)
        await sleep(CUT_S)
        assert read_epoch(system) == epoch
        for instance in system.instances.values():
            heal(instance)
        await wait_for(
            lambda: system.all_keys_owned() and system.all_maps_agree(), RECOVERY_S
        )


async def test_cut_off_instance_claims_a_role_that_nobody_else_claims():
    async with run_system(get_running_loop(), ("r1", "r2")) as system:
        for instance in system.instances.values():
            report_cut_off(instance)
        system.kill(system.find_coordinator().settings.name)
        await wait_for(lambda: system.find_coordinator() is not None)
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree())


async def test_coordinator_that_only_keeps_connections_gives_the_role_up():
    """It can't grant keys anew to an upstream that has closed its connection."""
    async with run_system(get_running_loop()) as system, watch_owners(system):
        old = system.find_coordinator()
        cut(old, "refuses_connections")
        report_cut_off(old)
        system.upstreams["u1"].connected.clear()
        await sleep(RECOVERY_S)
        assert system.find_coordinator() not in (None, old)
        assert await keeps_owners(system, CUT_S)


async def test_coordinator_whose_calls_are_answered_keeps_the_role():
    """Connects for requests fail while upstreams are full, or the process is slow."""
    async with run_system(get_running_loop()) as system, watch_owners(system):
        old, epoch = system.find_coordinator(), read_epoch(system)
        report_cut_off(old)
        assert await keeps_owners(system, CUT_S)
        assert (system.find_coordinator(), read_epoch(system)) == (old, epoch)


async def test_coordinator_that_opens_connections_keeps_the_role():
    """One upstream is lost, and others answer calls on new connections."""
    async with run_system(get_running_loop()) as system, watch_owners(system):
        old, epoch = system.find_coordinator(), read_epoch(system)
        await sleep(FAST.hold_s)
        report_cut_off(old)
        system.upstreams["u1"].reachable = False
        grants = old.follower.coordinator._granter._calls
        for _ in range(int(CUT_S / 0.1)):
            # As after a grant to an upstream that has just joined.
            grants.connected_at = monotonic()
            await sleep(0.1)
        assert (system.find_coordinator(), read_epoch(system)) == (old, epoch)


async def test_upstreams_that_restart_in_a_cut_get_keys_after_it():
    """Failed calls to processes that are gone must not stop all moves for good."""
    async with (
        run_system(get_running_loop(), names=("r1",)) as system,
        watch_owners(system),
    ):
        lone = system.find_coordinator()
        cut(lone, "disconnected")
        await sleep(CUT_S / 2)
        for name, upstream in system.upstreams.items():
            upstream.grants.clear()
            upstream.highest_fences.clear()
            lone.view.directory.put(make_record(name, born=2), monotonic())
        await sleep(CUT_S / 2)
        heal(lone)
        await wait_for(
            lambda: system.all_keys_owned() and system.all_maps_agree(),
            FAILURE_MEMORY_S + RECOVERY_S,
        )


@pytest.mark.parametrize("way", ["disconnected", "hanging"])
async def test_keys_have_owners_within_a_grant_duration_by_default(way, monkeypatch):
    """With the default times, the cut is noticed before grants expire."""
    times = CoordinationSettings()
    monkeypatch.setattr(fakes, "FAST", times)
    async with (
        run_system(get_running_loop(), upstreams=26) as system,
        watch_owners(system),
    ):
        # A coordinator that has just taken over doesn't resign yet.
        await sleep(times.hold_s)
        old = system.find_coordinator()
        cut(old, way)
        await sleep(times.hold_s)
        assert system.find_coordinator() not in (None, old)
        assert await keeps_owners(system, 1.5 * times.hold_s)


@pytest.mark.parametrize("way", ["disconnected", "hanging"])
async def test_no_key_has_two_owners_if_an_owner_is_lost_with_the_coordinator(way):
    """The successor waits for grants that the resigned coordinator may have made."""
    async with run_system(get_running_loop()) as system, watch_owners(system):
        old = system.find_coordinator()
        cut(old, way)
        system.upstreams["u1"].reachable = False
        await wait_for(lambda: system.find_coordinator() not in (None, old), RECOVERY_S)
        lost = system.upstreams["u1"]
        await wait_for(lambda: not any(map(lost.owns, SAMPLE_KEYS)), 2 * FAST.hold_s)
        await wait_for(
            lambda: system.all_keys_owned() and system.all_maps_agree(),
            RECOVERY_S + FAST.confirmed_s + FAST.hold_s,
        )
        assert await keeps_owners(system, FAST.hold_s)
