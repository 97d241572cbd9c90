"""Tasks that must last as long as the process, whatever a row or a message contains."""

from asyncio import create_task, sleep

from plantaincart_router.direct import feed as feed_module
from plantaincart_router.direct.feed import TableFeed
from plantaincart_router.direct.lastingtask import keep_running
from plantaincart_router.direct.pool import UpstreamPools
from plantaincart_router.direct.settings import FeedSettings, SendSettings
from plantaincart_router.direct.store import StoreRow, TableRows
from plantaincart_router.direct.tests.fakes import (
    MemoryStore,
    PlainReader,
    make_record,
    make_settings,
)
from plantaincart_router.direct.tests.test_feed import KeySink
from plantaincart_router.direct.view import SystemView
from plantaincart_schema.generated.direct import ChangedRow, TableChange
from pytest import fixture, mark

TABLE = "upstreams"


class FragileReader(PlainReader):
    """Reader of names that fails at rows with the key "odd"."""

    def __init__(self, error):
        self._error = error

    def read_upstream(self, row):
        self._check(row)
        return make_record(row.key)

    def read_closed_data_centre(self, row):
        self._check(row)
        return row.key

    def _check(self, row):
        if row.key == "odd":
            raise self._error(row.key)


class FragileSink(KeySink):
    """Sink that fails for some times."""

    def __init__(self, failures):
        super().__init__(members=1)
        self.failures = failures
        self.reads = 0

    def change_table(self, table, view, since):
        if self.failures:
            self.failures -= 1
            raise ZeroDivisionError
        super().change_table(table, view, since)

    def replace_table(self, table, view, since):
        self.reads += 1
        super().replace_table(table, view, since)


class FragileStore(MemoryStore):
    """Store that fails for some times with an error that isn't its own."""

    def __init__(self, failures=0):
        super().__init__()
        self.failures = failures

    async def watch(self, table, after, wait_s):
        await sleep(0.01)
        if self.failures:
            self.failures -= 1
            raise AttributeError("rows")
        return await super().watch(table, after, wait_s)


@fixture(autouse=True)
def short_pause(monkeypatch):
    monkeypatch.setattr(feed_module, "FAILURE_PAUSE_S", 0.01)


def follow(store, sink):
    return create_task(TableFeed(store, TABLE, sink, FeedSettings()).follow())


async def test_feed_goes_on_after_a_row_that_the_sink_cannot_take():
    """The task of the feed ended at the row, and no later change was ever read."""
    store, sink = FragileStore(), FragileSink(failures=2)
    store.put(TABLE, "a", b"")
    task = follow(store, sink)
    await sleep(0.1)
    store.put(TABLE, "b", b"")
    await sleep(0.3)
    store.put(TABLE, "c", b"")
    await sleep(0.3)
    assert not task.done()
    # Rows of a change that failed are read again.
    assert sink.keys == {"a", "b", "c"}
    task.cancel()


async def test_feed_goes_on_after_an_unexpected_error_of_the_store():
    """An answer with a field of another type ended the feed."""
    store, sink = FragileStore(failures=3), KeySink(members=1)
    task = follow(store, sink)
    store.put(TABLE, "a", b"")
    await sleep(0.2)
    store.put(TABLE, "b", b"")
    await sleep(0.3)
    assert not task.done() and sink.keys == {"a", "b"}
    task.cancel()


async def test_relayed_rows_that_the_sink_cannot_take_are_read_again():
    """The version had advanced, so that the rows were never read at all."""
    store, sink = FragileStore(), FragileSink(failures=0)
    store.put(TABLE, "a", b"")
    feed = TableFeed(store, TABLE, sink, FeedSettings())
    task = create_task(feed.follow())
    await sleep(0.1)
    sink.failures = 1
    version = store.put(TABLE, "b", b"")
    change = TableChange(
        table=TABLE,
        age_s=0.0,
        after=feed.version,
        version=version,
        rows=[ChangedRow(key="b", value=b"", version=version, deleted=False)],
    )
    feed.apply_relayed_change(change)
    await sleep(0.3)
    assert sink.keys == {"a", "b"}
    task.cancel()


@mark.parametrize("error", [RecursionError, OverflowError, KeyError])
@mark.parametrize("table", ["upstream_table", "operator_table"])
@mark.parametrize("is_full_read", [False, True])
async def test_view_skips_one_row_and_takes_the_others(error, table, is_full_read):
    """The rows after an odd one were lost, or none was taken at all."""
    reader = FragileReader(error)
    view = SystemView(make_settings(), reader, UpstreamPools(SendSettings()))
    rows = [StoreRow(key=key, version=1) for key in ("odd", "later")]
    apply = view.replace_table if is_full_read else view.change_table
    apply(getattr(reader, table), TableRows(rows=rows, version=1), 0.0)
    if table == "upstream_table":
        assert [record.id for record in view.directory] == ["later"]
    else:
        assert view.directory.closed_data_centres == {"later"}


async def test_task_that_fails_is_started_again():
    """Maintenance and the probe of reachability ended at the first error."""
    runs = []

    async def run():
        runs.append(len(runs))
        if len(runs) < 3:
            raise OverflowError("port must be 0-65535")
        await sleep(60.0)

    task = create_task(keep_running("test", run, pause_s=0.01))
    await sleep(0.1)
    assert len(runs) == 3 and not task.done()
    task.cancel()
    await sleep(0)
    assert task.cancelled()
