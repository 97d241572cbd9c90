"""Limit on the requests that one instance sends to a cold upstream."""

from collections import deque
from collections.abc import Sequence
from zlib import crc32

from plantaincart_core.fleetdivision import FleetDivision

from plantaincart_router.direct.settings import BoundSettings

__all__ = ["ColdUpstreamLimiter"]

# Slightly longer than one second, since requests that were sent a second apart may
# arrive closer together.
WINDOW_S = 1.1
# Fraction of the limit that is used; the rest is reserved for instances that just
# joined. Requests with a key may use more, since no other upstream can run them.
USED_SHARE = 0.8
KEYED_USED_SHARE = 0.95


class ColdUpstreamLimiter:
    """
    Counts requests to cold upstreams, and divides their limit among the instances.

    Parameters
    ----------
    bounds : BoundSettings
        Factor and excess by which an upstream's announced rate may be exceeded.

    Notes
    -----
    Each instance may send a whole number of requests per second. If there are more
    instances than requests, only some instances may send to a given upstream. While a
    division of the limit replaces another, an instance may send what both allow.

    Examples
    --------
    >>> limiter = ColdUpstreamLimiter(BoundSettings(cold_ratio=1.0, cold_extra=0.0))
    >>> divisions = [FleetDivision(members=2, rank=0)]
    >>> limiter.allows_request("u1", 10.0, divisions, keyed=False, now=0.0)
    True
    >>> for _ in range(4):
    ...     limiter.record("u1", now=0.0)
    >>> limiter.allows_request("u1", 10.0, divisions, keyed=False, now=0.5)
    False
    >>> limiter.allows_request("u1", 10.0, divisions, keyed=False, now=1.5)
    True
    """

    def __init__(self, bounds: BoundSettings) -> None:
        self._bounds = bounds
        self._send_times: dict[str, deque[float]] = {}

    def record(self, upstream: str, now: float) -> None:
        """Count a request to an upstream."""
        if upstream not in self._send_times:
            self._forget_idle(now)
        send_times = self._send_times.setdefault(upstream, deque())
        while send_times and now - send_times[0] >= WINDOW_S:
            send_times.popleft()
        send_times.append(now)

    def allows_request(
        self,
        upstream: str,
        rate: float,
        divisions: Sequence[FleetDivision],
        keyed: bool,
        now: float,
    ) -> bool:
        """
        Return whether a cold upstream may get another request from this instance.

        Parameters
        ----------
        upstream : str
            Id of the upstream.
        rate : float
            Requests per second that the upstream announces for its warm-up.
        divisions : sequence of FleetDivision
            Divisions of the limit that may be in force at some instance; at least one.
        keyed : bool
            Whether the request has a key, so that no other upstream can run it.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether this instance may send it.
        """
        used_share = KEYED_USED_SHARE if keyed else USED_SHARE
        bounds = self._bounds
        total = int((rate * bounds.cold_ratio + bounds.cold_extra) * used_share)
        salt = crc32(upstream.encode())
        allowed = min(division.find_share(total, salt) for division in divisions)
        send_times = self._send_times.get(upstream, ())
        return sum(1 for at in send_times if now - at < WINDOW_S) < allowed

    def _forget_idle(self, now: float) -> None:
        self._send_times = {
            upstream: send_times
            for upstream, send_times in self._send_times.items()
            if now - send_times[-1] < WINDOW_S
        }
