"""Memory for callers, upstreams and their answers, by the machine's size."""

from collections.abc import Iterator
from contextlib import contextmanager
from math import inf

from plantaincart_core.answersize import AnswerRoom
from plantaincart_core.verdict import Reason

from plantaincart_router.direct.call import refuse
from plantaincart_router.direct.settings import ResourceSettings, SendSettings
from plantaincart_router.http.answerbuffers import AnswerBuffers
from plantaincart_router.http.heldbytes import HeldBytes, HeldKind

__all__ = ["AnswerMemory", "make_buffers"]

# Fraction of the machine's memory for all that is held. A byte is held twice for the
# moment in which an answer is put together, and the process needs some 60 MB itself.
HELD_SHARE = 0.15
BYTES_PER_MB = 1_000_000
# Seconds after which a refused caller should return: large answers are gone by then.
RETRY_AFTER_S = 0.5
# Seconds of the link's time that the unread bytes of one upstream connection may take,
# and speed of the link in Mbit/s from which the system's own choice is no longer.
WINDOW_S = 0.02
MAX_WINDOW_MBPS = 50.0
BYTES_PER_MBIT = 125_000


def make_buffers(send: SendSettings, resources: ResourceSettings) -> AnswerBuffers:
    """
    Make the limits of answers in progress.

    Parameters
    ----------
    send : SendSettings
        Limits that hold whatever the machine.
    resources : ResourceSettings
        Memory and network link of the machine.
    """
    max_bytes = inf
    if resources.memory_mb > 0.0:
        max_bytes = resources.memory_mb * BYTES_PER_MB * HELD_SHARE
    window = 0
    if resources.link_mbps < MAX_WINDOW_MBPS:
        window = int(resources.link_mbps * BYTES_PER_MBIT * WINDOW_S)
    return AnswerBuffers(
        int(min(send.max_answer_bytes, max_bytes)),
        int(min(send.max_buffered_bytes, max_bytes)),
        HeldBytes(max_bytes),
        window,
    )


class AnswerMemory:
    """
    Refuses requests whose answers there is no memory for.

    Parameters
    ----------
    held : HeldBytes
        Count of all bytes that the instance holds.
    """

    def __init__(self, held: HeldBytes) -> None:
        self._held = held
        self._room = AnswerRoom(held.max_bytes)

    @contextmanager
    def reserve(self, kind: str) -> Iterator[None]:
        """
        Keep room for the answer of a request while it is in progress.

        Parameters
        ----------
        kind : str
            Kind of request; those of a kind have answers of similar size.

        Raises
        ------
        RefusedError
            If there is none. Nothing has been sent then.
        """
        counts = self._held.counts
        settled = counts[HeldKind.OUTGOING] + counts[HeldKind.REQUEST]
        # Answers that turn out larger than expected count as they are.
        surplus = max(0.0, counts[HeldKind.INCOMING] - self._room.sum_expected())
        if not self._room.try_reserve(kind, settled + surplus):
            detail = f"no memory for the answer; {self._held.total} bytes held"
            reason = Reason.TOO_MANY_REQUESTS_IN_FLIGHT
            raise refuse(reason, detail, RETRY_AFTER_S, 503)
        try:
            yield
        finally:
            self._room.release(kind)

    def record_answer(self, kind: str, byte_count: int) -> None:
        """Learn the size in bytes of a kind's answers."""
        self._room.record_answer(kind, byte_count)
