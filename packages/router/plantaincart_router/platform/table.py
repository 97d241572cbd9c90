"""The platform's transactional table, and commits that resolve lost answers."""

from abc import ABC, abstractmethod
from asyncio import sleep, timeout_at
from collections.abc import Iterable, Mapping
from enum import Enum, auto

from plantaincart_schema.codec import encode_json
from plantaincart_schema.generated.platform import (
    Condition,
    ReadAnswer,
    Row,
    Transaction,
    TransactionAnswer,
)

from plantaincart_router.exception import PlatformUnavailableError
from plantaincart_router.platform.client import PlatformClient

__all__ = ["HttpTable", "Table", "commit_and_confirm"]

MIN_RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 0.25


class Table(ABC):
    """
    Table of versioned rows with conditional transactions.

    Notes
    -----
    The version of a row increases with each write, not always by one, and keeps
    increasing if the row is deleted and written again. Transactions are atomic:
    either all writes take effect at the same time or none does.
    """

    @abstractmethod
    async def read(self, keys: Iterable[str]) -> dict[str, Row]:
        """
        Read rows by key.

        Parameters
        ----------
        keys : iterable of str
            Keys to read, in one consistent snapshot.

        Returns
        -------
        dict of str to Row
            The existing rows by key.

        Raises
        ------
        PlatformUnavailableError
            If the table gave no complete answer.
        """

    @abstractmethod
    async def scan(self, prefix: str) -> dict[str, Row]:
        """
        Read all rows whose key starts with a prefix.

        Parameters
        ----------
        prefix : str
            Common start of the keys.

        Returns
        -------
        dict of str to Row
            The rows, sorted by key.

        Raises
        ------
        PlatformUnavailableError
            If the table gave no complete answer.
        """

    @abstractmethod
    async def commit(self, transaction: Transaction) -> TransactionAnswer:
        """
        Write rows if all conditions hold.

        Parameters
        ----------
        transaction : Transaction
            Conditions and writes, with a unique write id.

        Returns
        -------
        TransactionAnswer
            Committed with the new versions, or not committed with the current
            rows whose condition failed. Rows that are missing are not included.

        Raises
        ------
        PlatformUnavailableError
            If the table gave no complete answer. The writes may have taken effect
            or may still do so.
        """

    def close(self) -> None:  # noqa: B027
        """Close idle connections."""


class HttpTable(Table):
    """
    Table accessed over the platform's HTTP protocol.

    Parameters
    ----------
    host : str
        IP address of the table.
    port : int
        TCP port of the table.
    timeout_s : float
        Limit in seconds for one call.
    instance : str
        Instance name sent with each call; empty to send none.
    """

    def __init__(
        self, host: str, port: int, timeout_s: float, instance: str = ""
    ) -> None:
        self._client = PlatformClient(host, port, timeout_s, instance)

    async def read(self, keys: Iterable[str]) -> dict[str, Row]:
        """Read rows by key."""
        body = encode_json({"keys": list(keys)})
        return await self._fetch("/table/read", body)

    async def scan(self, prefix: str) -> dict[str, Row]:
        """Read all rows whose key starts with a prefix."""
        return await self._fetch("/table/scan", encode_json({"prefix": prefix}))

    async def commit(self, transaction: Transaction) -> TransactionAnswer:
        """Write rows if all conditions hold."""
        body = encode_json(transaction)
        return await self._client.call_json(
            "POST", "/table/commit", TransactionAnswer, body
        )

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()

    async def _fetch(self, target: str, body: bytes) -> dict[str, Row]:
        answer = await self._client.call_json("POST", target, ReadAnswer, body)
        return {row.key: row for row in answer.rows}


class _Outcome(Enum):
    COMMITTED = auto()
    NOT_COMMITTED = auto()
    UNKNOWN = auto()


async def commit_and_confirm(
    table: Table, transaction: Transaction, deadline: float
) -> TransactionAnswer:
    """
    Commit a transaction and determine its outcome if answers are lost.

    Parameters
    ----------
    table : Table
        The table.
    transaction : Transaction
        At least one written row must have a condition, so that a delayed copy of
        the transaction can't take effect a second time.
    deadline : float
        Loop time in seconds at which to stop trying.

    Returns
    -------
    TransactionAnswer
        Committed, possibly as found by reading the rows back, or not committed.

    Raises
    ------
    PlatformUnavailableError
        If the outcome is still unknown at the deadline, or can't be determined
        because other transactions have overwritten all rows of this one.

    Notes
    -----
    After a lost answer the written rows are read back. A row with the
    transaction's write id shows that it committed; a row still at the version
    required by its condition shows that no copy has committed so far. In the
    second case the same transaction is sent again. Its conditions let at most one
    copy take effect, so a conflict may be due to an earlier copy, and the rows are
    read back once more. A missing row whose condition requires it to be missing
    counts as not written; therefore a row must not be deleted while the
    transaction that created it is in progress.
    """
    try:
        async with timeout_at(deadline):
            try:
                return await table.commit(transaction)
            except PlatformUnavailableError:
                return await _resolve(table, transaction)
    except TimeoutError:
        raise PlatformUnavailableError(
            f"transaction {transaction.write_id}: outcome unknown at the deadline"
        ) from None


async def _resolve(table: Table, transaction: Transaction) -> TransactionAnswer:
    delay_s = MIN_RETRY_DELAY_S
    while True:
        await sleep(delay_s)
        delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
        try:
            outcome, answer = await _retry_commit(table, transaction)
        except PlatformUnavailableError:
            continue
        if outcome is _Outcome.UNKNOWN:
            raise PlatformUnavailableError(
                f"transaction {transaction.write_id}: answer lost, rows overwritten"
            )
        return answer


async def _retry_commit(
    table: Table, transaction: Transaction
) -> tuple[_Outcome, TransactionAnswer]:
    outcome, answer = await _read_back(table, transaction)
    if outcome is not _Outcome.NOT_COMMITTED:
        return outcome, answer
    answer = await table.commit(transaction)
    if answer.committed:
        return _Outcome.COMMITTED, answer
    outcome, resolved = await _read_back(table, transaction)
    if outcome is _Outcome.NOT_COMMITTED:
        return outcome, answer
    return outcome, resolved


async def _read_back(
    table: Table, transaction: Transaction
) -> tuple[_Outcome, TransactionAnswer]:
    rows = await table.read(write.key for write in transaction.writes)
    outcome = _determine_outcome(transaction, rows)
    own_rows = [row for row in rows.values() if row.write_id == transaction.write_id]
    versions = [Condition(key=row.key, version=row.version) for row in own_rows]
    committed = outcome is _Outcome.COMMITTED
    return outcome, TransactionAnswer(committed=committed, versions=versions)


def _determine_outcome(transaction: Transaction, rows: Mapping[str, Row]) -> _Outcome:
    if any(row.write_id == transaction.write_id for row in rows.values()):
        return _Outcome.COMMITTED
    if not rows and all(write.value is None for write in transaction.writes):
        return _Outcome.COMMITTED
    required = {
        condition.key: condition.version for condition in transaction.conditions
    }
    present = {key: row.version for key, row in rows.items()}
    conditioned_keys = [
        write.key for write in transaction.writes if write.key in required
    ]
    unchanged = (present.get(key, 0) == required[key] for key in conditioned_keys)
    if not conditioned_keys or any(unchanged):
        return _Outcome.NOT_COMMITTED
    return _Outcome.UNKNOWN
