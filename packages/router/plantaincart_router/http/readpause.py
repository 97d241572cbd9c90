"""Pauses in reading a large answer while the instance holds much."""

from asyncio import AbstractEventLoop, TimerHandle, Transport

from plantaincart_router.http.heldbytes import HeldBytes

__all__ = ["ReadPause"]

# Size in bytes of an incomplete answer above which it may be held back.
LARGE_ANSWER_BYTES = 16384
# Longest time in seconds for which it isn't read. Upstreams cut off an answer that
# stays unread for some seconds.
MAX_UNREAD_S = 1.0


class ReadPause:
    """
    Holds back a large answer once, for a limited time, so that it is read in time.

    Parameters
    ----------
    loop : AbstractEventLoop
        Event loop of the connection.
    held : HeldBytes
        Count of all bytes that the instance holds.
    """

    def __init__(self, loop: AbstractEventLoop, held: HeldBytes) -> None:
        self._loop = loop
        self._held = held
        self._transport: Transport | None = None
        self._timer: TimerHandle | None = None
        self._may_pause = True

    def start_answer(self) -> None:
        """Allow a pause, since another answer is awaited."""
        self._may_pause = True

    def check(self, transport: Transport | None, byte_count: int) -> None:
        """
        Stop reading if the instance holds much.

        Parameters
        ----------
        transport : Transport or None
            Transport of the connection.
        byte_count : int
            Bytes held for the incomplete answer.
        """
        is_large = byte_count > LARGE_ANSWER_BYTES
        if not is_large or not self._may_pause or not self._held.is_near_limit:
            return
        if transport is None or transport.is_closing():
            return
        self._may_pause = False
        self._transport = transport
        transport.pause_reading()
        self._timer = self._loop.call_later(MAX_UNREAD_S, self.end)
        self._held.wait(self, self.end)

    def end(self) -> None:
        """Read on."""
        if self._timer is None:
            return
        self._timer.cancel()
        self._timer = None
        self._held.stop_waiting(self)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
