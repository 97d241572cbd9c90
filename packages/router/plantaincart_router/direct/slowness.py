"""Mean slowness of upstreams over the measurements of all instances."""

from collections.abc import Mapping
from statistics import median

__all__ = ["SlownessTracker"]

# Weight of a new measurement in the mean.
SMOOTHING = 0.15
# Minimum median by which slowness is divided.
MIN_MEDIAN = 0.1


class SlownessTracker:
    """
    Exponential mean of the slowness of each upstream.

    Examples
    --------
    >>> tracker = SlownessTracker()
    >>> for _ in range(50):
    ...     tracker.record({"u1": 4.0, "u2": 2.0, "u3": 2.0})
    >>> tracker.compare({"u1": "desk", "u2": "desk", "u3": "desk"})
    {'u1': 2.0, 'u2': 1.0, 'u3': 1.0}
    """

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def record(self, ratios: Mapping[str, float]) -> None:
        """Add the measurements of one instance, by upstream."""
        for upstream, ratio in ratios.items():
            mean = self._means.get(upstream, 1.0)
            self._means[upstream] = mean + SMOOTHING * (ratio - mean)

    def compare(self, services: Mapping[str, str]) -> dict[str, float]:
        """
        Divide each upstream's slowness by the median of its service.

        Parameters
        ----------
        services : mapping of str to str
            Service by upstream. Other upstreams are omitted.

        Returns
        -------
        dict of str to float
            Slowness by upstream.
        """
        by_service: dict[str, dict[str, float]] = {}
        for upstream, value in self._means.items():
            service = services.get(upstream)
            if service is not None:
                by_service.setdefault(service, {})[upstream] = value
        return {
            upstream: round(value / max(median(values.values()), MIN_MEDIAN), 2)
            for values in by_service.values()
            for upstream, value in values.items()
        }
