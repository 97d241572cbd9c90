"""Upstreams that have asked this instance not to send requests for some time."""

from plantaincart_core.directory import UpstreamRecord

__all__ = ["UpstreamBackoffs"]


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
        self._ends_at: dict[tuple[str, int], float] = {}

    def record(self, record: UpstreamRecord, retry_after_s: float, now: float) -> None:
        """Record that an upstream rejected a request with a Retry-After."""
        self._ends_at = {
            process: ends_at
            for process, ends_at in self._ends_at.items()
            if ends_at > now
        }
        process = (record.id, record.born)
        ends_at = self._ends_at.get(process, now)
        self._ends_at[process] = max(ends_at, now + retry_after_s)

    def remaining_s(self, record: UpstreamRecord, now: float) -> float:
        """Return the seconds until an upstream may get requests again."""
        ends_at = self._ends_at.get((record.id, record.born), now)
        return max(0.0, ends_at - now)
