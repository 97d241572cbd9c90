"""
Coordinators that act on less than the earlier coordinator has granted.

The tests guard against two upstreams with the same keys: a successor that takes keys
for free while grants may be valid, or a coordinator that goes on beside a successor.
"""

from asyncio import create_task, get_running_loop, sleep
from time import monotonic

from plantaincart_core.era import first_epoch
from plantaincart_core.keymove import KeyMove
from plantaincart_core.ownermap import KEY_COUNT
from plantaincart_router.direct.ownershiprow import encode_ownership
from plantaincart_router.direct.ownershiptable import OWNERSHIP_TABLE
from plantaincart_router.direct.termrow import (
    COORDINATOR_KEY,
    COORDINATOR_TABLE,
    ERA_KEY_PREFIX,
)
from plantaincart_router.direct.tests.fakes import FAST, Grant
from plantaincart_router.direct.tests.memorysystem import (
    OwnerWatch,
    System,
    find_other_owner,
    run_system,
    wait_for,
)
from plantaincart_router.exception import ConnectFailedError
from plantaincart_schema.codec import encode_json
from plantaincart_schema.generated.direct import (
    CoordinatorRow,
    OwnershipRange,
    OwnershipRow,
)

# Longer than the grant duration and the term of the fast settings together.
OBSERVED_S = 1.0
# Shorter than the time for which a successor expects grants of its predecessor.
EARLIER_GRANT_S = 0.45
SETTLE_S = "plantaincart_router.direct.planner.SETTLE_S"


async def move_first_keys(system):
    """Move some keys to another upstream, and return it."""
    placement = system.find_coordinator().follower.coordinator._placements["ledger"]
    target = find_other_owner(system, 50)
    source = placement.owners.find(50).owner
    await placement._carry_out(
        [KeyMove(first=0, last=100, source=source, target=target)]
    )
    await wait_for(lambda: system.upstreams[target].owns(50))
    return system.upstreams[target]


def renew_grants(upstream):
    """Renew the grants of an upstream as the earlier coordinator would."""
    for grant in upstream.grants:
        grant.expires_at = monotonic() + EARLIER_GRANT_S


def find_last_expiry(system):
    return max(
        grant.expires_at
        for upstream in system.upstreams.values()
        for grant in upstream.grants
    )


async def test_store_is_restored_between_the_claim_and_the_read_of_the_owners():
    """Guards against owners of a restored store that are taken for the latest ones."""
    async with run_system(get_running_loop()) as system:
        copy = system.store.copy()
        target = await move_first_keys(system)
        watch = OwnerWatch(system)
        restorations = []

        def restore_before_read(client):
            read = client.read

            async def read_restored(table):
                if table == OWNERSHIP_TABLE and not restorations:
                    restorations.append(table)
                    system.store.restore(copy)
                    renew_grants(target)
                return await read(table)

            client.read = read_restored

        earlier = system.find_coordinator()
        for instance in system.instances.values():
            if instance is not earlier:
                restore_before_read(instance.platform.store)
        await earlier.follower.withdraw()
        await wait_for(lambda: restorations)
        await sleep(OBSERVED_S)
        watch.stop()


async def test_row_of_owners_is_unreadable_at_a_takeover(monkeypatch):
    """Guards against keys that are divided anew while earlier grants are valid."""
    monkeypatch.setattr(SETTLE_S, 0.1)
    async with run_system(get_running_loop()) as system:
        target = await move_first_keys(system)
        watch = OwnerWatch(system)
        system.store.put(OWNERSHIP_TABLE, "ledger", b"not a row")
        await system.find_coordinator().follower.withdraw()
        renew_grants(target)
        await sleep(OBSERVED_S)
        watch.stop()


