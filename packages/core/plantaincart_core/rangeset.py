"""Sets of key ranges that share no key."""

from bisect import bisect_right, insort
from collections.abc import Iterable, Iterator

from plantaincart_core.ownermap import KeyRange

__all__ = ["RangeSet"]


class RangeSet:
    """
    Disjoint ranges, looked up by their keys.

    Parameters
    ----------
    ranges : iterable of KeyRange, optional
        Ranges at the start; no two of them share a key.

    Examples
    --------
    >>> one = KeyRange(first=10, last=19, owner="a", fence=1)
    >>> ranges = RangeSet([one])
    >>> ranges.overlaps(19, 30), ranges.overlaps(20, 30)
    (True, False)
    >>> one in ranges
    True
    >>> ranges.discard(one)
    >>> len(ranges)
    0
    """

    def __init__(self, ranges: Iterable[KeyRange] = ()) -> None:
        self._by_first = {one.first: one for one in ranges}
        self._firsts = sorted(self._by_first)

    def __iter__(self) -> Iterator[KeyRange]:
        return (self._by_first[first] for first in self._firsts)

    def __len__(self) -> int:
        return len(self._firsts)

    def __contains__(self, keys: KeyRange) -> bool:
        return self._by_first.get(keys.first) == keys

    def overlaps(self, first: int, last: int) -> bool:
        """Whether a range shares keys with the given ends, both included."""
        at = bisect_right(self._firsts, last)
        return at > 0 and self._by_first[self._firsts[at - 1]].last >= first

    def add(self, keys: KeyRange) -> None:
        """
        Add a range.

        Raises
        ------
        ValueError
            If another range shares keys with it.
        """
        if self.overlaps(keys.first, keys.last):
            raise ValueError(f"keys {keys.first} to {keys.last} are taken")
        self._by_first[keys.first] = keys
        insort(self._firsts, keys.first)

    def discard(self, keys: KeyRange) -> None:
        """Remove a range, if it is there."""
        if keys in self:
            del self._by_first[keys.first]
            self._firsts.remove(keys.first)
