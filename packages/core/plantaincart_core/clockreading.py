"""Readings of an upstream's clock."""

from dataclasses import dataclass

__all__ = ["ClockReading"]


@dataclass(frozen=True, kw_only=True)
class ClockReading:
    """
    A reading of an upstream's clock.

    Parameters
    ----------
    clock_ms : int
        The upstream's monotonic clock in milliseconds.
    sent_at, received_at : float
        Times on the leader's clock in seconds, before the reading was requested and
        after the answer was received; the upstream read its clock between them.
    """

    clock_ms: int
    sent_at: float
    received_at: float
