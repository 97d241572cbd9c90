"""Facts that all instances share through the coordinator."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from plantaincart_core.directory import UpstreamRecord
from plantaincart_schema.generated.direct import CoordinatorNotice

from plantaincart_router.direct.membership import Member, Membership

__all__ = ["FactTerm", "NoticeScope", "SharedFact"]


@dataclass(frozen=True, kw_only=True, slots=True)
class NoticeScope:
    """
    What a notice is written for.

    Parameters
    ----------
    member : Member
        Receiver of the notice.
    now : float
        Present time in seconds.
    answers_report : bool
        Whether the notice answers a report; otherwise it announces a change.
    resigned : bool
        Whether the notice ends the term.
    """

    member: Member
    now: float
    answers_report: bool
    resigned: bool


class FactTerm(ABC):
    """
    What the coordinator knows of a shared fact, for one term.

    Notes
    -----
    A new coordinator starts without any of it. The members report what they know for
    some seconds after they have found it.
    """

    @abstractmethod
    def record_report(self, member: Member, now: float) -> bool:
        """
        Merge the latest report of a member.

        Parameters
        ----------
        member : Member
            The member, with its latest report.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether all members should be told at once.
        """

    @abstractmethod
    def describe(self, scope: NoticeScope) -> Mapping[str, Any]:
        """
        Return fields of a notice.

        Parameters
        ----------
        scope : NoticeScope
            Receiver and occasion of the notice.

        Returns
        -------
        mapping of str to object
            Values of `CoordinatorNotice` by field; a missing field has its default.
        """

    @abstractmethod
    def retain(self, members: Iterable[str]) -> None:
        """
        Forget what instances have reported that aren't members any more.

        Parameters
        ----------
        members : iterable of str
            Names of the members.
        """


class SharedFact(ABC):
    """
    What one instance knows of a fact that all instances share.

    Attributes
    ----------
    needs_map : bool
        Whether the fact is taken from a notice only if the notice's map of owners can
        be used, so that the fact and the map are of one epoch.

    Notes
    -----
    Each instance reports its part to the coordinator, which merges the reports and
    tells the result with its notices. While the coordinator is silent, the instance
    decides by what it was told last and by what it has seen itself; how long that
    holds is the fact's own matter. Fields that an earlier build doesn't know are
    ignored there, and have defaults here.
    """

    needs_map = True

    @abstractmethod
    def describe(self, now: float, is_newly_connected: bool) -> Mapping[str, Any]:
        """
        Return fields of a report.

        Parameters
        ----------
        now : float
            Present time in seconds.
        is_newly_connected : bool
            Whether the coordinator may lack what earlier ones were told.

        Returns
        -------
        mapping of str to object
            Values of `MemberReport` by field; a missing field has its default.
        """

    @abstractmethod
    def apply(self, notice: CoordinatorNotice, now: float) -> None:
        """
        Adopt what a notice says.

        Parameters
        ----------
        notice : CoordinatorNotice
            Checked notice of the latest known epoch.
        now : float
            Present time in seconds.
        """

    @abstractmethod
    def open_term(self, members: Membership) -> FactTerm:
        """
        Return the coordinator's side of the fact for a new term.

        Parameters
        ----------
        members : Membership
            Live instances in that term.
        """

    @abstractmethod
    def forget_upstream(self, record: UpstreamRecord, now: float) -> None:
        """
        Remove what concerns one process of an upstream.

        Parameters
        ----------
        record : UpstreamRecord
            Process that has ended.
        now : float
            Present time in seconds.
        """
