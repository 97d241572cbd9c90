"""The live instances by their reports to the coordinator."""

from collections import Counter
from time import monotonic

from plantaincart_schema.generated.direct import MemberReport

from plantaincart_router.direct.settings import CoordinationSettings
from plantaincart_router.log import write_event

__all__ = ["INTRODUCTION_S", "Member", "Membership"]

# Maximum number of relays that an instance is told. From the second number of relays in
# its own data centre on, it is told no others.
MAX_RELAYS = 4
MIN_LOCAL_RELAYS = 2
# Number of other instances that an instance is told, to ask them for the coordinator.
MAX_PEERS = 6
# Seconds for which a new member and a new coordinator tell each other all that the
# other may have missed.
INTRODUCTION_S = 5.0
# Seconds after which a change is sent again if the member hasn't confirmed it.
RESEND_S = 0.6


class Member:
    """
    The last report of a live instance, and the versions that were sent to it.

    Parameters
    ----------
    report : MemberReport
        First report of the instance.
    now : float
        Present time in seconds.

    Attributes
    ----------
    last_report_at : float
        Time of the last report.
    joined_at : float
        Time of the first report.
    notices : int
        Number of notices that answered its reports.
    has_current_silence : bool
        Whether `report.store_silent_s` is known to be current.
    """

    def __init__(self, report: MemberReport, now: float) -> None:
        self.report = report
        self.last_report_at = self.joined_at = now
        self.notices = 0
        self.has_current_silence = True
        self._map_sent = -1
        self._map_sent_at = float("-inf")
        self._whole_map_at = float("-inf")
        self._tables_sent: dict[str, int] = {}
        self._tables_sent_at = float("-inf")

    def find_map_version(self, epoch: int) -> int:
        """
        Return the version of the map that the member has or was just sent.

        Parameters
        ----------
        epoch : int
            Epoch of the term; a version of another epoch is ignored.

        Returns
        -------
        int
            Version of the map; negative if the member has none.
        """
        reported = self.report.map_version if self.report.epoch == epoch else -1
        since = self._map_sent_at if reported >= 0 else self._whole_map_at
        if monotonic() - since < RESEND_S:
            return max(reported, self._map_sent)
        return reported

    def record_map_sent(self, version: int, whole: bool) -> None:
        """Record the version of the map that was sent to the member."""
        self._map_sent, self._map_sent_at = version, monotonic()
        if whole:
            self._whole_map_at = self._map_sent_at

    def find_table_version(self, table: str) -> int | None:
        """Return the version of a table that the member has or was just sent."""
        reported = self.report.tables.get(table)
        sent = self._tables_sent.get(table)
        if sent is not None and monotonic() - self._tables_sent_at < RESEND_S:
            return sent if reported is None else max(reported, sent)
        return reported

    def record_tables_sent(self, versions: dict[str, int]) -> None:
        """Record the versions up to which changes of the tables were sent."""
        if any(
            self.report.tables.get(name) != version
            for name, version in versions.items()
        ):
            self._tables_sent_at = monotonic()
        self._tables_sent = versions


