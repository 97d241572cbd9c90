"""Kept connections to upstreams."""

from asyncio import sleep
from time import monotonic

from plantaincart_core.directory import UpstreamRecord

from plantaincart_router.direct.reach import ConnectFailures
from plantaincart_router.direct.settings import SendSettings
from plantaincart_router.exception import ConnectFailedError
from plantaincart_router.http.exchange import HttpConnection

__all__ = ["CLOSED_AT_ONCE_S", "UpstreamPools"]

# Part of the time for which an upstream keeps idle connections; beyond it a request
# might cross the upstream's close.
KEPT_PART = 0.7
MAX_IDLE_CONNECTIONS = 4
# Seconds within which an upstream with too many connections closes a new one: some
# times the way there and back. Before them nothing is sent to one that has done so.
CLOSED_AT_ONCE_S = 0.01


class UpstreamPools:
    """
    Idle connections by upstream.

    Parameters
    ----------
    settings : SendSettings
        Times for which connections are kept and opened.

    Attributes
    ----------
    connect_failures : ConnectFailures
        Upstreams that no connection could be opened to.
    """

    def __init__(self, settings: SendSettings) -> None:
        self._settings = settings
        self.connect_failures = ConnectFailures()
        self._idle: dict[tuple[str, int], list[tuple[HttpConnection, float]]] = {}

    def acquire_idle(
        self, record: UpstreamRecord, max_silence_s: float
    ) -> HttpConnection | None:
        """
        Take a kept connection.

        Parameters
        ----------
        record : UpstreamRecord
            Upstream to reach.
        max_silence_s : float
            Longest time in seconds since its last answer.

        Returns
        -------
        HttpConnection or None
            None if a new connection is needed.
        """
        idle = self._idle.get((record.id, record.born), [])
        now = monotonic()
        while idle:
            connection, until = idle[-1]
            silence = now - connection.last_answer_at
            if connection.reusable and now < until and silence < max_silence_s:
                idle.pop()
                return connection
            if connection.reusable and now < until:
                return None
            idle.pop()
            connection.close()
        return None

    async def open(self, record: UpstreamRecord, timeout_s: float) -> HttpConnection:
        """
        Open a connection.

        Parameters
        ----------
        record : UpstreamRecord
            Upstream to reach.
        timeout_s : float
            Seconds that are left; less are taken if the settings say so.

        Returns
        -------
        HttpConnection
            Connection without a request.

        Raises
        ------
        ConnectFailedError
            If it isn't open in time, or was closed at once by an upstream that had
            closed an earlier one.
        """
        limit_s = min(timeout_s, self._settings.connect_timeout_s)
        doubtful = self.connect_failures.may_close_at_once(record, monotonic())
        self.connect_failures.begin_attempt(record, monotonic())
        try:
            connection = await HttpConnection.open(
                record.host, record.port, limit_s, True
            )
        except ConnectFailedError:
            self.connect_failures.record_failure(record, monotonic())
            raise
        if doubtful:
            await sleep(CLOSED_AT_ONCE_S)
            if not connection.reusable:
                self.connect_failures.record_closed_at_once(record, monotonic())
                raise ConnectFailedError(f"{record.host}:{record.port}: closed at once")
        self.connect_failures.record_success(record)
        return connection

    def return_connection(
        self,
        record: UpstreamRecord,
        connection: HttpConnection,
        idle_timeout_s: float | None,
    ) -> None:
        """
        Keep a connection for the next request, or close it.

        Parameters
        ----------
        record : UpstreamRecord
            Upstream that it leads to.
        connection : HttpConnection
            Connection whose answer was whole.
        idle_timeout_s : float or None
            Seconds that the upstream keeps it, if it says so.
        """
        idle = self._idle.setdefault((record.id, record.born), [])
        if not connection.reusable or len(idle) >= MAX_IDLE_CONNECTIONS:
            connection.close()
            return
        keep_s = self._settings.keep_s
        if idle_timeout_s is not None:
            keep_s = min(keep_s, idle_timeout_s * KEPT_PART)
        idle.append((connection, monotonic() + keep_s))

    def close_idle(self, record: UpstreamRecord) -> None:
        """Close the idle connections to an upstream that has gone."""
        self.connect_failures.remove(record)
        for connection, _ in self._idle.pop((record.id, record.born), []):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection, _ in idle:
                connection.close()
        self._idle.clear()
