"""For how long ranges of keys have been without an owner, and will be."""

from plantaincart_core.ownermap import KeyRange

__all__ = ["UnownedRanges"]

# Seconds without a request for a range after which what was seen of it is dropped.
UNSEEN_S = 2.0
# Ranges above which those without requests are looked for.
MANY = 1000
# Seconds after which an estimate that didn't come true is dropped.
OVERDUE_S = 0.5


class UnownedRanges:
    """
    Remembers since when requests have found no owner.

    Notes
    -----
    A handover takes as long as the work under way on the keys. Where keys have no
    owner for longer, their last one is out of reach, and the end of its hold is
    waited for; holding requests until then helps nobody.

    Examples
    --------
    >>> ranges = UnownedRanges()
    >>> ranges.record_unserved("ledger", 0, now=10.0)
    0.0
    >>> ranges.record_unserved("ledger", 0, now=10.5)
    0.5
    >>> ranges.record_served("ledger", 0)
    >>> ranges.record_unserved("ledger", 0, now=11.0)
    0.0
    """

    def __init__(self) -> None:
        self._seen: dict[tuple[str, int], tuple[float, float]] = {}
        self._free_at: dict[tuple[str, int, int], float] = {}

    def set_expected_at(self, service: str, keys: KeyRange, free_at: float) -> None:
        """
        Note when keys should have an owner again.

        Parameters
        ----------
        service : str
            Name of the service.
        keys : KeyRange
            Keys that nobody owns.
        free_at : float
            Time in seconds.
        """
        self._free_at[service, keys.first, keys.last] = free_at

    def discard_expected(self, service: str, keys: KeyRange) -> None:
        """Drop estimates for keys that have an owner."""
        self._free_at.pop((service, keys.first, keys.last), None)

    def estimate_wait(self, service: str, key: int, now: float) -> float | None:
        """
        Estimate the seconds until a key has an owner.

        Parameters
        ----------
        service : str
            Name of the service.
        key : int
            The key.
        now : float
            Present time in seconds.

        Returns
        -------
        float or None
            Seconds, 0 if the estimate is a little overdue; None if nothing is known.

        Examples
        --------
        >>> ranges = UnownedRanges()
        >>> ranges.set_expected_at("ledger", KeyRange(first=0, last=9), free_at=12.0)
        >>> ranges.estimate_wait("ledger", 5, now=10.0)
        2.0
        >>> ranges.estimate_wait("ledger", 10, now=10.0) is None
        True
        """
        if not self._free_at:
            return None
        overdue = now - OVERDUE_S
        self._free_at = {name: at for name, at in self._free_at.items() if at > overdue}
        waits = [
            max(0.0, at - now)
            for (name, first, last), at in self._free_at.items()
            if name == service and first <= key <= last
        ]
        return max(waits, default=None)

    def record_unserved(self, service: str, first: int, now: float) -> float:
        """
        Note that a request found no owner.

        Parameters
        ----------
        service : str
            Name of the service.
        first : int
            First key of the range.
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Seconds since the first such request.
        """
        since, seen_at = self._seen.get((service, first), (now, now))
        if now - seen_at > UNSEEN_S:
            since = now
        self._seen[service, first] = (since, now)
        if len(self._seen) > MANY:
            self._seen = {
                name: times
                for name, times in self._seen.items()
                if now - times[1] <= UNSEEN_S
            }
        return now - since

    def record_served(self, service: str, first: int) -> None:
        """Note that a range has an owner."""
        self._seen.pop((service, first), None)
