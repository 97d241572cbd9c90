"""Room at upstreams, divided among all instances."""

from collections.abc import Iterable, Mapping
from random import Random
from time import monotonic
from typing import Any

from plantaincart_core.directory import UpstreamDirectory, UpstreamRecord
from plantaincart_core.room import RoomEstimate, find_reserve
from plantaincart_core.roomaccount import MemberRoom, UpstreamRoom
from plantaincart_core.roomledger import RoomLedger
from plantaincart_core.roomshare import RoomGrant
from plantaincart_core.upstreamload import UpstreamLoads
from plantaincart_schema.generated.direct import CoordinatorNotice, MemberReport

from plantaincart_router.direct.membership import Member, Membership
from plantaincart_router.direct.sharedfact import FactTerm, NoticeScope, SharedFact
from plantaincart_router.direct.sharedroom import PolicyFinder, SharedRoom
from plantaincart_router.log import write_event

__all__ = ["RoomFact"]

# Seconds for which the room of all upstreams is computed once, and the same for each
# upstream of a large fleet, where it would take much of a coordinator's processor.
ROOMS_S = 0.25
ROOMS_S_PER_UPSTREAM = 0.0005
# Members that an upstream must have asked for a long pause until no units are given
# there; a single one may have been told so by mistake.
MIN_BACKED_OFF = 2
VERSION_BITS = 48
# Seconds for each member between two messages to all that an owner has become scarce,
# as a message to one takes the coordinator up to a millisecond.
ANNOUNCE_INTERVAL_S_PER_MEMBER = 0.003


class RoomFact(SharedFact):
    """
    Shares the demand for room, and takes units of it.

    Parameters
    ----------
    room : SharedRoom
        Units of this instance.
    directory : UpstreamDirectory
        Announced upstreams.
    find_policy : callable
        Returns the settings of a service, or None.
    loads : UpstreamLoads
        Slowness of upstreams, as all instances have measured it.
    """

    # Units don't depend on the map of owners.
    needs_map = False

    def __init__(
        self,
        room: SharedRoom,
        directory: UpstreamDirectory,
        find_policy: PolicyFinder,
        loads: UpstreamLoads,
    ) -> None:
        self._room = room
        self._loads = loads
        self._directory = directory
        self._find_policy = find_policy

    def describe(self, now: float, is_newly_connected: bool) -> Mapping[str, Any]:
        """Report the units that are held and wanted, and what was seen of room."""
        share = self._room.share
        return {
            "room_asked_at": now,
            "room_version": share.grant.version,
            "room": self._room.list_held(now),
            "room_wants": share.list_wants(now),
            "room_waiting": share.list_waiting(),
            "room_avoided": self._room.list_avoided(now),
            "room_full": self._room.pop_full(),
            "room_queues": self._room.pop_queues(),
        }

    def apply(self, notice: CoordinatorNotice, now: float) -> None:
        """Adopt the units of a notice; an earlier build's says nothing of room."""
        self._room.apply(
            RoomGrant(
                epoch=notice.epoch,
                version=notice.room_version,
                units=notice.room,
                rooms=notice.room_services,
                # A notice must not lengthen a lease by a time that is yet to come.
                asked_at=min(notice.room_asked_at, now),
                instances=max(1, notice.members),
                rank=notice.rank,
            )
        )

    def open_term(self, members: Membership) -> FactTerm:
        """Return the coordinator's side, which continues what was divided before."""
        return _RoomTerm(
            self._room, self._directory, self._find_policy, self._loads, members
        )

    def forget_upstream(self, record: UpstreamRecord, now: float) -> None:
        """Give up the units of a process that has ended."""
        self._room.forget(record)


