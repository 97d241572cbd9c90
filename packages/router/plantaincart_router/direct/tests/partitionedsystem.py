"""Instances and upstreams of two sides that can be cut from each other."""

from asyncio import get_running_loop
from contextlib import asynccontextmanager

from plantaincart_router.direct.noticecodec import unpack_notice
from plantaincart_router.direct.tests.memorysystem import (
    Instance,
    System,
    wait_for,
)
from plantaincart_router.exception import ConnectFailedError
from plantaincart_schema.codec import decode_msgpack
from plantaincart_schema.generated.direct import MemberReport


class PartitionedSystem(System):
    """
    A system whose messages, calls and store can be lost between two sides.

    `side` holds the names of instances and upstreams that are cut from all others. In
    a cut with `is_one_way`, messages and calls from the side still arrive.
    """

    def __init__(self, upstreams=6):
        super().__init__(upstreams)
        self.side = frozenset()
        self.is_one_way = False

    def add(self, name, loop, resources=None):
        instance = Instance(
            name, self.store, self.upstreams, self._grant_history, resources
        )
        self.instances[name] = instance
        instance.announce(self.upstreams)
        self._cut_messages(instance)
        self._cut_calls(instance)
        instance.follower.start(loop)
        return instance

    def are_parted(self, sender, receiver):
        if self.is_one_way and sender in self.side:
            return False
        return (sender in self.side) != (receiver in self.side)

    def cut(self, side, side_reaches_store=False):
        """Cut some instances and upstreams from all others and from the store."""
        self.side = frozenset(side)
        refused = self.side if not side_reaches_store else set(self.instances) - side
        self.store.refused_clients = set(self.instances) & refused

    def heal(self):
        self.side, self.is_one_way = frozenset(), False
        self.store.refused_clients = set()

    def _cut_messages(self, instance):
        follower, name = instance.follower, instance.settings.name
        receive_report, receive_notice = (
            follower._receive_report,
            follower._receive_notice,
        )

        def receive_report_of_side(frames):
            report = decode_msgpack(frames[-1], MemberReport)
            if not self.are_parted(report.member, name):
                receive_report(frames)

        def receive_notice_of_side(frames):
            notice = unpack_notice(frames)
            if not self.are_parted(notice.coordinator, name):
                receive_notice(frames)

        follower._receive_report = receive_report_of_side
        follower._receive_notice = receive_notice_of_side

    def _cut_calls(self, instance):
        grants, name = instance.grants, instance.settings.name
        find_reachable = grants._find_reachable

        def find_on_side(upstream):
            if self.are_parted(name, upstream.id):
                raise ConnectFailedError(upstream.id)
            return find_reachable(upstream)

        grants._find_reachable = find_on_side


@asynccontextmanager
async def run_partitioned_system(names=("r1", "r2", "r3", "r4", "r5"), upstreams=6):
    """Run a system of which each key has an owner."""
    system = PartitionedSystem(upstreams)
    for name in names:
        system.add(name, get_running_loop())
    try:
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree(), 8.0)
        yield system
    finally:
        for instance in system.instances.values():
            instance.follower.close()