async def test_row_of_a_service_is_missing_after_a_restoration(monkeypatch):
    """Guards against rows of other services that are taken for all rows."""
    monkeypatch.setattr(SETTLE_S, 0.1)
    system = System()
    watch = OwnerWatch(system)
    epoch, last = first_epoch(1) + 1, KEY_COUNT - 1
    term = CoordinatorRow(
        holder="r0", address="127.0.0.1:9", epoch=epoch, beat=3, vacant=True
    )
    unowned = OwnershipRange(first=0, last=last, owner="", born=0, fence=0)
    other = OwnershipRow(service="other", epoch=epoch, sequence=1, ranges=[unowned])
    system.store.era = 1
    system.store.put(COORDINATOR_TABLE, f"{ERA_KEY_PREFIX}1", b"1")
    system.store.put(COORDINATOR_TABLE, COORDINATOR_KEY, encode_json(term))
    system.store.put(OWNERSHIP_TABLE, "other", encode_ownership(other))
    system.upstreams["u0"].grants = [Grant(0, last, 1, monotonic() + EARLIER_GRANT_S)]
    instance = system.add("r1", get_running_loop())
    try:
        await sleep(OBSERVED_S)
        watch.stop()
    finally:
        instance.follower.close()


async def test_no_term_beside_a_successor_that_the_coordinator_does_not_hear():
    """Guards against an outage that is concluded from a part of the instances."""
    async with run_system(get_running_loop()) as system:
        coordinator = system.find_coordinator()
        companion, successor = (
            instance
            for instance in system.instances.values()
            if instance is not coordinator
        )
        watch = OwnerWatch(system)
        owner = coordinator.follower.coordinator._placements["ledger"].owners.find(0)
        find_reachable = successor.grants._find_reachable

        def find_unless_cut(upstream):
            if upstream.id == owner.owner:
                raise ConnectFailedError(upstream.id)
            return find_reachable(upstream)

        successor.grants._find_reachable = find_unless_cut
        system.store.refused_clients = {
            coordinator.settings.name,
            companion.settings.name,
        }
        successor.follower._disconnect()
        await wait_for(lambda: successor.is_coordinator)
        await sleep(2 * OBSERVED_S)
        watch.stop()


async def test_grants_expected_after_a_resignation_in_an_outage():
    """Guards against a row read before an outage that dates the last grants."""
    async with run_system(get_running_loop()) as system:
        resigned = system.find_coordinator()
        successor, other = (
            instance
            for instance in system.instances.values()
            if instance is not resigned
        )
        other.follower._leaving = True
        await successor.follower._read_row()
        system.store.refused_clients = set(system.instances)
        await sleep(2 * OBSERVED_S)
        assert resigned.is_coordinator
        resigned.follower.coordinator.end("stopped")
        resigned.follower._leaving = True
        last_expiry = find_last_expiry(system)
        await sleep(FAST.unchanged_s)
        system.store.refused_clients = set()
        await wait_for(lambda: successor.is_coordinator)
        assert successor.follower.coordinator.last_earlier_expiry >= last_expiry


async def test_long_grants_expected_by_a_process_started_after_an_outage():
    """Guards against a successor that doesn't know of grants made for longer."""
    async with run_system(get_running_loop()) as system:
        stopped = system.find_coordinator()
        system.store.refused_clients = set(system.instances)
        withdrawal = create_task(stopped.follower.withdraw())
        await wait_for(
            lambda: find_last_expiry(system) - monotonic() > 2.0 * FAST.hold_s
        )
        withdrawal.cancel()
        for name in list(system.instances):
            system.kill(name)
        last_expiry = find_last_expiry(system)
        system.store.refused_clients = set()
        started = system.add(stopped.settings.name, get_running_loop())
        await wait_for(lambda: started.is_coordinator)
        assert started.follower.coordinator.last_earlier_expiry >= last_expiry


async def test_term_counts_from_the_begin_of_its_claim():
    """Guards against a term that lasts longer since its claim was answered late."""
    system = System()
    instance = system.add("r1", get_running_loop())
    write = instance.platform.store.write

    async def write_slowly(table, row, also=(), absent=()):
        version = await write(table, row, also, absent)
        await sleep(1.2 * FAST.confirmed_s)
        return version

    instance.platform.store.write = write_slowly
    try:
        await wait_for(lambda: instance.is_coordinator)
        assert not instance.follower.coordinator._term.is_valid
    finally:
        instance.follower.close()
