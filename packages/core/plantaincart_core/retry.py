"""Budget that limits retries and hedges to a share of the requests."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """
    Token bucket that requests fill and retries empty.

    Parameters
    ----------
    ratio : float
        Tokens added by each request; a retry takes one token.
    burst : float
        Maximum number of tokens: retries possible without requests in between.

    Notes
    -----
    In the long run there are at most `ratio` times as many retries as requests, so
    retries can't multiply the load of failing upstreams.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.5, burst=1.0)
    >>> budget.spend(), budget.spend()
    (True, False)
    >>> budget.record_request()
    >>> budget.record_request()
    >>> budget.spend()
    True
    """

    def __init__(self, ratio: float, burst: float) -> None:
        self.ratio = ratio
        self.burst = burst
        self._tokens = burst

    def record_request(self) -> None:
        """Add the tokens of one request; called for first attempts only."""
        self._tokens = min(self.burst, self._tokens + self.ratio)

    def spend(self) -> bool:
        """
        Take the token of one retry.

        Returns
        -------
        bool
            Whether the retry is within the budget.
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
