"""Bounded queue of requests with deadlines."""

from collections import OrderedDict
from collections.abc import Hashable
from heapq import heapify, heappop, heappush
from typing import Generic, TypeVar

from plantaincart_core.exception import QueueFullError

__all__ = ["DeadlineQueue"]

Item = TypeVar("Item", bound=Hashable)

# Heap entries of removed items that are tolerated however few items are waiting.
MAX_STALE_DEADLINES = 64


class DeadlineQueue(Generic[Item]):
    """
    First-in first-out queue whose items expire at their deadlines.

    Parameters
    ----------
    limit : int
        Maximum number of waiting items.

    Notes
    -----
    Items leave in order of arrival, so the estimated wait of a new item depends only
    on the items before it and isn't invalidated by later ones. Deadlines are kept in a
    separate heap. The entry of a removed item stays in the heap until its deadline, or
    until there are more entries of removed items than of waiting ones.

    Examples
    --------
    >>> queue = DeadlineQueue[str](limit=2)
    >>> queue.push("a", deadline=1.0, now=0.0)
    >>> queue.push("b", deadline=9.0, now=0.0)
    >>> queue.expire(now=2.0), queue.pop(now=2.0)
    (['a'], 'b')
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._waiting: OrderedDict[Item, int] = OrderedDict()
        self._deadlines: list[tuple[float, int, Item]] = []
        self._expired: list[Item] = []
        self._next_number = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def push(self, item: Item, deadline: float, now: float) -> None:
        """
        Append an item.

        Parameters
        ----------
        item : Hashable
            Item that isn't in the queue.
        deadline : float
            Time in seconds from which the item is no longer popped.
        now : float
            Present time in seconds on the same clock as `deadline`.

        Raises
        ------
        QueueFullError
            If `limit` items are already waiting.
        ValueError
            If the item is already waiting.
        """
        if len(self._waiting) >= self.limit:
            raise QueueFullError(f"{self.limit} items are already waiting")
        if item in self._waiting:
            raise ValueError("item is already waiting")
        self._next_number += 1
        self._waiting[item] = self._next_number
        heappush(self._deadlines, (deadline, self._next_number, item))

    def pop(self, now: float) -> Item | None:
        """
        Remove and return the oldest item whose deadline has not passed.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        Hashable or None
            The item; None if the queue is empty. Items whose deadline has passed are
            returned by the next call of `expire`.
        """
        self._collect_expired(now)
        if not self._waiting:
            return None
        item = self._waiting.popitem(last=False)[0]
        self._compact_heap()
        return item

    def remove(self, item: Item) -> bool:
        """
        Remove an item, for example because its caller has disconnected.

        Parameters
        ----------
        item : Hashable
            Item to remove.

        Returns
        -------
        bool
            Whether the item was in the queue.
        """
        if self._waiting.pop(item, None) is None:
            return False
        self._compact_heap()
        return True

    def expire(self, now: float) -> list[Item]:
        """
        Remove the items whose deadline has passed.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list of Hashable
            The removed items, sorted by deadline.
        """
        self._collect_expired(now)
        expired, self._expired = self._expired, []
        return expired

    def estimate_wait(self, concurrency: int, mean_service_s: float) -> float:
        """
        Estimate the wait of an item that is pushed now.

        Parameters
        ----------
        concurrency : int
            Number of items that are served at the same time.
        mean_service_s : float
            Mean service time of an item in seconds.

        Returns
        -------
        float
            Seconds until the item would be popped while `concurrency` items are being
            served; infinity if `concurrency` is 0.
        """
        if concurrency <= 0:
            return float("inf")
        return (len(self._waiting) + 1) * mean_service_s / concurrency

    def _collect_expired(self, now: float) -> None:
        while self._deadlines and self._deadlines[0][0] <= now:
            _, number, item = heappop(self._deadlines)
            if self._waiting.get(item) == number:
                del self._waiting[item]
                self._expired.append(item)

    def _compact_heap(self) -> None:
        if len(self._deadlines) <= 2 * len(self._waiting) + MAX_STALE_DEADLINES:
            return
        self._deadlines = [
            entry
            for entry in self._deadlines
            if self._waiting.get(entry[2]) == entry[1]
        ]
        heapify(self._deadlines)
