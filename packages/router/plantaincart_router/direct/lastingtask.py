"""Tasks that last as long as their process."""

from asyncio import sleep
from collections.abc import Awaitable, Callable

from plantaincart_router.log import write_event

__all__ = ["keep_running"]

FAILURE_PAUSE_S = 1.0


async def keep_running(
    name: str, run: Callable[[], Awaitable[None]], pause_s: float = FAILURE_PAUSE_S
) -> None:
    """
    Run a task until cancelled, and start it again after an unexpected error.

    Parameters
    ----------
    name : str
        Name for the log.
    run : callable
        Starts the task, which ends on its own only by an error.
    pause_s : float
        Seconds until it is started again.
    """
    while True:
        try:
            await run()
        except Exception as error:
            write_event("task_failed", task=name, error=repr(error))
        else:
            write_event("task_ended", task=name)
        await sleep(pause_s)
