"""Quotas of client accounts, divided among all instances."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from plantaincart_core.account import AccountIndex
from plantaincart_core.accountquota import (
    AccountDemand,
    AccountQuotas,
    AccountShare,
    QuotaBounds,
)
from plantaincart_core.accountshare import AccountIssuer
from plantaincart_core.directory import UpstreamRecord
from plantaincart_schema.generated.direct import (
    AccountQuota,
    AccountReport,
    CoordinatorNotice,
)

from plantaincart_router.direct.clock import read_boot_time
from plantaincart_router.direct.membership import Member, Membership
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.sharedfact import FactTerm, NoticeScope, SharedFact
from plantaincart_router.log import write_event

__all__ = ["AccountFact"]

# Minimum time in seconds between two log lines on the division of the quotas.
LOG_INTERVAL_S = 5.0
# Fraction of the interval between reports after which a request that waits causes one.
ASK_SHARE = 0.4
# Greatest number of accounts in such a line; those with the fewest tokens left.
MAX_LOGGED = 8


class AccountFact(SharedFact):
    """
    Reports demand by account, and adopts the tokens that the coordinator issues.

    Parameters
    ----------
    settings : DirectSettings
        Bounds of the quotas, and intervals of the reports.

    Attributes
    ----------
    accounts : AccountIndex
        Accounts of the configuration in force; without any that has a quota, nothing is
        reported and divided.
    quotas : AccountQuotas
        Tokens of this instance.
    on_change : callable
        Called when an answer of the coordinator has been adopted.
    ask_after_s : float
        Seconds since the last report after which a request that waits for a token may
        cause one.
    reported_at : float
        Time of the last report in seconds.

    Notes
    -----
    Times are those of `read_boot_time`, so that tokens lapse while the machine is
    suspended.
    """

    needs_map = False

    def __init__(self, settings: DirectSettings) -> None:
        bounds = settings.bounds
        self.bounds = QuotaBounds(
            window_s=bounds.quota_window_s,
            overage=bounds.quota_overage,
            extra=bounds.quota_extra,
        )
        self.accounts = AccountIndex()
        self.quotas = AccountQuotas(self.bounds, settings.coordination.report_s)
        self.ask_after_s = settings.coordination.report_s * ASK_SHARE
        self.on_change: Callable[[], None] = _ignore
        self._heard_at = 0.0
        self._late_logged_at = float("-inf")
        self.reported_at = 0.0

    @property
    def is_answered(self) -> bool:
        """Whether the last report is answered, so that the coordinator keeps up."""
        return self._heard_at >= self.reported_at

    def describe(self, now: float, is_newly_connected: bool) -> Mapping[str, Any]:
        """Report the demand by account."""
        if not self.accounts.has_limits:
            return {}
        sent_at = self.reported_at = read_boot_time()
        demands = [
            AccountReport(
                account=demand.account,
                wanted=demand.wanted,
                waiting=demand.waiting,
                held=demand.held,
                returned=demand.returned,
            )
            for demand in self.quotas.list_demands(sent_at)
        ]
        return {
            "accounts": demands,
            "accounts_at": sent_at,
            "accounts_heard": self._heard_at,
            "accounts_pooled": self.quotas.pool_share(sent_at),
            "accounts_own_until": self.quotas.own_until,
        }

    def apply(self, notice: CoordinatorNotice, now: float) -> None:
        """Adopt the tokens of a notice that answers a report."""
        # An earlier build names no time; a later time is that of another process.
        received_at = read_boot_time()
        if not 0.0 < notice.accounts_at <= received_at:
            return
        if self.quotas.is_late(notice.accounts_at, received_at):
            self.quotas.record_late(notice.accounts_at)
            self._log_late(received_at - notice.accounts_at, received_at)
            return
        self._heard_at = max(self._heard_at, notice.accounts_at)
        shares = [
            AccountShare(
                account=share.account,
                tokens=share.tokens,
                level=share.level,
                wait_s=share.wait_s,
                scarce=share.scarce,
            )
            for share in notice.accounts
        ]
        self.quotas.apply(shares, notice.accounts_at, notice.accounts_led)
        self.on_change()

    def _log_late(self, age_s: float, now: float) -> None:
        if now - self._late_logged_at >= LOG_INTERVAL_S:
            self._late_logged_at = now
            write_event("quota_answer_late", age_s=round(age_s, 2))

    def open_term(self, members: Membership) -> FactTerm:
        """Return the coordinator's side, which begins without tokens."""
        return _AccountTerm(self)

    def forget_upstream(self, record: UpstreamRecord, now: float) -> None:
        """Do nothing: quotas don't depend on upstreams."""


class _AccountTerm(FactTerm):
    def __init__(self, fact: AccountFact) -> None:
        self._fact = fact
        quotas = fact.quotas
        self._issuer = AccountIssuer(
            fact.bounds,
            quotas.lease_s,
            quotas.alone_s,
            quotas.lease_s + quotas.alone_s,
            quotas.members,
            read_boot_time(),
        )
        self._logged_at = 0.0

    def record_report(self, member: Member, now: float) -> bool:
        report = member.report
        if not self._fact.accounts.has_limits:
            return False
        if report.leaving:
            self._issuer.remove(report.member)
        else:
            self._issuer.record_contact(
                report.member,
                report.accounts_heard,
                read_boot_time(),
                report.accounts_pooled,
                report.accounts_own_until,
            )
        return False

    def retain(self, members: Iterable[str]) -> None:
        # Instances that were lost may go on with their own shares.
        pass

    def describe(self, scope: NoticeScope) -> Mapping[str, Any]:
        if not self._fact.accounts.has_limits or scope.resigned:
            return {}
        report = scope.member.report
        if not scope.answers_report or not report.accounts_at:
            return {}
        now = read_boot_time()
        issuer = self._issuer
        issuer.accounts = self._fact.accounts
        demands = [
            AccountDemand(
                account=item.account,
                wanted=item.wanted,
                waiting=item.waiting,
                held=item.held,
                returned=item.returned,
            )
            for item in report.accounts
        ]
        shares = issuer.answer(
            report.member, demands, report.accounts_heard, report.accounts_at, now
        )
        self._log(now)
        return {
            "accounts": [
                AccountQuota(
                    account=share.account,
                    tokens=share.tokens,
                    level=round(share.level, 3),
                    wait_s=share.wait_s,
                    scarce=share.scarce,
                )
                for share in shares
            ],
            "accounts_at": report.accounts_at,
            "accounts_led": not issuer.is_young(now),
        }

    def _log(self, now: float) -> None:
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        state = self._issuer.describe(now)
        lowest = sorted(state.items(), key=lambda item: item[1]["tokens"])
        if lowest:
            write_event(
                "quotas_divided",
                present=round(self._issuer.find_present(now), 3),
                young=self._issuer.is_young(now),
                accounts=len(state),
                lowest=dict(lowest[:MAX_LOGGED]),
            )


def _ignore() -> None:
    pass
