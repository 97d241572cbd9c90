"""Since when key ranges have been unowned, and when they should get an owner."""

from plantaincart_core.ownermap import KeyRange

__all__ = ["UnownedRanges"]

# Seconds without a request for a range after which it is removed.
IDLE_S = 2.0
# Number of ranges above which those without requests are removed.
CLEANUP_THRESHOLD = 1000
# Seconds after the expected time at which an estimate is removed.
OVERDUE_S = 0.5


class UnownedRanges:
    """
    Records since when requests have found no owner for their key.

    Notes
    -----
    A handover takes as long as the requests in progress for the keys. If keys are
    unowned for longer, their last owner is unreachable, and the coordinator waits for
    its grant to expire. Parking requests until then has no benefit.

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
        self._request_times: dict[tuple[str, int], tuple[float, float]] = {}
        self._expected_at: dict[tuple[str, int, int], float] = {}

    def set_expected_at(
        self, service: str, key_range: KeyRange, free_at: float
    ) -> None:
        """
        Record when keys should have an owner again.

        Parameters
        ----------
        service : str
            Name of the service.
        key_range : KeyRange
            Unowned keys.
        free_at : float
            Time in seconds.
        """
        self._expected_at[service, key_range.first, key_range.last] = free_at

    def discard_expected(self, service: str, key_range: KeyRange) -> None:
        """Remove the estimate for keys that have an owner."""
        self._expected_at.pop((service, key_range.first, key_range.last), None)

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
            Seconds; 0 if the estimate is slightly overdue; None without an estimate.

        Examples
        --------
        >>> ranges = UnownedRanges()
        >>> ranges.set_expected_at("ledger", KeyRange(first=0, last=9), free_at=12.0)
        >>> ranges.estimate_wait("ledger", 5, now=10.0)
        2.0
        >>> ranges.estimate_wait("ledger", 10, now=10.0) is None
        True
        """
        if not self._expected_at:
            return None
        oldest = now - OVERDUE_S
        self._expected_at = {
            name: at for name, at in self._expected_at.items() if at > oldest
        }
        waits = [
            max(0.0, at - now)
            for (name, first, last), at in self._expected_at.items()
            if name == service and first <= key <= last
        ]
        return max(waits, default=None)

    def record_unserved(self, service: str, first: int, now: float) -> float:
        """
        Record that a request found no owner.

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
            Seconds since the first such request for the range.
        """
        since, last_at = self._request_times.get((service, first), (now, now))
        if now - last_at > IDLE_S:
            since = now
        self._request_times[service, first] = (since, now)
        if len(self._request_times) > CLEANUP_THRESHOLD:
            self._request_times = {
                name: times
                for name, times in self._request_times.items()
                if now - times[1] <= IDLE_S
            }
        return now - since

    def record_served(self, service: str, first: int) -> None:
        """Record that a range has an owner."""
        self._request_times.pop((service, first), None)
