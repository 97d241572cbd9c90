"""Shared options of the subcommands, and running a subcommand."""

from collections.abc import Awaitable
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter
from cyclopts.validators import Number
from plantaincart_schema.exception import PlantaincartError

from plantaincart_operator.exit_code import ExitCode
from plantaincart_operator.output import (
    Output,
    Report,
    describe_failure,
    write_report,
)
from plantaincart_operator.settings import PLATFORM_VARIABLE

__all__ = [
    "ExpectOption",
    "OutputOption",
    "PlatformOption",
    "WaitOption",
    "finish_command",
]

OutputOption = Annotated[Output, Parameter(help="Output format.")]
PlatformOption = Annotated[
    Path | None,
    Parameter(env_var=PLATFORM_VARIABLE, help="TOML file with the platform's address."),
]
WaitOption = Annotated[
    float | None,
    Parameter(
        validator=Number(gt=0),
        help="Seconds to wait until the version is in force on every instance.",
    ),
]
ExpectOption = Annotated[
    int | None,
    Parameter(help="Version that must be in force; any other is a conflict."),
]


async def finish_command(run: Awaitable[Report], output: Output) -> ExitCode:
    """
    Run a command and write its report, or all of its errors.

    Parameters
    ----------
    run : awaitable of Report
        Coroutine that runs the command.
    output : Output
        Output format.

    Returns
    -------
    ExitCode
        Exit code of the command.
    """
    try:
        report = await run
    except (PlantaincartError, ExceptionGroup) as error:
        failure = describe_failure(error)
        write_report(failure, output)
        return ExitCode(failure.exit_code)
    write_report(report, output)
    return ExitCode.OK