class Membership:
    """
    Instances that have reported within the last `member_s` seconds.

    Parameters
    ----------
    times : CoordinationSettings
        Times of the coordinator.
    """

    def __init__(self, times: CoordinationSettings) -> None:
        self._times = times
        self._members: dict[str, Member] = {}
        self._ranks: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._members)

    def list_names(self) -> list[str]:
        """Return the members in the order of their ranks."""
        return list(self._ranks)

    def find_rank(self, name: str) -> int:
        """Return the rank of a member; 0 if the name isn't a member."""
        return self._ranks.get(name, 0)

    def get(self, name: str) -> Member | None:
        """Return a member, or None."""
        return self._members.get(name)

    def record_report(self, report: MemberReport, now: float) -> Member:
        """
        Record a report.

        Parameters
        ----------
        report : MemberReport
            Report of an instance.
        now : float
            Present time in seconds.

        Returns
        -------
        Member
            A new member if the instance has restarted or is draining.
        """
        member = self._members.get(report.member)
        if member is not None and (
            report.leaving or member.report.incarnation != report.incarnation
        ):
            self._remove(report.member)
            member = None
        if member is None:
            member = self._members[report.member] = Member(report, now)
            self._update_ranks()
        member.report, member.last_report_at = report, now
        member.has_current_silence = True
        member.notices += 1
        return member

    def remove_silent(self, now: float) -> None:
        """Remove instances that haven't reported for `member_s`."""
        for name, member in list(self._members.items()):
            if now - member.last_report_at > self._times.member_s:
                self._remove(name)
                write_event("member_lost", member=name)

    def list_store_silences(self, excluded: str) -> list[float]:
        """Return the seconds since the store answered each member, except one."""
        return [
            member.report.store_silent_s
            for name, member in self._members.items()
            if name != excluded and member.has_current_silence
        ]

    def list_incarnations(self) -> dict[str, str]:
        """Return the process of each member."""
        return {
            name: member.report.incarnation for name, member in self._members.items()
        }

    def discard_store_silences(self) -> None:
        """Ignore what was reported about the store until the next reports."""
        for member in self._members.values():
            member.has_current_silence = False

    def choose_relays(self, name: str, now: float) -> list[str]:
        """
        Choose instances that can relay the requests of one that is cut off.

        Parameters
        ----------
        name : str
            Name of the instance that is cut off.
        now : float
            Present time in seconds.

        Returns
        -------
        list of str
            Host and port of each relay, those in the same data centre if there are
            several. Instances with neighbouring ranks are told different ones.
        """
        names = self.list_names()
        rank = self.find_rank(name)
        members = [self._members[other] for other in names[rank:] + names[:rank]]
        able = [member.report for member in members if self._may_take_over(member, now)]
        able = [report for report in able if report.relay_address]
        own = self._members[name].report.data_centre
        local = [report for report in able if report.data_centre == own]
        remote = [report for report in able if report.data_centre != own]
        chosen = local if len(local) >= MIN_LOCAL_RELAYS else local + remote
        return [report.relay_address for report in chosen[:MAX_RELAYS]]

    def choose_peers(self, name: str) -> list[str]:
        """
        Choose instances that a member can ask for a later coordinator.

        Parameters
        ----------
        name : str
            Name of the member.

        Returns
        -------
        list of str
            Host and port of each, at even distances of the ranks, so that those of one
            data centre, which may be cut off together, aren't all of them.
        """
        names = self.list_names()
        rank = self.find_rank(name)
        others = [other for other in names[rank:] + names[:rank] if other != name]
        count = min(MAX_PEERS, len(others))
        chosen = [others[number * len(others) // count] for number in range(count)]
        return [self._members[other].report.address for other in chosen]

    def count_backoffs(self) -> Counter[str]:
        """Count the members that each upstream has asked for a long pause."""
        return Counter(
            name
            for member in self._members.values()
            for name in set(member.report.backed_off)
        )

    def count_successors(self, excluded: str, now: float) -> int:
        """
        Count the members that can take over from a coordinator without upstreams.

        Parameters
        ----------
        excluded : str
            Name of the coordinator.
        now : float
            Present time in seconds.

        Returns
        -------
        int
            Number of instances that go on running and aren't cut off themselves.
        """
        return sum(
            name != excluded and self._may_take_over(member, now)
            for name, member in self._members.items()
        )

    def _may_take_over(self, member: Member, now: float) -> bool:
        """Whether a member reported lately that it reaches upstreams and stays."""
        return (
            not member.report.leaving
            and not member.report.cut_off
            and now - member.last_report_at < self._times.silent_s
        )

    def _remove(self, name: str) -> None:
        member = self._members.pop(name, None)
        if member is not None:
            self._update_ranks()

    def _update_ranks(self) -> None:
        self._ranks = {name: rank for rank, name in enumerate(sorted(self._members))}
