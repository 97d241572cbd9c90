"""Choice of the keys to move so that owners bear equal shares of the load."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Mapping, Sequence
from math import sqrt

from plantaincart_core.keymove import KeyMove, Owner, SpreadSettings
from plantaincart_core.ownermap import KEYS, KeyRange, OwnerMap
from plantaincart_core.rangeset import RangeSet

__all__ = ["plan_moves"]


def plan_moves(
    owner_map: OwnerMap,
    loads: Mapping[int, float],
    owners: Mapping[str, Owner],
    request_load: float,
    settings: SpreadSettings,
    moving: Iterable[KeyRange] = (),
) -> list[KeyMove]:
    """
    Plan moves from the owners with the highest utilisation to those with the lowest.

    Parameters
    ----------
    owner_map : OwnerMap
        Present owners.
    loads : mapping of int to float
        Requests at a time that each key keeps busy.
    owners : mapping of str to Owner
        Upstreams by identity; those that aren't there own nothing that can move.
    request_load : float
        Load that one counted request adds, for the error of the measurement.
    settings : SpreadSettings
        Imbalance that is borne.
    moving : iterable of KeyRange
        Keys on their way to the owner that the map names; they stay as they are.

    Returns
    -------
    list of KeyMove
        Moves in the order in which they should be made.

    Notes
    -----
    Among the runs of neighbouring keys that carry about the load to be moved, the
    one with the fewest keys is taken: hot keys lie next to each other, and what
    matters to the upstreams is how many keys change hands.
    """
    plan = _Plan(owner_map, loads, owners, moving)
    if plan.capacity <= 0.0 or plan.load <= 0.0:
        return []
    moves: list[KeyMove] = []
    stuck: set[str] = set()
    while len(moves) < settings.max_moves:
        move = _plan_move(plan, request_load, settings, stuck)
        if move is None:
            break
        moves.append(move)
    return moves


class _Plan:
    """Loads of the owners and of their keys while moves are planned."""

    def __init__(
        self,
        owner_map: OwnerMap,
        loads: Mapping[int, float],
        owners: Mapping[str, Owner],
        moving: Iterable[KeyRange],
    ) -> None:
        self.owners = owners
        self.keys: dict[str, list[int]] = {owner: [] for owner in owners}
        self.loads = loads
        self.ranges: dict[str, list[KeyRange]] = {owner: [] for owner in owners}
        for one in owner_map:
            if one.owner in self.ranges:
                self.ranges[one.owner].append(one)
        self.parted: dict[str, set[int]] = {owner: set() for owner in owners}
        self.by_owner = dict.fromkeys(owners, 0.0)
        fixed = RangeSet(moving)
        for key in sorted(loads):
            owner = owner_map.find(key).owner
            if owner not in self.keys:
                continue
            self.by_owner[owner] += loads[key]
            if not fixed.overlaps(key, key):
                self.keys[owner].append(key)
        self.load = sum(self.by_owner.values())
        self.capacity = sum(owner.capacity for owner in owners.values())
        self.mean = self.load / self.capacity if self.capacity > 0.0 else 0.0

    def utilisation(self, owner: str) -> float:
        return self.by_owner[owner] / max(self.owners[owner].capacity, 1e-9)

    def take(self, owner: str, target: str, first: int, last: int) -> None:
        keys = self.keys[owner]
        start, end = bisect_left(keys, first), bisect_right(keys, last)
        amount = sum(self.loads[key] for key in keys[start:end])
        # What is left on either side is parted by the keys that move, and these
        # stay where they are going: no key is moved twice.
        self.parted[owner].add(keys[end] if end < len(keys) else KEYS)
        del keys[start:end]
        self.by_owner[owner] -= amount
        self.by_owner[target] += amount


def _plan_move(
    plan: _Plan, request_load: float, settings: SpreadSettings, stuck: set[str]
) -> KeyMove | None:
    donors = [owner for owner in plan.owners if owner not in stuck]
    receivers = [owner for owner, one in plan.owners.items() if one.receives]
    if not donors or not receivers:
        return None
    donor = max(donors, key=plan.utilisation)
    target = min(receivers, key=plan.utilisation)
    excess = plan.by_owner[donor] - plan.mean * plan.owners[donor].capacity
    room = plan.mean * plan.owners[target].capacity - plan.by_owner[target]
    if not (
        _stands_out(plan, donor, excess, request_load, settings.tolerance, settings)
        or _stands_out(plan, target, room, request_load, settings.hunger, settings)
    ):
        return None
    run = _find_run(plan, donor, target, excess, room) if target != donor else None
    if run is None:
        stuck.add(donor)
        return _plan_move(plan, request_load, settings, stuck)
    first, last = run
    plan.take(donor, target, first, last)
    return KeyMove(first=first, last=last, source=donor, target=target)


def _stands_out(
    plan: _Plan,
    owner: str,
    difference: float,
    request_load: float,
    tolerance: float,
    settings: SpreadSettings,
) -> bool:
    """Say whether a difference from the fair load is large and no chance."""
    fair = plan.mean * plan.owners[owner].capacity
    error = sqrt(max(fair, request_load) * request_load)
    return difference >= max(tolerance * fair, settings.significance * error)


def _find_run(
    plan: _Plan, donor: str, target: str, excess: float, room: float
) -> tuple[int, int] | None:
    """Find the shortest run of keys whose load comes near to what should move."""
    amount = min(excess, room)
    if amount <= 0.0:
        return None
    # One busy key may exceed the amount and still be better off elsewhere.
    most = max(1.3 * amount, 0.6 * (plan.by_owner[donor] - plan.by_owner[target]))
    keys, loads = plan.keys[donor], plan.loads
    best: tuple[int, int] | None = None
    start, held = 0, 0.0
    for end, key in enumerate(keys):
        parted = key in plan.parted[donor]
        if end > start and (
            parted or _is_parted(plan.ranges[donor], keys[end - 1], key)
        ):
            start, held = end, 0.0
        held += loads[key]
        while start < end and held - loads[keys[start]] >= amount:
            held -= loads[keys[start]]
            start += 1
        near = amount * 0.5 <= held <= most
        if near and (best is None or key - keys[start] < best[1] - best[0]):
            best = (keys[start], key)
    return best


def _is_parted(ranges: Sequence[KeyRange], left: int, right: int) -> bool:
    at = bisect_right(ranges, right, key=lambda one: one.first) - 1
    return ranges[at].first > left
