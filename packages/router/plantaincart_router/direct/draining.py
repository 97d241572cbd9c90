"""For how long upstreams that leave, or whose data centre does, get requests."""

from time import monotonic

from plantaincart_core.directory import UpstreamDirectory, UpstreamRecord

from plantaincart_router.direct.settings import BoundSettings

__all__ = ["DrainWatch"]

# Fraction of the drain bound for which a draining owner still gets requests. The bound
# starts when the store acknowledges the change, which is later than the time up to
# which the table was known.
DRAIN_BOUND_SHARE = 0.7


class DrainWatch:
    """
    Tells since when upstreams are draining.

    Parameters
    ----------
    directory : UpstreamDirectory
        Announced upstreams, and what their answers said of leaving.
    bounds : BoundSettings
        Times within which work must have stopped.
    """

    def __init__(self, directory: UpstreamDirectory, bounds: BoundSettings) -> None:
        self._directory = directory
        self._bounds = bounds
        self._since: dict[str, float] = {}
        self._unread_since: dict[str, float] = {}
        self._seen_active: set[str] = set()

    def update(self, known_until: float, is_service_known: bool) -> None:
        """
        Record upstreams that started or stopped draining.

        Parameters
        ----------
        known_until : float
            Time in seconds up to which the table of announcements was known: those
            that are new in it began no earlier, or for an upstream whose announcement
            was unreadable meanwhile, no earlier than that was known.
        is_service_known : bool
            Whether it is known which data centres are in service.
        """
        for record in self._directory:
            if self._directory.is_held(record.id):
                self._unread_since.setdefault(record.id, known_until)
                unread_since = known_until
            else:
                unread_since = self._unread_since.pop(record.id, known_until)
            if self._directory.is_in_service(record):
                self._since.pop(record.id, None)
                if is_service_known:
                    self._seen_active.add(record.id)
            else:
                # An upstream that was never active here may have been draining for
                # long.
                was_active = record.id in self._seen_active
                since = min(known_until, unread_since) if was_active else float("-inf")
                self._since.setdefault(record.id, since)

    def forget(self, upstream: str) -> None:
        """Drop what is known of an upstream that is gone, given by its identity."""
        self._since.pop(upstream, None)
        self._unread_since.pop(upstream, None)
        self._seen_active.discard(upstream)

    def can_serve_keys(self, record: UpstreamRecord) -> bool:
        """Whether an owner may still get requests for its keys."""
        if not self.is_within_stated_bound(record):
            return False
        if self._directory.is_in_service(record):
            return True
        bounds = self._bounds
        bound_s = bounds.evacuate_s if record.ready else bounds.drain_s
        since = self._since.get(record.id, float("-inf"))
        return monotonic() - since < bound_s * DRAIN_BOUND_SHARE

    def is_within_stated_bound(self, record: UpstreamRecord) -> bool:
        """Whether an upstream may get requests by what its answers have said."""
        since = self._directory.leaving.find_since(record.id, record.born)
        bound_s = self._bounds.drain_s * DRAIN_BOUND_SHARE
        return since is None or monotonic() - since < bound_s
