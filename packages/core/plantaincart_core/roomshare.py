"""The room at upstreams that one instance may use."""

from collections import Counter, deque
from collections.abc import Container, Mapping, Sequence
from dataclasses import dataclass, field, replace
from math import ceil

from plantaincart_core.room import RoomSettings

__all__ = ["RoomGrant", "RoomShare", "list_fallback"]

# Seconds in which the reports of all instances arrive.
DOUBT_S = 0.3
# Intervals into which the memory of the greatest demand is divided.
DEMAND_STEPS = 4
# Units wanted as a multiple of the greatest recent demand, and in addition: demand of
# few requests at a time varies by about its own size.
DEMAND_FACTOR = 1.25
DEMAND_EXTRA = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class RoomGrant:
    """
    What an instance was told about room.

    Parameters
    ----------
    epoch : int
        Number of the coordinator's term.
    version : int
        Version of the units.
    units : mapping of str to int
        Units by upstream; 0 for owners whose room is divided among others.
    rooms : mapping of str to int
        Room at an upstream, by service whose room is divided.
    asked_at : float
        Time in seconds of this instance's report that was answered.
    instances : int
        Number of instances.
    rank : int
        Index of this one among them.
    """

    epoch: int = 0
    version: int = 0
    units: Mapping[str, int] = field(default_factory=dict)
    rooms: Mapping[str, int] = field(default_factory=dict)
    asked_at: float = float("-inf")
    instances: int = 1
    rank: int = 0


def list_fallback(upstreams: Sequence[str], instances: int, rank: int) -> list[str]:
    """
    List the upstreams at which an instance that hears nothing may use one unit.

    Parameters
    ----------
    upstreams : sequence of str
        Upstreams of the service, in the same order at all instances.
    instances, rank : int
        Number of instances, and the index of this one.

    Returns
    -------
    list of str
        At most `instances / len(upstreams)` instances, rounded up, share an upstream.

    Examples
    --------
    >>> list_fallback(["u1", "u2", "u3"], instances=2, rank=1)
    ['u2']
    >>> list_fallback(["u1", "u2", "u3"], instances=5, rank=4)
    ['u2']
    """
    if not upstreams:
        return []
    if instances >= len(upstreams):
        return [upstreams[rank % len(upstreams)]]
    return [name for index, name in enumerate(upstreams) if index % instances == rank]


