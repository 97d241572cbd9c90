"""Publication of declarations and sheets without the operator's command."""

from asyncio import get_running_loop
from time import time_ns

from plantaincart_core.configuration import (
    CONFIGURATION_ROW,
    DECLARATIONS_ROW,
    EMPTY_CONFIGURATION,
    merge_declarations,
    name_history_row,
)
from plantaincart_core.sheet import parse_sheet
from plantaincart_core.sheet_change import apply_sheet
from plantaincart_router.platform.table import Table, commit_and_confirm
from plantaincart_schema.codec import decode_json, encode_json
from plantaincart_schema.generated.configuration import Configuration, Declarations
from plantaincart_schema.generated.platform import Condition, Row, Transaction, Write

from plantaincart_testing.exception import TestingError

__all__ = ["publish_declarations", "publish_sheet"]

COMMIT_TIMEOUT_S = 5.0
APPLIED_BY = "local-system"


async def publish_declarations(
    table: Table, declarations: Declarations
) -> Configuration:
    """
    Write declarations into the table as the next version of the configuration.

    Parameters
    ----------
    table : Table
        Table of the platform.
    declarations : Declarations
        Services, data centres and upstreams.

    Returns
    -------
    Configuration
        Configuration that was written.

    Raises
    ------
    TestingError
        If another version was written at the same time.
    """
    rows = await table.read([CONFIGURATION_ROW, DECLARATIONS_ROW])
    configuration = merge_declarations(
        _decode_configuration(rows), declarations, _make_write_id(), APPLIED_BY
    )
    value = encode_json(declarations)
    await _commit(table, rows, configuration, {DECLARATIONS_ROW: value})
    return configuration


async def publish_sheet(table: Table, text: str) -> Configuration:
    """
    Apply a sheet to the configuration in the table.

    Parameters
    ----------
    table : Table
        Table of the platform.
    text : str
        Sheet as CSV text.

    Returns
    -------
    Configuration
        Configuration that was written.

    Raises
    ------
    ExceptionGroup
        If the sheet doesn't match the configuration.
    TestingError
        If another version was written at the same time.
    """
    rows = await table.read([CONFIGURATION_ROW])
    sheet = parse_sheet(text, "sheet")
    configuration = apply_sheet(
        _decode_configuration(rows), sheet, _make_write_id(), APPLIED_BY
    )
    await _commit(table, rows, configuration, {})
    return configuration


def _decode_configuration(rows: dict[str, Row]) -> Configuration:
    row = rows.get(CONFIGURATION_ROW)
    return decode_json(row.value, Configuration) if row else EMPTY_CONFIGURATION


def _make_write_id() -> str:
    return f"{APPLIED_BY}-{time_ns()}"


async def _commit(
    table: Table,
    rows: dict[str, Row],
    configuration: Configuration,
    additional_values: dict[str, bytes],
) -> None:
    history_row = name_history_row(configuration.version)
    value = encode_json(configuration)
    values = {CONFIGURATION_ROW: value, history_row: value, **additional_values}
    versions = {key: row.version for key, row in rows.items()}
    transaction = Transaction(
        write_id=configuration.write_id,
        conditions=[Condition(key=key, version=versions.get(key, 0)) for key in values],
        writes=[Write(key=key, value=value) for key, value in values.items()],
    )
    deadline = get_running_loop().time() + COMMIT_TIMEOUT_S
    answer = await commit_and_confirm(table, transaction, deadline)
    if not answer.committed:
        raise TestingError(f"configuration conflicts: {answer.conflicts}")
