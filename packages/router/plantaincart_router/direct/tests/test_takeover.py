"""
Two upstreams own the same keys around a takeover.

The tests guard against a successor that doesn't know of the last moves of the earlier
coordinator, whose term may end some time after its row was claimed.
"""

from asyncio import create_task, get_running_loop, sleep
from time import monotonic

from plantaincart_core.keymove import KeyMove
from plantaincart_core.ownermap import KEY_COUNT
from plantaincart_router.direct.ownershiprow import decode_ownership, encode_ownership
from plantaincart_router.direct.ownershiptable import OWNERSHIP_TABLE
from plantaincart_router.direct.tests.fakes import FAST, Grant
from plantaincart_router.direct.tests.memorysystem import (
    OwnerWatch,
    System,
    find_other_owner,
    run_system,
    wait_for,
)
from plantaincart_schema.generated.direct import OwnershipRange, OwnershipRow

# Longer than the grant duration and the term of the fast settings together.
OBSERVED_S = 1.0
# Time after the takeover for which the grants of the test's earlier coordinator last.
EARLIER_GRANT_S = 0.4


def delay_first_read(client, table, action):
    """Run an action between the first read of a table and its answer."""
    read = client.read
    pending = [action]

    async def read_late(name):
        view = await read(name)
        if name == table and pending:
            await pending.pop()()
        return view

    client.read = read_late


async def test_successor_keeps_a_move_written_while_it_read_the_owners():
    """Guards against a successor that overwrites a row which it hasn't read."""
    async with run_system(get_running_loop()) as system:
        earlier = system.find_coordinator()
        successor = next(
            instance for instance in system.instances.values() if instance != earlier
        )
        placement = earlier.follower.coordinator._placements["ledger"]
        target = find_other_owner(system, 50)
        source = placement.owners.find(50).owner
        watch = OwnerWatch(system)

        async def move_keys():
            moves = [KeyMove(first=0, last=100, source=source, target=target)]
            await placement._carry_out(moves)
            await wait_for(lambda: system.upstreams[target].owns(50))

        delay_first_read(successor.platform.store, OWNERSHIP_TABLE, move_keys)
        # Its next renewal would tell the earlier coordinator of the claim too early.
        earlier.follower.coordinator._tasks[0].cancel()
        await successor.follower._read_row()
        await successor.follower._claim()
        assert successor.is_coordinator
        await sleep(OBSERVED_S)
        watch.stop()
        row = decode_ownership(system.store.rows[OWNERSHIP_TABLE, "ledger"].value)
        owner = next(r.owner for r in row.ranges if r.first <= 50 <= r.last)
        assert system.upstreams[owner].owns(50)


async def test_successor_adopts_a_row_created_while_it_read_the_owners(monkeypatch):
    """Guards against a successor that divides keys which were granted already."""
    monkeypatch.setattr("plantaincart_router.direct.planner.SETTLE_S", 0.1)
    system = System()
    watch = OwnerWatch(system)
    last = KEY_COUNT - 1
    granted = OwnershipRange(first=0, last=last, owner="u0", born=1, fence=1)
    row = OwnershipRow(service="ledger", epoch=0, sequence=1, ranges=[granted])

    async def create_row():
        system.store.put(OWNERSHIP_TABLE, "ledger", encode_ownership(row))
        expires_at = monotonic() + EARLIER_GRANT_S
        upstream = system.upstreams["u0"]
        upstream.grants = [Grant(first=0, last=last, fence=1, expires_at=expires_at)]
        upstream.highest_fences[0, last] = 1

    instance = system.add("r1", get_running_loop())
    delay_first_read(instance.platform.store, OWNERSHIP_TABLE, create_row)
    try:
        await sleep(OBSERVED_S)
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree(), 8.0)
        watch.stop()
    finally:
        instance.follower.close()


async def test_no_long_grants_after_a_resignation_whose_answer_is_lost():
    """Guards against grants that outlast what the successor expects."""
    async with run_system(get_running_loop()) as system:
        resigned = system.find_coordinator()
        coordinator = resigned.follower.coordinator
        resigned.follower._leaving = True
        system.store.answers_to_lose = 1
        assert await coordinator.resign()
        key_range = next(iter(coordinator._placements["ledger"].owners))
        record = resigned.view.directory.get(key_range.owner)
        await coordinator._granter.grant(record, key_range, renewal=True)
        latest = max(
            grant.expires_at
            for upstream in system.upstreams.values()
            for grant in upstream.grants
        )
        assert latest - monotonic() <= FAST.hold_s
        await wait_for(lambda: system.find_coordinator() not in (None, resigned))


async def test_no_long_grants_while_the_store_answers_others():
    """Guards against grants that outlast what the successor expects."""
    async with run_system(get_running_loop()) as system:
        resigned = system.find_coordinator()
        coordinator = resigned.follower.coordinator
        system.store.refused_clients = {resigned.settings.name}
        assert not await coordinator.resign()
        key_range = next(iter(coordinator._placements["ledger"].owners))
        record = resigned.view.directory.get(key_range.owner)
        await coordinator._granter.grant(record, key_range, renewal=True)
        upstream = system.upstreams[key_range.owner]
        latest = max(grant.expires_at for grant in upstream.grants)
        assert latest - monotonic() <= FAST.hold_s


async def test_long_grants_in_an_outage_at_the_resignation():
    async with run_system(get_running_loop()) as system:
        follower = system.find_coordinator().follower
        coordinator = follower.coordinator
        system.store.refused_clients = set(system.instances)
        withdrawal = create_task(follower.withdraw())
        key_range = next(iter(coordinator._placements["ledger"].owners))
        await wait_for(
            lambda: any(
                grant.expires_at - monotonic() > FAST.hold_s
                for grant in system.upstreams[key_range.owner].grants
            )
        )
        withdrawal.cancel()
