"""Bounded sketch of the most frequent keys."""

from dataclasses import dataclass
from heapq import heapify, heappush, heapreplace

__all__ = ["HotKey", "HotKeySketch"]


@dataclass(frozen=True, kw_only=True, slots=True)
class HotKey:
    """
    Key with its estimated count.

    Parameters
    ----------
    key : str
        The key.
    count : float
        Upper bound of the key's true count.
    error : float
        Upper bound of the difference between `count` and the true count.
    """

    key: str
    count: float
    error: float


class HotKeySketch:
    """
    Space-saving sketch that finds frequent keys.

    Parameters
    ----------
    capacity : int
        Greatest number of keys in the sketch, at least 1.

    Notes
    -----
    If the sketch is full, a new key replaces the key with the least count and inherits
    that count as its error [1]_. Every key whose true count exceeds the total divided
    by `capacity` is in the sketch. The least count is found with a heap whose outdated
    entries are corrected when they reach the top.

    References
    ----------
    .. [1] Metwally, Agrawal, El Abbadi (2005). Efficient computation of frequent and
       top-k elements in data streams. ICDT 2005, LNCS 3363, 398-412.

    Examples
    --------
    >>> sketch = HotKeySketch(capacity=2)
    >>> for key in "abaca":
    ...     sketch.count(key)
    >>> sketch.list_top(1)
    [HotKey(key='a', count=3.0, error=0.0)]
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._counts: dict[str, float] = {}
        self._errors: dict[str, float] = {}
        self._heap: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._counts)

    def count(self, key: str, amount: float = 1.0) -> None:
        """
        Increase the count of a key.

        Parameters
        ----------
        key : str
            The key.
        amount : float
            Number of requests, or another positive weight.
        """
        current = self._counts.get(key)
        if current is not None:
            self._counts[key] = current + amount
        elif len(self._counts) < self.capacity:
            self._counts[key] = float(amount)
            heappush(self._heap, (float(amount), key))
        else:
            self._replace_least(key, amount)

    def list_top(self, n: int) -> list[HotKey]:
        """
        List the keys with the greatest counts.

        Parameters
        ----------
        n : int
            Greatest number of keys to list.

        Returns
        -------
        list of HotKey
            At most `n` keys in descending order of count, equal counts ordered by key.
        """
        ranked = sorted(self._counts.items(), key=lambda item: (-item[1], item[0]))
        return [
            HotKey(key=key, count=count, error=self._errors.get(key, 0.0))
            for key, count in ranked[:n]
        ]

    def decay(self, factor: float) -> None:
        """
        Scale down all counts, so that new requests weigh more than earlier ones.

        Parameters
        ----------
        factor : float
            Factor between 0 and 1.
        """
        for key in self._counts:
            self._counts[key] *= factor
        for key in self._errors:
            self._errors[key] *= factor
        self._heap = [(count, key) for key, count in self._counts.items()]
        heapify(self._heap)

    def _replace_least(self, key: str, amount: float) -> None:
        least_count, replaced = self._heap[0]
        while least_count != self._counts[replaced]:
            heapreplace(self._heap, (self._counts[replaced], replaced))
            least_count, replaced = self._heap[0]
        del self._counts[replaced]
        self._errors.pop(replaced, None)
        self._counts[key] = least_count + amount
        self._errors[key] = least_count
        heapreplace(self._heap, (least_count + amount, key))
