"""Grants that a coordinator makes for longer when it is stopped in an outage."""

from asyncio import sleep
from math import inf
from time import monotonic

from plantaincart_router.direct.granter import Granter
from plantaincart_router.direct.previousterm import PreviousTerm
from plantaincart_router.direct.settings import CoordinationSettings
from plantaincart_router.direct.term import Term
from plantaincart_router.log import write_event

__all__ = ["LongGrants"]

# Seconds between two looks at whether the store is still silent.
CHECK_INTERVAL_S = 0.1


class LongGrants:
    """
    Prolongs grants, and tells whether long ones may be valid.

    Parameters
    ----------
    times : CoordinationSettings
        Times of the coordinator.
    max_hold_s : float
        Longest grant duration in seconds that upstreams accept.
    granter : Granter
        Makes the grants, of the normal duration at first.
    previous_term : PreviousTerm
        Tells whether earlier coordinators can have made long grants.

    Notes
    -----
    No other instance can take over while the store is silent for all, so grants must
    stay valid for as long as possible after this instance has stopped. A successor
    tells from the clock in the coordinator's row whether its predecessor can have made
    long grants. Once the store has answered, the clock of later rows doesn't show it
    any more, so they say it themselves until those grants have expired.
    """

    def __init__(
        self,
        times: CoordinationSettings,
        max_hold_s: float,
        granter: Granter,
        previous_term: PreviousTerm,
    ) -> None:
        self._times = times
        self._max_hold_s = max_hold_s
        self._granter = granter
        self._previous_term = previous_term
        self._normal_s = granter.grant_duration_s
        self._valid_until = -inf

    async def run(self, term: Term) -> None:
        """Prolong grants while the term outlasts a long silence of the store."""
        while True:
            if term.outlasts_silence and not self._are_made:
                self._granter.grant_duration_s = self._max_hold_s
                write_event(
                    "grants_prolonged", epoch=term.epoch, hold_s=self._max_hold_s
                )
            await sleep(CHECK_INTERVAL_S)

    def end(self) -> None:
        """Make grants of the normal duration again."""
        if not self._are_made:
            return
        times = self._times
        self._granter.grant_duration_s = self._normal_s
        duration_s = self._max_hold_s * (1.0 + times.clock_drift)
        effect_s = times.call_timeout_s + duration_s + times.hold_margin_s
        self._valid_until = monotonic() + effect_s

    def may_be_valid(self) -> bool:
        """Whether long grants of this term or of earlier ones may be valid."""
        is_own = self._are_made or monotonic() < self._valid_until
        return is_own or self._previous_term.may_have_long_grants()

    @property
    def _are_made(self) -> bool:
        return self._granter.grant_duration_s > self._normal_s
