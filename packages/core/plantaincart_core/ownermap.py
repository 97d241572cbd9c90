"""Which upstream owns which keys, as ranges that cover the whole key space."""

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

__all__ = ["KEYS", "KeyRange", "OwnerMap"]

# Keys are numbers from 0 to 65535.
KEYS = 65536


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyRange:
    """
    Neighbouring keys with one owner.

    Parameters
    ----------
    first, last : int
        Ends; both belong to the range.
    owner : str
        Upstream that holds the keys; empty for none.
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
    Ranges in order of their keys.

    Parameters
    ----------
    ranges : iterable of KeyRange, optional
        Ranges that cover the key space; by default nobody owns any key.

    Examples
    --------
    >>> owners = OwnerMap()
    >>> owners.assign(KeyRange(first=10, last=19, owner="a", fence=1))
    >>> owners.assign(KeyRange(first=15, last=30, owner="b", fence=2))
    >>> [(one.first, one.last, one.owner) for one in owners]
    [(0, 9, ''), (10, 14, 'a'), (15, 30, 'b'), (31, 65535, '')]
    >>> owners.find(14).owner
    'a'
    """

    def __init__(self, ranges: Iterable[KeyRange] = ()) -> None:
        self._ranges = sorted(ranges, key=lambda one: one.first)
        if not self._ranges:
            self._ranges = [KeyRange(first=0, last=KEYS - 1)]
        self._firsts = [one.first for one in self._ranges]

    def __iter__(self) -> Iterator[KeyRange]:
        return iter(self._ranges)

    def __len__(self) -> int:
        return len(self._ranges)

    def find(self, key: int) -> KeyRange:
        """Return the range that holds a key."""
        return self._ranges[bisect_right(self._firsts, key) - 1]

    def list_within(self, first: int, last: int) -> list[KeyRange]:
        """Return the ranges that share keys with the given ends, cut to them."""
        start = bisect_right(self._firsts, first) - 1
        found = []
        for one in self._ranges[start:]:
            if one.first > last:
                break
            found.append(
                replace(one, first=max(one.first, first), last=min(one.last, last))
            )
        return found

    def assign(self, new: KeyRange) -> None:
        """
        Give keys a new owner; ranges that overlap are cut.

        Parameters
        ----------
        new : KeyRange
            Takes the place of whatever covered its keys.

        Notes
        -----
        A neighbour with the same owner and fencing token is joined.
        """
        start = bisect_right(self._firsts, new.first) - 1
        end = bisect_right(self._firsts, new.last)
        pieces = [new]
        head, tail = self._ranges[start], self._ranges[end - 1]
        if head.first < new.first:
            pieces.insert(0, replace(head, last=new.first - 1))
        elif start > 0:
            start -= 1
            pieces.insert(0, self._ranges[start])
        if tail.last > new.last:
            pieces.append(replace(tail, first=new.last + 1))
        elif end < len(self._ranges):
            pieces.append(self._ranges[end])
            end += 1
        joined = _join(pieces)
        self._ranges[start:end] = joined
        self._firsts[start:end] = [one.first for one in joined]


def _join(pieces: list[KeyRange]) -> list[KeyRange]:
    joined = pieces[:1]
    for piece in pieces[1:]:
        last = joined[-1]
        same = (last.owner, last.born, last.fence) == (
            piece.owner,
            piece.born,
            piece.fence,
        )
        if same:
            joined[-1] = replace(last, last=piece.last)
        else:
            joined.append(piece)
    return joined
