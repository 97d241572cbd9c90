"""Freeing keys at their earlier holders and granting them to the next."""

from asyncio import gather, sleep
from collections.abc import Callable, Iterable
from dataclasses import replace
from time import monotonic

from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.ownermap import KeyRange

from plantaincart_router.direct.granter import Granter
from plantaincart_router.direct.holder import UpstreamRegistry
from plantaincart_router.direct.interface import GrantRefusedError
from plantaincart_router.log import write_event

__all__ = ["GRANT_RETRY_DELAY_S", "KeyTransfer"]

GRANT_RETRY_DELAY_S = 0.1
# Attempts to grant keys to a new owner before another one is chosen.
GRANT_ATTEMPTS = 5
# Seconds that a release is taken to last before any was measured, and the part of a
# new measurement in the mean.
RELEASE_GUESS_S = 0.4
RELEASE_WEIGHT = 0.1


class KeyTransfer:
    """
    Carries decisions of one service out at the upstreams.

    Parameters
    ----------
    granter : Granter
        Calls to upstreams.
    registry : UpstreamRegistry
        Where they are reached.
    """

    def __init__(self, granter: Granter, registry: UpstreamRegistry) -> None:
        self._granter = granter
        self._registry = registry
        self._release_s = RELEASE_GUESS_S

    def estimate_free_in_s(self, held: Iterable[KeyRange]) -> float:
        """
        Estimate the seconds until earlier holders no longer hold keys.

        Parameters
        ----------
        held : iterable of KeyRange
            Keys with their holders.

        Returns
        -------
        float
            Seconds; the usual time of a release, or until the hold of an upstream that
            doesn't answer ends.
        """
        return max((self._estimate_one(one) for one in held), default=0.0)

    def _estimate_one(self, held: KeyRange) -> float:
        if not held.owner:
            return 0.0
        who = (held.owner, held.born)
        present = self._registry.find_announced(*who) is not None
        if present and not self._granter.is_failing(*who):
            return self._release_s
        return max(self._granter.grant_expiry(*who) - monotonic(), 0.0)

    async def move(self, keys: KeyRange, held: Iterable[KeyRange]) -> bool:
        """
        Free keys at their earlier holders, then grant them to the new one.

        Parameters
        ----------
        keys : KeyRange
            Keys with the new owner and its fencing token.
        held : iterable of KeyRange
            The same keys with their earlier holders.

        Returns
        -------
        bool
            Whether the new owner has them.
        """
        tokens = await gather(*(self._free(one, keys) for one in held))
        handover = next((token for token in tokens if token), "")
        record = self._registry.find_announced(keys.owner, keys.born)
        return record is not None and await self._grant(record, keys, handover)

    async def _free(self, held: KeyRange, keys: KeyRange) -> str:
        who = (held.owner, held.born)
        same = who == (keys.owner, keys.born)
        if not held.owner or same or self._registry.has_restarted(*who):
            return ""
        record = self._registry.find(*who)
        if record is not None:
            part = replace(keys, first=held.first, last=held.last)
            began = monotonic()
            token = await self._granter.release(record, part)
            if token is not None:
                spent_s = monotonic() - began
                self._release_s += RELEASE_WEIGHT * (spent_s - self._release_s)
            return token or ""
        left_s = self._granter.grant_expiry(*who) - monotonic()
        if left_s > 0.0:
            await sleep(left_s)
        return ""

    async def _grant(
        self, record: UpstreamRecord, keys: KeyRange, handover: str
    ) -> bool:
        for _ in range(GRANT_ATTEMPTS):
            if not self._granter.enabled:
                return False
            held = await self.grant_once(record, keys, handover)
            if held is not None:
                return held
            await sleep(GRANT_RETRY_DELAY_S)
        return False

    async def grant_once(
        self,
        record: UpstreamRecord,
        keys: KeyRange,
        handover: str = "",
        stands: Callable[[], bool] | None = None,
    ) -> bool | None:
        """
        Grant keys once.

        Parameters
        ----------
        record : UpstreamRecord
            Upstream to call.
        keys : KeyRange
            Keys and their fencing token.
        handover : str
            From the last holder; empty for none.
        stands : callable, optional
            Says whether the keys are still meant for this upstream.

        Returns
        -------
        bool or None
            Whether it has the keys; None if it didn't answer.
        """
        try:
            held = await self._granter.grant(record, keys, handover, stands=stands)
            return held or None
        except GrantRefusedError as error:
            write_event(
                "grant_refused",
                upstream=keys.owner,
                first=keys.first,
                last=keys.last,
                fence=keys.fence,
                error=str(error),
            )
            return False
