"""Transport of a single attempt to an upstream."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from time import monotonic

from plantaincart_core.directory import UpstreamRecord

from plantaincart_router.direct.call import LostError, NotRunError
from plantaincart_router.direct.crashledger import Loss
from plantaincart_router.direct.crashwatch import CrashWatch
from plantaincart_router.direct.fingerprint import fingerprint_request
from plantaincart_router.direct.interface import AnswerMetadata, HeaderCodec
from plantaincart_router.direct.pool import CLOSED_AT_ONCE_S, UpstreamPools
from plantaincart_router.direct.settings import SendSettings
from plantaincart_router.direct.view import SystemView
from plantaincart_router.exception import AnswerTimeoutError, ExchangeError
from plantaincart_router.http.exchange import HttpConnection
from plantaincart_router.http.message import HttpAnswer, HttpRequest
from plantaincart_router.log import write_event

__all__ = [
    "Attempt",
    "AttemptProgress",
    "AttemptTransport",
    "DirectTransport",
    "check_drain_bound",
    "record_backoff",
    "record_leaving",
]


@dataclass(slots=True)
class AttemptProgress:
    """
    How far an attempt has come.

    Attributes
    ----------
    sent_at : float or None
        Time in seconds at which the request was written; None before.
    started_at : float or None
        Time in seconds at which the head of its answer arrived; None before.
    """

    sent_at: float | None = None
    started_at: float | None = None

    def record_sent(self) -> None:
        """Record that the request is written now."""
        self.sent_at = monotonic()

    def record_started(self) -> None:
        """Record that the head of the answer has arrived."""
        self.started_at = monotonic()


@dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """
    A request that is to be sent to an upstream once.

    Parameters
    ----------
    request : HttpRequest
        Request of the caller.
    request_id : str
        Id of the request; empty if it has none.
    idempotent : bool
        Whether the request may run more than once.
    deadline_at : float
        Deadline as a time in seconds.
    progress : AttemptProgress
        Written by the transport.
    """

    request: HttpRequest
    request_id: str
    idempotent: bool
    deadline_at: float
    progress: AttemptProgress = field(default_factory=AttemptProgress)

    @property
    def remaining_s(self) -> float:
        """Remaining time in seconds until the deadline."""
        return self.deadline_at - monotonic()


class AttemptTransport(ABC):
    """Sends requests to upstreams, on a way that varies."""

    @abstractmethod
    def retry_delay_s(self, record: UpstreamRecord, now: float) -> float:
        """Return the seconds for which no request should be sent to an upstream."""

    @abstractmethod
    async def exchange(self, attempt: Attempt, record: UpstreamRecord) -> HttpAnswer:
        """
        Send a request once.

        Parameters
        ----------
        attempt : Attempt
            The request.
        record : UpstreamRecord
            The upstream.

        Returns
        -------
        HttpAnswer
            Complete answer of the upstream.

        Raises
        ------
        NotRunError
            If the upstream certainly didn't receive the request.
        LostError
            If it may have run it.
        """


class DirectTransport(AttemptTransport):
    """
    Sends requests on connections of this instance to the upstreams.

    Parameters
    ----------
    pools : UpstreamPools
        Connections to upstreams.
    header_codec : HeaderCodec
        Parses and writes the platform's header fields.
    settings : SendSettings
        For how long idle connections are reused.
    view : SystemView
        State of the system, with the upstreams that leave or want no requests.
    """

    def __init__(
        self,
        pools: UpstreamPools,
        header_codec: HeaderCodec,
        settings: SendSettings,
        view: SystemView,
    ) -> None:
        self._view = view
        self._pools = pools
        self._crash_watch = CrashWatch(pools, view.crashes)
        self._header_codec = header_codec
        self._settings = settings

    def retry_delay_s(self, record: UpstreamRecord, now: float) -> float:
        """Return the seconds until the next attempt to connect to the upstream."""
        return self._pools.connect_failures.retry_delay_s(record, now)

    def acquire_idle(
        self, attempt: Attempt, record: UpstreamRecord
    ) -> HttpConnection | None:
        """Remove an idle connection that a request may use from its pool."""
        if not attempt.request_id:
            # Its answer can't be told from a late one to another request.
            return None
        settings = self._settings
        max_silence_s = settings.keep_s if attempt.idempotent else settings.fresh_s
        return self._pools.acquire_idle(record, max_silence_s, attempt.request_id)

    async def exchange(self, attempt: Attempt, record: UpstreamRecord) -> HttpAnswer:
        """Send a request on an idle connection, or on a new one."""
        connection = self.acquire_idle(attempt, record)
        if connection is not None:
            return await self.exchange_on(connection, attempt, record, False)
        try:
            connection = await self._pools.open(record, attempt.remaining_s)
        except ExchangeError as error:
            raise NotRunError(str(error), False, False) from error
        return await self.exchange_on(connection, attempt, record, True)

    async def exchange_on(
        self,
        connection: HttpConnection,
        attempt: Attempt,
        record: UpstreamRecord,
        is_new: bool,
    ) -> HttpAnswer:
        """
        Send a request on a connection, and return the connection to its pool.

        Parameters
        ----------
        connection : HttpConnection
            Connection to the upstream.
        attempt : Attempt
            The request.
        record : UpstreamRecord
            The upstream.
        is_new : bool
            Whether no request was sent on the connection before.
        """
        pools = self._pools
        remaining_s = attempt.remaining_s
        told_s = self._view.shutdown.cap(attempt.deadline_at) - monotonic()
        request = self._header_codec.write_request(
            attempt.request, record.id, max(told_s, 0.001)
        )
        is_first = is_new

        def belongs(answer: HttpAnswer) -> bool:
            nonlocal is_first
            was_first, is_first = is_first, False
            return self._belongs(answer, attempt.request_id, was_first, record)

        sent_at = monotonic()
        try:
            answer = await connection.exchange(
                request,
                remaining_s,
                lambda: self._begin_write(attempt, record),
                belongs,
                attempt.progress.record_started,
            )
        except NotRunError:
            connection.close()
            raise
        except AnswerTimeoutError as error:
            pools.reachability.record_lost()
            raise LostError(str(error), timed_out=True) from error
        except ExchangeError as error:
            if not error.may_have_started:
                raise NotRunError(str(error), False, False) from error
            pools.reachability.record_lost()
            closed_at_once = is_new and monotonic() - sent_at < CLOSED_AT_ONCE_S
            if closed_at_once:
                # The upstream has too many connections; other requests must wait
                # before they open more.
                pools.connect_failures.record_closed_at_once(record, monotonic())
            loss = Loss(
                fingerprint=fingerprint_request(attempt.request, record.service),
                request_id=attempt.request_id,
                record=record,
                closed_at_once=closed_at_once,
            )
            await self._crash_watch.check(loss)
            raise LostError(str(error), closed_at_once=closed_at_once) from error
        pools.reachability.record_answer(monotonic())
        metadata = self._header_codec.read_answer(answer)
        record_leaving(self._view, record, metadata)
        record_backoff(self._view, record, metadata)
        self._view.quotas.record_answer(
            record, metadata.limit_per_s, sent_at, monotonic()
        )
        if metadata.not_run:
            connection.rejected_ids.add(attempt.request_id)
        else:
            self._view.crashes.record_answer(
                attempt.request, record.service, monotonic()
            )
        pools.return_connection(record, connection, metadata.idle_timeout_s)
        return answer

    def _begin_write(self, attempt: Attempt, record: UpstreamRecord) -> None:
        """Raise NotRunError if the upstream must get no request any more."""
        check_drain_bound(self._view, record)
        check_shutdown(self._view, attempt)
        if self._view.backoffs.remaining_s(record, monotonic()) > 0.0:
            # Another request was rejected while the connection was opened.
            raise NotRunError("the upstream asked for a pause", False, False)
        attempt.progress.record_sent()

    def _belongs(
        self,
        answer: HttpAnswer,
        request_id: str,
        is_first: bool,
        record: UpstreamRecord,
    ) -> bool:
        is_expected = self._header_codec.belongs_to_request(
            answer, request_id, is_first
        )
        if not is_expected:
            metadata = self._header_codec.read_answer(answer)
            record_leaving(self._view, record, metadata)
        return is_expected


def check_drain_bound(view: SystemView, record: UpstreamRecord) -> None:
    """Raise NotRunError if an upstream may get no more requests, since it leaves."""
    if not view.draining.is_within_stated_bound(record):
        raise NotRunError(f"upstream {record.id} has left", False, False)


def check_shutdown(view: SystemView, attempt: Attempt) -> None:
    """Raise NotRunError if this instance stops before a request could end."""
    if not view.shutdown.allows_send(attempt.deadline_at, 0.0):
        raise NotRunError("the instance stops", False, False)


def record_backoff(
    view: SystemView, record: UpstreamRecord, metadata: AnswerMetadata
) -> None:
    """Record that an upstream asked for a time without requests, if it did."""
    if metadata.retry_after_s > 0.0:
        view.backoffs.record(record, metadata.retry_after_s, monotonic())
        write_event(
            "upstream_backoff",
            upstream=record.id,
            seconds=round(metadata.retry_after_s, 3),
        )


def record_leaving(
    view: SystemView, record: UpstreamRecord, metadata: AnswerMetadata
) -> None:
    """Record that an upstream said in its answer that it leaves, if it did."""
    if metadata.leaving and metadata.answered_by in ("", record.id):
        view.record_leaving(record.id, record.born)
