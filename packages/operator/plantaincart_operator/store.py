"""Reading and writing of the configuration's rows in the platform's table."""

from asyncio import get_running_loop
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

from plantaincart_core.apply import Proposal
from plantaincart_core.configuration import (
    CONFIGURATION_ROW,
    DECLARATIONS_ROW,
    EMPTY_CONFIGURATION,
    name_history_row,
)
from plantaincart_router.exception import PlatformRefusedError, PlatformUnavailableError
from plantaincart_router.platform.table import Table, commit_and_confirm
from plantaincart_schema.codec import decode_json, encode_json
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.configuration import Configuration, Declarations
from plantaincart_schema.generated.platform import (
    Condition,
    Row,
    Transaction,
    Write,
)

from plantaincart_operator.exception import RefusedError, UnavailableError

__all__ = ["HISTORY_VERSIONS", "ConfigurationStore", "StoredState"]

HISTORY_VERSIONS = 1000
"""Number of versions in the history; an apply deletes the oldest beyond it."""

T = TypeVar("T")


@dataclass(frozen=True, kw_only=True)
class StoredState:
    """
    Configuration in force and the declarations applied last, with row versions.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force; version 0 before the first apply.
    row_version : int
        Version of the configuration's table row; 0 if there is none.
    declarations : Declarations or None
        Declarations applied last.
    declarations_version : int
        Version of the declarations' table row; 0 if there is none.
    """

    configuration: Configuration
    row_version: int
    declarations: Declarations | None
    declarations_version: int


class ConfigurationStore:
    """
    Reads the configuration's rows and writes new versions.

    Parameters
    ----------
    table : Table
        The platform's table.
    """

    def __init__(self, table: Table) -> None:
        self._table = table

    async def read_state(self) -> StoredState:
        """
        Read the configuration in force and the declarations.

        Returns
        -------
        StoredState
            Configuration and declarations, read at the same time.

        Raises
        ------
        UnavailableError
            If the table doesn't answer.
        RefusedError
            If a row doesn't decode.
        """
        rows = await self._read([CONFIGURATION_ROW, DECLARATIONS_ROW])
        current = rows.get(CONFIGURATION_ROW)
        declared = rows.get(DECLARATIONS_ROW)
        return StoredState(
            configuration=(
                _decode(current, Configuration) if current else EMPTY_CONFIGURATION
            ),
            row_version=current.version if current else 0,
            declarations=_decode(declared, Declarations) if declared else None,
            declarations_version=declared.version if declared else 0,
        )

    async def read_history(self, newest: int, count: int) -> list[Configuration]:
        """
        Read versions from the history.

        Parameters
        ----------
        newest : int
            Highest version to read.
        count : int
            Maximum number of versions to read.

        Returns
        -------
        list of Configuration
            Highest version first; versions deleted from the history are left out.

        Raises
        ------
        UnavailableError
            If the table doesn't answer.
        RefusedError
            If a row doesn't decode.
        """
        oldest = max(newest - count + 1, 1)
        keys = [name_history_row(version) for version in range(newest, oldest - 1, -1)]
        rows = await self._read(keys) if keys else {}
        return [_decode(rows[key], Configuration) for key in keys if key in rows]

    async def write_version(
        self,
        state: StoredState,
        proposal: Proposal,
        declarations: Declarations | None,
        timeout_s: float,
    ) -> bool:
        """
        Write a new version if the version that it was built from is still in force.

        Parameters
        ----------
        state : StoredState
            State that the version was built from.
        proposal : Proposal
            The new version.
        declarations : Declarations or None
            Declarations to store, if the applied document contains them.
        timeout_s : float
            Seconds for which the transaction is retried when answers are lost.

        Returns
        -------
        bool
            False if another version was written first.

        Raises
        ------
        UnavailableError
            If the outcome is still unknown after `timeout_s`.

        Notes
        -----
        One transaction writes the row of the configuration in force and a history
        row, and deletes the oldest history row. The new history row must not exist
        yet, so a delayed copy of the transaction can't take effect a second time.
        """
        transaction = _build_transaction(state, proposal.configuration, declarations)
        deadline = get_running_loop().time() + timeout_s
        try:
            answer = await commit_and_confirm(self._table, transaction, deadline)
        except (PlatformUnavailableError, PlatformRefusedError) as error:
            raise UnavailableError(
                f"table: {error}; the apply may have taken effect: repeat the command"
            ) from None
        return answer.committed

    async def _read(self, keys: Iterable[str]) -> dict[str, Row]:
        try:
            return await self._table.read(keys)
        except (PlatformUnavailableError, PlatformRefusedError) as error:
            raise UnavailableError(f"table: {error}") from None


def _build_transaction(
    state: StoredState, configuration: Configuration, declarations: Declarations | None
) -> Transaction:
    history_row = name_history_row(configuration.version)
    value = encode_json(configuration)
    conditions = [
        Condition(key=CONFIGURATION_ROW, version=state.row_version),
        Condition(key=history_row, version=0),
    ]
    writes = [
        Write(key=CONFIGURATION_ROW, value=value),
        Write(key=history_row, value=value),
    ]
    if configuration.version > HISTORY_VERSIONS:
        oldest = configuration.version - HISTORY_VERSIONS
        writes.append(Write(key=name_history_row(oldest)))
    if declarations is not None:
        condition = Condition(key=DECLARATIONS_ROW, version=state.declarations_version)
        conditions.append(condition)
        writes.append(Write(key=DECLARATIONS_ROW, value=encode_json(declarations)))
    return Transaction(
        write_id=configuration.write_id, conditions=conditions, writes=writes
    )


def _decode(row: Row, data_class: type[T]) -> T:
    try:
        return decode_json(row.value, data_class)
    except MalformedMessageError as error:
        raise RefusedError(f"table row {row.key}: {error}") from None
