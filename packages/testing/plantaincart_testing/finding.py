"""
Executions of a history, and rules that a history can break.

Notes
-----
An execution begins when its upstream checks the grant; its effect happens at that
time. It lasts for the duration that the upstream planned, or until it ended, was
cancelled, or its process was killed or restarted, if that was earlier. A pause of
the process doesn't prolong it, since the effect happens at the beginning.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from plantaincart_testing.history import Event, EventKind

__all__ = ["Execution", "Finding", "Rule", "list_executions"]

_EXECUTION_END_KINDS = frozenset(
    {EventKind.END, EventKind.CANCELLED, EventKind.CRASHED}
)
_PROCESS_END_KINDS = frozenset({EventKind.KILLED, EventKind.STARTED})


class Rule(StrEnum):
    """Rule that a history can break."""

    TWO_OWNERS = "two-owners"
    STALE_OWNER = "stale-owner"
    DOUBLED = "doubled"
    FALSE_NOT_RUN = "false-not-run"
    LOST = "lost"
    CROSSED = "crossed"
    COLLAPSED = "collapsed"
    NEW_WORK = "new-work"


@dataclass(frozen=True, kw_only=True)
class Finding:
    """
    One violation of a rule.

    Parameters
    ----------
    rule : Rule
        Rule that was broken.
    service, key : str
        Service and key of the request.
    detail : str
        Requests, upstreams and fencing tokens concerned.
    at_ns : int
        Machine's monotonic clock in nanoseconds; 0 for a finding about an answer.
    """

    rule: Rule
    service: str
    key: str
    detail: str
    at_ns: int = 0


@dataclass(frozen=True, kw_only=True)
class Execution:
    """
    One execution of a request at an upstream.

    Parameters
    ----------
    begin : Event
        Event with which the execution began.
    ended_at_ns : int
        End of the execution on the machine's monotonic clock in nanoseconds.
    """

    begin: Event
    ended_at_ns: int

    @property
    def fence(self) -> tuple[int, int]:
        """Fencing token that the request carried."""
        return self.begin.epoch, self.begin.sequence

    def __str__(self) -> str:
        begin = self.begin
        epoch, sequence = self.fence
        return f"{begin.request} at {begin.upstream} under {epoch}.{sequence}"


def list_executions(events: Iterable[Event]) -> list[Execution]:
    """
    List the executions of a history.

    Parameters
    ----------
    events : iterable of Event
        Events in order of time.

    Returns
    -------
    list of Execution
        Executions in order of the time at which they began.
    """
    begins: list[Event] = []
    ends: dict[tuple[str, str, int], int] = {}
    process_ends: dict[str, list[int]] = defaultdict(list)
    for event in events:
        if event.kind is EventKind.BEGIN:
            begins.append(event)
        elif event.kind in _EXECUTION_END_KINDS:
            ends.setdefault(_identify(event), event.at_ns)
        elif event.kind in _PROCESS_END_KINDS:
            process_ends[event.upstream].append(event.at_ns)
    executions = []
    for begin in begins:
        possible_ends = [begin.at_ns + begin.planned_ns, ends.get(_identify(begin))]
        possible_ends += [at for at in process_ends[begin.upstream] if at > begin.at_ns]
        ended_at_ns = min(at for at in possible_ends if at is not None)
        executions.append(Execution(begin=begin, ended_at_ns=ended_at_ns))
    return sorted(executions, key=lambda execution: execution.begin.at_ns)


def _identify(event: Event) -> tuple[str, str, int]:
    return event.upstream, event.incarnation, event.execution
