"""Places in the queue at a short owner that are kept for callers that come back."""

from copy import copy
from typing import Self

__all__ = ["ReturnQueue"]

# Share of the queue up to which new requests join it. Less urgent requests join it as
# far at most (`waitbound.QUEUE_SHARE`), so that none goes before a more urgent one.
QUEUE_SHARE = 0.5
# Seconds for which an owner is short after it was too busy for a request.
SHORT_S = 1.0
MAX_OWNERS = 4096


class ReturnQueue:
    """
    Decides how much of the queue at an owner of keys a request may use.

    Notes
    -----
    New requests leave the end of the queue to callers that come back, while the owner
    is short. What is kept is no free slot: the owner goes on working if nobody comes,
    so that its room isn't reduced. Each instance decides by the sums of the owner's
    requests that it knows, however many instances there are.

    Examples
    --------
    >>> queue = ReturnQueue()
    >>> queue.record_short("u1", now=0.0)
    >>> [queue.find_share("u1", is_back, now=0.5) for is_back in (False, True)]
    [0.5, 1.0]
    >>> queue.find_share("u1", is_returning=False, now=2.0)
    1.0
    """

    def __init__(self) -> None:
        self._short_until: dict[str, float] = {}

    def copy(self) -> Self:
        """Return a copy that learns apart."""
        copied = copy(self)
        copied._short_until = dict(self._short_until)
        return copied

    def record_short(self, owner: str, now: float) -> None:
        """Record that an owner was too busy for a request at a time in seconds."""
        if len(self._short_until) >= MAX_OWNERS:
            self._short_until.clear()
        self._short_until[owner] = now + SHORT_S

    def find_share(self, owner: str, is_returning: bool, now: float) -> float:
        """
        Return the share of the queue up to which a request joins it.

        Parameters
        ----------
        owner : str
            Owner of its key.
        is_returning : bool
            Whether its caller has probably been turned away before.
        now : float
            Present time in seconds.
        """
        is_short = now < self._short_until.get(owner, float("-inf"))
        return QUEUE_SHARE if is_short and not is_returning else 1.0