class _RoomTerm(FactTerm):
    def __init__(
        self,
        room: SharedRoom,
        directory: UpstreamDirectory,
        find_policy: PolicyFinder,
        loads: UpstreamLoads,
        members: Membership,
    ) -> None:
        self._room = room
        self._directory = directory
        self._find_policy = find_policy
        self._loads = loads
        self._members = members
        self._estimates: dict[str, RoomEstimate] = {}
        self._divided: dict[str, int] = {}
        self._updated_at = float("-inf")
        self._announced_at = float("-inf")
        now = monotonic()
        random = Random()
        grant = room.share.grant
        self._ledger = RoomLedger(
            room.settings,
            # Told apart from the versions of other terms.
            random.getrandbits(VERSION_BITS),
            random,
            grant.instances if grant.version else 0,
            now,
        )
        self._adopt(grant, now)

    def record_report(self, member: Member, now: float) -> bool:
        report = member.report
        for name, count in report.room_full.items():
            record = self._directory.get(name)
            if record is not None:
                self._find_estimate(record.service).record_full(name, count, now)
        for service, per_slot in report.room_queues.items():
            if self._find_policy(service) is not None:
                self._find_estimate(service).record_queue(per_slot)
        self._update_rooms(now)
        has_news = self._ledger.record_report(report.member, _read_room(report), now)
        interval_s = ANNOUNCE_INTERVAL_S_PER_MEMBER * len(self._members)
        if not has_news or now - self._announced_at < interval_s:
            return False
        self._announced_at = now
        return True

    def retain(self, members: Iterable[str]) -> None:
        self._ledger.retain(members, monotonic())

    def describe(self, scope: NoticeScope) -> Mapping[str, Any]:
        if scope.resigned:
            return {}
        report = scope.member.report
        granted = self._ledger.grant(report.member, scope.now)
        if granted is None:
            return {}
        version, units = granted
        return {
            "room": dict(units),
            "room_version": version,
            "room_asked_at": report.room_asked_at,
            "room_services": self._divided,
        }

    def _adopt(self, grant: RoomGrant, now: float) -> None:
        slots = {record.service: record.slots for record in self._directory}
        for service, units in grant.rooms.items():
            if service in slots:
                self._find_estimate(service).adopt(units, slots[service], now)

    def _find_estimate(self, service: str) -> RoomEstimate:
        estimate = self._estimates.get(service)
        if estimate is None:
            estimate = self._estimates[service] = RoomEstimate(self._room.settings)
        return estimate

    def _update_rooms(self, now: float) -> None:
        interval_s = max(ROOMS_S, ROOMS_S_PER_UPSTREAM * len(self._directory))
        if now - self._updated_at < interval_s:
            return
        self._updated_at = now
        by_service: dict[str, list[UpstreamRecord]] = {}
        for record in self._directory:
            by_service.setdefault(record.service, []).append(record)
        backoffs = self._members.count_backoffs()
        divided: dict[str, int] = {}
        rooms: dict[str, UpstreamRoom] = {}
        for service, records in by_service.items():
            policy = self._find_policy(service)
            if policy is None:
                continue
            slots = min(record.slots for record in records)
            estimate = self._find_estimate(service)
            estimate.regrow(now)
            if not estimate.is_divided(len(self._members), slots, now):
                continue
            divided[service] = estimate.find_room(slots)
            for record in records:
                if not policy.keyed and (
                    backoffs[record.id] >= MIN_BACKED_OFF
                    or not self._directory.accepts_requests(record)
                ):
                    continue
                units = self._limit(record, estimate.find_room(record.slots), now)
                # What a slow upstream would hold for long is better elsewhere, or waits
                # at the entry; an owner needs some that follow without a gap.
                least = min(units, record.slots * (2 if policy.keyed else 1))
                slowness = max(1.0, self._loads.get(record.id).slowness)
                units = max(least, int(units / slowness))
                reserve = find_reserve(len(self._members), len(records), units)
                rooms[record.id] = UpstreamRoom(
                    service=service,
                    data_centre=record.data_centre,
                    units=max(1, units - reserve),
                    keyed=policy.keyed,
                )
        for service in divided.keys() ^ self._divided.keys():
            write_event("room_decided", service=service, room=divided.get(service))
        self._divided = divided
        self._ledger.set_rooms(rooms)

    def _limit(self, record: UpstreamRecord, units: int, now: float) -> int:
        """Return the room of an upstream within all limits that are known of it."""
        if self._directory.remaining_warm_up_s(record.id, now) > 0.0:
            units = min(units, record.slots)
        for source in self._room.sources:
            limit = source.find_limit(record, now)
            if limit is not None:
                units = min(units, int(limit))
        return max(1, units)


def _read_room(report: MemberReport) -> MemberRoom:
    return MemberRoom(
        knows_room=report.room_asked_at > 0.0,
        version=report.room_version,
        held=report.room,
        in_use=report.in_flight,
        wants=report.room_wants,
        waiting=report.room_waiting,
        avoided=frozenset(report.room_avoided),
        data_centre=report.data_centre,
    )
