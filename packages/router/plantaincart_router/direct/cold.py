"""Bound on the requests that one instance sends to a cold upstream."""

from collections import deque
from zlib import crc32

from plantaincart_router.direct.settings import BoundSettings

__all__ = ["ColdUpstreamLimiter"]

# A little more than the second over which requests are counted, since those sent a
# second apart may arrive closer together.
WINDOW_S = 1.1
# Part of the bound that is used; the rest is for instances that just joined.
# Requests with a key have nowhere else to go.
USED_PART = 0.8
KEYED_USED_PART = 0.95
KEPT_TIMES = 64


class ColdUpstreamLimiter:
    """
    Count requests to cold upstreams and share their bound out among instances.

    Parameters
    ----------
    bounds : BoundSettings
        What a cold upstream may get beyond its announced rate.

    Notes
    -----
    Each instance gets a whole number of requests a second. Where there are more
    instances than requests, each upstream has a few instances that may send to it.

    Examples
    --------
    >>> limiter = ColdUpstreamLimiter(BoundSettings(cold_ratio=1.0, cold_extra=0.0))
    >>> limiter.allows_request("u1", 10.0, instances=2, rank=0, keyed=False, now=0.0)
    True
    >>> for _ in range(4):
    ...     limiter.record("u1", now=0.0)
    >>> limiter.allows_request("u1", 10.0, instances=2, rank=0, keyed=False, now=0.5)
    False
    >>> limiter.allows_request("u1", 10.0, instances=2, rank=0, keyed=False, now=1.5)
    True
    """

    def __init__(self, bounds: BoundSettings) -> None:
        self._bounds = bounds
        self._sent: dict[str, deque[float]] = {}

    def record(self, upstream: str, now: float) -> None:
        """Count a request."""
        sent = self._sent.setdefault(upstream, deque(maxlen=KEPT_TIMES))
        sent.append(now)

    def allows_request(
        self,
        upstream: str,
        rate: float,
        instances: int,
        rank: int | None,
        keyed: bool,
        now: float,
    ) -> bool:
        """
        Say whether a cold upstream may get another request.

        Parameters
        ----------
        upstream : str
            Its identity.
        rate : float
            Requests a second that it bears.
        instances : int
            Instances that share the bound.
        rank : int or None
            Place of this instance among them; None if that isn't known.
        keyed : bool
            Whether the request can go nowhere else.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether this instance may send one.
        """
        used_part = KEYED_USED_PART if keyed else USED_PART
        allowed = self._share(upstream, rate, used_part, instances, rank)
        sent = self._sent.get(upstream, ())
        return sum(1 for at in sent if now - at < WINDOW_S) < allowed

    def _share(
        self,
        upstream: str,
        rate: float,
        used_part: float,
        instances: int,
        rank: int | None,
    ) -> int:
        if rank is None:
            return 0
        bounds = self._bounds
        total = int((rate * bounds.cold_ratio + bounds.cold_extra) * used_part)
        place = (rank + crc32(upstream.encode())) % instances
        return total // instances + (1 if place < total % instances else 0)
