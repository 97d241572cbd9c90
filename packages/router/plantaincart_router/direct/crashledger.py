"""Requests that crash upstreams, as all instances together have seen them."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.quarantine import Quarantine
from plantaincart_schema.generated.direct import CrashRecord
from plantaincart_schema.generated.mesh import QuarantineNotice
from plantaincart_schema.generated.settings import DispatchSettings

from plantaincart_router.direct.fingerprint import fingerprint_request
from plantaincart_router.http.message import HttpRequest
from plantaincart_router.log import write_event

__all__ = ["CrashLedger", "Loss"]

# Upstreams that must have ended before a request is refused. Two may end at once under
# a lookup that is sent from one to the other, whatever the cause.
MAX_CRASHES = 3
# Seconds after the last crash until the request is tried once more, and between the
# times at which two instances may do so: until the others know of another crash.
TRIAL_DELAY_S = 10.0
TRIAL_INTERVAL_S = 0.75
# Crashes from which on a request is told to all instances.
MIN_TOLD_CRASHES = 2
# Seconds for which a record is sent to instances that should know the earlier ones; it
# covers a change of the coordinator.
RECENT_S = 5.0
# Seconds for which is passed on that a request isn't the cause.
CLEARED_MEMORY_S = 2.0
# Seconds after a loss in which the announcement of an upstream that has ended vanishes:
# three intervals of at most one second, until the store has removed it, and the time
# until the change is known here.
ANNOUNCEMENT_S = 5.0
MAX_LOSSES = 256
# Maximum number of records in a message; those with the most crashes go first.
MAX_RECORDS = 32


@dataclass(frozen=True, kw_only=True, slots=True)
class Loss:
    """
    A request whose upstream closed the connection without an answer.

    Parameters
    ----------
    fingerprint : str
        Digest of the request's contents.
    request_id : str
        Id of the request, which is logged.
    record : UpstreamRecord
        The upstream.
    closed_at_once : bool
        Whether the connection was new and closed as soon as the request was sent, as
        upstreams with too many connections do.
    """

    fingerprint: str
    request_id: str
    record: UpstreamRecord
    closed_at_once: bool = False

    @property
    def process(self) -> str:
        """Identity of the upstream's process."""
        return f"{self.record.id}#{self.record.born}"


