"""One outgoing HTTP/1.1 connection that accepts whole answers only."""

from asyncio import (
    BaseTransport,
    Future,
    Protocol,
    Transport,
    get_running_loop,
    timeout,
)
from collections.abc import Callable
from socket import (
    AF_INET,
    AF_INET6,
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SO_LINGER,
    SOCK_STREAM,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_NODELAY,
    TCP_USER_TIMEOUT,
    socket,
)
from struct import pack
from typing import Self, cast

from plantaincart_router.exception import (
    AnswerLostError,
    AnswerTimeoutError,
    ConnectFailedError,
    ExchangeError,
    SendFailedError,
)
from plantaincart_router.http.codec import ClientCodec
from plantaincart_router.http.message import HttpAnswer, HttpRequest

__all__ = ["HttpConnection"]

# A connection that something on the way has forgotten is noticed after
# KEEPALIVE_IDLE_S + KEEPALIVE_COUNT * KEEPALIVE_INTERVAL_S seconds of silence.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
# Milliseconds for which bytes that were sent may stay unacknowledged: a machine that is
# gone acknowledges nothing, while a lost packet is repeated several times meanwhile.
USER_TIMEOUT_MS = 800
# Option that makes a close discard what wasn't sent or acknowledged: on, 0 seconds.
RESET_ON_CLOSE = pack("ii", 1, 0)


