"""Service times of an upstream stand-in."""

from math import exp, inf
from random import Random

from plantaincart_testing.upstream_settings import UpstreamSettings
from plantaincart_testing.warmth import Warmth

__all__ = ["ServiceTimes"]


class ServiceTimes:
    """
    Draws lognormal service times, longer while slow, cold or collapsed.

    Parameters
    ----------
    settings : UpstreamSettings
        Mean service times, spread and seed.
    """

    def __init__(self, settings: UpstreamSettings) -> None:
        self._settings = settings
        self._random = Random(f"{settings.seed}/{settings.name}")
        self._slow_factor = 1.0
        self._slow_until = inf

    def set_slowdown(self, factor: float, for_s: float, now: float) -> None:
        """
        Multiply all service times by a factor for a limited time.

        Parameters
        ----------
        factor : float
            Factor on service times.
        for_s : float
            Seconds for which the factor applies; 0 for no limit.
        now : float
            Current time in seconds.
        """
        self._slow_factor = factor
        self._slow_until = now + for_s if for_s > 0 else inf

    def draw(self, is_idempotent: bool, warmth: Warmth, now: float) -> float:
        """
        Draw the service time of a request whose execution begins.

        Parameters
        ----------
        is_idempotent : bool
            Whether the request is idempotent.
        warmth : Warmth
            Warm-up state of the upstream.
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Service time in seconds.
        """
        settings = self._settings
        mean_s = settings.lookup_s if is_idempotent else settings.write_s
        spread = settings.spread
        scale = exp(self._random.gauss(0.0, spread) - spread * spread / 2)
        slow_factor = self._slow_factor if now < self._slow_until else 1.0
        return mean_s * scale * slow_factor * warmth.find_service_time_factor(now)
