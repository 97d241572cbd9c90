"""
Two upstreams own the same keys around a takeover.

The tests guard against a successor that doesn't know of the last moves of the earlier
coordinator, whose term may end some time after its row was claimed.
"""

from asyncio import get_running_loop, sleep

from plantaincart_core.keymove import KeyMove
from plantaincart_router.direct.coordinator import OWNERSHIP_TABLE
from plantaincart_router.direct.ownershiprow import decode_ownership
from plantaincart_router.direct.tests.memorysystem import (
    OwnerWatch,
    find_other_owner,
    run_system,
    wait_for,
)

# Longer than the grant duration and the term of the fast settings together.
OBSERVED_S = 1.0


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
        while not successor.is_coordinator:
            await successor.follower._read_row()
            await successor.follower._claim()
        await sleep(OBSERVED_S)
        watch.stop()
        row = decode_ownership(system.store.rows[OWNERSHIP_TABLE, "ledger"].value)
        owner = next(r.owner for r in row.ranges if r.first <= 50 <= r.last)
        assert system.upstreams[owner].owns(50)
