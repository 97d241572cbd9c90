"""Services whose upstreams fall silent, as all instances have seen it."""

from collections.abc import Iterable, Mapping
from typing import Any

from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.silence import ServiceSilence, SilenceSettings
from plantaincart_schema.generated.direct import CoordinatorNotice

from plantaincart_router.direct.membership import Member, Membership
from plantaincart_router.direct.sharedfact import FactTerm, NoticeScope, SharedFact

__all__ = ["SilenceFact"]

# Silences seen by one instance below which it reports nothing: one, half forgotten.
LEAST_REPORTED = 0.5
# Silences that all instances must have seen together, for each of them. What few of
# many instances saw may be a rare mistake of theirs.
LEAST_MEMBER_SHARE = 0.02


class SilenceFact(SharedFact):
    """
    Shares for which services an instance has seen that upstreams fall silent.

    Parameters
    ----------
    settings : SilenceSettings
        When an attempt counts as silent.

    Notes
    -----
    An instance sends few requests to each upstream, so that it would take long until
    each had seen enough by itself. What the coordinator said is forgotten some seconds
    after its last notice; what the instance has seen itself isn't.
    """

    needs_map = False

    def __init__(self, settings: SilenceSettings) -> None:
        self._settings = settings
        self._services: dict[str, ServiceSilence] = {}

    def find(self, service: str) -> ServiceSilence:
        """Return what is known of a service, adding it if it is missing."""
        silence = self._services.get(service)
        if silence is None:
            silence = self._services[service] = ServiceSilence(self._settings)
        return silence

    def describe(self, now: float, is_newly_connected: bool) -> Mapping[str, Any]:
        """Report the silences that this instance has seen."""
        counts = {
            service: round(silence.count_shown(now), 2)
            for service, silence in self._services.items()
        }
        return {
            "silences": {
                service: count
                for service, count in counts.items()
                if count >= LEAST_REPORTED
            }
        }

    def apply(self, notice: CoordinatorNotice, now: float) -> None:
        """Adopt for which services silence was seen."""
        for service in notice.silent_services:
            self.find(service).record_told(now)

    def open_term(self, members: Membership) -> FactTerm:
        """Return the coordinator's side, which sums what members report."""
        return _SilenceTerm(members, self._settings)

    def forget_upstream(self, record: UpstreamRecord, now: float) -> None:
        """Drop what is suspected of a process."""
        self.find(record.service).forget_process(f"{record.id}/{record.born}")


class _SilenceTerm(FactTerm):
    def __init__(self, members: Membership, settings: SilenceSettings) -> None:
        self._members = members
        self._settings = settings
        self._reported: dict[str, Mapping[str, float]] = {}

    def record_report(self, member: Member, now: float) -> bool:
        report = member.report
        if report.silences:
            self._reported[report.member] = report.silences
        else:
            self._reported.pop(report.member, None)
        return False

    def describe(self, scope: NoticeScope) -> Mapping[str, Any]:
        if not self._reported:
            return {}
        least = max(self._settings.least_shown, LEAST_MEMBER_SHARE * len(self._members))
        counts: dict[str, float] = {}
        for silences in self._reported.values():
            for service, count in silences.items():
                counts[service] = counts.get(service, 0.0) + count
        shown = sorted(name for name, count in counts.items() if count >= least)
        return {"silent_services": shown}

    def retain(self, members: Iterable[str]) -> None:
        for name in self._reported.keys() - set(members):
            del self._reported[name]
