"""Limits on the bytes that incomplete answers occupy."""

from abc import ABC, abstractmethod

from plantaincart_router.http.heldbytes import HeldBytes, HeldKind

__all__ = ["AnswerBuffers", "AnswerHolder"]

MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_TOTAL_BYTES = 64 * 1024 * 1024


class AnswerHolder(ABC):
    """Holds the bytes of one incomplete answer."""

    @abstractmethod
    def discard_answer(self) -> None:
        """Give up the answer, since all answers together need too much memory."""


class AnswerBuffers:
    """
    Limits of the bytes held for incomplete answers on several connections.

    Parameters
    ----------
    max_answer_bytes : int
        Maximum size in bytes of the body of one answer.
    max_total_bytes : int
        Maximum size in bytes of all incomplete answers together.
    held : HeldBytes, optional
        Count of all bytes that the instance holds.
    receive_window : int
        Size in bytes of the receive buffer of connections; 0 for the system's.

    Notes
    -----
    Above the total, the largest incomplete answer is given up, so that servers that
    send without end don't cost answers of the usual size.

    Examples
    --------
    >>> class Holder(AnswerHolder):
    ...     def discard_answer(self):
    ...         print("discarded")
    >>> buffers = AnswerBuffers(max_answer_bytes=10, max_total_bytes=12)
    >>> large, small = Holder(), Holder()
    >>> buffers.hold(large, 9)
    >>> buffers.hold(small, 4)
    discarded
    >>> buffers.total_bytes
    4
    """

    def __init__(
        self,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        max_total_bytes: int = MAX_TOTAL_BYTES,
        held: HeldBytes | None = None,
        receive_window: int = 0,
    ) -> None:
        self.max_answer_bytes = max_answer_bytes
        self.max_total_bytes = max_total_bytes
        self.held_bytes = held or HeldBytes()
        self.receive_window = receive_window
        self.total_bytes = 0
        self._held: dict[AnswerHolder, int] = {}

    def hold(self, holder: AnswerHolder, byte_count: int) -> None:
        """
        Record how many bytes are held for an incomplete answer.

        Parameters
        ----------
        holder : AnswerHolder
            Holder of the answer.
        byte_count : int
            All bytes held for it at present.
        """
        added = byte_count - self._held.get(holder, 0)
        self.total_bytes += added
        self.held_bytes.add(HeldKind.INCOMING, added)
        self._held[holder] = byte_count
        while self._held and self._is_above_limit:
            largest = max(self._held, key=self._held.__getitem__)
            self.release(largest)
            largest.discard_answer()

    def release(self, holder: AnswerHolder) -> None:
        """Record that nothing is held any more for an answer."""
        byte_count = self._held.pop(holder, 0)
        self.total_bytes -= byte_count
        self.held_bytes.remove(HeldKind.INCOMING, byte_count)

    @property
    def _is_above_limit(self) -> bool:
        return self.total_bytes > self.max_total_bytes or not self.held_bytes.fits(0)
