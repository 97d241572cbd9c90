"""Interface to those who learn of the silence of upstreams."""

from abc import ABC, abstractmethod

from plantaincart_core.directory import UpstreamRecord

__all__ = ["SilenceListener"]


class SilenceListener(ABC):
    """Learns how many requests an upstream had when it fell silent."""

    @abstractmethod
    def record_silent(self, record: UpstreamRecord, in_flight: float) -> None:
        """
        Record that an upstream didn't take a request.

        Parameters
        ----------
        record : UpstreamRecord
            Process of the upstream.
        in_flight : float
            Estimated requests of all instances there when the request was sent,
            without it: its room at that moment was at most this.
        """
