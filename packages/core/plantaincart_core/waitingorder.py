"""Order of requests that wait for room, bounded in number and bytes."""

from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass, field

from plantaincart_core.rank import Rank

__all__ = ["QueueBounds", "Waiting", "WaitingOrder"]


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

    def count_before(self, waiting: Waiting) -> int:
        """Return how many requests go before one that may not be added yet."""
        return bisect_left(self._waiting, waiting)
