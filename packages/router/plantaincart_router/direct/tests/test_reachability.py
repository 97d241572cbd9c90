"""Whether an instance notices that it alone is cut off from all upstreams."""

from asyncio import create_task, sleep
from time import monotonic

import pytest
from plantaincart_router.direct.pool import UpstreamPools
from plantaincart_router.direct.reachability import UpstreamReachability
from plantaincart_router.direct.reachabilityprobe import ReachabilityProbe
from plantaincart_router.direct.settings import SendSettings
from plantaincart_router.direct.tests.fakes import make_record
from plantaincart_router.exception import ConnectFailedError
from plantaincart_router.http.exchange import HttpConnection

STABILITY_WINDOW_S = 3.0


def make_records(data_centres="abc", each=2):
    return [
        make_record(f"{data_centre}{number}", data_centre=data_centre)
        for data_centre in data_centres
        for number in range(each)
    ]


def make_reachability(records):
    reachability = UpstreamReachability()
    for record in records:
        reachability.directory.put(record, 0.0)
    return reachability


def test_failures_in_several_data_centres_are_a_cut():
    records = make_records()
    reachability = make_reachability(records)
    for record in records[:3]:
        assert not reachability.is_cut_off
        reachability.record_unreached(record, 1.0)
    assert reachability.is_cut_off


def test_upstreams_of_one_data_centre_are_down_together():
    """A data centre loses power; the instances must not take this for a cut."""
    records = make_records(each=5)
    reachability = make_reachability(records)
    for record in records[:5]:
        reachability.record_unreached(record, 1.0)
    assert not reachability.is_cut_off


def test_single_upstream_is_down():
    records = make_records()
    reachability = make_reachability(records)
    for second in range(20):
        reachability.record_unreached(records[0], float(second))
    assert not reachability.is_cut_off


@pytest.mark.parametrize(("interval_s", "is_cut_off"), [(0.1, True), (5.0, False)])
def test_only_failures_close_to_each_other_count(interval_s, is_cut_off):
    records = make_records()
    reachability = make_reachability(records)
    for number, record in enumerate(records):
        reachability.record_unreached(record, number * interval_s)
    assert reachability.is_cut_off is is_cut_off


def test_successful_connect_ends_the_cut():
    records = make_records()
    reachability = make_reachability(records)
    changes = []
    reachability.on_change = lambda: changes.append(reachability.is_cut_off)
    for record in records:
        reachability.record_unreached(record, 1.0)
    reachability.record_reached(records[0])
    assert changes == [True, False]
    for record in records[:2]:
        reachability.record_unreached(record, 1.0)
    assert not reachability.is_cut_off


def test_upstreams_that_close_connections_while_they_answer_are_busy():
    """All upstreams reset connections beyond their maximum (pattern burst)."""
    records = make_records()
    reachability = make_reachability(records)
    for number, record in enumerate(records):
        reachability.record_answer(1.0 + 0.1 * number)
        reachability.record_closed_at_once(record, 1.0 + 0.1 * number)
    assert not reachability.is_cut_off


def test_failures_of_one_upstream_are_not_tested_while_others_answer():
    """Each test opens a connection, and upstreams accept few (pattern srv_slow)."""
    records = make_records()
    reachability = make_reachability(records)
    reachability.record_answer(monotonic())
    reachability.record_lost()
    reachability.record_unreached(records[0], monotonic())
    assert not reachability.is_doubtful
    reachability.record_unreached(records[1], monotonic())
    assert reachability.is_doubtful


def test_connections_count_as_answering_only_after_the_first_failure():
    """Connections that were open before the cut may hang."""
    records = make_records()
    reachability = make_reachability(records)
    reachability.record_answer(0.9)
    for record in records:
        reachability.record_unreached(record, 1.0)
    assert not reachability.is_answered(1.1)
    reachability.record_answer(1.2)
    assert reachability.is_answered(1.3)
    assert not reachability.is_answered(2.5)


async def test_probe_notices_begin_and_end_of_a_cut(monkeypatch):
    """A lost answer must suffice, long before the others have timed out as well."""
    opened = []

    async def connect(host, port, timeout_s, accepts_unframed, buffers):
        if is_parted:
            await sleep(min(timeout_s, 0.3))
            raise ConnectFailedError("timeout")
        opened.append(port)
        connection = HttpConnection("upstream")
        monkeypatch.setattr(HttpConnection, "reusable", True)
        return connection

    monkeypatch.setattr(HttpConnection, "open", connect)
    is_parted = True
    pools = UpstreamPools(SendSettings())
    for record in make_records():
        pools.reachability.directory.put(record, monotonic())
    task = create_task(ReachabilityProbe(pools).run())
    try:
        await sleep(0.2)
        assert not pools.reachability.is_doubtful
        pools.reachability.record_lost()
        await wait_until(lambda: pools.reachability.is_cut_off, STABILITY_WINDOW_S / 2)
        is_parted = False
        await wait_until(lambda: not pools.reachability.is_cut_off, 1.0)
        await sleep(0.3)
        assert len(opened) == 1
    finally:
        task.cancel()


async def wait_until(check, limit_s):
    deadline = monotonic() + limit_s
    while not check():
        assert monotonic() < deadline
        await sleep(0.01)
