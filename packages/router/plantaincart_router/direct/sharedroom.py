"""Units of room at upstreams that this instance was given."""

from asyncio import TimerHandle, get_running_loop
from collections import Counter
from collections.abc import Callable, Sequence
from copy import copy, deepcopy
from time import monotonic
from typing import Self

from plantaincart_core.directory import UpstreamDirectory, UpstreamRecord
from plantaincart_core.room import RoomSettings
from plantaincart_core.roomshare import RoomGrant, RoomShare, list_fallback
from plantaincart_core.roomusage import UnitUsage
from plantaincart_core.traffic import ServicePolicy
from plantaincart_core.upstreamload import UpstreamLoads

from plantaincart_router.direct.backoff import UpstreamBackoffs
from plantaincart_router.direct.capacity import CapacitySource
from plantaincart_router.direct.connectfailures import ConnectFailures
from plantaincart_router.direct.roomgate import RoomGate
from plantaincart_router.direct.silencelistener import SilenceListener
from plantaincart_router.log import write_event

__all__ = ["FULL_FACTOR", "PolicyFinder", "SharedRoom"]

PolicyFinder = Callable[[str], ServicePolicy | None]

# Seconds between reports while requests wait for room: at least, and for each instance,
# so that those of all together don't keep the coordinator busy.
MIN_ASK_INTERVAL_S = 0.06
ASK_INTERVAL_S_PER_INSTANCE = 0.0015
# Seconds that a request is expected to wait for a unit that isn't there.
GRANT_WAIT_S = 0.1
# Seconds for which the upstreams of a service are listed once.
LIST_S = 0.5
# Requests for each slot from which on an upstream that resets a connection, rejects or
# doesn't answer is taken to be full.
FULL_FACTOR = 2.0
# Upstreams that a report names as avoided, at most.
MAX_AVOIDED = 256


