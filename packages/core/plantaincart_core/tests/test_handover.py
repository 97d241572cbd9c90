"""The rules of the hand-over between coordinators, over all orders of some faults."""

from dataclasses import replace

from plantaincart_core.tests.handoversearch import Bounds, search
from plantaincart_core.tests.handoverstate import HandoverRules
from pytest import mark

LONG = (3, 9)
# The rule that each search needs, and how the hand-over failed without it.
SEARCHES = {
    # A coordinator that few heard went on, and its successor expected its end.
    "electors_needed": Bounds(
        ("store silent for 12 ticks", "a u0 | b c store", "a b u0 | c store")
    ),
    # Reads of an unchanged row prolonged a term that a successor took for ended.
    "only_writes_confirm": Bounds(
        ("store refuses writes of a", "a u0 | b c, store between", "store silent for a")
    ),
    # A call to an earlier process reached a later one, whose grant was forgotten.
    "restarted_upstream_counts": Bounds(
        ("u0 restarts", "u0 restarts again", "answers of u0 lost")
    ),
    # The same with the calls of a predecessor that is valid on the other side.
    "earlier_grants_count_after_restart": Bounds(
        ("a b u0 | c store", "u0 restarts", "key moves")
    ),
    # An entry of another writer was taken for a restart of a live owner.
    "entries_checked": Bounds(("odd entry of u0", "u0 cut off", "u0 restarts")),
    # Processes that were started after an outage didn't expect long grants.
    "long_grants_known": Bounds(
        (
            "store silent for 12 ticks",
            "coordinator stops as planned",
            "b and c restart",
            "u0 cut off",
        ),
        LONG,
    ),
    # The second successor didn't expect the long grants that the first one did.
    "long_grants_passed_on": Bounds(
        (
            "store silent for 12 ticks",
            "coordinator stops as planned",
            "coordinator is killed",
            "u0 cut off",
        ),
        LONG,
    ),
    # A key was released and moved while an earlier coordinator was valid, and the
    # released upstream restarted without its fence.
    "keys_stay_until_earlier_terms_end": Bounds(
        ("a b | c store, upstreams between", "key moves", "u0 restarts")
    ),
}
LEAST_STATES = 1000
# Found as terms that overlap, before two upstreams own the key.
OVERLAPPING = {"electors_needed", "only_writes_confirm"}


@mark.parametrize("rule", SEARCHES)
def test_rules_are_safe(rule):
    result = search(HandoverRules(), SEARCHES[rule])
    assert not result.trace, "\n".join(result.trace)
    assert result.states > LEAST_STATES


@mark.parametrize("rule", SEARCHES)
def test_rule_is_needed(rule):
    result = search(replace(HandoverRules(), **{rule: False}), SEARCHES[rule])
    assert result.trace, f"no violation in {result.states} states"
    expected = "is valid" if rule in OVERLAPPING else "two owners"
    assert expected in result.trace[-1], "\n".join(result.trace)
