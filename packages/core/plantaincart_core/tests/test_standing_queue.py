"""Admission at an overloaded upstream whose queue is shared by several instances."""

from heapq import heappop, heappush
from itertools import count
from random import Random

from plantaincart_core.admission import LatencyEstimate, decide_admission
from plantaincart_core.upstreamload import LoadSettings, UpstreamLoads
from pytest import mark

INSTANCES = 11
SLOTS = 2
WORK_S = 0.22
TARGET_S = 0.61
# Every fifth request takes three times as long.
SLOW_SHARE, SLOW_FACTOR = 0.2, 3.0
MEAN_S = WORK_S * (1.0 + SLOW_SHARE * (SLOW_FACTOR - 1.0))
REPORT_INTERVAL_S = 0.25
DURATION_S = 120.0
LATENCY_SHARE, STANDING_LATENCY_SHARE = 1.8, 1.1
# Requests that the slots can run, less those whose work alone exceeds the target.
MAX_IN_TIME = DURATION_S * SLOTS / MEAN_S * (1.0 - SLOW_SHARE)


class Simulation:
    """Discrete-event simulation of an upstream and the instances that send to it."""

    def __init__(self, utilisation, standing_latency_share, seed):
        self.random = Random(seed)
        self.rate = utilisation * SLOTS / MEAN_S
        self.standing_latency_share = standing_latency_share
        self.instance_loads = [UpstreamLoads(LoadSettings()) for _ in range(INSTANCES)]
        self.waiting, self.running = [], 0
        self.requests = self.in_time = self.refused = 0
        self.events, self.order = [], count()

    def run(self):
        self.push(0.0, "arrive")
        self.push(0.0, "report")
        while self.events[0][0] < DURATION_S:
            now, _, kind, *details = heappop(self.events)
            getattr(self, kind)(now, *details)
        return self

    def arrive(self, now):
        self.push(now + self.random.expovariate(self.rate), "arrive")
        self.requests += 1
        loads = self.random.choice(self.instance_loads)
        expected = LatencyEstimate(
            wait_s=loads.estimate_wait_s("u", SLOTS, MEAN_S, now),
            work_s=WORK_S,
            remaining_s=10 * TARGET_S,
            target_s=TARGET_S,
        )
        standing = loads.has_standing_queue("u", now)
        share = self.standing_latency_share if standing else LATENCY_SHARE
        if not decide_admission(expected, share).admitted:
            self.refused += 1
            return
        loads.get("u").in_flight += 1
        self.waiting.append((loads, now))
        self.start(now)

    def report(self, now):
        self.push(now + REPORT_INTERVAL_S, "report")
        for loads in self.instance_loads:
            in_flight = self.running + len(self.waiting)
            loads.record_in_flight("u", in_flight, SLOTS, now)

    def start(self, now):
        if self.running < SLOTS and self.waiting:
            self.running += 1
            work_factor = SLOW_FACTOR if self.random.random() < SLOW_SHARE else 1.0
            self.push(now + WORK_S * work_factor, "end", *self.waiting.pop(0))

    def end(self, now, loads, sent_at):
        self.running -= 1
        loads.get("u").in_flight -= 1
        self.in_time += now - sent_at <= TARGET_S
        in_flight = self.running + len(self.waiting)
        loads.record_in_flight("u", in_flight, SLOTS, now)
        self.start(now)

    def push(self, at, *event):
        heappush(self.events, (at, next(self.order), *event))


@mark.parametrize("seed", [1, 2])
@mark.parametrize("utilisation", [1.3, 2.0, 3.0])
def test_overloaded_upstream_answers_admitted_requests_in_time(utilisation, seed):
    simulation = Simulation(utilisation, STANDING_LATENCY_SHARE, seed).run()
    assert simulation.in_time >= 0.5 * MAX_IN_TIME


@mark.parametrize("seed", [1, 2])
def test_requests_of_short_bursts_are_queued(seed):
    simulation = Simulation(0.5, STANDING_LATENCY_SHARE, seed).run()
    assert simulation.refused <= 0.05 * simulation.requests


def test_without_a_lower_share_a_standing_queue_makes_requests_late():
    simulation = Simulation(2.0, LATENCY_SHARE, 1).run()
    assert simulation.in_time < 0.5 * MAX_IN_TIME
