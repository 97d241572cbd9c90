"""Control of a local system's processes by name."""

from collections.abc import Sequence
from time import time_ns

from plantaincart_testing.history import Event, EventKind, HistoryWriter
from plantaincart_testing.launch import Launch
from plantaincart_testing.layout import Layout
from plantaincart_testing.process import ManagedProcess

__all__ = ["ProcessGroup"]


class ProcessGroup:
    """
    Controls processes by the name of the instance, upstream or stand-in that they run.

    Parameters
    ----------
    layout : Layout
        Names of instances and upstreams.
    launch : Launch
        Creates the processes, and groups upstreams that share one.
    """

    def __init__(self, layout: Layout, launch: Launch) -> None:
        self.layout = layout
        self._launch = launch
        self._processes: dict[str, ManagedProcess] = {}

    def find_process(self, name: str) -> ManagedProcess:
        """Return the process of an instance, an upstream or a stand-in."""
        if name in self.layout.upstreams:
            name = self._find_group(name)[0]
        return self._processes[name]

    def kill(self, name: str) -> None:
        """Kill a process, and record the kill of its upstreams in the history."""
        process = self.find_process(name)
        process.kill()
        if name in self.layout.upstreams:
            self._record_kill(process, self._find_group(name))

    def freeze(self, name: str) -> None:
        """Freeze a process, and so all its upstreams (SIGSTOP)."""
        self.find_process(name).freeze()

    def resume(self, name: str) -> None:
        """Resume a frozen process (SIGCONT)."""
        self.find_process(name).resume()

    def terminate(self, name: str) -> None:
        """Request a process to shut down gracefully (SIGTERM)."""
        self.find_process(name).terminate()

    def kill_all(self) -> None:
        """Kill all processes."""
        for process in self._processes.values():
            process.kill()

    def _add(self, process: ManagedProcess) -> None:
        self._processes[process.name] = process
        process.start()

    def _find_group(self, name: str) -> list[str]:
        return next(names for names in self._launch.upstream_groups if name in names)

    def _record_kill(self, process: ManagedProcess, names: Sequence[str]) -> None:
        writer = HistoryWriter(self._launch.find_history(process.name))
        for name in names:
            event = Event(
                kind=EventKind.KILLED,
                upstream=name,
                incarnation="",
                at_ns=process.ended_at_ns or 0,
                wall_ns=time_ns(),
            )
            writer.write(event)
        writer.close()

    def _describe_start_failure(
        self, ended: Sequence[ManagedProcess], is_timeout: bool
    ) -> str:
        reason = "not ready in time" if is_timeout else "a process ended early"
        described = ended or list(self._processes.values())
        outputs = "\n".join(
            f"{process.name}: {process.read_output()}" for process in described
        )
        return f"{reason} (folder {self._launch.folder})\n{outputs}"
