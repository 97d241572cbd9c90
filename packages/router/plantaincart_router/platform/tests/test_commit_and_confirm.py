"""Outcomes of commits whose answers are lost."""

from asyncio import get_running_loop
from collections.abc import Iterable

from plantaincart_router.exception import PlatformUnavailableError
from plantaincart_router.platform.table import commit_and_confirm
from plantaincart_schema.generated.platform import (
    Condition,
    Row,
    Transaction,
    TransactionAnswer,
    Write,
)
from plantaincart_testing.memory import MemoryTable
from pytest import mark, raises

TIMEOUT_S = 5.0


class ScriptedTable(MemoryTable):
    """
    Table whose commits fail as a script prescribes.

    Parameters
    ----------
    script : str
        One letter per commit: ``l`` answer lost, ``d`` dropped without effect,
        ``t`` takes effect after the next read, ``.`` no fault.
    rival : Transaction, optional
        Transaction of another writer, committed directly after the first commit.
    """

    def __init__(self, script: str, rival: Transaction | None = None) -> None:
        super().__init__()
        self._script = list(script)
        self._rival = rival
        self._delayed: Transaction | None = None
        self.applied: list[str] = []

    async def commit(self, transaction: Transaction) -> TransactionAnswer:
        fault = self._script.pop(0) if self._script else "."
        answer = TransactionAnswer(committed=False)
        if fault in "l.":
            answer = self.apply(transaction)
        elif fault == "t":
            self._delayed = transaction
        if self._rival is not None:
            self.apply(self._rival)
            self._rival = None
        if fault != ".":
            raise PlatformUnavailableError("no answer")
        return answer

    async def read(self, keys: Iterable[str]) -> dict[str, Row]:
        rows = await super().read(keys)
        if self._delayed is not None:
            self.apply(self._delayed)
            self._delayed = None
        return rows

    def apply(self, transaction: Transaction) -> TransactionAnswer:
        answer = self.store.commit(transaction)
        if answer.committed:
            self.applied.append(transaction.write_id)
        return answer


def write(
    write_id: str, value: bytes | None, version: int, *other_keys: str
) -> Transaction:
    return Transaction(
        write_id=write_id,
        conditions=[Condition(key="a", version=version)],
        writes=[
            Write(key="a", value=value),
            *(Write(key=key, value=b"") for key in other_keys),
        ],
    )


async def run(table: MemoryTable, transaction: Transaction) -> TransactionAnswer:
    deadline = get_running_loop().time() + TIMEOUT_S
    return await commit_and_confirm(table, transaction, deadline)


@mark.parametrize("script", ["", "l", "d", "dl", "ddl", "t", "dt", "td"])
async def test_takes_effect_once(script: str) -> None:
    table = ScriptedTable(script)
    answer = await run(table, write("w", b"1", 0))
    assert answer.committed
    assert [condition.key for condition in answer.versions] == ["a"]
    assert table.applied == ["w"]


@mark.parametrize("script", ["", "l", "d", "t"])
async def test_delete_takes_effect_once(script: str) -> None:
    table = ScriptedTable("." + script)
    first = await run(table, write("w1", b"1", 0))
    answer = await run(table, write("w2", None, first.versions[0].version))
    assert answer.committed
    assert table.applied == ["w1", "w2"]


async def test_conflict_is_reported() -> None:
    table = ScriptedTable("")
    table.apply(write("other", b"2", 0))
    answer = await run(table, write("w", b"1", 0))
    assert not answer.committed
    assert [row.write_id for row in answer.conflicts] == ["other"]


async def test_conflict_on_another_row_after_a_dropped_commit() -> None:
    table = ScriptedTable("d", rival=write("other", b"2", 0))
    transaction = Transaction(
        write_id="w",
        conditions=[Condition(key="a", version=0), Condition(key="b", version=0)],
        writes=[Write(key="b", value=b"1")],
    )
    answer = await run(table, transaction)
    assert not answer.committed
    assert [row.key for row in answer.conflicts] == ["a"]


@mark.parametrize("script", ["l", "d"])
async def test_outcome_is_unknown_if_all_rows_were_overwritten(script: str) -> None:
    version = 1 if script == "l" else 0
    table = ScriptedTable(script, rival=write("other", b"2", version))
    with raises(PlatformUnavailableError, match="rows overwritten"):
        await run(table, write("w", b"1", 0))


async def test_unshared_row_proves_a_commit_whose_other_row_was_overwritten() -> None:
    table = ScriptedTable("l", rival=write("other", b"2", 1))
    answer = await run(table, write("w", b"1", 0, "history/1"))
    assert answer.committed


async def test_outage_until_the_deadline_raises() -> None:
    table = MemoryTable()
    table.is_down = True
    deadline = get_running_loop().time() + 0.1
    with raises(PlatformUnavailableError):
        await commit_and_confirm(table, write("w", b"1", 0), deadline)
    assert table.store.scan("") == []
