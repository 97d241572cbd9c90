"""Number of instances among which limits are divided."""

from plantaincart_router.direct.membership import Membership
from plantaincart_router.direct.previousterm import PreviousTerm

__all__ = ["FleetSize"]


class FleetSize:
    """
    Counts the instances that may use a part of a limit.

    Parameters
    ----------
    members : Membership
        Instances that the coordinator hears.
    previous_term : PreviousTerm
        Tells whether an earlier coordinator may still divide limits among others.

    Notes
    -----
    In a cut the instances that one coordinator doesn't hear may follow another one. So
    they keep their parts until the store confirms that there is no later coordinator,
    and all earlier terms have ended.
    """

    def __init__(self, members: Membership, previous_term: PreviousTerm) -> None:
        self._members = members
        self._previous_term = previous_term
        self._confirmed_count = 0

    def record_confirmed(self) -> None:
        """Record that the store has confirmed the term."""
        self._confirmed_count = len(self._members)

    def count(self) -> int:
        """Return the number of instances."""
        count = max(len(self._members), self._confirmed_count)
        if self._previous_term.has_ended():
            return count
        return max(count, self._previous_term.member_count)
