"""What upstreams hold, and when instances divide it among themselves."""

from dataclasses import dataclass
from math import ceil

__all__ = ["RoomEstimate", "RoomSettings", "find_reserve"]


@dataclass(frozen=True, kw_only=True, slots=True)
class RoomSettings:
    """
    Times and shares by which instances divide the room at upstreams.

    Parameters
    ----------
    lease_s : float
        Seconds from a report for which the units that answer it may be used.
    end_s : float
        Seconds after that in which the last requests sent on them are expected to end.
    queue_per_slot : float
        Waiting requests that an upstream is taken to hold for each concurrency slot
        before anything is known of it.
    crowd : float
        Instances per unit of an upstream's room from which on the room is divided
        although no upstream was seen full.
    spare_share : float
        Share of the room that isn't given out before somebody asks for it, so that an
        instance whose demand grows gets more within one report.
    demand_memory_s : float
        Seconds for which an instance keeps room for its greatest recent demand.
    evidence : int
        Attempts within `evidence_window_s` that upstreams of a service turned away
        while they were full, from which on its room is divided.
    evidence_window_s : float
        Length of that window in seconds.
    active_s : float
        Seconds for which room stays divided after the last such attempt, or after there
        were as many instances.
    """

    lease_s: float = 4.0
    end_s: float = 1.0
    queue_per_slot: float = 3.0
    crowd: float = 4.0
    spare_share: float = 0.15
    demand_memory_s: float = 2.0
    evidence: int = 3
    evidence_window_s: float = 2.0
    active_s: float = 30.0


# Seconds between two reductions of an estimated queue, and until one is taken back. A
# burst of resets is one observation; a wrong one is forgotten within some seconds.
REDUCTION_INTERVAL_S = 1.0
REGROWTH_INTERVAL_S = 3.0
# Upstreams that must have turned requests away in the window for a reduction.
MIN_FULL_UPSTREAMS = 5
# Waiting requests for each slot that are assumed at least.
MIN_QUEUE_PER_SLOT = 1.0
# Greatest stated queue that is believed, per slot.
MAX_QUEUE_PER_SLOT = 16.0


class RoomEstimate:
    """
    Room at the upstreams of one service, learnt from what all instances saw.

    Parameters
    ----------
    settings : RoomSettings
        Initial value, and the evidence that is needed.

    Notes
    -----
    The longest queue that an upstream has stated is certainly held. An upstream that
    turns requests away although no more were sent than it was taken to hold, holds
    less. This is believed if several do so, one step at a time: a single one may also
    hold requests whose callers have gone, or reset connections for another reason.

    Examples
    --------
    >>> estimate = RoomEstimate(RoomSettings())
    >>> estimate.find_room(slots=2)
    8
    >>> estimate.record_queue(4.0)
    >>> estimate.find_room(slots=2)
    10
    >>> estimate.is_divided(instances=12, slots=2, now=0.0)
    False
    >>> estimate.record_full("u1", 3, now=1.0)
    >>> estimate.is_divided(instances=12, slots=2, now=1.0)
    True
    >>> estimate.is_divided(instances=12, slots=2, now=50.0)
    False
    >>> estimate.is_divided(instances=70, slots=2, now=50.0)
    True
    """

    def __init__(self, settings: RoomSettings) -> None:
        self._settings = settings
        self._queue_per_slot = settings.queue_per_slot
        self._reduction = 0.0
        self._reduced_at = float("-inf")
        self._window_began_at = float("-inf")
        self._window_count = 0
        self._full: set[str] = set()
        self._active_until = float("-inf")

    def adopt(self, room: int, slots: int, now: float) -> None:
        """Adopt the room that another instance has estimated and divided."""
        self._queue_per_slot = max(MIN_QUEUE_PER_SLOT, (room - slots) / max(1, slots))
        self._active_until = now + self._settings.active_s

    def record_queue(self, waiting_per_slot: float) -> None:
        """Record a stated number of waiting requests for each concurrency slot."""
        stated = min(waiting_per_slot, MAX_QUEUE_PER_SLOT)
        self._queue_per_slot = max(self._queue_per_slot, stated)

    def record_full(self, upstream: str, attempts: int, now: float) -> None:
        """Record attempts that an upstream has turned away since it was full."""
        settings = self._settings
        is_divided = now < self._active_until
        if now - self._window_began_at > settings.evidence_window_s:
            self._window_began_at, self._window_count = now, 0
            self._full.clear()
        self._window_count += attempts
        self._full.add(upstream)
        if self._window_count >= settings.evidence:
            self._active_until = now + settings.active_s
            is_common = len(self._full) >= MIN_FULL_UPSTREAMS
            is_due = now - self._reduced_at >= REDUCTION_INTERVAL_S
            if is_divided and is_common and is_due:
                most = self._queue_per_slot - MIN_QUEUE_PER_SLOT
                self._reduction = min(most, self._reduction + 0.5)
                self._reduced_at = now

    def regrow(self, now: float) -> None:
        """Take back a reduction after a time without evidence for it."""
        if self._reduction > 0.0 and now - self._reduced_at >= REGROWTH_INTERVAL_S:
            self._reduction = max(0.0, self._reduction - 0.5)
            self._reduced_at = now

    def find_room(self, slots: int) -> int:
        """Return the requests, running and waiting, that an upstream holds."""
        queue = (self._queue_per_slot - self._reduction) * slots
        return slots + max(0, int(queue + 1e-9))

    def is_divided(self, instances: int, slots: int, now: float) -> bool:
        """Return whether instances use only the room that is given to them."""
        if instances >= self._settings.crowd * self.find_room(slots):
            # For a while, so that it doesn't begin and end with a single instance.
            self._active_until = max(self._active_until, now + self._settings.active_s)
        return now < self._active_until


def find_reserve(instances: int, upstreams: int, room: int) -> int:
    """
    Return the units of each upstream for instances that hear nothing.

    Parameters
    ----------
    instances, upstreams : int
        Number of instances, and of upstreams of the service.
    room : int
        What one of these holds.

    Returns
    -------
    int
        At least 1, and at most a quarter of the room.

    Examples
    --------
    >>> find_reserve(instances=70, upstreams=43, room=8)
    2
    """
    return max(1, min(ceil(instances / max(1, upstreams)), room // 4))
