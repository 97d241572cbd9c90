"""Requests that crash upstreams, shared by all instances."""

from collections.abc import Iterable, Mapping
from typing import Any

from plantaincart_core.directory import UpstreamRecord
from plantaincart_schema.generated.direct import CoordinatorNotice

from plantaincart_router.direct.crashledger import CrashLedger
from plantaincart_router.direct.membership import INTRODUCTION_S, Member, Membership
from plantaincart_router.direct.sharedfact import FactTerm, NoticeScope, SharedFact

__all__ = ["CrashFact"]


class CrashFact(SharedFact):
    """
    Shares an instance's records of crashes.

    Parameters
    ----------
    ledger : CrashLedger
        Records of this instance.
    """

    needs_map = False

    def __init__(self, ledger: CrashLedger) -> None:
        self._ledger = ledger

    def describe(self, now: float, is_newly_connected: bool) -> Mapping[str, Any]:
        """Report the records that the coordinator may lack."""
        return {"crashes": self._ledger.list_reported(now, is_newly_connected)}

    def apply(self, notice: CoordinatorNotice, now: float) -> None:
        """Add the records of a notice."""
        self._ledger.merge(notice.crashes, now)

    def open_term(self, members: Membership) -> FactTerm:
        """Return the coordinator's side, which uses this instance's records."""
        return _CrashTerm(self._ledger)

    def forget_upstream(self, record: UpstreamRecord, now: float) -> None:
        """Record the crashes that the end of a process has caused."""
        self._ledger.record_gone(record, now)


class _CrashTerm(FactTerm):
    def __init__(self, ledger: CrashLedger) -> None:
        self._ledger = ledger

    def record_report(self, member: Member, now: float) -> bool:
        return self._ledger.merge(member.report.crashes, now)

    def describe(self, scope: NoticeScope) -> Mapping[str, Any]:
        is_new = scope.now - scope.member.joined_at < INTRODUCTION_S
        return {"crashes": self._ledger.list_told(scope.now, is_new)}

    def retain(self, members: Iterable[str]) -> None:
        """Keep all records, whoever reported them."""
