"""Choice of owners for keys that ask for more than one owner can do."""

from collections.abc import Iterable, Mapping

from plantaincart_core.keymove import KeyMove, Owner, SpreadSettings
from plantaincart_core.ownermap import KeyRange, OwnerMap
from plantaincart_core.rangeset import RangeSet

__all__ = ["plan_hot_keys"]


def plan_hot_keys(
    owner_map: OwnerMap,
    loads: Mapping[int, float],
    owners: Mapping[str, Owner],
    settings: SpreadSettings,
    moving: Iterable[KeyRange] = (),
) -> list[KeyMove]:
    """
    Plan to give keys that exceed what their owner can do to the fastest upstreams.

    Parameters
    ----------
    owner_map : OwnerMap
        Present owners.
    loads : mapping of int to float
        Requests at a time that each key keeps busy.
    owners : mapping of str to Owner
        Upstreams by identity.
    settings : SpreadSettings
        Gain that is worth a move.
    moving : iterable of KeyRange
        Keys on their way; they stay as they are.

    Returns
    -------
    list of KeyMove
        One for each key that moves, the hottest first.

    Notes
    -----
    A key has one owner, so its load can't be divided. What other keys the owners
    hold goes elsewhere by `plan_moves`.
    """
    hot: dict[str, int] = {}
    for key in sorted(loads, key=lambda key: -loads[key]):
        owner = owners.get(owner_map.find(key).owner)
        if owner is not None and loads[key] > owner.capacity and owner.id not in hot:
            hot[owner.id] = key
    free = sorted(
        (one for one in owners.values() if one.receives and one.id not in hot),
        key=lambda one: one.capacity,
    )
    fixed = RangeSet(moving)
    moves: list[KeyMove] = []
    for name, key in hot.items():
        gain = settings.hot_gain * owners[name].capacity
        if not free or free[-1].capacity < gain:
            continue
        if fixed.overlaps(key, key):
            continue
        target = free.pop().id
        moves.append(KeyMove(first=key, last=key, source=name, target=target))
    return moves
