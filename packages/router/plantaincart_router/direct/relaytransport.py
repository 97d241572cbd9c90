"""Transport of attempts through another instance while this one is cut off."""

from asyncio import get_running_loop
from collections import Counter
from random import Random
from time import monotonic

from plantaincart_core.directory import UpstreamRecord

from plantaincart_router.direct.call import LostError, NotRunError
from plantaincart_router.direct.connectfailures import ConnectFailures
from plantaincart_router.direct.interface import HeaderCodec
from plantaincart_router.direct.metrics import RouterMetrics
from plantaincart_router.direct.relaycodec import (
    RelayOutcome,
    read_outcome,
    write_relayed,
)
from plantaincart_router.direct.settings import SendSettings
from plantaincart_router.direct.transport import (
    Attempt,
    AttemptTransport,
    DirectTransport,
    check_drain_bound,
    check_shutdown,
    record_backoff,
)
from plantaincart_router.direct.view import SystemView
from plantaincart_router.exception import AnswerTimeoutError, ExchangeError
from plantaincart_router.http.answerbuffers import AnswerBuffers
from plantaincart_router.http.exchange import HttpConnection
from plantaincart_router.http.message import HttpAnswer

__all__ = ["RelayTransport", "ReroutingTransport"]

# Seconds for which a relay that failed gets no requests.
RELAY_RETRY_S = 1.0
MAX_IDLE_CONNECTIONS = 8
# Seconds since the last answer for which a connection to a relay is reused. Relays
# close idle connections later.
MAX_IDLE_S = 2.0
SENT_OUTCOMES = {
    RelayOutcome.LOST,
    RelayOutcome.TIMED_OUT,
    RelayOutcome.CLOSED_AT_ONCE,
}


