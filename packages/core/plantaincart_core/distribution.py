"""Assignment of hash slots by load when upstreams join or leave."""

from collections.abc import Mapping, Sequence

from plantaincart_core.utilisation import Utilisation

__all__ = ["distribute_slots"]

# Least load of a slot, as a share of the mean load.
MIN_LOAD_SHARE = 0.1


def distribute_slots(
    slots: Sequence[int],
    loads: Mapping[int, float],
    capacities: Mapping[str, float],
    current: Mapping[int, str],
) -> dict[int, str]:
    """
    Assign unowned slots, and move slots to upstreams that own none, by load.

    Parameters
    ----------
    slots : sequence of int
        Hash slots of the shard.
    loads : mapping of int to float
        Load by slot, in concurrent requests.
    capacities : mapping of str to float
        Effective capacity of each upstream that may own slots; upstreams with
        capacity 0 get none.
    current : mapping of int to str
        Current owner by slot.

    Returns
    -------
    dict of int to str
        New owner by slot; empty if no upstream has capacity.

    Notes
    -----
    Unowned slots are assigned in descending order of load, each to the upstream with
    the lowest utilisation at that point. An upstream that owned no slot receives slots
    until it reaches the mean utilisation; each time the hottest slot is moved whose
    move leaves the target's utilisation at or below that of its source. All other
    slots keep their owner: `assign_slots` balances the number of slots, and would undo
    the moves by load that `plan_balance` has made. A slot's load counts as at least a
    tenth of the mean, and all slots count the same while there is no load.

    Examples
    --------
    >>> distribute_slots(range(3), {0: 0.5, 1: 0.1}, {"a": 2, "b": 2}, {})
    {0: 'a', 1: 'b', 2: 'b'}
    """
    usable = {name: capacity for name, capacity in capacities.items() if capacity > 0}
    if not usable:
        return {}
    effective_loads = _apply_min_load(slots, loads)
    kept = {
        slot: current[slot] for slot in effective_loads if current.get(slot) in usable
    }
    utilisation = Utilisation(effective_loads, kept, usable)
    joined = sorted(usable.keys() - kept.values())
    unowned = effective_loads.keys() - kept.keys()
    for slot in sorted(unowned, key=lambda slot: (-effective_loads[slot], slot)):
        utilisation.move(slot, utilisation.rank(effective_loads[slot])[0])
    for upstream in joined:
        _fill_to_mean(utilisation, upstream)
    return dict(sorted(utilisation.owners.items()))


def _apply_min_load(
    slots: Sequence[int], loads: Mapping[int, float]
) -> dict[int, float]:
    mean = sum(loads.get(slot, 0.0) for slot in slots) / max(1, len(slots))
    min_load = mean * MIN_LOAD_SHARE if mean > 0 else 1.0
    return {slot: max(min_load, loads.get(slot, 0.0)) for slot in slots}


def _fill_to_mean(utilisation: Utilisation, target: str) -> None:
    mean = utilisation.compute_mean()
    while utilisation.compute(target) < mean:
        sources = [name for name in reversed(utilisation.rank()) if name != target]
        hottest = [utilisation.find_fitting(source, target) for source in sources]
        candidates = [slot for slot in hottest if slot is not None]
        if not candidates:
            return
        utilisation.move(max(candidates, key=utilisation.loads.__getitem__), target)
