"""Search of the model of hand-overs through all orders of faults, breadth first."""

from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass
from itertools import combinations
from sys import argv
from typing import NamedTuple

from plantaincart_core.tests.handoverfault import FAULTS
from plantaincart_core.tests.handovermodel import (
    Handover,
    HandoverError,
    start_handover,
)
from plantaincart_core.tests.handoverstate import HandoverRules

__all__ = ["Bounds", "Result", "search"]


@dataclass(frozen=True)
class Bounds:
    """
    Bounds of a search.

    Parameters
    ----------
    faults : tuple of str
        Names of faults; each occurs once at most, in any order.
    gaps : tuple of int
        Ticks between two faults; those of one tick occur in the order of `faults`.
    horizon : int
        Ticks after the last fault.
    """

    faults: tuple[str, ...]
    gaps: tuple[int, ...] = (1, 3, 9)
    horizon: int = 45


@dataclass(frozen=True)
class Result:
    """Number of states, and the lines of the shortest trace to a violation."""

    states: int
    trace: tuple[str, ...] = ()


@dataclass(frozen=True)
class _Node:
    parent: "_Node | None"
    faults: tuple[str, ...]
    claimant: str | None


class _Found(NamedTuple):
    state: Handover
    left: tuple[str, ...]
    quiet_ticks: int
    node: _Node


def search(rules: HandoverRules, bounds: Bounds) -> Result:
    """Search all states within bounds for a violation."""
    layer = [_Found(start_handover(rules), bounds.faults, 0, _Node(None, (), None))]
    count = 0
    while layer:
        following: dict[object, _Found] = {}
        for found in layer:
            choices = list(_list_choices(bounds, found))
            for number, faults in enumerate(choices, start=1):
                is_last = number == len(choices)
                state = found.state if is_last else found.state.copy()
                left = tuple(name for name in found.left if name not in faults)
                quiet_ticks = 1 if faults else found.quiet_ticks + 1
                child = _Node(found.node, faults, None)
                try:
                    for claimant, new in _advance(state, faults):
                        child = _Node(found.node, faults, claimant)
                        new.end_tick(claimant)
                        key = (new.make_key(), left, quiet_ticks)
                        following[key] = _Found(new, left, quiet_ticks, child)
                except HandoverError as violation:
                    return Result(count, _describe(rules, child, violation))
        layer = list(following.values())
        count += len(layer)
    return Result(count)


def _list_choices(bounds: Bounds, found: _Found) -> Iterator[tuple[str, ...]]:
    """List the sets of faults that may occur next."""
    is_first = found.quiet_ticks == 0
    if is_first or found.quiet_ticks in bounds.gaps:
        for number in range(1, len(found.left) + 1):
            yield from combinations(found.left, number)
    if not is_first and found.quiet_ticks <= bounds.horizon:
        yield ()


def _advance(
    state: Handover, faults: tuple[str, ...]
) -> Iterator[tuple[str | None, Handover]]:
    """Advance by the first part of a tick, once for each instance that may claim."""
    for name in faults:
        FAULTS[name](state)
    claimants = state.begin_tick()
    for claimant in claimants[1:]:
        yield claimant, state.copy()
    yield (claimants[0] if claimants else None), state


def _describe(
    rules: HandoverRules, node: _Node | None, violation: HandoverError
) -> tuple[str, ...]:
    """Replay a trace; return a line for each tick."""
    nodes = []
    while node is not None and node.parent is not None:
        nodes.append(node)
        node = node.parent
    state, lines = start_handover(rules), []
    for step in reversed(nodes):
        lines.extend(f"-- {name}" for name in step.faults)
        for name in step.faults:
            FAULTS[name](state)
        with suppress(HandoverError):
            state.begin_tick()
            state.end_tick(step.claimant)
        lines.append(state.describe())
    return (*lines, str(violation))


def main() -> None:
    """Search all sets of a number of faults, given as the argument."""
    states = searches = 0
    for faults in combinations(FAULTS, int(argv[1])):
        result = search(HandoverRules(), Bounds(faults))
        states, searches = states + result.states, searches + 1
        if result.trace:
            print("\n".join((str(faults), *result.trace)), flush=True)
    print(f"{searches} searches, {states} states")


if __name__ == "__main__":
    main()
