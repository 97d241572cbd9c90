"""Client side of one HTTP/1.1 connection that accepts complete answers only."""

from asyncio import (
    BaseTransport,
    Future,
    Protocol,
    Transport,
    get_running_loop,
    timeout,
)
from collections.abc import Callable
from itertools import count
from typing import Self, cast

from plantaincart_router.exception import (
    AnswerLostError,
    AnswerMalformedError,
    AnswerTimeoutError,
    ConnectFailedError,
    ExchangeError,
    SendFailedError,
)
from plantaincart_router.http.answerbuffers import AnswerBuffers, AnswerHolder
from plantaincart_router.http.clientsocket import (
    SendTimeout,
    make_socket,
    reset_on_close,
)
from plantaincart_router.http.codec import ClientCodec
from plantaincart_router.http.message import HttpAnswer, HttpRequest
from plantaincart_router.http.readpause import ReadPause

__all__ = ["HttpConnection"]

_numbers = count(1)


class HttpConnection(Protocol, AnswerHolder):
    """
    Client connection that carries one request at a time.

    Connections are made by `open`.

    Attributes
    ----------
    number : int
        Number of the connection, which no other one of this process has.
    last_answer_at : float
        Loop time in seconds when the last complete answer arrived, or when the
        connection was opened.
    rejected_ids : set of str
        Ids of requests that the server rejected on this connection, kept by its user.

    Notes
    -----
    An answer is complete when its body ended as Content-Length or the chunked
    coding requires; an answer that ends with the connection counts as lost.
    Bytes that arrive while no request is in progress close the connection, so an
    answer can't be taken for that of a later request. A connection whose
    exchange failed, timed out or was cancelled is aborted, and reset where bytes came
    that are no answer, so that a server that sends without end stops. Data is written
    to the socket synchronously after `before_write`, with no other task in between;
    bytes that don't fit into the socket's buffer follow later.
    """

    def __init__(
        self,
        address: str,
        accepts_unframed: bool = False,
        buffers: AnswerBuffers | None = None,
    ) -> None:
        self.number = next(_numbers)
        self._address = address
        self._loop = get_running_loop()
        self._transport: Transport | None = None
        self._buffers = buffers or AnswerBuffers()
        self._codec = ClientCodec(
            address, accepts_unframed, self._buffers.max_answer_bytes
        )
        self._matches_request: Callable[[HttpAnswer], bool] | None = None
        self._notify_started: Callable[[], None] | None = None
        self._waiter: Future[HttpAnswer] | None = None
        self._closed = False
        self._send_timeout: SendTimeout | None = None
        self._read_pause = ReadPause(self._loop, self._buffers.held_bytes)
        self.last_answer_at = 0.0
        self.rejected_ids: set[str] = set()

    @classmethod
    async def open(
        cls,
        host: str,
        port: int,
        timeout_s: float,
        accepts_unframed: bool = False,
        buffers: AnswerBuffers | None = None,
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
            Limit in seconds for opening the connection.
        accepts_unframed : bool
            Whether an answer without a length ends when the server closes the
            connection cleanly; otherwise such an answer is an error.
        buffers : AnswerBuffers, optional
            Limits of incomplete answers, shared with other connections.

        Returns
        -------
        HttpConnection
            Open connection without a request in progress.

        Raises
        ------
        ConnectFailedError
            If the connection can't be opened in time.
        """
        address = f"{host}:{port}"
        loop = get_running_loop()
        try:
            async with timeout(timeout_s):
                window = buffers.receive_window if buffers is not None else 0
                tcp_socket = make_socket(host, window)
                try:
                    await loop.sock_connect(tcp_socket, (host, port))
                except BaseException:
                    tcp_socket.close()
                    raise
                _, connection = await loop.create_connection(
                    lambda: cls(address, accepts_unframed, buffers), sock=tcp_socket
                )
                return connection
        except TimeoutError:
            raise ConnectFailedError(f"{address}: timeout") from None
        except (OSError, OverflowError, ValueError) as error:
            # A port out of range is an OverflowError, an invalid host a ValueError.
            refused = isinstance(error, ConnectionRefusedError)
            raise ConnectFailedError(f"{address}: {error}", refused=refused) from error

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
        matches_request: Callable[[HttpAnswer], bool] | None = None,
        notify_started: Callable[[], None] | None = None,
    ) -> HttpAnswer:
        """
        Send a request and wait for its complete answer.

        Parameters
        ----------
        request : HttpRequest
            Request without framing headers; these are derived from its body.
        timeout_s : float
            Limit in seconds until the complete answer has arrived.
        before_write : callable, optional
            Called directly before the bytes are written. If it raises, nothing is
            sent and the connection stays usable.
        matches_request : callable, optional
            Returns whether an answer belongs to the request. Other answers are
            discarded.
        notify_started : callable, optional
            Called once when the head of the answer has arrived.

        Returns
        -------
        HttpAnswer
            The complete answer.

        Raises
        ------
        SendFailedError
            If the connection had ended, is in use, or the request isn't valid HTTP;
            nothing was sent then. Also if the write failed.
        AnswerLostError
            If the connection ended before the complete answer.
        AnswerTimeoutError
            If the complete answer doesn't arrive in time.
        AnswerMalformedError
            If the answer isn't valid HTTP or exceeds a limit.
        """
        transport = self._transport
        if transport is None or not self.reusable:
            raise self._make_not_sent_error("connection ended or in use")
        if timeout_s <= 0.0:
            raise self._make_not_sent_error("no time left")
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
            if self._send_timeout is not None:
                self._send_timeout.start(len(data))
            transport.write(data)
            self._matches_request = matches_request
            self._notify_started = notify_started
            self._read_pause.start_answer()
            self._waiter = waiter
            return await waiter
        except (OSError, RuntimeError) as error:
            self.close()
            raise SendFailedError(f"{self._address}: {error}") from error
        except BaseException:
            self._reset_connection()
            raise
        finally:
            timer.cancel()
            self._waiter = None
            self._buffers.release(self)
            self._read_pause.end()

    def _reset_connection(self) -> None:
        """
        Abort the connection with a reset.

        After a plain close the kernel still retransmits unacknowledged bytes, possibly
        seconds later, so that the request could arrive after it was abandoned.
        """
        if self._transport is not None and not self._transport.is_closing():
            tcp_socket = self._transport.get_extra_info("socket")
            if tcp_socket is not None:
                reset_on_close(tcp_socket)
        self.close()

    def close(self) -> None:
        """Abort the connection; an exchange in progress fails as lost."""
        if self._send_timeout is not None:
            self._send_timeout.stop()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()
        self._fail_exchange(AnswerLostError(f"{self._address}: connection aborted"))

    def connection_made(self, transport: BaseTransport) -> None:
        """Store the transport of the new connection."""
        self._transport = cast(Transport, transport)
        tcp_socket = transport.get_extra_info("socket")
        if tcp_socket is not None:
            self._send_timeout = SendTimeout(self._loop, tcp_socket)
        self.last_answer_at = self._loop.time()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail an exchange in progress as lost."""
        if self._send_timeout is not None:
            self._send_timeout.stop()
        self._fail_exchange(
            AnswerLostError(f"{self._address}: {exc or 'connection ended'}")
        )

    def eof_received(self) -> bool:
        """Finish an answer without a length, or fail the exchange as lost."""
        self._closed = True
        if self._waiter is not None and not self._waiter.done():
            answer = self._codec.read_end()
            if answer is not None and (
                self._matches_request is None or self._matches_request(answer)
            ):
                self._waiter.set_result(answer)
        self._fail_exchange(AnswerLostError(f"{self._address}: connection ended"))
        return False

    def data_received(self, data: bytes) -> None:
        """Decode received bytes; close the connection if no request waits for any."""
        if self._waiter is None or self._waiter.done():
            self._reset_connection()
            return
        try:
            answer = self._codec.read(data)
            while (
                answer is not None
                and self._matches_request
                and not self._matches_request(answer)
            ):
                answer = self._codec.skip_answer()
        except ExchangeError as error:
            self._fail_exchange(error)
            self._reset_connection()
            return
        if self._notify_started is not None and (
            answer is not None or self._codec.has_head
        ):
            self._notify_started()
            self._notify_started = None
        if answer is None:
            held_bytes = self._codec.buffered_bytes
            if held_bytes:
                self._buffers.hold(self, held_bytes)
            self._read_pause.check(self._transport, held_bytes)
            return
        waiter, self._waiter = self._waiter, None
        self.last_answer_at = self._loop.time()
        if self._codec.reusable:
            self._codec.start_next()
        else:
            self.close()
        waiter.set_result(answer)

    def discard_answer(self) -> None:
        """Give up an incomplete answer, since all together need too much memory."""
        limit = self._buffers.max_total_bytes
        self._fail_exchange(
            AnswerMalformedError(
                f"{self._address}: answers in progress above {limit} bytes"
            )
        )
        self._reset_connection()
        self._codec.reset()

    def _encode(self, request: HttpRequest) -> bytes:
        try:
            return self._codec.encode(request)
        except SendFailedError:
            self.close()
            raise

    def _make_not_sent_error(self, detail: str) -> SendFailedError:
        return SendFailedError(f"{self._address}: {detail}", may_have_started=False)

    def _expire(self, waiter: Future[HttpAnswer]) -> None:
        if not waiter.done():
            waiter.set_exception(AnswerTimeoutError(f"{self._address}: timeout"))

    def _fail_exchange(self, error: ExchangeError) -> None:
        self._closed = True
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(error)
