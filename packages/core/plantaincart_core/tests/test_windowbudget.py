"""Retries by rank while the budget is short."""

import pytest
from plantaincart_core.rank import Rank
from plantaincart_core.windowbudget import WindowRetryBudget

HIGH, LOW = Rank(0, 0), Rank(0, 2)


def play(budget, seconds, high_per_s, low_per_s, high_share, low_share, start=0.0):
    """Let shares of the requests ask for retries; return those allowed by rank."""
    allowed = {HIGH: 0, LOW: 0}
    due = {HIGH: 0.0, LOW: 0.0}
    steps = [
        (start + at / rate, rank, share)
        for rank, rate, share in (
            (HIGH, high_per_s, high_share),
            (LOW, low_per_s, low_share),
        )
        for at in range(int(seconds * rate))
    ]
    for now, rank, share in sorted(steps):
        budget.record_request(now, rank)
        due[rank] += share
        while due[rank] >= 1.0:
            due[rank] -= 1.0
            allowed[rank] += budget.spend(now, 1, rank)
    return allowed


def test_urgent_requests_keep_their_retries_while_upstreams_reject_half():
    """Some upstreams reject 55 % for 8 s (pattern srv_grey)."""
    budget = WindowRetryBudget(ratio=0.12, extra=0.0, window_s=10.0)
    play(budget, 10.0, 50, 100, 0.0, 0.0)
    allowed = play(budget, 8.0, 50, 100, 0.3, 0.3, start=10.0)
    assert allowed[HIGH] >= 0.95 * 8 * 50 * 0.3
    assert allowed[LOW] >= 0.2 * sum(allowed.values())
    assert sum(allowed.values()) <= 0.12 * 150 * 10


def test_reserve_is_free_for_others_if_nobody_urgent_needs_it():
    budget = WindowRetryBudget(ratio=0.12, extra=0.0, window_s=10.0)
    play(budget, 10.0, 50, 100, 0.0, 0.0)
    allowed = play(budget, 10.0, 50, 100, 0.0, 0.5, start=10.0)
    assert allowed[LOW] >= 0.9 * 0.12 * 150 * 10


@pytest.mark.parametrize("shares", [(0.3, 0.3), (0.05, 0.9), (1.0, 1.0)])
def test_sum_of_all_ranks_is_within_the_rule(shares):
    """Callers retry at once, three times each (pattern retry_abuse)."""
    budget = WindowRetryBudget(ratio=0.2, extra=6.0, window_s=10.0)
    allowed = play(budget, 10.0, 30, 300, *shares)
    assert sum(allowed.values()) <= 0.2 * 330 * 10 + 6.0


def test_one_rank_has_the_whole_budget():
    budget = WindowRetryBudget(ratio=0.2, extra=0.0, window_s=10.0)
    allowed = play(budget, 10.0, 0.1, 100, 0.0, 1.0)
    assert allowed[LOW] >= 0.19 * 1000