class RelayTransport(AttemptTransport):
    """
    Sends requests through other instances.

    Parameters
    ----------
    view : SystemView
        State of the system, with the relays that the coordinator has named.
    header_codec : HeaderCodec
        Parses and writes the platform's header fields.
    settings : SendSettings
        Timeout for connecting.
    metrics : RouterMetrics
        Counters and histograms.
    buffers : AnswerBuffers
        Limits of incomplete answers, shared with the connections to upstreams.

    Notes
    -----
    An upstream that a relay can't reach either gets no request for the delay of
    `ConnectFailures`, so that few requests of a crashed upstream burden the relays.
    A request is passed to another relay only if the first certainly sent nothing.
    """

    def __init__(
        self,
        view: SystemView,
        header_codec: HeaderCodec,
        settings: SendSettings,
        metrics: RouterMetrics,
        buffers: AnswerBuffers,
    ) -> None:
        self._buffers = buffers
        self._view = view
        self._header_codec = header_codec
        self._settings = settings
        self._metrics = metrics
        self._random = Random()
        self._failures = ConnectFailures()
        self._idle: dict[str, list[HttpConnection]] = {}
        self._in_flight: Counter[str] = Counter()
        self._skipped_until: dict[str, float] = {}
        self._answered_at: dict[str, float] = {}

    @property
    def is_usable(self) -> bool:
        """Whether a relay is known that hasn't failed recently."""
        return bool(self._list_usable())

    def retry_delay_s(self, record: UpstreamRecord, now: float) -> float:
        """Return the seconds until an upstream is tried through a relay again."""
        return self._failures.retry_delay_s(record, now)

    async def exchange(self, attempt: Attempt, record: UpstreamRecord) -> HttpAnswer:
        """Send a request through the relay with the fewest requests in progress."""
        self._failures.begin_attempt(record, monotonic())
        tried: set[str] = set()
        detail = "no relay"
        while untried := [name for name in self._list_usable() if name not in tried]:
            relay = min(
                untried, key=lambda name: (self._in_flight[name], self._random.random())
            )
            tried.add(relay)
            try:
                return await self._exchange_through(relay, attempt, record)
            except _RelayFailedError as error:
                detail = f"relay {relay}: {error}"
        raise NotRunError(detail, False, False)

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()

    def _list_usable(self) -> list[str]:
        now = monotonic()
        return [
            relay
            for relay in self._view.relays
            if self._skipped_until.get(relay, 0.0) <= now
        ]

    async def _exchange_through(
        self, relay: str, attempt: Attempt, record: UpstreamRecord
    ) -> HttpAnswer:
        self._in_flight[relay] += 1
        sent_at = monotonic()
        try:
            connection = await self._acquire(relay, attempt.remaining_s)
            try:
                check_drain_bound(self._view, record)
                check_shutdown(self._view, attempt)
            except NotRunError:
                self._return_connection(relay, connection)
                raise
            answer = await self._send(connection, attempt, record)
        except AnswerTimeoutError as error:
            # A relay that answers other requests waits for a slow upstream.
            if self._answered_at.get(relay, 0.0) < sent_at:
                self._skip(relay)
            self._metrics.count("relayed", RelayOutcome.TIMED_OUT.value)
            raise LostError(f"relay {relay}: {error}", timed_out=True) from error
        except ExchangeError as error:
            self._skip(relay)
            if error.may_have_started:
                self._metrics.count("relayed", RelayOutcome.LOST.value)
                raise LostError(f"relay {relay}: {error}") from error
            self._metrics.count("relayed", RelayOutcome.UNAVAILABLE.value)
            raise _RelayFailedError(str(error)) from error
        finally:
            self._in_flight[relay] -= 1
        self._answered_at[relay] = monotonic()
        self._return_connection(relay, connection)
        outcome, answer, detail = read_outcome(answer)
        self._metrics.count("relayed", outcome.value)
        if outcome is RelayOutcome.UNAVAILABLE:
            self._skip(relay)
        if outcome in (RelayOutcome.UNAVAILABLE, RelayOutcome.DECLINED):
            raise _RelayFailedError(f"{outcome.value} {detail}")
        if outcome is RelayOutcome.UNREACHED:
            self._failures.record_failure(record, monotonic())
            raise NotRunError(f"relay {relay}: {detail}", False, False)
        self._failures.record_success(record)
        if outcome in SENT_OUTCOMES:
            raise LostError(
                f"relay {relay}: {detail}",
                timed_out=outcome is RelayOutcome.TIMED_OUT,
                closed_at_once=outcome is RelayOutcome.CLOSED_AT_ONCE,
            )
        metadata = self._header_codec.read_answer(answer)
        record_backoff(self._view, record, metadata)
        self._view.quotas.record_answer(
            record, metadata.limit_per_s, sent_at, monotonic()
        )
        return answer

    async def _send(
        self, connection: HttpConnection, attempt: Attempt, record: UpstreamRecord
    ) -> HttpAnswer:
        remaining_s = attempt.remaining_s
        told_s = self._view.shutdown.cap(attempt.deadline_at) - monotonic()
        request = self._header_codec.write_request(
            attempt.request, record.id, max(told_s, 0.001)
        )
        return await connection.exchange(
            write_relayed(request, record, told_s, attempt.idempotent),
            remaining_s,
            attempt.progress.record_sent,
            lambda answer: self._belongs(answer, attempt.request_id),
            attempt.progress.record_started,
        )

    def _belongs(self, answer: HttpAnswer, request_id: str) -> bool:
        outcome, answer, _ = read_outcome(answer)
        if outcome is not RelayOutcome.ANSWERED:
            return True
        # Whether an answer without an id belongs to the request, the relay has decided.
        return self._header_codec.belongs_to_request(answer, request_id, True)

    def _skip(self, relay: str) -> None:
        self._skipped_until[relay] = monotonic() + RELAY_RETRY_S
        for connection in self._idle.pop(relay, []):
            connection.close()

    async def _acquire(self, relay: str, remaining_s: float) -> HttpConnection:
        idle = self._idle.get(relay, [])
        now = get_running_loop().time()
        while idle:
            connection = idle.pop()
            if connection.reusable and now - connection.last_answer_at < MAX_IDLE_S:
                return connection
            connection.close()
        host, _, port = relay.rpartition(":")
        limit_s = min(remaining_s, self._settings.connect_timeout_s)
        return await HttpConnection.open(
            host, int(port), limit_s, buffers=self._buffers
        )

    def _return_connection(self, relay: str, connection: HttpConnection) -> None:
        idle = self._idle.setdefault(relay, [])
        if connection.reusable and len(idle) < MAX_IDLE_CONNECTIONS:
            idle.append(connection)
        else:
            connection.close()


class ReroutingTransport(AttemptTransport):
    """
    Sends requests directly, or through relays while this instance is cut off.

    Parameters
    ----------
    direct : DirectTransport
        Transport on own connections.
    relayed : RelayTransport
        Transport through other instances.
    view : SystemView
        State of the system, with the reachability of the upstreams.
    """

    def __init__(
        self, direct: DirectTransport, relayed: RelayTransport, view: SystemView
    ) -> None:
        self._direct = direct
        self._relayed = relayed
        self._reachability = view.reachability

    def retry_delay_s(self, record: UpstreamRecord, now: float) -> float:
        """Return the seconds for which no request should be sent to an upstream."""
        return self._choose().retry_delay_s(record, now)

    async def exchange(self, attempt: Attempt, record: UpstreamRecord) -> HttpAnswer:
        """Send a request on the way that works."""
        transport = self._choose()
        if transport is self._relayed and self._reachability.is_answered(monotonic()):
            connection = self._direct.acquire_idle(attempt, record)
            if connection is not None:
                return await self._direct.exchange_on(
                    connection, attempt, record, False
                )
        return await transport.exchange(attempt, record)

    def close(self) -> None:
        """Close the connections to relays."""
        self._relayed.close()

    def _choose(self) -> AttemptTransport:
        if self._reachability.is_cut_off and self._relayed.is_usable:
            return self._relayed
        return self._direct


class _RelayFailedError(Exception):
    """The relay certainly sent nothing to the upstream; another may."""
