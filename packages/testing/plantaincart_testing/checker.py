"""Checks of execution histories, independent of the router's code."""

from collections import defaultdict
from collections.abc import Collection, Iterable, Sequence

from plantaincart_testing.call import CallResult
from plantaincart_testing.finding import Execution, Finding, Rule, list_executions
from plantaincart_testing.history import Event, EventKind
from plantaincart_testing.upstream_message import IDEMPOTENT_METHODS, fingerprint_body

__all__ = [
    "check_answers",
    "check_at_most_once",
    "check_cold_start",
    "check_history",
    "check_not_run",
    "check_ownership",
    "check_no_new_work",
]

NOT_RUN = "not-run"
RAN = "ran"
_MIN_ERROR_STATUS = 400


def check_ownership(
    events: Iterable[Event], unkeyed: Collection[str] = ()
) -> list[Finding]:
    """
    Find keys that two upstreams owned at the same time.

    Parameters
    ----------
    events : iterable of Event
        Events in order of time.
    unkeyed : collection of str
        Services whose requests have no key and no owner; they aren't checked.

    Returns
    -------
    list of Finding
        ``two-owners`` when executions of a key at different upstreams overlap;
        ``stale-owner`` when an execution begins with a lower fencing token than
        an earlier execution at another upstream.
    """
    by_key: dict[tuple[str, str], list[Execution]] = defaultdict(list)
    for execution in list_executions(events):
        begin = execution.begin
        if begin.service not in unkeyed:
            by_key[begin.service, begin.key].append(execution)
    findings: list[Finding] = []
    for executions in by_key.values():
        findings += _find_overlaps(executions)
        findings += _find_stale(executions)
    return findings


def check_at_most_once(events: Iterable[Event]) -> list[Finding]:
    """
    Find idempotency keys whose request was executed more than once.

    Parameters
    ----------
    events : iterable of Event
        Events in order of time.

    Returns
    -------
    list of Finding
        ``doubled`` for each execution after the first.
    """
    first_executions: dict[tuple[str, str, str], Execution] = {}
    findings = []
    for execution in list_executions(events):
        begin = execution.begin
        if begin.method in IDEMPOTENT_METHODS or not begin.idempotency_key:
            continue
        identity = (begin.service, begin.key, begin.idempotency_key)
        earlier = first_executions.setdefault(identity, execution)
        if earlier is not execution:
            detail = f"{begin.idempotency_key}: {execution} after {earlier}"
            findings.append(_report_event(Rule.DOUBLED, begin, detail))
    return findings


def check_not_run(
    events: Iterable[Event], results: Iterable[CallResult]
) -> list[Finding]:
    """
    Find requests with the verdict ``not-run`` that an upstream executed.

    Parameters
    ----------
    events : iterable of Event
        Events in order of time.
    results : iterable of CallResult
        Answers that the callers received.

    Returns
    -------
    list of Finding
        ``false-not-run`` for each request id with that verdict that an upstream
        executed, and for each idempotency key that was executed although every
        call with it got that verdict.
    """
    begins = [event for event in events if event.kind is EventKind.BEGIN]
    begin_by_request = {begin.request: begin for begin in begins}
    begin_by_key = {(begin.service, begin.idempotency_key): begin for begin in begins}
    verdicts: dict[tuple[str, str], set[str]] = defaultdict(set)
    findings = []
    for result in results:
        verdicts[result.call.service, result.call.idempotency_key].add(result.verdict)
        begin = begin_by_request.get(result.request_id)
        if result.verdict == NOT_RUN and result.request_id and begin is not None:
            detail = f"{result.request_id} ran at {begin.upstream}: {result.reason}"
            findings.append(_report_event(Rule.FALSE_NOT_RUN, begin, detail))
    for identity, verdicts_of_key in verdicts.items():
        begin = begin_by_key.get(identity)
        if identity[1] and verdicts_of_key == {NOT_RUN} and begin is not None:
            detail = f"{identity[1]} ran at {begin.upstream}"
            findings.append(_report_event(Rule.FALSE_NOT_RUN, begin, detail))
    return findings


