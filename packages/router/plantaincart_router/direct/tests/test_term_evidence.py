"""
What a coordinator or its successor concludes from rows that it finds.

The tests guard against two instances that both take keys for theirs to grant.
"""

from asyncio import create_task, get_running_loop, sleep
from time import monotonic

import pytest
from plantaincart_router.direct.clock import read_boot_time
from plantaincart_router.direct.store import StoreConflictError, StoreUnavailableError
from plantaincart_router.direct.termrow import COORDINATOR_TABLE
from plantaincart_router.direct.tests.fakes import FAST
from plantaincart_router.direct.tests.memorysystem import OwnerWatch, wait_for
from plantaincart_router.direct.tests.partitionedsystem import run_partitioned_system
from plantaincart_router.direct.tests.test_term import RenewedTerm

# Longer than a takeover and the grants of the earlier coordinator.
CUT_S = 2.9
# Time in seconds at which a late write takes effect.
LATE_S = 0.02


@pytest.mark.parametrize("copy_has_rows", [True, False])
async def test_store_is_restored_while_most_electors_are_cut_off(copy_has_rows):
    """The copy named none or other electors, so that the term counted as ended."""
    async with run_partitioned_system(names=("r1", "r2")) as system:
        earlier = system.find_coordinator()
        other = next(item for item in system.instances if item != earlier.settings.name)
        await sleep(3 * FAST.beat_s)
        copy = system.store.copy() if copy_has_rows else (0, {})
        for name in ("r3", "r4", "r5"):
            system.add(name, get_running_loop())
        await sleep(8 * FAST.beat_s)
        coordinator, watch = earlier.follower.coordinator, OwnerWatch(system)
        side = {earlier.settings.name, "r3", "r4", *sorted(system.upstreams)[:3]}
        system.cut(side)
        system.store.restore(copy)
        ends_at = monotonic() + CUT_S
        while monotonic() < ends_at:
            await sleep(0.01)
            for name in (other, "r5"):
                later = system.instances[name].follower.coordinator
                is_valid = later is not None and later._previous_term.has_ended()
                assert not (is_valid and coordinator._term.is_valid)
        watch.stop()


async def test_write_that_takes_effect_late_counts_from_its_own_begin():
    """A later write with the same beat hid when the row had really changed."""
    term_run = RenewedTerm()
    await sleep(3 * FAST.beat_s)
    client, term = term_run.client, term_run.term
    write, read = client.write, client.read
    begun, effects, tasks, first = [], [], [], []

    async def write_late(table, row, also=(), absent=()):
        begun.append(read_boot_time())
        if len(begun) == 1:
            first.append(row)
            raise StoreUnavailableError("no answer")
        if len(begun) == 2:
            # The first one has taken effect just before.
            raise StoreConflictError("term")
        raise StoreUnavailableError("no answer")

    async def read_late(table):
        view = await read(table)
        if len(begun) == 1 and not tasks:
            tasks.append(create_task(take_effect()))
        if len(begun) > 2:
            raise StoreUnavailableError("no answer")
        return view

    async def take_effect():
        await sleep(LATE_S)
        effects.append(read_boot_time())
        await write(COORDINATOR_TABLE, first[0])

    client.write, client.read = write_late, read_late
    await wait_for(lambda: len(begun) > 1)
    await sleep(0.01)
    term_run.task.cancel()
    term_run.end("stopped")
    assert term._confirmed_at <= effects[0]


async def test_stopping_coordinator_makes_long_grants_that_its_successor_ignores():
    """A successor that didn't hear of longer grants took keys for free too soon."""
    async with run_partitioned_system() as system:
        await sleep(3 * FAST.beat_s)
        earlier = system.find_coordinator()
        name, watch = earlier.settings.name, OwnerWatch(system)
        others = [item for item in system.instances if item != name]
        upstreams = sorted(system.upstreams)[:3]
        system.cut({name, *others[:2], *upstreams})
        await wait_for(
            lambda: any(system.instances[item].is_coordinator for item in others[2:])
        )
        await wait_for(lambda: earlier.follower.coordinator._term._lasts_through_outage)
        withdrawal = create_task(earlier.follower.withdraw())
        await sleep(4 * FAST.renew_s)
        withdrawal.cancel()
        system.kill(name)
        # The links of the other instances are back, those of the upstreams aren't.
        system.side = frozenset(upstreams)
        system.store.refused_clients = set()
        await sleep(CUT_S)
        watch.stop()
