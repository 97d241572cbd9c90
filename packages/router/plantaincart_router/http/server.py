"""HTTP/1.1 server with size limits, timeouts and a graceful drain."""

from asyncio import AbstractServer, get_running_loop, sleep, timeout
from socket import AF_INET, AF_INET6, create_server, socket

from plantaincart_schema.generated.settings import EntrySettings

from plantaincart_router.http.caller import (
    CallerConnection,
    Closable,
    ConnectionOwner,
    Handler,
)
from plantaincart_router.http.connection import ServerConnection
from plantaincart_router.http.heldbytes import HeldBytes
from plantaincart_router.http.message import HttpRequest
from plantaincart_router.http.pacing import BulkPacer
from plantaincart_router.log import write_event

__all__ = ["CallerConnection", "Handler", "HttpServer"]

BACKLOG = 1024
MAX_REFUSED_CONNECTIONS = 256
# A caller that was active more recently may have sent its next request already.
DRAIN_IDLE_S = 0.25
_DRAIN_POLL_S = 0.05


class HttpServer(ConnectionOwner):
    """
    Accept connections and pass their requests to a handler.

    Parameters
    ----------
    limits : EntrySettings
        Size limits and timeouts; host and port aren't used.
    handler : callable
        Coroutine function that takes an `HttpRequest` and a `CallerConnection`
        and returns the answer.
    held : HeldBytes, optional
        Count of all bytes that the instance holds, shared with other servers.
    pacer : BulkPacer, optional
        Paces large answers, shared with other servers; without it they are written at
        once.

    Notes
    -----
    Requests that the server itself rejects (malformed, too large, too slow, too
    many connections) are answered with a problem document and verdict not-run. A
    `RefusedError` raised by the handler is answered with its refusal; any other
    error with status 500 and verdict may-have-run.

    References
    ----------
    RFC 9112, HTTP/1.1; RFC 9457, Problem Details for HTTP APIs.
    """

    def __init__(
        self,
        limits: EntrySettings,
        handler: Handler,
        held: HeldBytes | None = None,
        pacer: BulkPacer | None = None,
    ) -> None:
        self.held = held or HeldBytes()
        self.pacer = pacer
        self.limits = limits
        self.handler = handler
        self.loop = get_running_loop()
        self.closing = False
        self._server: AbstractServer | None = None
        self._socket: socket | None = None
        self._connections: set[Closable] = set()

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def start(self, host: str, port: int) -> int:
        """
        Start to listen.

        Parameters
        ----------
        host : str
            IP address to bind.
        port : int
            TCP port; 0 for a free one.

        Returns
        -------
        int
            The port that is listened on.
        """
        family = AF_INET6 if ":" in host else AF_INET
        self._socket = create_server((host, port), family=family, backlog=BACKLOG)
        self._socket.setblocking(False)
        self._server = await self.loop.create_server(
            self._make_connection, sock=self._socket, backlog=BACKLOG
        )
        bound_port: int = self._socket.getsockname()[1]
        return bound_port

    def end_keep_alive(self) -> None:
        """Keep accepting, but close each connection after its next answer."""
        self.closing = True

    async def drain(self, grace_s: float) -> int:
        """
        Stop accepting, answer requests in progress and close idle connections.

        Parameters
        ----------
        grace_s : float
            Limit in seconds for the requests in progress.

        Returns
        -------
        int
            Number of connections still open; 0 if all ended in time.

        Notes
        -----
        A connection is closed after it has been idle for `DRAIN_IDLE_S`, so that
        a request sent shortly before the drain is still answered. A connection
        whose handshake completes while the listening socket is being closed may
        be reset; this doesn't occur if the load balancer has stopped sending.
        """
        self.end_keep_alive()
        await self._stop_accepting()
        try:
            async with timeout(grace_s):
                while self._connections:
                    await sleep(_DRAIN_POLL_S)
                    self._close_idle(self.loop.time() - DRAIN_IDLE_S)
        except TimeoutError:
            pass
        return len(self._connections)

    def refuse_incomplete(self, detail: str) -> None:
        """Reject the requests that haven't arrived completely; they haven't run."""
        for connection in tuple(self._connections):
            connection.refuse_incomplete(detail)

    def close(self) -> None:
        """Stop accepting and abort all connections."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            connection.abort()

    def add(self, connection: Closable) -> bool:
        """Register a new connection; return False if there are too many."""
        limit = self.limits.max_connections
        if len(self._connections) >= limit + MAX_REFUSED_CONNECTIONS:
            connection.abort()
        self._connections.add(connection)
        return len(self._connections) <= limit

    def remove(self, connection: Closable) -> None:
        """Remove a connection that has ended."""
        self._connections.discard(connection)

    def report_failure(self, request: HttpRequest, error: Exception) -> None:
        """Log an unexpected error raised by the handler."""
        write_event(
            "handler_failed",
            method=request.method,
            target=request.target,
            error=f"{type(error).__name__}: {error}",
        )

    def _make_connection(self) -> ServerConnection:
        return ServerConnection(self)

    async def _stop_accepting(self) -> None:
        if self._server is None or self._socket is None:
            return
        # Closing a listening socket resets the connections in its backlog, so these
        # are accepted first.
        backlog_sockets = _accept_backlog(self._socket)
        self._server.close()
        self._server = None
        for accepted in backlog_sockets:
            try:
                await self.loop.connect_accepted_socket(self._make_connection, accepted)
            except OSError:
                accepted.close()

    def _close_idle(self, idle_since: float) -> None:
        for connection in tuple(self._connections):
            last_activity_at = connection.idle_since
            if last_activity_at is not None and last_activity_at <= idle_since:
                connection.close()


def _accept_backlog(listener: socket) -> list[socket]:
    accepted: list[socket] = []
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return accepted
        connection.setblocking(False)
        accepted.append(connection)
