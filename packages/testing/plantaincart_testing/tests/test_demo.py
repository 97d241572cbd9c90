from dataclasses import replace
from io import StringIO

import pytest
from plantaincart_testing.call import Call, CallResult, Outcome
from plantaincart_testing.demo_load import Filing, Lookup
from plantaincart_testing.demo_report import (
    DemoEvent,
    DemoReport,
    find_longest_wait,
    render_report,
)
from plantaincart_testing.finding import Finding, Rule
from plantaincart_testing.upstream_message import Echo
from rich.console import Console

ECHO = Echo(
    upstream="u",
    incarnation="x",
    execution=1,
    service="ledger",
    key="k",
    request="r",
    idempotency_key="",
    method="GET",
    target="/",
    fingerprint="",
    count=0,
)
CALL = Call(service="ledger", method="GET", target="/", key="k")
ANSWERED = CallResult(
    call=CALL,
    entry="e",
    outcome=Outcome.ANSWERED,
    status=200,
    verdict="ran",
    latency_s=0.1,
    echo=ECHO,
)
REFUSED = replace(
    ANSWERED,
    outcome=Outcome.REFUSED,
    status=503,
    verdict="not-run",
    reason="no-owner",
    echo=None,
)
OUTCOME_UNKNOWN = replace(REFUSED, verdict="may-have-run", reason="outcome-unknown")
WITHOUT_VERDICT = replace(
    REFUSED, outcome=Outcome.LOST, verdict="", reason="AnswerLostError"
)


@pytest.mark.parametrize(
    ("results", "longest_s"),
    [
        ([ANSWERED, ANSWERED, ANSWERED], 0.1),
        ([ANSWERED, REFUSED, ANSWERED], 1.1),
        ([ANSWERED, replace(ANSWERED, latency_s=3.0), ANSWERED], 1.1),
        ([REFUSED, REFUSED, ANSWERED], 2.1),
        ([ANSWERED, WITHOUT_VERDICT, WITHOUT_VERDICT], float("inf")),
    ],
)
def test_longest_wait(results: list[CallResult], longest_s: float) -> None:
    lookups = [
        Lookup(intended_at=float(number), result=result)
        for number, result in enumerate(results)
    ]
    assert find_longest_wait(lookups, 0.0, 9.0) == pytest.approx(longest_s)


@pytest.mark.parametrize(
    ("results", "ended", "lost"),
    [
        ([], False, True),
        ([REFUSED], False, False),
        ([WITHOUT_VERDICT], False, True),
        ([WITHOUT_VERDICT, ANSWERED], True, False),
        ([REFUSED, OUTCOME_UNKNOWN], True, False),
    ],
)
def test_outcome_of_filing(results: list[CallResult], ended: bool, lost: bool) -> None:
    filing = Filing(intended_at=0.0, results=results)
    assert (filing.has_ended, filing.is_lost) == (ended, lost)


@pytest.mark.parametrize(
    ("filing", "rule", "late", "passed"),
    [
        (ANSWERED, None, 0, True),
        (OUTCOME_UNKNOWN, None, 0, True),
        (WITHOUT_VERDICT, None, 0, False),
        (ANSWERED, Rule.DOUBLED, 0, False),
        (ANSWERED, Rule.FALSE_NOT_RUN, 0, False),
        (ANSWERED, None, 1, False),
    ],
)
def test_report(filing: CallResult, rule: Rule | None, late: int, passed: bool) -> None:
    findings = [Finding(rule=rule, service="a", key="k", detail="d")] if rule else []
    report = DemoReport(
        events=[DemoEvent("first", 0.0), DemoEvent("second", 1.0)],
        ended_at=2.0,
        lookups=[Lookup(intended_at=0.5, result=ANSWERED)],
        filings=[Filing(intended_at=1.5, results=[filing])],
        findings=findings,
        late_executions=late,
    )
    output = StringIO()
    render_report(report, Console(file=output, width=120))
    assert report.has_passed == passed
    assert ("passed" in output.getvalue()) == passed
