"""Bar charts of a part's figures."""

from collections.abc import Sequence
from math import isfinite
from pathlib import Path

from matplotlib import use
from matplotlib.axes import Axes
from matplotlib.figure import Figure as Canvas

from plantaincart_testing.bench.figure import Figure, PartResult

__all__ = ["plot_part"]

WIDTH_INCHES = 8.0
BAR_INCHES = 0.22
MARGIN_INCHES = 1.2

use("svg")


def plot_part(result: PartResult, folder: Path) -> Path:
    """
    Plot the figures of a part as bars, with one subplot for each unit.

    Parameters
    ----------
    result : PartResult
        Results of the part.
    folder : Path
        Folder for the file; created if missing.

    Returns
    -------
    Path
        SVG file, named after the part and the shape.

    Notes
    -----
    A bar shows the median, its error bar the range over the repeats, and a dashed
    line the target. Figures with an infinite value are left out.
    """
    figures_by_unit: dict[str, list[Figure]] = {}
    for figure in result.figures:
        if isfinite(figure.maximum):
            figures_by_unit.setdefault(figure.unit or "ratio", []).append(figure)
    bar_counts = [len(figures) for figures in figures_by_unit.values()]
    height = BAR_INCHES * sum(bar_counts) + MARGIN_INCHES * len(bar_counts)
    canvas = Canvas(figsize=(WIDTH_INCHES, height), layout="constrained")
    axes = canvas.subplots(len(bar_counts), 1, squeeze=False, height_ratios=bar_counts)
    for axis, (unit, figures) in zip(axes[:, 0], figures_by_unit.items(), strict=True):
        _draw_bars(axis, unit, figures)
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{result.part}-{result.shape}.svg"
    canvas.suptitle(f"{result.part}, shape {result.shape}")
    canvas.savefig(path, metadata={"Date": None})
    return path


def _draw_bars(axis: Axes, unit: str, figures: Sequence[Figure]) -> None:
    labels = [f"{figure.name} ({figure.subject})" for figure in figures]
    medians = [figure.median for figure in figures]
    error_ranges = [
        [figure.median - figure.minimum for figure in figures],
        [figure.maximum - figure.median for figure in figures],
    ]
    axis.barh(labels, medians, xerr=error_ranges, height=0.7)
    axis.invert_yaxis()
    axis.set_xlabel(unit)
    for target in {figure.target for figure in figures if figure.target}:
        axis.axvline(target, linestyle="--")
