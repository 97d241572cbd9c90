"""Bound on the requests that one instance sends to a cold upstream."""

from collections import deque

from plantaincart_router.direct.settings import BoundSettings

__all__ = ["ColdGate"]

WINDOW_S = 1.0
# Part of the bound that is used; the rest is for requests that arrive bunched.
USED_PART = 0.7


class ColdGate:
    """
    Count requests to cold upstreams and share their bound out among instances.

    Parameters
    ----------
    bounds : BoundSettings
        What a cold upstream may get beyond its announced rate.

    Notes
    -----
    Where the bound gives an instance less than one request a second, a request is
    let through as often as the share says.

    Examples
    --------
    >>> gate = ColdGate(BoundSettings(cold_ratio=1.0, cold_extra=0.0))
    >>> gate.has_room("u1", 10.0, 2, now=0.0)
    True
    >>> for _ in range(3):
    ...     gate.record("u1", now=0.0)
    >>> gate.has_room("u1", 10.0, 2, now=0.5), gate.has_room("u1", 10.0, 2, now=1.5)
    (False, True)
    """

    def __init__(self, bounds: BoundSettings) -> None:
        self._bounds = bounds
        self._sent: dict[str, deque[float]] = {}

    def record(self, upstream: str, now: float) -> None:
        """Count a request."""
        sent = self._sent.setdefault(upstream, deque(maxlen=64))
        sent.append(now)

    def has_room(self, upstream: str, rate: float, instances: int, now: float) -> bool:
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
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether this instance may send one.
        """
        bounds = self._bounds
        total = (rate * bounds.cold_ratio + bounds.cold_extra) * USED_PART
        share = total / max(1, instances)
        sent = self._sent.get(upstream)
        if not sent:
            return True
        if share < 1.0:
            return now - sent[-1] >= WINDOW_S / share
        recent = sum(1 for at in sent if now - at < WINDOW_S)
        return recent + 1 <= share
