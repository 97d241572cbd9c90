"""Division of the room at upstreams among instances, in units with an end."""

from collections import Counter
from collections.abc import Iterable, Mapping
from random import Random

from plantaincart_core.room import RoomSettings
from plantaincart_core.roomaccount import (
    MemberRoom,
    RoomAccount,
    RoomLease,
    UpstreamRoom,
)
from plantaincart_core.roomowners import ScarceOwners

__all__ = ["RoomLedger"]

# Upstreams that are compared for a further unit. So the effort doesn't grow with their
# number, and members whose reports follow each other don't choose the same one.
SAMPLE = 24
# Penalties in shares of an upstream's room: for a unit that the member has there
# already, and for another data centre.
HELD_PENALTY = 0.4
REMOTE_PENALTY = 0.35
# A unit moves if another upstream is better by this much.
MOVE_GAIN = 0.35
# Share of the reports after which that is looked for, as it compares many upstreams.
MOVE_SHARE = 0.25
# Units beyond the target that a member keeps, so that few are moved to and fro.
SLACK = 1
# Part of the spare units that must be left, as otherwise instances that don't need
# their units at the moment give them back; and seconds between two looks at it.
SHORT_SHARE = 0.7
LOOK_S = 0.1


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
    A new ledger counts what members report that they hold, and gives out nothing more
    until all have reported or their leases must have ended (`RoomAccount`).
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
        self._random = random
        self._account = RoomAccount(settings, first_version, expected, now)
        self._owners = ScarceOwners(self._account)
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
        self._owners.set_rooms(self._rooms)

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
        self._account.record(member, report, now)
        return self._owners.record([*report.in_use, *report.waiting], now)

    def retain(self, members: Iterable[str], now: float) -> None:
        """Forget instances that aren't members any more, once their leases end."""
        self._account.retain(members, now)

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
        lease = self._account.find(member)
        if lease is None or not lease.report.knows_room:
            return None
        units = dict(lease.granted)
        may_add = self._account.is_settled(now)
        self._look_for_shortage(now)
        for name in list(units):
            self._cut_excess(lease, units, name)
        by_service = Counter[str]()
        for name, count in units.items():
            if not self._rooms[name].keyed:
                by_service[self._rooms[name].service] += count
        for service in self._totals:
            self._fit_service(lease, units, service, by_service[service], may_add)
        self._owners.fit(lease, units, may_add, now)
        return self._account.tell(lease, units), units

    def count_taken(self, upstream: str) -> int:
        """Return the units of an upstream that instances may be using."""
        return self._account.taken[upstream]

    def _cut_excess(self, lease: RoomLease, units: dict[str, int], name: str) -> None:
        """Take back units where there are too many, since others sent without any."""
        room = self._rooms.get(name)
        if name in lease.report.avoided and room is not None and not room.keyed:
            room = None
        excess = self._account.planned[name] - (0 if room is None else room.units)
        if room is None or excess >= units[name]:
            del units[name]
        elif excess > 0:
            units[name] -= excess
        if units.get(name, 0) != lease.granted[name]:
            self._account.plan(lease, name, units.get(name, 0))

    def _choose_target(self, lease: RoomLease, service: str, present: int) -> int:
        report = lease.report
        available = self._totals[service] * (1.0 - self._settings.spare_share)
        wanted = report.wants.get(service, 0)
        total = self._account.wants[service]
        waiting = self._count_at(report.waiting, service)
        needed = waiting + self._count_at(report.in_use, service)
        if waiting:
            # Units that are there don't serve those who wait.
            needed = max(needed, present + waiting)
        if total < available:
            rest = int((available - total) / max(1, len(self._account.members)))
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
            taken[room.service] += min(room.units, self._account.taken[name])
        least = 1.0 - SHORT_SHARE * self._settings.spare_share
        self._is_short = {
            service: taken[service] > least * total
            for service, total in self._totals.items()
        }

    def _fit_service(
        self,
        lease: RoomLease,
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
            self._account.add(lease, units, best)
        if present >= target and own and self._random.random() < MOVE_SHARE:
            worst = max(own, key=lambda name: self._rate(lease, units, name, 0))
            best = self._find_best(lease, units, service)
            if best is not None and self._rate(lease, units, best, 1) + MOVE_GAIN < (
                self._rate(lease, units, worst, 0)
            ):
                self._change(units, worst, -1)
                self._account.add(lease, units, best)

    def _find_best(
        self, lease: RoomLease, units: dict[str, int], service: str
    ) -> str | None:
        names: set[str] = set()
        for data_centre in (lease.report.data_centre, ""):
            listed = self._free_lists.get((service, data_centre), [])
            names.update(self._random.sample(listed, min(SAMPLE, len(listed))))
        free = [
            name
            for name in sorted(names - lease.report.avoided)
            if self._account.may_add(lease, units, name, self._rooms[name].units)
        ]
        return min(
            free, key=lambda name: self._rate(lease, units, name, 1), default=None
        )

    def _rate(
        self, lease: RoomLease, units: dict[str, int], name: str, added: int
    ) -> float:
        """Rate how full and how busy an upstream is; the lowest is the best."""
        room = self._rooms[name]
        others = self._account.taken[name] - lease.taken.get(name, 0)
        own = units.get(name, 0) + added
        is_remote = room.data_centre != lease.report.data_centre
        return (
            (others + own + self._account.demand[name]) / max(1, room.units)
            + HELD_PENALTY * (own - 1)
            + REMOTE_PENALTY * is_remote
        )

    @staticmethod
    def _change(units: dict[str, int], name: str, change: int) -> None:
        units[name] = units.get(name, 0) + change
        if not units[name]:
            del units[name]
