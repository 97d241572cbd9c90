"""Planning of merges of small key ranges with an adjacent range."""

from bisect import bisect_right
from collections.abc import Mapping

from plantaincart_core.keymove import KeyBalanceSettings, KeyMove, Owner
from plantaincart_core.ownermap import KEY_COUNT, KeyRange, OwnerMap

__all__ = ["plan_merges"]


def plan_merges(
    owner_map: OwnerMap,
    loads: Mapping[int, float],
    owners: Mapping[str, Owner],
    settings: KeyBalanceSettings,
) -> list[KeyMove]:
    """
    Plan moves of small ranges to the owner of the preceding range.

    Parameters
    ----------
    owner_map : OwnerMap
        Current owners.
    loads : mapping of int to float
        Load by key, in concurrent requests.
    owners : mapping of str to Owner
        Upstreams by identity.
    settings : KeyBalanceSettings
        Number of ranges above which small ones are merged, and the bound on the load
        of a small range.

    Returns
    -------
    list of KeyMove
        Moves of which no two affect adjacent ranges; empty while there are few
        ranges.

    Notes
    -----
    Every range costs one grant renewal a second and space in the stored row of the
    owner map. The ranges with the fewest keys are moved first, since an owner's
    cached state for moved keys is lost.
    """
    ranges = list(owner_map)
    if len(ranges) <= settings.ranges_per_owner * max(1, len(owners)):
        return []
    range_loads = [0.0] * len(ranges)
    firsts = [key_range.first for key_range in ranges]
    for key, load in loads.items():
        range_loads[bisect_right(firsts, key) - 1] += load
    capacity = sum(owner.capacity for owner in owners.values())
    fair_load = sum(loads.values()) / max(1, len(owners)) if capacity > 0.0 else 0.0
    surplus = len(ranges) - settings.ranges_per_owner * len(owners)
    max_moves = max(settings.max_merges, surplus // 10)
    max_keys = KEY_COUNT // (2 * max(1, len(owners)))
    by_size = sorted(
        range(1, len(ranges)), key=lambda index: _count_keys(ranges[index])
    )
    moves: list[KeyMove] = []
    moved: set[int] = set()
    for index in by_size:
        key_range, preceding = ranges[index], ranges[index - 1]
        target = owners.get(preceding.owner)
        if len(moves) >= max_moves or _count_keys(key_range) > max_keys:
            break
        if (
            moved & {index - 1, index, index + 1}
            or range_loads[index] > settings.small_range_share * fair_load
        ):
            continue
        if not key_range.owner or target is None or not target.accepts_keys:
            continue
        if key_range.owner == preceding.owner:
            continue
        moved.add(index)
        moves.append(
            KeyMove(
                first=key_range.first,
                last=key_range.last,
                source=key_range.owner,
                target=preceding.owner,
            )
        )
    return moves


def _count_keys(key_range: KeyRange) -> int:
    return key_range.last - key_range.first + 1
