"""Instances that relay the requests of others that are cut off from the upstreams."""

from collections.abc import Iterable, Mapping
from typing import Any

from plantaincart_core.directory import UpstreamRecord
from plantaincart_schema.generated.direct import CoordinatorNotice

from plantaincart_router.direct.membership import Member, Membership
from plantaincart_router.direct.sharedfact import FactTerm, NoticeScope, SharedFact

__all__ = ["RelayFact"]


class RelayFact(SharedFact):
    """
    Shares through which instances others can reach the upstreams.

    Attributes
    ----------
    is_cut_off : bool
        Whether this instance reaches no upstream.
    address : str
        Host and port at which this instance relays requests; empty if it doesn't.
    data_centre : str
        Data centre of this instance.
    relays : tuple of str
        Host and port of instances that relay this one's requests. The last ones that
        were named are remembered.
    """

    needs_map = False

    def __init__(self, data_centre: str) -> None:
        self.is_cut_off = False
        self.address = ""
        self.data_centre = data_centre
        self.relays: tuple[str, ...] = ()

    def describe(self, now: float, is_newly_connected: bool) -> Mapping[str, Any]:
        """Report whether this instance needs relays, and that it can be one."""
        return {
            "cut_off": self.is_cut_off,
            "relay_address": self.address,
            "data_centre": self.data_centre,
        }

    def apply(self, notice: CoordinatorNotice, now: float) -> None:
        """Adopt the relays that a notice names, if any."""
        if notice.relays:
            self.relays = tuple(notice.relays)

    def forget_upstream(self, record: UpstreamRecord, now: float) -> None:
        """Keep everything, since nothing concerns a single upstream."""

    def open_term(self, members: Membership) -> FactTerm:
        """Return the coordinator's side, which chooses relays among the members."""
        return _RelayTerm(members)


class _RelayTerm(FactTerm):
    def __init__(self, members: Membership) -> None:
        self._members = members

    def record_report(self, member: Member, now: float) -> bool:
        return False

    def describe(self, scope: NoticeScope) -> Mapping[str, Any]:
        report = scope.member.report
        if not report.cut_off:
            return {}
        return {"relays": self._members.choose_relays(report.member, scope.now)}

    def retain(self, members: Iterable[str]) -> None:
        """Keep everything, since relays are chosen among the present members."""
