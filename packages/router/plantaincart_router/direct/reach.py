"""Which upstreams this instance couldn't connect to a moment ago."""

from plantaincart_core.directory import UpstreamRecord

__all__ = ["ConnectFailures"]

# Seconds after a failed connection in which no other request tries the upstream, and
# the longest such time after several failures in a row. An upstream that is back is
# noticed within the longer one.
FIRST_PAUSE_S = 0.25
LONGEST_PAUSE_S = 1.0
# Seconds after a connection was closed at once in which nothing is sent on a new one
# before it has stayed open: an upstream's queue, which goes with that, lasts for some.
DOUBT_S = 3.0


class ConnectFailures:
    """
    Remembers failed connections, so that requests don't each wait for their own.

    An upstream that closes new connections at once, since it has too many, counts as
    one that couldn't be connected to.

    Notes
    -----
    After the pause one request is let through, and the next pause begins with it:
    the others learn from what becomes of that one.

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
        self._failures: dict[tuple[str, int], int] = {}
        self._paused_until: dict[tuple[str, int], float] = {}
        self._closed_at: dict[tuple[str, int], float] = {}

    def record_failure(self, record: UpstreamRecord, now: float) -> None:
        """Note that a connection couldn't be opened."""
        who = (record.id, record.born)
        self._failures[who] = self._failures.get(who, 0) + 1
        self._paused_until[who] = now + self._choose_pause(who)

    def record_closed_at_once(self, record: UpstreamRecord, now: float) -> None:
        """Note that a new connection ended as soon as something was sent on it."""
        self._closed_at[record.id, record.born] = now
        self.record_failure(record, now)

    def record_success(self, record: UpstreamRecord) -> None:
        """Note that a connection was opened."""
        who = (record.id, record.born)
        if self._failures.pop(who, None) is not None:
            self._paused_until.pop(who, None)

    def remove(self, record: UpstreamRecord) -> None:
        """Drop what is known of an upstream that has gone."""
        self.record_success(record)
        self._closed_at.pop((record.id, record.born), None)

    def begin_attempt(self, record: UpstreamRecord, now: float) -> None:
        """Let others wait while a request tries an upstream that had failed."""
        who = (record.id, record.born)
        if who in self._failures:
            self._paused_until[who] = now + self._choose_pause(who)

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
            Whether the last connection failed, or one was closed at once lately.

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
        who = (record.id, record.born)
        closed_at = self._closed_at.get(who, float("-inf"))
        return who in self._failures or now - closed_at < DOUBT_S

    def retry_delay_s(self, record: UpstreamRecord, now: float) -> float:
        """Return the seconds until the upstream should be tried again."""
        until = self._paused_until.get((record.id, record.born))
        return 0.0 if until is None else round(max(0.0, until - now), 3)

    def _choose_pause(self, who: tuple[str, int]) -> float:
        doublings = min(self._failures[who] - 1, 4)
        return min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2.0**doublings)
