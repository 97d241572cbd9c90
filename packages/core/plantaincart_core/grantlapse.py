"""Keys whose owner has no grant any more, while no coordinator is heard."""

from math import inf

from plantaincart_core.ownermap import KeyRange

__all__ = ["GrantLapses"]

# Seconds after which a request for keys without a grant is tried again.
TRY_INTERVAL_S = 0.5


class GrantLapses:
    """
    Tells which requests have no chance since nobody renews the grant of their key.

    Parameters
    ----------
    silent_s : float
        Seconds without a notice after which no coordinator is taken to act.
    takeover_s : float
        Usual time in seconds from the last notice of a lost coordinator to the first
        one of its successor.

    Notes
    -----
    The silence alone proves nothing: an instance that hears nobody may reach owners
    whose grants are renewed. An owner shows that its grant has lapsed by refusing a
    request. Later requests for the same keys have no chance then, except one in
    `TRY_INTERVAL_S`, until an owner serves one, the range has another owner or token,
    or a coordinator is heard.

    Examples
    --------
    >>> lapses = GrantLapses(silent_s=0.7, takeover_s=2.5)
    >>> lapses.record_notice(now=10.0)
    >>> owned = KeyRange(first=0, last=9, owner="u0", born=1, fence=1)
    >>> lapses.record_refused("ledger", owned, now=13.0)
    >>> [lapses.may_try("ledger", owned, now) for now in (13.1, 13.6, 13.7)]
    [False, True, False]
    >>> lapses.record_notice(now=13.8)
    >>> lapses.may_try("ledger", owned, now=13.9)
    True
    """

    def __init__(self, silent_s: float, takeover_s: float) -> None:
        self._silent_s = silent_s
        self._takeover_s = takeover_s
        self._heard_at = inf
        self._next_try_at: dict[tuple[str, KeyRange], float] = {}

    def record_notice(self, now: float) -> None:
        """Record that a coordinator acts."""
        self._heard_at = now
        self._next_try_at.clear()

    def is_coordinator_silent(self, now: float) -> bool:
        """Whether a coordinator has been heard, but not for some time."""
        return now - self._heard_at > self._silent_s

    def record_refused(self, service: str, key_range: KeyRange, now: float) -> None:
        """
        Record that the owner of keys answered that it doesn't own them.

        Parameters
        ----------
        service : str
            Service of the keys.
        key_range : KeyRange
            The keys with their owner.
        now : float
            Present time in seconds.
        """
        if self.is_coordinator_silent(now):
            self._next_try_at[service, key_range] = now + TRY_INTERVAL_S

    def record_served(self, service: str, key_range: KeyRange) -> None:
        """Record that the owner of keys has served a request for them."""
        self._next_try_at.pop((service, key_range), None)

    def is_lapsed(self, service: str, key_range: KeyRange) -> bool:
        """Whether the owner of keys has refused the latest request for them."""
        return (service, key_range) in self._next_try_at

    def may_try(self, service: str, key_range: KeyRange, now: float) -> bool:
        """
        Decide whether a request may be sent to the owner of its key.

        Parameters
        ----------
        service : str
            Service of the key.
        key_range : KeyRange
            Its range, with the owner.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            True for one request in `TRY_INTERVAL_S` if the grant has lapsed.
        """
        name = service, key_range
        next_try_at = self._next_try_at.get(name)
        if next_try_at is None:
            return True
        if now < next_try_at:
            return False
        self._next_try_at[name] = now + TRY_INTERVAL_S
        return True

    def estimate_wait_s(self, now: float) -> float:
        """
        Estimate the seconds until a coordinator renews grants.

        Notes
        -----
        A takeover takes about the same time always. One that is overdue isn't possible,
        since the store doesn't answer; an outage is expected to last as long again.

        Examples
        --------
        >>> lapses = GrantLapses(silent_s=0.7, takeover_s=2.5)
        >>> lapses.record_notice(now=10.0)
        >>> [lapses.estimate_wait_s(now) for now in (11.0, 16.0)]
        [1.5, 6.0]
        """
        silent_s = max(0.0, now - self._heard_at)
        left_s = self._takeover_s - silent_s
        return left_s if left_s > 0.0 else silent_s
