"""Grant and release calls, renewal of grants, and the latest expiry of grants."""

from asyncio import Lock, Task, create_task, sleep, wait
from collections.abc import Callable, Iterable, Iterator
from time import monotonic

from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.ownermap import KeyRange

from plantaincart_router.direct.calloutcome import CallOutcomes
from plantaincart_router.direct.interface import (
    GrantCalls,
    GrantRefusedError,
    UpstreamDisplacedError,
)
from plantaincart_router.direct.previousterm import PreviousTerm
from plantaincart_router.direct.settings import CoordinationSettings
from plantaincart_router.exception import AnswerMalformedError, ExchangeError
from plantaincart_router.log import write_event

__all__ = ["Granter"]

# Seconds between checks for grants that are due for renewal.
RENEWAL_CHECK_INTERVAL_S = 0.1
# Renewals per second above which the renewal interval grows. A renewal takes about
# 0.1 ms of processor time and 0.5 kB.
RENEWALS_PER_S = 300.0
# Longest renewal interval, as a fraction of the grant duration.
MAX_RENEWAL_INTERVAL_SHARE = 0.4
# First and longest delay in seconds before a failed release is retried.
FIRST_RETRY_DELAY_S = 0.15
MAX_RETRY_DELAY_S = 0.6
# Longest time in seconds between two looks at when earlier grants expire.
EXPIRY_CHECK_INTERVAL_S = 0.1
# Seconds for which a failing process isn't called again, for each failed call in a row,
# and at most.
PAUSE_S_PER_FAILURE = 0.4
MAX_PAUSE_S = 8.0


