"""Pieces in which large answers are written, so that small ones go between them."""

from abc import ABC, abstractmethod
from asyncio import AbstractEventLoop, Handle
from collections import deque

__all__ = ["BulkPacer", "BulkWriter"]

# Seconds of the link's time that one piece takes, and between pieces. A small answer
# waits for one piece of all large answers together.
PIECE_S = 0.02
# Fraction of the link that large answers use together. Small answers use the rest, so
# that no queue grows at the link.
BULK_SHARE = 0.85
# Most pieces written at once after a delay of the event loop.
MAX_PIECES = 2
BYTES_PER_MBIT = 125_000


class BulkWriter(ABC):
    """Writes one large answer in pieces."""

    @abstractmethod
    def write_piece(self, max_bytes: int) -> int:
        """
        Write the next bytes, if the caller takes any.

        Parameters
        ----------
        max_bytes : int
            Maximum number of bytes.

        Returns
        -------
        int
            Number of bytes written; 0 if the answer is finished, or the caller hasn't
            taken the earlier ones. The writer is then dropped, and registers again.
        """


class BulkPacer:
    """
    Paces all large answers of an instance by the speed of its network link.

    Parameters
    ----------
    loop : AbstractEventLoop
        Event loop of the connections.
    link_mbps : float
        Speed of the link in Mbit/s.

    Attributes
    ----------
    piece_bytes : int
        Size in bytes up to which an answer is written at once, and of pieces.

    Notes
    -----
    Writers take turns. A caller that doesn't read keeps none of the others waiting.
    """

    def __init__(self, loop: AbstractEventLoop, link_mbps: float) -> None:
        self._loop = loop
        self._bytes_per_s = link_mbps * BYTES_PER_MBIT
        self.piece_bytes = max(1, int(self._bytes_per_s * PIECE_S))
        self._writers: deque[BulkWriter] = deque()
        self._timer: Handle | None = None
        self._written_at = -PIECE_S

    def add(self, writer: BulkWriter) -> None:
        """Give a writer its turns until it writes nothing."""
        if writer not in self._writers:
            self._writers.append(writer)
        if self._timer is None:
            self._timer = self._loop.call_soon(self._write_pieces)

    def remove(self, writer: BulkWriter) -> None:
        """Give a writer no more turns."""
        if writer in self._writers:
            self._writers.remove(writer)

    def _write_pieces(self) -> None:
        now = self._loop.time()
        elapsed_s = min(now - self._written_at, MAX_PIECES * PIECE_S)
        self._written_at = now
        left = int(elapsed_s * self._bytes_per_s * BULK_SHARE)
        while left > 0 and self._writers:
            writer = self._writers.popleft()
            written = writer.write_piece(left)
            left -= written
            if written:
                self._writers.append(writer)
        # A last turn without writers keeps the pause before the next answer.
        is_idle = not self._writers and left > 0
        self._timer = None
        if not is_idle or elapsed_s < PIECE_S:
            self._timer = self._loop.call_later(PIECE_S, self._write_pieces)
