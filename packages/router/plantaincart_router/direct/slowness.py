"""How slow upstreams are by the measurements of all instances."""

from collections.abc import Mapping
from statistics import median

__all__ = ["SlownessTracker"]

# Part of a new measurement in the mean.
WEIGHT = 0.15
# Least median that slowness is related to.
LEAST_MEDIAN = 0.1


class SlownessTracker:
    """
    Mean slowness of each upstream.

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
        """Take what one instance measured, by upstream."""
        for upstream, ratio in ratios.items():
            known = self._means.get(upstream, 1.0)
            self._means[upstream] = known + WEIGHT * (ratio - known)

    def compare(self, services: Mapping[str, str]) -> dict[str, float]:
        """
        Relate each upstream's slowness to the median of its service.

        Parameters
        ----------
        services : mapping of str to str
            Service by upstream; others are left out.

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
            upstream: round(value / max(median(values.values()), LEAST_MEDIAN), 2)
            for values in by_service.values()
            for upstream, value in values.items()
        }
