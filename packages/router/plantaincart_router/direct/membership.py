"""The live instances as the coordinator hears of them."""

from collections import Counter
from time import monotonic

from plantaincart_core.loadsheet import pack_loads
from plantaincart_schema.generated.direct import MemberReport

from plantaincart_router.direct.settings import CoordinationSettings
from plantaincart_router.log import write_event

__all__ = ["Member", "Membership"]

# Loads go with every notice to this many members, else with every second, third ...;
# the upstreams' slowness with every so many of these.
MEMBERS_PER_LOADS = 100
SLOWNESS_EVERY = 4
# Seconds, for each member, for which the sums of all requests are sent as they are: a
# tenth of a second where there are a hundred, so that they are encoded ten times in it.
LOADS_LAST_S = 0.001
# Seconds after which a change that a member doesn't know yet is sent again.
RESEND_S = 0.6


class Member:
    """
    What a live instance reported last, and what it was sent.

    Parameters
    ----------
    report : MemberReport
        Its first report.
    now : float
        Present time in seconds.

    Attributes
    ----------
    last_report_at : float
        Time of the last report.
    notices : int
        Reports that were answered.
    """

    def __init__(self, report: MemberReport, now: float) -> None:
        self.report = report
        self.last_report_at = now
        self.notices = 0
        self._map_sent = -1
        self._map_sent_at = float("-inf")
        self._whole_map_at = float("-inf")
        self._tables_sent: dict[str, int] = {}
        self._tables_sent_at = float("-inf")

    def find_map_version(self, epoch: int) -> int:
        """
        Return the version of the map that the member has or is about to get.

        Parameters
        ----------
        epoch : int
            Epoch of the term; versions of other epochs don't count.

        Returns
        -------
        int
            Negative if it has none.
        """
        reported = self.report.map_version if self.report.epoch == epoch else -1
        since = self._map_sent_at if reported >= 0 else self._whole_map_at
        if monotonic() - since < RESEND_S:
            return max(reported, self._map_sent)
        return reported

    def record_map_sent(self, version: int, whole: bool) -> None:
        """Note which version of the map was sent."""
        self._map_sent, self._map_sent_at = version, monotonic()
        if whole:
            self._whole_map_at = self._map_sent_at

    def find_table_version(self, table: str) -> int | None:
        """Return the version of a table that the member has or is about to get."""
        reported = self.report.tables.get(table)
        if reported is None:
            return None
        if monotonic() - self._tables_sent_at < RESEND_S:
            return max(reported, self._tables_sent.get(table, reported))
        return reported

    def record_tables_sent(self, versions: dict[str, int]) -> None:
        """Note up to which versions changes of the tables were sent."""
        if any(self.report.tables.get(name) != one for name, one in versions.items()):
            self._tables_sent_at = monotonic()
        self._tables_sent = versions


class Membership:
    """
    Instances that reported lately.

    Parameters
    ----------
    times : CoordinationSettings
        Times of the coordinator.
    """

    def __init__(self, times: CoordinationSettings) -> None:
        self._times = times
        self._members: dict[str, Member] = {}
        self._ranks: dict[str, int] = {}
        self._in_flight: Counter[str] = Counter()
        self._packed = b""
        self._packed_at = float("-inf")

    def __len__(self) -> int:
        return len(self._members)

    def list_names(self) -> list[str]:
        """Return the members in the order of their ranks."""
        return list(self._ranks)

    def find_rank(self, name: str) -> int:
        """Return the place of a member among all; 0 if it is none."""
        return self._ranks.get(name, 0)

    def get(self, name: str) -> Member | None:
        """Return a member, or None."""
        return self._members.get(name)

    def record_report(self, report: MemberReport, now: float) -> Member:
        """
        Take a report.

        Parameters
        ----------
        report : MemberReport
            What an instance says.
        now : float
            Present time in seconds.

        Returns
        -------
        Member
            A new one if the instance's process is new, or leaves.
        """
        member = self._members.get(report.member)
        if member is not None and (
            report.leaving or member.report.incarnation != report.incarnation
        ):
            self._drop(report.member)
            member = None
        if member is None:
            member = self._members[report.member] = Member(report, now)
            self._update_ranks()
        else:
            self._in_flight.subtract(member.report.in_flight)
        self._in_flight.update(report.in_flight)
        member.report, member.last_report_at = report, now
        member.notices += 1
        return member

    def remove_silent(self, now: float) -> None:
        """Drop instances that haven't reported for too long."""
        for name, member in list(self._members.items()):
            if now - member.last_report_at > self._times.member_s:
                self._drop(name)
                write_event("member_lost", member=name)

    def list_store_silences(self, but: str) -> list[float]:
        """Return how long the store has been silent to each member but one."""
        return [
            member.report.store_silent_s
            for name, member in self._members.items()
            if name != but
        ]

    def pack_loads(self, now: float) -> bytes:
        """
        Encode the requests of all members by upstream.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bytes
            As `plantaincart_core.loadsheet` encodes them.
        """
        if now - self._packed_at > LOADS_LAST_S * len(self._members):
            self._in_flight = +self._in_flight
            self._packed = pack_loads(self._in_flight)
            self._packed_at = now
        return self._packed

    def needs_loads(self, member: Member) -> bool:
        """Whether the next notice to a member tells it of loads."""
        return member.notices % self._count_notices_per_loads() == 0

    def needs_slowness(self, member: Member) -> bool:
        """Whether the next notice to a member tells it which upstreams are slow."""
        every = SLOWNESS_EVERY * self._count_notices_per_loads()
        return member.notices % every == 0

    def _drop(self, name: str) -> None:
        member = self._members.pop(name, None)
        if member is not None:
            self._in_flight.subtract(member.report.in_flight)
            self._update_ranks()

    def _update_ranks(self) -> None:
        self._ranks = {name: rank for rank, name in enumerate(sorted(self._members))}

    def _count_notices_per_loads(self) -> int:
        return -(-len(self._members) // MEMBERS_PER_LOADS)
