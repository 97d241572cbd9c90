"""History of one request, compiled from the logs of all instances."""

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

EVENT_START = "clock="
# A hybrid logical clock has Unix milliseconds above a counter of this many bits.
CLOCK_MS_SHIFT = 16
# Events up to this long before the request's last event are shown as its context.
CONTEXT_MS = 10_000
MAX_CONTEXT_EVENTS = 12

CAUSES = {
    "answered": "an upstream answered, and its answer was passed on unchanged",
    "queue-full": "the upstream was expected to answer too late, or had no capacity "
    "left; the request hasn't run",
    "no-owner": "the key had no owner for as long as the request could wait; it "
    "hasn't run",
    "no-route": "the instance had no route for the request, or no configuration at "
    "all; the request hasn't run",
    "rate-limited": "the key's owner was cold and had reached its request limit, or "
    "the quota of the caller's account was used up; the request hasn't run",
    "account-unknown": "the route needs the key of a client account, and no account "
    "of the configuration in force at the instance holds the key; it hasn't run",
    "upstream-unreachable": "the request could be sent to no upstream of the service; "
    "it hasn't run",
    "upstream-lost": "the upstream's connection ended before the answer was complete; "
    "the request may have run",
    "upstream-timeout": "the answer wasn't complete within the deadline of the caller "
    "or of the route; the request may have run",
    "key-missing": "the service is divided by key, and the request had no key",
    "timeout": "the caller disconnected before the request was sent; it hasn't run",
}
"""Explanation of each outcome of a `request_ended` event."""

RESTORATION_EVENTS = frozenset(
    (
        "store_era_risen",
        "store_restored",
        "table_restored",
        "term_not_reclaimed",
        "term_reclaimed",
        "unknown_grants_awaited",
    )
)
"""Events of a store that was restored from a copy."""

COORDINATOR_EVENTS = frozenset(
    ("term_ended", "term_reclaimed", "term_started", "unknown_grants_awaited")
)
"""Events of the coordinator that concern requests at all instances."""

CONTEXT_EVENTS = RESTORATION_EVENTS | frozenset(
    (
        "coordinator_known",
        "data_centres_closed",
        "grant_refused",
        "keys_moving",
        "move_failed",
        "moves_not_written",
        "plan_adopted",
        "quota_used_up",
        "quotas_divided",
        "release_failed",
        "started",
        "stopping",
        "store_lost",
        "store_regained",
        "term_ended",
        "term_started",
        "upstream_backoff",
        "upstream_changed",
        "upstream_gone",
    )
)


@dataclass(frozen=True, kw_only=True)
class ExplainReport(Report):
    """
    Events of a request and the cause of its outcome.

    Parameters
    ----------
    request : str
        Request id.
    events : tuple of LogEvent
        Events of the request, in order.
    context : tuple of LogEvent
        Earlier events that may have caused the outcome, in order.
    """

    request: str
    events: tuple[LogEvent, ...]
    context: tuple[LogEvent, ...] = ()

    def render(self, console: Console) -> None:
        """Print the request's events, the cause and the context."""
        for event in self.events:
            console.print(_format_event(event), markup=False, soft_wrap=True)
        console.print(f"cause: {self.describe_cause()}", markup=False, soft_wrap=True)
        restoration = self.describe_restoration()
        if restoration:
            console.print(restoration, markup=False, soft_wrap=True)
        if self.context:
            console.print("earlier events of the instances and upstreams concerned:")
        for event in self.context:
            console.print(f"  {_format_event(event)}", markup=False, soft_wrap=True)

    def describe_cause(self) -> str:
        """Return the cause of the request's outcome."""
        end_events = [event for event in self.events if event.event == "request_ended"]
        if not end_events:
            return (
                "the end of the request isn't in these logs: the instance stopped, or"
                " lines are missing"
            )
        fields = end_events[-1].fields
        outcome = fields.get("outcome", "")
        cause = CAUSES.get(outcome, f"outcome {outcome}")
        detail = fields.get("detail")
        return f"{cause} ({detail})" if detail else cause

    def describe_restoration(self) -> str:
        """Return what a restoration of the store changed; empty if there was none."""
        events = [event for event in self.context if event.event in RESTORATION_EVENTS]
        eras = [_read_era(event) for event in events if "era" in event.fields]
        if not eras:
            return ""
        parts = [f"the store was restored from a copy, era {max(eras)}"]
        previous = [
            event.fields[name]
            for event in events
            for name in ("previous", "previous_era")
            if name in event.fields
        ]
        if previous:
            parts[0] += f" after {previous[0]}"
        parts += [part for event in events if (part := _describe_restoration(event))]
        return "; ".join(parts)


