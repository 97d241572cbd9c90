"""Loads and slowness of the upstreams, summed over all instances."""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any

from plantaincart_core.countsum import replace_counts
from plantaincart_core.directory import UpstreamDirectory, UpstreamRecord
from plantaincart_core.loadcodec import pack_loads, unpack_loads
from plantaincart_core.upstreamload import UpstreamLoads
from plantaincart_schema.generated.direct import CoordinatorNotice

from plantaincart_router.direct.membership import Member, Membership
from plantaincart_router.direct.sharedfact import FactTerm, NoticeScope, SharedFact
from plantaincart_router.direct.slowness import SlownessTracker

__all__ = ["LoadFact"]

# Up to this many members, every notice that answers a report contains the upstreams'
# loads; up to twice as many, every second one does, and so on. Every fourth notice with
# loads also contains the upstreams' slowness.
MEMBERS_PER_LOADS = 100
SLOWNESS_EVERY = 4
# Seconds per member for which the encoded loads are reused: 0.1 s with 100 members, so
# that they are encoded ten times a second.
LOADS_CACHE_S_PER_MEMBER = 0.001
# Seconds for which the compared slowness is reused.
SLOWNESS_CACHE_S = 0.5


class LoadFact(SharedFact):
    """
    Shares an instance's requests in progress, and how slow upstreams answer it.

    Parameters
    ----------
    loads : UpstreamLoads
        Loads that this instance knows.
    directory : UpstreamDirectory
        Announced upstreams.
    """

    def __init__(self, loads: UpstreamLoads, directory: UpstreamDirectory) -> None:
        self._loads = loads
        self._directory = directory

    def describe(self, now: float, is_newly_connected: bool) -> Mapping[str, Any]:
        """Report this instance's requests in progress, and the measured slowness."""
        return {
            "in_flight": self._loads.list_in_flight(),
            "slowness": self._loads.drain_slowness(),
        }

    def apply(self, notice: CoordinatorNotice, now: float) -> None:
        """Adopt the sums over all instances."""
        if notice.loads is not None:
            slots = {record.id: record.slots for record in self._directory}
            for upstream, total in unpack_loads(notice.loads, slots).items():
                self._loads.record_in_flight(upstream, total, slots[upstream], now)
        for upstream, slowness in notice.slowness.items():
            self._loads.get(upstream).slowness = slowness

    def open_term(self, members: Membership) -> FactTerm:
        """Return the coordinator's side, which starts without loads."""
        return _LoadTerm(members, self._directory)

    def forget_upstream(self, record: UpstreamRecord, now: float) -> None:
        """Remove the load of an upstream without a later process."""
        if self._directory.get(record.id) is None:
            self._loads.remove(record.id)


class _LoadTerm(FactTerm):
    def __init__(self, members: Membership, directory: UpstreamDirectory) -> None:
        self._members = members
        self._directory = directory
        self._in_flight: Counter[str] = Counter()
        self._reported: dict[str, Mapping[str, int]] = {}
        self._packed_loads = b""
        self._loads_packed_at = float("-inf")
        self._tracker = SlownessTracker()
        self._slowness: dict[str, float] = {}
        self._slowness_compared_at = float("-inf")

    def record_report(self, member: Member, now: float) -> bool:
        report = member.report
        earlier = self._reported.get(report.member, {})
        replace_counts(self._in_flight, earlier, report.in_flight)
        self._reported[report.member] = report.in_flight
        self._tracker.record(report.slowness)
        return False

    def retain(self, members: Iterable[str]) -> None:
        for name in self._reported.keys() - set(members):
            self._in_flight.subtract(self._reported.pop(name))

    def describe(self, scope: NoticeScope) -> Mapping[str, Any]:
        interval = -(-len(self._members) // MEMBERS_PER_LOADS)
        notices = scope.member.notices
        if not scope.answers_report or notices % interval != 0:
            return {}
        fields: dict[str, Any] = {"loads": self._pack_loads(scope.now)}
        if notices % (SLOWNESS_EVERY * interval) == 0:
            fields["slowness"] = self._compare_slowness(scope.now)
        return fields

    def _pack_loads(self, now: float) -> bytes:
        if now - self._loads_packed_at > LOADS_CACHE_S_PER_MEMBER * len(self._members):
            self._in_flight = +self._in_flight
            self._packed_loads = pack_loads(self._in_flight)
            self._loads_packed_at = now
        return self._packed_loads

    def _compare_slowness(self, now: float) -> dict[str, float]:
        if now - self._slowness_compared_at > SLOWNESS_CACHE_S:
            services = {record.id: record.service for record in self._directory}
            self._slowness = self._tracker.compare(services)
            self._slowness_compared_at = now
        return self._slowness
