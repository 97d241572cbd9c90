"""HTTP server of the stand-ins, which can inject faults into its answers."""

from abc import ABC, abstractmethod
from asyncio import (
    AbstractServer,
    BaseTransport,
    CancelledError,
    Protocol,
    Task,
    Transport,
    get_running_loop,
)
from collections.abc import Sequence
from enum import Enum, auto
from typing import TypeVar, cast

from h11 import (
    DONE,
    NEED_DATA,
    PAUSED,
    SERVER,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    RemoteProtocolError,
    Request,
    Response,
)
from plantaincart_router.http.message import Header, HttpAnswer, HttpRequest
from plantaincart_schema.codec import encode_json
from plantaincart_schema.exception import MalformedMessageError

__all__ = ["Handler", "Listener", "WireFault", "AnswerWithFault", "answer_json"]

BACKLOG = 1024
MAX_REQUEST_BYTES = 64 * 1024

T = TypeVar("T")


class WireFault(Enum):
    """
    Fault injected into the bytes of an answer.

    `REPEAT` writes it once more when the next request on the connection has come;
    `CUT_HEAD` leaves out all from the blank line after the head, and closes.
    """

    NONE = auto()
    LOSE = auto()
    SILENCE = auto()
    TRUNCATE = auto()
    DUPLICATE = auto()
    CROSS = auto()
    REPEAT = auto()
    CUT_HEAD = auto()


AnswerWithFault = tuple[HttpAnswer, WireFault]


class Handler(ABC):
    """Answers the requests of a listener."""

    @abstractmethod
    async def handle(self, request: HttpRequest) -> AnswerWithFault:
        """
        Answer a request.

        Parameters
        ----------
        request : HttpRequest
            Request with its complete body.

        Returns
        -------
        answer : HttpAnswer
            The answer.
        fault : WireFault
            Fault to inject into the bytes of the answer.
        """

    def handle_ignored(self) -> None:
        """Handle bytes on a connection that is silent; they get no answer."""
        return


class Listener:
    """
    Accepts connections on one address and serves them by a handler.

    Parameters
    ----------
    handler : Handler
        Answers the requests.
    max_connections : int
        Maximum number of connections; further ones are closed immediately.
    cancels_on_disconnect : bool
        Whether a request is cancelled when its caller closes the connection.
    """

    def __init__(
        self,
        handler: Handler,
        max_connections: int = 4096,
        cancels_on_disconnect: bool = False,
    ) -> None:
        self.handler = handler
        self.max_connections = max_connections
        self.cancels_on_disconnect = cancels_on_disconnect
        self.connections: set[_Connection] = set()
        self.is_silent = False
        self._server: AbstractServer | None = None

    async def start(self, host: str, port: int) -> int:
        """
        Start to listen.

        Parameters
        ----------
        host : str
            IP address to bind.
        port : int
            TCP port to bind; 0 to use any free port.

        Returns
        -------
        int
            Port that was bound.
        """
        loop = get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), host, port, backlog=BACKLOG
        )
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    def silence_open(self) -> None:
        """Stop answering on the connections that are open now."""
        for connection in self.connections:
            connection.is_silent = True

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            connection.abort()


class _Connection(Protocol):
    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self._http = Connection(SERVER, MAX_REQUEST_BYTES)
        self._head: Request | None = None
        self._body: list[bytes] = []
        self._transport: Transport
        self._task: Task[None] | None = None
        self._late_copy = b""
        self.is_silent = False

    def connection_made(self, transport: BaseTransport) -> None:
        self._transport = cast(Transport, transport)
        if len(self._listener.connections) >= self._listener.max_connections:
            self._transport.abort()
            return
        self._listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._listener.connections.discard(self)
        if self._task is not None and self._listener.cancels_on_disconnect:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        if self.is_silent or self._listener.is_silent:
            self.is_silent = True
            self._listener.handler.handle_ignored()
            return
        try:
            self._http.receive_data(data)
            if self._task is None:
                self._read_events()
        except RemoteProtocolError:
            self.abort()

    def abort(self) -> None:
        self._transport.abort()

    def _read_events(self) -> None:
        while True:
            event = self._http.next_event()
            if event is NEED_DATA or event is PAUSED:
                return
            if isinstance(event, Request):
                self._head, self._body = event, []
            elif isinstance(event, Data):
                self._body.append(event.data)
            elif isinstance(event, EndOfMessage):
                self._transport.write(self._late_copy)
                self._late_copy = b""
                self._task = get_running_loop().create_task(self._answer())
                return
            elif isinstance(event, ConnectionClosed):
                return

    async def _answer(self) -> None:
        request = _read_request(cast(Request, self._head), b"".join(self._body))
        try:
            answer, fault = await self._listener.handler.handle(request)
        except CancelledError:
            self.abort()
            return
        except MalformedMessageError as error:
            answer, fault = answer_json(400, {"detail": str(error)}), WireFault.NONE
        if self._transport.is_closing():
            return
        if self.is_silent or fault is WireFault.SILENCE:
            self.is_silent = True
            return
        if fault is WireFault.LOSE:
            self.abort()
            return
        self._write(self._encode(answer, request.method == "HEAD"), fault)

    def _encode(self, answer: HttpAnswer, is_head: bool) -> bytes:
        length = ("content-length", str(len(answer.body)))
        head = Response(status_code=answer.status, headers=[*answer.headers, length])
        parts = [self._http.send(head)]
        if answer.body and not is_head:
            parts.append(self._http.send(Data(data=answer.body)))
        parts.append(self._http.send(EndOfMessage()))
        return b"".join(part for part in parts if part)

    def _write(self, data: bytes, fault: WireFault) -> None:
        if fault is WireFault.TRUNCATE:
            self._transport.write(data[: len(data) * 3 // 4])
            self._transport.close()
            return
        if fault is WireFault.CUT_HEAD:
            self._transport.write(data[: data.index(b"\r\n\r\n") + 2])
            self._transport.close()
            return
        if fault is WireFault.REPEAT:
            self._late_copy = data
        is_doubled = fault in (WireFault.DUPLICATE, WireFault.CROSS)
        self._transport.write(data + data if is_doubled else data)
        self._task = None
        if self._http.our_state is not DONE or self._http.their_state is not DONE:
            self._transport.close()
            return
        self._http.start_next_cycle()
        self._read_events()


def _read_request(head: Request, body: bytes) -> HttpRequest:
    headers: tuple[Header, ...] = tuple(
        (name.decode("ascii"), value.decode("latin-1")) for name, value in head.headers
    )
    return HttpRequest(
        method=head.method.decode("ascii"),
        target=head.target.decode("ascii"),
        headers=headers,
        body=body,
    )


def answer_json(
    status: int, value: object, headers: Sequence[Header] = ()
) -> HttpAnswer:
    """
    Build an answer with a JSON body.

    Parameters
    ----------
    status : int
        Status code.
    value : object
        Data class or plain value.
    headers : sequence of (str, str)
        Headers in addition to the content type.

    Returns
    -------
    HttpAnswer
        The answer.
    """
    content_type = ("content-type", "application/json")
    return HttpAnswer(status, (content_type, *headers), encode_json(value))
