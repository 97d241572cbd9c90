"""Rank of requests where not all can be served."""

from dataclasses import dataclass

__all__ = ["Rank"]


@dataclass(frozen=True, order=True, slots=True)
class Rank:
    """
    Order in which requests are served; lower ranks go first.

    Parameters
    ----------
    account : int
        Priority of the client account; 0 is the most urgent, and the value of requests
        without an account.
    route : int
        Priority of the route; 0 is the most urgent.

    Examples
    --------
    >>> Rank(0, 2) < Rank(1, 0)
    True
    """

    account: int
    route: int
