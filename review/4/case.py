"""An entry of another writer that can't be read, then a restart of all routers."""

import asyncio
import sys

from standin.case import TROUBLE, run_case
from standin.endpoint import HEARTBEAT_S
from standin.system import CannotRunError

# Bytes that are no entry: 2,000 opening brackets, below the 65,536 bytes of a row.
UNREADABLE = b"[" * 2000
ENTRY_AT_S, KILL_AT_S, RECOVER_S, END_S = 14.0, 18.0, 15.0, 46.0


async def write_unreadable(system):
    """Write the entry at each heartbeat, as endpoints do, so that it stays."""
    while True:
        system.store.change([("servers", "i-0000other0", UNREADABLE)])
        system.log("entry-written", key="i-0000other0", bytes=len(UNREADABLE))
        await asyncio.sleep(HEARTBEAT_S)


async def play(system, lines):
    """Return whether less than a quarter is served after the restart."""
    load = asyncio.create_task(system.load(END_S - system.now))
    await asyncio.sleep(ENTRY_AT_S - system.now)
    writer = asyncio.create_task(write_unreadable(system)) if TROUBLE else None
    await asyncio.sleep(KILL_AT_S - system.now)
    for name in system.names:
        system.kill_router(name)
    await load
    if writer is not None:
        writer.cancel()
    back = max(e["at"] for e in system.events if e["kind"] == "router-started")
    before = system.count_served(KILL_AT_S - 4.0, KILL_AT_S)
    after = system.count_served(back + RECOVER_S, END_S)
    ready = [await system.is_ready(name) for name in system.names]
    lines += [
        f"served of those sent in the 4 s before the final fault: {before[1]} of "
        f"{before[0]}",
        f"all routers are back at {back:.1f} s",
        f"served of those sent later than {RECOVER_S} s after that: {after[1]} of "
        f"{after[0]}",
        f"routers ready at the end: {sum(ready)} of {len(ready)}",
    ]
    if not after[0] or before[1] * 4 < before[0]:
        raise CannotRunError("too few requests were served before the fault")
    return after[1] * 4 < after[0]


if __name__ == "__main__":
    sys.exit(run_case(__file__, "RECOVER", play))
