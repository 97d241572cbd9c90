"""Utilisation of upstreams during the planning of slot moves."""

from collections import defaultdict
from collections.abc import Mapping

__all__ = ["Utilisation"]


class Utilisation:
    """
    Load of each upstream divided by its capacity, with the planned moves applied.

    Parameters
    ----------
    loads : mapping of int to float
        Load by slot, in concurrent requests.
    owners : mapping of int to str
        Owner by slot; the load of owners without capacity isn't counted.
    capacities : mapping of str to float
        Effective capacity of each upstream, in concurrent requests.

    Attributes
    ----------
    loads : mapping of int to float
        The parameter `loads`.
    owners : dict of int to str
        Owner by slot after the planned moves.

    Notes
    -----
    A slot is moved at most once, so that the planning terminates.
    """

    def __init__(
        self,
        loads: Mapping[int, float],
        owners: Mapping[int, str],
        capacities: Mapping[str, float],
    ) -> None:
        self.loads = loads
        self.owners = dict(owners)
        self._capacities = {
            name: capacity for name, capacity in capacities.items() if capacity > 0
        }
        self._load_sums = dict.fromkeys(self._capacities, 0.0)
        self._movable: defaultdict[str, list[int]] = defaultdict(list)
        hottest_first = sorted(owners, key=lambda slot: (-self._get_load(slot), slot))
        for slot in hottest_first:
            self._add_slot(slot, owners[slot])

    def compute_mean(self) -> float:
        """Return the mean utilisation, weighted by capacity."""
        total_capacity = sum(self._capacities.values())
        return sum(self._load_sums.values()) / total_capacity if total_capacity else 0.0

    def compute(self, upstream: str, extra: float = 0.0) -> float:
        """Return the utilisation of an upstream if its load increased by `extra`."""
        return (self._load_sums[upstream] + extra) / self._capacities[upstream]

    def rank(self, extra: float = 0.0) -> list[str]:
        """Return the upstreams by utilisation with `extra` load added, lowest first."""
        return sorted(
            self._load_sums, key=lambda name: (self.compute(name, extra), name)
        )

    def find_fitting(self, source: str, target: str) -> int | None:
        """
        Find the hottest slot whose move leaves the target at or below the source.

        The utilisations after the move are compared.

        Parameters
        ----------
        source, target : str
            Names of the current and the new owner.

        Returns
        -------
        int or None
            Slot of the source that hasn't been moved yet; None if the load of each is
            too high.
        """
        for slot in self._movable[source]:
            load = self.loads[slot]
            if self.compute(target, load) <= self.compute(source, -load):
                return slot
        return None

    def find_coolest(self, source: str) -> int | None:
        """Find the unmoved slot with the least load above 0; None if there is none."""
        movable = self._movable[source]
        return movable[-1] if movable else None

    def move(self, slot: int, target: str) -> None:
        """Apply a planned move; the capacity of `target` must be above 0."""
        source = self.owners.get(slot, "")
        if source in self._load_sums:
            self._load_sums[source] -= self._get_load(slot)
        if slot in self._movable[source]:
            self._movable[source].remove(slot)
        self.owners[slot] = target
        self._load_sums[target] += self._get_load(slot)

    def _get_load(self, slot: int) -> float:
        return self.loads.get(slot, 0.0)

    def _add_slot(self, slot: int, owner: str) -> None:
        if owner not in self._load_sums:
            return
        self._load_sums[owner] += self._get_load(slot)
        if self._get_load(slot) > 0:
            self._movable[owner].append(slot)