class SharedRoom(RoomGate, SilenceListener):
    """
    Lets requests pass as far as this instance was given room.

    Parameters
    ----------
    settings : RoomSettings
        Times and shares.
    directory : UpstreamDirectory
        Announced upstreams.
    loads : UpstreamLoads
        Requests of all instances.
    find_policy : callable
        Returns the settings of a service, or None.
    backoffs : UpstreamBackoffs
        Upstreams that want a pause; units there are of no use.
    connect_failures : ConnectFailures
        Upstreams to which connecting failed; units there are of no use.
    sources : sequence of CapacitySource
        Further limits of the room, which the coordinator applies.

    Attributes
    ----------
    settings : RoomSettings
        Times and shares.
    share : RoomShare
        Units of this instance.
    ask : callable
        Reports to the coordinator soon.

    Notes
    -----
    An instance that has heard nothing for the length of a lease uses only the reserve:
    one unit at a few upstreams, at other ones than its peers.
    """

    def __init__(
        self,
        settings: RoomSettings,
        directory: UpstreamDirectory,
        loads: UpstreamLoads,
        find_policy: PolicyFinder,
        backoffs: UpstreamBackoffs,
        connect_failures: ConnectFailures,
        sources: Sequence[CapacitySource] = (),
    ) -> None:
        self.settings = settings
        self.share = RoomShare(settings)
        self.ask: Callable[[], None] = _ignore
        self.sources = tuple(sources)
        self._directory = directory
        self._loads = loads
        self._find_policy = find_policy
        self._listener: Callable[[], None] = _ignore
        self._full: Counter[str] = Counter()
        self._queues: dict[str, float] = {}
        self._usage = UnitUsage()
        self._fallback: dict[str, tuple[float, list[str]]] = {}
        self._timer: TimerHandle | None = None
        self._gave_back_at = float("-inf")
        self._asked_short_at = float("-inf")
        self._backoffs = backoffs
        self._connect_failures = connect_failures

    def copy(self, loads: UpstreamLoads) -> Self:
        """Return a copy whose units are taken apart, and which asks for none."""
        copied = copy(self)
        copied.ask = copied._listener = _ignore
        copied.share = deepcopy(self.share)
        copied._loads = loads
        copied._full, copied._queues = Counter(), {}
        copied._usage = deepcopy(self._usage)
        copied._fallback = dict(self._fallback)
        return copied

    def try_acquire(self, record: UpstreamRecord, now: float) -> bool:
        """Take a unit of room at an upstream, if there is one."""
        if not self.has_room(record, now):
            return False
        self.share.record_start(record.id, record.service, now)
        self._usage.record_start(record.id, now)
        return True

    def release(self, record: UpstreamRecord) -> None:
        """Give back a unit that was taken."""
        now = monotonic()
        self.share.record_end(record.id, record.service, now)
        self._usage.record_end(record.id, record.service, now)
        self._listener()
        share = self.share
        is_unused = share.count_in_use(record.id) < share.grant.units.get(record.id, 0)
        is_due = now - self._gave_back_at > self._choose_interval_s()
        if is_unused and is_due and self._is_keyed(record.service):
            # Others may wait for the unit, which is reported as given back.
            self._gave_back_at = now
            self.ask()

    def hold(self, record: UpstreamRecord, hold_s: float) -> None:
        """
        Use one unit less for a time, since an upstream has no room for it.

        Parameters
        ----------
        record : UpstreamRecord
            Process that turned a request away, or may still hold one that has ended.
        hold_s : float
            Seconds.
        """
        if self.share.is_divided(record.service):
            self.share.hold(record.id)
            get_running_loop().call_later(hold_s, self._end_hold, record)

    def _end_hold(self, record: UpstreamRecord) -> None:
        self.share.end_hold(record.id)
        self._listener()

    def has_room(self, record: UpstreamRecord, now: float) -> bool:
        """Return whether `try_acquire` would succeed."""
        share, service = self.share, record.service
        if not share.is_divided(service):
            return True
        if self._is_keyed(service):
            load = self._loads.get(record.id)
            in_flight = load.estimate_in_flight(now, self._loads.settings)
            return share.may_use_owner(record.id, service, in_flight, now)
        if share.has_lease(now):
            return share.may_use(record.id, service, now)
        return record.id in self._list_fallback(service, now) and (
            share.count_in_use(record.id) < 1
        )

    def estimate_wait_s(self, record: UpstreamRecord, now: float) -> float:
        """Estimate how long a request would wait for a unit of room."""
        if self.has_room(record, now):
            return 0.0
        if not self._is_keyed(record.service):
            return GRANT_WAIT_S
        # At a scarce owner a unit is free only when a request there has ended.
        units = self.share.grant.units.get(record.id, 0)
        ahead = self.share.count_waiting(record.id) + 1
        use_s = self._usage.find_mean_s(record.service)
        return GRANT_WAIT_S + use_s * ahead / max(1, units)

    def set_listener(self, listener: Callable[[], None]) -> None:
        """Set the function that is called when there may be room again."""
        self._listener = listener

    def record_waiting(self, record: UpstreamRecord, change: int) -> None:
        """Count the requests that wait, and ask for room for them."""
        now = monotonic()
        self.share.record_waiting(record.id, record.service, change, now)
        if change > 0 and self.share.is_divided(record.service):
            self.ask()
            self._ask_again()

    def record_shortage(self, service: str) -> None:
        """Ask for further units, since those at hand are at busy upstreams."""
        now = monotonic()
        if self.share.is_divided(service):
            self.share.record_shortage(service, now)
            if now - self._asked_short_at > self._choose_interval_s():
                self._asked_short_at = now
                self.ask()

    def record_load(self, record: UpstreamRecord, waiting: int) -> None:
        """Record how many waiting requests an upstream states that it holds."""
        per_slot = waiting / max(1, record.slots)
        if per_slot > self._queues.get(record.service, 0.0):
            self._queues[record.service] = per_slot

    def record_full(self, record: UpstreamRecord) -> None:
        """Record that an upstream that was full turned a request away."""
        self._full[record.id] += 1
        write_event(
            "upstream_full",
            upstream=record.id,
            units=self.share.grant.units.get(record.id),
            own=self.share.count_in_use(record.id),
        )

    def record_silent(self, record: UpstreamRecord, in_flight: float) -> None:
        """Record that an upstream that was full didn't answer a request."""
        if in_flight >= FULL_FACTOR * record.slots:
            self.record_full(record)

    def list_held(self, now: float) -> dict[str, int]:
        """Return the units that this instance goes on using."""
        self.share.give_back(
            {record.id for record in self._directory if self._is_keyed(record.service)}
        )
        return self.share.list_held(now)

    def list_avoided(self, now: float) -> list[str]:
        """List the upstreams at which units are of no use at the moment."""
        avoided = [
            record.id
            for record in self._directory
            if self.share.is_divided(record.service) and self._is_avoided(record, now)
        ]
        return avoided[:MAX_AVOIDED]

    def pop_full(self) -> dict[str, int]:
        """Return the requests turned away since the last call, by upstream."""
        full, self._full = self._full, Counter()
        return dict(full)

    def pop_queues(self) -> dict[str, float]:
        """Return the longest stated queues per slot since the last call."""
        queues, self._queues = self._queues, {}
        return queues

    def apply(self, grant: RoomGrant) -> None:
        """Adopt what the coordinator told."""
        previous = self.share.grant.rooms
        self.share.apply(grant)
        for service in self.share.grant.rooms.keys() ^ previous.keys():
            room = self.share.grant.rooms.get(service)
            write_event("room_divided", service=service, room=room)
        self._listener()

    def forget(self, record: UpstreamRecord) -> None:
        """Give up the units of a process that has ended."""
        self.share.forget(record.id)
        self._usage.forget(record.id)

    def _is_avoided(self, record: UpstreamRecord, now: float) -> bool:
        if self._backoffs.remaining_s(record, now) > 0.0:
            return True
        return self._connect_failures.retry_delay_s(record, now) > 0.0

    def _is_keyed(self, service: str) -> bool:
        policy = self._find_policy(service)
        return policy is not None and policy.keyed

    def _list_fallback(self, service: str, now: float) -> list[str]:
        listed_at, names = self._fallback.get(service, (float("-inf"), []))
        if now - listed_at > LIST_S:
            upstreams = sorted(
                record.id for record in self._directory if record.service == service
            )
            grant = self.share.grant
            names = list_fallback(upstreams, grant.instances, grant.rank)
            self._fallback[service] = (now, names)
        return names

    def _ask_again(self) -> None:
        """Ask for as long as requests wait."""
        if self._timer is not None:
            return
        interval_s = self._choose_interval_s()
        self._timer = get_running_loop().call_later(interval_s, self._handle_timer)

    def _choose_interval_s(self) -> float:
        instances = self.share.grant.instances
        return max(MIN_ASK_INTERVAL_S, instances * ASK_INTERVAL_S_PER_INSTANCE)

    def _handle_timer(self) -> None:
        self._timer = None
        if self.share.list_waiting():
            self.ask()
            self._ask_again()


def _ignore() -> None:
    pass
