"""Choice of small ranges that join a neighbouring one."""

from bisect import bisect_right
from collections.abc import Mapping

from plantaincart_core.keymove import KeyMove, Owner, SpreadSettings
from plantaincart_core.ownermap import KEYS, KeyRange, OwnerMap

__all__ = ["plan_joins"]


def plan_joins(
    owner_map: OwnerMap,
    loads: Mapping[int, float],
    owners: Mapping[str, Owner],
    settings: SpreadSettings,
) -> list[KeyMove]:
    """
    Plan to give small ranges to the owner of a neighbouring range.

    Parameters
    ----------
    owner_map : OwnerMap
        Present owners.
    loads : mapping of int to float
        Requests at a time that each key keeps busy.
    owners : mapping of str to Owner
        Upstreams by identity.
    settings : SpreadSettings
        Ranges that are borne, and which are small.

    Returns
    -------
    list of KeyMove
        Empty while there are few ranges; no two of neighbouring ranges.

    Notes
    -----
    Every range costs a renewal a second, and a place in the row that keeps the map.
    Those with the fewest keys go first, since moved keys lose what their owner had
    prepared for them.
    """
    ranges = list(owner_map)
    if len(ranges) <= settings.ranges_per_owner * max(1, len(owners)):
        return []
    sums = [0.0] * len(ranges)
    firsts = [one.first for one in ranges]
    for key, load in loads.items():
        sums[bisect_right(firsts, key) - 1] += load
    capacity = sum(owner.capacity for owner in owners.values())
    fair = sum(loads.values()) / max(1, len(owners)) if capacity > 0.0 else 0.0
    surplus = len(ranges) - settings.ranges_per_owner * len(owners)
    most = max(settings.max_joins, surplus // 10)
    widest = KEYS // (2 * max(1, len(owners)))
    order = sorted(range(1, len(ranges)), key=lambda at: _count_keys(ranges[at]))
    moves: list[KeyMove] = []
    taken: set[int] = set()
    for at in order:
        one, before = ranges[at], ranges[at - 1]
        target = owners.get(before.owner)
        if len(moves) >= most or _count_keys(one) > widest:
            break
        if taken & {at - 1, at, at + 1} or sums[at] > settings.island_share * fair:
            continue
        if not one.owner or target is None or not target.receives:
            continue
        if one.owner == before.owner:
            continue
        taken.add(at)
        moves.append(
            KeyMove(
                first=one.first, last=one.last, source=one.owner, target=before.owner
            )
        )
    return moves


def _count_keys(keys: KeyRange) -> int:
    return keys.last - keys.first + 1
