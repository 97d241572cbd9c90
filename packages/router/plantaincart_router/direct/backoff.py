"""Upstreams that have asked this instance not to send requests for some time."""

from collections.abc import Iterable
from dataclasses import dataclass

from plantaincart_core.directory import UpstreamRecord

__all__ = ["UpstreamBackoffs"]

# Minimum length in seconds of a backoff that the coordinator is told. Moving keys takes
# about a second, and most would move back after the backoff.
MIN_LONG_BACKOFF_S = 3.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Backoff:
    """
    Time in which an upstream must not get requests.

    Parameters
    ----------
    ends_at : float
        End as a time in seconds.
    length_s : float
        Length in seconds, as requested by the upstream.
    """

    ends_at: float
    length_s: float


class UpstreamBackoffs:
    """
    Records until when upstreams must not get requests, as requested by Retry-After.

    Notes
    -----
    A backoff applies to one process of an upstream, and only to callers' requests:
    without grants, renewals and releases, keys could neither stay with the upstream nor
    leave it. The latest end counts, whatever the upstream answers meanwhile to earlier
    requests.

    Examples
    --------
    >>> backoffs = UpstreamBackoffs()
    >>> record = UpstreamRecord(
    ...     id="u1", born=5, service="desk", host="127.0.0.1", port=80,
    ...     data_centre="a", slots=2, ready=True, warmup_left_s=0.0)
    >>> backoffs.record(record, retry_after_s=2.0, now=10.0)
    >>> backoffs.record(record, retry_after_s=0.5, now=10.5)
    >>> backoffs.remaining_s(record, now=11.0)
    1.0
    >>> backoffs.remaining_s(record, now=12.0)
    0.0
    """

    def __init__(self) -> None:
        self._backoffs: dict[tuple[str, int], Backoff] = {}

    def record(self, record: UpstreamRecord, retry_after_s: float, now: float) -> None:
        """Record that an upstream rejected a request with a Retry-After."""
        self._backoffs = {
            process: backoff
            for process, backoff in self._backoffs.items()
            if backoff.ends_at > now
        }
        process = (record.id, record.born)
        new = Backoff(ends_at=now + retry_after_s, length_s=retry_after_s)
        present = self._backoffs.get(process, new)
        self._backoffs[process] = max(present, new, key=lambda backoff: backoff.ends_at)

    def remaining_s(self, record: UpstreamRecord, now: float) -> float:
        """Return the seconds until an upstream may get requests again."""
        backoff = self._backoffs.get((record.id, record.born))
        return 0.0 if backoff is None else max(0.0, backoff.ends_at - now)

    def list_long(self, records: Iterable[UpstreamRecord], now: float) -> list[str]:
        """
        List the upstreams that have asked for so long a time that keys should move.

        Parameters
        ----------
        records : iterable of UpstreamRecord
            The present processes of the upstreams.
        now : float
            Present time in seconds.

        Returns
        -------
        list of str
            Ids of the upstreams.
        """
        if not self._backoffs:
            return []
        return [
            record.id
            for record in records
            if self.remaining_s(record, now) > 0.0
            and self._backoffs[record.id, record.born].length_s >= MIN_LONG_BACKOFF_S
        ]
