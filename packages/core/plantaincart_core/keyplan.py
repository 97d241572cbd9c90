"""Planning of all key moves that even out the load of one service's owners."""

from collections.abc import Iterable, Mapping

from plantaincart_core.hotspot import plan_hot_key_moves
from plantaincart_core.keybalance import plan_key_moves
from plantaincart_core.keymove import KeyBalanceSettings, KeyMove, Owner
from plantaincart_core.ownermap import KeyRange, OwnerMap
from plantaincart_core.rangemerge import plan_merges
from plantaincart_core.rangeset import RangeSet

__all__ = ["plan_rebalance"]


def plan_rebalance(
    owner_map: OwnerMap,
    loads: Mapping[int, float],
    owners: Mapping[str, Owner],
    request_load: float,
    settings: KeyBalanceSettings,
    moving: Iterable[KeyRange] = (),
) -> list[KeyMove]:
    """
    Plan the moves of hot keys, those that even out the load, and merges of ranges.

    Parameters
    ----------
    owner_map : OwnerMap
        Current owners.
    loads : mapping of int to float
        Load by key, in concurrent requests.
    owners : mapping of str to Owner
        Upstreams by identity.
    request_load : float
        Load that one counted request adds.
    settings : KeyBalanceSettings
        Thresholds for a move.
    moving : iterable of KeyRange
        Ranges that are being moved already.

    Returns
    -------
    list of KeyMove
        Moves in the order in which they should be made.

    Notes
    -----
    Upstreams without keys have the lowest utilisation, and get keys by load like
    others. Keys are moved to them regardless of load only while the load calls for no
    move at all: moves by the width of a range, one at a time, would delay those by
    load for as long as a data centre's upstreams return.

    Examples
    --------
    >>> owner_map = OwnerMap([KeyRange(first=0, last=65535, owner="a", fence=1)])
    >>> owners = {name: Owner(id=name, born=1, capacity=2.0) for name in ("a", "b")}
    >>> settings = KeyBalanceSettings()
    >>> plan_rebalance(owner_map, {}, owners, 0.1, settings)
    [KeyMove(first=32768, last=65535, source='a', target='b')]
    >>> loads = {100: 1.0, 200: 1.0}
    >>> plan_rebalance(owner_map, loads, owners, 0.01, settings)
    [KeyMove(first=100, last=100, source='a', target='b')]
    """
    already_moving = RangeSet(moving)
    moves = plan_hot_key_moves(owner_map, loads, owners, settings, already_moving)
    moves += plan_key_moves(
        owner_map, loads, owners, request_load, settings, already_moving
    )
    if not moves and not already_moving:
        moves = _plan_for_idle_owner(owner_map, owners)
        if moves:
            return moves
    return moves + plan_merges(owner_map, loads, owners, settings)


def _plan_for_idle_owner(
    owner_map: OwnerMap, owners: Mapping[str, Owner]
) -> list[KeyMove]:
    """Plan to move half of the widest range to an upstream without keys."""
    owners_with_keys = {key_range.owner for key_range in owner_map}
    for owner in owners.values():
        if not owner.accepts_keys or owner.id in owners_with_keys:
            continue
        widest = max(owner_map, key=lambda key_range: key_range.last - key_range.first)
        middle = (widest.first + widest.last + 1) // 2
        if widest.last <= widest.first or not widest.owner:
            return []
        return [
            KeyMove(
                first=middle, last=widest.last, source=widest.owner, target=owner.id
            )
        ]
    return []
