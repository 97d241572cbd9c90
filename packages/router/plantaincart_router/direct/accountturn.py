"""Turns of client accounts among requests that wait for room."""

from time import monotonic

from plantaincart_core.accountfairness import AccountTurns
from plantaincart_core.verdict import Refusal

from plantaincart_router.direct.admissioncontrol import EntryPolicy
from plantaincart_router.direct.call import Call

__all__ = ["AccountTurnPolicy"]


class AccountTurnPolicy(EntryPolicy):
    """
    Gives each request of an account a turn, by which it waits among those of its rank.

    Notes
    -----
    It refuses nothing. Requests without an account take no turn and go first in their
    rank; where a configuration names accounts, these are the ones of public routes.
    """

    def __init__(self) -> None:
        self._turns = AccountTurns()

    def check(self, call: Call, now: float) -> None:
        """Take a turn, whether the request will have to wait or not."""
        if call.account is not None:
            call.turn_key = self._turns.take_turn(call.account, call.rank, now)

    def record_end(self, call: Call, refusal: Refusal | None) -> None:
        """Count an answered request, and return the turn of one that was refused."""
        if call.turn_key is None:
            return
        if refusal is None:
            self._turns.record_served(call.turn_key, monotonic())
        else:
            self._turns.give_back(call.turn_key)

    def choose_turn(self, call: Call) -> float:
        """Return the order of a request among those of its rank."""
        return 0.0 if call.turn_key is None else call.turn_key.turn
