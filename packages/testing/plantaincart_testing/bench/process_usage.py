"""Processor time and memory use of processes."""

from collections.abc import Iterable
from dataclasses import dataclass
from time import monotonic

from psutil import Process

__all__ = ["ProcessUsage", "UsageMeter"]

_BYTES_PER_MB = 1_000_000


@dataclass(frozen=True, kw_only=True)
class ProcessUsage:
    """
    Mean resource use of a group of processes.

    Parameters
    ----------
    cpu_s : float
        Processor time per process in seconds.
    core_share : float
        Processor time per process divided by elapsed time.
    memory_mb : float
        Resident memory per process in MB at the time of reading.
    """

    cpu_s: float
    core_share: float
    memory_mb: float


class UsageMeter:
    """
    Measures the resource use of processes from its creation on.

    Parameters
    ----------
    pids : iterable of int
        Ids of running processes.
    """

    def __init__(self, pids: Iterable[int]) -> None:
        self._processes = [Process(pid) for pid in pids]
        self._began_at = monotonic()
        self._initial_cpu_s = self._sum_cpu()

    def read(self) -> ProcessUsage:
        """Return the mean use per process since the meter was created."""
        process_count = len(self._processes)
        elapsed_s = monotonic() - self._began_at
        cpu_s = (self._sum_cpu() - self._initial_cpu_s) / process_count
        memory_bytes = (
            sum(process.memory_info().rss for process in self._processes)
            / process_count
        )
        return ProcessUsage(
            cpu_s=cpu_s,
            core_share=cpu_s / elapsed_s,
            memory_mb=memory_bytes / _BYTES_PER_MB,
        )

    def _sum_cpu(self) -> float:
        all_cpu_times = [process.cpu_times() for process in self._processes]
        return float(
            sum(cpu_times.user + cpu_times.system for cpu_times in all_cpu_times)
        )
