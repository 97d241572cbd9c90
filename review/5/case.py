"""Late second copies of answers to grants, while a zone is evacuated."""

import asyncio
import sys

from standin.case import TROUBLE, run_case
from standin.garble import LateCopies
from standin.system import ZONES, CannotRunError

# The evacuations, for how long before each late copies may come, and how long around
# its begin those come that are chosen.
EVACUATIONS_S = (16.0, 27.0, 38.0, 49.0, 60.0, 71.0, 82.0)
GARBLE_BEFORE_S, COPIES_AROUND_S, EVACUATED_S, END_S = 5.0, 0.4, 4.5, 92.0
PER_S, WORK_S = 15.0, 0.6


def is_due(system, target):
    """Whether an answer is that to a grant around the begin of an evacuation."""
    if not target.startswith("/plantaincart/grant"):
        return False
    return any(abs(system.now - at) < COPIES_AROUND_S for at in EVACUATIONS_S)


async def evacuate(system, copies):
    """Take one zone after the other out, for a time."""
    for number, at in enumerate(EVACUATIONS_S):
        zone = ZONES[number % len(ZONES)]
        endpoints = [item for item in system.endpoints.values() if item.zone == zone]
        others = [item for item in system.endpoints.values() if item.zone != zone]
        await asyncio.sleep(at - GARBLE_BEFORE_S - system.now)
        if TROUBLE:
            copies.start(system, endpoints + others)
        await asyncio.sleep(at - system.now)
        system.store.change([("op", f"evacuate/{zone}", b"{}")])
        system.log("evacuated", zone=zone)
        await asyncio.sleep(at + EVACUATED_S - system.now)
        system.store.change([], [("op", f"evacuate/{zone}")])
        system.log("taken-back", zone=zone)


def find_grants_under_work(events):
    """Find grants of keys on which another endpoint works whose hold lasts."""
    found, running, holds = [], {}, []
    for event in events:
        if event["kind"] == "run":
            running[event["attempt"], event["endpoint"]] = event
        elif event["kind"] == "ran":
            running.pop((event["attempt"], event["endpoint"]), None)
        elif event["kind"] == "grant":
            for run in running.values():
                if run["endpoint"] == event["endpoint"]:
                    continue
                if not event["first"] <= run["key"] <= event["last"]:
                    continue
                until = max(
                    (
                        hold["until"]
                        for hold in holds
                        if hold["endpoint"] == run["endpoint"]
                        and hold["first"] <= run["key"] <= hold["last"]
                    ),
                    default=0.0,
                )
                if until > event["at"]:
                    found.append((event, run, until))
            holds.append(event)
    return found


async def play(system, lines):
    """Return whether keys were granted on which another endpoint was at work."""
    for endpoint in system.endpoints.values():
        endpoint.work_s = WORK_S
    copies.system = system
    load = asyncio.gather(
        system.load(END_S - system.now, PER_S), evacuate(system, copies)
    )
    await load
    before = system.count_served(EVACUATIONS_S[0] - 5.0, EVACUATIONS_S[0])
    found = find_grants_under_work(system.events)
    lines += [
        f"served of those sent in the 5 s before: {before[1]} of {before[0]}",
        f"answers with a late copy: {copies.describe()}",
        f"grants of keys on which another endpoint was at work: {len(found)}",
    ]
    lines += [
        f"  {grant['at']:.3f} s: {grant['endpoint']} is granted {grant['first']} to "
        f"{grant['last']}; {run['endpoint']} runs {run['attempt']} with key "
        f"{run['key']} since {run['at']:.3f} s, its hold lasts until {until:.2f} s"
        for grant, run, until in found[:10]
    ]
    if before[1] * 4 < before[0] * 3:
        raise CannotRunError("too few requests were served before")
    return bool(found)


copies = LateCopies(lambda target, answer: is_due(copies.system, target))


if __name__ == "__main__":
    sys.exit(run_case(__file__, "OWNER", play, doubles=copies))
