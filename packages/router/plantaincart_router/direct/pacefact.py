"""Pace of upstreams that have just started or fail, kept by all instances together."""

from collections.abc import Iterable, Mapping
from typing import Any

from plantaincart_core.directory import UpstreamDirectory, UpstreamRecord
from plantaincart_core.factorcodec import pack_factors, unpack_factors
from plantaincart_core.pace import FleetPace, PaceSettings
from plantaincart_core.pacetable import PaceTable
from plantaincart_core.upstreamload import UpstreamLoads
from plantaincart_schema.generated.direct import CoordinatorNotice

from plantaincart_router.direct.membership import Member, Membership
from plantaincart_router.direct.sharedfact import FactTerm, NoticeScope, SharedFact
from plantaincart_router.log import write_event

__all__ = ["PaceFact"]

# Seconds for which the encoded limits are reused.
CACHE_S = 0.1
# Seconds for which notices say that nothing is paced any more.
ENDED_MEMORY_S = 5.0


class PaceFact(SharedFact):
    """
    Shares the outcomes of an instance's requests, and the limits found from them.

    Parameters
    ----------
    paces : PaceTable
        Limits and outcomes of this instance.
    settings : PaceSettings
        How limits follow the answers.
    directory : UpstreamDirectory
        Announced upstreams.
    loads : UpstreamLoads
        Requests at the upstreams.
    """

    def __init__(
        self,
        paces: PaceTable,
        settings: PaceSettings,
        directory: UpstreamDirectory,
        loads: UpstreamLoads,
    ) -> None:
        self._paces = paces
        self._settings = settings
        self._directory = directory
        self._loads = loads

    def describe(self, now: float, is_newly_connected: bool) -> Mapping[str, Any]:
        """Report the good and bad answers since the last report."""
        return {"outcomes": self._paces.drain_outcomes()}

    def apply(self, notice: CoordinatorNotice, now: float) -> None:
        """Adopt the limits of a notice."""
        if notice.paces is None:
            self._paces.record_word(now)
            return
        names = [record.id for record in self._directory]
        self._paces.apply(unpack_factors(notice.paces, names), now)

    def open_term(self, members: Membership) -> FactTerm:
        """Return the coordinator's side, which goes on with the limits known here."""
        return PaceTerm(self._paces, self._settings, self._directory, self._loads)

    def forget_upstream(self, record: UpstreamRecord, now: float) -> None:
        """Remove the limit of a process that has ended."""
        self._paces.remove(record.id)


class PaceTerm(FactTerm):
    """
    Finds the limits for one term of the coordinator.

    Parameters
    ----------
    paces : PaceTable
        Limits that an earlier coordinator has told.
    settings : PaceSettings
        How limits follow the answers.
    directory : UpstreamDirectory
        Announced upstreams.
    loads : UpstreamLoads
        Requests at the upstreams.
    """

    def __init__(
        self,
        paces: PaceTable,
        settings: PaceSettings,
        directory: UpstreamDirectory,
        loads: UpstreamLoads,
    ) -> None:
        self._paces = paces
        self._loads = loads
        self._directory = directory
        self._fleet = FleetPace(settings)
        self._limited: set[str] = set()
        self._cold: dict[str, int] = {}
        self._packed = b""
        self._packed_at = float("-inf")
        self._paced_at = float("-inf")
        self._has_adopted = False

    def record_report(self, member: Member, now: float) -> bool:
        """Add the outcomes of a member's requests."""
        for upstream, (good, bad) in member.report.outcomes.items():
            if self._directory.get(upstream) is not None:
                self._fleet.record(upstream, good, bad, now)
        return False

    def retain(self, members: Iterable[str]) -> None:
        """Keep the outcomes of members that have left: they concern the upstreams."""

    def describe(self, scope: NoticeScope) -> Mapping[str, Any]:
        """Tell the limits, and for some seconds that there are none any more."""
        if not scope.answers_report:
            return {}
        now = scope.now
        if now - self._packed_at > CACHE_S:
            self._update(now)
        if now - self._paced_at > ENDED_MEMORY_S:
            return {}
        return {"paces": self._packed}

    def _update(self, now: float) -> None:
        if not self._has_adopted:
            self._has_adopted = True
            for upstream, limit in self._paces.list_limits().items():
                record = self._directory.get(upstream)
                if record is not None:
                    self._fleet.adopt(upstream, record.born, limit, now)
        self._start_cold(now)
        for upstream in self._fleet.find_triggered():
            triggered = self._directory.get(upstream)
            if triggered is not None:
                self._start(triggered, "failing", now)
        processes, busy = {}, set()
        for name in self._fleet.list_names():
            record = self._directory.get(name)
            if record is None:
                continue
            processes[name] = (record.born, record.slots)
            load = self._loads.get(name)
            if load.estimate_in_flight(now, self._loads.settings) >= 1.0:
                busy.add(name)
        limits = self._fleet.list_limits(processes, now, busy)
        for upstream in self._limited - limits.keys():
            write_event("pace_ended", upstream=upstream)
        self._limited = set(limits)
        if limits:
            self._paced_at = now
        self._packed = pack_factors(limits)
        self._packed_at = now

    def _start_cold(self, now: float) -> None:
        """Begin to pace the processes that have become cold since the last call."""
        cold = {}
        for record in self._directory:
            if record.warmup_left_s <= 0.0:
                continue
            if self._directory.remaining_warm_up_s(record.id, now) <= 0.0:
                continue
            cold[record.id] = record.born
            is_new = self._cold.get(record.id) != record.born
            if is_new and not self._fleet.is_paced(record.id, record.born):
                self._start(record, "cold", now)
        self._cold = cold

    def _start(self, record: UpstreamRecord, reason: str, now: float) -> None:
        write_event("pace_started", upstream=record.id, born=record.born, reason=reason)
        self._fleet.start(record.id, record.born, record.slots, now)
