"""A member's map of owners after notices were lost, as on a connection that broke."""

from asyncio import get_running_loop, sleep

from plantaincart_core.keymove import KeyMove
from plantaincart_router.direct.tests.memorysystem import (
    find_other_owner,
    run_system,
    wait_for,
)


async def test_member_that_missed_a_notice_gets_its_changes_again():
    """Guards against a map that stays outdated, so that requests go to old owners."""
    async with run_system(get_running_loop()) as system:
        coordinator = system.find_coordinator()
        member = next(
            instance
            for instance in system.instances.values()
            if instance is not coordinator
        )
        apply_notice, lost = member.view.apply_notice, []

        def lose_first_change(notice):
            if notice.changes and not lost:
                lost.append(notice)
                return True
            return apply_notice(notice)

        member.view.apply_notice = lose_first_change
        placement = coordinator.follower.coordinator._placements["ledger"]
        for first in (0, 200):
            source = placement.owners.find(first).owner
            target = find_other_owner(system, first)
            move = KeyMove(first=first, last=first + 100, source=source, target=target)
            await placement._carry_out([move])
            await wait_for(lambda: lost)
            await sleep(0.1)
        await wait_for(system.all_maps_agree)
        keys = (50, 250)
        await wait_for(
            lambda: all(
                member.view.find_owner("ledger", key).owner
                == coordinator.view.find_owner("ledger", key).owner
                for key in keys
            )
        )
