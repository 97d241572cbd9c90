"""Planning of moves for hot keys, whose load exceeds the capacity of their owner."""

from collections.abc import Iterable, Mapping

from plantaincart_core.keymove import KeyBalanceSettings, KeyMove, Owner
from plantaincart_core.ownermap import KeyRange, OwnerMap
from plantaincart_core.rangeset import RangeSet

__all__ = ["plan_hot_key_moves"]


def plan_hot_key_moves(
    owner_map: OwnerMap,
    loads: Mapping[int, float],
    owners: Mapping[str, Owner],
    settings: KeyBalanceSettings,
    moving: Iterable[KeyRange] = (),
) -> list[KeyMove]:
    """
    Plan moves of hot keys to the upstreams with the highest capacity.

    Parameters
    ----------
    owner_map : OwnerMap
        Current owners.
    loads : mapping of int to float
        Load by key, in concurrent requests.
    owners : mapping of str to Owner
        Upstreams by identity.
    settings : KeyBalanceSettings
        Gain in capacity that justifies a move.
    moving : iterable of KeyRange
        Ranges that are being moved already; their keys are left alone.

    Returns
    -------
    list of KeyMove
        One move of a single key for each owner with a hot key, the hottest key first.

    Notes
    -----
    A key has one owner, so its load can't be divided. `plan_key_moves` moves the other
    keys of the owners involved.
    """
    hottest: dict[str, int] = {}
    for key in sorted(loads, key=lambda key: -loads[key]):
        owner = owners.get(owner_map.find(key).owner)
        if (
            owner is not None
            and loads[key] > owner.capacity
            and owner.id not in hottest
        ):
            hottest[owner.id] = key
    candidates = sorted(
        (
            owner
            for owner in owners.values()
            if owner.accepts_keys and owner.id not in hottest
        ),
        key=lambda owner: owner.capacity,
    )
    already_moving = RangeSet(moving)
    moves: list[KeyMove] = []
    for source, key in hottest.items():
        min_capacity = settings.hot_key_gain * owners[source].capacity
        if not candidates or candidates[-1].capacity < min_capacity:
            continue
        if already_moving.overlaps(key, key):
            continue
        target = candidates.pop().id
        moves.append(KeyMove(first=key, last=key, source=source, target=target))
    return moves
