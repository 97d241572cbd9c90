"""Number of calls to the store of all instances while many upstreams start."""

from asyncio import create_task, sleep

from plantaincart_router.direct.feed import TableFeed, TableSink
from plantaincart_router.direct.settings import BoundSettings, FeedSettings
from plantaincart_router.direct.tests.fakes import MemoryClient, MemoryStore
from pytest import mark

DURATION_S = 1.5
CHANGE_INTERVAL_S = 0.02
# 2 % of the capacity of the users' store, which is 6,000 reading calls per second.
MAX_CALLS_PER_S = 120.0
BOUNDS = BoundSettings(drain_s=2.5, evacuate_s=5.0, plan_s=2.5)
MARGIN_S = 0.2


class CountingClient(MemoryClient):
    """Store client that counts the calls for changes."""

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


class KeySink(TableSink):
    """Records the keys of all rows that were read."""

    def __init__(self, members):
        self.members = members
        self.keys = set()

    def replace_table(self, table, view, since):
        self.change_table(table, view, since)

    def change_table(self, table, view, since):
        self.keys |= {row.key for row in view.rows}

    def handle_store_lost(self):
        raise AssertionError("lost")

    def handle_store_regained(self):
        raise AssertionError("regained")

    def choose_gather_s(self):
        return FeedSettings().choose_gather_s(self.members, BOUNDS)


@mark.parametrize("members", [3, 12, 77])
async def test_many_starting_upstreams_cause_few_calls(members: int) -> None:
    store = MemoryStore()
    client, sink = CountingClient(store), KeySink(members)
    task = create_task(TableFeed(client, "upstreams", sink, FeedSettings()).follow())
    count = round(DURATION_S / CHANGE_INTERVAL_S)
    for number in range(count):
        store.put("upstreams", str(number), b"")
        await sleep(CHANGE_INTERVAL_S)
    calls = client.calls
    await sleep(sink.choose_gather_s() + MARGIN_S)
    task.cancel()
    assert len(sink.keys) == count
    # One call is in progress when the changes start.
    assert (calls - 1) * members / DURATION_S <= MAX_CALLS_PER_S


@mark.parametrize("members", [1, 12, 77, 1000])
def test_changes_are_adopted_well_within_the_bounds(members: int) -> None:
    shortest_s = min(BOUNDS.drain_s, BOUNDS.plan_s)
    assert FeedSettings().choose_gather_s(members, BOUNDS) <= shortest_s / 2.0
