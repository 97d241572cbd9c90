"""One connection through the fault-injecting proxy."""

from abc import ABC, abstractmethod
from asyncio import BaseTransport, Protocol, Task, Transport, get_running_loop
from collections import deque
from typing import cast

from plantaincart_testing.proxy_fault import (
    Direction,
    PassMode,
    RouteFaults,
    RouteSettings,
)
from plantaincart_testing.source import Connection

__all__ = ["Pipe", "PipeEnd", "PipeOwner"]

CONNECT_TIMEOUT_S = 5.0
NOT_CONNECTED: Connection = (("0.0.0.0", 0), ("0.0.0.0", 0))


class PipeOwner(ABC):
    """Route that a connection belongs to."""

    settings: RouteSettings

    @abstractmethod
    def accept(self, end: "PipeEnd") -> "Pipe | None":
        """Accept a new connection, or return None to refuse it."""

    @abstractmethod
    def count_bytes(self, to_target: bool, size: int) -> None:
        """Count bytes that were forwarded."""

    @abstractmethod
    def remove(self, pipe: "Pipe") -> None:
        """Remove a connection that has ended."""


class PipeEnd(Protocol):
    """
    One of the two sockets of a proxied connection.

    Parameters
    ----------
    owner : PipeOwner
        Route that accepts the connection; unused at the target's end.
    pipe : Pipe, optional
        Connection that the socket belongs to; None at the source's end.
    """

    def __init__(self, owner: PipeOwner, pipe: "Pipe | None" = None) -> None:
        self._owner = owner
        self._pipe = pipe
        self._is_target = pipe is not None
        self.transport: Transport | None = None

    def connection_made(self, transport: BaseTransport) -> None:
        """Attach the socket to its connection, or reset it if the route is cut."""
        self.transport = cast(Transport, transport)
        if self._pipe is None:
            self._pipe = self._owner.accept(self)
            if self._pipe is None:
                self.transport.abort()
                return
            self._pipe.connect()

    def data_received(self, data: bytes) -> None:
        """Forward bytes to the other end."""
        if self._pipe is not None:
            self._pipe.enqueue(data, to_target=not self._is_target)

    def eof_received(self) -> bool:
        """Forward the end of the stream."""
        if self._pipe is not None:
            self._pipe.enqueue(b"", to_target=not self._is_target)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other end."""
        if self._pipe is not None:
            self._pipe.end(from_target=self._is_target, was_reset=exc is not None)

    def read_connection(self) -> Connection:
        """Return the addresses of the other side of this socket, and of this one."""
        if self.transport is None:
            return NOT_CONNECTED
        peer, own = (
            self.transport.get_extra_info(name) for name in ("peername", "sockname")
        )
        return (peer, own) if peer and own else NOT_CONNECTED


class Pipe:
    """
    A connection through the proxy: a socket on each side.

    Parameters
    ----------
    owner : PipeOwner
        Route of the connection.
    source_end : PipeEnd
        The accepted socket.
    source : str
        Name of the process that opened the connection; empty if unknown.
    faults : RouteFaults
        Faults in force.

    Notes
    -----
    Each direction has one queue in which bytes wait until they are due, so a
    delay never reorders them. Dropped bytes aren't sent again: the connection
    stays broken after the fault has ended, like one whose state a middlebox has
    lost, and neither end is notified that the other has closed. The event loop
    rounds delays up to about 1 ms.
    """

    def __init__(
        self, owner: PipeOwner, source_end: PipeEnd, source: str, faults: RouteFaults
    ) -> None:
        self.source = source
        self.source_connection = source_end.read_connection()
        self._owner = owner
        self._source_end = source_end
        self._target_end = PipeEnd(owner, self)
        self._faults = faults
        self._is_silent = False
        self._has_ended = False
        self._queues: dict[bool, deque[tuple[float, bytes]]] = {
            True: deque(),
            False: deque(),
        }
        self._has_dropped = {True: False, False: False}
        self._connecting: Task[None] | None = None

    def connect(self) -> None:
        """Open the socket to the target, which no handshake reaches in a silence."""
        if self._is_dropping(to_target=True) or self._is_dropping(to_target=False):
            self.silence()
            return
        self._connecting = get_running_loop().create_task(self._connect())

    def set_faults(self, faults: RouteFaults) -> None:
        """Set the faults of the connection."""
        self._faults = faults
        if faults.mode is PassMode.CUT:
            self.abort()

    def silence(self) -> None:
        """Drop all further bytes and never close."""
        self._is_silent = True

    def abort(self) -> None:
        """Reset both sockets."""
        self._finish(was_reset=True)

    def enqueue(self, data: bytes, to_target: bool) -> None:
        """Queue bytes until they are due; empty bytes mean the end of the stream."""
        if self._is_dropping(to_target):
            self._has_dropped[to_target] = True
        if self._has_dropped[to_target]:
            return
        loop = get_running_loop()
        queue = self._queues[to_target]
        last_due_at = queue[-1][0] if queue else 0.0
        delay_s, transmission_s = self._find_delays(len(data), to_target)
        due_at = max(loop.time() + delay_s, last_due_at + transmission_s)
        if delay_s <= 0 and not queue and self._find_transport(to_target) is not None:
            self._write(data, to_target)
            return
        queue.append((due_at, data))
        if len(queue) == 1:
            loop.call_at(due_at, self._flush, to_target)

    def end(self, from_target: bool, was_reset: bool) -> None:
        """Close the other socket after one has ended, unless a fault hides the end."""
        if self._is_dropping(not from_target) or self._has_dropped[not from_target]:
            self._has_dropped = {True: True, False: True}
            return
        self._finish(was_reset)

    async def _connect(self) -> None:
        settings = self._owner.settings
        loop = get_running_loop()
        try:
            await loop.create_connection(
                lambda: self._target_end, settings.target_host, settings.target_port
            )
        except OSError:
            self.abort()
            return
        if self._has_ended:
            self._finish(was_reset=True)
            return
        self._flush(to_target=True)

    def _is_dropping(self, to_target: bool) -> bool:
        if self._is_silent:
            return True
        return self._faults.mode is PassMode.SILENT and self._is_affected(to_target)

    def _is_affected(self, to_target: bool) -> bool:
        direction = Direction.TO_TARGET if to_target else Direction.TO_SOURCE
        return self._faults.direction in (Direction.BOTH, direction)

    def _find_delays(self, size: int, to_target: bool) -> tuple[float, float]:
        faults, delay_s = self._faults, self._owner.settings.delay_s
        if not self._is_affected(to_target):
            return delay_s, 0.0
        transmission_s = size / faults.bytes_per_s if faults.bytes_per_s > 0 else 0.0
        return delay_s + faults.delay_s + transmission_s, transmission_s

    def _flush(self, to_target: bool) -> None:
        if self._find_transport(to_target) is None:
            return
        loop = get_running_loop()
        queue = self._queues[to_target]
        while queue and queue[0][0] <= loop.time():
            self._write(queue.popleft()[1], to_target)
        if queue:
            loop.call_at(queue[0][0], self._flush, to_target)

    def _find_transport(self, to_target: bool) -> Transport | None:
        return (self._target_end if to_target else self._source_end).transport

    def _write(self, data: bytes, to_target: bool) -> None:
        transport = self._find_transport(to_target)
        if transport is None or transport.is_closing():
            return
        if not data:
            transport.write_eof()
            return
        self._owner.count_bytes(to_target, len(data))
        transport.write(data)

    def _finish(self, was_reset: bool) -> None:
        self._has_ended = True
        self._owner.remove(self)
        for transport in (self._source_end.transport, self._target_end.transport):
            if transport is None or transport.is_closing():
                continue
            if was_reset:
                transport.abort()
            else:
                transport.close()
