"""Detection of a slowdown of an upstream, for example because it has become cold."""

from dataclasses import dataclass
from math import log

__all__ = ["SlownessDetector"]

# Multiple of the usual latency above which a latency increases the cumulative sum.
SLOW_RATIO = 1.7
# Greatest increase of the sum by one answer, and the sum at which a slowdown is
# detected; so at least three answers are needed.
MAX_INCREMENT = 0.75
DETECTION_THRESHOLD = 2.0
# Lower latencies never increase the sum.
SLOW_FLOOR_S = 0.02
# Least weight of a new latency in the usual latency.
USUAL_WEIGHT = 1 / 256


class SlownessDetector:
    """
    Detect that an upstream's answers take much longer than usual.

    Notes
    -----
    The detector keeps a cumulative sum (CUSUM) of the logarithm of the latency divided
    by the usual latency, less a reference value [1]_. The usual latency is averaged
    separately for idempotent and for other requests. After a detection half of the
    threshold remains in the sum, so that a slowdown that persists is soon detected
    again.

    References
    ----------
    .. [1] Page (1954). Continuous inspection schemes. Biometrika 41, 100-115.

    Examples
    --------
    >>> detector = SlownessDetector()
    >>> latencies = [0.05] * 20 + [0.2] * 4
    >>> [detector.record(latency_s, True) for latency_s in latencies].index(True)
    22
    """

    def __init__(self) -> None:
        self._usual = {True: _Mean(), False: _Mean()}
        self._cumulative = 0.0

    def record(self, latency_s: float, idempotent: bool) -> bool:
        """
        Record the latency of an answer.

        Parameters
        ----------
        latency_s : float
            Seconds from dispatch to the whole answer.
        idempotent : bool
            Whether the request was idempotent.

        Returns
        -------
        bool
            Whether a slowdown was detected with this answer.
        """
        usual = self._usual[idempotent]
        bound = max(SLOW_FLOOR_S, SLOW_RATIO * usual.value)
        increment = log(max(latency_s, 1e-6) / bound) if usual.count else 0.0
        usual.record(latency_s)
        self._cumulative = max(0.0, self._cumulative + min(MAX_INCREMENT, increment))
        if self._cumulative < DETECTION_THRESHOLD:
            return False
        self._cumulative = DETECTION_THRESHOLD / 2
        return True


@dataclass
class _Mean:
    """Mean of the first latencies, which then turns into a moving average."""

    value: float = 0.0
    count: int = 0

    def record(self, latency_s: float) -> None:
        self.count += 1
        weight = max(USUAL_WEIGHT, 1 / self.count)
        self.value += weight * (latency_s - self.value)
