"""Assignment of a shard's hash slots to upstreams."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from plantaincart_schema.generated.platform import Assignment

from plantaincart_core.balance import SlotMove, plan_balance
from plantaincart_core.exception import DuplicateOwnerError

__all__ = [
    "SlotMove",
    "assign_slots",
    "decode_assignments",
    "plan_balance",
    "plan_moves",
    "encode_assignments",
]


def assign_slots(
    slots: Sequence[int], capacities: Mapping[str, int], current: Mapping[int, str]
) -> dict[int, str]:
    """
    Assign slots to upstreams by capacity with as few changes of owner as possible.

    Parameters
    ----------
    slots : sequence of int
        Hash slots of the shard.
    capacities : mapping of str to int
        Capacity of each upstream that may own slots; those at 0 get none.
    current : mapping of int to str
        Present owners.

    Returns
    -------
    dict of int to str
        Owner of each slot; empty if no upstream has capacity.

    Notes
    -----
    Each upstream gets its proportional share, rounded down or up. Upstreams that own
    more slots than their rounded-down share are rounded up first, then those with
    the largest remainders; no other rounding leaves more slots with their present
    owners. The result doesn't depend on the order of the arguments' elements.

    Examples
    --------
    >>> assign_slots(range(4), {"a": 1, "b": 1}, {0: "a", 1: "a", 2: "a", 3: "b"})
    {0: 'a', 1: 'a', 2: 'b', 3: 'b'}
    """
    if not any(capacity > 0 for capacity in capacities.values()):
        return {}
    ordered = sorted(slots)
    kept_slots = _list_owned(ordered, capacities, current)
    shares = _compute_shares(len(ordered), capacities, kept_slots)
    owners = {
        slot: name
        for name, owned in kept_slots.items()
        for slot in owned[: shares[name]]
    }
    unassigned = iter([slot for slot in ordered if slot not in owners])
    for name in sorted(shares):
        for _ in range(shares[name] - len(kept_slots[name])):
            owners[next(unassigned)] = name
    return dict(sorted(owners.items()))


def plan_moves(
    current: Mapping[int, str], intended: Mapping[int, str]
) -> list[SlotMove]:
    """
    List the slots whose owner differs between two assignments.

    Parameters
    ----------
    current, intended : mapping of int to str
        Present and intended owner of each slot.

    Returns
    -------
    list of SlotMove
        One move for each slot whose owner changes, by ascending slot.

    Examples
    --------
    >>> plan_moves({1: "a", 2: "a"}, {1: "a", 2: "b"})
    [SlotMove(slot=2, source='a', target='b')]
    """
    return [
        SlotMove(slot=slot, source=current.get(slot, ""), target=intended.get(slot, ""))
        for slot in sorted(current.keys() | intended.keys())
        if current.get(slot, "") != intended.get(slot, "")
    ]


def encode_assignments(owners: Mapping[int, str]) -> list[Assignment]:
    """
    Convert the owners of slots to the assignments stored in a shard's row.

    Parameters
    ----------
    owners : mapping of int to str
        Owner of each slot.

    Returns
    -------
    list of Assignment
        One element for each upstream that owns slots, sorted by name; the slots of
        each are ascending.

    Examples
    --------
    >>> encode_assignments({1: "a", 0: "a"})
    [Assignment(upstream='a', slots=[0, 1])]
    """
    owned: defaultdict[str, list[int]] = defaultdict(list)
    for slot in sorted(owners):
        owned[owners[slot]].append(slot)
    return [Assignment(upstream=name, slots=owned[name]) for name in sorted(owned)]


def decode_assignments(assignments: Iterable[Assignment]) -> dict[int, str]:
    """
    Convert the assignments in a shard's row to the owners of slots.

    Parameters
    ----------
    assignments : iterable of Assignment
        Slots of each upstream.

    Returns
    -------
    dict of int to str
        Owner of each slot, by ascending slot.

    Raises
    ------
    DuplicateOwnerError
        If two upstreams own the same slot.
    """
    owners: dict[int, str] = {}
    for assignment in assignments:
        for slot in assignment.slots:
            if owners.setdefault(slot, assignment.upstream) != assignment.upstream:
                raise DuplicateOwnerError(
                    f"slot {slot}: {owners[slot]} and {assignment.upstream}"
                )
    return dict(sorted(owners.items()))


def _list_owned(
    slots: Sequence[int], capacities: Mapping[str, int], current: Mapping[int, str]
) -> dict[str, list[int]]:
    owned: dict[str, list[int]] = {name: [] for name in sorted(capacities)}
    for slot in slots:
        owner = current.get(slot, "")
        if owner in owned:
            owned[owner].append(slot)
    return owned


def _compute_shares(
    count: int, capacities: Mapping[str, int], owned: Mapping[str, Sequence[int]]
) -> dict[str, int]:
    weights = {name: max(0, capacity) for name, capacity in capacities.items()}
    total = sum(weights.values())
    shares = {name: count * weight // total for name, weight in weights.items()}
    remainders = {name: count * weight % total for name, weight in weights.items()}
    round_up_order = sorted(
        (name for name, remainder in remainders.items() if remainder),
        key=lambda name: (len(owned[name]) <= shares[name], -remainders[name], name),
    )
    for name in round_up_order[: count - sum(shares.values())]:
        shares[name] += 1
    return shares
