"""What an instance has heard of the coordinator, and of those before it."""

from math import inf
from time import monotonic

from plantaincart_schema.generated.direct import CoordinatorNotice

from plantaincart_router.direct.clock import read_boot_time
from plantaincart_router.direct.settings import CoordinationSettings

__all__ = ["Hearing"]

# Seconds after a notice with an extended grant duration for which a successor assumes
# that such grants may still be valid.
LONG_GRANTS_MEMORY_S = 40.0


class Hearing:
    """
    Remembers when coordinators were heard.

    Parameters
    ----------
    times : CoordinationSettings
        Times of the coordinator.

    Attributes
    ----------
    epoch : int
        Epoch of the latest notice; 0 before the first.
    sent_at : float
        The coordinator's clock in seconds when it sent that notice.
    connected_at, notice_at : float
        Times in seconds of the last connection to a coordinator and of the last notice.
    outage_notice_at : float
        Time in seconds of the last notice of a coordinator without the store.
    earlier_members : int
        Highest number of members that coordinators have stated which this instance has
        left; 0 if it has left none that it heard.

    Notes
    -----
    An instance hears one coordinator at a time, and never returns to an earlier epoch.
    What an earlier process has heard isn't known, so the start of this one counts.
    """

    def __init__(self, times: CoordinationSettings) -> None:
        self._times = times
        self.epoch, self.sent_at = 0, 0.0
        self.connected_at = self.notice_at = 0.0
        self.outage_notice_at = self._long_grants_at = -inf
        # Boot times of the last notices of the present coordinator and of earlier ones.
        self._heard_at = self._earlier_heard_at = read_boot_time()
        self._members = self.earlier_members = 0

    @property
    def silent_since(self) -> float:
        """Time in seconds from which on the coordinator is suspected."""
        return max(self.notice_at, self.connected_at) + self._times.silent_s

    @property
    def has_notice(self) -> bool:
        """Whether a notice has come since the last connection."""
        return self.notice_at > self.connected_at

    def record_notice(self, notice: CoordinatorNotice) -> None:
        """Record a notice of a coordinator that goes on."""
        self.notice_at, self._heard_at = monotonic(), read_boot_time()
        self.epoch, self.sent_at = notice.epoch, notice.sent_at
        self._members = notice.members
        if notice.hold_s > self._times.hold_s:
            self._long_grants_at = self.notice_at

    def leave_earlier(self, epoch: int) -> None:
        """Record that this instance follows no coordinator before one of an epoch."""
        if epoch != self.epoch:
            self._earlier_heard_at = max(self._earlier_heard_at, self._heard_at)
            self.earlier_members = max(self.earlier_members, self._members)

    def record_own_end(self) -> None:
        """Record that this instance was the coordinator until now."""
        self._earlier_heard_at = read_boot_time()

    def measure_earlier_silence(self) -> float:
        """Return the seconds since a coordinator before the present one was heard."""
        return read_boot_time() - self._earlier_heard_at

    def may_have_long_grants(self) -> bool:
        """Whether a notice has lately named grants of more than the normal duration."""
        return monotonic() - self._long_grants_at < LONG_GRANTS_MEMORY_S
