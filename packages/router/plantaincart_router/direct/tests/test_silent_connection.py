"""Connections between members and the coordinator that fall silent for good."""

from asyncio import get_running_loop, sleep

from plantaincart_router.direct.tests.fakes import FAST
from plantaincart_router.direct.tests.memorysystem import run_system, wait_for


def silence_connection(instance):
    """Lose all messages of the connection that is open now, in both directions."""
    socket = instance.follower._notice_socket
    socket._receive = lambda frames: None
    socket.send = lambda frames: True


async def test_members_connect_again_when_their_connections_fall_silent():
    """Guards against members that never hear a live coordinator again."""
    async with run_system(get_running_loop()) as system:
        coordinator = system.find_coordinator()
        epoch = coordinator.follower.coordinator.epoch
        members = coordinator.follower.coordinator._members
        others = [item for item in system.instances.values() if item is not coordinator]
        for instance in others:
            silence_connection(instance)
        await wait_for(
            lambda: all(instance.follower._lacks_coordinator for instance in others)
        )
        await wait_for(
            lambda: not any(i.follower._lacks_coordinator for i in others),
            5 * FAST.member_s,
        )
        await sleep(2 * FAST.member_s)
        assert len(members) == 3
        assert coordinator.follower.coordinator.epoch == epoch
        assert not any(instance.follower._lacks_coordinator for instance in others)