class Granter:
    """
    Makes grant and release calls, and renews grants.

    Parameters
    ----------
    calls : GrantCalls
        Transport of the calls to upstreams.
    settings : CoordinationSettings
        Grant duration, renewal interval and timeouts.
    max_hold_s : float
        Longest grant duration in seconds that upstreams accept.
    is_term_valid : callable, optional
        Returns whether no other instance can have become the coordinator.

    Attributes
    ----------
    unrenewed : list of KeyRange
        Grants whose renewal failed, so that they need a new fencing token.
    displaced_upstreams : list of UpstreamRecord
        Upstreams whose address is used by another process.
    refusing_processes : set of (str, int)
        Upstream processes that have refused to renew grants with the latest token, as
        they have seen a higher one.
    on_refused : callable
        Called when a process is added to them.
    outcomes : CallOutcomes
        Whether upstreams answer the calls.

    Notes
    -----
    `grant_expiry` is the latest time at which a grant may still be valid at an
    upstream, made here or by earlier coordinators. Calls of which no byte can have
    arrived don't extend it.
    """

    def __init__(
        self,
        calls: GrantCalls,
        settings: CoordinationSettings,
        max_hold_s: float,
        is_term_valid: Callable[[], bool] = lambda: True,
    ) -> None:
        self._calls = calls
        self._settings = settings
        self._renewed_grants: dict[
            tuple[str, int, int], tuple[UpstreamRecord, KeyRange]
        ] = {}
        self._renewal_due_at: dict[tuple[str, int, int], float] = {}
        self._tasks: dict[tuple[str, int, int], Task[None]] = {}
        self._grant_expiries: dict[tuple[str, int], float] = {}
        self._earlier_owners: set[tuple[str, int]] = set()
        self._previous_term: PreviousTerm | None = None
        self._failure_counts: dict[tuple[str, int], int] = {}
        self._failed_at: dict[tuple[str, int], float] = {}
        self._locks: dict[tuple[str, int], Lock] = {}
        self.unrenewed: list[KeyRange] = []
        self.refusing_processes: set[tuple[str, int]] = set()
        self.on_refused: Callable[[], None] = _ignore
        self.displaced_upstreams: list[UpstreamRecord] = []
        self.outcomes = CallOutcomes(settings.cut_off_s)
        self.grant_duration_s = min(settings.hold_s, max_hold_s)
        self._is_term_valid = is_term_valid
        self.enabled = True

    @property
    def may_call(self) -> bool:
        """Whether calls to upstreams may be made now."""
        return self.enabled and self._is_term_valid()

    def pop_leaving(self) -> list[UpstreamRecord]:
        """Return the upstreams whose answers since the last call said they leave."""
        return self._calls.pop_leaving()

    @property
    def has_failing(self) -> bool:
        """
        Whether the last two calls to a process failed that is still called.

        Owners are called within the duration of a grant.
        """
        since = monotonic() - self._settings.hold_s
        return any(
            count > 1 and self._failed_at[process] >= since
            for process, count in self._failure_counts.items()
        )

    @property
    def connected_at(self) -> float:
        """Time in seconds at which an upstream last answered on a new connection."""
        return self._calls.connected_at

    @property
    def is_cut_off(self) -> bool:
        """Whether no upstream has answered for `cut_off_s`, though many were called."""
        return self.outcomes.is_cut_off(self._list_owners(), monotonic())

    @property
    def seems_cut_off(self) -> bool:
        """Whether calls to nearly all upstreams have failed since the last answer."""
        return self.outcomes.seems_cut_off(self._list_owners())

    def expect_earlier_grants(
        self, processes: Iterable[tuple[str, int]], previous_term: PreviousTerm
    ) -> None:
        """
        Expect that earlier coordinators have granted keys to some processes.

        Parameters
        ----------
        processes : iterable of (str, int)
            Upstream id and process start.
        previous_term : PreviousTerm
            Tells when these grants expire.
        """
        self._earlier_owners.update(processes)
        self._previous_term = previous_term

    def grant_expiry(self, upstream: str, born: int) -> float:
        """Return the time by which all grants to a process have expired."""
        own = self._grant_expiries.get((upstream, born), 0.0)
        if self._previous_term is None or (upstream, born) not in self._earlier_owners:
            return own
        earlier = self._previous_term.find_last_expiry()
        if earlier <= monotonic():
            self._previous_term = None
        return max(own, earlier)

    def estimate_grant_expiry(self, upstream: str, born: int) -> float:
        """Return the same if members report soon that earlier terms have ended."""
        own = self._grant_expiries.get((upstream, born), 0.0)
        if self._previous_term is None or (upstream, born) not in self._earlier_owners:
            return own
        return max(own, self._previous_term.estimate_last_expiry())

    def extend_grant_expiry(self, upstream: str, born: int, expires_at: float) -> None:
        """Record that grants to a process may be valid until a time."""
        previous = self._grant_expiries.get((upstream, born), 0.0)
        self._grant_expiries[upstream, born] = max(previous, expires_at)

    @property
    def have_earlier_ended(self) -> bool:
        """Whether all earlier terms have ended, so that keys may be moved."""
        return self._previous_term is None or self._previous_term.has_ended()

    async def wait_for_earlier_end(self) -> None:
        """
        Wait until all earlier terms have ended.

        An owner that has released keys refuses the grants of earlier coordinators, but
        a later process of it would accept them.
        """
        while True:
            if self.have_earlier_ended:
                return
            await sleep(EXPIRY_CHECK_INTERVAL_S)

    async def wait_for_expiry(self, upstream: str, born: int) -> None:
        """Wait until all grants to a process have expired."""
        while True:
            remaining_s = self.grant_expiry(upstream, born) - monotonic()
            if remaining_s <= 0.0:
                return
            await sleep(min(remaining_s, EXPIRY_CHECK_INTERVAL_S))

    def is_failing(self, upstream: str, born: int) -> bool:
        """Whether the last two calls to a process failed."""
        return self._failure_counts.get((upstream, born), 0) > 1

    def may_be_tried(self, upstream: str, born: int, now: float) -> bool:
        """
        Whether a failing process may be called again to learn if it answers.

        A process without grants isn't called otherwise, and would count as failing for
        as long as it lives. The pause grows with the number of failed calls.
        """
        process = (upstream, born)
        failures = self._failure_counts.get(process, 0)
        pause_s = min(MAX_PAUSE_S, PAUSE_S_PER_FAILURE * failures)
        return failures > 1 and now - self._failed_at[process] >= pause_s

    def keep_renewing(
        self, service: str, record: UpstreamRecord, key_range: KeyRange
    ) -> None:
        """Renew a grant regularly from now on."""
        name = (service, key_range.first, key_range.last)
        self._renewed_grants[name] = (record, key_range)
        self._renewal_due_at[name] = 0.0

    def stop_renewing(self, service: str, first: int, last: int) -> None:
        """Stop renewing all grants that overlap a range."""
        for name in [
            name
            for name in self._renewed_grants
            if name[0] == service and name[1] <= last and name[2] >= first
        ]:
            del self._renewed_grants[name]
            del self._renewal_due_at[name]

    def cancel_renewals(self) -> None:
        """Stop renewing all grants."""
        self._renewed_grants.clear()
        self._renewal_due_at.clear()
        for task in self._tasks.values():
            task.cancel()

    async def grant(
        self,
        record: UpstreamRecord,
        key_range: KeyRange,
        handover: str = "",
        renewal: bool = False,
        is_current: Callable[[], bool] | None = None,
    ) -> bool:
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
        renewal : bool
            Whether this instance has granted the same keys to the upstream before.
        is_current : callable, optional
            Returns whether the keys are still assigned to this upstream. It is checked
            before the call is queued behind others and before its bytes are written,
            since an upstream may take long to answer those, or to accept a connection.

        Returns
        -------
        bool
            Whether the upstream confirmed the grant.

        Raises
        ------
        GrantRefusedError
            If the upstream refused the grant.
        """
        process = (record.id, record.born)
        previous_expiry = self._grant_expiries.get(process, 0.0)
        margin_s = self._settings.call_timeout_s + self._settings.hold_margin_s

        def may_grant() -> bool:
            return self.may_call and (is_current is None or is_current())

        try:
            # Calls to one process are serialised, so that they share one connection.
            async with self._locks.setdefault(process, Lock()):
                if not may_grant():
                    return False
                # It may have changed while this call was queued.
                duration_s = self.grant_duration_s
                max_duration_s = duration_s * (1.0 + self._settings.clock_drift)
                previous_expiry = self._grant_expiries.get(process, 0.0)

                def begin_write() -> None:
                    if not may_grant():
                        raise _OutdatedError
                    self.extend_grant_expiry(
                        *process, monotonic() + max_duration_s + margin_s
                    )

                await self._call_upstream(
                    record, key_range, duration_s, handover, renewal, begin_write
                )
        except _OutdatedError:
            return False
        except UpstreamDisplacedError:
            # The process has ended, so its grants are void.
            self._grant_expiries[process] = 0.0
            self._earlier_owners.discard(process)
            self.displaced_upstreams.append(record)
            raise
        except ExchangeError as error:
            if not error.may_have_started:
                self._grant_expiries[process] = previous_expiry
            self._failure_counts[process] = self._failure_counts.get(process, 0) + 1
            self._failed_at[process] = monotonic()
            if self._failure_counts[process] in (1, 2):
                write_event(
                    "grant_failed",
                    upstream=record.id,
                    first=key_range.first,
                    last=key_range.last,
                    fence=key_range.fence,
                    error=str(error),
                )
            return False
        self._failure_counts.pop(process, None)
        self._failed_at.pop(process, None)
        return True

    async def _call_upstream(
        self,
        record: UpstreamRecord,
        key_range: KeyRange,
        duration_s: float,
        handover: str,
        renewal: bool,
        begin_write: Callable[[], None],
    ) -> None:
        """Make a grant call, and record whether the upstream answers."""
        process, started_at = (record.id, record.born), monotonic()
        self.outcomes.record_start(process)
        try:
            await self._calls.grant(
                record, key_range, duration_s, handover, renewal, begin_write
            )
        except (GrantRefusedError, AnswerMalformedError):
            self.outcomes.record_answer()
            raise
        except ExchangeError:
            self.outcomes.record_failure(process, started_at)
            raise
        self.outcomes.record_answer()

    def _list_owners(self) -> Iterator[tuple[str, int]]:
        for record, _ in self._renewed_grants.values():
            yield record.id, record.born

    async def release(
        self, record: UpstreamRecord, key_range: KeyRange, born: int | None = None
    ) -> str | None:
        """
        Release keys from their owner; retry until they are free.

        Parameters
        ----------
        record : UpstreamRecord
            Owner of the keys.
        key_range : KeyRange
            Keys with the fencing token of their next grant.
        born : int, optional
            Start of the earlier process to which the keys were granted, if the owner is
            a later one that may have accepted these grants.

        Returns
        -------
        str or None
            Handover data; None if the owner didn't answer before its grants expired.
        """
        delay_s = FIRST_RETRY_DELAY_S
        process = (record.id, record.born if born is None else born)
        while self.enabled:
            try:
                if self.may_call:
                    handover = await self._release_before_expiry(
                        record, key_range, process
                    )
                    self.outcomes.record_answer()
                    return handover
            except Exception as error:
                # Whatever the error, the keys are free once the grants have expired.
                write_event(
                    "release_failed",
                    upstream=record.id,
                    first=key_range.first,
                    last=key_range.last,
                    fence=key_range.fence,
                    error=(
                        "grant expired"
                        if isinstance(error, TimeoutError)
                        else str(error) or repr(error)
                    ),
                )
            remaining_s = self.grant_expiry(*process) - monotonic()
            if remaining_s <= 0.0:
                return None
            await sleep(min(delay_s, remaining_s))
            delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2.0)
        return None

    async def _release_before_expiry(
        self, record: UpstreamRecord, key_range: KeyRange, process: tuple[str, int]
    ) -> str:
        """Make one release call; give it up when the process's grants have expired."""
        started_at = monotonic()
        is_granted = process in self._grant_expiries or process in self._earlier_owners
        call = create_task(self._calls.release(record, key_range))
        try:
            while not call.done():
                ends_at = max(
                    self.grant_expiry(*process),
                    started_at + self._settings.call_timeout_s,
                )
                if is_granted and monotonic() >= ends_at:
                    raise TimeoutError
                await wait({call}, timeout=EXPIRY_CHECK_INTERVAL_S)
            return call.result()
        finally:
            call.cancel()

    async def renew(self) -> None:
        """Renew grants that are due until cancelled."""
        while True:
            now = monotonic()
            if self.may_call:
                for name, due_at in list(self._renewal_due_at.items()):
                    if due_at <= now and name not in self._tasks:
                        self._start_renewal(name, now)
            await sleep(RENEWAL_CHECK_INTERVAL_S)

    def _start_renewal(self, name: tuple[str, int, int], now: float) -> None:
        self._renewal_due_at[name] = now + self._choose_renewal_interval_s()
        record, key_range = self._renewed_grants[name]
        task = create_task(self._renew_grant(name, record, key_range))
        self._tasks[name] = task
        task.add_done_callback(lambda _: self._tasks.pop(name, None))

    def _choose_renewal_interval_s(self) -> float:
        """Renew less often with many grants, but twice within each grant duration."""
        interval_s = max(
            self._settings.renew_s, len(self._renewal_due_at) / RENEWALS_PER_S
        )
        return min(interval_s, MAX_RENEWAL_INTERVAL_SHARE * self.grant_duration_s)

    async def _renew_grant(
        self, name: tuple[str, int, int], record: UpstreamRecord, key_range: KeyRange
    ) -> None:
        try:
            granted = await self.grant(
                record,
                key_range,
                renewal=True,
                is_current=lambda: self._is_renewed(name, key_range),
            )
        except GrantRefusedError as error:
            write_event(
                "renewal_refused",
                upstream=record.id,
                first=key_range.first,
                last=key_range.last,
                fence=key_range.fence,
                error=str(error),
            )
            granted = False
            is_displaced = isinstance(error, UpstreamDisplacedError)
            if not is_displaced and self._is_renewed(name, key_range):
                self.refusing_processes.add((record.id, record.born))
                self.on_refused()
        except Exception as error:
            write_event("renewal_failed", upstream=record.id, error=repr(error))
            granted = False
        if not granted and self._is_renewed(name, key_range):
            self.unrenewed.append(key_range)

    def _is_renewed(self, name: tuple[str, int, int], key_range: KeyRange) -> bool:
        return self._renewed_grants.get(name, (None, None))[1] == key_range


class _OutdatedError(Exception):
    """The keys or the term have changed before a call was written."""


def _ignore() -> None:
    pass
