"""Output of a run's results as a console table and as JSON."""

from pathlib import Path

from plantaincart_schema.codec import encode_json
from rich.console import Console
from rich.table import Table

from plantaincart_testing.bench.figure import Figure, PartResult, RunReport

__all__ = ["render_part", "write_report"]


def render_part(result: PartResult, console: Console) -> None:
    """Print the figures of a part as a table."""
    title = f"{result.part}, shape {result.shape} ({result.seconds:.0f} s)"
    table = Table("measure", "subject", "unit", title=title, title_justify="left")
    for name in ("median", "least", "most", "runs", "load", "target", "met"):
        table.add_column(name, justify="right")
    for figure in result.figures:
        table.add_row(*_format_cells(figure))
    console.print(table)
    console.print(result.sizes, soft_wrap=True, markup=False, highlight=False)
    for note in result.notes:
        console.print(f"  {note}", soft_wrap=True, markup=False, highlight=False)


def write_report(report: RunReport, folder: Path) -> Path:
    """
    Write a run's results as JSON.

    Parameters
    ----------
    report : RunReport
        Results of the run.
    folder : Path
        Folder for the file; created if missing.

    Returns
    -------
    Path
        The file, named after the start time and the parts.
    """
    folder.mkdir(parents=True, exist_ok=True)
    parts = "-".join(result.part for result in report.parts)
    stamp = report.started.replace(":", "").replace("-", "").replace(" ", "-")
    path = folder / f"{stamp}-{parts}.json"
    path.write_bytes(encode_json(report))
    return path


def _format_cells(figure: Figure) -> list[str]:
    values = (figure.median, figure.minimum, figure.maximum)
    is_met = {None: "", True: "yes", False: "no"}[figure.is_met]
    target = "" if figure.target is None else f"{figure.target:g}"
    return [
        figure.name,
        figure.subject,
        figure.unit,
        *(f"{value:.4g}" for value in values),
        str(len(figure.values)),
        f"{figure.load_average:.0f}",
        target,
        is_met,
    ]
