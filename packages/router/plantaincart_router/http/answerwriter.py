"""Writes the answers of one connection to its caller, large ones in pieces."""

from asyncio import Transport
from collections.abc import Callable

from plantaincart_router.http.caller import ConnectionOwner
from plantaincart_router.http.heldbytes import HeldKind
from plantaincart_router.http.pacing import BulkWriter

__all__ = ["AnswerWriter"]


class AnswerWriter(BulkWriter):
    """
    Writes answers, and counts what the caller hasn't taken.

    Parameters
    ----------
    owner : ConnectionOwner
        Server with the count of held bytes and the pacer.
    transport : Transport
        Transport of the connection.
    finish : callable
        Called after an answer whose writing had to wait is written whole.
    record_progress : callable
        Called when the caller has taken a piece of a large answer.

    Attributes
    ----------
    is_writable : bool
        Whether the caller has taken all that was passed to the transport.

    Notes
    -----
    A large answer is written at the server's pace, and each piece only after the caller
    has taken the one before. The connection of an answer that stays unfinished is
    aborted; its Content-Length shows that bytes are missing.
    """

    def __init__(
        self,
        owner: ConnectionOwner,
        transport: Transport,
        finish: Callable[[], None],
        record_progress: Callable[[], None],
    ) -> None:
        # Writing pauses while any byte is unsent, so that unread answers are counted.
        transport.set_write_buffer_limits(high=0)
        self._owner = owner
        self._transport = transport
        self._finish = finish
        self._record_progress = record_progress
        self._rest: memoryview | None = None
        self._counted_bytes = 0
        self.is_writable = True

    def write(self, data: bytes) -> bool:
        """
        Write an answer.

        Parameters
        ----------
        data : bytes
            Head and body.

        Returns
        -------
        bool
            Whether it was passed to the transport whole; otherwise `finish` is called
            later.
        """
        pacer = self._owner.pacer
        if pacer is None or len(data) <= pacer.piece_bytes:
            self._transport.write(data)
            self._count(self._count_unsent())
            return True
        self._rest = memoryview(data)
        self._count(len(data))
        pacer.add(self)
        return False

    def write_piece(self, max_bytes: int) -> int:
        """Write the next bytes of a large answer."""
        rest = self._rest
        if rest is None or not self.is_writable or self._transport.is_closing():
            return 0
        piece = rest[:max_bytes]
        self._rest = rest[max_bytes:] or None
        self._transport.write(piece)
        if self._rest is None:
            self._count(self._count_unsent())
            self._finish()
        elif self.is_writable:
            self._record_progress()
        return len(piece)

    def pause(self) -> None:
        """Wait until the caller has taken what was passed to the transport."""
        self.is_writable = False

    def resume(self) -> None:
        """Go on with the rest of a large answer."""
        self.is_writable = True
        if self._rest is None:
            self._count(0)
        elif self._owner.pacer is not None:
            self._record_progress()
            self._owner.pacer.add(self)

    def close(self) -> None:
        """Discard what isn't written, since the connection has ended."""
        if self._rest is not None and self._owner.pacer is not None:
            self._owner.pacer.remove(self)
        self._rest = None
        self._count(0)

    def _count_unsent(self) -> int:
        return 0 if self.is_writable else self._transport.get_write_buffer_size()

    def _count(self, byte_count: int) -> None:
        added = byte_count - self._counted_bytes
        self._counted_bytes = byte_count
        if added > 0:
            self._owner.held.add(HeldKind.OUTGOING, added)
        elif added < 0:
            self._owner.held.remove(HeldKind.OUTGOING, -added)
