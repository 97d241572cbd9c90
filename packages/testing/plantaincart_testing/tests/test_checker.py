"""Findings of the checker in short histories."""

from dataclasses import replace
from typing import Any

from plantaincart_testing.call import Call, CallResult, Outcome
from plantaincart_testing.checker import (
    check_answers,
    check_at_most_once,
    check_cold_start,
    check_history,
    check_no_new_work,
    check_not_run,
    check_ownership,
)
from plantaincart_testing.finding import Rule, list_executions
from plantaincart_testing.history import Event, EventKind
from plantaincart_testing.upstream_message import Echo, fingerprint_body
from pytest import mark

CALL = Call(
    service="s",
    method="POST",
    target="/s/k/f",
    key="k",
    body=b"{}",
    idempotency_key="c",
)
ECHO = Echo(
    upstream="a",
    incarnation="a0",
    execution=1,
    service="s",
    key="k",
    request="r1",
    idempotency_key="c",
    method="POST",
    target="/s/k/f",
    fingerprint=fingerprint_body(b"{}"),
    count=1,
)


def event(kind: EventKind, upstream: str, at: int, **values: Any) -> Event:
    defaults: dict[str, Any] = {
        "incarnation": f"{upstream}0",
        "wall_ns": 0,
        "service": "s",
        "key": "k",
        "method": "POST",
        "execution": 1,
    }
    return Event(kind=kind, upstream=upstream, at_ns=at, **{**defaults, **values})


def begin(
    upstream: str, at: int, fence: str, planned: int = 10, **values: Any
) -> Event:
    epoch, sequence = fence.split(".")
    return event(
        EventKind.BEGIN,
        upstream,
        at,
        planned_ns=10,
        epoch=int(epoch),
        sequence=int(sequence),
        **{"request": f"{upstream}{at}", **values},
    )


def result(verdict: str, request: str = "r1", **values: Any) -> CallResult:
    outcome = Outcome.ANSWERED if verdict == "ran" else Outcome.REFUSED
    return CallResult(
        call=CALL,
        entry="e",
        outcome=outcome,
        verdict=verdict,
        request_id=request,
        **values,
    )


def test_cold_start_and_new_work() -> None:
    events = [
        begin("a", 5, "1.1"),
        event(EventKind.COLLAPSED, "a", 6),
        begin("b", 10, "1.1"),
        begin("a", 20, "1.1"),
    ]
    assert [finding.at_ns for finding in check_cold_start(events)] == [6]
    assert [finding.at_ns for finding in check_no_new_work(events, ["a"], 5, 20)] == [5]
    assert check_no_new_work(events, ["c"], 0, 99) == []


TWO, STALE = Rule.TWO_OWNERS, Rule.STALE_OWNER


@mark.parametrize(
    ("events", "rules"),
    [
        ([begin("a", 0, "1.1"), begin("b", 10, "1.2")], []),
        ([begin("a", 0, "1.1"), begin("b", 9, "1.2")], [TWO]),
        ([begin("a", 0, "1.1"), begin("a", 5, "1.1")], []),
        ([begin("a", 0, "1.1"), begin("b", 9, "1.2", key="other")], []),
        ([begin("a", 0, "1.2"), begin("b", 20, "1.1")], [STALE]),
        ([begin("a", 0, "1.2"), begin("a", 20, "1.1")], []),
        ([begin("a", 0, "2.0"), begin("b", 5, "1.9")], [TWO, STALE]),
        ([begin("a", 0, "1.1"), begin("b", 20, "1.2"), begin("a", 40, "1.3")], []),
        (
            [begin("a", 0, "1.1"), event(EventKind.END, "a", 4), begin("b", 5, "1.2")],
            [],
        ),
        (
            [
                begin("a", 0, "1.1"),
                event(EventKind.END, "a", 99),
                begin("b", 50, "1.2"),
            ],
            [],
        ),
        (
            [
                begin("a", 0, "1.1"),
                event(EventKind.KILLED, "a", 4, incarnation=""),
                begin("b", 5, "1.2"),
            ],
            [],
        ),
        (
            [
                begin("a", 0, "1.1"),
                event(EventKind.STARTED, "c", 4),
                begin("b", 5, "1.2"),
            ],
            [TWO],
        ),
    ],
)
def test_ownership(events: list[Event], rules: list[Rule]) -> None:
    assert [finding.rule for finding in check_ownership(events)] == rules
    assert check_ownership(events, unkeyed=["s"]) == []


def test_execution_without_end_lasts_as_planned() -> None:
    assert [
        execution.ended_at_ns for execution in list_executions([begin("a", 5, "1.1")])
    ] == [15]


@mark.parametrize(
    ("second", "doubled"),
    [
        ({"idempotency_key": "c"}, 1),
        ({"idempotency_key": "d"}, 0),
        ({"idempotency_key": "c", "key": "l"}, 0),
        ({"idempotency_key": "c", "method": "GET"}, 0),
        ({"idempotency_key": ""}, 0),
    ],
)
def test_at_most_once(second: dict[str, str], doubled: int) -> None:
    first = begin("a", 0, "1.1", idempotency_key="c")
    findings = check_at_most_once([first, begin("b", 50, "1.2", **second)])
    assert [finding.rule for finding in findings] == [Rule.DOUBLED] * doubled


@mark.parametrize(
    ("results", "count"),
    [
        ([result("not-run", "r1")], 2),
        ([result("not-run", "")], 1),
        ([result("not-run", "r2"), result("may-have-run", "r1")], 0),
        ([result("may-have-run", "r1")], 0),
        ([result("ran", "r1")], 0),
    ],
)
def test_not_run(results: list[CallResult], count: int) -> None:
    events = [begin("a", 0, "1.1", idempotency_key="c", request="r1")]
    assert check_not_run([], results) == []
    findings = check_not_run(events, results)
    assert [finding.rule for finding in findings] == [Rule.FALSE_NOT_RUN] * count


@mark.parametrize(
    ("echo", "rules"),
    [
        (ECHO, []),
        (None, [Rule.CROSSED]),
        (replace(ECHO, target="/s/k/g"), [Rule.CROSSED]),
        (replace(ECHO, key="l"), [Rule.CROSSED]),
        (replace(ECHO, idempotency_key="d"), [Rule.CROSSED]),
        (replace(ECHO, fingerprint=""), [Rule.CROSSED]),
        (replace(ECHO, execution=2), [Rule.LOST]),
        (replace(ECHO, incarnation="a1"), [Rule.LOST]),
    ],
)
def test_answers(echo: Echo | None, rules: list[Rule]) -> None:
    events = [begin("a", 0, "1.1", idempotency_key="c", request="r1")]
    results = [result("ran", status=200, echo=echo)]
    assert [finding.rule for finding in check_answers(events, results)] == rules
    assert [finding.rule for finding in check_history(events, results)] == rules
