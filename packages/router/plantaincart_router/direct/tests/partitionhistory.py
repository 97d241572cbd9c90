"""
Random histories of cuts, outages and losses, played by instances of the product.

More seeds than the test has are played by hand, given the first one and their number:
`python -m plantaincart_router.direct.tests.partitionhistory 100 50`.
"""

from asyncio import Semaphore, create_task, gather, get_running_loop, run, sleep
from contextlib import suppress
from random import Random
from sys import argv

from plantaincart_router.direct.tests.fakes import FAST
from plantaincart_router.direct.tests.memorysystem import OwnerWatch, wait_for
from plantaincart_router.direct.tests.partitionedsystem import run_partitioned_system

NAMES = ("r1", "r2", "r3", "r4", "r5")
# Pauses that let takeovers, terms and grants end in any order.
PAUSES_S = (0.02, 0.1, FAST.unchanged_s, FAST.confirmed_s, FAST.hold_s, 1.2)
DOWN_S = (0.02, 0.15, 0.4)
EVENTS = 12
PARALLEL = 5


class PartitionHistory:
    """Random events in a system of five instances and six upstreams."""

    def __init__(self, system, seed):
        self._system = system
        self._random = Random(seed)
        self._tasks = []
        self.events = []

    async def play(self):
        actions = [
            self._cut,
            self._cut,
            self._heal,
            self._lose_store,
            self._return_store,
            self._lose_answers,
            self._kill,
            self._kill_coordinator,
            self._stop_coordinator,
            self._lose_upstream,
        ]
        for _ in range(EVENTS):
            action = self._random.choice(actions)
            self.events.append(action.__name__)
            action()
            await sleep(self._random.choice(PAUSES_S))
        self._heal()
        self._return_store()
        for task in self._tasks:
            with suppress(TimeoutError):
                await task
        for upstream in self._system.upstreams.values():
            upstream.reachable = True

    def _cut(self):
        system = self._system
        names = sorted(system.instances)
        side = set(self._random.sample(names, self._random.randint(1, len(names))))
        coordinator = system.find_coordinator()
        if coordinator is not None and self._random.random() < 0.7:
            side.add(coordinator.settings.name)
        upstreams = sorted(system.upstreams)
        side |= set(self._random.sample(upstreams, self._random.randint(1, 5)))
        system.cut(side, side_reaches_store=self._random.random() < 0.2)
        system.is_one_way = self._random.random() < 0.25

    def _heal(self):
        self._system.heal()

    def _lose_store(self):
        system = self._system
        names = sorted(system.instances)
        count = self._random.choice((1, 2, 3, len(names), len(names)))
        system.store.refused_clients = set(
            self._random.sample(names, min(count, len(names)))
        )

    def _return_store(self):
        self._system.store.refused_clients = set()

    def _lose_answers(self):
        self._system.store.answers_to_lose = self._random.randint(1, 4)

    def _kill(self):
        names = sorted(self._system.instances)
        if names:
            self._restart(self._random.choice(names))

    def _kill_coordinator(self):
        coordinator = self._system.find_coordinator()
        if coordinator is not None:
            self._restart(coordinator.settings.name)

    def _restart(self, name):
        system, down_s = self._system, self._random.choice(DOWN_S)
        system.kill(name)

        async def start_again():
            await sleep(down_s)
            system.add(name, get_running_loop())

        self._tasks.append(create_task(start_again()))

    def _stop_coordinator(self):
        """Resign in any state of the store, then run on as another member."""
        coordinator = self._system.find_coordinator()
        if coordinator is not None:
            term = coordinator.follower.coordinator
            self._tasks.append(create_task(term.resign(is_stopping=False)))

    def _lose_upstream(self):
        name = self._random.choice(sorted(self._system.upstreams))
        upstream = self._system.upstreams[name]
        upstream.reachable = not upstream.reachable


async def play_history(seed):
    """Fail if two upstreams own a key at any moment, or keys stay without an owner."""
    async with run_partitioned_system(NAMES) as system:
        await sleep(2 * FAST.beat_s)
        watch, history = OwnerWatch(system), PartitionHistory(system, seed)
        await history.play()
        try:
            await wait_for(
                lambda: system.all_keys_owned() and system.all_maps_agree(),
                2 * FAST.offline_s,
            )
        finally:
            assert watch.two_owners == [], (seed, history.events)
        watch.stop()


async def play_histories(seeds):
    """Play several histories at a time; return what was found, by seed."""
    found, slots = [], Semaphore(PARALLEL)

    async def play_one(seed):
        async with slots:
            try:
                await play_history(seed)
            except AssertionError as error:
                found.append((seed, str(error)))

    await gather(*map(play_one, seeds))
    return sorted(found)


if __name__ == "__main__":
    first, count = map(int, argv[1:])
    print(run(play_histories(range(first, first + count))))
