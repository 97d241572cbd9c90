"""How much work is asked for each key, and the division of keys by it."""

from collections.abc import Iterable

from plantaincart_core.ownermap import KeyRange, OwnerMap

__all__ = ["KeyLoads"]

# Load counted for a key that nobody asked for lately.
IDLE_KEY_LOAD = 1e-6
# Load below which a key isn't remembered.
LEAST_LOAD = 1e-4
# Load that one request is taken to add before any was counted, and the part of a
# further one in the mean.
REQUEST_GUESS = 0.1
REQUEST_WEIGHT = 0.02
LEAST_REQUEST_LOAD = 1e-3


class KeyLoads:
    """
    Mean load of each key, which fades with time.

    Parameters
    ----------
    memory_s : float
        Seconds over which the load is averaged.

    Attributes
    ----------
    loads : dict of int to float
        Requests at a time that each key keeps busy.
    request_load : float
        Load that one counted request adds.

    Examples
    --------
    >>> keys = KeyLoads(memory_s=2.0)
    >>> keys.add([7, 7, 9], [1.0, 1.0, 2.0])
    >>> keys.loads
    {7: 1.0, 9: 1.0}
    >>> whole = KeyRange(first=0, last=99)
    >>> [(first, last) for first, last, _ in keys.divide(whole, most=2)]
    [(0, 7), (8, 99)]
    """

    def __init__(self, memory_s: float) -> None:
        self._memory_s = memory_s
        self.loads: dict[int, float] = {}
        self.request_load = REQUEST_GUESS

    def add(self, keys: Iterable[int], work_s: Iterable[float]) -> None:
        """Add work in seconds that was asked for keys."""
        weight = 1.0 / self._memory_s
        for key, work in zip(keys, work_s, strict=True):
            load = work * weight
            self.loads[key] = self.loads.get(key, 0.0) + load
            self.request_load += REQUEST_WEIGHT * (load - self.request_load)

    def decay(self, factor: float) -> None:
        """Let what was asked earlier count less."""
        self.loads = {
            key: load * factor
            for key, load in self.loads.items()
            if load * factor > LEAST_LOAD
        }

    def sum_by_owner(self, owners: OwnerMap) -> dict[str, float]:
        """Sum the load of each owner, with a little for keys without load."""
        held: dict[str, float] = {}
        for keys in owners:
            held[keys.owner] = held.get(keys.owner, 0.0) + _measure_idle(keys)
        for key, load in self.loads.items():
            owner = owners.find(key).owner
            held[owner] = held.get(owner, 0.0) + load
        return held

    def divide(self, keys: KeyRange, most: int) -> list[tuple[int, int, float]]:
        """
        Cut a range into pieces of about equal load.

        Parameters
        ----------
        keys : KeyRange
            Keys to divide.
        most : int
            Pieces at most; a piece has the load of one request at least.

        Returns
        -------
        list of (int, int, float)
            First key, last key and load of each piece.
        """
        loaded = sorted(key for key in self.loads if keys.first <= key <= keys.last)
        total = sum(self.loads[key] for key in loaded)
        wanted = round(total / max(self.request_load, LEAST_REQUEST_LOAD))
        pieces = min(most, max(1, wanted))
        cuts, held = [keys.first], 0.0
        for key in loaded:
            held += self.loads[key]
            due = len(cuts) < pieces and held >= total * len(cuts) / pieces
            if due and key < keys.last:
                cuts.append(key + 1)
        ends = [*(cut - 1 for cut in cuts[1:]), keys.last]
        load = (total + _measure_idle(keys)) / len(cuts)
        return [(first, last, load) for first, last in zip(cuts, ends, strict=True)]


def _measure_idle(keys: KeyRange) -> float:
    return (keys.last - keys.first + 1) * IDLE_KEY_LOAD
