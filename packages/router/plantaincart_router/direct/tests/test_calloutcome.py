"""Whether failed calls show that an instance is cut off from all upstreams."""

from time import monotonic

import pytest
from plantaincart_router.direct import calloutcome
from plantaincart_router.direct.calloutcome import (
    FAILURE_MEMORY_S,
    MIN_FAILING_UPSTREAMS,
    CallOutcomes,
)

OWNERS = [(f"u{number}", 1) for number in range(20)]
CUT_OFF_S = 1.0


def record_failures(outcomes, processes, count=2):
    started_at = monotonic()
    for process in processes:
        for _ in range(count):
            outcomes.record_start(process)
            outcomes.record_failure(process, started_at)
    return started_at


def test_failures_of_all_upstreams_show_a_cut_after_some_time():
    outcomes = CallOutcomes(CUT_OFF_S)
    started_at = record_failures(outcomes, OWNERS)
    assert outcomes.seems_cut_off(OWNERS)
    assert not outcomes.is_cut_off(OWNERS, started_at + CUT_OFF_S / 2)
    assert outcomes.is_cut_off(OWNERS, started_at + CUT_OFF_S)
    outcomes.record_answer()
    assert not outcomes.is_cut_off(OWNERS, started_at + CUT_OFF_S)


def test_one_failure_of_each_upstream_shows_no_cut():
    """All calls in progress fail at once after a pause of the process."""
    outcomes = CallOutcomes(CUT_OFF_S)
    started_at = record_failures(outcomes, OWNERS, count=1)
    assert not outcomes.is_cut_off(OWNERS, started_at + 2 * CUT_OFF_S)


@pytest.mark.parametrize("failing", [MIN_FAILING_UPSTREAMS, 15])
def test_upstreams_that_were_not_called_meanwhile_count_as_reachable(failing):
    """Some upstreams crash just after the grants of the others were renewed."""
    outcomes = CallOutcomes(CUT_OFF_S)
    started_at = record_failures(outcomes, OWNERS[:failing])
    assert not outcomes.is_cut_off(OWNERS, started_at + 2 * CUT_OFF_S)


def test_fewer_upstreams_may_have_failed_themselves():
    outcomes = CallOutcomes(CUT_OFF_S)
    owners = OWNERS[: MIN_FAILING_UPSTREAMS - 1]
    started_at = record_failures(outcomes, owners, count=5)
    assert not outcomes.is_cut_off(owners, started_at + 2 * CUT_OFF_S)


def test_failed_calls_to_upstreams_that_are_gone_are_forgotten(monkeypatch):
    outcomes = CallOutcomes(CUT_OFF_S)
    later = record_failures(outcomes, OWNERS) + FAILURE_MEMORY_S + 0.1
    assert outcomes.seems_cut_off([])
    monkeypatch.setattr(calloutcome, "monotonic", lambda: later)
    assert not outcomes.seems_cut_off([])
