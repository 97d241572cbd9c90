"""Recognition of requests that callers send again after they were turned away."""

__all__ = ["ReturnDetector"]

# A request with a smaller share of its route's longest time left has probably been
# turned away before. The deadlines of callers of one route differ by a tenth or two.
RETURNING_SHARE = 0.8
# Factor by which the longest time seen for a route is forgotten with each request.
LONGEST_DECAY = 0.999
MAX_ROUTES = 4096


class ReturnDetector:
    """
    Tells by the time that a request has left whether its caller has come back.

    Notes
    -----
    A retry of a caller is a request with an id of its own; only its deadline shows that
    there was an earlier one. Callers that come back soon aren't told from those with a
    somewhat shorter deadline. Callers with a much shorter one are taken to return,
    which puts them before those with more time.

    Examples
    --------
    >>> detector = ReturnDetector()
    >>> [detector.is_returning("lookup", left_s) for left_s in (1.0, 0.99, 0.7)]
    [False, False, True]
    """

    def __init__(self) -> None:
        self._longest_s: dict[str, float] = {}

    def is_returning(self, route: str, left_s: float | None) -> bool:
        """
        Return whether a request was probably turned away before.

        Parameters
        ----------
        route : str
            Name of its route.
        left_s : float or None
            Seconds until the caller's deadline; None without one.
        """
        if left_s is None:
            return False
        if len(self._longest_s) >= MAX_ROUTES:
            self._longest_s.clear()
        longest_s = self._longest_s.get(route, 0.0) * LONGEST_DECAY
        self._longest_s[route] = max(longest_s, left_s)
        return left_s < RETURNING_SHARE * longest_s
