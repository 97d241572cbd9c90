"""Simulation of processes with drifting clocks, a table and delayed messages."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

Action = Callable[[], None]


class Process:
    """A process that can be stopped, or paused with incoming messages buffered."""

    def __init__(self, simulation: "Simulation", name: str, rate: float, offset: float):
        self.simulation = simulation
        self.name = name
        self.rate = rate
        self.offset = offset
        self.start_count = 0
        self.alive = False
        self.paused = False
        self.buffer: list[Action] = []

    @property
    def now(self) -> float:
        return self.simulation.time * self.rate + self.offset

    def start(self) -> None:
        self.stop()
        self.start_count += 1
        self.alive = True

    def stop(self) -> None:
        self.alive = self.paused = False
        self.buffer.clear()

    def resume(self) -> None:
        self.paused = False
        while self.buffer and not self.paused:
            self.buffer.pop(0)()

    def run(self, start_count: int, action: Action) -> None:
        if not self.alive or start_count != self.start_count:
            return
        if self.paused:
            self.buffer.append(action)
        else:
            action()

    def after(self, delay_s: float, action: Action) -> None:
        """Run an action after a delay unless the process has stopped by then."""
        start_count = self.start_count
        self.simulation.after(delay_s, lambda: self.run(start_count, action))

    def every(self, interval_s: float, action: Action) -> None:
        def repeat() -> None:
            # After a pause an overdue timer fires once, not once for each interval.
            self.after(interval_s, repeat)
            action()

        self.after(interval_s, repeat)


class Simulation:
    """Runs events in order of time."""

    def __init__(self) -> None:
        self.time = 0.0
        self._pending_events: list[tuple[float, int, Action]] = []
        self._event_numbers = count()

    def after(self, delay_s: float, action: Action) -> None:
        heappush(
            self._pending_events,
            (self.time + delay_s, next(self._event_numbers), action),
        )

    def advance(self, duration_s: float) -> None:
        end = self.time + duration_s
        while self._pending_events and self._pending_events[0][0] <= end:
            self.time, _, action = heappop(self._pending_events)
            action()
        self.time = end


@dataclass(frozen=True)
class Row:
    version: int
    value: Any


Rows = dict[str, Row]
Answer = Callable[[Rows], None]


@dataclass
class Network:
    """Draws delays of messages, a share of which is long, and losses of answers."""

    random: Random
    slow_share: float = 0.0
    lost_share: float = 0.0

    def draw_delay(self) -> float:
        if self.random.random() < self.slow_share:
            return self.random.choice((0.15, 0.25, 0.5, 1.0, 2.0))
        return self.random.uniform(0.0005, 0.002)

    def draw_loss(self) -> bool:
        return self.random.random() < self.lost_share


@dataclass
class Table:
    """Rows with compare-and-set; each write gets a version above all earlier ones."""

    simulation: Simulation
    network: Network
    rows: dict[str, Row] = field(default_factory=dict)
    down: bool = False
    unreachable_from: set[str] = field(default_factory=set)
    version: int = 0

    def read(self, reader: Process, answer: Answer) -> None:
        """Pass the rows at the time of the read to `answer`."""
        self._call(reader, lambda: None, answer)

    def commit(
        self,
        writer: Process,
        conditions: Mapping[str, int],
        writes: Mapping[str, object],
        answer: Answer,
    ) -> None:
        """Pass the rows after the transaction, committed or failed, to `answer`."""

        def apply() -> None:
            if all(
                self.find_version(k) == required for k, required in conditions.items()
            ):
                self.put(writes)

        self._call(writer, apply, answer, answer_may_be_lost=True)

    def find_version(self, key: str) -> int:
        return self.rows[key].version if key in self.rows else 0

    def put(self, writes: Mapping[str, object]) -> None:
        for key, value in writes.items():
            self.version += 1
            self.rows[key] = Row(self.version, value)

    def _call(
        self,
        caller: Process,
        operation: Action,
        answer: Answer,
        answer_may_be_lost: bool = False,
    ) -> None:
        start_count = caller.start_count

        def serve() -> None:
            operation()
            rows = dict(self.rows)
            if self._is_reachable_from(caller) and not (
                answer_may_be_lost and self.network.draw_loss()
            ):
                delay_s = self.network.draw_delay()
                self.simulation.after(
                    delay_s, lambda: caller.run(start_count, lambda: answer(rows))
                )

        if self._is_reachable_from(caller):
            self.simulation.after(self.network.draw_delay(), serve)

    def _is_reachable_from(self, caller: Process) -> bool:
        return not self.down and caller.name not in self.unreachable_from
