"""Report of the demonstration: counts by event, and violations of rules."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from rich.console import Console
from rich.table import Table

from plantaincart_testing.call import CallResult
from plantaincart_testing.demo_load import Filing, Lookup
from plantaincart_testing.finding import Finding, Rule

__all__ = ["DemoEvent", "DemoReport", "find_longest_wait", "render_report"]

_NO_ANSWER = "no answer"
_VERDICTS = ("ran", "not-run", "may-have-run", _NO_ANSWER)
_MS_PER_S = 1000
MAX_PRINTED_FINDINGS = 10


@dataclass(frozen=True)
class DemoEvent:
    """
    Event that the demonstration causes.

    Parameters
    ----------
    title : str
        Description of the event.
    at : float
        Time on the machine's monotonic clock, in seconds.
    """

    title: str
    at: float


@dataclass(frozen=True, kw_only=True)
class DemoReport:
    """
    Results of the demonstration.

    Parameters
    ----------
    events : sequence of DemoEvent
        Events in order; the period of each lasts until the next event.
    ended_at : float
        End of the load, on the machine's monotonic clock, in seconds.
    lookups : sequence of Lookup
        Lookups that were sent.
    filings : sequence of Filing
        Filings that were sent.
    findings : sequence of Finding
        Violations that the checker found.
    late_executions : int
        Executions that began in a data centre while it was out of service.
    """

    events: Sequence[DemoEvent]
    ended_at: float
    lookups: Sequence[Lookup]
    filings: Sequence[Filing]
    findings: Sequence[Finding]
    late_executions: int

    @property
    def lost(self) -> int:
        """Filings acknowledged without an execution, or without a final verdict."""
        without_verdict = sum(filing.is_lost for filing in self.filings)
        return without_verdict + self._count(Rule.LOST)

    @property
    def has_passed(self) -> bool:
        """Whether no rule was broken."""
        return not self.findings and not self.lost and not self.late_executions

    def describe_rules(self) -> list[tuple[str, int]]:
        """List the rules with the number of violations of each."""
        return [
            ("filings doubled", self._count(Rule.DOUBLED)),
            ("filings lost", self.lost),
            ('false "not run"', self._count(Rule.FALSE_NOT_RUN)),
            (
                "keys with two owners",
                self._count(Rule.TWO_OWNERS) + self._count(Rule.STALE_OWNER),
            ),
            ("answers crossed", self._count(Rule.CROSSED)),
            ("executions in the data centre out of service", self.late_executions),
        ]

    def _count(self, rule: Rule) -> int:
        return sum(finding.rule is rule for finding in self.findings)


def render_report(report: DemoReport, console: Console) -> None:
    """
    Print the report.

    Parameters
    ----------
    report : DemoReport
        Results of the demonstration.
    console : Console
        Console to print to.
    """
    console.print(_build_table(report))
    filings = Counter(_describe_outcome(filing) for filing in report.filings)
    outcomes = ", ".join(
        f"{count} {outcome}" for outcome, count in sorted(filings.items())
    )
    console.print(f"filings in the end: {outcomes}")
    for rule, count in report.describe_rules():
        console.print(f"{count:6} {rule}")
    for finding in report.findings[:MAX_PRINTED_FINDINGS]:
        key = f"{finding.service} {finding.key}"
        console.print(f"{finding.rule}: {key}: {finding.detail}", markup=False)
    console.print("passed" if report.has_passed else "FAILED", style="bold")


def find_longest_wait(
    lookups: Iterable[Lookup], starts_at: float, ends_at: float
) -> float:
    """
    Find the longest time that lookups of a key had to wait for an answer.

    Parameters
    ----------
    lookups : iterable of Lookup
        Lookups that were sent.
    starts_at, ends_at : float
        Period in seconds; a wait counts if it ends in the period, or if it begins
        in the period and never ends.

    Returns
    -------
    float
        Longest time in seconds from a lookup's intended send time to the first
        answer of an upstream to it or a later lookup of its key.
    """
    lookups_by_key: dict[tuple[str, str], list[Lookup]] = {}
    for lookup in lookups:
        call = lookup.result.call
        lookups_by_key.setdefault((call.service, call.key), []).append(lookup)
    longest_s = 0.0
    for group in lookups_by_key.values():
        answered_at = float("inf")
        for lookup in sorted(group, key=lambda lookup: -lookup.intended_at):
            if lookup.result.is_success:
                ended_at = lookup.intended_at + lookup.result.latency_s
                answered_at = min(answered_at, ended_at)
            counted_at = (
                lookup.intended_at if answered_at == float("inf") else answered_at
            )
            if starts_at <= counted_at < ends_at:
                longest_s = max(longest_s, answered_at - lookup.intended_at)
    return longest_s


def _build_table(report: DemoReport) -> Table:
    table = Table(title="Requests by event, verdict and longest time without answer")
    table.add_column("event")
    for column in ("s", "lookups", "p99 ms", *_VERDICTS, "longest wait s"):
        table.add_column(column, justify="right")
    ends = [*(event.at for event in report.events[1:]), report.ended_at]
    for event, ends_at in zip(report.events, ends, strict=True):
        lookups = [
            lookup
            for lookup in report.lookups
            if event.at <= lookup.intended_at < ends_at
        ]
        results = [lookup.result for lookup in lookups]
        for filing in report.filings:
            if event.at <= filing.intended_at < ends_at:
                results += filing.results
        verdicts = Counter(result.verdict or _NO_ANSWER for result in results)
        is_last = event is report.events[-1]
        waited_until = float("inf") if is_last else ends_at
        longest_s = find_longest_wait(report.lookups, event.at, waited_until)
        table.add_row(
            event.title,
            f"{ends_at - event.at:.1f}",
            str(len(lookups)),
            f"{_find_p99_ms([lookup.result for lookup in lookups]):.0f}",
            *(str(verdicts[verdict]) for verdict in _VERDICTS),
            f"{longest_s:.2f}",
        )
    return table


def _find_p99_ms(results: Sequence[CallResult]) -> float:
    latencies = sorted(result.latency_s for result in results if result.is_success)
    if not latencies:
        return float("nan")
    return latencies[int(len(latencies) * 0.99)] * _MS_PER_S


def _describe_outcome(filing: Filing) -> str:
    if filing.is_lost:
        return "without a verdict"
    last = filing.results[-1]
    if last.is_success:
        return "acknowledged"
    return f"{last.verdict} ({last.reason or last.status})"
