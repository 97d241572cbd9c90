"""Limits on the requests that all instances together may have at an upstream."""

from abc import ABC, abstractmethod

from plantaincart_core.directory import UpstreamRecord

__all__ = ["CapacitySource"]


class CapacitySource(ABC):
    """Knows how many requests an upstream bears, for a reason of its own."""

    @abstractmethod
    def find_limit(self, record: UpstreamRecord, now: float) -> float | None:
        """
        Return the requests that all instances together may have at an upstream.

        Parameters
        ----------
        record : UpstreamRecord
            Process of the upstream.
        now : float
            Present time in seconds.

        Returns
        -------
        float or None
            Number of requests, running and waiting; None if this source sets no limit.
        """