def read_events(paths: Sequence[Path]) -> Iterator[LogEvent]:
    """
    Read events from logs; a line may have other text before its event.

    Parameters
    ----------
    paths : sequence of Path
        Files and folders of *.log files; none for standard input.

    Yields
    ------
    LogEvent
        Events in the order of the files; lines without an event are skipped.

    Raises
    ------
    UsageError
        If there is no log file, or a file can't be read.
    """
    if not paths:
        yield from _parse_lines(stdin)
        return
    for log in list_logs(paths):
        text = read_document(log).decode("utf-8", errors="replace")
        yield from _parse_lines(text.split("\n"))


def explain_request(request: str, events: Iterable[LogEvent]) -> ExplainReport:
    """
    Collect the events of a request and those that may have caused its outcome.

    Parameters
    ----------
    request : str
        Request id.
    events : iterable of LogEvent
        Events of all instances.

    Returns
    -------
    ExplainReport
        Report with the request's events and their context.

    Raises
    ------
    UsageError
        If no event has this request id.
    """
    all_events = sorted(events, key=lambda event: (event.clock, event.instance))
    request_events = [
        event for event in all_events if event.fields.get("request") == request
    ]
    if not request_events:
        raise UsageError(f"no event has the request id {request}")
    return ExplainReport(
        request=request,
        events=tuple(request_events),
        context=_find_context(all_events, request_events),
    )


def _read_era(event: LogEvent) -> int:
    era = event.fields["era"]
    return int(era) if era.isdecimal() else 0


def _describe_restoration(event: LogEvent) -> str:
    fields = event.fields
    match event.event:
        case "table_restored":
            kept = fields.get("kept") or "nothing else"
            return (
                f"{event.instance} read {fields.get('read', '?')} rows of "
                f"{fields.get('table', '?')} anew and kept {kept}"
            )
        case "term_reclaimed":
            return (
                f"{event.instance} went on as the coordinator, epoch "
                f"{fields.get('epoch', '?')} after {fields.get('previous_epoch', '?')}"
            )
        case "term_not_reclaimed":
            return f"{event.instance} couldn't claim its term anew"
        case "unknown_grants_awaited":
            return (
                f"{event.instance} granted no keys for {fields.get('wait_s', '?')} s, "
                "until all earlier grants had ended"
            )
    return ""


def _find_context(
    all_events: Sequence[LogEvent], request_events: Sequence[LogEvent]
) -> tuple[LogEvent, ...]:
    last = request_events[-1].clock
    earliest = last - (CONTEXT_MS << CLOCK_MS_SHIFT)
    instances = {event.instance for event in request_events}
    upstreams = {event.fields.get("upstream", "") for event in request_events} - {""}
    context = []
    for event in all_events:
        if not earliest <= event.clock <= last or event.event not in CONTEXT_EVENTS:
            continue
        upstream = event.fields.get("upstream")
        is_related = upstream in upstreams if upstream else event.instance in instances
        if is_related or event.event in COORDINATOR_EVENTS:
            context.append(event)
    return tuple(context[-MAX_CONTEXT_EVENTS:])


def _parse_lines(lines: Iterable[str]) -> Iterator[LogEvent]:
    for line in lines:
        start = line.find(EVENT_START)
        if start < 0:
            continue
        try:
            yield parse_line(line[start:])
        except MalformedMessageError:
            # Other programs write lines to the same streams.
            continue


def _format_event(event: LogEvent) -> str:
    pairs = " ".join(f"{name}={value}" for name, value in event.fields.items())
    return f"{event.time} {event.instance} {event.event} {pairs}"
