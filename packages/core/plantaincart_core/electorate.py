"""Electors: the members whose following lets a coordinator act without the store."""

from collections.abc import Collection, Mapping, Sequence
from math import inf

__all__ = [
    "MAX_ELECTORS",
    "choose_electors",
    "count_needed",
    "find_followed_until",
    "find_last_followed",
    "find_last_followed_by_some",
]

# Bounds the row that names the electors, in fleets of any size.
MAX_ELECTORS = 31
# A coordinator that is followed by nobody else can't tell an outage from a cut.
MIN_NEEDED = 2


def choose_electors(
    electors: Sequence[str], members: Collection[str]
) -> tuple[str, ...]:
    """
    Choose the electors among the live members.

    Parameters
    ----------
    electors : sequence of str
        Present electors; those that are still members stay.
    members : collection of str
        Names of all live members.

    Returns
    -------
    tuple of str
        Names in order. New ones are taken at even distances of the sorted members, as
        neighbours may be lost together.

    Examples
    --------
    >>> choose_electors(("b", "x"), {"a", "b", "c"})
    ('a', 'b', 'c')
    """
    kept = [name for name in electors if name in members]
    others = sorted(set(members).difference(kept))
    free = min(MAX_ELECTORS - len(kept), len(others))
    added = [others[number * len(others) // free] for number in range(free)]
    return tuple(sorted([*kept, *added]))


def count_needed(electors: int) -> int:
    """
    Count the electors that must follow a coordinator, which is one of them.

    Parameters
    ----------
    electors : int
        Number of all electors.

    Examples
    --------
    >>> [count_needed(electors) for electors in (1, 2, 3, 4, 12)]
    [2, 2, 2, 3, 7]
    """
    return max(MIN_NEEDED, electors // 2 + 1)


def find_followed_until(
    electors: Collection[str], holder: str, followed_until: Mapping[str, float]
) -> float:
    """
    Find the time until which enough electors follow a coordinator.

    Parameters
    ----------
    electors : collection of str
        Names of the electors.
    holder : str
        Name of the coordinator, which follows itself.
    followed_until : mapping of str to float
        Time in seconds until which each elector follows it.

    Returns
    -------
    float
        Time in seconds; minus infinity if too few have followed it at all.

    Examples
    --------
    >>> find_followed_until(("a", "b", "c"), "a", {"b": 7.0})
    7.0
    >>> find_followed_until(("a", "b", "c", "d"), "a", {"b": 7.0})
    -inf
    """
    times = sorted(
        (
            inf if name == holder else followed_until.get(name, -inf)
            for name in electors
        ),
        reverse=True,
    )
    needed = count_needed(len(times))
    return times[needed - 1] if needed <= len(times) else -inf


def find_last_followed(
    electors: Collection[str], last_heard_at: Mapping[str, float]
) -> float:
    """
    Find the last time at which enough electors can have heard a coordinator.

    Parameters
    ----------
    electors : collection of str
        Names of the electors.
    last_heard_at : mapping of str to float
        Time in seconds at which each of some instances has last heard the coordinator.
        They don't follow it any more.

    Returns
    -------
    float
        Time in seconds; infinity while too few electors are known to have left it, and
        minus infinity if there are too few to follow a coordinator.

    Notes
    -----
    Any set of electors that may follow the coordinator has a member in common with
    those that have left it.

    Examples
    --------
    >>> find_last_followed(("a", "b", "c"), {"b": 7.0})
    inf
    >>> find_last_followed(("a", "b", "c"), {"b": 7.0, "c": 5.0, "x": 9.0})
    7.0
    """
    blocking = len(electors) - count_needed(len(electors)) + 1
    if blocking <= 0:
        return -inf
    return sorted(last_heard_at.get(name, inf) for name in electors)[blocking - 1]


def find_last_followed_by_some(
    members: int, last_heard_at: Mapping[str, float]
) -> float:
    """
    Find the same where the electors are some of the members, but not known.

    Parameters
    ----------
    members : int
        Number of members of the coordinator, itself among them.
    last_heard_at : mapping of str to float
        Time in seconds at which each of some members has last heard the coordinator.
        They don't follow it any more.

    Returns
    -------
    float
        Time in seconds; infinity while the other members may include enough electors,
        and minus infinity if there are too few members to follow a coordinator.

    Examples
    --------
    >>> find_last_followed_by_some(5, {"a": 7.0, "b": 5.0})
    inf
    >>> find_last_followed_by_some(5, {"a": 7.0, "b": 5.0, "c": 6.0})
    7.0
    """
    blocking = members - count_needed(min(members, MAX_ELECTORS)) + 1
    if blocking <= 0:
        return -inf
    times = sorted(last_heard_at.values())
    return times[blocking - 1] if blocking <= len(times) else inf
