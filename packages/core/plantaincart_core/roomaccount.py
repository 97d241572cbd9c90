"""Units of room that instances may be using, however late their messages are."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from plantaincart_core.countsum import replace_counts
from plantaincart_core.room import RoomSettings

__all__ = ["MemberRoom", "RoomAccount", "RoomLease", "UpstreamRoom"]


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamRoom:
    """
    Room at an upstream that may be divided.

    Parameters
    ----------
    service, data_centre : str
        Service and data centre of the upstream.
    units : int
        Requests that all instances together may have there.
    keyed : bool
        Whether it runs only requests for its keys, so that no other can replace it.
    """

    service: str
    data_centre: str
    units: int
    keyed: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberRoom:
    """
    What an instance reports of room.

    Parameters
    ----------
    knows_room : bool
        False for an earlier build, which sends without units.
    version : int
        Version of the units that it uses.
    held, in_use : mapping of str to int
        Its units, and its requests in progress, by upstream.
    wants : mapping of str to int
        Units that it wants, by service without keys.
    waiting : mapping of str to int
        Requests that wait there for a unit, by owner of their keys.
    avoided : frozenset of str
        Upstreams to which it can't send at the moment.
    data_centre : str
        Its data centre.
    """

    knows_room: bool = True
    version: int = 0
    held: Mapping[str, int] = field(default_factory=dict)
    in_use: Mapping[str, int] = field(default_factory=dict)
    wants: Mapping[str, int] = field(default_factory=dict)
    waiting: Mapping[str, int] = field(default_factory=dict)
    avoided: frozenset[str] = frozenset()
    data_centre: str = ""


class RoomLease:
    """
    Units of one member.

    Parameters
    ----------
    version : int
        Version below all that it will be told.

    Attributes
    ----------
    version : int
        Version that it was told last.
    granted : dict of str to int
        Units that it was told last, by upstream.
    bound : dict of str to int
        Most units that it may still use by what it was told before.
    planned : dict of str to int
        Its requests and units, once it has confirmed the latest ones.
    taken : dict of str to int
        The same at most, by what it has confirmed.
    report : MemberRoom
        What it reported last.
    heard_at : float
        Time in seconds of that report.
    peaks : dict of str to tuple of (int, float)
        Most requests of a member of an earlier build lately, and when it had them, by
        upstream: it takes no units for those that it sends next.
    """

    __slots__ = (
        "bound",
        "granted",
        "heard_at",
        "peaks",
        "planned",
        "report",
        "taken",
        "version",
    )

    def __init__(self, version: int) -> None:
        self.version = version
        self.granted: dict[str, int] = {}
        self.bound: dict[str, int] = {}
        self.planned: dict[str, int] = {}
        self.taken: dict[str, int] = {}
        self.report = MemberRoom()
        self.heard_at = 0.0
        self.peaks: dict[str, tuple[int, float]] = {}


class RoomAccount:
    """
    Counts what members hold and want.

    Parameters
    ----------
    settings : RoomSettings
        Length of a lease.
    first_version : int
        Version below all that members are told, apart from those of earlier accounts.
    expected : int
        Instances that an earlier coordinator may have given units to; 0 for none.
    now : float
        Present time in seconds.

    Attributes
    ----------
    members : set of str
        Names of those that have reported and are members still.
    taken, planned, wants, demand : collections.Counter
        Sums over all members: of `RoomLease.taken` and `RoomLease.planned` by upstream,
        of wanted units by service, of requests running and waiting by upstream.

    Notes
    -----
    What a member may use counts until it has confirmed a lower number, or its lease
    has ended; so the sum keeps within the room although messages are late or lost.
    """

    def __init__(
        self, settings: RoomSettings, first_version: int, expected: int, now: float
    ) -> None:
        self._first_version = self._version = first_version
        self._expected = expected
        self._lease_s = settings.lease_s + settings.end_s
        self._memory_s = settings.demand_memory_s
        self._opened_at = now
        self._is_settled = expected == 0
        self._leases: dict[str, RoomLease] = {}
        self.members: set[str] = set()
        self.taken: Counter[str] = Counter()
        self.planned: Counter[str] = Counter()
        self.wants: Counter[str] = Counter()
        self.demand: Counter[str] = Counter()

    def find(self, member: str) -> RoomLease | None:
        """Return the units of a member, or None."""
        return self._leases.get(member)

    def record(self, member: str, report: MemberRoom, now: float) -> None:
        """Record what a member reports."""
        lease = self._leases.get(member)
        if lease is None:
            lease = self._leases[member] = RoomLease(self._first_version)
            lease.bound = dict(report.held)
            lease.granted = dict(report.held)
        elif report.version == lease.version:
            # The member may have given back units by itself.
            lease.granted = {
                name: min(count, report.held.get(name, 0))
                for name, count in lease.granted.items()
            }
            lease.bound = dict(lease.granted)
        self.members.add(member)
        self._replace_report(lease, report)
        lease.heard_at = now
        if not report.knows_room:
            self._record_peaks(lease, now)
        self._update(lease)

    def retain(self, members: Iterable[str], now: float) -> None:
        """Forget instances that aren't members any more, once their leases end."""
        self.members &= set(members)
        for name in self._leases.keys() - self.members:
            lease = self._leases[name]
            self._replace_report(lease, MemberRoom())
            if now - lease.heard_at > self._lease_s:
                replace_counts(self.taken, lease.taken, {})
                replace_counts(self.planned, lease.planned, {})
                del self._leases[name]
        for counts in (self.taken, self.planned, self.wants, self.demand):
            for name in [name for name, count in counts.items() if count == 0]:
                del counts[name]

    def is_settled(self, now: float) -> bool:
        """Return whether all that an earlier coordinator gave is known or has ended."""
        if not self._is_settled:
            self._is_settled = (
                len(self.members) >= self._expected
                or now - self._opened_at > self._lease_s
            )
        return self._is_settled

    def tell(self, lease: RoomLease, units: dict[str, int]) -> int:
        """Record what a member is told; return its version."""
        if units != lease.granted or lease.version == self._first_version:
            self._version += 1
            lease.version = self._version
            lease.granted = units
            _raise_to(lease.bound, units)
            self._update(lease)
        return lease.version

    def may_add(
        self, lease: RoomLease, units: dict[str, int], name: str, limit: int
    ) -> bool:
        """Return whether a further unit is free, or counts for the member already."""
        held = units.get(name, 0)
        present = max(held + 1, lease.report.in_use.get(name, 0))
        if self.planned[name] - lease.planned.get(name, 0) + present > limit:
            return False
        return held < lease.taken.get(name, 0) or self.taken[name] < limit

    def add(self, lease: RoomLease, units: dict[str, int], name: str) -> None:
        """Add a unit, and count it at once, so that the next choice considers it."""
        units[name] = units.get(name, 0) + 1
        if units[name] > lease.taken.get(name, 0):
            lease.taken[name] = units[name]
            self.taken[name] += 1
        self.plan(lease, name, units[name])

    def plan(self, lease: RoomLease, name: str, units: int) -> None:
        """Count changed units at once, so that the next choice considers them."""
        present = max(units, lease.report.in_use.get(name, 0))
        self.planned[name] += present - lease.planned.get(name, 0)
        lease.planned[name] = present

    def _replace_report(self, lease: RoomLease, report: MemberRoom) -> None:
        earlier = lease.report
        replace_counts(self.wants, earlier.wants, report.wants)
        replace_counts(self.demand, earlier.in_use, report.in_use)
        replace_counts(self.demand, earlier.waiting, report.waiting)
        lease.report = report

    def _record_peaks(self, lease: RoomLease, now: float) -> None:
        peaks = {
            name: peak
            for name, peak in lease.peaks.items()
            if now - peak[1] <= self._memory_s
        }
        for name, count in lease.report.in_use.items():
            if count >= peaks.get(name, (0, now))[0]:
                peaks[name] = (count, now)
        lease.peaks = peaks

    def _update(self, lease: RoomLease) -> None:
        planned = dict(lease.report.in_use)
        if lease.report.knows_room:
            _raise_to(planned, lease.granted)
        else:
            _raise_to(planned, {name: peak[0] for name, peak in lease.peaks.items()})
        taken = dict(planned)
        if lease.report.knows_room:
            _raise_to(taken, lease.bound)
        replace_counts(self.planned, lease.planned, planned)
        replace_counts(self.taken, lease.taken, taken)
        lease.planned, lease.taken = planned, taken


def _raise_to(counts: dict[str, int], least: Mapping[str, int]) -> None:
    for name, count in least.items():
        counts[name] = max(counts.get(name, 0), count)
