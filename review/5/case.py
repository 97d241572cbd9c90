"""A rolling restart while the store is down, and endpoints that are cut off."""

import asyncio
import sys

from standin.case import TROUBLE, run_case
from standin.system import CannotRunError, find_overlaps

BEGIN_S, END_S, PER_S = 14.0, 34.0, 40.0
# The store is busy (platform_down) and the routers are stopped one after the other
# (roll_term), the coordinator first; then some endpoints are cut off (node_cut).
BUSY_S = 4.5
FIRST_STOP_S, GAP_S = 0.3, 1.0
CUT_AFTER_S, CUT_S, CUT_COUNT = 2.5, 12.0, 2
# OWNER: two endpoints hold a key for over half a second.
MAX_OVERLAP_S = 0.5


async def disturb(system, lines):
    """Play the outage, the rolling restart and the cut."""
    await asyncio.sleep(BEGIN_S - system.now)
    coordinators = await system.find_coordinators()
    others = [name for name in system.names if name not in coordinators]
    lines.append(f"coordinator before: {', '.join(coordinators)}")
    begin = system.now
    if not TROUBLE:
        return
    system.store.is_busy = True
    system.log("store-busy")
    cut = list(system.endpoints.values())[:CUT_COUNT]
    cuts = [asyncio.create_task(cut_later(system, endpoint)) for endpoint in cut]
    for number, name in enumerate(coordinators + others):
        await asyncio.sleep(begin + FIRST_STOP_S + number * GAP_S - system.now)
        system.stop_router(name)
    await asyncio.sleep(begin + BUSY_S - system.now)
    system.store.is_busy = False
    system.log("store-back")
    await asyncio.gather(*cuts)


async def cut_later(system, endpoint):
    """Cut an endpoint off after a time, for a time."""
    await asyncio.sleep(CUT_AFTER_S)
    await system.cut_endpoint(endpoint, CUT_S)


async def play(system, lines):
    """Return whether two endpoints held a key for over half a second."""
    await asyncio.gather(system.load(END_S - system.now, PER_S), disturb(system, lines))
    before = system.count_served(BEGIN_S - 4.0, BEGIN_S)
    overlaps = [
        (begin, end, key, names)
        for begin, end, key, names in find_overlaps(system.events)
        if end - begin > MAX_OVERLAP_S
    ]
    lines += [
        f"coordinator at the end: {', '.join(await system.find_coordinators())}",
        f"served of those sent in the 4 s before: {before[1]} of {before[0]}",
        f"keys that two endpoints held for over {MAX_OVERLAP_S} s: {len(overlaps)}",
    ]
    lines += [
        f"  {begin:.2f} s to {end:.2f} s: key {key} with {' and '.join(names)}"
        for begin, end, key, names in overlaps[:10]
    ]
    lines += [
        f"  {event['at']:.2f} s: {event['kind']} "
        f"{event.get('router') or event.get('endpoint', '')}"
        for event in system.events
        if event["at"] > BEGIN_S - 1.0
        and event["kind"].startswith(("router", "store", "cut", "reached"))
    ]
    if before[1] * 4 < before[0] * 3:
        raise CannotRunError("too few requests were served before")
    return bool(overlaps)


if __name__ == "__main__":
    sys.exit(run_case(__file__, "OWNER", play))