class HttpConnection(Protocol):
    """
    One connection that carries one request at a time.

    Use `open` to make one.

    Attributes
    ----------
    last_answer_at : float
        Loop time in seconds of the opening or of the last whole answer.

    Notes
    -----
    An answer is whole when its body ended as Content-Length or the chunked
    coding says; an answer that ends with the connection is taken as lost.
    Bytes that belong to no request close the connection, so an answer can't
    reach another request of the same connection later on. A connection whose
    exchange failed, timed out or was cancelled is aborted. A write goes to the
    socket at once, so that nothing runs between `before_write` and the write;
    what the socket's buffer can't hold follows later.
    """

    def __init__(self, address: str, accepts_unframed: bool = False) -> None:
        self._address = address
        self._loop = get_running_loop()
        self._transport: Transport | None = None
        self._codec = ClientCodec(address, accepts_unframed)
        self._belongs: Callable[[HttpAnswer], bool] | None = None
        self._waiter: Future[HttpAnswer] | None = None
        self._closed = False
        self.last_answer_at = 0.0

    @classmethod
    async def open(
        cls, host: str, port: int, timeout_s: float, accepts_unframed: bool = False
    ) -> Self:
        """
        Open a connection.

        Parameters
        ----------
        host : str
            IP address.
        port : int
            TCP port.
        timeout_s : float
            Seconds that opening may take.
        accepts_unframed : bool
            Whether an answer without a length is whole when the other end closes
            the connection in order.

        Returns
        -------
        HttpConnection
            Connection without a request.

        Raises
        ------
        ConnectFailedError
            If it isn't open in time.
        """
        address = f"{host}:{port}"
        loop = get_running_loop()
        try:
            async with timeout(timeout_s):
                connected = _make_socket(host)
                try:
                    await loop.sock_connect(connected, (host, port))
                except BaseException:
                    connected.close()
                    raise
                _, connection = await loop.create_connection(
                    lambda: cls(address, accepts_unframed), sock=connected
                )
                return connection
        except TimeoutError:
            raise ConnectFailedError(f"{address}: timeout") from None
        except OSError as error:
            raise ConnectFailedError(f"{address}: {error}") from error

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent."""
        return (
            not self._closed
            and self._waiter is None
            and self._transport is not None
            and not self._transport.is_closing()
        )

    async def exchange(
        self,
        request: HttpRequest,
        timeout_s: float,
        before_write: Callable[[], None] | None = None,
        belongs: Callable[[HttpAnswer], bool] | None = None,
    ) -> HttpAnswer:
        """
        Send a request and wait for its whole answer.

        Parameters
        ----------
        request : HttpRequest
            Request; framing headers are added from its body.
        timeout_s : float
            Seconds until the whole answer must be here.
        before_write : callable, optional
            Called directly before the bytes are written. When it raises,
            nothing has been sent and the connection stays usable.
        belongs : callable, optional
            Says whether an answer belongs to the request. One that doesn't is left
            out, and the next one is waited for.

        Returns
        -------
        HttpAnswer
            The whole answer.

        Raises
        ------
        SendFailedError
            If the connection had ended or the request isn't valid HTTP, and
            nothing was sent; or if the write failed.
        AnswerLostError
            If the connection ended before the whole answer.
        AnswerTimeoutError
            If the whole answer isn't here in time.
        AnswerMalformedError
            If the answer isn't valid HTTP.
        """
        transport = self._transport
        if transport is None or not self.reusable:
            raise self._not_sent("connection ended or in use")
        if timeout_s <= 0.0:
            raise self._not_sent("no time left")
        data = self._encode(request)
        waiter: Future[HttpAnswer] = self._loop.create_future()
        timer = self._loop.call_later(timeout_s, self._expire, waiter)
        try:
            if before_write is not None:
                before_write()
        except BaseException:
            timer.cancel()
            self._codec.reset()
            raise
        try:
            transport.write(data)
            self._belongs = belongs
            self._waiter = waiter
            return await waiter
        except (OSError, RuntimeError) as error:
            self.close()
            raise SendFailedError(f"{self._address}: {error}") from error
        except BaseException:
            self._discard()
            raise
        finally:
            timer.cancel()
            self._waiter = None

    def _discard(self) -> None:
        """
        Abort the connection with a reset.

        A plain close leaves bytes that weren't acknowledged to the system, which sends
        them again, seconds later if need be; the request would arrive after it was
        given up.
        """
        if self._transport is not None and not self._transport.is_closing():
            connected = self._transport.get_extra_info("socket")
            if connected is not None:
                connected.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
        self.close()

    def close(self) -> None:
        """Abort the connection; an exchange under way ends as lost."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()
        self._end(AnswerLostError(f"{self._address}: connection aborted"))

    def connection_made(self, transport: BaseTransport) -> None:
        """Take the transport of the new connection."""
        self._transport = cast(Transport, transport)
        self.last_answer_at = self._loop.time()

    def connection_lost(self, exc: Exception | None) -> None:
        """End an exchange under way as lost."""
        self._end(AnswerLostError(f"{self._address}: {exc or 'connection ended'}"))

    def eof_received(self) -> bool:
        """Let the transport close; what is missing now can't arrive."""
        self._closed = True
        if self._waiter is not None and not self._waiter.done():
            answer = self._codec.read_end()
            if answer is not None and (self._belongs is None or self._belongs(answer)):
                self._waiter.set_result(answer)
        self._end(AnswerLostError(f"{self._address}: connection ended"))
        return False

    def data_received(self, data: bytes) -> None:
        """Read what arrived; bytes without a request close the connection."""
        if self._waiter is None or self._waiter.done():
            self.close()
            return
        try:
            answer = self._codec.read(data)
            while answer is not None and self._belongs and not self._belongs(answer):
                answer = self._codec.skip_answer()
        except ExchangeError as error:
            self._end(error)
            self.close()
            return
        if answer is None:
            return
        waiter, self._waiter = self._waiter, None
        self.last_answer_at = self._loop.time()
        if self._codec.reusable:
            self._codec.start_next()
        else:
            self.close()
        waiter.set_result(answer)

    def _encode(self, request: HttpRequest) -> bytes:
        try:
            return self._codec.encode(request)
        except SendFailedError:
            self.close()
            raise

    def _not_sent(self, detail: str) -> SendFailedError:
        return SendFailedError(f"{self._address}: {detail}", may_have_started=False)

    def _expire(self, waiter: Future[HttpAnswer]) -> None:
        if not waiter.done():
            waiter.set_exception(AnswerTimeoutError(f"{self._address}: timeout"))

    def _end(self, error: ExchangeError) -> None:
        self._closed = True
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(error)


def _make_socket(host: str) -> socket:
    made = socket(AF_INET6 if ":" in host else AF_INET, SOCK_STREAM)
    made.setblocking(False)
    made.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    made.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    made.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    made.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    made.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    made.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_COUNT)
    return made
