"""Time line of the events of all processes, from their logs."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path

from plantaincart_router.event import LogEvent, parse_line
from plantaincart_schema.exception import MalformedMessageError
from rich.console import Console

from plantaincart_operator.exception import UsageError
from plantaincart_operator.output import Report
from plantaincart_operator.settings import read_document

__all__ = ["EventFilter", "TimelineReport", "build_timeline", "list_logs"]

LOG_PATTERN = "*.log"


@dataclass(frozen=True, kw_only=True)
class EventFilter:
    """
    Conditions on the events of a time line; an empty condition matches every event.

    Parameters
    ----------
    request, key, service, event, instance : str
        Required value of the event's field of this name.
    shard : str
        Shard as SERVICE/NUMBER, or its number alone.
    since, until : datetime or None
        Bounds on the event's time, inclusive.
    """

    request: str = ""
    key: str = ""
    service: str = ""
    shard: str = ""
    event: str = ""
    instance: str = ""
    since: datetime | None = None
    until: datetime | None = None

    def matches(self, event: LogEvent) -> bool:
        """
        Check an event against all conditions.

        Parameters
        ----------
        event : LogEvent
            Event to check.

        Returns
        -------
        bool
            Whether the event meets all conditions.
        """
        fields = event.fields
        conditions = (
            (self.request, fields.get("request")),
            (self.key, fields.get("key")),
            (self.event, event.event),
            (self.instance, event.instance),
        )
        return (
            all(not required or required == value for required, value in conditions)
            and self._matches_shard(fields.get("service", ""), fields.get("shard", ""))
            and self._matches_time(event)
        )

    def _matches_shard(self, service: str, shard: str) -> bool:
        if not service:
            service, _, shard = shard.rpartition("/")
        number = shard.rpartition("/")[2]
        if self.service and self.service != service:
            return False
        return not self.shard or self.shard in (number, f"{service}/{number}")

    def _matches_time(self, event: LogEvent) -> bool:
        if self.since is None and self.until is None:
            return True
        try:
            time = _assume_utc(datetime.fromisoformat(event.time))
        except ValueError:
            return False
        is_after = self.since is None or time >= _assume_utc(self.since)
        return is_after and (self.until is None or time <= _assume_utc(self.until))


@dataclass(frozen=True, kw_only=True)
class TimelineReport(Report):
    """
    Events in the order of their hybrid logical clocks.

    Parameters
    ----------
    events : tuple of LogEvent
        Events that match the filter.
    malformed : tuple of str
        For each line that isn't an event, FILE:LINE and the error.
    """

    events: tuple[LogEvent, ...]
    malformed: tuple[str, ...] = ()

    def render(self, console: Console) -> None:
        """Print one line for each event, and the first malformed line."""
        width = max((len(event.instance) for event in self.events), default=0)
        for event in self.events:
            pairs = " ".join(f"{name}={value}" for name, value in event.fields.items())
            line = f"{event.time} {event.instance:{width}} {event.event} {pairs}"
            console.print(line.rstrip(), markup=False, soft_wrap=True)
        if self.malformed:
            console.print(f"{len(self.malformed)} malformed lines, the first:")
            console.print(f"  {self.malformed[0]}", markup=False, soft_wrap=True)


def list_logs(paths: Iterable[Path]) -> list[Path]:
    """
    List the given log files and the log files in the given folders.

    Parameters
    ----------
    paths : iterable of Path
        Files and folders.

    Returns
    -------
    list of Path
        Log files.

    Raises
    ------
    UsageError
        If there are none.
    """
    logs: list[Path] = []
    for path in paths:
        logs.extend(sorted(path.glob(LOG_PATTERN)) if path.is_dir() else [path])
    if not logs:
        raise UsageError(f"no {LOG_PATTERN} file found")
    return logs


def build_timeline(logs: Sequence[Path], event_filter: EventFilter) -> TimelineReport:
    """
    Merge the logs of several processes into one time line.

    Parameters
    ----------
    logs : sequence of Path
        Log files.
    event_filter : EventFilter
        Conditions on the events to show.

    Returns
    -------
    TimelineReport
        The matching events in order.

    Raises
    ------
    UsageError
        If a file can't be read.

    Notes
    -----
    Each message between processes contains the sender's hybrid logical clock, so
    an event precedes the events that it caused, even if wall clocks differ. Events
    that aren't causally related are ordered by wall clock.
    """
    events: list[LogEvent] = []
    malformed: list[str] = []
    for log in logs:
        for location, line in _read_lines(log):
            try:
                event = parse_line(line)
            except MalformedMessageError as error:
                malformed.append(f"{location}: {error}")
                continue
            if event_filter.matches(event):
                events.append(event)
    events.sort(key=lambda event: (event.clock, event.instance))
    return TimelineReport(events=tuple(events), malformed=tuple(malformed))


def _read_lines(log: Path) -> Iterator[tuple[str, str]]:
    text = read_document(log).decode("utf-8", errors="replace")
    for number, line in enumerate(text.split("\n"), 1):
        if line.strip():
            yield f"{log}:{number}", line


def _assume_utc(time: datetime) -> datetime:
    return time if time.tzinfo is not None else time.replace(tzinfo=UTC)
