"""History of executions that upstream stand-ins write and the checker reads."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import StrEnum
from pathlib import Path
from time import monotonic_ns, time_ns
from typing import TextIO

from plantaincart_schema.codec import decode_json, encode_json

from plantaincart_testing.upstream_message import ReceivedRequest, fingerprint_body

__all__ = [
    "ClockReadings",
    "Event",
    "EventKind",
    "HistoryWriter",
    "add_request_fields",
    "read_clocks",
    "read_history",
]


ClockReadings = tuple[int, int]
"""Readings of the monotonic clock and of Unix time, both in nanoseconds."""


class EventKind(StrEnum):
    """Kind of an event at an upstream."""

    STARTED = "started"
    BEGIN = "begin"
    END = "end"
    CANCELLED = "cancelled"
    CRASHED = "crashed"
    KILLED = "killed"
    REFUSED = "refused"
    COLLAPSED = "collapsed"


@dataclass(frozen=True, kw_only=True)
class Event:
    """
    One line of a history.

    Parameters
    ----------
    kind : EventKind
        Kind of the event. An execution has one ``begin`` and, unless its process
        ended, one ``end``, ``cancelled`` or ``crashed``.
    upstream, incarnation : str
        Upstream and run of its process at which the event happened.
    at_ns : int
        Machine's monotonic clock in nanoseconds, the same in all processes.
    wall_ns : int
        Unix time in nanoseconds.
    execution : int
        Number of the execution within the incarnation; 0 for events outside of one.
    planned_ns : int
        Planned duration of the execution in nanoseconds, recorded when it begins.
    """

    kind: EventKind
    upstream: str
    incarnation: str
    at_ns: int
    wall_ns: int
    execution: int = 0
    planned_ns: int = 0
    service: str = ""
    key: str = ""
    slot: int = -1
    request: str = ""
    idempotency_key: str = ""
    method: str = ""
    target: str = ""
    fingerprint: str = ""
    epoch: int = 0
    sequence: int = 0
    in_flight: int = 0
    detail: str = ""


class HistoryWriter:
    """
    Appends events to a file and flushes each one immediately.

    Parameters
    ----------
    path : Path
        File to append to.
    """

    def __init__(self, path: Path) -> None:
        path.parent.mkdir(parents=True, exist_ok=True)
        self._file: TextIO = path.open("a", encoding="utf-8", buffering=1)

    def write(self, event: Event) -> None:
        """Append an event."""
        self._file.write(encode_json(event).decode() + "\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def read_history(paths: Iterable[Path]) -> list[Event]:
    """
    Read histories and merge their events in order of time.

    Parameters
    ----------
    paths : iterable of Path
        Files of JSON lines; a file that doesn't exist counts as empty.

    Returns
    -------
    list of Event
        Events of all files in order of time. An incomplete last line, left by a
        process that ended while writing, is skipped.
    """
    events: list[Event] = []
    for path in paths:
        if not path.exists():
            continue
        lines = path.read_bytes().split(b"\n")
        events += [decode_json(line, Event) for line in lines[:-1] if line]
    return sorted(events, key=lambda event: event.at_ns)


def read_clocks() -> ClockReadings:
    """
    Read the clocks that an event is stamped with.

    Returns
    -------
    at_ns : int
        Monotonic clock in nanoseconds.
    wall_ns : int
        Unix time in nanoseconds.
    """
    return monotonic_ns(), time_ns()


def add_request_fields(event: Event, received: ReceivedRequest) -> Event:
    """
    Copy the fields of a request into an event.

    Parameters
    ----------
    event : Event
        Event without a request.
    received : ReceivedRequest
        The request.

    Returns
    -------
    Event
        Copy of the event with the fields of the request.
    """
    return replace(
        event,
        service=received.service,
        key=received.key,
        slot=received.slot,
        request=received.id,
        idempotency_key=received.idempotency_key,
        method=received.request.method,
        target=received.request.target,
        fingerprint=fingerprint_body(received.request.body),
        epoch=received.epoch,
        sequence=received.sequence,
    )
