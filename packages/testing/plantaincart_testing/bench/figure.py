"""Measured values of a benchmark run, and the report that is written from them."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from os import getloadavg
from statistics import median

from plantaincart_testing.bench.machine import Machine

__all__ = ["Figure", "FigureCollector", "PartResult", "RunReport"]


@dataclass(frozen=True, kw_only=True)
class Figure:
    """
    A measured quantity with its value in each repeat.

    Parameters
    ----------
    name : str
        Name of the quantity.
    subject : str
        System under test: the router or a baseline.
    unit : str
        Unit of the values.
    values : sequence of float
        One value for each repeat; infinity is written to JSON as null.
    load_averages : sequence of float
        The machine's one-minute load average when each value was added.
    target : float, optional
        Highest value that meets the objective, in the same unit.
    """

    name: str
    subject: str
    unit: str
    values: Sequence[float]
    load_averages: Sequence[float]
    target: float | None = None

    @property
    def median(self) -> float:
        """Median of the values."""
        return median(self.values)

    @property
    def minimum(self) -> float:
        """Lowest value."""
        return min(self.values)

    @property
    def maximum(self) -> float:
        """Highest value."""
        return max(self.values)

    @property
    def load_average(self) -> float:
        """Highest load average at the time of any value."""
        return max(self.load_averages)

    @property
    def is_met(self) -> bool | None:
        """Whether every value is within the target; None if there is no target."""
        return None if self.target is None else self.maximum <= self.target


class FigureCollector:
    """
    Collects the values of figures over the repeats of a part.

    Examples
    --------
    >>> collector = FigureCollector()
    >>> for value in (2.0, 1.0, 4.0):
    ...     collector.add("recovery", "router", "s", value, target=3.0)
    >>> figure = collector.list_figures()[0]
    >>> figure.minimum, figure.median, figure.maximum, figure.is_met
    (1.0, 2.0, 4.0, False)
    """

    def __init__(self) -> None:
        self._values: dict[tuple[str, str], list[float]] = {}
        self._load_averages: dict[tuple[str, str], list[float]] = {}
        self._units_and_targets: dict[tuple[str, str], tuple[str, float | None]] = {}
        self.notes: list[str] = []

    def add(
        self,
        name: str,
        subject: str,
        unit: str,
        value: float,
        target: float | None = None,
    ) -> None:
        """Add the value of one repeat."""
        key = (name, subject)
        self._units_and_targets[key] = (unit, target)
        self._values.setdefault(key, []).append(value)
        self._load_averages.setdefault(key, []).append(getloadavg()[0])

    def add_note(self, text: str) -> None:
        """Add a note that explains a value."""
        self.notes.append(text)

    def list_figures(self) -> list[Figure]:
        """Return the figures in the order in which they were first added."""
        return [
            Figure(
                name=name,
                subject=subject,
                unit=self._units_and_targets[name, subject][0],
                values=values,
                load_averages=self._load_averages[name, subject],
                target=self._units_and_targets[name, subject][1],
            )
            for (name, subject), values in self._values.items()
        ]


@dataclass(frozen=True, kw_only=True)
class PartResult:
    """
    Results of one part of the benchmark suite.

    Parameters
    ----------
    part : str
        Name of the part.
    shape : str
        Name of the shape of the measured systems.
    sizes : str
        Description of the load: rates, durations and sizes.
    seconds : float
        Duration of the part.
    figures : sequence of Figure
        Measured quantities.
    notes : sequence of str
        Explanations of single values.
    """

    part: str
    shape: str
    sizes: str
    seconds: float
    figures: Sequence[Figure]
    notes: Sequence[str] = field(default_factory=list)


@dataclass(frozen=True, kw_only=True)
class RunReport:
    """
    Results of one run of the benchmark suite.

    Parameters
    ----------
    commit : str
        Commit of the code, with a plus sign if the working tree had changes.
    command : str
        Command line.
    started : str
        Start time in UTC.
    seed : int
        Seed of the first repeat.
    repeats : int
        Number of runs of each measurement.
    machine : Machine
        Machine that the run used.
    parts : sequence of PartResult
        Results in the order in which the parts ran.
    """

    commit: str
    command: str
    started: str
    seed: int
    repeats: int
    machine: Machine
    parts: Sequence[PartResult]
