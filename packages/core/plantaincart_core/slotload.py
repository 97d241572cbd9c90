"""Recent load of each hash slot of a service."""

from math import exp2, log

__all__ = ["SlotLoads"]

# Half-lives after which the stored values are rescaled, long before they overflow.
MAX_HALF_LIVES = 500.0
# Mean number of requests in flight below which the load of a slot is discarded.
MIN_LOAD = 1e-9


class SlotLoads:
    """
    Load of each hash slot, as an exponentially decaying mean.

    Parameters
    ----------
    half_life_s : float
        Seconds after which the weight of a request is halved.

    Notes
    -----
    Request times are stored with a weight that grows with time (forward decay), so
    that recording a request changes one slot only; the values are scaled when they
    are read [1]_.

    References
    ----------
    .. [1] Cormode, Shkapenyuk, Srivastava, Xu (2009). Forward decay: a practical
       time decay model for streaming systems. ICDE 2009, 138-149.

    Examples
    --------
    >>> load = SlotLoads(half_life_s=10.0)
    >>> for second in range(100):
    ...     load.record(7, work_s=0.5, now=float(second))
    >>> round(load.compute_loads(now=99.0)[7], 1)
    0.5
    """

    def __init__(self, half_life_s: float) -> None:
        self.half_life_s = half_life_s
        self._origin: float | None = None
        self._weighted_work: dict[int, float] = {}

    def record(self, slot: int, work_s: float, now: float) -> None:
        """
        Record one request.

        Parameters
        ----------
        slot : int
            Hash slot of the request's key.
        work_s : float
            Seconds for which an upstream ran the request.
        now : float
            Present time in seconds.
        """
        if self._origin is None:
            self._origin = now
        half_lives = (now - self._origin) / self.half_life_s
        if half_lives > MAX_HALF_LIVES:
            self._rescale(now)
            half_lives = 0.0
        weighted_work = work_s * exp2(half_lives)
        self._weighted_work[slot] = self._weighted_work.get(slot, 0.0) + weighted_work

    def compute_loads(self, now: float) -> dict[int, float]:
        """
        Compute the load of each slot that has had requests.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        dict of int to float
            Mean number of requests in flight, for each slot.
        """
        if self._origin is None:
            return {}
        scale = exp2((self._origin - now) / self.half_life_s)
        scale *= log(2.0) / self.half_life_s
        return {slot: value * scale for slot, value in self._weighted_work.items()}

    def _rescale(self, now: float) -> None:
        per_load = self.half_life_s / log(2.0)
        self._weighted_work = {
            slot: load * per_load
            for slot, load in self.compute_loads(now).items()
            if load >= MIN_LOAD
        }
        self._origin = now
