"""Map from keys to owners, kept as key ranges that cover the whole key space."""

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

__all__ = ["KEY_COUNT", "KeyRange", "OwnerMap"]

# Keys are numbers from 0 to 65535.
KEY_COUNT = 65536


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyRange:
    """
    Contiguous keys with one owner.

    Parameters
    ----------
    first, last : int
        First and last key of the range, both included.
    owner : str
        Identity of the upstream that owns the keys; empty if they are unowned.
    born : int
        Start of the owner's process in Unix milliseconds.
    fence : int
        Fencing token of the grant.
    """

    first: int
    last: int
    owner: str = ""
    born: int = 0
    fence: int = 0


class OwnerMap:
    """
    Key ranges sorted by key, without gaps or overlaps.

    Parameters
    ----------
    ranges : iterable of KeyRange, optional
        Ranges that cover the key space; by default all keys are unowned.

    Examples
    --------
    >>> owners = OwnerMap()
    >>> owners.assign(KeyRange(first=10, last=19, owner="a", fence=1))
    >>> owners.assign(KeyRange(first=15, last=30, owner="b", fence=2))
    >>> [(key_range.first, key_range.last, key_range.owner) for key_range in owners]
    [(0, 9, ''), (10, 14, 'a'), (15, 30, 'b'), (31, 65535, '')]
    >>> owners.find(14).owner
    'a'
    """

    def __init__(self, ranges: Iterable[KeyRange] = ()) -> None:
        self._ranges = sorted(ranges, key=lambda key_range: key_range.first)
        if not self._ranges:
            self._ranges = [KeyRange(first=0, last=KEY_COUNT - 1)]
        self._firsts = [key_range.first for key_range in self._ranges]

    def __iter__(self) -> Iterator[KeyRange]:
        return iter(self._ranges)

    def __len__(self) -> int:
        return len(self._ranges)

    def find(self, key: int) -> KeyRange:
        """Return the range that contains a key."""
        return self._ranges[bisect_right(self._firsts, key) - 1]

    def list_within(self, first: int, last: int) -> list[KeyRange]:
        """Return the ranges that overlap keys `first` to `last`, cut at both ends."""
        start = bisect_right(self._firsts, first) - 1
        clipped = []
        for key_range in self._ranges[start:]:
            if key_range.first > last:
                break
            clipped.append(
                replace(
                    key_range,
                    first=max(key_range.first, first),
                    last=min(key_range.last, last),
                )
            )
        return clipped

    def assign(self, new: KeyRange) -> None:
        """
        Assign a key range to a new owner; overlapping ranges are cut or replaced.

        Parameters
        ----------
        new : KeyRange
            Replaces all ranges, and parts of ranges, that covered its keys.

        Notes
        -----
        The new range is merged with adjacent ranges of the same owner, process start
        and fencing token.
        """
        start = bisect_right(self._firsts, new.first) - 1
        end = bisect_right(self._firsts, new.last)
        replacement = [new]
        head, tail = self._ranges[start], self._ranges[end - 1]
        if head.first < new.first:
            replacement.insert(0, replace(head, last=new.first - 1))
        elif start > 0:
            start -= 1
            replacement.insert(0, self._ranges[start])
        if tail.last > new.last:
            replacement.append(replace(tail, first=new.last + 1))
        elif end < len(self._ranges):
            replacement.append(self._ranges[end])
            end += 1
        merged = _merge_adjacent(replacement)
        self._ranges[start:end] = merged
        self._firsts[start:end] = [key_range.first for key_range in merged]


def _merge_adjacent(ranges: list[KeyRange]) -> list[KeyRange]:
    merged = ranges[:1]
    for key_range in ranges[1:]:
        previous = merged[-1]
        same_grant = (previous.owner, previous.born, previous.fence) == (
            key_range.owner,
            key_range.born,
            key_range.fence,
        )
        if same_grant:
            merged[-1] = replace(previous, last=key_range.last)
        else:
            merged.append(key_range)
    return merged
