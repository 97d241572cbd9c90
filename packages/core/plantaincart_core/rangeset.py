"""Sets of disjoint key ranges."""

from bisect import bisect_right, insort
from collections.abc import Iterable, Iterator

from plantaincart_core.ownermap import KeyRange

__all__ = ["RangeSet"]


class RangeSet:
    """
    Set of disjoint key ranges with a fast overlap test.

    Parameters
    ----------
    ranges : iterable of KeyRange, optional
        Initial ranges, which must be disjoint.

    Examples
    --------
    >>> key_range = KeyRange(first=10, last=19, owner="a", fence=1)
    >>> ranges = RangeSet([key_range])
    >>> ranges.overlaps(19, 30), ranges.overlaps(20, 30)
    (True, False)
    >>> key_range in ranges
    True
    >>> ranges.discard(key_range)
    >>> len(ranges)
    0
    """

    def __init__(self, ranges: Iterable[KeyRange] = ()) -> None:
        self._by_first = {key_range.first: key_range for key_range in ranges}
        self._firsts = sorted(self._by_first)

    def __iter__(self) -> Iterator[KeyRange]:
        return (self._by_first[first] for first in self._firsts)

    def __len__(self) -> int:
        return len(self._firsts)

    def __contains__(self, key_range: KeyRange) -> bool:
        return self._by_first.get(key_range.first) == key_range

    def overlaps(self, first: int, last: int) -> bool:
        """Return whether a range contains any of the keys `first` to `last`."""
        index = bisect_right(self._firsts, last)
        return index > 0 and self._by_first[self._firsts[index - 1]].last >= first

    def add(self, key_range: KeyRange) -> None:
        """
        Add a range.

        Raises
        ------
        ValueError
            If the range overlaps a range of the set.
        """
        if self.overlaps(key_range.first, key_range.last):
            raise ValueError(
                f"keys {key_range.first} to {key_range.last} overlap another range"
            )
        self._by_first[key_range.first] = key_range
        insort(self._firsts, key_range.first)

    def discard(self, key_range: KeyRange) -> None:
        """Remove a range if the set contains it."""
        if key_range in self:
            del self._by_first[key_range.first]
            self._firsts.remove(key_range.first)
