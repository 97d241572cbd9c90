"""Speed of the upstreams, learnt by all instances together."""

from collections.abc import Iterable, Mapping
from typing import Any

from plantaincart_core.directory import UpstreamDirectory, UpstreamRecord
from plantaincart_core.factorcodec import pack_factors, unpack_factors
from plantaincart_core.upstreamspeed import (
    MIN_SHARED_SLOWDOWN,
    SpeedTracker,
    UpstreamSpeeds,
)
from plantaincart_schema.generated.direct import CoordinatorNotice

from plantaincart_router.direct.membership import Member, Membership
from plantaincart_router.direct.sharedfact import FactTerm, NoticeScope, SharedFact

__all__ = ["SpeedFact"]

# Every so many notices that answer a member's reports contain the lasting factors, and
# with each further hundred members fewer.
LASTING_EVERY = 4
MEMBERS_PER_NOTICE = 100
# Seconds for which the encoded factors are reused: slowdowns of 100 upstreams are
# encoded twenty times a second.
LASTING_CACHE_S = 0.5
SLOWDOWN_CACHE_S_PER_UPSTREAM = 0.0005
# Mean age in seconds of a statement when it is reported: half of the report interval.
REPORTED_AGE_S = 0.12


class SpeedFact(SharedFact):
    """
    Shares measured speeds, and the slowdowns that upstreams state.

    Parameters
    ----------
    speeds : UpstreamSpeeds
        Speeds that this instance knows.
    directory : UpstreamDirectory
        Announced upstreams.

    Notes
    -----
    Nothing is shared until an upstream has stated a slowdown: where none does, the
    slowness of `LoadFact` counts alone.
    """

    def __init__(self, speeds: UpstreamSpeeds, directory: UpstreamDirectory) -> None:
        self._speeds = speeds
        self._directory = directory

    def describe(self, now: float, is_newly_connected: bool) -> Mapping[str, Any]:
        """Report what was measured and stated since the last report."""
        ratios, slowdowns = self._speeds.drain_ratios(), self._speeds.drain_slowdowns()
        if not self._speeds.is_stated:
            return {}
        return {"work_ratios": ratios, "slowdowns": slowdowns}

    def apply(self, notice: CoordinatorNotice, now: float) -> None:
        """Adopt the factors of a notice."""
        names = [record.id for record in self._directory]
        if notice.work_factors is not None:
            self._speeds.set_lasting(unpack_factors(notice.work_factors, names))
        if notice.slowdowns is not None:
            slowdowns = unpack_factors(notice.slowdowns, names)
            self._speeds.set_slowdowns(slowdowns, now)

    def open_term(self, members: Membership) -> FactTerm:
        """Return the coordinator's side, which starts with what was told before."""
        return _SpeedTerm(members, self._directory, self._speeds)

    def forget_upstream(self, record: UpstreamRecord, now: float) -> None:
        """Remove the speed of a process that has ended."""
        self._speeds.remove(record.id)


class _SpeedTerm(FactTerm):
    def __init__(
        self,
        members: Membership,
        directory: UpstreamDirectory,
        speeds: UpstreamSpeeds,
    ) -> None:
        self._members = members
        self._directory = directory
        self._tracker = SpeedTracker(speeds.list_lasting())
        self._born: dict[str, int] = {}
        self._merged = UpstreamSpeeds()
        self._packed_lasting = b""
        self._lasting_packed_at = float("-inf")
        self._packed_slowdowns = b""
        self._slowdowns_packed_at = float("-inf")

    def record_report(self, member: Member, now: float) -> bool:
        report = member.report
        self._tracker.record(report.work_ratios)
        for upstream, slowdown in report.slowdowns.items():
            record = self._directory.get(upstream)
            if record is not None:
                stated_at = now - REPORTED_AGE_S
                self._merged.record_statement(
                    upstream, record.service, slowdown, stated_at
                )
        return False

    def retain(self, members: Iterable[str]) -> None:
        """Keep what members measured that have left: it concerns the upstreams."""

    def describe(self, scope: NoticeScope) -> Mapping[str, Any]:
        interval = -(-len(self._members) // MEMBERS_PER_NOTICE)
        notices = scope.member.notices
        if not self._merged.is_stated or not scope.answers_report:
            return {}
        if notices % interval != 0:
            return {}
        fields: dict[str, Any] = {"slowdowns": self._pack_slowdowns(scope.now)}
        if notices % (LASTING_EVERY * interval) == 0:
            fields["work_factors"] = self._pack_lasting(scope.now)
        return fields

    def _pack_slowdowns(self, now: float) -> bytes:
        cache_s = SLOWDOWN_CACHE_S_PER_UPSTREAM * len(self._directory)
        if now - self._slowdowns_packed_at > cache_s:
            slowdowns = {}
            for record in self._directory:
                expected = self._merged.find_slowdown(record.id, record.service, now)
                usual = self._merged.find_mean_slowdown(record.service)
                if expected > MIN_SHARED_SLOWDOWN * usual:
                    slowdowns[record.id] = expected
            self._packed_slowdowns = pack_factors(slowdowns)
            self._slowdowns_packed_at = now
        return self._packed_slowdowns

    def _pack_lasting(self, now: float) -> bytes:
        if now - self._lasting_packed_at > LASTING_CACHE_S:
            services: dict[str, str] = {}
            for record in self._directory:
                services[record.id] = record.service
                if self._born.get(record.id, record.born) != record.born:
                    self._tracker.remove(record.id)
                    self._merged.remove(record.id)
                self._born[record.id] = record.born
            for name in self._born.keys() - services.keys():
                del self._born[name]
                self._merged.remove(name)
            self._packed_lasting = pack_factors(self._tracker.compare(services))
            self._lasting_packed_at = now
        return self._packed_lasting
