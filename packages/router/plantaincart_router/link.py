"""A connection to one peer and the requests that wait for its answers."""

from asyncio import AbstractEventLoop, Future
from collections.abc import Callable
from itertools import count
from time import monotonic

from plantaincart_schema.codec import decode_msgpack
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.mesh import Envelope
from zmq import DEALER, IMMEDIATE, Context
from zmq import Socket as ZmqSocket

from plantaincart_router.exception import PeerLostError
from plantaincart_router.socket import LoopSocket

__all__ = ["PeerLink"]


class PeerLink:
    """
    A connection to a peer that can be replaced when it is silent.

    Parameters
    ----------
    name : str
        Name of the peer.
    host, port : str, int
        Mesh address of the peer.
    incarnation : str
        Incarnation of this instance; answers to another incarnation are dropped.
    context : zmq.Context
        Context of the process.
    loop : asyncio.AbstractEventLoop
        Loop that watches the socket.
    report_malformed : callable
        Called with the peer's name and the reason when a message is malformed.

    Attributes
    ----------
    last_received_at : float
        Time in seconds of the loop's clock of the last answer or replacement.
    silent : bool
        Whether no answer has arrived since the last replacement.
    """

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        incarnation: str,
        context: "Context[ZmqSocket[bytes]]",
        loop: AbstractEventLoop,
        report_malformed: Callable[[str, str], None],
    ) -> None:
        self.name = name
        self.host = host
        self.port = port
        self.last_received_at = monotonic()
        self.replacement_count = 0
        self.silent = False
        self._incarnation = incarnation
        self._context = context
        self._loop = loop
        self._report_malformed = report_malformed
        self._message_numbers = count(1)
        self._pending: dict[int, Future[bytes]] = {}
        self._socket = self._open_socket()

    @property
    def pending(self) -> int:
        """Number of requests that wait for an answer."""
        return len(self._pending)

    def send(self, envelope: Callable[[int], bytes], payload: bytes) -> bool:
        """Send a message that expects no answer; return whether it was queued."""
        return self._socket.send([envelope(next(self._message_numbers)), payload])

    def request(
        self, envelope: Callable[[int], bytes], payload: bytes
    ) -> "Future[bytes]":
        """
        Send a message and return the future of its answer.

        Parameters
        ----------
        envelope : callable
            Builds the encoded envelope from the message number.
        payload : bytes
            Encoded message.

        Returns
        -------
        asyncio.Future
            Payload of the answer, or `PeerLostError` if the connection is replaced
            first. Cancelling the future removes the request.
        """
        number = next(self._message_numbers)
        future: Future[bytes] = self._loop.create_future()
        self._pending[number] = future
        future.add_done_callback(lambda _: self._pending.pop(number, None))
        if not self._socket.send([envelope(number), payload]):
            future.set_exception(PeerLostError(self.name, sent=False))
        return future

    def replace(self) -> None:
        """Open a new connection and fail the requests pending on the old one."""
        self.replacement_count += 1
        self.silent = True
        self._socket.close()
        self._socket = self._open_socket()
        self.last_received_at = monotonic()
        self.fail_pending()

    def fail_pending(self) -> None:
        """Fail all pending requests with `PeerLostError`."""
        for future in list(self._pending.values()):
            if not future.done():
                future.set_exception(PeerLostError(self.name, sent=True))

    def close(self) -> None:
        """Close the connection and fail all pending requests."""
        self._socket.close()
        self.fail_pending()

    def _open_socket(self) -> LoopSocket:
        socket = LoopSocket(self._context, DEALER, self._loop, self._receive)
        # Otherwise messages for a stopped peer are queued and reach its next
        # incarnation.
        socket.set_option(IMMEDIATE, 1)
        socket.connect(self.host, self.port)
        return socket

    def _receive(self, frames: list[bytes]) -> None:
        if len(frames) != 2:
            self._report_malformed(self.name, f"{len(frames)} frames, expected 2")
            return
        try:
            envelope = decode_msgpack(frames[0], Envelope)
        except MalformedMessageError as error:
            self._report_malformed(self.name, str(error))
            return
        if envelope.incarnation != self._incarnation:
            return
        self.last_received_at = monotonic()
        self.silent = False
        future = self._pending.get(envelope.id)
        if future is not None and not future.done():
            future.set_result(frames[1])
