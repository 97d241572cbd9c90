"""Errors of the operator command and their exit codes."""

from collections.abc import Sequence

from plantaincart_schema.exception import PlantaincartError

from plantaincart_operator.exit_code import ExitCode

__all__ = [
    "ConflictError",
    "NotInForceError",
    "OperatorError",
    "RefusedError",
    "UnavailableError",
    "UsageError",
]


class OperatorError(PlantaincartError):
    """Base class of the errors that end a command."""

    exit_code = ExitCode.REFUSED


class RefusedError(OperatorError):
    """The command concerns something that doesn't exist, or isn't allowed."""


class UsageError(OperatorError):
    """An argument is missing or invalid, or a file can't be read."""

    exit_code = ExitCode.USAGE


class ConflictError(OperatorError):
    """
    Another operator changed the configuration.

    Parameters
    ----------
    message : str
        Description with the version in force and its operator.
    changes : sequence of str
        Changes made since the version that this operator expected.
    """

    exit_code = ExitCode.CONFLICT

    def __init__(self, message: str, changes: Sequence[str]) -> None:
        super().__init__(message, changes)
        self.message = message
        self.changes = tuple(changes)

    def __str__(self) -> str:
        return "\n".join([self.message, *(f"  {change}" for change in self.changes)])


class UnavailableError(OperatorError):
    """The platform or the instances didn't answer."""

    exit_code = ExitCode.UNAVAILABLE


class NotInForceError(OperatorError):
    """A version was accepted, but not in force on every instance in time."""

    exit_code = ExitCode.NOT_IN_FORCE
