"""Bytes that an instance holds for all callers and upstreams together."""

from collections import OrderedDict
from collections.abc import Callable
from enum import Enum, auto
from math import inf

__all__ = ["HeldBytes", "HeldKind"]

# Fraction of the limit above which no more of large answers is read, and below which
# reading goes on.
PAUSE_SHARE = 0.75
RESUME_SHARE = 0.6


class HeldKind(Enum):
    """What bytes are held for."""

    REQUEST = auto()
    """Bodies of callers' requests, until they are answered."""
    INCOMING = auto()
    """Incomplete answers of upstreams."""
    OUTGOING = auto()
    """Answers that their callers haven't taken yet."""


class HeldBytes:
    """
    Count of the bytes held, with a limit.

    Parameters
    ----------
    max_bytes : float
        Limit for all kinds together; infinite if the machine's memory isn't known.

    Notes
    -----
    Counting never fails. Those who hold bytes ask before they take on more: a request
    is refused before it is sent, and large answers are read more slowly.

    Examples
    --------
    >>> held = HeldBytes(max_bytes=1000)
    >>> held.add(HeldKind.OUTGOING, 800)
    >>> held.is_near_limit, held.fits(100), held.fits(300)
    (True, True, False)
    >>> held.remove(HeldKind.OUTGOING, 800)
    >>> held.total
    0
    """

    def __init__(self, max_bytes: float = inf) -> None:
        self.max_bytes = max_bytes
        self.total = 0
        self.counts = dict.fromkeys(HeldKind, 0)
        self._paused: OrderedDict[object, Callable[[], None]] = OrderedDict()

    @property
    def is_near_limit(self) -> bool:
        """Whether large answers must be read more slowly."""
        return self.total > PAUSE_SHARE * self.max_bytes

    def fits(self, byte_count: float) -> bool:
        """Return whether further bytes can be held."""
        return self.total + byte_count <= self.max_bytes

    def add(self, kind: HeldKind, byte_count: int) -> None:
        """Count bytes that are held from now on."""
        self.counts[kind] += byte_count
        self.total += byte_count

    def remove(self, kind: HeldKind, byte_count: int) -> None:
        """Count bytes as no longer held, and let those who wait for it read on."""
        self.counts[kind] -= byte_count
        self.total -= byte_count
        while self._paused and self.total <= RESUME_SHARE * self.max_bytes:
            _, resume = self._paused.popitem(last=False)
            resume()

    def wait(self, waiter: object, resume: Callable[[], None]) -> None:
        """Register a function that is called once when there is room again."""
        self._paused[waiter] = resume

    def stop_waiting(self, waiter: object) -> None:
        """Remove a registered function, if there is one."""
        self._paused.pop(waiter, None)
