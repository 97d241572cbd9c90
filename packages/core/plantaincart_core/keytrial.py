"""Planning of trial moves to upstreams that failed to accept keys."""

from collections.abc import Iterable, Mapping, Sequence

from plantaincart_core.keymove import KeyMove
from plantaincart_core.ownermap import KeyRange, OwnerMap
from plantaincart_core.rangeset import RangeSet

__all__ = ["plan_trial_moves"]

# Trials in a plan: each may leave its key without an owner for some tenths of a second.
MAX_TRIALS = 4


def plan_trial_moves(
    owner_map: OwnerMap,
    loads: Mapping[int, float],
    tried: Sequence[str],
    moving: Iterable[KeyRange] = (),
) -> list[KeyMove]:
    """
    Plan the move of a single key without load to each upstream that is tried.

    Parameters
    ----------
    owner_map : OwnerMap
        Current owners.
    loads : mapping of int to float
        Load by key, in concurrent requests.
    tried : sequence of str
        Upstreams whose last calls failed and that may be called again. Those that own
        keys, or to which keys are being moved, are called anyway and get no trial.
    moving : iterable of KeyRange
        Ranges that are being moved already.

    Returns
    -------
    list of KeyMove
        At most one move for each upstream.

    Notes
    -----
    An upstream without keys gets no calls, so that only a trial shows that it answers
    again. The last keys of the widest ranges are moved, so that a range is split into
    two parts at most and hardly a request waits if the trial fails.

    Examples
    --------
    >>> owner_map = OwnerMap([KeyRange(first=0, last=65535, owner="a", fence=1)])
    >>> plan_trial_moves(owner_map, {65535: 0.2}, ["b"])
    []
    >>> plan_trial_moves(owner_map, {0: 0.2}, ["b"])
    [KeyMove(first=65535, last=65535, source='a', target='b')]
    """
    owners = {key_range.owner for key_range in owner_map}
    waiting = [name for name in tried if name not in owners][:MAX_TRIALS]
    if not waiting:
        return []
    already_moving = RangeSet(moving)
    sources = [
        key_range
        for key_range in owner_map
        if key_range.owner
        and key_range.last > key_range.first
        and key_range.last not in loads
        and not already_moving.overlaps(key_range.first, key_range.last)
    ]
    sources.sort(key=lambda key_range: key_range.first - key_range.last)
    return [
        KeyMove(first=source.last, last=source.last, source=source.owner, target=target)
        for source, target in zip(sources, waiting, strict=False)
    ]
