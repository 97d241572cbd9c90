"""
Upstreams that start again under the same id while grants are made to them.

The tests guard against two upstreams with the same keys: a grant that a later process
has accepted must not be taken for one that ended with the earlier process.
"""

from asyncio import get_running_loop, sleep
from time import monotonic

import pytest
from plantaincart_core.keymove import KeyMove
from plantaincart_router.direct.tests.fakes import FAST, make_record
from plantaincart_router.direct.tests.memorysystem import (
    SAMPLE_KEYS,
    OwnerWatch,
    find_other_owner,
    run_system,
    wait_for,
)

# Longer than the grant duration and the term of the fast settings together.
OBSERVED_S = 1.0


def owns_any(upstream):
    return any(upstream.owns(key) for key in SAMPLE_KEYS)


def announce(system):
    """Let all instances read the announcements of the present processes."""
    for instance in system.instances.values():
        instance.announce(system.upstreams)


async def restart_before_announcement(system, name):
    """Start an upstream again, and wait until it has accepted a grant."""
    upstream = system.upstreams[name]
    upstream.restart()
    await wait_for(lambda: owns_any(upstream))
    return upstream


async def test_grant_is_accepted_before_the_later_process_is_announced():
    """Guards against keys granted to others while the later process holds them."""
    async with run_system(get_running_loop()) as system:
        watch = OwnerWatch(system)
        await restart_before_announcement(system, "u1")
        announce(system)
        await sleep(OBSERVED_S)
        watch.stop()
        assert system.all_keys_owned()


@pytest.mark.parametrize("is_gone", [False, True])
async def test_takeover_before_the_later_process_is_announced(is_gone):
    """Guards against a successor that takes what the row says for void at once."""
    async with run_system(get_running_loop()) as system:
        watch = OwnerWatch(system)
        coordinator = system.find_coordinator()
        await restart_before_announcement(system, "u1")
        if is_gone:
            system.kill(coordinator.settings.name)
        else:
            await coordinator.follower.withdraw()
        announce(system)
        await sleep(OBSERVED_S + FAST.silent_s)
        watch.stop()


async def test_later_process_that_is_not_reached_keeps_its_grants():
    """Guards against keys of a process that doesn't answer the release."""
    async with run_system(get_running_loop()) as system:
        watch = OwnerWatch(system)
        upstream = await restart_before_announcement(system, "u1")
        upstream.reachable = False
        announce(system)
        await sleep(OBSERVED_S)
        watch.stop()
        assert not owns_any(upstream)
        # The planner may try to give this upstream some keys again.
        await wait_for(system.all_keys_owned)


async def test_keys_are_served_soon_after_a_restart_without_further_grants():
    """Guards against waiting for grants that ended with the process."""
    async with run_system(get_running_loop()) as system:
        watch = OwnerWatch(system)
        system.upstreams["u1"].restart()
        announce(system)
        await wait_for(system.all_keys_owned, FAST.hold_s / 2.0)
        watch.stop()


async def test_address_of_an_ended_process_is_not_awaited():
    """Guards against an expiry awaited for a process that ended elsewhere."""
    async with run_system(get_running_loop()) as system:
        watch = OwnerWatch(system)
        upstream = system.upstreams["u1"]
        upstream.restart()
        moved = make_record("u1", born=upstream.born, port=2)
        for instance in system.instances.values():
            release = instance.grants.release

            async def release_at(record, key_range, release=release):
                assert record.id != "u1" or record.port == 2
                return await release(record, key_range)

            instance.grants.release = release_at
            instance.view.directory.put(moved, monotonic())
        await wait_for(system.all_keys_owned, FAST.hold_s / 2.0)
        watch.stop()


async def test_target_of_a_move_restarts_before_it_has_answered():
    """Guards against a retry that gives the later process the same fencing token."""
    async with run_system(get_running_loop()) as system:
        watch = OwnerWatch(system)
        coordinator = system.find_coordinator()
        target = system.upstreams[find_other_owner(system, 50)]
        record_accepted = coordinator.grants.record_accepted
        restarts = []

        def restart_at_grant(upstream, key_range):
            record_accepted(upstream, key_range)
            if upstream is target and key_range.first == 0 and not restarts:
                restarts.append(key_range)
                upstream.lose_answers = 1
                upstream.restart()

        coordinator.grants.record_accepted = restart_at_grant
        placement = coordinator.follower.coordinator._placements["ledger"]
        source = placement.owners.find(50).owner
        await placement._carry_out(
            [KeyMove(first=0, last=100, source=source, target=target.name)]
        )
        await wait_for(lambda: restarts and system.all_keys_owned())
        watch.stop()
        assert system.all_maps_agree()


async def test_only_upstream_of_a_service_gets_its_keys_back():
    """Guards against keys that no other upstream could take, and that nobody serves."""
    async with run_system(get_running_loop(), upstreams=1) as system:
        watch = OwnerWatch(system)
        system.upstreams["u0"].restart()
        announce(system)
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree())
        watch.stop()


async def test_stored_address_is_that_of_the_latest_process():
    """Guards against a release that a successor sends to an ended process."""
    async with run_system(get_running_loop()) as system:
        coordinator = system.find_coordinator()
        registry = coordinator.follower.coordinator._placements["ledger"]._registry
        moved = make_record("u1", born=2, port=2)
        coordinator.view.directory.put(moved, monotonic())
        registry.record_announced()
        for processes in ([("u1", 2), ("u1", 1)], [("u1", 1), ("u1", 2)]):
            assert registry.list_addresses(processes) == {"u1": "127.0.0.1:2"}
