"""Permits to send requests to upstreams that have named a limit."""

from asyncio import Future, get_running_loop, wait
from bisect import insort
from collections import deque
from collections.abc import Callable, Iterable
from copy import copy
from dataclasses import dataclass, field
from itertools import count
from time import monotonic, time
from typing import Self

from plantaincart_core.directory import UpstreamDirectory, UpstreamRecord
from plantaincart_core.namedlimit import NamedLimit, NamedLimits, Process
from plantaincart_schema.generated.direct import LimitReport, Quota

from plantaincart_router.log import write_event

__all__ = ["UpstreamQuotas"]

# Seconds after which a permit that wasn't used lapses, since the coordinator that
# issued it may have been replaced.
PERMIT_S = 1.0
# Seconds without news of a limit from the coordinator after which instances divide it
# among themselves.
SILENCE_S = 1.0
# Seconds until the first permit, while the coordinator hasn't said anything yet.
FIRST_WAIT_S = 0.3
POLL_INTERVAL_S = 0.1
# Seconds for which it is passed on that a limit has ended.
ENDED_MEMORY_S = 5.0


@dataclass(order=True, slots=True)
class _Waiter:
    """A request that waits for a permit; the most urgent and then oldest goes first."""

    priority: int
    number: int
    future: Future[None] = field(compare=False)


