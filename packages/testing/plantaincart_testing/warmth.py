"""Cold start of an upstream, and its collapse under too many requests."""

from math import floor

__all__ = ["COLLAPSE_FACTOR", "Warmth"]

COLLAPSE_FACTOR = 20.0


class Warmth:
    """
    Progress of an upstream's warm-up, and its collapses.

    Parameters
    ----------
    slots : int
        Requests that the upstream can execute at the same time when warm.
    warm_up_s : float
        Duration of the warm-up to full concurrency in seconds.
    cold_factor : float
        Factor on service times when cold; decreases to 1 during the warm-up.
    collapse_s : float
        Duration of a collapse in seconds.
    now : float
        Time in seconds at which the warm-up starts.

    Notes
    -----
    During the warm-up the limit is ``max(1, floor(slots * elapsed / warm_up))``
    requests in flight. A request above the limit makes the upstream collapse:
    service times are multiplied by `COLLAPSE_FACTOR` for `collapse_s` seconds,
    and then the warm-up starts again.

    Examples
    --------
    >>> warmth = Warmth(4, 8.0, 1.0, 2.0, now=0.0)
    >>> [warmth.find_limit(at) for at in (0.0, 3.9, 4.0, 8.0)]
    [1, 1, 2, 4]
    >>> warmth.admit(2, now=1.0)
    True
    >>> [warmth.find_service_time_factor(at) for at in (1.5, 3.1)]
    [20.0, 1.0]
    """

    def __init__(
        self,
        slots: int,
        warm_up_s: float,
        cold_factor: float,
        collapse_s: float,
        now: float,
    ) -> None:
        self._slots = slots
        self._warm_up_s = warm_up_s
        self._cold_factor = cold_factor
        self._collapse_s = collapse_s
        self._warm_up_started_at = now
        self._no_collapse_before = now
        self._collapsed_until = float("-inf")
        self.collapses = 0
        self.excess = 0

    def find_limit(self, now: float) -> int:
        """Return the limit of requests in flight at a time in seconds."""
        return max(1, floor(self._slots * self._find_warm_share(now)))

    def admit(self, in_flight: int, now: float) -> bool:
        """
        Count a request that was received.

        Parameters
        ----------
        in_flight : int
            Requests in flight, including the new one.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether this request makes the upstream collapse.
        """
        if now < self._no_collapse_before or self._find_warm_share(now) >= 1.0:
            return False
        excess = in_flight - self.find_limit(now)
        if excess <= 0:
            return False
        self.excess = max(self.excess, excess)
        if now < self._collapsed_until:
            return False
        self.collapses += 1
        self._collapsed_until = now + self._collapse_s
        self._warm_up_started_at = self._collapsed_until
        return True

    def find_service_time_factor(self, now: float) -> float:
        """Return the factor on service times at a time in seconds."""
        if now < self._collapsed_until:
            return COLLAPSE_FACTOR
        return 1.0 + (self._cold_factor - 1.0) * (1.0 - self._find_warm_share(now))

    def turn_cold(self, now: float, lenient_s: float) -> None:
        """
        Start the warm-up again without a restart.

        Parameters
        ----------
        now : float
            Current time in seconds.
        lenient_s : float
            Seconds in which requests above the limit don't cause a collapse, since
            callers can't have noticed yet that the upstream is cold.
        """
        self._warm_up_started_at = now
        self._no_collapse_before = now + lenient_s

    def _find_warm_share(self, now: float) -> float:
        if self._warm_up_s <= 0:
            return 1.0
        return min(1.0, max(0.0, (now - self._warm_up_started_at) / self._warm_up_s))
