"""Rate limiter."""

__all__ = ["TokenBucket"]

# Tolerance for rounding errors, so that a caller that waits for the returned time is
# admitted.
TOKEN_TOLERANCE = 1e-6


class TokenBucket:
    """
    Token bucket that is filled at a constant rate.

    Parameters
    ----------
    rate : float
        Requests/s; 0 admits none after the first burst.
    burst : float
        Capacity in requests, at least 1; the bucket is full at first.

    Examples
    --------
    >>> bucket = TokenBucket(rate=2.0, burst=1.0)
    >>> bucket.take(now=0.0), bucket.take(now=0.0), bucket.take(now=0.5)
    (0.0, 0.5, 0.0)
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._filled_at: float | None = None

    def take(self, now: float) -> float:
        """
        Take the token for one request.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        float
            0 if a token was taken, else seconds until one will be available.
        """
        self._fill(now)
        if self._tokens >= 1.0 - TOKEN_TOLERANCE:
            self._tokens -= 1.0
            return 0.0
        if self.rate <= 0.0:
            return float("inf")
        return (1.0 - self._tokens) / self.rate

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """
        Change the rate and the capacity from now on.

        Parameters
        ----------
        rate : float
            Requests/s.
        burst : float
            Capacity in requests, at least 1.
        now : float
            Present time in seconds.
        """
        self._fill(now)
        self.rate = rate
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def _fill(self, now: float) -> None:
        if self._filled_at is not None and now > self._filled_at:
            filled = self._tokens + (now - self._filled_at) * self.rate
            self._tokens = min(self.burst, filled)
        self._filled_at = now
