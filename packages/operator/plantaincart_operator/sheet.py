"""Reading and checking sheets, and showing versions of the configuration."""

from datetime import UTC, datetime
from pathlib import Path
from time import time

from plantaincart_core.apply import (
    ApplyRequest,
    ApplyState,
    WriteIdentity,
    propose_version,
)
from plantaincart_core.configuration import apply_sheet, describe_changes
from plantaincart_core.sheet import Sheet, parse_sheet
from plantaincart_schema.exception import InvalidValueError
from plantaincart_schema.generated.configuration import Configuration

from plantaincart_operator.apply import find_warnings
from plantaincart_operator.exception import RefusedError
from plantaincart_operator.report import (
    CheckReport,
    HistoryEntry,
    HistoryReport,
    ShowReport,
)
from plantaincart_operator.settings import read_document
from plantaincart_operator.store import ConfigurationStore

__all__ = [
    "build_sheet_request",
    "check_sheet",
    "load_sheet",
    "read_history",
    "show_version",
]


def load_sheet(path: Path) -> tuple[Sheet, bytes]:
    """
    Read a sheet.

    Parameters
    ----------
    path : Path
        CSV file.

    Returns
    -------
    tuple of Sheet and bytes
        The sheet, and the file's content.

    Raises
    ------
    UsageError
        If the file can't be read.
    ExceptionGroup
        With an `InvalidValueError` for each invalid cell.
    """
    content = read_document(path)
    try:
        text = content.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        place = f"byte {error.start + 1}"
        byte = repr(content[error.start : error.start + 1])
        invalid = InvalidValueError(str(path), place, byte, "must be UTF-8 text")
        raise ExceptionGroup(f"{path} is not valid", [invalid]) from None
    return parse_sheet(text, str(path)), content


def build_sheet_request(
    sheet: Sheet, content: bytes, operator: str, expect_version: int | None
) -> ApplyRequest:
    """
    Build the request to apply a sheet.

    Parameters
    ----------
    sheet : Sheet
        Sheet to apply.
    content : bytes
        The file's content.
    operator : str
        Name of the operator.
    expect_version : int or None
        Version that the operator expects to be in force.

    Returns
    -------
    ApplyRequest
        The request.
    """

    def build(current: Configuration, write_id: str) -> Configuration:
        return apply_sheet(current, sheet, write_id, operator)

    return ApplyRequest(
        kind="sheet",
        content=content,
        build=build,
        operator=operator,
        expect_version=expect_version,
    )


async def check_sheet(
    store: ConfigurationStore, sheet: Sheet, content: bytes
) -> CheckReport:
    """
    Check a sheet against the configuration in force.

    Parameters
    ----------
    store : ConfigurationStore
        Store of the configuration's rows.
    sheet : Sheet
        Sheet to check.
    content : bytes
        The file's content.

    Returns
    -------
    CheckReport
        Report with the changes that an apply would make.

    Raises
    ------
    ExceptionGroup
        With an `InvalidValueError` for each row that doesn't fit the configuration.
    UnavailableError
        If the table doesn't answer.
    """
    current = (await store.read_state()).configuration
    request = build_sheet_request(sheet, content, "", None)
    proposal = propose_version(request, current, [], time())
    is_new = proposal.state is ApplyState.NEW
    return CheckReport(
        source=sheet.source,
        version=current.version,
        changes=proposal.changes,
        warnings=find_warnings(proposal.configuration) if is_new else (),
    )


async def show_version(store: ConfigurationStore, version: int | None) -> ShowReport:
    """
    Read the version in force, or one from the history.

    Parameters
    ----------
    store : ConfigurationStore
        Store of the configuration's rows.
    version : int or None
        Version to show; None for the version in force.

    Returns
    -------
    ShowReport
        Report with the configuration of this version.

    Raises
    ------
    RefusedError
        If the version isn't in the history.
    UnavailableError
        If the table doesn't answer.
    """
    if version is None:
        return ShowReport(configuration=(await store.read_state()).configuration)
    versions = await store.read_history(version, 1)
    if not versions:
        raise RefusedError(f"version {version} isn't in the history")
    return ShowReport(configuration=versions[0])


async def read_history(store: ConfigurationStore, count: int) -> HistoryReport:
    """
    Read the latest versions and the changes made by each.

    Parameters
    ----------
    store : ConfigurationStore
        Store of the configuration's rows.
    count : int
        Maximum number of versions to read.

    Returns
    -------
    HistoryReport
        Report with the highest version first.

    Raises
    ------
    UnavailableError
        If the table doesn't answer.
    """
    newest = (await store.read_state()).configuration.version
    configurations = await store.read_history(newest, count + 1)
    by_version = {
        configuration.version: configuration for configuration in configurations
    }
    entries = [
        _describe_entry(configuration, by_version.get(configuration.version - 1))
        for configuration in configurations[:count]
    ]
    return HistoryReport(entries=tuple(entries))


def _describe_entry(
    configuration: Configuration, previous: Configuration | None
) -> HistoryEntry:
    identity = WriteIdentity.parse(configuration.write_id)
    applied_at = ""
    if identity is not None:
        time_utc = datetime.fromtimestamp(identity.applied_at, UTC)
        applied_at = time_utc.isoformat(timespec="seconds")
    return HistoryEntry(
        version=configuration.version,
        kind=identity.kind if identity else "",
        applied_by=configuration.applied_by,
        applied_at=applied_at,
        changes=tuple(describe_changes(previous, configuration)) if previous else (),
    )
