"""Description of the machine and of the code version that are measured."""

from dataclasses import dataclass
from os import getloadavg
from pathlib import Path
from shutil import which
from subprocess import run

from psutil import cpu_count, virtual_memory

__all__ = ["Machine", "describe_machine", "read_commit"]

_BYTES_PER_GIB = 1 << 30


@dataclass(frozen=True, kw_only=True)
class Machine:
    """
    Machine that a benchmark runs on.

    Parameters
    ----------
    cores : int
        Number of logical processors.
    memory_gib : float
        Physical memory in GiB.
    load_average : float
        One-minute load average before the run.
    """

    cores: int
    memory_gib: float
    load_average: float


def describe_machine() -> Machine:
    """Return the size and the current load of this machine."""
    return Machine(
        cores=cpu_count() or 0,
        memory_gib=round(virtual_memory().total / _BYTES_PER_GIB, 1),
        load_average=getloadavg()[0],
    )


def read_commit() -> str:
    """Return the checked-out commit, with a plus sign if files have changed since."""
    git = which("git")
    if git is None:
        return "unknown"
    command = [git, "describe", "--always", "--abbrev=10", "--dirty=+"]
    folder = Path(__file__).parent
    process = run(command, cwd=folder, capture_output=True, text=True, check=False)
    return process.stdout.strip() or "unknown"