class CrashLedger:
    """
    Counts the upstreams that ended under each request, and refuses the request then.

    Notes
    -----
    Each instance records what it has seen and reports it to the coordinator, which
    tells all instances. A record names the processes that ended, so that it may arrive
    more than once and on any way; a later coordinator learns the records from the
    members. An answer proves that its request wasn't the cause of what was known then,
    at any instance; it names the processes, so that later crashes count.

    Other requests that were running at the same upstreams can't be told from the one
    that ended them. So a request is tried once more after `TRIAL_DELAY_S`, by one
    instance after the other, and refused for long only if it ends another upstream.

    Examples
    --------
    >>> first, second = CrashLedger(), CrashLedger()
    >>> request = HttpRequest("GET", "/a")
    >>> fingerprint = fingerprint_request(request, "desk")
    >>> records = [
    ...     UpstreamRecord(
    ...         id=name, born=5, service="desk", host="127.0.0.1", port=80,
    ...         data_centre="a", slots=2, ready=True, warmup_left_s=0.0)
    ...     for name in ("u1", "u2", "u3")]
    >>> losses = [
    ...     Loss(fingerprint=fingerprint, request_id="1", record=record)
    ...     for record in records]
    >>> for loss in losses[:2]:
    ...     first.record_crash(loss, now=1.0)
    >>> first.remaining_s(request, "desk", rank=0, now=1.0)
    0.0
    >>> second.record_crash(losses[2], now=1.0)
    >>> second.merge(first.list_told(now=1.2, whole=False), now=1.2)
    True
    >>> second.remaining_s(request, "desk", rank=0, now=1.2)
    10.0
    >>> second.remaining_s(request, "desk", rank=1, now=11.2)
    0.75
    """

    def __init__(self) -> None:
        self._quarantine = Quarantine(DispatchSettings(quarantine_strikes=MAX_CRASHES))
        self._cleared: dict[tuple[str, str], tuple[frozenset[str], float]] = {}
        self._losses: deque[tuple[Loss, float]] = deque(maxlen=MAX_LOSSES)

    def record_loss(self, loss: Loss, now: float) -> None:
        """Record a loss of which it isn't known whether the upstream has ended."""
        self._losses.append((loss, now))

    def record_crash(self, loss: Loss, now: float) -> None:
        """Record that an upstream ended while it ran a request."""
        record = loss.record
        write_event(
            "upstream_crashed",
            upstream=record.id,
            born=record.born,
            service=record.service,
            request=loss.request_id,
            fingerprint=loss.fingerprint,
        )
        self._add(record.service, loss.fingerprint, [loss.process], now)

    def record_gone(self, record: UpstreamRecord, now: float) -> None:
        """Record the crashes that the end of a process has caused, if it was one."""
        if not record.ready:
            # A planned end under the last requests.
            return
        process = (record.id, record.born)
        for loss, at in list(self._losses):
            is_same = (loss.record.id, loss.record.born) == process
            if is_same and now - at < ANNOUNCEMENT_S:
                self.record_crash(loss, now)

    def record_answer(self, request: HttpRequest, service: str, now: float) -> None:
        """Record that an upstream answered a request after running it."""
        if not self._quarantine:
            return
        fingerprint = fingerprint_request(request, service)
        strikes = self._quarantine.list_strikes(service, fingerprint)
        self._clear(service, fingerprint, strikes, now)

    def remaining_s(
        self, request: HttpRequest, service: str, rank: int, now: float
    ) -> float:
        """
        Compute for how long a request must be refused.

        Parameters
        ----------
        request : HttpRequest
            The request.
        service : str
            Service that it is sent to.
        rank : int
            Index of this instance among all, from 0.
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Seconds; 0 if the request may be sent.
        """
        quarantine = self._quarantine
        if not quarantine:
            return 0.0
        fingerprint = fingerprint_request(request, service)
        remaining_s = quarantine.remaining_s(service, fingerprint, now)
        crashes = quarantine.count_strikes(service, fingerprint, now)
        if remaining_s > 0.0 and crashes <= MAX_CRASHES:
            delay_s = TRIAL_DELAY_S + rank * TRIAL_INTERVAL_S
            elapsed_s = quarantine.settings.quarantine_s - remaining_s
            remaining_s = min(remaining_s, max(0.0, delay_s - elapsed_s))
        return round(remaining_s, 3)

    def is_suspect(self, request: HttpRequest, service: str, now: float) -> bool:
        """Whether several upstreams have ended under a request."""
        if not self._quarantine:
            return False
        fingerprint = fingerprint_request(request, service)
        crashes = self._quarantine.count_strikes(service, fingerprint, now)
        return crashes >= MIN_TOLD_CRASHES

    def merge(self, records: Iterable[CrashRecord], now: float) -> bool:
        """
        Add the records of another instance.

        Parameters
        ----------
        records : iterable of CrashRecord
            Records of a report or of a notice.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether a request must be refused from now on, or for much longer.
        """
        has_begun = False
        for record in records:
            if record.upstreams:
                has_begun |= self._add(
                    record.service, record.fingerprint, record.upstreams, now
                )
            else:
                # Earlier builds name none.
                cleared = frozenset(record.cleared) or self._quarantine.list_strikes(
                    record.service, record.fingerprint
                )
                self._clear(record.service, record.fingerprint, cleared, now)
        return has_begun

    def list_reported(self, now: float, whole: bool) -> list[CrashRecord]:
        """
        List the records for the coordinator.

        Parameters
        ----------
        now : float
            Present time in seconds.
        whole : bool
            Whether the coordinator may not know the earlier ones.
        """
        return self._list(now, whole, 1)

    def list_told(self, now: float, whole: bool) -> list[CrashRecord]:
        """
        List the records for a member.

        Parameters
        ----------
        now : float
            Present time in seconds.
        whole : bool
            Whether the member may not know the earlier ones.
        """
        return self._list(now, whole, MIN_TOLD_CRASHES)

    def _list(self, now: float, whole: bool, min_crashes: int) -> list[CrashRecord]:
        if not self._quarantine:
            return []
        notices = self._quarantine.list_notices(now, inf if whole else RECENT_S)
        told = [notice for notice in notices if len(notice.upstreams) >= min_crashes]
        told.sort(key=lambda notice: len(notice.upstreams), reverse=True)
        records = [
            CrashRecord(
                service=notice.service,
                fingerprint=notice.fingerprint,
                upstreams=notice.upstreams,
            )
            for notice in told
        ]
        cleared = [
            CrashRecord(
                service=service,
                fingerprint=fingerprint,
                upstreams=[],
                cleared=sorted(upstreams),
            )
            for (service, fingerprint), (upstreams, at) in self._cleared.items()
            if now - at < CLEARED_MEMORY_S
        ]
        return (cleared + records)[:MAX_RECORDS]

    def _add(
        self, service: str, fingerprint: str, upstreams: list[str], now: float
    ) -> bool:
        quarantine = self._quarantine
        was_refused = quarantine.is_quarantined(service, fingerprint, now)
        crashes_before = quarantine.count_strikes(service, fingerprint, now)
        notice = QuarantineNotice(
            service=service, fingerprint=fingerprint, upstreams=upstreams
        )
        if not quarantine.merge(notice, now):
            return False
        crashes = quarantine.count_strikes(service, fingerprint, now)
        if was_refused:
            # Others may try it once more as well until they know that it failed.
            return crashes_before <= MAX_CRASHES < crashes
        if not quarantine.is_quarantined(service, fingerprint, now):
            return False
        write_event(
            "request_quarantined",
            service=service,
            fingerprint=fingerprint,
            crashes=crashes,
            seconds=quarantine.settings.quarantine_s,
        )
        return True

    def _clear(
        self, service: str, fingerprint: str, upstreams: frozenset[str], now: float
    ) -> None:
        identity = (service, fingerprint)
        self._cleared = {
            name: (cleared, at)
            for name, (cleared, at) in self._cleared.items()
            if now - at < CLEARED_MEMORY_S
        }
        # What is known already isn't passed on, or it would go round for ever.
        if not self._quarantine.clear_strikes(service, fingerprint, upstreams, now):
            return
        earlier, _ = self._cleared.get(identity, (frozenset(), now))
        self._cleared[identity] = earlier | upstreams, now
        write_event("request_cleared", service=service, fingerprint=fingerprint)
