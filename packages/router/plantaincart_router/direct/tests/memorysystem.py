"""Several instances with an in-memory store and upstreams, without HTTP servers."""

from asyncio import create_task, sleep
from contextlib import asynccontextmanager
from socket import socket
from time import monotonic

from plantaincart_core.ownermap import KEY_COUNT
from plantaincart_router.direct.follower import Follower
from plantaincart_router.direct.interface import Platform
from plantaincart_router.direct.pool import UpstreamPools
from plantaincart_router.direct.settings import ResourceSettings
from plantaincart_router.direct.tests.fakes import (
    MemoryGrants,
    MemoryStore,
    MemoryUpstream,
    PlainDialect,
    PlainReader,
    make_plan,
    make_record,
    make_settings,
)
from plantaincart_router.direct.view import SystemView

SAMPLE_KEYS = range(0, KEY_COUNT, 997)


def find_port():
    with socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class CheckedGrants(MemoryGrants):
    """Counts grants whose token isn't above those of all other processes."""

    def __init__(self, upstreams, instance, history):
        super().__init__(upstreams, instance)
        self._history = history
        self.outdated_tokens = 0

    def record_accepted(self, target, key_range):
        process = (target.name, target.born)
        self.outdated_tokens += any(
            earlier.fence >= key_range.fence
            and earlier.first <= key_range.last
            and key_range.first <= earlier.last
            for other, earlier in self._history
            if other != process
        )
        self._history.append((process, key_range))


class Instance:
    """An instance without HTTP servers: a follower with its view."""

    def __init__(self, name, store, upstreams, history, resources=None):
        resources = resources or ResourceSettings()
        self.settings = make_settings(name, find_port(), resources=resources)
        self.grants = CheckedGrants(upstreams, name, history)
        self.view = SystemView(
            self.settings, PlainReader(), UpstreamPools(self.settings.send)
        )
        self.view.routing_config = make_plan()
        self.view.upstreams_loaded = True
        self.platform = Platform(
            store=store.client(name),
            reader=PlainReader(),
            grants=self.grants,
            header_codec=PlainDialect(),
        )
        self.follower = Follower(self.settings, self.view, self.platform)

    def announce(self, upstreams):
        for upstream in upstreams.values():
            record = make_record(upstream.name, born=upstream.born)
            self.view.directory.put(record, monotonic())

    @property
    def is_coordinator(self):
        return self.follower.coordinator is not None


class System:
    """Several instances with a common store and common upstreams."""

    def __init__(self, upstreams=4):
        self.store = MemoryStore()
        self.upstreams = {
            f"u{number}": MemoryUpstream(f"u{number}") for number in range(upstreams)
        }
        self.instances = {}
        self._grant_history = []

    def add(self, name, loop, resources=None):
        instance = Instance(
            name, self.store, self.upstreams, self._grant_history, resources
        )
        self.instances[name] = instance
        instance.announce(self.upstreams)
        instance.follower.start(loop)
        return instance

    def find_coordinator(self):
        return next(
            (
                instance
                for instance in self.instances.values()
                if instance.is_coordinator
            ),
            None,
        )

    def count_owners(self, key):
        return sum(upstream.owns(key) for upstream in self.upstreams.values())

    def all_keys_owned(self):
        return all(self.count_owners(key) == 1 for key in SAMPLE_KEYS)

    def all_maps_agree(self):
        """Whether the maps of all instances agree with the owners of all keys."""
        for instance in self.instances.values():
            for key in SAMPLE_KEYS:
                key_range = instance.view.find_owner("ledger", key)
                if key_range is None or not key_range.owner:
                    return False
                if not self.upstreams[key_range.owner].owns(key):
                    return False
        return True

    def kill(self, name):
        instance = self.instances.pop(name)
        instance.grants.disconnected = True
        instance.follower.close()
        return instance


async def wait_for(check, limit_s=5.0):
    deadline = monotonic() + limit_s
    while not check():
        assert monotonic() < deadline, "condition not met in time"
        await sleep(0.02)


@asynccontextmanager
async def run_system(loop, names=("r1", "r2", "r3"), upstreams=4):
    system = System(upstreams)
    for name in names:
        system.add(name, loop)
    try:
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree(), 8.0)
        yield system
    finally:
        for instance in system.instances.values():
            instance.follower.close()


class OwnerWatch:
    """Samples the owners of some keys while a system runs."""

    def __init__(self, system):
        self._system = system
        self.two_owners = []
        self.two_coordinators = 0
        self._task = create_task(self._watch())

    async def _watch(self):
        while True:
            self.two_owners += [
                key for key in SAMPLE_KEYS if self._system.count_owners(key) > 1
            ]
            await sleep(0.005)

    def stop(self):
        self._task.cancel()
        assert self.two_owners == []
        for instance in self._system.instances.values():
            assert instance.grants.outdated_tokens == 0


def find_other_owner(system, key):
    return next(name for name, item in system.upstreams.items() if not item.owns(key))
