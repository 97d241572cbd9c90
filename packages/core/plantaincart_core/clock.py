"""Hybrid logical clock that orders events over all processes."""

from collections.abc import Callable

__all__ = ["HybridClock"]

COUNTER_BITS = 16
MAX_AHEAD_MS = 60_000


class HybridClock:
    """
    Clock that stays near the wall clock and never runs backwards.

    Parameters
    ----------
    read_wall : callable
        Returns Unix time in seconds.

    Notes
    -----
    A timestamp is the wall time in milliseconds shifted left by 16 bits, plus a
    counter. Each event gets a timestamp above all that the process has issued or
    received, so that receiving a message is ordered after sending it. A remote
    timestamp more than 60 s ahead of the wall clock isn't adopted, since a single
    wrong clock would otherwise shift the clocks of all processes.

    References
    ----------
    .. [1] Kulkarni, Demirbas, Madappa, Avva, Leone, "Logical Physical Clocks and
       Consistent Snapshots in Globally Distributed Databases", 2014.

    Examples
    --------
    >>> clock = HybridClock(lambda: 5.0)
    >>> clock.tick() >> 16, clock.tick() > clock.tick()
    (5000, False)
    """

    def __init__(self, read_wall: Callable[[], float]) -> None:
        self._read_wall = read_wall
        self._last = 0

    def tick(self) -> int:
        """
        Return the timestamp of a local event or of a message about to be sent.

        Returns
        -------
        int
            Timestamp above all issued and adopted before.
        """
        wall = self._read_wall_ms() << COUNTER_BITS
        self._last = max(wall, self._last + 1)
        return self._last

    def receive(self, remote: int) -> int:
        """
        Adopt the timestamp of a received message and return the time of receipt.

        Parameters
        ----------
        remote : int
            Timestamp in the message.

        Returns
        -------
        int
            Timestamp above all issued and adopted before.
        """
        if (remote >> COUNTER_BITS) <= self._read_wall_ms() + MAX_AHEAD_MS:
            self._last = max(self._last, remote)
        return self.tick()

    def _read_wall_ms(self) -> int:
        return int(self._read_wall() * 1000)
