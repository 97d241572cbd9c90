"""Choice of the keys to move so that owners bear equal shares of the load."""

from bisect import bisect_left, bisect_right
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import accumulate
from math import sqrt

from plantaincart_core.ownermap import KEYS, KeyRange, OwnerMap

__all__ = [
    "KeyMove",
    "Owner",
    "SpreadSettings",
    "divide_keys",
    "plan_hot_keys",
    "plan_joins",
    "plan_moves",
]


@dataclass(frozen=True, kw_only=True, slots=True)
class Owner:
    """
    An upstream that may own keys.

    Parameters
    ----------
    id : str
        Its identity.
    born : int
        Start of its process in Unix milliseconds.
    capacity : float
        Requests at a time that it can work on at the usual speed.
    receives : bool
        Whether it may be given further keys.
    """

    id: str
    born: int
    capacity: float
    receives: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyMove:
    """
    Neighbouring keys that should get another owner.

    Parameters
    ----------
    first, last : int
        Ends; both belong to the range.
    source : str
        Present owner; empty for none.
    target : str
        Owner to be.
    """

    first: int
    last: int
    source: str
    target: str


@dataclass(frozen=True, kw_only=True, slots=True)
class SpreadSettings:
    """
    How much imbalance is borne before keys move.

    Parameters
    ----------
    tolerance : float
        Part of the mean utilisation by which an owner may exceed it.
    hunger : float
        Part of its fair load that an owner must lack to be given keys although
        nobody else has too much.
    significance : float
        Standard errors by which a difference must stand out from chance.
    max_moves : int
        Moves planned at a time.
    ranges_per_owner : int
        Ranges for each owner above which small ones are joined to a neighbour.
    island_share : float
        Part of an owner's fair load up to which a range is joined to a neighbour.
    max_joins : int
        Ranges joined to a neighbour at a time; more where there are far too many.
    hot_gain : float
        Factor by which a faster owner must exceed the present one to be given a key
        that one owner can't keep up with.
    """

    tolerance: float = 0.3
    hunger: float = 0.6
    significance: float = 2.5
    max_moves: int = 16
    ranges_per_owner: int = 4
    island_share: float = 0.15
    max_joins: int = 2
    hot_gain: float = 1.4


def divide_keys(owners: Sequence[Owner]) -> list[KeyMove]:
    """
    Divide the whole key space in proportion to the owners' capacity.

    Parameters
    ----------
    owners : sequence of Owner
        At least one.

    Returns
    -------
    list of KeyMove
        One for each owner, without a source.

    Examples
    --------
    >>> one, two = (Owner(id=name, born=1, capacity=2.0) for name in "ab")
    >>> [(move.first, move.last, move.target) for move in divide_keys([one, two])]
    [(0, 32767, 'a'), (32768, 65535, 'b')]
    """
    total = sum(owner.capacity for owner in owners)
    sums = list(accumulate(owner.capacity for owner in owners))
    ends = [round(KEYS * part / total) for part in sums]
    starts = [0, *ends[:-1]]
    return [
        KeyMove(first=start, last=end - 1, source="", target=owner.id)
        for owner, start, end in zip(owners, starts, ends, strict=True)
        if end > start
    ]


def plan_moves(
    owner_map: OwnerMap,
    loads: Mapping[int, float],
    owners: Mapping[str, Owner],
    request_load: float,
    settings: SpreadSettings,
    moving: Sequence[KeyRange] = (),
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
    moving : sequence of KeyRange
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


def plan_hot_keys(
    owner_map: OwnerMap,
    loads: Mapping[int, float],
    owners: Mapping[str, Owner],
    settings: SpreadSettings,
    moving: Sequence[KeyRange] = (),
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
    moving : sequence of KeyRange
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
    moves: list[KeyMove] = []
    for name, key in hot.items():
        gain = settings.hot_gain * owners[name].capacity
        if not free or free[-1].capacity < gain:
            continue
        if any(one.first <= key <= one.last for one in moving):
            continue
        target = free.pop().id
        moves.append(KeyMove(first=key, last=key, source=name, target=target))
    return moves


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


class _Plan:
    """Loads of the owners and of their keys while moves are planned."""

    def __init__(
        self,
        owner_map: OwnerMap,
        loads: Mapping[int, float],
        owners: Mapping[str, Owner],
        moving: Sequence[KeyRange],
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
        for key in sorted(loads):
            owner = owner_map.find(key).owner
            if owner not in self.keys:
                continue
            self.by_owner[owner] += loads[key]
            if not any(one.first <= key <= one.last for one in moving):
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
