"""Resets of connections that show that upstreams are full."""

from collections import deque
from collections.abc import Iterable

from plantaincart_core.room import RoomSettings

__all__ = ["FULL_FACTOR", "ResetEvidence"]

# Requests for each slot from which on an upstream that resets a connection, rejects or
# doesn't answer is taken to be full.
FULL_FACTOR = 2.0
# Seconds after a reset within which an answer that states as many shows that the
# upstream was full: in about that time a queue of a few requests drains.
NEAR_S = 0.3
# Upstreams that must have shown it. A single one may have ended, with all its
# connections.
MIN_UPSTREAMS = 2
# Share of the resets in the window that must be explained.
MIN_EXPLAINED_SHARE = 0.75
# Times that are kept for each upstream, at most.
MAX_TIMES = 64


class ResetEvidence:
    """
    Tells resets by full upstreams of a service from others.

    Parameters
    ----------
    settings : RoomSettings
        Window within which several upstreams must have shown it.

    Notes
    -----
    In a burst, the sums that an instance knew before it sent are too old to show that
    an upstream was full. Answers to others of the burst state it, to whichever
    instance they go. So all instances tell when an upstream reset their connections,
    and when an answer stated at least `FULL_FACTOR` requests for each slot. A reset
    is explained if such an answer came soon after it: the upstream hadn't ended, and
    was full. Resets count if most of those of the service are explained: a fault that
    breaks connections doesn't wait for a queue.

    Examples
    --------
    >>> evidence = ResetEvidence(RoomSettings())
    >>> evidence.record_resets("u1", [1.0, 1.0])
    >>> evidence.record_resets("u2", [1.1])
    >>> evidence.record_busy("u1", 1.2)
    >>> evidence.pop_counted(now=1.3)
    {}
    >>> evidence.record_busy("u2", 1.3)
    >>> evidence.pop_counted(now=1.4)
    {'u1': 2, 'u2': 1}
    >>> evidence.pop_counted(now=1.5)
    {}
    """

    def __init__(self, settings: RoomSettings) -> None:
        self._window_s = settings.evidence_window_s
        self._upstreams: dict[str, _UpstreamResets] = {}

    def record_resets(self, upstream: str, times: Iterable[float]) -> None:
        """Record the times in seconds at which an upstream reset connections."""
        self._find(upstream).resets.extend(times)

    def record_busy(self, upstream: str, at: float) -> None:
        """Record the time in seconds of an answer that stated many requests."""
        self._find(upstream).busy.append(at)

    def record_full(self, upstream: str, at: float) -> None:
        """Record the time in seconds at which an upstream was certainly full."""
        self._find(upstream).full.append(at)

    def pop_counted(self, now: float) -> dict[str, int]:
        """
        Return the resets by full upstreams that weren't returned before.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        dict of str to int
            Number by upstream; empty unless several upstreams were full lately, and
            most resets are explained by that.
        """
        start = now - self._window_s
        for name in list(self._upstreams):
            resets = self._upstreams[name]
            resets.confirm()
            resets.discard_before(start)
            if resets.is_empty:
                del self._upstreams[name]
        shown = [item for item in self._upstreams.values() if item.is_shown]
        explained = sum(item.count_explained() for item in shown)
        left = sum(len(item.resets) for item in self._upstreams.values())
        is_common = explained >= MIN_EXPLAINED_SHARE * (explained + left)
        if len(shown) < MIN_UPSTREAMS or not is_common:
            return {}
        return {
            name: count
            for name, item in self._upstreams.items()
            if (count := item.pop_count())
        }

    def _find(self, upstream: str) -> "_UpstreamResets":
        resets = self._upstreams.get(upstream)
        if resets is None:
            resets = self._upstreams[upstream] = _UpstreamResets()
        return resets


class _UpstreamResets:
    """Resets by one upstream, and answers that stated many requests there."""

    __slots__ = ("_confirmed", "_returned", "busy", "full", "resets")

    def __init__(self) -> None:
        self.resets: deque[float] = deque(maxlen=MAX_TIMES)
        self.busy: deque[float] = deque(maxlen=MAX_TIMES)
        self.full: deque[float] = deque(maxlen=MAX_TIMES)
        self._confirmed: deque[float] = deque(maxlen=MAX_TIMES)
        self._returned: deque[float] = deque(maxlen=MAX_TIMES)

    @property
    def is_empty(self) -> bool:
        return not (self.resets or self.busy or self.is_shown)

    @property
    def is_shown(self) -> bool:
        return bool(self._confirmed or self._returned or self.full)

    def confirm(self) -> None:
        """Move the resets that a stated queue explains to the confirmed ones."""
        left: list[float] = []
        for reset_at in self.resets:
            is_full = any(0.0 <= at - reset_at <= NEAR_S for at in self.busy)
            (self._confirmed if is_full else left).append(reset_at)
        self.resets = deque(left, MAX_TIMES)

    def discard_before(self, start: float) -> None:
        counted = (self._confirmed, self._returned)
        for times in (self.resets, self.busy, self.full, *counted):
            kept = [at for at in times if at >= start]
            times.clear()
            times.extend(kept)

    def count_explained(self) -> int:
        """Return the resets in the window that a stated queue explains."""
        return len(self._confirmed) + len(self._returned)

    def pop_count(self) -> int:
        count = len(self._confirmed)
        self._returned.extend(self._confirmed)
        self._confirmed.clear()
        return count
