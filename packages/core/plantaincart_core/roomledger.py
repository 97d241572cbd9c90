"""Division of the room at upstreams among instances, in units with an end."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from random import Random

from plantaincart_core.room import RoomSettings

__all__ = ["MemberRoom", "RoomLedger", "UpstreamRoom"]

# Upstreams that are compared for a further unit. So the effort doesn't grow with their
# number, and members whose reports follow each other don't choose the same one.
SAMPLE = 24
# Penalties in shares of an upstream's room: for a unit that the member has there
# already, and for another data centre.
HELD_PENALTY = 0.4
REMOTE_PENALTY = 0.35
# A unit moves if another upstream is better by this much.
MOVE_GAIN = 0.35
# Units beyond the target that a member keeps, so that few are moved to and fro.
SLACK = 1
# Part of the spare units that must be left, as otherwise instances that don't need
# their units at the moment give them back; and seconds between two looks at it.
SHORT_SHARE = 0.7
LOOK_S = 0.1
# Share of an owner's room from whose use on it is divided, and seconds for which it
# stays so afterwards.
SCARCE_SHARE = 0.5
SCARCE_S = 2.0


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


class _Lease:
    """Units of one member."""

    __slots__ = (
        "bound",
        "granted",
        "heard_at",
        "planned",
        "report",
        "taken",
        "version",
    )

    def __init__(self, version: int) -> None:
        self.version = version
        self.granted: dict[str, int] = {}
        # Most units that the member may still use by what it was told before.
        self.bound: dict[str, int] = {}
        self.taken: dict[str, int] = {}
        # The same once the member has confirmed the latest units.
        self.planned: dict[str, int] = {}
        self.report = MemberRoom()
        self.heard_at = 0.0


class RoomLedger:
    """
    Gives units of room to instances; never more than there are.

    Parameters
    ----------
    settings : RoomSettings
        Times and shares.
    first_version : int
        Version below all that this ledger tells, and above those of earlier ones.
    random : random.Random
        Random number generator.
    expected : int
        Instances that an earlier ledger may have given units to; 0 for none.
    now : float
        Present time in seconds.

    Notes
    -----
    What a member may use counts until it has confirmed a lower number, or its lease
    has ended; so the sum keeps within the room although messages are late or lost. A
    new ledger counts what members report that they hold, and gives out nothing more
    until all have reported or their leases must have ended.
    """

    def __init__(
        self,
        settings: RoomSettings,
        first_version: int,
        random: Random,
        expected: int,
        now: float,
    ) -> None:
        self._settings = settings
        self._first_version = first_version
        self._random = random
        self._expected = expected
        self._opened_at = now
        self._is_settled = expected == 0
        self._leases: dict[str, _Lease] = {}
        self._members: set[str] = set()
        self._taken: Counter[str] = Counter()
        self._planned: Counter[str] = Counter()
        self._wants: Counter[str] = Counter()
        self._demand: Counter[str] = Counter()
        self._scarce_until: dict[str, float] = {}
        self._rooms: dict[str, UpstreamRoom] = {}
        self._free_lists: dict[tuple[str, str], list[str]] = {}
        self._totals: Counter[str] = Counter()
        self._is_short: dict[str, bool] = {}
        self._looked_at = float("-inf")

    def set_rooms(self, rooms: Mapping[str, UpstreamRoom]) -> None:
        """Set the room by upstream; those that are missing get no requests."""
        self._rooms = dict(rooms)
        self._free_lists = {}
        self._totals = Counter()
        for name, room in rooms.items():
            if not room.keyed:
                self._totals[room.service] += room.units
                for data_centre in ("", room.data_centre):
                    key = (room.service, data_centre)
                    self._free_lists.setdefault(key, []).append(name)
        for name in self._scarce_until.keys() - rooms.keys():
            del self._scarce_until[name]

    def record_report(self, member: str, report: MemberRoom, now: float) -> bool:
        """
        Record what a member reports.

        Parameters
        ----------
        member : str
            Name of the instance.
        report : MemberRoom
            Its room.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether all members should be told at once, as an owner has become scarce.
        """
        lease = self._leases.get(member)
        if lease is None:
            lease = self._leases[member] = _Lease(self._first_version)
            lease.bound = dict(report.held)
            lease.granted = dict(report.held)
        elif report.version == lease.version:
            # The member may have given back units by itself.
            lease.granted = {
                name: min(count, report.held.get(name, 0))
                for name, count in lease.granted.items()
            }
            lease.bound = dict(lease.granted)
        self._members.add(member)
        self._wants.subtract(lease.report.wants)
        self._wants.update(report.wants)
        self._demand.subtract(lease.report.in_use)
        self._demand.subtract(lease.report.waiting)
        self._demand.update(report.in_use)
        self._demand.update(report.waiting)
        lease.report, lease.heard_at = report, now
        self._update_taken(lease)
        return self._find_scarce([*report.in_use, *report.waiting], now)

    def retain(self, members: Iterable[str], now: float) -> None:
        """Forget instances that aren't members any more, once their leases end."""
        self._members &= set(members)
        settings = self._settings
        for name in self._leases.keys() - self._members:
            lease = self._leases[name]
            if lease.report.wants or lease.report.waiting or lease.report.in_use:
                self._wants.subtract(lease.report.wants)
                self._demand.subtract(lease.report.waiting)
                self._demand.subtract(lease.report.in_use)
                lease.report = MemberRoom(in_use={}, data_centre="")
            if now - lease.heard_at > settings.lease_s + settings.end_s:
                self._taken.subtract(lease.taken)
                self._planned.subtract(lease.planned)
                del self._leases[name]
        self._taken = +self._taken
        self._planned = +self._planned
        self._demand = +self._demand

    def grant(self, member: str, now: float) -> tuple[int, Mapping[str, int]] | None:
        """
        Choose the units of a member.

        Parameters
        ----------
        member : str
            Name of the instance, which has just reported.
        now : float
            Present time in seconds.

        Returns
        -------
        tuple of int and mapping, or None
            Version, and units by upstream; None for an earlier build.
        """
        lease = self._leases.get(member)
        if lease is None or not lease.report.knows_room:
            return None
        units = dict(lease.granted)
        may_add = self._check_settled(now)
        self._look_for_shortage(now)
        for name in list(units):
            self._cut_excess(lease, units, name)
        by_service = Counter[str]()
        for name, count in units.items():
            if not self._rooms[name].keyed:
                by_service[self._rooms[name].service] += count
        for service in self._totals:
            self._fit_service(lease, units, service, by_service[service], may_add)
        self._fit_owners(lease, units, may_add, now)
        if units != lease.granted or lease.version == self._first_version:
            lease.granted = units
            lease.version += 1
            for name, count in units.items():
                lease.bound[name] = max(lease.bound.get(name, 0), count)
            self._update_taken(lease)
        return lease.version, units

    def count_taken(self, upstream: str) -> int:
        """Return the units of an upstream that instances may be using."""
        return self._taken[upstream]

    def is_scarce(self, upstream: str, now: float) -> bool:
        """Return whether the room of an owner is divided."""
        return now < self._scarce_until.get(upstream, float("-inf"))

    def _check_settled(self, now: float) -> bool:
        if not self._is_settled:
            settings = self._settings
            waited_s = now - self._opened_at
            self._is_settled = (
                len(self._members) >= self._expected
                or waited_s > settings.lease_s + settings.end_s
            )
        return self._is_settled

    def _update_taken(self, lease: _Lease) -> None:
        planned = dict(lease.report.in_use)
        if lease.report.knows_room:
            _raise_to(planned, lease.granted)
        taken = dict(planned)
        if lease.report.knows_room:
            _raise_to(taken, lease.bound)
        self._planned.subtract(lease.planned)
        self._planned.update(planned)
        self._taken.subtract(lease.taken)
        self._taken.update(taken)
        lease.planned, lease.taken = planned, taken

    def _find_scarce(self, names: Iterable[str], now: float) -> bool:
        is_news = False
        for name in names:
            room = self._rooms.get(name)
            if room is None or not room.keyed:
                continue
            if self._demand[name] >= max(2.0, SCARCE_SHARE * room.units):
                is_news |= not self.is_scarce(name, now)
                self._scarce_until[name] = now + SCARCE_S
        return is_news

    def _cut_excess(self, lease: _Lease, units: dict[str, int], name: str) -> None:
        """Take back units where there are too many, since others sent without any."""
        room = self._rooms.get(name)
        if name in lease.report.avoided and room is not None and not room.keyed:
            room = None
        excess = self._planned[name] - (0 if room is None else room.units)
        if room is None or excess >= units[name]:
            del units[name]
        elif excess > 0:
            units[name] -= excess
        if units.get(name, 0) != lease.granted[name]:
            # Counted at once, so that the others keep theirs.
            present = max(units.get(name, 0), lease.report.in_use.get(name, 0))
            self._planned[name] += present - lease.planned.get(name, 0)
            lease.planned[name] = present

    def _count_free(self, name: str) -> int:
        return self._rooms[name].units - self._taken[name]

    def _choose_target(self, lease: _Lease, service: str, present: int) -> int:
        report = lease.report
        available = self._totals[service] * (1.0 - self._settings.spare_share)
        wanted = report.wants.get(service, 0)
        total = self._wants[service]
        waiting = self._count_at(report.waiting, service)
        needed = waiting + self._count_at(report.in_use, service)
        if waiting:
            # Units that are there don't serve those who wait.
            needed = max(needed, present + waiting)
        if total < available:
            rest = int((available - total) / max(1, len(self._members)))
            return max(needed, wanted + rest)
        # What is wanted in case of need is scaled down, but not what is needed now.
        if self._is_short.get(service, False):
            return needed
        scaled = max(1, int(wanted * available / total)) if wanted else 0
        return max(needed, scaled)

    def _count_at(self, counts: Mapping[str, int], service: str) -> int:
        return sum(
            count
            for name, count in counts.items()
            if (room := self._rooms.get(name)) is not None and room.service == service
        )

    def _look_for_shortage(self, now: float) -> None:
        """Find the services of which hardly any units are left."""
        if now - self._looked_at < LOOK_S:
            return
        self._looked_at = now
        taken = Counter[str]()
        for name, room in self._rooms.items():
            taken[room.service] += min(room.units, self._taken[name])
        least = 1.0 - SHORT_SHARE * self._settings.spare_share
        self._is_short = {
            service: taken[service] > least * total
            for service, total in self._totals.items()
        }

    def _fit_service(
        self,
        lease: _Lease,
        units: dict[str, int],
        service: str,
        present: int,
        may_add: bool,
    ) -> None:
        """Change the units of a member at a service without keys towards its target."""
        target = self._choose_target(lease, service, present)
        own = [
            name
            for name in units
            if not self._rooms[name].keyed and self._rooms[name].service == service
        ]
        slack = 0 if self._is_short.get(service, False) else SLACK
        for _ in range(present - target - slack):
            worst = max(own, key=lambda name: self._rate(lease, units, name, 0))
            self._change(units, worst, -1)
            own = [name for name in own if name in units]
        if not may_add:
            return
        for _ in range(target - present):
            best = self._find_best(lease, units, service)
            if best is None:
                break
            self._add(lease, units, best)
        if present >= target and own:
            worst = max(own, key=lambda name: self._rate(lease, units, name, 0))
            best = self._find_best(lease, units, service)
            if best is not None and self._rate(lease, units, best, 1) + MOVE_GAIN < (
                self._rate(lease, units, worst, 0)
            ):
                self._change(units, worst, -1)
                self._add(lease, units, best)

    def _find_best(
        self, lease: _Lease, units: dict[str, int], service: str
    ) -> str | None:
        names: set[str] = set()
        for data_centre in (lease.report.data_centre, ""):
            listed = self._free_lists.get((service, data_centre), [])
            names.update(self._random.sample(listed, min(SAMPLE, len(listed))))
        free = [
            name
            for name in sorted(names - lease.report.avoided)
            if self._may_add(lease, units, name)
        ]
        return min(
            free, key=lambda name: self._rate(lease, units, name, 1), default=None
        )

    def _may_add(self, lease: _Lease, units: dict[str, int], name: str) -> bool:
        """Whether a further unit there is free, or counts for the member already."""
        return units.get(name, 0) < lease.taken.get(name, 0) or (
            self._count_free(name) >= 1
        )

    def _rate(
        self, lease: _Lease, units: dict[str, int], name: str, added: int
    ) -> float:
        """Rate how full an upstream is for a member; the lowest is the best."""
        room = self._rooms[name]
        others = self._taken[name] - lease.taken.get(name, 0)
        own = units.get(name, 0) + added
        is_remote = room.data_centre != lease.report.data_centre
        return (
            (others + own) / max(1, room.units)
            + HELD_PENALTY * (own - 1)
            + REMOTE_PENALTY * is_remote
        )

    def _add(self, lease: _Lease, units: dict[str, int], name: str) -> None:
        self._change(units, name, 1)
        # Counted at once, so that the next unit is chosen among what is left.
        if units[name] > lease.taken.get(name, 0):
            lease.taken[name] = units[name]
            self._taken[name] += 1

    @staticmethod
    def _change(units: dict[str, int], name: str, change: int) -> None:
        units[name] = units.get(name, 0) + change
        if not units[name]:
            del units[name]

    def _fit_owners(
        self, lease: _Lease, units: dict[str, int], may_add: bool, now: float
    ) -> None:
        """Divide the room of owners that are scarce by demand."""
        report = lease.report
        named = {*units, *report.waiting, *self._scarce_until}
        for name in sorted(named):
            room = self._rooms.get(name)
            if room is None or not room.keyed:
                continue
            is_scarce = self.is_scarce(name, now)
            own = report.in_use.get(name, 0) + report.waiting.get(name, 0)
            if not is_scarce and not own:
                units.pop(name, None)
                continue
            target, demand = own, self._demand[name]
            if demand > room.units:
                target = max(min(1, own), own * room.units // demand)
            present = units.get(name, 0)
            while present < target and may_add and self._may_add(lease, units, name):
                self._add(lease, units, name)
                present += 1
            units[name] = min(present, target)
            if not is_scarce and not units[name]:
                del units[name]


def _raise_to(counts: dict[str, int], least: Mapping[str, int]) -> None:
    for name, count in least.items():
        counts[name] = max(counts.get(name, 0), count)
