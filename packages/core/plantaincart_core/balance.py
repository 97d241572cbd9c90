"""Moves of hash slots that rebalance the load of upstreams."""

from collections.abc import Mapping
from dataclasses import dataclass

from plantaincart_schema.generated.settings import BalanceSettings

from plantaincart_core.utilisation import Utilisation

__all__ = ["SlotMove", "plan_balance"]

# No slots are moved away from an upstream at or below this utilisation.
IDLE_UTILISATION = 0.01


@dataclass(frozen=True, kw_only=True)
class SlotMove:
    """
    Change of one slot's owner.

    Parameters
    ----------
    slot : int
        The hash slot.
    source : str
        Upstream that owns the slot; empty if unowned.
    target : str
        Upstream that is to own the slot; empty for none.
    """

    slot: int
    source: str
    target: str


def plan_balance(
    loads: Mapping[int, float],
    owners: Mapping[int, str],
    capacities: Mapping[str, float],
    settings: BalanceSettings,
) -> list[SlotMove]:
    """
    Plan the next moves of slots away from overloaded upstreams.

    Parameters
    ----------
    loads : mapping of int to float
        Load of each slot: mean number of its requests in progress.
    owners : mapping of int to str
        Owner of each slot.
    capacities : mapping of str to float
        Effective concurrency of each upstream; lower than declared for a straggler.
        Upstreams that are missing here keep their slots and get no others.
    settings : BalanceSettings
        Hysteresis and maximum number of moves.

    Returns
    -------
    list of SlotMove
        At most `moves_per_interval` moves, each of a different slot.

    Notes
    -----
    Utilisation is load divided by capacity. The source is an upstream whose
    utilisation exceeds the mean by more than `hysteresis`, the target the least
    utilised one. The slot that brings the two utilisations closest together is
    moved, provided that the target's doesn't exceed the source's afterwards. If
    every slot of the source has too much load for that, for example a single slot
    above the mean, the slot with the least load is moved only if the higher
    utilisation of the pair falls by the factor ``1 + hysteresis`` or more. Each move
    thus lowers the higher utilisation of a pair, and equal loads are never moved
    back.

    Examples
    --------
    >>> plan_balance(
    ...     {0: 0.9, 1: 0.5, 2: 0.2},
    ...     {0: "a", 1: "a", 2: "b"},
    ...     {"a": 2.0, "b": 2.0},
    ...     BalanceSettings(),
    ... )
    [SlotMove(slot=1, source='a', target='b')]
    """
    state = Utilisation(loads, owners, capacities)
    threshold = max(state.compute_mean() * (1 + settings.hysteresis), IDLE_UTILISATION)
    moves: list[SlotMove] = []
    while len(moves) < settings.moves_per_interval:
        move = _find_move(state, threshold, settings.hysteresis)
        if move is None:
            break
        state.move(move.slot, move.target)
        moves.append(move)
    return moves


def _find_move(
    state: Utilisation, threshold: float, hysteresis: float
) -> SlotMove | None:
    ranked = state.rank()
    for source in reversed(ranked[1:]):
        if state.compute(source) <= threshold:
            return None
        slot = _choose_slot(state, source, ranked[0], hysteresis)
        if slot is not None:
            return SlotMove(slot=slot, source=source, target=ranked[0])
    return None


def _choose_slot(
    state: Utilisation, source: str, target: str, hysteresis: float
) -> int | None:
    slot = state.find_fitting(source, target)
    if slot is not None:
        return slot
    least_loaded = state.find_coolest(source)
    if least_loaded is None:
        return None
    target_utilisation = state.compute(target, state.loads[least_loaded])
    return (
        least_loaded
        if target_utilisation * (1 + hysteresis) <= state.compute(source)
        else None
    )
