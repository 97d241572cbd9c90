"""Commands that check, apply and show settings, declarations and sheets."""

from dataclasses import replace
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter
from cyclopts.validators import Number
from plantaincart_schema.document import read_settings
from plantaincart_schema.generated.operator import OperatorSettings

from plantaincart_operator.apply import (
    ApplyReport,
    apply_document,
    wait_until_in_force,
)
from plantaincart_operator.declaration import (
    build_declarations_request,
    load_declarations,
)
from plantaincart_operator.exception import NotInForceError, UsageError
from plantaincart_operator.exit_code import ExitCode
from plantaincart_operator.option import (
    ExpectOption,
    OutputOption,
    PlatformOption,
    WaitOption,
    finish_command,
)
from plantaincart_operator.output import Output, Report
from plantaincart_operator.platform import Platform
from plantaincart_operator.report import CheckReport
from plantaincart_operator.settings import (
    find_operator_name,
    load_operator_settings,
    read_document,
)
from plantaincart_operator.sheet import (
    build_sheet_request,
    check_sheet,
    load_sheet,
    read_history,
    show_version,
)
from plantaincart_operator.store import ConfigurationStore

__all__ = ["declarations_app", "settings_app", "sheet_app"]

settings_app = App(name="settings", help="Settings of an instance (TOML).")
declarations_app = App(
    name="declarations", help="Services, data centres and upstreams (TOML)."
)
sheet_app = App(
    name="sheet",
    help="Sheet (CSV) that changes data centres, upstreams and rate limits for a day.",
)


@settings_app.command(name="check")
async def check_settings_files(
    *files: Path, output: OutputOption = Output.TEXT
) -> ExitCode:
    """
    Check settings files of instances and list all errors.

    Parameters
    ----------
    files : Path
        TOML files.
    """

    async def run() -> Report:
        if not files:
            raise UsageError("no settings file given")
        errors: list[Exception] = []
        for path in files:
            text = read_document(path).decode("utf-8", errors="replace")
            try:
                read_settings(text, str(path))
            except ExceptionGroup as group:
                errors.extend(group.exceptions)
        if errors:
            raise ExceptionGroup("settings are not valid", errors)
        return CheckReport(source=", ".join(str(path) for path in files))

    return await finish_command(run(), output)


@declarations_app.command(name="check")
async def check_declarations_file(
    file: Path, /, *, output: OutputOption = Output.TEXT
) -> ExitCode:
    """
    Check declarations without applying them, and list all errors.

    Parameters
    ----------
    file : Path
        TOML file.
    """

    async def run() -> Report:
        load_declarations(file)
        return CheckReport(source=str(file))

    return await finish_command(run(), output)


@declarations_app.command(name="apply")
async def apply_declarations_file(
    file: Path,
    /,
    *,
    expect_version: ExpectOption = None,
    wait: WaitOption = None,
    platform: PlatformOption = None,
    output: OutputOption = Output.TEXT,
) -> ExitCode:
    """
    Apply declarations as a new version; safe to repeat after a lost answer.

    Parameters
    ----------
    file : Path
        TOML file.
    """

    async def run() -> Report:
        settings = load_operator_settings(platform)
        async with Platform(settings) as opened_platform:
            store = ConfigurationStore(opened_platform.table)
            state = await store.read_state()
            operator = find_operator_name(settings)
            request, declarations = build_declarations_request(
                file, operator, expect_version, state.declarations
            )
            report = await apply_document(store, state, request, settings, declarations)
            return await _wait_if_asked(opened_platform, report, wait, settings)

    return await finish_command(run(), output)


@sheet_app.command(name="check")
async def check_sheet_file(
    file: Path,
    /,
    *,
    platform: PlatformOption = None,
    output: OutputOption = Output.TEXT,
) -> ExitCode:
    """
    Check a sheet; if a platform is given, also against the version in force.

    Parameters
    ----------
    file : Path
        CSV file as exported by a spreadsheet.
    """

    async def run() -> Report:
        sheet, content = load_sheet(file)
        if platform is None:
            return CheckReport(source=sheet.source)
        async with Platform(load_operator_settings(platform)) as opened_platform:
            return await check_sheet(
                ConfigurationStore(opened_platform.table), sheet, content
            )

    return await finish_command(run(), output)


@sheet_app.command(name="apply")
async def apply_sheet_file(
    file: Path,
    /,
    *,
    expect_version: ExpectOption = None,
    wait: WaitOption = None,
    platform: PlatformOption = None,
    output: OutputOption = Output.TEXT,
) -> ExitCode:
    """
    Apply a sheet as a new version; safe to repeat after a lost answer.

    Parameters
    ----------
    file : Path
        CSV file as exported by a spreadsheet.
    """

    async def run() -> Report:
        settings = load_operator_settings(platform)
        sheet, content = load_sheet(file)
        operator = find_operator_name(settings)
        request = build_sheet_request(sheet, content, operator, expect_version)
        async with Platform(settings) as opened_platform:
            store = ConfigurationStore(opened_platform.table)
            state = await store.read_state()
            report = await apply_document(store, state, request, settings)
            return await _wait_if_asked(opened_platform, report, wait, settings)

    return await finish_command(run(), output)


@sheet_app.command(name="show")
async def show_sheet(
    *,
    version: Annotated[int | None, Parameter(help="Earlier version to show.")] = None,
    platform: PlatformOption = None,
    output: OutputOption = Output.TEXT,
) -> ExitCode:
    """Show data centres, upstreams and limits of the version in force."""

    async def run() -> Report:
        async with Platform(load_operator_settings(platform)) as opened_platform:
            return await show_version(
                ConfigurationStore(opened_platform.table), version
            )

    return await finish_command(run(), output)


@sheet_app.command(name="history")
async def show_history(
    *,
    limit: Annotated[
        int,
        Parameter(validator=Number(gte=1, lte=999), help="Maximum number of versions."),
    ] = 20,
    platform: PlatformOption = None,
    output: OutputOption = Output.TEXT,
) -> ExitCode:
    """Show the latest versions with their operator, time and changes."""

    async def run() -> Report:
        async with Platform(load_operator_settings(platform)) as opened_platform:
            return await read_history(ConfigurationStore(opened_platform.table), limit)

    return await finish_command(run(), output)


async def _wait_if_asked(
    platform: Platform,
    report: ApplyReport,
    timeout_s: float | None,
    settings: OperatorSettings,
) -> ApplyReport:
    if timeout_s is None:
        return report
    try:
        count, waited_s = await wait_until_in_force(
            platform, report.version, timeout_s, settings.wait_poll_s
        )
    except NotInForceError as error:
        message = f"version {report.version}: {report.outcome}; {error}"
        raise NotInForceError(message) from None
    return replace(report, in_force=count, instances=count, in_force_after_s=waited_s)
