"""Least-squares fit of a straight line."""

from collections.abc import Sequence
from dataclasses import dataclass

from numpy import polyfit

__all__ = ["Line", "fit_line"]


@dataclass(frozen=True, kw_only=True)
class Line:
    """
    A straight line.

    Parameters
    ----------
    slope : float
        Change of y for each unit of x.
    intercept : float
        Value of y at x = 0.
    """

    slope: float
    intercept: float


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """
    Fit a straight line by least squares.

    Parameters
    ----------
    points : sequence of (float, float)
        Points (x, y), at least two of them with different x.

    Returns
    -------
    Line
        Line with the least sum of squared differences in y.

    Examples
    --------
    >>> line = fit_line([(0.0, 1.0), (2.0, 5.0), (4.0, 9.0)])
    >>> round(line.slope, 6), round(line.intercept, 6)
    (2.0, 1.0)
    """
    x_values = [point[0] for point in points]
    y_values = [point[1] for point in points]
    slope, intercept = polyfit(x_values, y_values, 1)
    return Line(slope=float(slope), intercept=float(intercept))
