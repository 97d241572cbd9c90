"""What a successor, and the coordinator before it, count on."""

from math import inf
from time import monotonic

import pytest
from plantaincart_router.direct.following import Following
from plantaincart_router.direct.previousterm import PreviousTerm
from plantaincart_router.direct.termrow import COORDINATOR_KEY, COORDINATOR_TABLE
from plantaincart_router.direct.termwatch import TermWatch
from plantaincart_router.direct.tests.fakes import FAST, MemoryStore
from plantaincart_router.direct.tests.test_term import RenewedTerm
from plantaincart_schema.codec import decode_json, encode_json
from plantaincart_schema.generated.direct import CoordinatorRow

ELECTORS = ["r1", "r2", "r3", "r4", "r5"]


def make_row(**fields):
    fields = {"electors": ELECTORS, "earlier_ended": True, **fields}
    return CoordinatorRow(
        holder="r1", address="a:1", epoch=3, beat=7, vacant=False, **fields
    )


def make_previous_term(**fields):
    """Return the term of a coordinator that renewed its row long ago."""
    renewed_at = monotonic() - 2 * FAST.confirmed_s
    return PreviousTerm(FAST, make_row(**fields), renewed_at, FAST.hold_s), renewed_at


def test_term_has_not_ended_while_most_electors_may_follow():
    previous_term, renewed_at = make_previous_term()
    for member in ("r4", "r5", "x1", "x2"):
        previous_term.record_left(member, 10.0)
    assert previous_term.find_end() >= renewed_at + FAST.offline_s


def test_term_ends_when_the_last_of_enough_electors_stops_to_follow():
    """Guards against an end that is counted from when electors last heard."""
    previous_term, _ = make_previous_term()
    now = monotonic()
    for member in ("r3", "r4", "r5"):
        previous_term.record_left(member, 0.0)
    assert previous_term.find_end() >= now + FAST.followed_s
    assert previous_term.find_end() <= monotonic() + FAST.followed_s


def test_later_process_of_an_elector_does_not_take_back_its_word():
    previous_term, _ = make_previous_term()
    for member in ("r3", "r4", "r5"):
        previous_term.record_left(member, 10.0)
    end = previous_term.find_end()
    previous_term.record_left("r5", 0.0)
    assert previous_term.find_end() == end


@pytest.mark.parametrize("earlier_ended", [True, False])
def test_word_of_the_holder_ends_its_own_term_only(earlier_ended):
    """Guards against a chain of takeovers that forgets the first coordinator."""
    previous_term, renewed_at = make_previous_term(earlier_ended=earlier_ended)
    previous_term.record_left("r1", 0.0)
    offline_until = renewed_at + FAST.offline_s
    assert (previous_term.find_end() < offline_until) == earlier_ended


def test_members_of_earlier_builds_say_nothing():
    previous_term, renewed_at = make_previous_term()
    for member in ELECTORS[1:]:
        previous_term.record_left(member, -1.0)
    assert previous_term.find_end() >= renewed_at + FAST.offline_s


async def test_claim_keeps_the_electors_and_that_earlier_terms_may_go_on():
    """Guards against a successor of a successor that hears other electors."""
    store = MemoryStore()
    store.put(COORDINATOR_TABLE, COORDINATOR_KEY, encode_json(make_row()))
    watch = TermWatch(FAST, store.client("r2"))
    watch.apply(await watch.read())
    row = await watch.claim("r2", "a:2", 0)
    assert row.electors == ELECTORS
    assert not row.earlier_ended
    stored = store.rows[COORDINATOR_TABLE, COORDINATOR_KEY]
    assert decode_json(stored.value, CoordinatorRow) == row


@pytest.mark.parametrize("have_ended", [True, False])
async def test_electors_change_after_earlier_terms_have_ended(have_ended):
    term_run = RenewedTerm()
    term_run.task.cancel()
    term = term_run.term
    term._have_earlier_ended = lambda: have_ended
    term_run.report("r2", -1.0)
    row = term._make_renewed_row()
    assert row.earlier_ended == have_ended
    assert (row.electors == ["r1", "r2"]) == have_ended
    term_run.end("over")


def make_following():
    following = Following(make_row(), 4)
    following.incarnations = dict.fromkeys([*ELECTORS, "x1", "x2", "x3"], "i")
    return following


def test_electors_of_a_row_that_may_have_been_written_must_follow():
    """Guards against a write without an answer that took effect."""
    following = make_following()
    for member in ("r2", "r3"):
        following.record(member, "i", 9.0)
    assert following.find_followed_until("r1") == 9.0
    following.record_attempt(make_row(electors=["r1", "x1", "x2", "x3"]))
    assert following.find_followed_until("r1") == 0.0
    for member in ("x1", "x2"):
        following.record(member, "i", 8.0)
    assert following.find_followed_until("r1") == 8.0
    following.record_found(make_row(electors=["r1", "r2", "r3"]), 5)
    assert following.find_followed_until("r1") == 9.0


def test_late_read_of_an_earlier_row_is_ignored():
    following = make_following()
    following.record_found(make_row(electors=["r1", "x1", "x2"]), 6)
    following.record_found(make_row(), 5)
    assert following.count_electors() == 3


def test_term_without_electors_is_never_followed():
    following = Following(make_row(electors=[]), 4)
    assert following.find_followed_until("r1") == -inf
