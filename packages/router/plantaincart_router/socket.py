"""ZeroMQ sockets on the event loop."""

from asyncio import AbstractEventLoop
from collections.abc import Callable
from contextlib import suppress
from ipaddress import ip_address

from plantaincart_schema.exception import MalformedMessageError
from zmq import (
    EVENTS,
    FD,
    LINGER,
    NOBLOCK,
    POLLIN,
    RCVHWM,
    SNDHWM,
    Again,
    Context,
    ZMQError,
)
from zmq import Socket as ZmqSocket

from plantaincart_router.log import write_event

__all__ = ["LoopSocket", "format_address"]

HIGH_WATER_MARK_MESSAGES = 10_000
READS_PER_TURN = 64
MAX_PORT = 65535


class LoopSocket:
    """
    A ZeroMQ socket whose messages are delivered by the event loop.

    Parameters
    ----------
    context : zmq.Context
        Context of the process.
    kind : int
        Socket type, for example ``zmq.DEALER``.
    loop : asyncio.AbstractEventLoop
        Loop that watches the socket.
    receive : callable
        Called with the frames of each message.

    Notes
    -----
    The descriptor of a ZeroMQ socket is edge-triggered and a send may consume the
    edge, so the socket is checked for messages after each send. At most
    `READS_PER_TURN` messages are delivered before control returns to the event loop.
    """

    def __init__(
        self,
        context: "Context[ZmqSocket[bytes]]",
        kind: int,
        loop: AbstractEventLoop,
        receive: Callable[[list[bytes]], None],
    ) -> None:
        self._loop = loop
        self._receive = receive
        self._socket = context.socket(kind)
        self._socket.setsockopt(LINGER, 0)
        self._socket.setsockopt(SNDHWM, HIGH_WATER_MARK_MESSAGES)
        self._socket.setsockopt(RCVHWM, HIGH_WATER_MARK_MESSAGES)
        self._descriptor = int(self._socket.getsockopt(FD))
        self._scheduled = False
        loop.add_reader(self._descriptor, self._read_messages)

    def bind(self, host: str, port: int) -> None:
        """Accept connections on a TCP address."""
        self._socket.bind(format_address(host, port))

    def connect(self, host: str, port: int) -> None:
        """Connect to a TCP address; returns before the connection is made."""
        self._socket.connect(format_address(host, port))
        self._schedule_read()

    def set_option(self, option: int, value: int) -> None:
        """Set an integer option of the socket."""
        self._socket.setsockopt(option, value)

    def send(self, frames: list[bytes]) -> bool:
        """
        Send a message without waiting.

        Returns
        -------
        bool
            Whether the message was queued; False if the peer is disconnected or its
            queue is full.
        """
        try:
            self._socket.send_multipart(frames, NOBLOCK)
        except (Again, ZMQError):
            return False
        finally:
            self._schedule_read()
        return True

    def close(self) -> None:
        """Close the socket and drop its queued messages."""
        if not self._socket.closed:
            self._loop.remove_reader(self._descriptor)
            self._socket.close(0)

    def _schedule_read(self) -> None:
        if not self._scheduled and not self._socket.closed:
            self._scheduled = True
            self._loop.call_soon(self._read_scheduled)

    def _read_scheduled(self) -> None:
        self._scheduled = False
        self._read_messages()

    def _read_messages(self) -> None:
        with suppress(Again):
            for _ in range(READS_PER_TURN):
                if self._socket.closed:
                    return
                if not int(self._socket.getsockopt(EVENTS)) & POLLIN:
                    return
                self._deliver(self._socket.recv_multipart(NOBLOCK))
        self._schedule_read()

    def _deliver(self, frames: list[bytes]) -> None:
        # Otherwise an error would leave further messages unread until the next edge.
        try:
            self._receive(frames)
        except Exception as error:
            write_event("mesh_receive_failed", error=repr(error))


def format_address(host: str, port: int) -> str:
    """
    Format a TCP address for ZeroMQ.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.

    Returns
    -------
    str
        Endpoint as ZeroMQ expects it.

    Raises
    ------
    MalformedMessageError
        If the host or the port is invalid.

    Examples
    --------
    >>> format_address("::1", 80)
    'tcp://[::1]:80'
    """
    try:
        address = ip_address(host)
    except ValueError as error:
        raise MalformedMessageError(f"mesh address: {error}") from None
    if not 0 < port <= MAX_PORT:
        raise MalformedMessageError(f"mesh address: {port} is not a port")
    host_part = f"[{address}]" if address.version == 6 else str(address)
    return f"tcp://{host_part}:{port}"
