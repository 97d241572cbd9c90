"""Pace of upstreams after a start and while they fail, without a network."""

from random import Random

import pytest
from plantaincart_core.pace import FleetPace, PaceSettings
from plantaincart_core.pacetable import PaceTable

SETTINGS = PaceSettings()
STEP_S = 0.25
PROCESS = {"u1": (1, 4)}


def run_pace(pace, seconds, answer, offered=100.0, began_at=0.0):
    """Send up to the limit each step; return the limits, and good and bad answers."""
    limits, good_total, bad_total = [], 0, 0
    limit = pace.list_limits(PROCESS, began_at).get("u1")
    for step in range(1, round(seconds / STEP_S) + 1):
        now = began_at + step * STEP_S
        sent = min(offered, 8.0 if limit is None else limit)
        good, bad = answer(max(1, round(sent)), now)
        pace.record("u1", good, bad, now - 0.01)
        for upstream in pace.find_triggered():
            pace.start(upstream, 1, PROCESS[upstream][1], now)
        limit = pace.list_limits(PROCESS, now).get("u1")
        limits.append(limit)
        good_total, bad_total = good_total + good, bad_total + bad
    return limits, good_total, bad_total


def test_start_amid_a_burst():
    """A new upstream gets few requests at once, and all within two seconds."""
    pace = FleetPace(SETTINGS)
    pace.start("u1", 1, 4, 0.0)
    limits, _, _ = run_pace(pace, 3.0, lambda sent, now: (sent, 0))
    assert limits[0] == 2.0
    assert limits[7] is None


def test_cold_return_of_a_whole_data_centre():
    """Cold upstreams refuse what exceeds two at a time; few requests are lost."""
    pace = FleetPace(SETTINGS)
    pace.start("u1", 1, 4, 0.0)

    def answer(sent, now):
        bears = 2 if now < 3.0 else 8
        return min(sent, bears), max(0, sent - bears)

    limits, good, bad = run_pace(pace, 6.0, answer)
    assert bad < 0.45 * good
    assert max(limit for limit in limits[:11] if limit is not None) <= 4.0
    assert limits[-1] is None


def test_grey_upstream_sheds_more_than_half():
    """Its share falls to the least within a second, and returns when it is healthy."""
    random = Random(3)
    pace = FleetPace(SETTINGS)

    def answer(sent, now):
        bad = sum(random.random() < 0.55 for _ in range(sent)) if now < 6.0 else 0
        return sent - bad, bad

    limits, _, _ = run_pace(pace, 6.0, answer)
    assert limits[4] is not None and limits[4] <= 1.0
    paced = [1e9 if limit is None else limit for limit in limits[4:]]
    assert sorted(paced)[len(paced) // 2] <= 1.0
    limits, _, _ = run_pace(pace, 3.0, answer, began_at=6.0)
    assert limits[-1] is None


def test_upstream_with_few_failures_is_not_paced():
    """One request in ten fails, as at all upstreams of the service."""
    random = Random(4)
    pace = FleetPace(SETTINGS)

    def answer(sent, now):
        bad = sum(random.random() < 0.1 for _ in range(sent))
        return sent - bad, bad

    limits, _, _ = run_pace(pace, 30.0, answer)
    assert limits.count(None) >= 0.95 * len(limits)


def test_silent_upstream_stays_at_its_limit_while_requests_wait():
    """No answers come while requests are in flight: silence isn't idleness."""
    pace = FleetPace(SETTINGS)
    pace.start("u1", 1, 4, 0.0)
    for step in range(1, 20):
        limits = pace.list_limits(PROCESS, step * STEP_S, busy={"u1"})
    assert limits == {"u1": 1.0}


def test_idle_upstream_is_not_paced_for_long():
    """Nobody sends to it, so that nothing is found out."""
    pace = FleetPace(SETTINGS)
    pace.start("u1", 1, 4, 0.0)
    limits, _, _ = run_pace(pace, 4.0, lambda sent, now: (0, 0))
    assert limits[3] is not None
    assert limits[-1] is None


def test_slow_upstream_that_recovers_carries_its_share_again():
    """Answers are slow for 3 s, then usual; pace and share return within 2 s."""
    pace = FleetPace(SETTINGS)

    def answer(sent, now):
        return (0, sent) if now <= 3.0 else (sent, 0)

    limits, _, _ = run_pace(pace, 3.0, answer)
    assert limits[-1] == pytest.approx(SETTINGS.least)
    limits, _, _ = run_pace(pace, 2.5, answer, began_at=3.0)
    assert limits[-1] is None


def test_restarted_process_begins_anew():
    pace = FleetPace(SETTINGS)
    pace.start("u1", 1, 4, 0.0)
    assert pace.list_limits({"u1": (2, 4)}, 0.1) == {}
    assert pace.list_limits({}, 0.1) == {}


def test_instance_that_hears_nothing_lets_limits_grow_slowly():
    table = PaceTable(SETTINGS)
    table.apply({"u1": 1.0}, now=0.0)
    assert table.find_limit("u1", now=1.0) == 1.0
    assert table.find_limit("u1", now=3.0) == pytest.approx(2.0)
    table.apply({}, now=4.0)
    assert table.find_limit("u1", now=4.0) is None


def test_memory_is_bounded_by_the_announced_upstreams():
    pace = FleetPace(SETTINGS)
    for number in range(1000):
        pace.record(f"x{number}", 0, 1, 0.0)
        pace.adopt(f"y{number}", 1, 1.0, 0.0)
    pace.list_limits(PROCESS, 0.1)
    assert not pace._recent
    assert not pace._paces