def check_answers(
    events: Iterable[Event], results: Iterable[CallResult]
) -> list[Finding]:
    """
    Find answers to another request, and answers without an execution.

    Parameters
    ----------
    events : iterable of Event
        Events in order of time, including those of idempotent requests.
    results : iterable of CallResult
        Answers that the callers received.

    Returns
    -------
    list of Finding
        ``crossed`` when an answer doesn't match its call; ``lost`` when a caller
        received a success for which no execution is recorded.
    """
    begins = [event for event in events if event.kind is EventKind.BEGIN]
    executed = {
        (begin.upstream, begin.incarnation, begin.execution) for begin in begins
    }
    findings = []
    for result in results:
        if result.verdict != RAN or not 0 < result.status < _MIN_ERROR_STATUS:
            continue
        call, echo = result.call, result.echo
        if echo is None or not _matches_call(result):
            detail = f"{call.method} {call.target} was answered with {echo}"
            findings.append(_report_call(Rule.CROSSED, result, detail))
        elif (echo.upstream, echo.incarnation, echo.execution) not in executed:
            detail = f"{call.method} {call.target}: no execution {echo.execution}"
            findings.append(
                _report_call(Rule.LOST, result, f"{detail} at {echo.upstream}")
            )
    return findings


def check_cold_start(events: Iterable[Event]) -> list[Finding]:
    """
    Find upstreams that collapsed since they got too many requests while cold.

    Parameters
    ----------
    events : iterable of Event
        Events in order of time, including those of idempotent requests.

    Returns
    -------
    list of Finding
        ``collapsed`` for each collapse.
    """
    return [
        _report_event(Rule.COLLAPSED, event, f"{event.upstream} with {event.in_flight}")
        for event in events
        if event.kind is EventKind.COLLAPSED
    ]


def check_no_new_work(
    events: Iterable[Event],
    upstreams: Collection[str],
    starts_at_ns: int,
    ends_at_ns: int,
) -> list[Finding]:
    """
    Find executions that began at upstreams which should get no requests.

    Parameters
    ----------
    events : iterable of Event
        Events in order of time, including those of idempotent requests.
    upstreams : collection of str
        Upstreams that are draining, or whose data centre is out of service.
    starts_at_ns, ends_at_ns : int
        Period without new requests, on the machine's monotonic clock in nanoseconds.

    Returns
    -------
    list of Finding
        ``new-work`` for each execution that began in this period.
    """
    return [
        _report_event(Rule.NEW_WORK, execution.begin, str(execution))
        for execution in list_executions(events)
        if execution.begin.upstream in upstreams
        and starts_at_ns <= execution.begin.at_ns < ends_at_ns
    ]


def check_history(
    events: Sequence[Event],
    results: Sequence[CallResult],
    unkeyed: Collection[str] = (),
) -> list[Finding]:
    """
    Check ownership, at-most-once execution, verdicts and answers.

    Parameters
    ----------
    events : sequence of Event
        Events in order of time.
    results : sequence of CallResult
        Answers that the callers received.
    unkeyed : collection of str
        Services whose requests have no key and no owner.

    Returns
    -------
    list of Finding
        All findings; empty if no rule is broken.
    """
    return [
        *check_ownership(events, unkeyed),
        *check_at_most_once(events),
        *check_not_run(events, results),
        *check_answers(events, results),
    ]


def _find_overlaps(executions: Sequence[Execution]) -> list[Finding]:
    findings = []
    active: list[Execution] = []
    for execution in executions:
        begin = execution.begin
        active = [earlier for earlier in active if earlier.ended_at_ns > begin.at_ns]
        for other in active:
            if other.begin.upstream != begin.upstream:
                detail = f"{execution} during {other}"
                findings.append(_report_event(Rule.TWO_OWNERS, begin, detail))
        active.append(execution)
    return findings


def _find_stale(executions: Sequence[Execution]) -> list[Finding]:
    findings = []
    highest: Execution | None = None
    for execution in executions:
        if highest is None or execution.fence >= highest.fence:
            highest = execution
        elif execution.begin.upstream != highest.begin.upstream:
            detail = f"{execution} after {highest}"
            findings.append(_report_event(Rule.STALE_OWNER, execution.begin, detail))
    return findings


def _matches_call(result: CallResult) -> bool:
    call, echo = result.call, result.echo
    if echo is None:
        return False
    return (
        (echo.method, echo.target) == (call.method, call.target)
        and echo.key == call.key
        and echo.idempotency_key == call.idempotency_key
        and echo.fingerprint == fingerprint_body(call.body)
    )


def _report_event(rule: Rule, event: Event, detail: str) -> Finding:
    return Finding(
        rule=rule,
        service=event.service,
        key=event.key,
        detail=detail,
        at_ns=event.at_ns,
    )


def _report_call(rule: Rule, result: CallResult, detail: str) -> Finding:
    call = result.call
    return Finding(rule=rule, service=call.service, key=call.key, detail=detail)
