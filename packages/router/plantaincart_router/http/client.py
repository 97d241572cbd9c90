"""HTTP/1.1 client with a small pool of keep-alive connections."""

from asyncio import get_running_loop
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from time import monotonic

from plantaincart_router.exception import (
    AnswerLostError,
    AnswerTimeoutError,
    ConnectFailedError,
    SendFailedError,
)
from plantaincart_router.http.answerbuffers import AnswerBuffers
from plantaincart_router.http.exchange import HttpConnection
from plantaincart_router.http.message import Header, HttpAnswer, HttpRequest

__all__ = ["ConnectionAnswer", "HttpClient", "HttpConnection"]

MAX_IDLE_CONNECTIONS = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionAnswer:
    """
    An answer with the connection on which it arrived.

    Parameters
    ----------
    answer : HttpAnswer
        The complete answer, with any status.
    connection : int
        Number of the connection.
    """

    answer: HttpAnswer
    connection: int


class HttpClient:
    """
    Client for one address with a small pool of keep-alive connections.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    timeout_s : float
        Limit in seconds for one call, including opening a connection.
    buffers : AnswerBuffers, optional
        Limits of incomplete answers, if they are shared with other clients.

    Attributes
    ----------
    opened_at : float
        Time in seconds at which a connection was last opened.

    Notes
    -----
    A call that times out or loses a kept connection closes all idle connections. A
    network fault may have broken them as well, and a server that has forgotten the one
    used last has forgotten those that were idle for longer. No call is sent twice.
    """

    def __init__(
        self,
        host: str,
        port: int,
        timeout_s: float,
        buffers: AnswerBuffers | None = None,
    ) -> None:
        self._buffers = buffers or AnswerBuffers()
        self._host = host
        self._port = port
        self._timeout_s = timeout_s
        self._idle: list[HttpConnection] = []
        self._calls_in_progress = 0
        self.opened_at = float("-inf")

    @property
    def is_busy(self) -> bool:
        """Whether a call is in progress."""
        return self._calls_in_progress > 0

    async def request(
        self,
        method: str,
        target: str,
        headers: Sequence[Header] = (),
        body: bytes = b"",
        timeout_s: float | None = None,
    ) -> HttpAnswer:
        """Send a request as `request_on` does, on any connection."""
        answered = await self.request_on(None, method, target, headers, body, timeout_s)
        return answered.answer

    async def request_on(
        self,
        connection_number: int | None,
        method: str,
        target: str,
        headers: Sequence[Header] = (),
        body: bytes = b"",
        timeout_s: float | None = None,
        own_connection: bool = False,
        before_write: Callable[[], None] | None = None,
    ) -> ConnectionAnswer:
        """
        Send a request and return the answer with its connection.

        Parameters
        ----------
        connection_number : int or None
            The only connection that may be used, if it is open and idle; None for any
            connection, which is opened if none is idle.
        method : str
            Method in upper case.
        target : str
            Path and query.
        headers : sequence of (str, str)
            Headers besides Host and Content-Length.
        body : bytes
            Request body.
        timeout_s : float, optional
            Limit in seconds for this call instead of the client's limit.
        own_connection : bool
            Whether no other call may use the connection, before or after, so that no
            late answer to another one can be taken for the answer.
        before_write : callable, optional
            Called directly before the bytes are written, and after a connection was
            opened. If it raises, nothing is sent.

        Returns
        -------
        ConnectionAnswer
            The complete answer, and the number of its connection.

        Raises
        ------
        ExchangeError
            If no complete answer arrives; its `may_have_started` tells whether the
            call may have had an effect.
        """
        loop = get_running_loop()
        limit_s = self._timeout_s if timeout_s is None else timeout_s
        deadline = loop.time() + limit_s
        request = HttpRequest(method, target, tuple(headers), body)
        self._calls_in_progress += 1
        try:
            kept = None if own_connection else self._pop_idle(connection_number)
            if kept is None and connection_number is not None:
                raise ConnectFailedError(f"{self._address}: no connection kept")
            connection = kept or await self._open(deadline - loop.time())
            try:
                answer = await connection.exchange(
                    request, deadline - loop.time(), before_write
                )
            except (AnswerLostError, SendFailedError):
                if kept is not None:
                    self.close()
                raise
            finally:
                self._put_idle(connection, own_connection)
        except AnswerTimeoutError:
            self.close()
            raise
        finally:
            self._calls_in_progress -= 1
        return ConnectionAnswer(answer=answer, connection=connection.number)

    def close(self) -> None:
        """Close the idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    @property
    def _address(self) -> str:
        return f"{self._host}:{self._port}"

    def _put_idle(self, connection: HttpConnection, own_connection: bool) -> None:
        is_kept = connection.reusable and len(self._idle) < MAX_IDLE_CONNECTIONS
        if is_kept and not own_connection:
            self._idle.append(connection)
        else:
            connection.close()

    def _pop_idle(self, number: int | None) -> HttpConnection | None:
        self._idle = [connection for connection in self._idle if connection.reusable]
        for connection in reversed(self._idle):
            if number is None or connection.number == number:
                self._idle.remove(connection)
                return connection
        return None

    async def _open(self, timeout_s: float) -> HttpConnection:
        connection = await HttpConnection.open(
            self._host, self._port, timeout_s, buffers=self._buffers
        )
        self.opened_at = monotonic()
        return connection
