"""Initial assignment of the whole key space to upstreams."""

from collections.abc import Sequence
from itertools import accumulate

from plantaincart_core.keymove import KeyMove, Owner
from plantaincart_core.ownermap import KEY_COUNT

__all__ = ["divide_keys"]


def divide_keys(owners: Sequence[Owner]) -> list[KeyMove]:
    """
    Divide the whole key space in proportion to the owners' capacities.

    Parameters
    ----------
    owners : sequence of Owner
        Owners, at least one of them with a capacity above 0.

    Returns
    -------
    list of KeyMove
        One move with an empty source for each owner that gets keys.

    Examples
    --------
    >>> a, b = (Owner(id=name, born=1, capacity=2.0) for name in "ab")
    >>> [(move.first, move.last, move.target) for move in divide_keys([a, b])]
    [(0, 32767, 'a'), (32768, 65535, 'b')]
    """
    total = sum(owner.capacity for owner in owners)
    cumulative = list(accumulate(owner.capacity for owner in owners))
    ends = [round(KEY_COUNT * capacity / total) for capacity in cumulative]
    starts = [0, *ends[:-1]]
    return [
        KeyMove(first=start, last=end - 1, source="", target=owner.id)
        for owner, start, end in zip(owners, starts, ends, strict=True)
        if end > start
    ]
