"""Reading of the command's settings and of files given on the command line."""

from getpass import getuser
from pathlib import Path

from plantaincart_schema.document import read_operator_settings
from plantaincart_schema.generated.operator import OperatorSettings

from plantaincart_operator.exception import UsageError

__all__ = ["find_operator_name", "load_operator_settings", "read_document"]

PLATFORM_VARIABLE = "PLANTAINCART_PLATFORM"


def read_document(path: Path) -> bytes:
    """
    Read a file given on the command line.

    Parameters
    ----------
    path : Path
        Path of the file.

    Returns
    -------
    bytes
        Content of the file.

    Raises
    ------
    UsageError
        If the file can't be read.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from None


def load_operator_settings(path: Path | None) -> OperatorSettings:
    """
    Load the settings of the command.

    Parameters
    ----------
    path : Path or None
        TOML file with the platform's addresses.

    Returns
    -------
    OperatorSettings
        Settings with defaults filled in.

    Raises
    ------
    UsageError
        If no file is given or it can't be read.
    ExceptionGroup
        With an `InvalidValueError` for each value that isn't allowed.
    """
    if path is None:
        raise UsageError(
            f"give --platform FILE or set {PLATFORM_VARIABLE} to a file"
            " with the platform's addresses"
        )
    text = read_document(path).decode("utf-8", errors="replace")
    return read_operator_settings(text, str(path))


def find_operator_name(settings: OperatorSettings) -> str:
    """
    Find the operator name to record with an applied version.

    Parameters
    ----------
    settings : OperatorSettings
        Settings of the command.

    Returns
    -------
    str
        Name from the settings, otherwise the login name; ``unknown`` without either.
    """
    if settings.operator:
        return settings.operator
    try:
        return getuser()
    except (KeyError, OSError):
        return "unknown"
