"""Transfer of keys: release by the previous owners, grant to the next one."""

from asyncio import gather, sleep
from collections.abc import Callable, Iterable
from dataclasses import replace
from time import monotonic

from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.ownermap import KeyRange

from plantaincart_router.direct.granter import Granter
from plantaincart_router.direct.interface import GrantRefusedError
from plantaincart_router.direct.upstreamregistry import UpstreamRegistry
from plantaincart_router.log import write_event

__all__ = ["GRANT_RETRY_DELAY_S", "KeyTransfer"]

GRANT_RETRY_DELAY_S = 0.1
# Attempts to grant keys to a new owner before another one is chosen.
GRANT_ATTEMPTS = 5
# Estimated duration in seconds of a release before the first measurement, and the
# weight of a new measurement in the mean.
INITIAL_RELEASE_S = 0.4
RELEASE_SMOOTHING = 0.1


class KeyTransfer:
    """
    Makes the calls that move keys of one service between upstreams.

    Parameters
    ----------
    granter : Granter
        Makes grant and release calls.
    registry : UpstreamRegistry
        Addresses of the upstreams.
    next_fencing_token : callable
        Returns a fencing token that is higher than all previous ones.
    """

    def __init__(
        self,
        granter: Granter,
        registry: UpstreamRegistry,
        next_fencing_token: Callable[[], int],
    ) -> None:
        self._granter = granter
        self._registry = registry
        self._next_fencing_token = next_fencing_token
        self._mean_release_s = INITIAL_RELEASE_S

    def estimate_free_in_s(self, sources: Iterable[KeyRange]) -> float:
        """
        Estimate the seconds until the previous owners no longer own their keys.

        Parameters
        ----------
        sources : iterable of KeyRange
            Keys with their previous owners.

        Returns
        -------
        float
            Mean duration of a release, or the time until the grants of an upstream that
            doesn't answer expire.
        """
        return max(
            (self._estimate_release_s(source) for source in sources), default=0.0
        )

    def _estimate_release_s(self, source: KeyRange) -> float:
        if not source.owner:
            return 0.0
        process = (source.owner, source.born)
        if self._have_grants_ended(process):
            return 0.0
        later = self._registry.find_later(*process)
        record = later or self._registry.find_announced(*process)
        if record is not None and not self._granter.is_failing(record.id, record.born):
            return self._mean_release_s
        return max(self._granter.estimate_grant_expiry(*process) - monotonic(), 0.0)

    def _have_grants_ended(self, process: tuple[str, int]) -> bool:
        """
        Whether a later process is known that can't hold what was granted to one.

        Calls say which id they are for, not which process. A later process at the same
        address may have accepted those that were made before it was announced.
        """
        later = self._registry.find_later(*process)
        if later is None:
            return False
        record = self._registry.find(*process)
        is_elsewhere = record is not None and (
            (record.host, record.port) != (later.host, later.port)
        )
        return is_elsewhere or self._granter.grant_expiry(*process) <= monotonic()

    async def move(
        self, key_range: KeyRange, sources: Iterable[KeyRange]
    ) -> KeyRange | None:
        """
        Release keys from their previous owners, then grant them to the new one.

        Parameters
        ----------
        key_range : KeyRange
            Keys with the new owner and its fencing token.
        sources : iterable of KeyRange
            The same keys with their previous owners.

        Returns
        -------
        KeyRange or None
            The keys with the token that the new owner confirmed; None if it didn't.
        """
        answers = await gather(
            *(self._release(source, key_range) for source in sources)
        )
        handover = next((answer for answer in answers if answer), "")
        record = self._registry.find_announced(key_range.owner, key_range.born)
        if record is None:
            return None
        return await self._grant_with_retries(record, key_range, handover)

    async def _release(self, source: KeyRange, key_range: KeyRange) -> str:
        process = (source.owner, source.born)
        is_kept = source.owner == key_range.owner and source.born <= key_range.born
        if not source.owner or is_kept or self._have_grants_ended(process):
            return ""
        await self._granter.wait_for_earlier_end()
        record = self._registry.find_later(*process) or self._registry.find(*process)
        if record is not None:
            part = replace(key_range, first=source.first, last=source.last)
            started_at = monotonic()
            handover = await self._granter.release(record, part, source.born)
            if handover is not None:
                elapsed_s = monotonic() - started_at
                self._mean_release_s += RELEASE_SMOOTHING * (
                    elapsed_s - self._mean_release_s
                )
            return handover or ""
        await self._granter.wait_for_expiry(*process)
        return ""

    async def _grant_with_retries(
        self, record: UpstreamRecord, key_range: KeyRange, handover: str
    ) -> KeyRange | None:
        for _ in range(GRANT_ATTEMPTS):
            if not self._granter.enabled:
                return None
            granted = await self.grant_once(record, key_range, handover)
            if granted is not None:
                return key_range if granted else None
            # A call without an answer may have reached an earlier process than the
            # next one, and no two processes may get the same token.
            key_range = replace(key_range, fence=self._next_fencing_token())
            await sleep(GRANT_RETRY_DELAY_S)
        return None

    async def grant_once(
        self,
        record: UpstreamRecord,
        key_range: KeyRange,
        handover: str = "",
        is_current: Callable[[], bool] | None = None,
    ) -> bool | None:
        """
        Grant keys once.

        Parameters
        ----------
        record : UpstreamRecord
            Upstream to call.
        key_range : KeyRange
            Keys and their fencing token.
        handover : str
            Handover data of the previous owner; empty for none.
        is_current : callable, optional
            Returns whether the keys are still assigned to this upstream.

        Returns
        -------
        bool or None
            Whether it accepted the grant; None if it didn't answer.
        """
        try:
            granted = await self._granter.grant(
                record, key_range, handover, is_current=is_current
            )
            return granted or None
        except GrantRefusedError as error:
            write_event(
                "grant_refused",
                upstream=key_range.owner,
                first=key_range.first,
                last=key_range.last,
                fence=key_range.fence,
                error=str(error),
            )
            return False
        except Exception as error:
            write_event("grant_failed", upstream=record.id, error=repr(error))
            return None
