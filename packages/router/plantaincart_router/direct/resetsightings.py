"""What one instance saw of resets by upstreams, and of their queues around these."""

from collections import deque

from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.roomreset import FULL_FACTOR

__all__ = ["ResetSightings"]

# Resets by one upstream that a report names, at most.
MAX_RESETS = 32


class ResetSightings:
    """
    Keeps for the next report when upstreams reset connections or stated many requests.

    Examples
    --------
    >>> record = UpstreamRecord(
    ...     id="u1", service="desk", host="a", port=1, data_centre="", slots=2, born=1,
    ...     ready=True, warmup_left_s=0.0)
    >>> sightings = ResetSightings()
    >>> sightings.record_reset(record, now=1.0)
    >>> sightings.record_requests(record, 3, now=1.1)
    >>> sightings.record_requests(record, 5, now=1.2)
    >>> sightings.pop_resets(now=1.25)
    {'u1': [0.25]}
    >>> sightings.pop_busy(now=1.25)
    {'u1': 0.05}
    >>> sightings.pop_busy(now=1.25)
    {}
    """

    def __init__(self) -> None:
        self._resets: dict[str, deque[float]] = {}
        self._busy: dict[str, float] = {}

    def record_reset(self, record: UpstreamRecord, now: float) -> None:
        """Record that an upstream reset a connection with a request."""
        times = self._resets.setdefault(record.id, deque(maxlen=MAX_RESETS))
        times.append(now)

    def record_requests(self, record: UpstreamRecord, count: int, now: float) -> None:
        """Record how many requests, running and waiting, an upstream states."""
        if count >= FULL_FACTOR * record.slots:
            self._busy[record.id] = now

    def pop_resets(self, now: float) -> dict[str, list[float]]:
        """Return the ages in seconds of the resets since the last call."""
        resets, self._resets = self._resets, {}
        return {
            name: [round(max(0.0, now - at), 3) for at in times]
            for name, times in resets.items()
        }

    def pop_busy(self, now: float) -> dict[str, float]:
        """Return the ages in seconds of the last statements since the last call."""
        busy, self._busy = self._busy, {}
        return {name: round(max(0.0, now - at), 3) for name, at in busy.items()}
