"""A timeout that is rescheduled far more often than it expires."""

from asyncio import AbstractEventLoop, TimerHandle
from collections.abc import Callable

__all__ = ["ReschedulableTimeout"]


class ReschedulableTimeout:
    """
    Call a function at a deadline that can be moved.

    Parameters
    ----------
    loop : AbstractEventLoop
        Event loop whose clock and timers are used.
    expire : callable
        Called when the timeout expires.

    Notes
    -----
    The loop's timer is replaced only if the deadline moves to an earlier time;
    after a move to a later time it is rescheduled when it fires. Moving the
    deadline for each request thus usually creates no timer.
    """

    def __init__(self, loop: AbstractEventLoop, expire: Callable[[], None]) -> None:
        self._loop = loop
        self._expire = expire
        self._deadline: float | None = None
        self._timer: TimerHandle | None = None

    @property
    def is_set(self) -> bool:
        """Whether a deadline is set."""
        return self._deadline is not None

    def set(self, timeout_s: float) -> None:
        """
        Set the deadline, replacing an earlier one.

        Parameters
        ----------
        timeout_s : float
            Seconds from now.
        """
        self._deadline = self._loop.time() + timeout_s
        if self._timer is None or self._timer.when() > self._deadline:
            self._arm(self._deadline)

    def clear(self) -> None:
        """Remove the deadline and keep the loop's timer for the next one."""
        self._deadline = None

    def stop(self) -> None:
        """Remove the deadline and cancel the loop's timer."""
        self._deadline = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _arm(self, when: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(when, self._check)

    def _check(self) -> None:
        self._timer = None
        if self._deadline is None:
            return
        if self._loop.time() < self._deadline:
            self._arm(self._deadline)
            return
        self._deadline = None
        self._expire()
