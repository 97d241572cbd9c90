"""Addresses of a few instances that know a later coordinator."""

from collections.abc import Iterable, Mapping
from typing import Any

from plantaincart_core.directory import UpstreamRecord
from plantaincart_schema.generated.direct import CoordinatorNotice

from plantaincart_router.direct.membership import Member, Membership
from plantaincart_router.direct.sharedfact import FactTerm, NoticeScope, SharedFact

__all__ = ["PeerFact"]

# Notices between two that name peers. Early ones name them too; at the first one the
# coordinator may not have heard of many members yet.
NOTICES_BETWEEN = 16
EARLY_NOTICES = (1, 5)


class PeerFact(SharedFact):
    """
    Remembers instances that can be asked for the coordinator.

    Attributes
    ----------
    addresses : tuple of str
        Host and port at which they accept reports, as they were named last.
    """

    needs_map = False

    def __init__(self) -> None:
        self.addresses: tuple[str, ...] = ()

    def describe(self, now: float, is_newly_connected: bool) -> Mapping[str, Any]:
        """Report nothing, since each report holds the address anyway."""
        return {}

    def apply(self, notice: CoordinatorNotice, now: float) -> None:
        """Adopt the peers that a notice names, if any."""
        if notice.peers:
            self.addresses = tuple(notice.peers)

    def forget_upstream(self, record: UpstreamRecord, now: float) -> None:
        """Keep everything, since nothing concerns a single upstream."""

    def open_term(self, members: Membership) -> FactTerm:
        """Return the coordinator's side, which chooses peers among the members."""
        return _PeerTerm(members)


class _PeerTerm(FactTerm):
    def __init__(self, members: Membership) -> None:
        self._members = members

    def record_report(self, member: Member, now: float) -> bool:
        return False

    def describe(self, scope: NoticeScope) -> Mapping[str, Any]:
        notices = scope.member.notices
        is_due = notices % NOTICES_BETWEEN == 0 or notices in EARLY_NOTICES
        if not scope.answers_report or not is_due:
            return {}
        return {"peers": self._members.choose_peers(scope.member.report.member)}

    def retain(self, members: Iterable[str]) -> None:
        """Keep everything, since peers are chosen among the present members."""
