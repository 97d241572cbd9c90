"""Upstreams to which connections of this instance failed recently."""

from plantaincart_core.directory import UpstreamRecord

__all__ = ["ConnectFailures"]

# Seconds after a failed connection for which no other request connects to the upstream,
# and the maximum of this time after several failures in a row. An upstream that is
# reachable again is noticed within the maximum.
FIRST_RETRY_DELAY_S = 0.25
MAX_RETRY_DELAY_S = 1.0
# Seconds after an upstream closed a connection at once for which a new connection must
# stay open for a moment before a request is sent on it. The queue that goes along with
# too many connections lasts for some seconds.
CLOSED_AT_ONCE_MEMORY_S = 3.0


class ConnectFailures:
    """
    Records failed connections, so that other requests needn't wait for a failure.

    An upstream that closes new connections at once, because it has too many, is treated
    like one to which no connection can be opened.

    Notes
    -----
    After the delay one request may connect, and the next delay starts at once, so that
    the result of this attempt is known before other requests connect.

    Examples
    --------
    >>> failures = ConnectFailures()
    >>> record = UpstreamRecord(
    ...     id="u1", born=5, service="desk", host="127.0.0.1", port=80,
    ...     data_centre="a", slots=2, ready=True, warmup_left_s=0.0)
    >>> failures.record_failure(record, now=10.0)
    >>> failures.retry_delay_s(record, now=10.1)
    0.15
    >>> failures.retry_delay_s(record, now=10.3)
    0.0
    >>> failures.begin_attempt(record, now=10.3)
    >>> failures.retry_delay_s(record, now=10.4) > 0.0
    True
    >>> failures.record_success(record)
    >>> failures.retry_delay_s(record, now=10.4)
    0.0
    """

    def __init__(self) -> None:
        self._failure_counts: dict[tuple[str, int], int] = {}
        self._next_attempt_at: dict[tuple[str, int], float] = {}
        self._closed_at: dict[tuple[str, int], float] = {}

    def record_failure(self, record: UpstreamRecord, now: float) -> None:
        """Record that a connection couldn't be opened."""
        process = (record.id, record.born)
        self._failure_counts[process] = self._failure_counts.get(process, 0) + 1
        self._next_attempt_at[process] = now + self._choose_retry_delay(process)

    def record_closed_at_once(self, record: UpstreamRecord, now: float) -> None:
        """Record that an upstream closed a new connection at once."""
        self._closed_at[record.id, record.born] = now
        self.record_failure(record, now)

    def record_success(self, record: UpstreamRecord) -> None:
        """Record that a connection was opened."""
        process = (record.id, record.born)
        if self._failure_counts.pop(process, None) is not None:
            self._next_attempt_at.pop(process, None)

    def remove(self, record: UpstreamRecord) -> None:
        """Remove the state of an upstream that is gone."""
        self.record_success(record)
        self._closed_at.pop((record.id, record.born), None)

    def clear(self) -> None:
        """Remove all failures; upstreams that close connections at once stay known."""
        self._failure_counts.clear()
        self._next_attempt_at.clear()

    def begin_attempt(self, record: UpstreamRecord, now: float) -> None:
        """Make other requests wait while one connects to a failed upstream."""
        process = (record.id, record.born)
        if process in self._failure_counts:
            self._next_attempt_at[process] = now + self._choose_retry_delay(process)

    def may_close_at_once(self, record: UpstreamRecord, now: float) -> bool:
        """
        Whether a new connection to an upstream may be closed at once.

        Parameters
        ----------
        record : UpstreamRecord
            The upstream.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether the last connection failed, or one was recently closed at once.

        Examples
        --------
        >>> failures = ConnectFailures()
        >>> record = UpstreamRecord(
        ...     id="u1", born=5, service="desk", host="127.0.0.1", port=80,
        ...     data_centre="a", slots=2, ready=True, warmup_left_s=0.0)
        >>> failures.record_closed_at_once(record, now=10.0)
        >>> failures.record_success(record)
        >>> (failures.may_close_at_once(record, now=12.9),
        ...  failures.may_close_at_once(record, now=13.1))
        (True, False)
        """
        process = (record.id, record.born)
        closed_at = self._closed_at.get(process, float("-inf"))
        return (
            process in self._failure_counts or now - closed_at < CLOSED_AT_ONCE_MEMORY_S
        )

    def retry_delay_s(self, record: UpstreamRecord, now: float) -> float:
        """Return the seconds until the next attempt to connect to the upstream."""
        next_attempt_at = self._next_attempt_at.get((record.id, record.born))
        return (
            0.0
            if next_attempt_at is None
            else round(max(0.0, next_attempt_at - now), 3)
        )

    def _choose_retry_delay(self, process: tuple[str, int]) -> float:
        doublings = min(self._failure_counts[process] - 1, 4)
        return min(MAX_RETRY_DELAY_S, FIRST_RETRY_DELAY_S * 2.0**doublings)
