"""Load of each key, and division of key ranges into parts of equal load."""

from collections.abc import Iterable

from plantaincart_core.ownermap import KeyRange, OwnerMap

__all__ = ["KeyLoads"]

# Load assumed for a key without recent requests.
IDLE_KEY_LOAD = 1e-6
# Keys with a lower load are discarded.
MIN_KEY_LOAD = 1e-4
# Load per request before the first request is counted.
INITIAL_REQUEST_LOAD = 0.1
# Weight of a new request in the moving average of the load per request.
REQUEST_WEIGHT = 0.02
MIN_REQUEST_LOAD = 1e-3


class KeyLoads:
    """
    Exponentially decaying mean load of each key.

    Parameters
    ----------
    memory_s : float
        Averaging time in seconds.

    Attributes
    ----------
    loads : dict of int to float
        Load by key, in concurrent requests.
    request_load : float
        Moving average of the load that one request adds.

    Examples
    --------
    >>> key_loads = KeyLoads(memory_s=2.0)
    >>> key_loads.add([7, 7, 9], [1.0, 1.0, 2.0])
    >>> key_loads.loads
    {7: 1.0, 9: 1.0}
    >>> key_range = KeyRange(first=0, last=99)
    >>> [(first, last) for first, last, _ in key_loads.divide(key_range, max_parts=2)]
    [(0, 7), (8, 99)]
    """

    def __init__(self, memory_s: float) -> None:
        self._memory_s = memory_s
        self.loads: dict[int, float] = {}
        self.request_load = INITIAL_REQUEST_LOAD

    @property
    def request_work_s(self) -> float:
        """Moving average of the work of a request in seconds."""
        return self.request_load * self._memory_s

    def add(self, keys: Iterable[int], work_s: Iterable[float]) -> None:
        """Add requests, given as their keys and their work in seconds."""
        weight = 1.0 / self._memory_s
        for key, request_work_s in zip(keys, work_s, strict=True):
            load = request_work_s * weight
            self.loads[key] = self.loads.get(key, 0.0) + load
            self.request_load += REQUEST_WEIGHT * (load - self.request_load)

    def decay(self, factor: float) -> None:
        """Scale down the load of past requests and discard keys with little load."""
        self.loads = {
            key: load * factor
            for key, load in self.loads.items()
            if load * factor > MIN_KEY_LOAD
        }

    def sum_by_owner(self, owners: OwnerMap) -> dict[str, float]:
        """Sum the load of each owner's keys, including `IDLE_KEY_LOAD` for each key."""
        owner_loads: dict[str, float] = {}
        for key_range in owners:
            owner_loads[key_range.owner] = owner_loads.get(
                key_range.owner, 0.0
            ) + _compute_idle_load(key_range)
        for key, load in self.loads.items():
            owner = owners.find(key).owner
            owner_loads[owner] = owner_loads.get(owner, 0.0) + load
        return owner_loads

    def divide(
        self, key_range: KeyRange, max_parts: int
    ) -> list[tuple[int, int, float]]:
        """
        Divide a key range into parts of about equal load.

        Parameters
        ----------
        key_range : KeyRange
            Range to divide.
        max_parts : int
            Greatest number of parts. There are fewer if a part's load would be lower
            than that of one request.

        Returns
        -------
        list of (int, int, float)
            First key, last key and mean load of each part.
        """
        loaded_keys = sorted(
            key for key in self.loads if key_range.first <= key <= key_range.last
        )
        total = sum(self.loads[key] for key in loaded_keys)
        parts_by_load = round(total / max(self.request_load, MIN_REQUEST_LOAD))
        parts = min(max_parts, max(1, parts_by_load))
        firsts, cumulative = [key_range.first], 0.0
        for key in loaded_keys:
            cumulative += self.loads[key]
            cut = len(firsts) < parts and cumulative >= total * len(firsts) / parts
            if cut and key < key_range.last:
                firsts.append(key + 1)
        lasts = [*(first - 1 for first in firsts[1:]), key_range.last]
        load = (total + _compute_idle_load(key_range)) / len(firsts)
        return [(first, last, load) for first, last in zip(firsts, lasts, strict=True)]


def _compute_idle_load(key_range: KeyRange) -> float:
    return (key_range.last - key_range.first + 1) * IDLE_KEY_LOAD