class RoomShare:
    """
    Units that one instance has, uses and wants.

    Parameters
    ----------
    settings : RoomSettings
        Times and shares.

    Examples
    --------
    >>> share = RoomShare(RoomSettings())
    >>> share.apply(RoomGrant(version=1, units={"u1": 1}, rooms={"desk": 8},
    ...                       asked_at=0.0))
    >>> share.may_use("u1", "desk", now=1.0)
    True
    >>> share.record_start("u1", "desk", now=1.0)
    >>> share.may_use("u1", "desk", now=1.1)
    False
    >>> share.list_wants(now=1.1)
    {'desk': 3}
    >>> share.list_wants(now=9.0)
    {'desk': 3}
    >>> share.record_end("u1", "desk", now=9.0)
    >>> share.list_wants(now=20.0)
    {}
    """

    def __init__(self, settings: RoomSettings) -> None:
        self._settings = settings
        self.grant = RoomGrant()
        self._in_use: Counter[str] = Counter()
        self._waiting: Counter[str] = Counter()
        self._held: Counter[str] = Counter()
        self._doubted_until: dict[str, float] = {}
        self._demand: Counter[str] = Counter()
        self._peaks: dict[str, deque[tuple[float, int]]] = {}

    def apply(self, grant: RoomGrant) -> None:
        """Adopt what was told, unless it is older than what is known."""
        present = self.grant
        if (grant.epoch, grant.version) == (present.epoch, present.version):
            # Units that were given back since stay given back.
            asked_at = max(grant.asked_at, present.asked_at)
            grant = replace(grant, units=present.units, asked_at=asked_at)
        if (grant.epoch, grant.version) >= (present.epoch, present.version):
            self.grant = grant

    def is_divided(self, service: str) -> bool:
        """Return whether the room of a service is divided among the instances."""
        return service in self.grant.rooms

    def has_lease(self, now: float) -> bool:
        """Return whether the units may still be used."""
        return now - self.grant.asked_at < self._settings.lease_s

    def count_in_use(self, upstream: str) -> int:
        """Return the units of an upstream that are used or not to be used now."""
        return self._in_use[upstream] + self._held[upstream]

    def may_use(self, upstream: str, service: str, now: float) -> bool:
        """Return whether a unit of an upstream of a service without keys is free."""
        if not self.is_divided(service):
            return True
        units = self.grant.units.get(upstream, 0) if self.has_lease(now) else 0
        return self.count_in_use(upstream) < units

    def may_use_owner(
        self, upstream: str, service: str, in_flight: float, now: float
    ) -> bool:
        """
        Return whether a further request may be sent to the owner of a key.

        Parameters
        ----------
        upstream, service : str
            The owner, and its service.
        in_flight : float
            Estimated requests of all instances there.
        now : float
            Present time in seconds.
        """
        room = self.grant.rooms.get(service)
        if room is None:
            return True
        own = self.count_in_use(upstream)
        if self.has_lease(now):
            units = self.grant.units.get(upstream)
            if units is not None:
                return own < units
            if now < self._doubted_until.get(upstream, float("-inf")):
                return False
            limit = max(1, room // self.grant.instances)
            return own < limit and in_flight < room - 1
        return own < 1 and in_flight < room - 1

    def record_start(self, upstream: str, service: str, now: float) -> None:
        """Record that a request begins to use a unit."""
        self._in_use[upstream] += 1
        self._record_demand(service, 1, now)

    def record_end(self, upstream: str, service: str, now: float) -> None:
        """Record that a request has ended."""
        self._in_use[upstream] -= 1
        if self._in_use[upstream] <= 0:
            del self._in_use[upstream]
        self._record_demand(service, -1, now)

    def hold(self, upstream: str) -> None:
        """Use one unit less, as the upstream has no room for it at the moment."""
        self._held[upstream] += 1

    def doubt(self, upstream: str, now: float) -> None:
        """Send nothing without a unit, since others may all begin to at this moment."""
        self._doubted_until = {
            name: until for name, until in self._doubted_until.items() if until > now
        }
        self._doubted_until[upstream] = now + DOUBT_S

    def end_hold(self, upstream: str) -> None:
        """Use it again."""
        self._held[upstream] -= 1
        if self._held[upstream] <= 0:
            del self._held[upstream]

    def record_waiting(
        self, upstream: str, service: str, change: int, now: float
    ) -> None:
        """Record that a request begins (1) or ends (-1) to wait for a unit."""
        self._waiting[upstream] += change
        if self._waiting[upstream] <= 0:
            del self._waiting[upstream]
        self._record_demand(service, change, now)

    def record_shortage(self, service: str, now: float) -> None:
        """Record that no unit of a service was of use for a request."""
        self._record_demand(service, 1, now)
        self._demand[service] -= 1

    def list_wants(self, now: float) -> dict[str, int]:
        """Return the units that this instance wants, by service."""
        wants = {}
        for service, peaks in list(self._peaks.items()):
            while peaks and now - peaks[0][0] > self._settings.demand_memory_s:
                peaks.popleft()
            peak = max([self._demand[service], *(count for _, count in peaks)])
            if peak > 0:
                wants[service] = ceil(DEMAND_FACTOR * peak) + DEMAND_EXTRA
            else:
                del self._peaks[service]
        return wants

    def count_waiting(self, upstream: str) -> int:
        """Return the requests that wait here for a unit of an upstream."""
        return self._waiting[upstream]

    def list_waiting(self) -> dict[str, int]:
        """Return the requests that wait here, by upstream."""
        return dict(self._waiting)

    def give_back(self, keyed: Container[str]) -> None:
        """Give back unused units at owners, of services that are divided by key."""
        units = {}
        for name, count in self.grant.units.items():
            if name in keyed:
                count = min(count, self.count_in_use(name) + self._waiting[name])
            units[name] = count
        self.grant = replace(self.grant, units=units)

    def list_held(self, now: float) -> dict[str, int]:
        """Return the units that this instance may use."""
        return dict(self.grant.units) if self.has_lease(now) else {}

    def forget(self, upstream: str) -> None:
        """Give up the units of an upstream that has ended."""
        if upstream in self.grant.units:
            units = {
                name: count
                for name, count in self.grant.units.items()
                if name != upstream
            }
            self.grant = replace(self.grant, units=units)

    def _record_demand(self, service: str, change: int, now: float) -> None:
        self._demand[service] += change
        if change < 0:
            return
        peaks = self._peaks.setdefault(service, deque())
        step_s = self._settings.demand_memory_s / DEMAND_STEPS
        count = self._demand[service]
        if peaks and now - peaks[-1][0] < step_s:
            peaks[-1] = (peaks[-1][0], max(peaks[-1][1], count))
        else:
            peaks.append((now, count))
