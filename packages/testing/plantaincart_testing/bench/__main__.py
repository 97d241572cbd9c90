"""
Command line of the benchmarks.

Run ``python -m plantaincart_testing.bench --help`` for the options.
"""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from datetime import UTC, datetime
from gc import disable as disable_garbage_collection
from pathlib import Path
from shlex import join
from sys import argv
from time import monotonic
from typing import Literal

from cyclopts import App
from rich.console import Console
from uvloop import run

from plantaincart_testing.bench.churn import WORKLOAD as CHURN_WORKLOAD
from plantaincart_testing.bench.churn import measure_churn
from plantaincart_testing.bench.control import WORKLOAD as CONTROL_WORKLOAD
from plantaincart_testing.bench.control import measure_control
from plantaincart_testing.bench.datacentre import WORKLOAD as DATACENTRE_WORKLOAD
from plantaincart_testing.bench.datacentre import measure_datacentre
from plantaincart_testing.bench.figure import FigureCollector, PartResult, RunReport
from plantaincart_testing.bench.imbalance import WORKLOAD as IMBALANCE_WORKLOAD
from plantaincart_testing.bench.imbalance import measure_imbalance
from plantaincart_testing.bench.machine import describe_machine, read_commit
from plantaincart_testing.bench.output import render_part, write_report
from plantaincart_testing.bench.overhead import WORKLOAD as OVERHEAD_WORKLOAD
from plantaincart_testing.bench.overhead import measure_overhead
from plantaincart_testing.bench.plot import plot_part
from plantaincart_testing.bench.record import append_record
from plantaincart_testing.bench.stragglers import WORKLOAD as STRAGGLERS_WORKLOAD
from plantaincart_testing.bench.stragglers import measure_stragglers
from plantaincart_testing.bench.subject import BenchOptions
from plantaincart_testing.bench.unavailability import (
    WORKLOAD as UNAVAILABILITY_WORKLOAD,
)
from plantaincart_testing.bench.unavailability import measure_unavailability
from plantaincart_testing.shape import SHAPES

__all__ = ["main"]

DEFAULT_RESULTS = Path("run/bench")
CONSOLE_COLUMNS = 130

app = App(
    help="Benchmark the router and the baseline routers on the loopback interface."
)


@dataclass(frozen=True, kw_only=True)
class Part:
    """
    A part of the benchmark suite.

    Parameters
    ----------
    measure : callable
        Runs the part and adds its figures to the collector.
    workload : str
        Description of the load: rates, durations and sizes.
    shape : str
        Name of the shape that the part always uses; if empty, the part uses the
        shape given on the command line.
    """

    measure: Callable[[BenchOptions, FigureCollector], Awaitable[None]]
    workload: str
    shape: str = ""


PARTS: Mapping[str, Part] = {
    "unavailability": Part(
        measure=measure_unavailability, workload=UNAVAILABILITY_WORKLOAD, shape="small"
    ),
    "datacentre": Part(measure=measure_datacentre, workload=DATACENTRE_WORKLOAD),
    "stragglers": Part(measure=measure_stragglers, workload=STRAGGLERS_WORKLOAD),
    "overhead": Part(
        measure=measure_overhead, workload=OVERHEAD_WORKLOAD, shape="pair"
    ),
    "imbalance": Part(measure=measure_imbalance, workload=IMBALANCE_WORKLOAD),
    "churn": Part(measure=measure_churn, workload=CHURN_WORKLOAD),
    "control": Part(
        measure=measure_control, workload=CONTROL_WORKLOAD, shape="control"
    ),
}
PartName = Literal[
    "unavailability",
    "datacentre",
    "stragglers",
    "overhead",
    "imbalance",
    "churn",
    "control",
]
ShapeName = Literal["small", "svealand", "nam-central"]


@app.default
def main(
    *part: PartName,
    shape: ShapeName = "svealand",
    seed: int = 1,
    repeats: int = 1,
    results: Path = DEFAULT_RESULTS,
    plots: Path | None = None,
    record: Path | None = None,
) -> None:
    """
    Run parts of the benchmark suite, one after another.

    Parameters
    ----------
    *part : str
        Names of the parts to run; all if none is given.
    shape : str
        Shape of the systems, for the parts that have no fixed shape.
    seed : int
        Seed of loads, service times and random choices; it increases by one with
        each repeat.
    repeats : int
        Number of runs of each measurement.
    results : Path
        Folder for the results and the systems' logs.
    plots : Path, optional
        Folder for plots; without it, nothing is plotted.
    record : Path, optional
        Markdown page to which the results are appended.
    """
    console = Console(width=CONSOLE_COLUMNS)
    started = datetime.now(UTC).strftime("%Y-%m-%d %H:%M:%S")
    machine, commit = describe_machine(), read_commit()
    console.print(f"commit {commit}, seed {seed}, repeats {repeats}, {machine}")
    parts = []
    for name in part or PARTS:
        folder_stamp = started.replace(" ", "T").replace(":", "")
        options = BenchOptions(
            shape=SHAPES[shape],
            seed=seed,
            repeats=repeats,
            folder=results / "systems" / f"{folder_stamp}-{name}",
        )
        result = run(_measure(name, options))
        render_part(result, console)
        if plots is not None:
            plot_part(result, plots)
        parts.append(result)
    report = RunReport(
        commit=commit,
        command=f"python -m plantaincart_testing.bench {join(argv[1:])}".strip(),
        started=started,
        seed=seed,
        repeats=repeats,
        machine=machine,
        parts=parts,
    )
    if record is not None:
        append_record(report, record)
    console.print(f"results: {write_report(report, results)}", soft_wrap=True)


async def _measure(name: str, options: BenchOptions) -> PartResult:
    part, collector = PARTS[name], FigureCollector()
    began_at = monotonic()
    # Automatic garbage collection would pause the caller in this process, and the
    # pauses would count as latency. make_system collects garbage explicitly.
    disable_garbage_collection()
    await part.measure(options, collector)
    return PartResult(
        part=name,
        shape=part.shape or options.shape.name,
        sizes=part.workload,
        seconds=monotonic() - began_at,
        figures=collector.list_figures(),
        notes=collector.notes,
    )


if __name__ == "__main__":
    app()
