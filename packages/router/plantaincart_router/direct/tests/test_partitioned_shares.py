"""Limits that all instances share, while two coordinators act on two sides of a cut."""

from asyncio import sleep
from time import monotonic

import pytest
from plantaincart_router.direct.tests.fakes import FAST
from plantaincart_router.direct.tests.memorysystem import wait_for
from plantaincart_router.direct.tests.partitionedsystem import run_partitioned_system

UNITS = 100


@pytest.fixture(autouse=True)
def short_memories(monkeypatch):
    monkeypatch.setattr("plantaincart_router.direct.view.MEMBER_COUNT_MEMORY_S", 0.3)
    monkeypatch.setattr("plantaincart_core.fleetdivision.HANDOVER_S", 0.2)


def count_units(system):
    """Return the units that all instances together may use of a limit of 100."""
    now = monotonic()
    return sum(
        min(item.find_share(UNITS, 0) for item in instance.view.list_divisions(now))
        for instance in system.instances.values()
    )


async def test_two_sides_of_a_partition_use_no_more_than_one_limit():
    """
    Each side divided the whole limit among its own members.

    A cold upstream that both sides reach got twice the requests that it bears.
    """
    async with run_partitioned_system() as system:
        await wait_for(lambda: count_units(system) == UNITS)
        await sleep(2 * FAST.beat_s)
        coordinator = system.find_coordinator()
        names = [name for name in system.instances if name != coordinator.settings.name]
        system.cut({coordinator.settings.name, *names[:2]})
        most, ends_at = 0, monotonic() + 2.0
        while monotonic() < ends_at:
            most = max(most, count_units(system))
            await sleep(0.02)
        assert coordinator.is_coordinator
        assert any(system.instances[name].is_coordinator for name in names[2:])
        assert most <= UNITS
        system.heal()
        await wait_for(lambda: count_units(system) == UNITS, 5.0)
