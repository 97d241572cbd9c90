"""Copy of an instance's state on which a decision is tried."""

from copy import deepcopy

from plantaincart_router.direct.keydemand import KeyDemand
from plantaincart_router.direct.view import SystemView

__all__ = ["ViewSnapshot"]


class ViewSnapshot(SystemView):
    """
    State of an instance, with copies of all that a decision changes.

    Parameters
    ----------
    view : SystemView
        State of the instance. What decisions only read is shared with it.

    Notes
    -----
    It is used within the same turn of the event loop, and then discarded. Nothing that
    the store or the coordinator tell may be applied to it.
    """

    def __init__(self, view: SystemView) -> None:
        vars(self).update(vars(view))
        self.key_demand = KeyDemand()
        self.unowned = deepcopy(view.unowned)
        self.lapses = deepcopy(view.lapses)
        self.loads = view.loads.copy()
        self.room = view.room.copy(self.loads)
        self.quotas = view.quotas.copy()
        self.rank_fact = view.rank_fact.copy()
