"""Electors that follow a coordinator, as it knows them itself."""

from collections.abc import Mapping

from plantaincart_core.electorate import find_followed_until
from plantaincart_schema.generated.direct import CoordinatorRow

__all__ = ["Following"]


class Following:
    """
    Until when the electors that a coordinator's row may name follow it.

    Parameters
    ----------
    row : CoordinatorRow
        Row that claimed the term.
    version : int
        Version of the row.

    Attributes
    ----------
    incarnations : mapping of str to str
        Process of each member before the call that last confirmed the term. A later
        process doesn't count, since an earlier one may have followed a successor.

    Notes
    -----
    A write that wasn't answered may have taken effect, or may do so while the row has
    the same version. The electors of each row that the store may contain must follow.
    """

    def __init__(self, row: CoordinatorRow, version: int) -> None:
        self._version = version
        self._possible_electors = {tuple(row.electors)}
        self._followed_until: dict[tuple[str, str], float] = {}
        self.incarnations: Mapping[str, str] = {}

    def record(self, member: str, incarnation: str, until: float) -> None:
        """Record that a process follows the coordinator until a boot time."""
        process = (member, incarnation)
        known_until = self._followed_until.get(process, 0.0)
        self._followed_until[process] = max(known_until, until)

    def record_attempt(self, row: CoordinatorRow) -> None:
        """Record that a row is being written."""
        self._possible_electors.add(tuple(row.electors))

    def record_found(self, row: CoordinatorRow, version: int) -> None:
        """Record that the store contains a row."""
        if version < self._version:
            # A late answer to a read, of a row that has been replaced.
            return
        if version > self._version:
            # Writes on the condition of the earlier version can't take effect any more.
            self._version = version
            self._possible_electors = set()
        self._possible_electors.add(tuple(row.electors))

    def find_followed_until(self, holder: str) -> float:
        """Return the boot time until which enough electors follow the coordinator."""
        followed_until = self._list_electors()
        return min(
            find_followed_until(electors, holder, followed_until)
            for electors in self._possible_electors
        )

    def count_electors(self) -> int:
        """Count all electors that the row may name."""
        return len(set().union(*self._possible_electors))

    def count_followers(self, now: float) -> int:
        """Count the electors that follow the coordinator at a boot time."""
        electors = set().union(*self._possible_electors)
        return sum(
            until > now and name in electors
            for name, until in self._list_electors().items()
        )

    def _list_electors(self) -> dict[str, float]:
        return {
            name: self._followed_until.get((name, incarnation), 0.0)
            for name, incarnation in self.incarnations.items()
        }
