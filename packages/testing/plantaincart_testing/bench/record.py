"""Markdown record of benchmark runs."""

from collections.abc import Iterator
from pathlib import Path

from plantaincart_testing.bench.figure import Figure, PartResult, RunReport

__all__ = ["append_record", "format_record"]

_HEADER = (
    "| measure | subject | unit | median | least | most | runs | load | target |\n"
    "|---|---|---|---|---|---|---|---|---|"
)


def append_record(report: RunReport, path: Path) -> None:
    """Append a run to a Markdown page."""
    with path.open("a") as page:
        page.write(f"\n{format_record(report)}")


def format_record(report: RunReport) -> str:
    """
    Format a run as a Markdown section.

    Parameters
    ----------
    report : RunReport
        Results of the run.

    Returns
    -------
    str
        Section with heading, command, machine and a table for each part.
    """
    return "\n".join(_format_lines(report)) + "\n"


def _format_lines(report: RunReport) -> Iterator[str]:
    machine = report.machine
    names = ", ".join(part.part for part in report.parts)
    yield f"## {report.started} UTC: {names}"
    yield ""
    yield (
        f"Commit `{report.commit}`; `{report.command}`; seed {report.seed}, "
        f"{report.repeats} repeats; {machine.cores} cores, {machine.memory_gib:g} GiB, "
        f"load average {machine.load_average:.0f} before the run."
    )
    for part in report.parts:
        yield ""
        yield f"**{part.part}**, shape {part.shape}: {part.sizes}."
        yield ""
        yield _HEADER
        for figure in part.figures:
            yield _format_figure(figure)
        yield from _format_notes(part)


def _format_notes(part: PartResult) -> Iterator[str]:
    if part.notes:
        yield ""
    for note in part.notes:
        yield f"- {note}"


def _format_figure(figure: Figure) -> str:
    values = (figure.median, figure.minimum, figure.maximum)
    target = ""
    if figure.target is not None:
        target = f"{figure.target:g} {'met' if figure.is_met else 'missed'}"
    cells = [
        figure.name,
        figure.subject,
        figure.unit,
        *(f"{value:.4g}" for value in values),
        str(len(figure.values)),
        f"{figure.load_average:.0f}",
        target,
    ]
    return f"| {' | '.join(cells)} |"
