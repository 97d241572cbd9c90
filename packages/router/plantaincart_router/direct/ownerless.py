"""For how long ranges of keys have been without an owner."""

__all__ = ["OwnerlessRanges"]

# Seconds without a request for a range after which what was seen of it is dropped.
UNSEEN_S = 2.0
# Ranges above which those without requests are looked for.
MANY = 1000


class OwnerlessRanges:
    """
    Remembers since when requests have found no owner.

    Notes
    -----
    A handover takes as long as the work under way on the keys. Where keys have no
    owner for longer, their last one is out of reach, and the end of its hold is
    waited for; holding requests until then helps nobody.

    Examples
    --------
    >>> ranges = OwnerlessRanges()
    >>> ranges.note("ledger", 0, now=10.0)
    0.0
    >>> ranges.note("ledger", 0, now=10.5)
    0.5
    >>> ranges.clear("ledger", 0)
    >>> ranges.note("ledger", 0, now=11.0)
    0.0
    """

    def __init__(self) -> None:
        self._seen: dict[tuple[str, int], tuple[float, float]] = {}

    def note(self, service: str, first: int, now: float) -> float:
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

    def clear(self, service: str, first: int) -> None:
        """Note that a range has an owner."""
        self._seen.pop((service, first), None)
