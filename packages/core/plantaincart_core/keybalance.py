"""Planning of key moves that balance utilisation among owners."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Mapping, Sequence
from math import sqrt

from plantaincart_core.keymove import KeyBalanceSettings, KeyMove, Owner
from plantaincart_core.ownermap import KEY_COUNT, KeyRange, OwnerMap
from plantaincart_core.rangeset import RangeSet

__all__ = ["plan_key_moves"]


def plan_key_moves(
    owner_map: OwnerMap,
    loads: Mapping[int, float],
    owners: Mapping[str, Owner],
    request_load: float,
    settings: KeyBalanceSettings,
    moving: Iterable[KeyRange] = (),
) -> list[KeyMove]:
    """
    Plan moves from the owners with the highest utilisation to those with the lowest.

    Parameters
    ----------
    owner_map : OwnerMap
        Current owners.
    loads : mapping of int to float
        Load by key, in concurrent requests.
    owners : mapping of str to Owner
        Upstreams by identity; keys of an owner that is missing here aren't moved.
    request_load : float
        Load that one counted request adds, used to estimate the sampling error.
    settings : KeyBalanceSettings
        Thresholds for a move.
    moving : iterable of KeyRange
        Ranges that are being moved already to the owner in the map; their keys are
        left alone.

    Returns
    -------
    list of KeyMove
        Moves in the order in which they should be made.

    Notes
    -----
    Among the intervals of keys that carry about the load to be moved, the one with
    the fewest keys is chosen: hot keys are often adjacent, and the cost for the
    upstreams grows with the number of keys that change owner.
    """
    plan = _Plan(owner_map, loads, owners, moving)
    if plan.capacity <= 0.0 or plan.load <= 0.0:
        return []
    moves: list[KeyMove] = []
    exhausted: set[str] = set()
    max_moves = settings.limit_moves(len(owners))
    while len(moves) < max_moves:
        move = _plan_move(plan, request_load, settings, exhausted)
        if move is None:
            break
        moves.append(move)
    return moves


class _Plan:
    """Loads of the owners and their movable keys, with the planned moves applied."""

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
        for key_range in owner_map:
            if key_range.owner in self.ranges:
                self.ranges[key_range.owner].append(key_range)
        # Keys at which a new interval has to start, since keys before them move.
        self.interval_starts: dict[str, set[int]] = {owner: set() for owner in owners}
        self.by_owner = dict.fromkeys(owners, 0.0)
        already_moving = RangeSet(moving)
        for key in sorted(loads):
            owner = owner_map.find(key).owner
            if owner not in self.keys:
                continue
            self.by_owner[owner] += loads[key]
            if not already_moving.overlaps(key, key):
                self.keys[owner].append(key)
        self.load = sum(self.by_owner.values())
        self.capacity = sum(owner.capacity for owner in owners.values())
        self.mean = self.load / self.capacity if self.capacity > 0.0 else 0.0

    def utilisation(self, owner: str) -> float:
        return self.by_owner[owner] / max(self.owners[owner].capacity, 1e-9)

    def apply_move(self, source: str, target: str, first: int, last: int) -> None:
        keys = self.keys[source]
        start, end = bisect_left(keys, first), bisect_right(keys, last)
        moved_load = sum(self.loads[key] for key in keys[start:end])
        # The moved keys separate the keys on either side, so no later interval may
        # span them. They aren't added to the keys of the target, so that a plan
        # moves no key twice.
        self.interval_starts[source].add(keys[end] if end < len(keys) else KEY_COUNT)
        del keys[start:end]
        self.by_owner[source] -= moved_load
        self.by_owner[target] += moved_load


def _plan_move(
    plan: _Plan, request_load: float, settings: KeyBalanceSettings, exhausted: set[str]
) -> KeyMove | None:
    sources = [owner for owner in plan.owners if owner not in exhausted]
    targets = [name for name, owner in plan.owners.items() if owner.accepts_keys]
    if not sources or not targets:
        return None
    source = max(sources, key=plan.utilisation)
    target = min(targets, key=plan.utilisation)
    excess = plan.by_owner[source] - plan.mean * plan.owners[source].capacity
    deficit = plan.mean * plan.owners[target].capacity - plan.by_owner[target]
    if not (
        _is_significant(
            plan, source, excess, request_load, settings.tolerance, settings
        )
        or _is_significant(
            plan, target, deficit, request_load, settings.underload_tolerance, settings
        )
    ):
        return None
    interval = (
        _find_interval(plan, source, target, excess, deficit)
        if target != source
        else None
    )
    if interval is None:
        exhausted.add(source)
        return _plan_move(plan, request_load, settings, exhausted)
    first, last = interval
    plan.apply_move(source, target, first, last)
    return KeyMove(first=first, last=last, source=source, target=target)


def _is_significant(
    plan: _Plan,
    owner: str,
    difference: float,
    request_load: float,
    tolerance: float,
    settings: KeyBalanceSettings,
) -> bool:
    """Return whether a difference from the fair load exceeds tolerance and error."""
    fair_load = plan.mean * plan.owners[owner].capacity
    standard_error = sqrt(max(fair_load, request_load) * request_load)
    return difference >= max(
        tolerance * fair_load, settings.significance * standard_error
    )


def _find_interval(
    plan: _Plan, source: str, target: str, excess: float, deficit: float
) -> tuple[int, int] | None:
    """Find the shortest interval of keys with about the load that should move."""
    amount = min(excess, deficit)
    if amount <= 0.0:
        return None
    # A single hot key may exceed the amount, yet its move can reduce the imbalance.
    max_load = max(1.3 * amount, 0.6 * (plan.by_owner[source] - plan.by_owner[target]))
    keys, loads = plan.keys[source], plan.loads
    best: tuple[int, int] | None = None
    start, interval_load = 0, 0.0
    for end, key in enumerate(keys):
        starts_interval = key in plan.interval_starts[source]
        if end > start and (
            starts_interval or _is_separated(plan.ranges[source], keys[end - 1], key)
        ):
            start, interval_load = end, 0.0
        interval_load += loads[key]
        while start < end and interval_load - loads[keys[start]] >= amount:
            interval_load -= loads[keys[start]]
            start += 1
        fits = amount * 0.5 <= interval_load <= max_load
        if fits and (best is None or key - keys[start] < best[1] - best[0]):
            best = (keys[start], key)
    return best


def _is_separated(ranges: Sequence[KeyRange], lower: int, upper: int) -> bool:
    """Return whether two keys of one owner lie in different ranges."""
    index = bisect_right(ranges, upper, key=lambda key_range: key_range.first) - 1
    return ranges[index].first > lower
