"""How many calls to the store a fleet makes while many upstreams start."""

from asyncio import create_task, sleep

from plantaincart_router.direct.feed import TableFeed, TableSink
from plantaincart_router.direct.settings import BoundSettings, FeedSettings
from plantaincart_router.direct.tests.fakes import MemoryClient, MemoryStore
from pytest import mark

STARTING_S = 1.5
CHANGE_EVERY_S = 0.02
# A fiftieth of what the users' store bears (6,000 reading calls a second).
FLEET_CALLS_PER_S = 120.0
BOUNDS = BoundSettings(drain_s=2.5, evacuate_s=5.0, plan_s=2.5)
MARGIN_S = 0.2


class CountingClient(MemoryClient):
    """Counts the calls that wait for changes."""

    def __init__(self, store):
        super().__init__(store, "router-1")
        self.calls = 0

    async def watch(self, table, after, wait_s):
        self.calls += 1
        while True:
            view = await super().watch(table, after, wait_s)
            if view.rows:
                return view
            await self._store.changed.wait()


class Keys(TableSink):
    """Remembers which rows it was told of."""

    def __init__(self, members):
        self.members = members
        self.seen = set()

    def replace_table(self, table, view, since):
        self.change_table(table, view, since)

    def change_table(self, table, view, since):
        self.seen |= {row.key for row in view.rows}

    def handle_store_lost(self):
        raise AssertionError("lost")

    def handle_store_regained(self):
        raise AssertionError("regained")

    def choose_gather_s(self):
        return FeedSettings().choose_gather_s(self.members, BOUNDS)


@mark.parametrize("members", [3, 12, 77])
async def test_many_starting_upstreams_cost_a_fleet_few_calls(members: int) -> None:
    store = MemoryStore()
    client, keys = CountingClient(store), Keys(members)
    following = create_task(
        TableFeed(client, "upstreams", keys, FeedSettings()).follow()
    )
    count = round(STARTING_S / CHANGE_EVERY_S)
    for number in range(count):
        store.put("upstreams", str(number), b"")
        await sleep(CHANGE_EVERY_S)
    calls = client.calls
    await sleep(keys.choose_gather_s() + MARGIN_S)
    following.cancel()
    assert len(keys.seen) == count
    # One call is under way when the changes begin.
    assert (calls - 1) * members / STARTING_S <= FLEET_CALLS_PER_S


@mark.parametrize("members", [1, 12, 77, 1000])
def test_changes_are_taken_over_well_within_the_bounds(members: int) -> None:
    shortest_s = min(BOUNDS.drain_s, BOUNDS.plan_s)
    assert FeedSettings().choose_gather_s(members, BOUNDS) <= shortest_s / 2.0