class UpstreamQuotas:
    """
    Limits that upstreams name, and this instance's permits for requests to them.

    Parameters
    ----------
    directory : UpstreamDirectory
        Announced upstreams; limits of others aren't kept.

    Attributes
    ----------
    limits : NamedLimits
        Limits in force.
    members : int
        Number of instances.
    rank : int or None
        Index of this instance among them; None if it isn't known.
    on_wait : callable
        Called when a request begins to wait for a permit.

    Notes
    -----
    The coordinator divides each limit by permits for single requests
    (`plantaincart_core.permit`). While it is silent, or of a build that knows no
    limits, the instances take turns by the time of day: each may send one request in
    every turn of its own. A clock that is wrong costs one request at a time.
    """

    def __init__(self, directory: UpstreamDirectory) -> None:
        self._directory = directory
        self.limits = NamedLimits()
        self.members = 1
        self.rank: int | None = None
        self.on_wait: Callable[[], None] = _ignore
        self._known_since: dict[Process, float] = {}
        self._permits: dict[Process, deque[float]] = {}
        self._waiters: dict[Process, list[_Waiter]] = {}
        self._told_waits: dict[Process, tuple[float, float, int]] = {}
        self._last_turns: dict[Process, int] = {}
        self._numbers = count()

    def copy(self) -> Self:
        """Return a copy whose permits are taken apart; nobody hears of its waiters."""
        loop = get_running_loop()
        copied = copy(self)
        copied.on_wait = _ignore
        copied._permits = {name: deque(held) for name, held in self._permits.items()}
        copied._last_turns = dict(self._last_turns)
        copied._waiters = {
            process: [
                _Waiter(waiter.priority, waiter.number, loop.create_future())
                for waiter in waiters
            ]
            for process, waiters in self._waiters.items()
        }
        copied._numbers = count()
        return copied

    def record_answer(
        self,
        record: UpstreamRecord,
        limit_per_s: float | None,
        sent_at: float,
        now: float,
    ) -> None:
        """
        Record what an answer says about its upstream's limit.

        Parameters
        ----------
        record : UpstreamRecord
            The upstream.
        limit_per_s : float or None
            Limit in requests per second; None if the answer names none.
        sent_at : float
            Time in seconds at which the request was sent.
        now : float
            Present time in seconds.
        """
        heard_at = sent_at if limit_per_s is None else now
        statement = NamedLimit(per_s=limit_per_s, heard_at=heard_at)
        self._record((record.id, record.born), statement, now)

    def merge(self, reports: Iterable[LimitReport | Quota], now: float) -> bool:
        """
        Add what other instances have heard.

        Parameters
        ----------
        reports : iterable of LimitReport or Quota
            Limits as reported by a member or by the coordinator.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether a limit in force has changed.
        """
        has_changed = False
        for report in reports:
            record = self._directory.get(report.upstream)
            if record is not None and record.born == report.born:
                heard_at = now - report.age_s
                statement = NamedLimit(per_s=report.per_s, heard_at=heard_at)
                process = (report.upstream, report.born)
                has_changed |= self._record(process, statement, now)
        return has_changed

    def apply(self, quotas: Iterable[Quota], now: float) -> None:
        """
        Apply the quotas in a notice of the coordinator.

        Parameters
        ----------
        quotas : iterable of Quota
            Limits with permits for this instance.
        now : float
            Present time in seconds.
        """
        quotas = list(quotas)
        self.merge(quotas, now)
        for quota in quotas:
            process = (quota.upstream, quota.born)
            if self.limits.find(process) is None:
                continue
            for _ in range(quota.permits):
                self._hand_out(process, now)
            waiting = len(self._waiters.get(process, ()))
            self._told_waits[process] = (quota.wait_s, now, waiting)

    async def acquire(
        self, record: UpstreamRecord, priority: int, timeout_s: float
    ) -> bool:
        """
        Wait until a request may be sent to an upstream.

        Parameters
        ----------
        record : UpstreamRecord
            The upstream.
        priority : int
            Rank of the request's route; 0 is the most urgent.
        timeout_s : float
            Maximum time in seconds.

        Returns
        -------
        bool
            Whether it may be sent.
        """
        process = (record.id, record.born)
        if self._may_send(process, monotonic()):
            return True
        deadline_at = monotonic() + timeout_s
        future: Future[None] = get_running_loop().create_future()
        waiter = _Waiter(priority, next(self._numbers), future)
        insort(self._waiters.setdefault(process, []), waiter)
        self.on_wait()
        try:
            while (left_s := deadline_at - monotonic()) > 0.0:
                await wait([future], timeout=min(left_s, POLL_INTERVAL_S))
                if future.done() or self._may_send(process, monotonic()):
                    return True
            return False
        finally:
            self._remove_waiter(process, waiter)

    def give_back(self, record: UpstreamRecord) -> None:
        """Return the permit of a request that isn't sent to the upstream."""
        process = (record.id, record.born)
        if self.limits.find(process) is not None:
            self._hand_out(process, monotonic())

    def estimate_wait_s(self, record: UpstreamRecord, now: float) -> float:
        """
        Estimate how long a request would wait for a permit.

        Parameters
        ----------
        record : UpstreamRecord
            The upstream.
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Seconds; 0 if the upstream names no limit.
        """
        process = (record.id, record.born)
        per_s = self.limits.find(process)
        if per_s is None or self._has_permit(process, now):
            return 0.0
        waiting = len(self._waiters.get(process, ()))
        wait_s, told_at, counted = self._told_waits.get(process, (0.0, 0.0, 0))
        if self._is_divided(process, now):
            added_s = max(0, waiting - counted) / per_s
            return max(0.0, wait_s - (now - told_at)) + added_s
        if now - self._known_since.get(process, now) < SILENCE_S:
            return FIRST_WAIT_S + waiting / per_s
        if self.rank is None:
            return self.members / per_s
        turns = (self.rank - int(time() * per_s)) % self.members
        return (turns + waiting * self.members) / per_s

    def list_reports(self, now: float) -> list[LimitReport]:
        """Return the limits for the coordinator, with the requests that wait here."""
        if not len(self.limits):
            return []
        statements = self.limits.list_statements(now - ENDED_MEMORY_S)
        return [
            LimitReport(
                upstream=upstream,
                born=born,
                per_s=statement.per_s,
                age_s=round(max(0.0, now - statement.heard_at), 3),
                waiting=len(self._waiters.get((upstream, born), ())),
            )
            for (upstream, born), statement in statements.items()
        ]

    def remove(self, record: UpstreamRecord) -> None:
        """Remove all state of a process that has ended."""
        process = (record.id, record.born)
        self.limits.remove(process)
        self._forget(process)

    def _record(self, process: Process, statement: NamedLimit, now: float) -> bool:
        if not self.limits.record(process, statement):
            return False
        write_event("upstream_limit", upstream=process[0], per_s=statement.per_s)
        if statement.per_s is None:
            self._forget(process)
        else:
            self._known_since.setdefault(process, now)
        return True

    def _forget(self, process: Process) -> None:
        """Discard the permits of an upstream without a limit."""
        for by_process in (
            self._known_since,
            self._permits,
            self._told_waits,
            self._last_turns,
        ):
            by_process.pop(process, None)
        for waiter in self._waiters.pop(process, []):
            if not waiter.future.done():
                waiter.future.set_result(None)

    def _is_divided(self, process: Process, now: float) -> bool:
        """Whether the coordinator divides the limit of an upstream."""
        _, told_at, _ = self._told_waits.get(process, (0.0, float("-inf"), 0))
        return now - told_at < SILENCE_S

    def _may_send(self, process: Process, now: float) -> bool:
        per_s = self.limits.find(process)
        if per_s is None:
            return True
        if self._has_permit(process, now):
            self._permits[process].popleft()
            return True
        is_new = now - self._known_since.get(process, now) < SILENCE_S
        if is_new or self._is_divided(process, now) or self.rank is None:
            return False
        turn = int(time() * per_s)
        if turn % self.members != self.rank or turn == self._last_turns.get(process):
            return False
        self._last_turns[process] = turn
        return True

    def _has_permit(self, process: Process, now: float) -> bool:
        permits = self._permits.get(process)
        while permits and permits[0] <= now:
            permits.popleft()
        return bool(permits)

    def _hand_out(self, process: Process, now: float) -> None:
        for waiter in self._waiters.get(process, ()):
            if not waiter.future.done():
                waiter.future.set_result(None)
                return
        self._permits.setdefault(process, deque()).append(now + PERMIT_S)

    def _remove_waiter(self, process: Process, waiter: _Waiter) -> None:
        waiters = self._waiters.get(process, [])
        if waiter in waiters:
            waiters.remove(waiter)
        if not waiters:
            self._waiters.pop(process, None)


def _ignore() -> None:
    pass
