"""What a coordinator knows of the end of its predecessor's term."""

from math import inf
from time import monotonic

from plantaincart_core.electorate import (
    find_last_followed,
    find_last_followed_by_some,
)
from plantaincart_schema.generated.direct import CoordinatorRow

from plantaincart_router.direct.settings import CoordinationSettings
from plantaincart_router.log import write_event

__all__ = ["PreviousTerm"]


class PreviousTerm:
    """
    Finds out when the previous coordinator, and those before it, have ended.

    Parameters
    ----------
    times : CoordinationSettings
        Times of the coordinator.
    row : CoordinatorRow or None
        Row that the present term has replaced; None if there was none.
    renewed_at : float
        Latest time in seconds at which the previous term can have been renewed.
    grant_duration_s : float
        Longest grant duration that notices of the previous coordinator have named.
    longest_grant_s : float, optional
        Grant duration of a coordinator that is stopped in an outage of the store.
    silent_s : float, optional
        Seconds for which the previous coordinator may have had no answer of the store,
        as its row shows; None if the row doesn't show it.
    is_restored : bool
        Whether the store was restored from a copy since the row was written, so that it
        may have lost a later one, with another holder and other electors.

    Attributes
    ----------
    member_count : int
        Highest number of members that earlier coordinators are known to have had.

    Notes
    -----
    A coordinator that the store doesn't answer goes on while it is followed by most of
    the electors that its row names, for `offline_s` at most. It counts an elector for
    `followed_s` after it has sent the last notice that this one has received. Members
    of a later coordinator report how long ago they heard an earlier one, which they
    don't follow any more. When so many electors have reported that the rest is no
    majority, the earlier term has ended.

    A coordinator keeps the electors of its predecessor until that one has ended, so
    that a chain of takeovers has the same ones.

    Where the store may have lost the row that counts, the electors are taken to be any
    of as many members as the earlier coordinator had by what its members have heard.

    It makes longer grants only after the store has been silent for
    `long_grants_after_s`. That silence can't have begun before the clock in its row.
    """

    def __init__(
        self,
        times: CoordinationSettings,
        row: CoordinatorRow | None,
        renewed_at: float,
        grant_duration_s: float,
        longest_grant_s: float = 0.0,
        silent_s: float | None = None,
        is_restored: bool = False,
    ) -> None:
        self._times = times
        self._row = row
        self._renewed_at = renewed_at
        self._grant_duration_s = grant_duration_s
        self._longest_grant_s = max(grant_duration_s, longest_grant_s)
        self._long_grants_from = inf
        if silent_s is not None:
            # The duration isn't taken from notices.
            self._grant_duration_s = min(times.hold_s, self._longest_grant_s)
            required_s = times.long_grants_after_s * (1.0 - times.clock_drift)
            self._long_grants_from = monotonic() - silent_s + required_s
        self._is_restored = is_restored
        self.member_count = 0 if row is None else len(row.electors)
        self._last_heard_at: dict[str, float] = {}
        # Those of them that may have been electors that the store has lost.
        self._possible_electors = set(self.electors)
        self._is_end_logged = False

    @property
    def electors(self) -> tuple[str, ...]:
        """Electors of the previous term; empty if they aren't known."""
        return () if self._row is None else tuple(self._row.electors)

    def has_ended(self) -> bool:
        """Whether all earlier terms have certainly ended."""
        end = self.find_end()
        if end > monotonic():
            return False
        if not self._is_end_logged:
            self._is_end_logged = True
            write_event(
                "earlier_terms_ended",
                epoch=0 if self._row is None else self._row.epoch,
                ended_s=round(monotonic() - end, 2),
                electors=len(self.electors),
                left=len(self._last_heard_at.keys() & set(self.electors)),
            )
        return True

    def record_left(self, member: str, silent_s: float, members: int = 0) -> None:
        """
        Record that a member follows no earlier coordinator any more.

        Parameters
        ----------
        member : str
            Name of the member.
        silent_s : float
            Seconds since it last heard of one; negative if that isn't known.
        members : int
            Number of members that an earlier coordinator has stated to it.
        """
        if silent_s < 0.0:
            return
        if members:
            self.member_count = max(self.member_count, members)
            self._possible_electors.add(member)
        # A later process of the member can't follow an earlier coordinator, which
        # doesn't count processes that were started after its last confirmation.
        heard_at = min(monotonic() - silent_s, self._last_heard_at.get(member, inf))
        self._last_heard_at[member] = heard_at

    def find_end(self) -> float:
        """Return the time in seconds by which all earlier terms have ended."""
        left_at = self._find_holder_left()
        if left_at is not None:
            return left_at
        return max(self._confirmed_until, self._find_offline_end())

    def find_last_expiry(self) -> float:
        """Return the time in seconds by which all earlier grants have expired."""
        return self._add_grant_duration(self.find_end(), self._find_offline_end())

    def estimate_last_expiry(self) -> float:
        """Return the same if the electors that are still missing report soon."""
        now = monotonic()
        end = min(self.find_end(), max(self._confirmed_until, now))
        return self._add_grant_duration(end, min(self._find_offline_end(), now))

    def may_have_long_grants(self) -> bool:
        """Whether grants of more than the normal duration are known to be possible."""
        if self._row is None or monotonic() >= self.find_last_expiry():
            return False
        if self._row.long_grants:
            return True
        end = self._find_offline_end()
        return self.find_end() <= monotonic() and end >= self._long_grants_from

    @property
    def _confirmed_until(self) -> float:
        return self._renewed_at + self._times.confirmed_s

    def _find_holder_left(self) -> float | None:
        """Return when the holder is known to have ended its term, the only one."""
        if self._row is None or not self._row.electors or not self._row.earlier_ended:
            return None
        if self._is_restored:
            return None
        # Its process has ended its term, or is a later one.
        return self._last_heard_at.get(self._row.holder)

    def _find_offline_end(self) -> float:
        """Return the time by which no earlier coordinator acts without the store."""
        left_at = self._find_holder_left()
        if left_at is not None:
            return left_at
        if self._is_restored:
            last_followed = find_last_followed_by_some(
                self.member_count,
                {
                    member: heard_at
                    for member, heard_at in self._last_heard_at.items()
                    if member in self._possible_electors
                },
            )
        else:
            last_followed = find_last_followed(self.electors, self._last_heard_at)
        followed_until = last_followed + self._times.followed_s
        # The earlier coordinator's clock may run slow.
        offline_s = self._times.offline_s * (1.0 + self._times.clock_drift)
        return min(followed_until, self._renewed_at + offline_s)

    def _add_grant_duration(self, end: float, offline_end: float) -> float:
        """
        Return the time at which the last grants of earlier coordinators expire.

        Parameters
        ----------
        end : float
            Time in seconds by which their terms have ended.
        offline_end : float
            Time in seconds by which they have ended that lasted without the store.
        """
        times = self._times
        is_known_long = self._row is not None and self._row.long_grants
        is_long = is_known_long or offline_end >= self._long_grants_from
        duration_s = self._longest_grant_s if is_long else self._grant_duration_s
        max_duration_s = duration_s * (1.0 + times.clock_drift)
        return end + times.call_timeout_s + max_duration_s + times.hold_margin_s
