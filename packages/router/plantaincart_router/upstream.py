"""Connections to one upstream."""

from collections.abc import Callable
from dataclasses import replace

from plantaincart_schema.exception import PlantaincartError
from plantaincart_schema.generated.configuration import Upstream
from plantaincart_schema.generated.settings import DispatchSettings

from plantaincart_router.control import UpstreamControl
from plantaincart_router.exception import (
    AnswerLostError,
    AnswerMalformedError,
    AnswerTimeoutError,
    ConnectFailedError,
    ExchangeError,
)
from plantaincart_router.http.client import HttpConnection
from plantaincart_router.http.message import HttpAnswer, HttpRequest, find_header
from plantaincart_router.http.problem import REQUEST_HEADER

__all__ = ["UpstreamClient"]

DEADLINE_HEADER = "plantaincart-deadline-ms"
# Idempotent requests may use older connections, since they can be sent again if the
# connection turns out to be silent.
IDEMPOTENT_FRESHNESS_FACTOR = 5.0
CONTROL_CONNECTIONS = 1
# Share of its time for which an idempotent request waits on a pooled connection.
POOLED_SHARE = 0.5
# Minimum silence in seconds after which a pooled connection counts as lost: a copy sent
# earlier would run beside the first one, which the upstream has not cancelled yet.
MIN_SILENCE_S = 0.5


class UpstreamClient(UpstreamControl):
    """
    Send requests and grants to one upstream.

    Parameters
    ----------
    upstream : Upstream
        Address of the upstream and the number of connections that it accepts.
    settings : DispatchSettings
        Timeouts and the age up to which a pooled connection is used.

    Notes
    -----
    A pooled connection may have become silent. A non-idempotent request uses one only
    if it answered within `settings.fresh_connection_s`, an idempotent request within
    five times that; otherwise a new connection is opened. When an exchange times out or
    its connection is closed, idle connections that have not answered since the exchange
    began are closed too.

    An idempotent request waits on a pooled connection for half of its time. That
    connection is then closed, which cancels the request at the upstream, and the
    request is sent again on a new one.

    Grants have a separate connection, so they never wait behind requests. If an
    upstream echoes the header Plantaincart-Request, an answer to another request is
    detected.
    """

    def __init__(self, upstream: Upstream, settings: DispatchSettings) -> None:
        super().__init__(upstream, settings)
        self._idle: list[HttpConnection] = []
        self._busy: set[HttpConnection] = set()
        self._opening = 0

    @property
    def connection_count(self) -> int:
        """Number of connections for requests, open or being opened."""
        return len(self._idle) + len(self._busy) + self._opening

    async def dispatch(
        self,
        request: HttpRequest,
        *,
        idempotent: bool,
        timeout_s: float,
        before_write: Callable[[], None] | None = None,
    ) -> HttpAnswer:
        """
        Send a request and wait for its whole answer.

        Parameters
        ----------
        request : HttpRequest
            Request with the headers for the upstream.
        idempotent : bool
            Whether it may be sent again.
        timeout_s : float
            Seconds for connecting, sending and the whole answer.
        before_write : callable, optional
            Called directly before the socket write; if it raises, nothing is sent.

        Returns
        -------
        HttpAnswer
            Whole answer of any status.

        Raises
        ------
        ExchangeError
            If there is no whole answer; `may_have_started` says whether the
            upstream may run the request.
        """
        began_at = self._loop.time()
        pooled = self._pick_idle(idempotent)
        if pooled is None or not idempotent or timeout_s <= MIN_SILENCE_S:
            connection = pooled or await self._open_for_request(timeout_s)
            remaining_s = timeout_s - (self._loop.time() - began_at)
            return await self._exchange(connection, request, remaining_s, before_write)
        limit_s = max(MIN_SILENCE_S, timeout_s * POOLED_SHARE)
        try:
            return await self._exchange(pooled, request, limit_s, before_write)
        except AnswerTimeoutError as error:
            remaining_s = timeout_s - (self._loop.time() - began_at)
            return await self._resend(request, remaining_s, before_write, error)

    def close(self) -> None:
        """Close all connections; exchanges in progress fail as lost."""
        super().close()
        for connection in (*self._idle, *self._busy):
            connection.close()
        self._idle.clear()

    async def _exchange(
        self,
        connection: HttpConnection,
        request: HttpRequest,
        timeout_s: float,
        before_write: Callable[[], None] | None,
    ) -> HttpAnswer:
        began_at = self._loop.time()
        self._busy.add(connection)
        try:
            answer = await connection.exchange(request, timeout_s, before_write)
            _check_identity(request, answer, connection)
        except (AnswerTimeoutError, AnswerLostError):
            self._close_idle_unless_used_since(began_at)
            raise
        finally:
            self._busy.discard(connection)
            self._return_to_pool(connection)
        return answer

    async def _resend(
        self,
        request: HttpRequest,
        timeout_s: float,
        before_write: Callable[[], None] | None,
        first_error: AnswerTimeoutError,
    ) -> HttpAnswer:
        """Send a request again after a timeout on its pooled connection."""
        try:
            connection = await self._open_for_request(timeout_s)
            return await self._exchange(
                connection,
                _update_deadline(request, timeout_s),
                timeout_s,
                before_write,
            )
        except ExchangeError as error:
            raise (error if error.may_have_started else first_error) from None
        except PlantaincartError:
            # `before_write` rejected only the second copy; the first may have run.
            raise first_error from None

    def _pick_idle(self, idempotent: bool) -> HttpConnection | None:
        now = self._loop.time()
        fresh_s = self._settings.fresh_connection_s
        self._close_idle_unless_used_since(now - fresh_s * IDEMPOTENT_FRESHNESS_FACTOR)
        if self._idle:
            age_s = now - self._idle[-1].last_answer_at
            if idempotent or age_s <= fresh_s:
                return self._idle.pop()
        return None

    async def _open_for_request(self, timeout_s: float) -> HttpConnection:
        self._ensure_room()
        self._opening += 1
        try:
            return await self._open(timeout_s)
        finally:
            self._opening -= 1

    def _ensure_room(self) -> None:
        limit = max(1, self._upstream.connections - CONTROL_CONNECTIONS)
        while self._idle and self.connection_count >= limit:
            self._idle.pop(0).close()
        if self.connection_count >= limit:
            raise ConnectFailedError(f"{self._upstream.name}: no connection is free")

    def _return_to_pool(self, connection: HttpConnection) -> None:
        if connection.reusable and not self._closed:
            self._idle.append(connection)
        else:
            connection.close()

    def _close_idle_unless_used_since(self, since: float) -> None:
        idle, self._idle = self._idle, []
        for connection in idle:
            if connection.reusable and connection.last_answer_at >= since:
                self._idle.append(connection)
            else:
                connection.close()


def _update_deadline(request: HttpRequest, remaining_s: float) -> HttpRequest:
    remaining_ms = str(max(1, int(remaining_s * 1000)))
    headers = tuple(
        (name, remaining_ms if name == DEADLINE_HEADER else value)
        for name, value in request.headers
    )
    return replace(request, headers=headers)


def _check_identity(
    request: HttpRequest, answer: HttpAnswer, connection: HttpConnection
) -> None:
    echoed = find_header(answer.headers, REQUEST_HEADER)
    if echoed is not None and echoed != find_header(request.headers, REQUEST_HEADER):
        connection.close()
        raise AnswerMalformedError("answer to another request")
