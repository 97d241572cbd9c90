"""Fencing tokens, which order the grants of all leaders of a shard."""

from dataclasses import dataclass

__all__ = ["FencingToken"]


@dataclass(frozen=True, order=True)
class FencingToken:
    """
    Fencing token of a grant.

    Parameters
    ----------
    epoch : int
        Lease epoch of the leader.
    sequence : int
        Version of the assignment within the epoch.

    Examples
    --------
    >>> FencingToken(3, 9) < FencingToken(4, 0), str(FencingToken(3, 9))
    (True, '3.9')
    """

    epoch: int
    sequence: int

    def __str__(self) -> str:
        return f"{self.epoch}.{self.sequence}"
