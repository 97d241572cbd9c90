"""Frame of a case: starts the system, writes the record and sets the exit status."""

import asyncio
import os
from pathlib import Path
from signal import SIGTERM

from standin.system import CannotRunError, System

__all__ = ["TROUBLE", "run_case"]

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def run_case(file, rule, play, **size):
    """
    Run a case.

    Parameters
    ----------
    file : str
        File of the case; the record is written beside it.
    rule : str
        Name of the rule.
    play : callable
        Coroutine function that takes the system and a list of lines for the record, and
        returns whether the rule is broken.
    size : int
        Number of processes and endpoints, as `System` takes them.

    Returns
    -------
    int
        Exit status: 1 if the rule is broken, 0 if it held, 2 if the case couldn't run.
    """
    record = Path(file).with_name("record.txt")
    try:
        return asyncio.run(_run(record, rule, play, size))
    except asyncio.CancelledError:
        return 2


async def _run(record, rule, play, size):
    # A case that is ended from outside ends its processes, too.
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(SIGTERM, task.cancel)
    lines = [f"TROUBLE={int(TROUBLE)}"]
    system = System(**size)
    status = 2
    try:
        await system.start()
        if not await system.wait_ready(12.0):
            raise CannotRunError("the routers aren't ready after 12 s")
        status = int(await play(system, lines))
        lines.append(f"{rule} {'is broken' if status else 'held'}")
    except Exception as error:
        status = 2
        lines.append(f"could not run: {error!r}")
    finally:
        ended = [f"{name} at {at} s with {code}" for at, name, code in system.exits]
        lines.append(f"routers that ended: {', '.join(ended) or 'none'}")
        system.close()
        system.write_record(record, lines)
        print("\n".join(lines))
    return status
