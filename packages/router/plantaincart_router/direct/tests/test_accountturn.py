"""Accounts of one rank wait by turns, not by who sends most."""

from types import SimpleNamespace

from plantaincart_core.account import ClientAccount
from plantaincart_core.rank import Rank
from plantaincart_core.verdict import Reason, refuse_not_run
from plantaincart_router.direct.accountturn import AccountTurnPolicy

HOT = ClientAccount(name="hot", rate_per_s=10.0)
SMALL = ClientAccount(name="small", rate_per_s=10.0)


def make_call(account):
    return SimpleNamespace(account=account, rank=Rank(0, 1), turn_key=None)


def begin(policy, account):
    call = make_call(account)
    policy.check(call, 0.0)
    return call


def test_small_account_waits_before_the_rest_of_a_hot_one():
    """One account sends twenty times its usual, another a single request."""
    policy = AccountTurnPolicy()
    hot = [begin(policy, HOT) for _ in range(20)]
    small = begin(policy, SMALL)
    assert (
        sum(policy.choose_turn(call) < policy.choose_turn(small) for call in hot) <= 1
    )


def test_refused_requests_cost_an_account_no_turn():
    """An account's callers were refused and retry at once."""
    policy = AccountTurnPolicy()
    first = begin(policy, HOT)
    turn = policy.choose_turn(first)
    for _ in range(5):
        call = begin(policy, HOT)
        policy.record_end(call, refuse_not_run(Reason.QUEUE_FULL, "full"))
    policy.record_end(first, None)
    assert policy.choose_turn(begin(policy, HOT)) <= turn + 1.0 / HOT.rate_per_s


def test_requests_without_an_account_take_no_turn():
    policy = AccountTurnPolicy()
    call = begin(policy, None)
    policy.record_end(call, None)
    assert call.turn_key is None and policy.choose_turn(call) == 0.0
