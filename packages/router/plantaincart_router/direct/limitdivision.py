"""Division of the limits that upstreams name, by the coordinator."""

from collections.abc import Iterable

from plantaincart_core.permit import PermitIssuer
from plantaincart_schema.generated.direct import MemberReport, Quota

from plantaincart_router.direct.quota import ENDED_MEMORY_S, UpstreamQuotas

__all__ = ["LimitDivision"]


class LimitDivision:
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

    def record_report(self, report: MemberReport, now: float) -> bool:
        """
        Record what a member has heard of limits, and how many requests wait there.

        Parameters
        ----------
        report : MemberReport
            Report of the member.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether a limit in force has changed.
        """
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

    def describe(self, member: str, now: float) -> list[Quota]:
        """
        Issue permits to a member.

        Parameters
        ----------
        member : str
            Name of the member.
        now : float
            Present time in seconds.

        Returns
        -------
        list of Quota
            All limits in force, and those that have ended lately.
        """
        if not len(self._quotas.limits):
            return []
        self._update_limits(now)
        statements = self._quotas.limits.list_statements(now - ENDED_MEMORY_S)
        return [
            Quota(
                upstream=process[0],
                born=process[1],
                per_s=statement.per_s,
                age_s=round(max(0.0, now - statement.heard_at), 3),
                permits=self._issuer.issue(member, process, now),
                wait_s=round(self._issuer.estimate_wait_s(process, now), 3),
            )
            for process, statement in statements.items()
        ]

    def _update_limits(self, now: float) -> None:
        limits = self._quotas.limits
        in_force = {
            process: limits.find(process) for process in limits.list_statements(now)
        }
        self._issuer.set_limits(
            {process: per_s for process, per_s in in_force.items() if per_s}, now
        )
