"""Times at which callers that were turned away should come back."""

__all__ = ["ReturnSpread"]

# Fractional part of the golden ratio, whose multiples fill an interval evenly.
GOLDEN_SHARE = 0.6180339887498949


class ReturnSpread:
    """
    Spreads the return of callers evenly over an interval.

    Notes
    -----
    Any number of successive callers is spread evenly, also when the interval changes.

    Examples
    --------
    >>> spread = ReturnSpread()
    >>> [round(spread.choose_delay_s(0.2, 0.4), 3) for _ in range(3)]
    [0.324, 0.247, 0.371]
    """

    def __init__(self) -> None:
        self._position = 0.0

    def choose_delay_s(self, earliest_s: float, latest_s: float) -> float:
        """
        Choose when the next caller should come back.

        Parameters
        ----------
        earliest_s : float
            Seconds after which there should be room.
        latest_s : float
            Seconds after which the caller comes back at the latest; if that is
            earlier, all are told `earliest_s`.

        Returns
        -------
        float
            Delay in seconds.
        """
        self._position = (self._position + GOLDEN_SHARE) % 1.0
        return earliest_s + self._position * max(0.0, latest_s - earliest_s)
