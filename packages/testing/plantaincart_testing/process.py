"""Child processes of a local system."""

from asyncio import sleep
from collections.abc import Mapping, Sequence
from ctypes import CDLL
from os import environ
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM, Signals
from subprocess import Popen
from time import monotonic, monotonic_ns

from plantaincart_testing.exception import StartError

__all__ = ["ManagedProcess"]

POLL_INTERVAL_S = 0.01
OUTPUT_TAIL_BYTES = 4000
_PR_SET_PDEATHSIG = 1
_libc = CDLL(None)


def _end_with_parent() -> None:
    # Kills the child if its parent is killed, so a killed test runner leaves none.
    _libc.prctl(_PR_SET_PDEATHSIG, SIGKILL)


class ManagedProcess:
    """
    A child process that can be frozen, resumed, ended and started again.

    Parameters
    ----------
    name : str
        Name used in messages.
    command : sequence of str
        Program and arguments.
    output : Path
        File for standard output and standard error.
    environment : mapping of str to str, optional
        Environment variables added to those of this process.
    """

    def __init__(
        self,
        name: str,
        command: Sequence[str],
        output: Path,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        self.name = name
        self.output = output
        self.ended_at_ns: int | None = None
        self._command = list(command)
        self._environment = {**environ, **(environment or {})}
        self._process: Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Process id of the current or last run."""
        if self._process is None:
            raise StartError(f"{self.name}: not started")
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has started and not ended; it may be frozen."""
        return self._process is not None and self._process.poll() is None

    @property
    def status(self) -> int | None:
        """Exit status, negative for a signal; None while the process runs."""
        return None if self._process is None else self._process.poll()

    def start(self) -> None:
        """Start the process unless it is running."""
        if self.is_running:
            return
        self.ended_at_ns = None
        with self.output.open("ab") as output:
            self._process = Popen(
                self._command,
                stdout=output,
                stderr=output,
                env=self._environment,
                preexec_fn=_end_with_parent,
            )

    def send_signal(self, signal: Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self.is_running:
            self._process.send_signal(signal)

    def freeze(self) -> None:
        """Freeze the process (SIGSTOP)."""
        self.send_signal(SIGSTOP)

    def resume(self) -> None:
        """Resume a frozen process (SIGCONT)."""
        self.send_signal(SIGCONT)

    def terminate(self) -> None:
        """Request the process to end (SIGTERM)."""
        self.send_signal(SIGTERM)

    def kill(self) -> None:
        """Kill the process (SIGKILL) and wait until it has ended."""
        self.send_signal(SIGKILL)
        if self._process is not None:
            self._process.wait()
            self.ended_at_ns = monotonic_ns()

    async def wait(self, timeout_s: float) -> int:
        """
        Wait until the process has ended.

        Parameters
        ----------
        timeout_s : float
            Maximum time to wait in seconds.

        Returns
        -------
        int
            Exit status, negative for a signal.

        Raises
        ------
        TimeoutError
            If the process is still running after `timeout_s`.
        """
        ends_at = monotonic() + timeout_s
        while True:
            status = self.status
            if status is not None:
                return status
            if monotonic() >= ends_at:
                raise TimeoutError(f"{self.name}: still running after {timeout_s} s")
            await sleep(POLL_INTERVAL_S)

    def read_output(self) -> str:
        """Return the last part of the process's output."""
        if not self.output.exists():
            return ""
        return self.output.read_bytes()[-OUTPUT_TAIL_BYTES:].decode("utf-8", "replace")
