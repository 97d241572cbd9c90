"""Limits that upstreams name, shared and divided among all instances."""

from collections.abc import Iterable, Mapping
from typing import Any

from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.permit import PermitIssuer
from plantaincart_schema.generated.direct import CoordinatorNotice, Quota

from plantaincart_router.direct.membership import Member, Membership
from plantaincart_router.direct.quota import ENDED_MEMORY_S, UpstreamQuotas
from plantaincart_router.direct.sharedfact import FactTerm, NoticeScope, SharedFact

__all__ = ["LimitFact"]


class LimitFact(SharedFact):
    """
    Shares the limits that upstreams have named to an instance.

    Parameters
    ----------
    quotas : UpstreamQuotas
        Limits and permits of this instance.
    """

    def __init__(self, quotas: UpstreamQuotas) -> None:
        self._quotas = quotas

    def describe(self, now: float, is_newly_connected: bool) -> Mapping[str, Any]:
        """Report the limits, and the requests that wait for permits."""
        return {"limits": self._quotas.list_reports(now)}

    def apply(self, notice: CoordinatorNotice, now: float) -> None:
        """Adopt the limits and permits of a notice."""
        self._quotas.apply(notice.quotas, now)

    def open_term(self, members: Membership) -> FactTerm:
        """Return the coordinator's side, which adds limits to this instance's."""
        return LimitDivision(self._quotas)

    def forget_upstream(self, record: UpstreamRecord, now: float) -> None:
        """Remove the limit of a process that has ended."""
        self._quotas.remove(record)


class LimitDivision(FactTerm):
    """
    Divides limits among the members for one term of the coordinator.

    Parameters
    ----------
    quotas : UpstreamQuotas
        Limits that this instance knows; those of the members are added.
    """

    def __init__(self, quotas: UpstreamQuotas) -> None:
        self._quotas = quotas
        self._issuer = PermitIssuer()

    def record_report(self, member: Member, now: float) -> bool:
        """Record what a member has heard of limits, and its waiting requests."""
        report = member.report
        has_changed = self._quotas.merge(report.limits, now)
        if len(self._quotas.limits):
            self._update_limits(now)
            waiting = {
                (limit.upstream, limit.born): limit.waiting for limit in report.limits
            }
            self._issuer.set_waiting(report.member, waiting)
        return has_changed

    def retain(self, members: Iterable[str]) -> None:
        """Forget the requests that wait at instances that aren't members any more."""
        self._issuer.retain(members)

    def describe(self, scope: NoticeScope) -> Mapping[str, Any]:
        """Issue permits, with all limits in force and those that ended lately."""
        if scope.resigned or not len(self._quotas.limits):
            return {}
        now = scope.now
        self._update_limits(now)
        statements = self._quotas.limits.list_statements(now - ENDED_MEMORY_S)
        quotas = [
            Quota(
                upstream=process[0],
                born=process[1],
                per_s=statement.per_s,
                age_s=round(max(0.0, now - statement.heard_at), 3),
                permits=self._issuer.issue(scope.member.report.member, process, now),
                wait_s=round(self._issuer.estimate_wait_s(process, now), 3),
            )
            for process, statement in statements.items()
        ]
        return {"quotas": quotas}

    def _update_limits(self, now: float) -> None:
        limits = self._quotas.limits
        in_force = {
            process: limits.find(process) for process in limits.list_statements(now)
        }
        self._issuer.set_limits(
            {process: per_s for process, per_s in in_force.items() if per_s}, now
        )
