"""
Takeovers from a coordinator whose row stays the same although the store answers it.

The tests guard against a successor that takes the time of the row's last change for the
time of the last confirmation, so that it expects earlier grants to end too soon.
"""

from asyncio import sleep
from time import monotonic

from plantaincart_router.direct.store import StoreUnavailableError
from plantaincart_router.direct.termrow import COORDINATOR_TABLE, find_term
from plantaincart_router.direct.tests.fakes import FAST, MemoryStore
from plantaincart_router.direct.tests.memorysystem import (
    Instance,
    OwnerWatch,
    wait_for,
)
from plantaincart_router.direct.tests.partitionedsystem import run_partitioned_system

# Longer than a takeover and the grants of the earlier coordinator.
OBSERVED_S = 3.0
CHECK_INTERVAL_S = 0.005


def refuse_writes(client, holder):
    """Refuse all writes of a client, and its reads once another holds the term."""
    read = client.read

    async def refuse_write(table, row, also=(), absent=()):
        raise StoreUnavailableError("busy")

    async def read_until_takeover(table):
        view = await read(COORDINATOR_TABLE)
        if find_term(view)[0].holder != holder:
            raise StoreUnavailableError("busy")
        return await read(table)

    client.write, client.read = refuse_write, read_until_takeover


def find_successor(system, earlier):
    for instance in system.instances.values():
        if instance is not earlier and instance.is_coordinator:
            return instance
    return None


async def test_term_confirmed_by_reads_alone():
    """A term that reads had confirmed lasted beyond the end that others expected."""
    async with run_partitioned_system() as system:
        await sleep(2 * FAST.beat_s)
        earlier = system.find_coordinator()
        coordinator, watch = earlier.follower.coordinator, OwnerWatch(system)
        refuse_writes(earlier.platform.store, earlier.settings.name)
        system.side = {earlier.settings.name, *sorted(system.upstreams)[:3]}
        await wait_for(lambda: find_successor(system, earlier) is not None)
        successor = find_successor(system, earlier).follower.coordinator
        ends_at = monotonic() + OBSERVED_S
        while monotonic() < ends_at:
            await sleep(CHECK_INTERVAL_S)
            is_ended = successor._previous_term.find_end() <= monotonic()
            assert not (is_ended and coordinator._term.is_valid)
        watch.stop()


async def test_own_claim_that_was_never_renewed():
    """A term that was claimed, but never renewed, was expected to end too soon."""
    follower = Instance("r1", MemoryStore(), {}, []).follower
    watch = follower._term
    watch.apply(await watch.read())
    assert await watch.claim("r2", "127.0.0.1:1", 0)
    watch.apply(await watch.read())
    await sleep(FAST.unchanged_s)
    watch.apply(await watch.read())
    claimed_at = monotonic()
    assert await watch.claim("r1", "127.0.0.1:2", 1)
    # The claim has started a term, which has ended since.
    watch.forget()
    watch.apply(await watch.read())
    previous_term = follower._describe_previous_term(watch.row, watch.changed_at)
    assert previous_term.find_end() >= claimed_at + FAST.confirmed_s
