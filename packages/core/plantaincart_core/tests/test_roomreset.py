"""Resets under named loads, told apart by what upstreams state, without a network."""

from random import Random

import pytest
from plantaincart_core.room import RoomEstimate, RoomSettings
from plantaincart_core.roomreset import FULL_FACTOR, ResetEvidence

SETTINGS = RoomSettings()
SLOTS, WORK_S, REPORT_S, INSTANCES = 2, 0.03, 0.25, 6


class Upstream:
    """Runs what it holds, resets the rest, and states its requests in its answers."""

    def __init__(self, random, room):
        self.random, self.room = random, room
        self.ends = []

    def take(self, at):
        """Return the time of the answer; None for a reset."""
        self.ends = [end for end in self.ends if end > at]
        if len(self.ends) >= self.room:
            return None
        earlier = sorted(self.ends)
        begin = at if len(earlier) < SLOTS else earlier[-SLOTS]
        end = begin + self.random.expovariate(1 / WORK_S)
        self.ends.append(end)
        return end


def find_division(bursts, burst, upstreams=3, room=8, reset_share=0.0):
    """Return when bursts every half a second divide room, which is told in reports."""
    random = Random(5)
    servers = [Upstream(random, room) for _ in range(upstreams)]
    events, accepted = [], []
    for number in range(bursts):
        for at in sorted(number * 0.5 + random.uniform(0, 0.01) for _ in range(burst)):
            name = random.randrange(upstreams)
            end = servers[name].take(at)
            if end is None or random.random() < reset_share:
                events.append((at, name, None))
            else:
                accepted.append((end, name))
    for end, name in accepted:
        # Requests of the burst that end later, and this one.
        count = sum(
            end <= other < end + 0.4 and which == name for other, which in accepted
        )
        events.append((end, name, count))
    return find_division_time(events, random)


def find_division_time(events, random):
    """Return when what instances report in turns has divided the room, or None."""
    evidence, estimate = ResetEvidence(SETTINGS), RoomEstimate(SETTINGS)
    reports = []
    for at, name, count in events:
        instance = random.randrange(INSTANCES)
        phase = instance * REPORT_S / INSTANCES
        reported_at = phase + REPORT_S * (int((at - phase) / REPORT_S) + 1)
        reports.append((reported_at, at, f"u{name}", count))
    for now, at, name, count in sorted(reports, key=lambda item: item[:3]):
        if count is None:
            evidence.record_resets(name, [at])
        elif count >= FULL_FACTOR * SLOTS:
            evidence.record_busy(name, at)
        for upstream, resets in evidence.pop_counted(now).items():
            estimate.record_full(upstream, resets, now)
        if estimate.is_divided(INSTANCES, SLOTS, now):
            return now
    return None


def test_burst_shows_full_upstreams_within_a_report():
    """Sums from before a burst show idle upstreams: it took seconds to divide room."""
    divided_at = find_division(bursts=1, burst=32)
    assert divided_at is not None
    assert divided_at <= 0.5


def test_resets_by_upstreams_that_are_not_full_count_for_nothing():
    """A fault resets one request in five; few requests wait."""
    assert find_division(bursts=20, burst=6, reset_share=0.2) is None


def test_resets_beside_queues_that_come_and_go_count_for_nothing():
    """Upstreams are busy for 30 % of the time, and a fault resets one in twenty."""
    random = Random(7)
    servers = [Upstream(random, 16) for _ in range(8)]
    events, accepted, at = [], [], 0.0
    while at < 20.0:
        at += random.expovariate(0.3 * len(servers) * SLOTS / WORK_S)
        name = random.randrange(len(servers))
        end = servers[name].take(at)
        if random.random() < 0.05:
            events.append((at, name, None))
        else:
            accepted.append((at, end, name))
    for _, end, name in accepted:
        count = sum(
            begin < end <= other for begin, other, which in accepted if which == name
        )
        events.append((end, name, count))
    assert find_division_time(events, random) is None


def test_single_upstream_that_resets_counts_for_nothing():
    """One that ends breaks all its connections; one may also reset by a fault."""
    assert find_division(bursts=20, burst=30, upstreams=1) is None


@pytest.mark.parametrize("answers_again", [False, True])
def test_upstreams_that_ended_are_not_full(answers_again):
    """They stated many requests before that, and none soon after."""
    events = []
    for name in range(2):
        events += [(1.0 + n / 100, name, 8 - n) for n in range(5)]
        events += [(1.1, name, None)] * 6
        if answers_again:
            events += [(1.6, name, 5)]
    assert find_division_time(events, Random(2)) is None


def test_upstream_known_to_be_full_shows_that_others_may_be():
    """The first bursts overfilled one upstream; sums showed that another was full."""
    evidence = ResetEvidence(SETTINGS)
    evidence.record_resets("u1", [0.01, 0.01, 0.48])
    for at in (0.06, 0.52):
        evidence.record_busy("u1", at)
    assert evidence.pop_counted(0.6) == {}
    evidence.record_full("u2", 0.7)
    assert evidence.pop_counted(0.7) == {"u1": 3}
