"""Computations of the benchmarks on hand-made results."""

from dataclasses import replace
from math import inf
from pathlib import Path

from plantaincart_testing.bench.figure import FigureCollector, PartResult, RunReport
from plantaincart_testing.bench.latency import (
    count_failures,
    measure_longest_wait,
    select_results,
    summarise_latency,
)
from plantaincart_testing.bench.machine import Machine
from plantaincart_testing.bench.plot import plot_part
from plantaincart_testing.bench.record import format_record
from plantaincart_testing.call import Call, CallResult, Outcome
from plantaincart_testing.upstream_message import Echo
from pytest import approx, mark

ECHO = Echo(
    upstream="u1",
    incarnation="a",
    execution=1,
    service="s",
    key="k",
    request="r",
    idempotency_key="",
    method="GET",
    target="/",
    fingerprint="",
    count=0,
)


def make_result(
    sent_at: float, latency_s: float, is_answered: bool = True
) -> CallResult:
    call = Call(service="s", method="GET", target="/", at_s=sent_at, key="k")
    result = CallResult(
        call=call, entry="", outcome=Outcome.LOST, latency_s=latency_s, sent_at=sent_at
    )
    if not is_answered:
        return result
    return replace(result, outcome=Outcome.ANSWERED, status=200, echo=ECHO)


@mark.parametrize(
    ("calls", "wait_s"),
    [
        ([(9.0, 0.1, True), (10.5, 0.1, True)], 0.1),
        # A call that is open at the disruption waits from the disruption on.
        ([(9.5, 2.0, True)], 1.5),
        # The wait of a failed call ends with the next answer for its key.
        ([(10.0, 1.0, False), (12.0, 0.5, True)], 2.5),
        # The unavailability begins some time after the disruption.
        ([(10.1, 0.1, True), (13.0, 0.1, False), (15.0, 0.2, True)], 2.2),
        # A fast answer to a later call ends the wait of an earlier, slow call.
        ([(10.0, 5.0, True), (11.0, 0.1, True)], 1.1),
        # The key is never answered again.
        ([(10.0, 0.1, True), (12.0, 0.1, False)], inf),
        # The call failed before the disruption.
        ([(5.0, 1.0, False)], 0.0),
    ],
)
def test_longest_wait(calls: list[tuple[float, float, bool]], wait_s: float) -> None:
    results = [make_result(*call) for call in calls]
    assert measure_longest_wait(results, since=10.0) == approx(wait_s)


def test_latency_quantiles_and_selection() -> None:
    results = [
        make_result(number / 100, number / 1000, number != 7)
        for number in range(1, 1001)
    ]
    latency = summarise_latency(results)
    assert latency.count == 1000
    assert latency.p50_ms == approx(500, rel=0.002)
    assert latency.p99_ms == approx(990, rel=0.002)
    assert latency.p999_ms == approx(999, rel=0.002)
    assert len(select_results(results, 1.0, 2.0, "s")) == 100
    assert select_results(results, 1.0, 2.0, "other") == []
    assert count_failures(results).total() == 1


def test_record_and_plot(tmp_path: Path) -> None:
    collector = FigureCollector()
    for value in (1.0, 5.0, 2.0):
        collector.add("wait", "router", "s", value, target=3.0)
    collector.add("unbounded wait", "router", "s", inf)
    collector.add_note("why")
    part = PartResult(
        part="p",
        shape="small",
        sizes="sizes",
        seconds=1.0,
        figures=collector.list_figures(),
        notes=collector.notes,
    )
    report = RunReport(
        commit="abc",
        command="bench p",
        started="2026-01-01 00:00:00",
        seed=4,
        repeats=3,
        machine=Machine(cores=2, memory_gib=1.0, load_average=0.0),
        parts=[part],
    )
    text = format_record(report)
    assert "| wait | router | s | 2 | 1 | 5 | 3 | " in text
    assert "| 3 missed |" in text
    assert "- why" in text
    assert "wait (router)" in plot_part(part, tmp_path).read_text()
