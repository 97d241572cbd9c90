"""Interfaces between a connection, its server and the request handler."""

from abc import ABC, abstractmethod
from asyncio import AbstractEventLoop, Event
from collections.abc import Awaitable, Callable

from plantaincart_schema.generated.settings import EntrySettings

from plantaincart_router.http.heldbytes import HeldBytes
from plantaincart_router.http.message import HttpAnswer, HttpRequest
from plantaincart_router.http.pacing import BulkPacer

__all__ = ["CallerConnection", "Closable", "ConnectionOwner", "Handler"]


class CallerConnection:
    """
    Notify a request handler when the caller closes the connection.

    Attributes
    ----------
    disconnected : Event
        Set when the caller has closed its side of the connection.
    """

    def __init__(self) -> None:
        self.disconnected = Event()
        self._callback: Callable[[], None] | None = None

    def set_disconnect_callback(self, callback: Callable[[], None] | None) -> None:
        """
        Register the function that is called when the caller closes its side.

        Parameters
        ----------
        callback : callable or None
            Called once, immediately if the caller has already closed its side.
            Replaces an earlier callback; None removes it.
        """
        self._callback = callback
        if callback is not None and self.disconnected.is_set():
            callback()

    def set_disconnected(self) -> None:
        """Set `disconnected` and run the callback; later calls have no effect."""
        if self.disconnected.is_set():
            return
        self.disconnected.set()
        if self._callback is not None:
            self._callback()


Handler = Callable[[HttpRequest, CallerConnection], Awaitable[HttpAnswer]]


class Closable(ABC):
    """Interface through which a server closes its connections."""

    @property
    @abstractmethod
    def idle_since(self) -> float | None:
        """Loop time of the last activity, or None while a request is in progress."""

    @abstractmethod
    def close(self) -> None:
        """Close the connection after the buffered output has been sent."""

    @abstractmethod
    def refuse_incomplete(self, detail: str) -> None:
        """Reject a request that hasn't arrived completely, if there is one."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection immediately and discard buffered output."""


class ConnectionOwner(ABC):
    """
    Interface through which a connection uses the server that accepted it.

    Attributes
    ----------
    limits : EntrySettings
        Size limits and timeouts.
    handler : callable
        Coroutine function that answers a request.
    loop : AbstractEventLoop
        Event loop of the server.
    closing : bool
        Whether each connection is closed after its next answer.
    held : HeldBytes
        Count of all bytes that the instance holds.
    pacer : BulkPacer or None
        Paces large answers; None to write them at once.
    """

    limits: EntrySettings
    handler: Handler
    loop: AbstractEventLoop
    closing: bool
    held: HeldBytes
    pacer: BulkPacer | None

    @abstractmethod
    def add(self, connection: Closable) -> bool:
        """Register a new connection; return False if there are too many."""

    @abstractmethod
    def remove(self, connection: Closable) -> None:
        """Remove a connection that has ended."""

    @abstractmethod
    def report_failure(self, request: HttpRequest, error: Exception) -> None:
        """Log an unexpected error raised by the handler."""
