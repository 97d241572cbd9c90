"""Division of whole units among the instances, and changes of it."""

from dataclasses import dataclass

__all__ = ["DivisionHistory", "FleetDivision"]

# Range of the salts.
SALT_BITS = 32
# Seconds for which a share that has grown isn't used: a window of 1.1 s in which
# another instance may have used it, and the time until that one knows of the change.
HANDOVER_S = 2.1


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetDivision:
    """
    Position of an instance among those that share limits.

    Parameters
    ----------
    members : int
        Number of instances.
    rank : int or None
        Index of this instance among them; None if it may use nothing.
    """

    members: int
    rank: int | None

    def find_share(self, total: int, salt: int) -> int:
        """
        Return how many units of a limit this instance has.

        Parameters
        ----------
        total : int
            Units of all instances together.
        salt : int
            Checksum of what is limited, below `2**32`.

        Returns
        -------
        int
            Units; the sum over all ranks is `total`.

        Notes
        -----
        The units lie at equal distances on a line that the instances divide equally, in
        the order of their ranks. If the number of instances changes by one, most units
        stay where they were.

        Examples
        --------
        >>> [FleetDivision(members=4, rank=rank).find_share(6, 9) for rank in range(4)]
        [1, 2, 1, 2]
        """
        if self.rank is None or not 0 <= self.rank < self.members:
            return 0
        return self._count_below(self.rank + 1, total, salt) - self._count_below(
            self.rank, total, salt
        )

    def _count_below(self, rank: int, total: int, salt: int) -> int:
        """Count the units of the instances below a rank."""
        return ((rank * total << SALT_BITS) // self.members + salt) >> SALT_BITS


# Division at an instance that doesn't know its position.
UNKNOWN = FleetDivision(members=1, rank=None)


class DivisionHistory:
    """
    Divisions that may be in force at some instance.

    Parameters
    ----------
    silence_s : float
        Seconds without word of the coordinator after which others may have been given
        this instance's units.

    Notes
    -----
    Instances learn of a change of the division at different moments. If each uses the
    smallest of its shares in all divisions of the last `HANDOVER_S`, no more than the
    limit is used in a window across the change: until the last instance has learnt of
    it, all use at most their earlier shares, and later at most their new ones.

    Examples
    --------
    >>> history = DivisionHistory(silence_s=1.5)
    >>> first = FleetDivision(members=3, rank=1)
    >>> history.record(first, now=10.0)
    >>> first in history.list_recent(now=10.5), UNKNOWN in history.list_recent(10.5)
    (True, True)
    >>> for now in (11.0, 12.0, 13.0):
    ...     history.record(first, now)
    >>> history.list_recent(now=13.0) == [first]
    True
    >>> history.list_recent(now=15.0) == [UNKNOWN]
    True
    """

    def __init__(self, silence_s: float) -> None:
        self._silence_s = silence_s
        self._current = UNKNOWN
        self._heard_at = float("-inf")
        self._ended: list[tuple[FleetDivision, float]] = []

    def record(self, division: FleetDivision, now: float) -> None:
        """
        Record the division that the coordinator has told.

        Parameters
        ----------
        division : FleetDivision
            Present division.
        now : float
            Present time in seconds.
        """
        if now - self._heard_at > self._silence_s:
            self._ended.append((UNKNOWN, now))
        elif division != self._current:
            self._ended.append((self._current, now))
        self._ended = [
            (ended, at) for ended, at in self._ended if now - at < HANDOVER_S
        ]
        self._current, self._heard_at = division, now

    def list_recent(self, now: float) -> list[FleetDivision]:
        """Return the present division and those that have ended lately."""
        is_known = now - self._heard_at <= self._silence_s
        recent = [ended for ended, at in self._ended if now - at < HANDOVER_S]
        return [self._current if is_known else UNKNOWN, *recent]
