"""What a coordinator knows of the end of its predecessor's term."""

from math import inf
from time import monotonic

from plantaincart_core.electorate import find_last_followed
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
        Grant duration that the previous coordinator may have used.

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
    """

    def __init__(
        self,
        times: CoordinationSettings,
        row: CoordinatorRow | None,
        renewed_at: float,
        grant_duration_s: float,
    ) -> None:
        self._times = times
        self._row = row
        self._renewed_at = renewed_at
        self._grant_duration_s = grant_duration_s
        self._last_heard_at: dict[str, float] = {}
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

    def record_left(self, member: str, silent_s: float) -> None:
        """
        Record that a member follows no earlier coordinator any more.

        Parameters
        ----------
        member : str
            Name of the member.
        silent_s : float
            Seconds since it last heard of one; negative if that isn't known.
        """
        if silent_s < 0.0:
            return
        # A later process of the member can't follow an earlier coordinator, which
        # doesn't count processes that were started after its last confirmation.
        heard_at = min(monotonic() - silent_s, self._last_heard_at.get(member, inf))
        self._last_heard_at[member] = heard_at

    def find_end(self) -> float:
        """Return the time in seconds by which all earlier terms have ended."""
        confirmed_until = self._renewed_at + self._times.confirmed_s
        if self._row is None or not self._row.electors:
            return confirmed_until
        holder_left_at = self._last_heard_at.get(self._row.holder)
        if holder_left_at is not None and self._row.earlier_ended:
            # Its process has ended its term, or is a later one.
            return holder_left_at
        last_followed = find_last_followed(self._row.electors, self._last_heard_at)
        followed_until = last_followed + self._times.followed_s
        offline_until = self._renewed_at + self._times.offline_s
        return max(confirmed_until, min(followed_until, offline_until))

    def find_last_expiry(self) -> float:
        """Return the time in seconds by which all earlier grants have expired."""
        return self.find_end() + self._last_grant_s

    def estimate_last_expiry(self) -> float:
        """Return the same if the electors that are still missing report soon."""
        confirmed_until = self._renewed_at + self._times.confirmed_s
        end = min(self.find_end(), max(confirmed_until, monotonic()))
        return end + self._last_grant_s

    @property
    def _last_grant_s(self) -> float:
        """Seconds for which the last call of the previous coordinator has effect."""
        times = self._times
        duration_s = self._grant_duration_s * (1.0 + times.clock_drift)
        return times.call_timeout_s + duration_s + times.hold_margin_s
