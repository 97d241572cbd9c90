"""An endpoint crashes and starts again under its id at once."""

import asyncio
import sys

from standin.case import TROUBLE, run_case
from standin.system import CannotRunError, find_overlaps

CRASHES_S = tuple(range(14, 90, 8))
DOWN_S, END_S = 1.0, 98.0
PER_S = 40.0
# OWNER: two endpoints hold a key for over half a second.
MAX_OVERLAP_S = 0.5


async def crash_in_turn(system):
    """Crash one endpoint after the other."""
    endpoints = list(system.endpoints.values())
    for number, at in enumerate(CRASHES_S):
        await asyncio.sleep(at - system.now)
        if TROUBLE:
            endpoint = endpoints[number % len(endpoints)]
            await system.restart_endpoint(endpoint, DOWN_S)


async def play(system, lines):
    """Return whether two endpoints held a key for over half a second."""
    await asyncio.gather(system.load(END_S - system.now, PER_S), crash_in_turn(system))
    before = system.count_served(CRASHES_S[0] - 4.0, CRASHES_S[0])
    overlaps = [
        (begin, end, key, names)
        for begin, end, key, names in find_overlaps(system.events)
        if end - begin > MAX_OVERLAP_S
    ]
    lines += [
        f"served of those sent in the 4 s before: {before[1]} of {before[0]}",
        f"keys that two endpoints held for over {MAX_OVERLAP_S} s: {len(overlaps)}",
    ]
    restarts = [event for event in system.events if event["kind"] == "restarted"]
    for event in restarts:
        after = [item for item in overlaps if 0.0 <= item[0] - event["at"] < 4.0]
        lines.append(
            f"  {event['at']:.2f} s: {event['endpoint']} is up again; {len(after)} of "
            "these keys in the 4 s after it"
        )
        lines += [
            f"    {begin:.2f} s to {end:.2f} s: key {key} with {' and '.join(names)}"
            for begin, end, key, names in after[:3]
        ]
    if before[1] * 4 < before[0] * 3:
        raise CannotRunError("too few requests were served before")
    return bool(overlaps)


if __name__ == "__main__":
    sys.exit(run_case(__file__, "OWNER", play, sharded=7))
