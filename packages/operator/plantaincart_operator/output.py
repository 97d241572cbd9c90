"""Output of the commands as text or JSON."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum
from sys import stdout as terminal

from plantaincart_schema.codec import encode_json
from plantaincart_schema.exception import InvalidValueError, PlantaincartError
from rich.console import Console

from plantaincart_operator.exception import ConflictError, OperatorError
from plantaincart_operator.exit_code import ExitCode

__all__ = ["Failure", "Output", "Report", "describe_failure", "write_report"]

PLAIN_WIDTH = 160
"""Width in columns of text that isn't written to a terminal."""


class Output(Enum):
    """Output format of a command."""

    TEXT = "text"
    JSON = "json"


class Report(ABC):
    """Result of a command: a data class, written as JSON or rendered as text."""

    @abstractmethod
    def render(self, console: Console) -> None:
        """
        Print the report as text.

        Parameters
        ----------
        console : Console
            Console to print to.
        """


@dataclass(frozen=True, kw_only=True)
class Problem:
    """
    Reason for the failure of a command.

    Parameters
    ----------
    message : str
        Error message.
    source, place, given, allowed : str
        For an invalid value: file, key or cell, the value, and the allowed values.
    changes : tuple of str
        For a conflict: changes made by another operator.
    """

    message: str
    source: str = ""
    place: str = ""
    given: str = ""
    allowed: str = ""
    changes: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Failure(Report):
    """
    Failure of a command.

    Parameters
    ----------
    exit_code : int
        Exit code of the command.
    problems : tuple of Problem
        All reasons for the failure.
    """

    exit_code: int
    problems: tuple[Problem, ...]

    def render(self, console: Console) -> None:
        """Print one line for each problem."""
        for problem in self.problems:
            console.print(f"error: {problem.message}", markup=False, soft_wrap=True)


def write_report(report: Report, output: Output) -> None:
    """
    Write a report in an output format; failures as text go to standard error.

    Parameters
    ----------
    report : Report
        Report to write.
    output : Output
        Output format.
    """
    if output is Output.JSON:
        print(encode_json(report).decode())
        return
    width = None if terminal.isatty() else PLAIN_WIDTH
    is_failure = isinstance(report, Failure)
    console = Console(stderr=is_failure, highlight=False, width=width)
    report.render(console)


def describe_failure(error: PlantaincartError | ExceptionGroup) -> Failure:
    """
    Describe an error, or each error of a group.

    Parameters
    ----------
    error : PlantaincartError or ExceptionGroup
        Error that ended the command.

    Returns
    -------
    Failure
        Failure with a problem for each error.
    """
    errors = error.exceptions if isinstance(error, ExceptionGroup) else (error,)
    codes = [member.exit_code for member in errors if isinstance(member, OperatorError)]
    problems: list[Problem] = []
    for member in errors:
        if isinstance(member, ExceptionGroup):
            problems.extend(describe_failure(member).problems)
        else:
            problems.append(_describe_error(member))
    code = max(codes, default=ExitCode.REFUSED)
    return Failure(exit_code=int(code), problems=tuple(problems))


def _describe_error(error: Exception) -> Problem:
    if isinstance(error, InvalidValueError):
        return Problem(
            message=str(error),
            source=error.source,
            place=error.place,
            given=error.given,
            allowed=error.allowed,
        )
    changes = error.changes if isinstance(error, ConflictError) else ()
    return Problem(message=str(error), changes=changes)
