"""Log events, written through eliot as lines of key=value pairs."""

from collections.abc import Mapping
from datetime import UTC, datetime
from enum import Enum
from os import O_APPEND, O_CREAT, O_WRONLY, close, write
from os import open as open_file
from select import POLLOUT, poll
from typing import Any

from eliot import add_destinations, log_message, remove_destination
from plantaincart_core.clock import HybridClock
from plantaincart_schema.generated.settings import LogSettings, RequestEvents

from plantaincart_router.event import LogEvent, format_line, parse_line

__all__ = [
    "STANDARD_OUTPUT_PATH",
    "LogEvent",
    "format_line",
    "parse_line",
    "start_log",
    "stop_log",
    "write_event",
    "write_request_event",
]

MAX_VALUE_CHARS = 1024
STANDARD_OUTPUT = 1
STANDARD_ERROR = 2
STANDARD_OUTPUT_PATH = "-"
_ELIOT_FIELDS = ("task_uuid", "task_level", "timestamp", "message_type")


class _LineWriter:
    """
    Eliot destination that writes lines to a file descriptor, one at a time.

    Notes
    -----
    Writing to a full pipe would block the event loop and with it the renewal of the
    lease, so a line that can't be written at once is dropped. The number of dropped
    lines is logged later.
    """

    def __init__(
        self, descriptor: int, instance: str, incarnation: str, clock: HybridClock
    ) -> None:
        self._descriptor = descriptor
        self._instance = instance
        self._incarnation = incarnation
        self._clock = clock
        self._dropped = 0
        self._poll = poll()
        self._poll.register(descriptor, POLLOUT)

    def __call__(self, message: Mapping[str, Any]) -> None:
        if not any(mask & POLLOUT for _, mask in self._poll.poll(0)):
            self._dropped += 1
            return
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            self._write("log_lines_dropped", {"count": dropped})
        fields = {
            name: value for name, value in message.items() if name not in _ELIOT_FIELDS
        }
        self._write(str(message.get("message_type", "unnamed")), fields)

    def close(self) -> None:
        """Close the file, unless it is a standard stream."""
        if self._descriptor not in (STANDARD_OUTPUT, STANDARD_ERROR):
            close(self._descriptor)

    def _write(self, event: str, fields: Mapping[str, object]) -> None:
        line = format_line(
            LogEvent(
                clock=self._clock.tick(),
                time=datetime.now(UTC).isoformat(timespec="milliseconds"),
                instance=self._instance,
                incarnation=self._incarnation,
                event=event,
                fields={
                    name: _format_value(value)
                    for name, value in fields.items()
                    if value is not None
                },
            )
        )
        write(self._descriptor, line.encode("utf-8", "backslashreplace") + b"\n")


_writer: _LineWriter | None = None
_request_events = RequestEvents.none


def start_log(
    settings: LogSettings, instance: str, incarnation: str, clock: HybridClock
) -> None:
    """
    Start to write events, replacing any log started before.

    Parameters
    ----------
    settings : LogSettings
        File to append to, and which requests are logged.
    instance, incarnation : str
        Process that writes the lines; both are part of each line.
    clock : HybridClock
        Source of the clock value of each line.

    Raises
    ------
    OSError
        If the file can't be opened.
    """
    global _writer, _request_events
    stop_log()
    descriptor = STANDARD_ERROR
    if settings.path == STANDARD_OUTPUT_PATH:
        descriptor = STANDARD_OUTPUT
    elif settings.path:
        descriptor = open_file(settings.path, O_WRONLY | O_CREAT | O_APPEND, 0o644)
    _writer = _LineWriter(descriptor, instance, incarnation, clock)
    _request_events = settings.request_events
    add_destinations(_writer)


def stop_log() -> None:
    """Stop writing events and close the file."""
    global _writer, _request_events
    if _writer is not None:
        remove_destination(_writer)
        _writer.close()
        _writer = None
    _request_events = RequestEvents.none


def write_event(event: str, **fields: object) -> None:
    """
    Write an event; do nothing unless a log has been started.

    Parameters
    ----------
    event : str
        Kind of the event, in snake case.
    **fields : object
        Further pairs. Values of None are left out, sequences are joined by commas, and
        the names clock, time, instance, incarnation and event get a trailing
        underscore.
    """
    if _writer is not None:
        log_message(event, **fields)


def write_request_event(event: str, *, idempotent: bool, **fields: object) -> None:
    """
    Write an event about one request, if the settings enable such events.

    Parameters
    ----------
    event : str
        Kind of the event, in snake case.
    idempotent : bool
        Whether the request is idempotent.
    **fields : object
        Further pairs, as for `write_event`.
    """
    if _request_events is RequestEvents.none:
        return
    if idempotent and _request_events is RequestEvents.writes:
        return
    write_event(event, **fields)


def _format_value(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, list | tuple | set | frozenset):
        return ",".join(_format_value(item) for item in value)[:MAX_VALUE_CHARS]
    return str(value)[:MAX_VALUE_CHARS]
