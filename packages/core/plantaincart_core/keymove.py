"""Owners of key ranges, moves between owners, and settings of the rebalancing."""

from dataclasses import dataclass

__all__ = ["KeyMove", "Owner", "KeyBalanceSettings"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Owner:
    """
    Upstream that may own key ranges.

    Parameters
    ----------
    id : str
        Identity of the upstream.
    born : int
        Start of its process in Unix milliseconds.
    capacity : float
        Concurrent requests that it can run at the usual speed.
    accepts_keys : bool
        Whether it may be assigned further keys.
    """

    id: str
    born: int
    capacity: float
    accepts_keys: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyMove:
    """
    Planned move of contiguous keys to another owner.

    Parameters
    ----------
    first, last : int
        First and last key, both included.
    source : str
        Identity of the current owner; empty for unowned keys.
    target : str
        Identity of the new owner.
    """

    first: int
    last: int
    source: str
    target: str


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyBalanceSettings:
    """
    Thresholds and limits of the rebalancing of keys among owners.

    Parameters
    ----------
    tolerance : float
        Fraction of the mean utilisation by which an owner may exceed the mean before
        keys are moved away from it.
    underload_tolerance : float
        Fraction of its fair load that an owner may lack before keys are moved to it,
        even if no other owner is overloaded.
    significance : float
        Number of standard errors that a difference in load must exceed, so that
        random variation causes no moves.
    max_moves : int
        Greatest number of moves in a plan for few owners.
    max_moves_per_owner : float
        Greatest number of moves in a plan, per owner; applies if it allows more. A hot
        range that is as wide in a large fleet must be spread over more owners.
    ranges_per_owner : int
        Mean number of ranges per owner above which small ranges are merged with an
        adjacent one.
    small_range_share : float
        Fraction of an owner's fair load up to which a range counts as small.
    max_merges : int
        Greatest number of merges in a plan, or a tenth of the surplus ranges if that is
        more.
    hot_key_gain : float
        Minimum ratio of the capacities of the new and the current owner for moving a
        key whose load exceeds the capacity of its owner.
    """

    tolerance: float = 0.3
    underload_tolerance: float = 0.6
    significance: float = 2.5
    max_moves: int = 16
    max_moves_per_owner: float = 0.25
    ranges_per_owner: int = 4
    small_range_share: float = 0.15
    max_merges: int = 2
    hot_key_gain: float = 1.4

    def limit_moves(self, owner_count: int) -> int:
        """
        Return the greatest number of moves in a plan.

        Parameters
        ----------
        owner_count : int
            Number of upstreams of the service.

        Examples
        --------
        >>> KeyBalanceSettings().limit_moves(24), KeyBalanceSettings().limit_moves(240)
        (16, 60)
        """
        return max(self.max_moves, round(self.max_moves_per_owner * owner_count))
