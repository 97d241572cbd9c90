"""Placements of all services that are divided by key, for one term."""

from collections.abc import Callable, Collection
from time import monotonic

from plantaincart_schema.generated.direct import MemberReport

from plantaincart_router.direct.granter import Granter
from plantaincart_router.direct.membership import Membership
from plantaincart_router.direct.placement import ServicePlacement
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.view import SystemView

__all__ = ["Placements"]

# The half-life of an exponential mean is its time constant times ln 2.
LN_2 = 0.69
# Share of the members that an upstream must have asked for a long pause before its keys
# move. Below it, callers that are refused reach other instances on a retry.
MIN_BACKED_OFF_SHARE = 0.5
# Minimum time in seconds between two new grants of a key range whose owner answers that
# it doesn't own the keys.
MIN_REGRANT_INTERVAL_S = 1.0
MS_PER_S = 1000.0


class Placements:
    """
    Places the keys of all services by what members report and upstreams announce.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the instance.
    view : SystemView
        State of the system as this instance knows it.
    members : Membership
        Live instances.
    granter : Granter
        Grant and release calls to upstreams.
    make_placement : callable
        Returns a new placement of a service.

    Attributes
    ----------
    by_service : dict of str to ServicePlacement
        Placements by service.
    """

    def __init__(
        self,
        settings: DirectSettings,
        view: SystemView,
        members: Membership,
        granter: Granter,
        make_placement: Callable[[str], ServicePlacement],
    ) -> None:
        self._memory_s = settings.coordination.load_memory_s
        self._view = view
        self._members = members
        self._granter = granter
        self._make_placement = make_placement
        self._regranted_at: dict[tuple[str, int], float] = {}
        self._decayed_at = monotonic()
        self.by_service: dict[str, ServicePlacement] = {}

    def add(self, service: str) -> ServicePlacement:
        """Add a placement of a service, in place of an earlier one."""
        placement = self._make_placement(service)
        self.by_service[service] = placement
        return placement

    def stop(self) -> None:
        """Cancel all moves."""
        for placement in self.by_service.values():
            placement.stop()

    def record_report(self, report: MemberReport) -> None:
        """
        Record the load on keys, and keys that their owners refused.

        Parameters
        ----------
        report : MemberReport
            Report of a member.
        """
        for load in report.loads:
            placement = self.by_service.get(load.service)
            if placement is not None:
                work_s = [work / MS_PER_S for work in load.work_ms]
                placement.add_load(load.keys, work_s)
        now = monotonic()
        for refused in report.refusing:
            placement = self.by_service.get(refused.service)
            if placement is None:
                continue
            key_range = placement.owners.find(refused.key)
            name = (refused.service, key_range.first)
            was_recent = (
                now - self._regranted_at.get(name, 0.0) < MIN_REGRANT_INTERVAL_S
            )
            if key_range.fence == refused.fence and not was_recent:
                self._regranted_at[name] = now
                self._granter.unrenewed.append(key_range)

    def decay_loads(self, now: float) -> None:
        """Reduce the weight of earlier requests by the time since the last call."""
        elapsed_s = now - self._decayed_at
        self._decayed_at = now
        factor = 0.5 ** (elapsed_s / (self._memory_s * LN_2))
        for placement in self.by_service.values():
            placement.decay_load(factor)

    async def step(self, services: Collection[str]) -> None:
        """
        Assign unowned keys, or rebalance the load.

        Parameters
        ----------
        services : collection of str
            Names of the services that are divided by key.
        """
        unrenewed, self._granter.unrenewed = self._granter.unrenewed, []
        backed_off = self._list_backed_off()
        for service in services:
            placement = self.by_service.get(service)
            if placement is None:
                placement = self.add(service)
            placement.regrant(unrenewed)
            await placement.step(backed_off)

    def _list_backed_off(self) -> set[str]:
        """List the upstreams that so many members must leave alone that keys move."""
        limit = len(self._members) * MIN_BACKED_OFF_SHARE
        counts = self._members.count_backoffs()
        return {name for name, count in counts.items() if count >= limit}
