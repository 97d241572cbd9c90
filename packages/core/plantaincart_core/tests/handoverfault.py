"""Faults of the model of hand-overs, each a function that changes the state."""

from collections.abc import Callable
from math import inf

from plantaincart_core.tests.handovermodel import (
    LONG_GRANT_SILENCE,
    LONG_HOLD,
    Handover,
)
from plantaincart_core.tests.handoverstate import Upstream

__all__ = ["FAULTS"]

Fault = Callable[[Handover], None]
OUTAGE = "a-store b-store c-store"
OWNER = "a-u0 b-u0 c-u0"


def _block(links: str, kind: str = "cut", ticks: float = inf) -> Fault:
    return lambda state: state.block(links, kind, ticks)


def _restart(*names: str) -> Fault:
    def restart(state: Handover) -> None:
        for name in names:
            state.restart(name)

    return restart


def _restart_upstream(state: Handover) -> None:
    """Start a later process under the same id; its entry is in the store at once."""
    born = state.upstreams["u0"].born + 1
    state.upstreams["u0"] = Upstream(born=born, entry=born)


def _write_odd_entry(state: Handover) -> None:
    if not state.rules.entries_checked:
        state.upstreams["u0"] = state.upstreams["u0"]._replace(entry=99)


def _stop_coordinator(state: Handover) -> None:
    """Stop the last coordinator, if it acts without the store."""
    for name, instance, term in state.list_terms()[-1:]:
        if not term.is_prolonged or not state.is_valid(name, term):
            return
        silence = state.now - instance.store_answered_at
        if silence >= LONG_GRANT_SILENCE or not state.rules.long_grants_known:
            state.grant(name, term, LONG_HOLD)
            for other, follower in state.instances.items():
                follower.knows_long_grants |= state.reaches(name, other)
        state.restart(name, is_up=False)


def _kill_coordinator(state: Handover) -> None:
    for name, _, _ in state.list_terms()[-1:]:
        state.restart(name, is_up=False)


def _move_key(state: Handover) -> None:
    for _, _, term in state.list_terms()[-1:]:
        term.wants_move = True


# Cuts name their sides; the upstreams that aren't named are reached by all.
FAULTS: dict[str, Fault] = {
    "store silent for 12 ticks": _block(OUTAGE, ticks=12),
    "store silent for a": _block("a-store"),
    "store refuses writes of a": _block("a-store", "refuse writes"),
    "u0 cut off": _block(OWNER),
    "answers of u0 lost": _block(OWNER, "lose answers"),
    "a u0 | b c, store between": _block("a-b a-c b-u0 c-u0", ticks=9),
    "a u0 | b c store": _block("a-b a-c a-store b-u0 c-u0"),
    "a b u0 | c store": _block("a-c b-c a-store b-store c-u0"),
    "a b u0 | c store for 9 ticks": _block("a-c b-c a-store b-store c-u0", ticks=9),
    "a b | c store, upstreams between": _block("a-c b-c a-store b-store"),
    "b restarts": _restart("b"),
    "b and c restart": _restart("b", "c"),
    "coordinator stops as planned": _stop_coordinator,
    "coordinator is killed": _kill_coordinator,
    "key moves": _move_key,
    "u0 restarts": _restart_upstream,
    "u0 restarts again": _restart_upstream,
    "odd entry of u0": _write_odd_entry,
}
