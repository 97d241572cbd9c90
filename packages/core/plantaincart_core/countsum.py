"""Sums of counts by name that many members report again and again."""

from collections import Counter
from collections.abc import Mapping

__all__ = ["replace_counts"]


def replace_counts(
    total: Counter[str], earlier: Mapping[str, int], latest: Mapping[str, int]
) -> None:
    """
    Replace the counts of one member in a sum over all members.

    Parameters
    ----------
    total : collections.Counter
        Sum over all members, changed in place.
    earlier, latest : mapping of str to int
        Counts that the member had so far, and has now.

    Notes
    -----
    Only names whose count differs are touched: most counts of a report are those of
    the one before.

    Examples
    --------
    >>> total = Counter(a=3, b=1)
    >>> replace_counts(total, {"a": 2}, {"a": 1, "c": 4})
    >>> sorted(total.items())
    [('a', 2), ('b', 1), ('c', 4)]
    """
    if earlier == latest:
        return
    for name, count in latest.items():
        change = count - earlier.get(name, 0)
        if change:
            total[name] += change
    for name, count in earlier.items():
        if count and name not in latest:
            total[name] -= count
