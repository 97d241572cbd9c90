"""In-memory state of the platform stand-in: table, objects, instance list."""

from collections.abc import Iterable

from plantaincart_schema.generated.platform import (
    Condition,
    InstanceEntry,
    Row,
    Transaction,
    TransactionAnswer,
)

__all__ = ["InstanceListHistory", "NamedObjects", "RowStore"]


class RowStore:
    """
    Table of rows with conditional transactions.

    Notes
    -----
    Versions come from one counter over all rows, so the version of a row grows
    by more than one and keeps growing after a delete.

    Examples
    --------
    >>> from plantaincart_schema.generated.platform import Write
    >>> store = RowStore()
    >>> absent = Condition(key="a", version=0)
    >>> write = Write(key="a", value=b"1")
    >>> first = Transaction(write_id="w1", conditions=[absent], writes=[write])
    >>> store.commit(first).committed, store.commit(first).committed
    (True, False)
    """

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        self._last_version = 0

    def read(self, keys: Iterable[str]) -> list[Row]:
        """Return the rows of `keys` that exist."""
        return [self._rows[key] for key in keys if key in self._rows]

    def scan(self, prefix: str) -> list[Row]:
        """Return the rows whose key starts with `prefix`, in order."""
        keys = sorted(key for key in self._rows if key.startswith(prefix))
        return [self._rows[key] for key in keys]

    def commit(self, transaction: Transaction) -> TransactionAnswer:
        """Apply all writes of a transaction if all its conditions hold."""
        failed = [
            condition
            for condition in transaction.conditions
            if self._find_version(condition.key) != condition.version
        ]
        if failed:
            conflicts = self.read(condition.key for condition in failed)
            return TransactionAnswer(committed=False, conflicts=conflicts)
        for write in transaction.writes:
            self._put(write.key, write.value, transaction.write_id)
        keys = dict.fromkeys(write.key for write in transaction.writes)
        versions = [
            Condition(key=row.key, version=row.version) for row in self.read(keys)
        ]
        return TransactionAnswer(committed=True, versions=versions)

    def _find_version(self, key: str) -> int:
        row = self._rows.get(key)
        return 0 if row is None else row.version

    def _put(self, key: str, value: bytes | None, write_id: str) -> None:
        self._last_version += 1
        if value is None:
            self._rows.pop(key, None)
            return
        self._rows[key] = Row(
            key=key, version=self._last_version, write_id=write_id, value=value
        )


class NamedObjects:
    """Named byte strings."""

    def __init__(self) -> None:
        self._objects: dict[str, bytes] = {}

    def put(self, name: str, data: bytes) -> None:
        """Store an object."""
        self._objects[name] = data

    def get(self, name: str) -> bytes | None:
        """Return an object, or None."""
        return self._objects.get(name)

    def list(self, prefix: str) -> list[str]:
        """Return the names that start with `prefix`, in order."""
        return sorted(name for name in self._objects if name.startswith(prefix))


class InstanceListHistory:
    """
    The instance list with its history, so that an earlier state can be returned.

    Parameters
    ----------
    entries : iterable of InstanceEntry
        Instances at the start.

    Examples
    --------
    >>> instance_list = InstanceListHistory([])
    >>> entry = InstanceEntry(
    ...     name="i1", data_centre="a", mesh_host="127.0.0.1", mesh_port=1
    ... )
    >>> instance_list.put(entry, now=10.0)
    >>> len(instance_list.list_at(9.0)), len(instance_list.list_at(10.0))
    (0, 1)
    """

    def __init__(self, entries: Iterable[InstanceEntry]) -> None:
        initial = {entry.name: entry for entry in entries}
        self._changes: list[tuple[float, dict[str, InstanceEntry]]] = [
            (float("-inf"), initial)
        ]

    def put(self, entry: InstanceEntry, now: float) -> None:
        """Add an instance or replace its entry."""
        self._changes.append((now, {**self._changes[-1][1], entry.name: entry}))

    def remove(self, name: str, now: float) -> None:
        """Remove an instance."""
        entries = {**self._changes[-1][1]}
        entries.pop(name, None)
        self._changes.append((now, entries))

    def find(self, name: str) -> InstanceEntry | None:
        """Return the current entry of an instance, or None."""
        return self._changes[-1][1].get(name)

    def list_at(self, at: float) -> list[InstanceEntry]:
        """Return the entries that were listed at a time in seconds."""
        listed = self._changes[0][1]
        for changed_at, entries in self._changes:
            if changed_at > at:
                break
            listed = entries
        return list(listed.values())
