"""Owners of keys, moves of keys between them, and how much imbalance is borne."""

from dataclasses import dataclass

__all__ = ["KeyMove", "Owner", "SpreadSettings"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Owner:
    """
    An upstream that may own keys.

    Parameters
    ----------
    id : str
        Its identity.
    born : int
        Start of its process in Unix milliseconds.
    capacity : float
        Requests at a time that it can work on at the usual speed.
    receives : bool
        Whether it may be given further keys.
    """

    id: str
    born: int
    capacity: float
    receives: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyMove:
    """
    Neighbouring keys that should get another owner.

    Parameters
    ----------
    first, last : int
        Ends; both belong to the range.
    source : str
        Present owner; empty for none.
    target : str
        Owner to be.
    """

    first: int
    last: int
    source: str
    target: str


@dataclass(frozen=True, kw_only=True, slots=True)
class SpreadSettings:
    """
    How much imbalance is borne before keys move.

    Parameters
    ----------
    tolerance : float
        Part of the mean utilisation by which an owner may exceed it.
    hunger : float
        Part of its fair load that an owner must lack to be given keys although
        nobody else has too much.
    significance : float
        Standard errors by which a difference must stand out from chance.
    max_moves : int
        Moves planned at a time.
    ranges_per_owner : int
        Ranges for each owner above which small ones are joined to a neighbour.
    island_share : float
        Part of an owner's fair load up to which a range is joined to a neighbour.
    max_joins : int
        Ranges joined to a neighbour at a time; more where there are far too many.
    hot_gain : float
        Factor by which a faster owner must exceed the present one to be given a key
        that one owner can't keep up with.
    """

    tolerance: float = 0.3
    hunger: float = 0.6
    significance: float = 2.5
    max_moves: int = 16
    ranges_per_owner: int = 4
    island_share: float = 0.15
    max_joins: int = 2
    hot_gain: float = 1.4
