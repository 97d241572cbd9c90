"""Order of requests that wait for room, bounded in number and bytes."""

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from plantaincart_core.rank import Rank

__all__ = ["HandOutRate", "QueueBounds", "Waiting", "WaitingOrder"]

# Seconds over which units that were handed out are counted, and for which requests must
# have waited before their number says something.
RATE_WINDOW_S = 1.0
MIN_OBSERVED_S = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class QueueBounds:
    """
    How much may wait at one instance.

    Parameters
    ----------
    max_waiting : int
        Number of requests.
    max_bytes : int
        Bytes of their bodies.
    """

    max_waiting: int = 512
    max_bytes: int = 8388608


@dataclass(frozen=True, order=True, slots=True)
class Waiting:
    """
    Place of a request among those that wait; lower ones go first.

    Parameters
    ----------
    rank : Rank
        Rank of the request.
    turn : float
        Order among requests of one rank before their time counts, for example by what
        their accounts have used; 0 if there is none.
    latest_at : float
        Latest time in seconds at which it can still be served.
    number : int
        Distinguishes requests; lower ones arrived earlier.
    size : int
        Bytes that it occupies.
    """

    rank: Rank
    turn: float
    latest_at: float
    number: int
    size: int = field(compare=False, default=0)


class WaitingOrder:
    """
    Requests in the order in which they get room.

    Parameters
    ----------
    bounds : QueueBounds
        How much may wait.

    Examples
    --------
    >>> order = WaitingOrder(QueueBounds(max_waiting=2))
    >>> late = Waiting(Rank(0, 1), 0.0, 3.0, 1)
    >>> soon = Waiting(Rank(0, 1), 0.0, 2.0, 2)
    >>> urgent = Waiting(Rank(0, 0), 0.0, 9.0, 3)
    >>> order.add(late), order.add(soon)
    ([], [])
    >>> order.add(urgent) == [late]
    True
    >>> list(order) == [urgent, soon]
    True
    """

    def __init__(self, bounds: QueueBounds) -> None:
        self._bounds = bounds
        self._waiting: list[Waiting] = []
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[Waiting]:
        return iter(self._waiting)

    def add(self, waiting: Waiting) -> list[Waiting]:
        """
        Add a request; return those for which there is no place any more.

        Parameters
        ----------
        waiting : Waiting
            The request, which may be among those returned.

        Returns
        -------
        list of Waiting
            The last ones in the order, as many as exceed the bounds.
        """
        insort(self._waiting, waiting)
        self._bytes += waiting.size
        displaced = []
        while (
            len(self._waiting) > self._bounds.max_waiting
            or self._bytes > self._bounds.max_bytes
        ):
            last = self._waiting.pop()
            self._bytes -= last.size
            displaced.append(last)
        return displaced

    def remove(self, waiting: Waiting) -> bool:
        """Remove a request; return whether it was there."""
        index = bisect_left(self._waiting, waiting)
        if index < len(self._waiting) and self._waiting[index] == waiting:
            del self._waiting[index]
            self._bytes -= waiting.size
            return True
        return False

    def list_before(self, waiting: Waiting) -> list[Waiting]:
        """Return the requests that go before one that may not be added yet."""
        return self._waiting[: bisect_left(self._waiting, waiting)]


class HandOutRate:
    """
    Estimates how long a request waits by how fast others got room lately.

    Examples
    --------
    >>> rate = HandOutRate()
    >>> rate.record_start(0.0)
    >>> for at in range(10):
    ...     rate.record_hand_out(0.05 * at)
    >>> rate.estimate_wait_s(3, now=0.5)
    0.2
    >>> rate.estimate_wait_s(0, now=3.0)
    1.0
    """

    def __init__(self) -> None:
        self._since = 0.0
        self._hand_outs: deque[float] = deque()

    def record_start(self, now: float) -> None:
        """Record that the first request begins to wait."""
        self._since = now
        self._hand_outs.clear()

    def record_hand_out(self, now: float) -> None:
        """Record that a waiting request got room."""
        self._hand_outs.append(now)

    def estimate_wait_s(self, ahead: int, now: float) -> float:
        """
        Return the expected wait.

        Parameters
        ----------
        ahead : int
            Waiting requests that get room before.
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Seconds; 0 while too little is known. If nobody got room, the wait is taken
            to last as long again.
        """
        observed_s = min(now - self._since, RATE_WINDOW_S)
        if observed_s < MIN_OBSERVED_S:
            return 0.0
        while self._hand_outs and self._hand_outs[0] < now - RATE_WINDOW_S:
            self._hand_outs.popleft()
        if not self._hand_outs:
            return observed_s
        return (ahead + 1) * observed_s / len(self._hand_outs)
