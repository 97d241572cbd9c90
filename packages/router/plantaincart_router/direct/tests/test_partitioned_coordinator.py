"""
Two sides of a partition that both grant keys.

The tests guard against a coordinator that takes the instances on its side for all, and
goes on beside a successor on the other side.
"""

from asyncio import sleep
from time import monotonic

import pytest
from plantaincart_router.direct.tests.fakes import FAST, make_record
from plantaincart_router.direct.tests.memorysystem import OwnerWatch, wait_for
from plantaincart_router.direct.tests.partitionedsystem import run_partitioned_system

# Longer than a takeover and the grants of the earlier coordinator.
CUT_S = 2.5


def choose_side(system, instances, upstreams=3):
    """Name the coordinator, some other instances, and some upstreams."""
    coordinator = system.find_coordinator()
    names = [name for name in system.instances if name != coordinator.settings.name]
    side = {coordinator.settings.name, *names[: instances - 1]}
    return side | set(sorted(system.upstreams)[:upstreams])


@pytest.mark.parametrize("instances", [1, 2, 3])
async def test_one_side_of_a_partition_grants_keys(instances):
    """The coordinator's side went on in an outage that was none."""
    async with run_partitioned_system() as system:
        await sleep(2 * FAST.beat_s)
        side, watch = choose_side(system, instances), OwnerWatch(system)
        system.cut(side)
        await sleep(CUT_S)
        system.heal()
        await sleep(FAST.confirmed_s)
        watch.stop()
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree())


async def test_successor_moves_no_keys_before_the_earlier_term_has_ended():
    """
    Keys were moved from an owner that the earlier coordinator reached, too.

    A later process of that owner knows no tokens and accepts its grants.
    """
    async with run_partitioned_system() as system:
        await sleep(2 * FAST.beat_s)
        side = choose_side(system, instances=3, upstreams=0)
        system.cut(side)
        successors = [
            item for name, item in system.instances.items() if name not in side
        ]
        await wait_for(lambda: any(item.is_coordinator for item in successors))
        successor = next(item for item in successors if item.is_coordinator)
        coordinator = successor.follower.coordinator
        await wait_for(lambda: coordinator.has_resumed)
        successor.view.directory.put(make_record("u3", ready=False), monotonic())
        placement = coordinator._placements["ledger"]
        owned_first = {item.first for item in placement.owners if item.owner == "u3"}
        assert owned_first
        while not coordinator._previous_term.has_ended():
            owned = {item.first for item in placement.owners if item.owner == "u3"}
            assert owned == owned_first
            await sleep(0.02)
        await wait_for(lambda: not any(item.owner == "u3" for item in placement.owners))
