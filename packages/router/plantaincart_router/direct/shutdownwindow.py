"""Times within which a planned shutdown lets requests be sent and end."""

from asyncio import Timeout, get_running_loop, timeout
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from math import inf
from time import monotonic

__all__ = ["EXIT_RESERVE_S", "ShutdownWindow"]

# Seconds reserved at the end of the grace period for the exit of the process.
EXIT_RESERVE_S = 0.3
# Seconds for an answer on its way to the caller, or from an upstream.
ANSWER_RESERVE_S = 0.1
# Share of the grace period in which requests may be sent whose deadline is after its
# end. Load balancers have stopped sending by then.
SEND_SHARE = 0.5


class ShutdownWindow:
    """
    Decides which requests may still be sent after SIGTERM.

    Parameters
    ----------
    grace_s : float
        Seconds between SIGTERM and SIGKILL.

    Attributes
    ----------
    end_at : float
        Time in seconds by which all requests end; infinite before SIGTERM.
    last_send_at : float
        Time in seconds after which only requests are sent whose deadline is before
        `end_at`; infinite before SIGTERM.

    Notes
    -----
    An upstream stops work at the deadline that it is told, so a request whose deadline
    is before the end of the grace period ends in time. Any other one is sent only in
    the first part of the grace period, and if it is expected to end in time; the
    upstream is told the end of the grace period as its deadline.
    """

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._limits: dict[Timeout, Callable[[], float]] = {}
        self.end_at = inf
        self.last_send_at = inf

    @property
    def has_begun(self) -> bool:
        """Whether the instance has been told to stop."""
        return self.end_at < inf

    def begin(self) -> None:
        """Start the grace period, and limit the requests in progress."""
        now = monotonic()
        self.end_at = now + self._grace_s - EXIT_RESERVE_S - ANSWER_RESERVE_S
        self.last_send_at = now + SEND_SHARE * self._grace_s
        for limit, find_end in self._limits.items():
            _reschedule(limit, find_end())

    def cap(self, deadline_at: float) -> float:
        """Return the deadline to tell an upstream, by which it answers itself."""
        return min(deadline_at, self.end_at - ANSWER_RESERVE_S)

    def find_latest_send(self, deadline_at: float, expected_s: float) -> float:
        """
        Return the latest time at which a request may be sent.

        Parameters
        ----------
        deadline_at : float
            Deadline of the request as a time in seconds.
        expected_s : float
            Seconds that an upstream is expected to take for it.

        Returns
        -------
        float
            Time in seconds; may be in the past.

        Examples
        --------
        >>> ShutdownWindow(6.0).find_latest_send(5.0, 0.3)
        inf
        """
        if deadline_at <= self.end_at:
            return inf
        return min(self.last_send_at, self.end_at - expected_s)

    def allows_send(self, deadline_at: float, expected_s: float) -> bool:
        """Return whether a request may be sent now; see `find_latest_send`."""
        return monotonic() <= self.find_latest_send(deadline_at, expected_s)

    @asynccontextmanager
    async def limit_wait(
        self, deadline_at: float, expected_s: float
    ) -> AsyncIterator[Timeout]:
        """
        End the wait of a request when it may not be sent any more.

        Parameters
        ----------
        deadline_at, expected_s : float
            See `find_latest_send`.

        Raises
        ------
        TimeoutError
            If the shutdown ends the wait, also where it begins only meanwhile.
        """
        async with self._limit(
            lambda: self.find_latest_send(deadline_at, expected_s)
        ) as limit:
            yield limit

    @asynccontextmanager
    async def limit_run(self) -> AsyncIterator[Timeout]:
        """
        End an attempt at the end of the grace period.

        Raises
        ------
        TimeoutError
            If the shutdown ends the attempt.
        """
        async with self._limit(lambda: self.end_at) as limit:
            yield limit

    @asynccontextmanager
    async def _limit(self, find_end: Callable[[], float]) -> AsyncIterator[Timeout]:
        async with timeout(None) as limit:
            self._limits[limit] = find_end
            try:
                _reschedule(limit, find_end())
                yield limit
            finally:
                del self._limits[limit]


def _reschedule(limit: Timeout, end_at: float) -> None:
    if end_at < inf:
        limit.reschedule(get_running_loop().time() + max(0.0, end_at - monotonic()))
