"""Grants of keys, their renewals, and until when an upstream may hold keys."""

from asyncio import Lock, Task, create_task, sleep, timeout
from collections.abc import Callable
from time import monotonic

from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.ownermap import KeyRange

from plantaincart_router.direct.interface import (
    GrantCalls,
    GrantRefusedError,
    UpstreamDisplacedError,
)
from plantaincart_router.direct.settings import CoordinationSettings
from plantaincart_router.exception import ExchangeError
from plantaincart_router.log import write_event

__all__ = ["Granter"]

# Seconds between looks for grants that are due.
TICK_S = 0.1
# Renewals a second above which grants are renewed less often; each takes about 0.1 ms
# of processor time and 0.5 kB.
RENEWALS_PER_S = 300.0
# Longest time between renewals, as a part of the hold.
RENEW_SHARE = 0.4
# First and longest pause in seconds before a call that failed is made again.
RETRY_PAUSE_S = 0.15
LONGEST_PAUSE_S = 0.6


class Granter:
    """
    Makes grant and release calls, and renews the grants that stand.

    Parameters
    ----------
    calls : GrantCalls
        Calls to upstreams.
    settings : CoordinationSettings
        Times.
    max_hold_s : float
        Longest time in seconds that upstreams accept.

    Attributes
    ----------
    unrenewed : list of KeyRange
        Standing grants that weren't renewed; they need a new fencing token.
    displaced_upstreams : list of UpstreamRecord
        Upstreams whose address another process has.

    Notes
    -----
    `grant_expiry` is the latest time at which an upstream may still hold keys by any
    call made here. Only calls whose bytes may have arrived count for it.
    """

    def __init__(
        self, calls: GrantCalls, settings: CoordinationSettings, max_hold_s: float
    ) -> None:
        self._calls = calls
        self._settings = settings
        self._standing: dict[tuple[str, int, int], tuple[UpstreamRecord, KeyRange]] = {}
        self._due: dict[tuple[str, int, int], float] = {}
        self._tasks: dict[tuple[str, int, int], Task[None]] = {}
        self._grant_expiries: dict[tuple[str, int], float] = {}
        self._failures: dict[tuple[str, int], int] = {}
        self._locks: dict[tuple[str, int], Lock] = {}
        self.unrenewed: list[KeyRange] = []
        self.displaced_upstreams: list[UpstreamRecord] = []
        self.grant_duration_s = min(settings.hold_s, max_hold_s)
        self.enabled = True

    def grant_expiry(self, upstream: str, born: int) -> float:
        """Return the time after which an upstream holds nothing without new calls."""
        return self._grant_expiries.get((upstream, born), 0.0)

    def extend_grant_expiry(self, upstream: str, born: int, until: float) -> None:
        """Note that an upstream may hold keys by the calls of another instance."""
        known = self._grant_expiries.get((upstream, born), 0.0)
        self._grant_expiries[upstream, born] = max(known, until)

    def is_failing(self, upstream: str, born: int) -> bool:
        """Whether the last calls to an upstream brought no answer."""
        return self._failures.get((upstream, born), 0) > 1

    def keep_renewing(
        self, service: str, record: UpstreamRecord, keys: KeyRange
    ) -> None:
        """Renew a grant from now on."""
        name = (service, keys.first, keys.last)
        self._standing[name] = (record, keys)
        self._due[name] = 0.0

    def stop_renewing(self, service: str, first: int, last: int) -> None:
        """Renew no grant that shares keys with a range any more."""
        for name in [
            name
            for name in self._standing
            if name[0] == service and name[1] <= last and name[2] >= first
        ]:
            del self._standing[name]
            del self._due[name]

    def cancel_renewals(self) -> None:
        """Renew nothing any more."""
        self._standing.clear()
        self._due.clear()
        for task in self._tasks.values():
            task.cancel()

    async def grant(
        self,
        record: UpstreamRecord,
        keys: KeyRange,
        handover: str = "",
        renewal: bool = False,
        stands: Callable[[], bool] | None = None,
    ) -> bool:
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
        renewal : bool
            Whether the upstream is known to hold the keys already.
        stands : callable, optional
            Says whether the keys are still meant for this upstream. A call may wait
            behind others for seconds while the upstream doesn't answer.

        Returns
        -------
        bool
            Whether the upstream holds the keys.

        Raises
        ------
        GrantRefusedError
            If it refused.
        """
        hold_s = self.grant_duration_s
        who = (record.id, record.born)
        before = self.grant_expiry(*who)
        longest = hold_s * (1.0 + self._settings.clock_drift)
        margin = self._settings.call_timeout_s + self._settings.hold_margin_s
        try:
            # One call at a time, so that all go over the same connection.
            async with self._locks.setdefault(who, Lock()):
                if not self.enabled or (stands is not None and not stands()):
                    return False
                before = self.grant_expiry(*who)
                self.extend_grant_expiry(*who, monotonic() + longest + margin)
                await self._calls.grant(record, keys, hold_s, handover, renewal)
        except UpstreamDisplacedError:
            # Its process has ended, and with it all that it held.
            self._grant_expiries[who] = 0.0
            self.displaced_upstreams.append(record)
            raise
        except ExchangeError as error:
            if not error.may_have_started:
                self._grant_expiries[who] = before
            self._failures[who] = self._failures.get(who, 0) + 1
            if self._failures[who] in (1, 2):
                write_event(
                    "grant_failed",
                    upstream=record.id,
                    first=keys.first,
                    last=keys.last,
                    fence=keys.fence,
                    error=str(error),
                )
            return False
        self._failures.pop(who, None)
        return True

    async def release(self, record: UpstreamRecord, keys: KeyRange) -> str | None:
        """
        Take keys back, as often as it takes until they are free.

        Parameters
        ----------
        record : UpstreamRecord
            Their holder.
        keys : KeyRange
            Keys with the fencing token of the next grant.

        Returns
        -------
        str or None
            Handover; None if the holder didn't answer before its hold had ended.
        """
        pause_s = RETRY_PAUSE_S
        while self.enabled:
            try:
                async with timeout(self._limit_release(record)):
                    return await self._calls.release(record, keys)
            except (ExchangeError, TimeoutError) as error:
                write_event(
                    "release_failed",
                    upstream=record.id,
                    first=keys.first,
                    last=keys.last,
                    fence=keys.fence,
                    error=str(error) or "hold ended",
                )
            left_s = self.grant_expiry(record.id, record.born) - monotonic()
            if left_s <= 0.0:
                return None
            await sleep(min(pause_s, left_s))
            pause_s = min(LONGEST_PAUSE_S, pause_s * 2.0)
        return None

    def _limit_release(self, record: UpstreamRecord) -> float | None:
        """Return how long a release may take: to the end of the hold, if it's known."""
        grant_expiry = self._grant_expiries.get((record.id, record.born))
        if grant_expiry is None:
            return None
        return max(grant_expiry - monotonic(), self._settings.call_timeout_s)

    async def renew(self) -> None:
        """Renew the standing grants until cancelled."""
        while True:
            now = monotonic()
            if self.enabled:
                for name, due in list(self._due.items()):
                    if due <= now and name not in self._tasks:
                        self._start(name, now)
            await sleep(TICK_S)

    def _start(self, name: tuple[str, int, int], now: float) -> None:
        self._due[name] = now + self._choose_renew_s()
        record, keys = self._standing[name]
        task = create_task(self._renew_one(name, record, keys))
        self._tasks[name] = task
        task.add_done_callback(lambda _: self._tasks.pop(name, None))

    def _choose_renew_s(self) -> float:
        """Renew less often where there are many grants, but twice in each hold."""
        wanted_s = max(self._settings.renew_s, len(self._due) / RENEWALS_PER_S)
        return min(wanted_s, RENEW_SHARE * self.grant_duration_s)

    async def _renew_one(
        self, name: tuple[str, int, int], record: UpstreamRecord, keys: KeyRange
    ) -> None:
        try:
            held = await self.grant(
                record, keys, renewal=True, stands=lambda: self._stands(name, keys)
            )
        except GrantRefusedError as error:
            write_event(
                "renewal_refused",
                upstream=record.id,
                first=keys.first,
                last=keys.last,
                fence=keys.fence,
                error=str(error),
            )
            held = False
        if not held and self._stands(name, keys):
            self.unrenewed.append(keys)

    def _stands(self, name: tuple[str, int, int], keys: KeyRange) -> bool:
        return self._standing.get(name, (None, None))[1] == keys
