"""A store restored from a copy while machines were replaced, then the final fault."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins_2"))

from harness import (  # noqa: E402
    Endpoint,
    Load,
    Record,
    Router,
    System,
    choose_host,
)

ROUTES = [
    ("lookup", "safe"),
    ("lodge", "unsafe"),
    ("payment", "unsafe"),
    ("status", "safe"),
]
ZONES = ("zone-a", "zone-b")
# Bounds of the rule.
RECOVER_S = 15.0
LEAST_SHARE = 0.25
# Seconds for which requests are judged after that time.
JUDGED_S = 10.0
# Seconds between two stops of machines, and between the kill of all processes and
# their start.
STOP_GAP_S = 1.0
DOWN_S = 1.0


async def measure(system, record, name, seconds):
    """Send requests for some seconds; return the share that is served."""
    load = Load(system, ROUTES, per_s=20.0)
    await load.run(seconds)
    statuses = list(load.answers.values())
    share = statuses.count(200) / len(statuses)
    counts = {str(status): statuses.count(status) for status in set(statuses)}
    record.write(f"{name}: {share:.2f} of {len(statuses)} served, {counts}")
    return share


async def run_case(record, trouble):
    """Run the case; return the exit status."""
    system = System(record)
    host = choose_host([])
    await system.store.start(host)
    system.operator.configure(
        {"ledger": True}, [(name, "ledger", kind) for name, kind in ROUTES]
    )
    configuration = system.store.get("op", "config")
    for number in range(6):
        endpoint = Endpoint(
            system.store,
            record,
            f"i-{number}f3a91c",
            "ledger",
            ZONES[number % 2],
            True,
            0.1,
        )
        await endpoint.start(host)
        system.endpoints.append(endpoint)
    started = []
    try:
        await system.start_routers(4, ZONES)
        started += system.routers
        await asyncio.sleep(3.0)
        copied_at = time.monotonic()
        await asyncio.sleep(0.3)
        # Three machines leave for good, one after the other, and others come.
        stops = []
        for old in system.routers[:3]:
            new = Router(system, f"edge-{len(started)}", old.zone)
            new.start()
            started.append(new)
            record.write(f"{new.name} comes, {old.name} gets SIGTERM and leaves")
            stops.append(asyncio.create_task(old.stop()))
            await asyncio.sleep(STOP_GAP_S)
        await asyncio.gather(*stops)
        system.routers = started[3:]
        await system.wait_ready(system.routers)
        before = await measure(system, record, "before the final fault", 2.0)
        # The final fault: all processes are killed.
        for router in system.routers:
            router.signal(signal.SIGKILL)
            router.process.wait()
        record.write("all processes are killed")
        if trouble:
            system.store.treatment = lambda peer: "silent"
            await asyncio.sleep(DOWN_S)
            system.store.restore(copied_at)
            system.store.treatment = lambda peer: None
            system.store.put("op", "config", configuration)
        else:
            await asyncio.sleep(DOWN_S)
        for router in system.routers:
            router.start()
        back_at = time.monotonic()
        record.write("all processes are back")
        await asyncio.sleep(RECOVER_S - 1.0)
        # Endpoints and clients go on; what is sent before the bound isn't judged.
        await measure(system, record, "until the bound", 1.0)
        after_s = time.monotonic() - back_at
        share = await measure(
            system, record, f"from {after_s:.1f} s after the return", JUDGED_S
        )
        if before < LEAST_SHARE:
            return 2
        if share < LEAST_SHARE:
            record.write(f"RECOVER: {share:.2f} is served, a quarter is the least")
            return 1
        return 0
    finally:
        system.routers = started
        system.close()


def main():
    """Run the case, and exit with its status."""
    record = Record(HERE / "record.txt")
    status = asyncio.run(run_case(record, os.environ.get("TROUBLE", "1") != "0"))
    record.write(f"exit {status}")
    sys.exit(status)


main()
