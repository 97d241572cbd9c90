"""The story of one request, from the logs of all instances."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from sys import stdin

from plantaincart_router.event import LogEvent, parse_line
from plantaincart_schema.exception import MalformedMessageError
from rich.console import Console

from plantaincart_operator.exception import UsageError
from plantaincart_operator.output import Report
from plantaincart_operator.settings import read_document
from plantaincart_operator.timeline import list_logs

__all__ = ["ExplainReport", "explain_request", "read_events"]

LINE_START = "clock="
# Wall clock bits of a hybrid logical clock start here; below them it counts.
CLOCK_MS_SHIFT = 16
# Events of this time before a request's last one may have led to its end.
CONTEXT_MS = 10_000
MAX_CONTEXT = 12

CAUSES = {
    "answered": "an upstream answered, and its answer was handed on as it was",
    "queue-full": "the upstream was expected to answer too late, or had no room; the "
    "request hasn't run",
    "no-owner": "nobody owned the key for as long as the request could wait; it "
    "hasn't run",
    "no-route": "the instance knew no route, or no configuration at all; the request "
    "hasn't run",
    "rate-limited": "the key's owner was cold and had its share of requests; the "
    "request hasn't run",
    "upstream-unreachable": "no upstream of the service might be given work; the "
    "request hasn't run",
    "upstream-lost": "the upstream's connection ended before a whole answer; the "
    "request may have run",
    "upstream-timeout": "no whole answer came within the caller's or the route's "
    "time; the request may have run",
    "key-missing": "the service is divided by key, and the request named none",
    "timeout": "the caller left before the request was sent; it hasn't run",
}
"""What each outcome of a `request_ended` event says."""

CONTEXT_EVENTS = frozenset(
    (
        "coordinator_known",
        "data_centres_closed",
        "grant_refused",
        "keys_moving",
        "move_failed",
        "moves_not_written",
        "plan_adopted",
        "release_failed",
        "started",
        "stopping",
        "store_lost",
        "store_regained",
        "term_ended",
        "term_started",
        "upstream_changed",
        "upstream_gone",
    )
)


@dataclass(frozen=True, kw_only=True)
class ExplainReport(Report):
    """
    What happened to a request.

    Parameters
    ----------
    request : str
        Its identity.
    events : tuple of LogEvent
        Events that name it, in order.
    context : tuple of LogEvent
        What may have led to its end, in order.
    """

    request: str
    events: tuple[LogEvent, ...]
    context: tuple[LogEvent, ...] = ()

    def render(self, console: Console) -> None:
        """Print the events, the cause and what led to it."""
        for event in self.events:
            console.print(_format(event), markup=False, soft_wrap=True)
        console.print(f"cause: {self.describe_cause()}", markup=False, soft_wrap=True)
        if self.context:
            console.print("before it, on the instances and upstreams concerned:")
        for event in self.context:
            console.print(f"  {_format(event)}", markup=False, soft_wrap=True)

    def describe_cause(self) -> str:
        """Return why the request ended as it did."""
        ended = [event for event in self.events if event.event == "request_ended"]
        if not ended:
            return "its end isn't in these logs: the instance stopped, or lines are cut"
        fields = ended[-1].fields
        outcome = fields.get("outcome", "")
        cause = CAUSES.get(outcome, f"outcome {outcome}")
        detail = fields.get("detail")
        return f"{cause} ({detail})" if detail else cause


def read_events(paths: Sequence[Path]) -> Iterator[LogEvent]:
    """
    Read events from logs, whatever stands before them on their lines.

    Parameters
    ----------
    paths : sequence of Path
        Files and folders of *.log files; none for standard input.

    Yields
    ------
    LogEvent
        Events in the order of the files; lines that aren't events are left out.

    Raises
    ------
    UsageError
        If there is no file, or one can't be read.
    """
    if not paths:
        yield from _parse_lines(stdin)
        return
    for log in list_logs(paths):
        text = read_document(log).decode("utf-8", errors="replace")
        yield from _parse_lines(text.split("\n"))


def explain_request(request: str, events: Iterable[LogEvent]) -> ExplainReport:
    """
    Gather what the logs say of a request.

    Parameters
    ----------
    request : str
        Its identity.
    events : iterable of LogEvent
        Events of all instances.

    Returns
    -------
    ExplainReport
        The request's events, and those before its end that may have led to it.

    Raises
    ------
    UsageError
        If no event names the request.
    """
    ordered = sorted(events, key=lambda event: (event.clock, event.instance))
    own = [event for event in ordered if event.fields.get("request") == request]
    if not own:
        raise UsageError(f"no event names the request {request}")
    return ExplainReport(
        request=request, events=tuple(own), context=_find_context(ordered, own)
    )


def _find_context(
    ordered: Sequence[LogEvent], own: Sequence[LogEvent]
) -> tuple[LogEvent, ...]:
    last = own[-1].clock
    earliest = last - (CONTEXT_MS << CLOCK_MS_SHIFT)
    instances = {event.instance for event in own}
    upstreams = {event.fields.get("upstream", "") for event in own} - {""}
    found = []
    for event in ordered:
        if not earliest <= event.clock <= last or event.event not in CONTEXT_EVENTS:
            continue
        upstream = event.fields.get("upstream")
        concerned = upstream in upstreams if upstream else event.instance in instances
        if concerned or event.event in ("term_started", "term_ended"):
            found.append(event)
    return tuple(found[-MAX_CONTEXT:])


def _parse_lines(lines: Iterable[str]) -> Iterator[LogEvent]:
    for line in lines:
        start = line.find(LINE_START)
        if start < 0:
            continue
        try:
            yield parse_line(line[start:])
        except MalformedMessageError:
            # Other programs write to the same streams; their lines say nothing here.
            continue


def _format(event: LogEvent) -> str:
    pairs = " ".join(f"{name}={value}" for name, value in event.fields.items())
    return f"{event.time} {event.instance} {event.event} {pairs}"
