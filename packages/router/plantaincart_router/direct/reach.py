"""Which upstreams this instance couldn't connect to a moment ago."""

from plantaincart_core.directory import UpstreamRecord

__all__ = ["ReachBook"]

# Seconds after a failed connection in which no other request tries the upstream, and
# the longest such time after several failures in a row. An upstream that is back is
# noticed within the longer one.
FIRST_PAUSE_S = 0.25
LONGEST_PAUSE_S = 1.0
# Seconds after a connection was closed at once in which nothing is sent on a new one
# before it has stayed open: an upstream's queue, which goes with that, lasts for some.
DOUBT_S = 3.0


class ReachBook:
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
    >>> book = ReachBook()
    >>> record = UpstreamRecord(
    ...     id="u1", born=5, service="desk", host="127.0.0.1", port=80,
    ...     data_centre="a", slots=2, ready=True, warmup_left_s=0.0)
    >>> book.note_failure(record, now=10.0)
    >>> book.left_s(record, now=10.1)
    0.15
    >>> book.left_s(record, now=10.3)
    0.0
    >>> book.begin_attempt(record, now=10.3)
    >>> book.left_s(record, now=10.4) > 0.0
    True
    >>> book.note_success(record)
    >>> book.left_s(record, now=10.4)
    0.0
    """

    def __init__(self) -> None:
        self._failures: dict[tuple[str, int], int] = {}
        self._paused_until: dict[tuple[str, int], float] = {}
        self._closed_at: dict[tuple[str, int], float] = {}

    def note_failure(self, record: UpstreamRecord, now: float) -> None:
        """Note that a connection couldn't be opened."""
        who = (record.id, record.born)
        self._failures[who] = self._failures.get(who, 0) + 1
        self._paused_until[who] = now + self._choose_pause(who)

    def note_closed_at_once(self, record: UpstreamRecord, now: float) -> None:
        """Note that a new connection ended as soon as something was sent on it."""
        self._closed_at[record.id, record.born] = now
        self.note_failure(record, now)

    def note_success(self, record: UpstreamRecord) -> None:
        """Note that a connection was opened."""
        who = (record.id, record.born)
        if self._failures.pop(who, None) is not None:
            self._paused_until.pop(who, None)

    def forget(self, record: UpstreamRecord) -> None:
        """Drop what is known of an upstream that has gone."""
        self.note_success(record)
        self._closed_at.pop((record.id, record.born), None)

    def begin_attempt(self, record: UpstreamRecord, now: float) -> None:
        """Let others wait while a request tries an upstream that had failed."""
        who = (record.id, record.born)
        if who in self._failures:
            self._paused_until[who] = now + self._choose_pause(who)

    def is_doubtful(self, record: UpstreamRecord, now: float) -> bool:
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
        >>> book = ReachBook()
        >>> record = UpstreamRecord(
        ...     id="u1", born=5, service="desk", host="127.0.0.1", port=80,
        ...     data_centre="a", slots=2, ready=True, warmup_left_s=0.0)
        >>> book.note_closed_at_once(record, now=10.0)
        >>> book.note_success(record)
        >>> book.is_doubtful(record, now=12.9), book.is_doubtful(record, now=13.1)
        (True, False)
        """
        who = (record.id, record.born)
        closed_at = self._closed_at.get(who, float("-inf"))
        return who in self._failures or now - closed_at < DOUBT_S

    def left_s(self, record: UpstreamRecord, now: float) -> float:
        """Return the seconds until the upstream should be tried again."""
        until = self._paused_until.get((record.id, record.born))
        return 0.0 if until is None else round(max(0.0, until - now), 3)

    def _choose_pause(self, who: tuple[str, int]) -> float:
        doublings = min(self._failures[who] - 1, 4)
        return min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2.0**doublings)
