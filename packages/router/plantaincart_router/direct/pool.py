"""Pools of idle connections to upstreams."""

from asyncio import CancelledError, sleep
from time import monotonic

from plantaincart_core.directory import UpstreamRecord

from plantaincart_router.direct.connectfailures import ConnectFailures
from plantaincart_router.direct.reachability import UpstreamReachability
from plantaincart_router.direct.settings import SendSettings
from plantaincart_router.exception import ConnectFailedError
from plantaincart_router.http.answerbuffers import AnswerBuffers
from plantaincart_router.http.exchange import HttpConnection

__all__ = ["CLOSED_AT_ONCE_S", "UpstreamPools"]

# Fraction of an upstream's idle timeout after which a connection isn't reused, since a
# request might be sent while the upstream closes it.
IDLE_TIMEOUT_SHARE = 0.7
MAX_IDLE_CONNECTIONS = 4
# Rejected requests after which a connection is closed, so that their ids take little
# memory.
MAX_REJECTED_IDS = 64
# Seconds within which an upstream with too many connections closes a new one: several
# round trips. If an upstream has done so recently, requests are held back for this time
# on a new connection.
CLOSED_AT_ONCE_S = 0.01
# Seconds that an upstream takes to accept a connection, and to reset it if it has too
# many. The reset arrives a round trip later, which is what connecting took.
ACCEPTANCE_S = 0.002


class UpstreamPools:
    """
    Pools of idle connections, one for each process of an upstream.

    Parameters
    ----------
    settings : SendSettings
        Timeouts for connecting and for idle connections, and limits of answers.
    buffers : AnswerBuffers, optional
        Limits of incomplete answers; by default those of `settings`.

    Attributes
    ----------
    connect_failures : ConnectFailures
        Upstreams to which connecting failed recently.
    reachability : UpstreamReachability
        Whether this instance can connect to any upstream.
    buffers : AnswerBuffers
        Limits of incomplete answers.
    """

    def __init__(
        self, settings: SendSettings, buffers: AnswerBuffers | None = None
    ) -> None:
        self._settings = settings
        self.connect_failures = ConnectFailures()
        self.reachability = UpstreamReachability()
        self.buffers = buffers or AnswerBuffers(
            settings.max_answer_bytes, settings.max_buffered_bytes
        )
        self._idle: dict[tuple[str, int], list[tuple[HttpConnection, float]]] = {}

    def acquire_idle(
        self, record: UpstreamRecord, max_silence_s: float, request_id: str
    ) -> HttpConnection | None:
        """
        Remove an idle connection from the pool and return it.

        Parameters
        ----------
        record : UpstreamRecord
            Upstream to connect to.
        max_silence_s : float
            Maximum time in seconds since the last answer on the connection.
        request_id : str
            Id of the request to be sent. A connection on which it was rejected before
            isn't returned, since a late copy of that answer has the same id.

        Returns
        -------
        HttpConnection or None
            None if a new connection is needed.
        """
        idle = self._idle.get((record.id, record.born), [])
        now = monotonic()
        for at in reversed(range(len(idle))):
            connection, expires_at = idle[at]
            if not connection.reusable or now >= expires_at:
                del idle[at]
                connection.close()
            elif request_id not in connection.rejected_ids:
                if now - connection.last_answer_at >= max_silence_s:
                    return None
                del idle[at]
                return connection
        return None

    async def open(self, record: UpstreamRecord, timeout_s: float) -> HttpConnection:
        """
        Open a connection.

        Parameters
        ----------
        record : UpstreamRecord
            Upstream to connect to.
        timeout_s : float
            Remaining time in seconds; `connect_timeout_s` limits it further.

        Returns
        -------
        HttpConnection
            New connection.

        Raises
        ------
        ConnectFailedError
            If the connection isn't open in time, or was closed at once.
        """
        limit_s = min(timeout_s, self._settings.connect_timeout_s)
        may_be_closed = self.connect_failures.may_close_at_once(record, monotonic())
        started_at = monotonic()
        self.connect_failures.begin_attempt(record, started_at)
        try:
            connection = await HttpConnection.open(
                record.host, record.port, limit_s, True, self.buffers
            )
        except ConnectFailedError:
            self.connect_failures.record_failure(record, monotonic())
            is_cut_short = limit_s < self._settings.connect_timeout_s
            if not is_cut_short or monotonic() - started_at < limit_s:
                self.reachability.record_unreached(record, monotonic())
            raise
        check_s = CLOSED_AT_ONCE_S
        if not may_be_closed:
            check_s = min(check_s, monotonic() - started_at + ACCEPTANCE_S)
        try:
            await sleep(check_s)
        except CancelledError:
            connection.close()
            raise
        if not connection.reusable:
            self.connect_failures.record_closed_at_once(record, monotonic())
            self.reachability.record_closed_at_once(record, monotonic())
            raise ConnectFailedError(
                f"{record.host}:{record.port}: closed at once", closed_at_once=True
            )
        if self.reachability.is_cut_off:
            # The failures of other upstreams were those of the way to them.
            self.connect_failures.clear()
        self.connect_failures.record_success(record)
        self.reachability.record_reached(record)
        return connection

    def return_connection(
        self,
        record: UpstreamRecord,
        connection: HttpConnection,
        idle_timeout_s: float | None,
    ) -> None:
        """
        Return a connection to the pool, or close it.

        Parameters
        ----------
        record : UpstreamRecord
            Upstream of the connection.
        connection : HttpConnection
            Connection on which a complete answer was received.
        idle_timeout_s : float or None
            Idle timeout in seconds that the upstream has announced, if any.
        """
        idle = self._idle.setdefault((record.id, record.born), [])
        is_kept = connection.reusable and len(idle) < MAX_IDLE_CONNECTIONS
        if not is_kept or len(connection.rejected_ids) >= MAX_REJECTED_IDS:
            connection.close()
            return
        keep_s = self._settings.keep_s
        if idle_timeout_s is not None:
            keep_s = min(keep_s, idle_timeout_s * IDLE_TIMEOUT_SHARE)
        idle.append((connection, monotonic() + keep_s))

    def close_idle(self, record: UpstreamRecord) -> None:
        """Close the idle connections to an upstream that is gone."""
        self.connect_failures.remove(record)
        for connection, _ in self._idle.pop((record.id, record.born), []):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection, _ in idle:
                connection.close()
        self._idle.clear()
