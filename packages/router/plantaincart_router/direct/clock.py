"""The clock that goes on while the machine is suspended."""

from time import CLOCK_BOOTTIME, clock_gettime, monotonic

from plantaincart_router.log import write_event

__all__ = ["SuspensionMonitor", "read_boot_time"]

# Suspensions shorter than this, in seconds, aren't noticed: the two clocks are read one
# after the other, and the process may wait for the processor between them.
MIN_SUSPENSION_S = 0.05


def read_boot_time() -> float:
    """
    Return the time since the machine was started.

    Returns
    -------
    float
        Seconds. Unlike those of `time.monotonic`, they include suspensions, in which
        other instances may have acted.
    """
    return clock_gettime(CLOCK_BOOTTIME)


class SuspensionMonitor:
    """
    Notices suspensions of the machine, by two clocks of which one stands still then.

    Examples
    --------
    >>> SuspensionMonitor().measure_suspension()
    0.0
    """

    def __init__(self) -> None:
        self._offset_s = read_boot_time() - monotonic()

    def measure_suspension(self) -> float:
        """Return the seconds of suspension since the last call."""
        offset_s = read_boot_time() - monotonic()
        suspended_s = offset_s - self._offset_s
        if suspended_s < MIN_SUSPENSION_S:
            return 0.0
        self._offset_s = offset_s
        write_event("machine_suspended", seconds=round(suspended_s, 2))
        return suspended_s
