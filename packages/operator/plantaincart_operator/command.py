"""Command line of the operator command, with all its subcommands."""

from collections.abc import Sequence
from sys import exit as exit_process

from cyclopts import App, CycloptsError

from plantaincart_operator.configuration_command import (
    declarations_app,
    settings_app,
    sheet_app,
)
from plantaincart_operator.exit_code import EXIT_CODE_HELP, ExitCode
from plantaincart_operator.system_command import (
    show_key,
    show_request,
    show_status,
    show_timeline,
)
from plantaincart_operator.where_command import show_where

__all__ = ["app", "main", "run_command"]

app = App(
    name="plantaincart",
    help="Check and apply configuration, and show the state of the routers.",
    help_epilogue=EXIT_CODE_HELP,
    help_format="plaintext",
    version_flags=(),
)
for group in (settings_app, declarations_app, sheet_app):
    app.command(group)
app.command(show_status, name="status")
app.command(show_key, name="key")
app.command(show_timeline, name="timeline")
app.command(show_request, name="explain")
app.command(show_where, name="where")


def run_command(arguments: Sequence[str] | None = None) -> int:
    """
    Run a command line.

    Parameters
    ----------
    arguments : sequence of str, optional
        Command line without the program's name; by default that of the process.

    Returns
    -------
    int
        Exit code, see `ExitCode`.
    """
    try:
        code = app(
            arguments,
            exit_on_error=False,
            print_error=True,
            result_action="return_value",
        )
    except CycloptsError:
        return int(ExitCode.USAGE)
    return int(code or ExitCode.OK)


def main() -> None:
    """Run the command line of this process and exit with its code."""
    exit_process(run_command())
