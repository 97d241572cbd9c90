"""Whether this instance can open connections to any upstream."""

from collections.abc import Callable
from time import monotonic

from plantaincart_core.directory import UpstreamDirectory, UpstreamRecord

from plantaincart_router.log import write_event

__all__ = ["UpstreamReachability"]

# Upstreams that can't be reached, and data centres in which they run, before the
# instance itself is taken to be cut off; fewer if fewer are announced. Upstreams of one
# data centre may well be down together.
MIN_UNREACHED = 3
MIN_DATA_CENTRES = 2
# Seconds for which a failure counts.
FAILURE_MEMORY_S = 3.0
# Seconds after an answer for which the upstreams that close new connections at once are
# taken to be busy, and idle connections are used while no new one can be opened.
ANSWER_MEMORY_S = 1.0
# Seconds without an answer after which a single failure is taken seriously.
SILENCE_S = 0.3


class UpstreamReachability:
    """
    Infers from connects and answers whether the instance is cut off from all upstreams.

    Attributes
    ----------
    directory : UpstreamDirectory
        Announced upstreams.
    is_cut_off : bool
        Whether no new connection to any upstream can be opened. It stays set until one
        is opened, so that no upstream needs to be tried by requests meanwhile.
    on_change : callable
        Called when `is_cut_off` has changed.

    Notes
    -----
    The instance is taken to be cut off if connecting to `MIN_UNREACHED` upstreams in
    `MIN_DATA_CENTRES` data centres has failed recently, and no connect has succeeded
    since the first of these failures.

    Examples
    --------
    >>> reachability = UpstreamReachability()
    >>> records = [
    ...     UpstreamRecord(
    ...         id=name, born=5, service="desk", host="127.0.0.1", port=80,
    ...         data_centre=name[0], slots=2, ready=True, warmup_left_s=0.0)
    ...     for name in ("a1", "a2", "b1", "b2")]
    >>> for record in records:
    ...     reachability.directory.put(record, now=0.0)
    >>> for record in records[:3]:
    ...     reachability.record_unreached(record, now=1.0)
    >>> reachability.is_cut_off
    True
    >>> reachability.record_reached(records[3])
    >>> reachability.is_cut_off
    False
    """

    def __init__(self) -> None:
        self.directory = UpstreamDirectory()
        self.is_cut_off = False
        self.on_change: Callable[[], None] = _ignore
        self._unreached: dict[str, tuple[UpstreamRecord, float]] = {}
        self._first_unreached_at = float("inf")
        self._answered_at = float("-inf")
        self._exchange_lost = False

    @property
    def is_doubtful(self) -> bool:
        """
        Whether it should be tested if any upstream can be connected to.

        A failure of one upstream is no reason while others answer.
        """
        if self.is_cut_off or len(self._unreached) > 1:
            return True
        has_failed = self._exchange_lost or bool(self._unreached)
        return has_failed and monotonic() - self._answered_at > SILENCE_S

    def is_answered(self, now: float) -> bool:
        """
        Whether upstreams still answer on connections that were opened before.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether an answer arrived recently, and since connects fail.
        """
        since = max(self._first_unreached_at, now - ANSWER_MEMORY_S)
        return self._answered_at > since

    def list_unreached(self) -> list[UpstreamRecord]:
        """Return the upstreams that failed since the last successful connect."""
        return [record for record, _ in self._unreached.values()]

    def record_answer(self, now: float) -> None:
        """Record an answer on any connection."""
        self._answered_at = now

    def record_reached(self, record: UpstreamRecord) -> None:
        """Record that a connection to an upstream was opened."""
        count = len(self._unreached)
        self._exchange_lost = False
        self._unreached.clear()
        self._first_unreached_at = float("inf")
        if self.is_cut_off:
            self.is_cut_off = False
            write_event("upstreams_reached", upstream=record.id, unreached=count)
            self.on_change()

    def record_unreached(self, record: UpstreamRecord, now: float) -> None:
        """
        Record that connecting to an upstream failed.

        Parameters
        ----------
        record : UpstreamRecord
            The upstream.
        now : float
            Present time in seconds.
        """
        self._remove_outdated(now)
        self._unreached[record.id] = record, now
        self._first_unreached_at = min(self._first_unreached_at, now)
        if self.is_cut_off or not self._suffices():
            return
        self.is_cut_off = True
        data_centres = {failed.data_centre for failed in self.list_unreached()}
        write_event(
            "upstreams_cut_off",
            unreached=len(self._unreached),
            data_centres=len(data_centres),
            announced=len(self.directory),
        )
        self.on_change()

    def record_lost(self) -> None:
        """Record that a connection ended or timed out before the answer."""
        self._exchange_lost = True

    def record_closed_at_once(self, record: UpstreamRecord, now: float) -> None:
        """Record that an upstream closed a new connection, which may be due to load."""
        if now - self._answered_at > ANSWER_MEMORY_S:
            self.record_unreached(record, now)

    def _remove_outdated(self, now: float) -> None:
        if self.is_cut_off:
            return
        self._unreached = {
            name: (record, failed_at)
            for name, (record, failed_at) in self._unreached.items()
            if now - failed_at < FAILURE_MEMORY_S
        }
        self._first_unreached_at = min(
            (failed_at for _, failed_at in self._unreached.values()),
            default=float("inf"),
        )

    def _suffices(self) -> bool:
        announced = list(self.directory)
        data_centres = {record.data_centre for record in announced}
        failed = self.list_unreached()
        failed_data_centres = {record.data_centre for record in failed}
        # A single upstream doesn't tell its own failure from that of the way to it.
        enough = max(2, min(MIN_UNREACHED, len(announced)))
        enough_data_centres = min(MIN_DATA_CENTRES, len(data_centres))
        return len(failed) >= enough and len(failed_data_centres) >= enough_data_centres


def _ignore() -> None:
    pass
