"""In-memory implementations of the platform's interfaces, for tests."""

from collections.abc import Iterable, Sequence

from plantaincart_router.exception import PlatformUnavailableError
from plantaincart_router.platform.instances import InstanceDirectory
from plantaincart_router.platform.objects import ObjectStore
from plantaincart_router.platform.table import Table
from plantaincart_schema.generated.platform import (
    InstanceEntry,
    Row,
    Transaction,
    TransactionAnswer,
)

from plantaincart_testing.store import NamedObjects, RowStore

__all__ = ["MemoryInstanceDirectory", "MemoryObjectStore", "MemoryTable"]


class MemoryTable(Table):
    """
    In-memory table with faults.

    Attributes
    ----------
    is_down : bool
        Whether every call fails without effect.
    lost_answers : int
        Number of next commits whose answer is lost after they took effect.
    """

    def __init__(self) -> None:
        self.store = RowStore()
        self.is_down = False
        self.lost_answers = 0

    async def read(self, keys: Iterable[str]) -> dict[str, Row]:
        """Read rows by key."""
        self._raise_if_down()
        return {row.key: row for row in self.store.read(keys)}

    async def scan(self, prefix: str) -> dict[str, Row]:
        """Read all rows whose key starts with a prefix."""
        self._raise_if_down()
        return {row.key: row for row in self.store.scan(prefix)}

    async def commit(self, transaction: Transaction) -> TransactionAnswer:
        """Write the rows of a transaction if all its conditions hold."""
        self._raise_if_down()
        answer = self.store.commit(transaction)
        if self.lost_answers > 0:
            self.lost_answers -= 1
            raise PlatformUnavailableError("answer lost")
        return answer

    def _raise_if_down(self) -> None:
        if self.is_down:
            raise PlatformUnavailableError("down")


class MemoryObjectStore(ObjectStore):
    """In-memory object store."""

    def __init__(self) -> None:
        self._objects = NamedObjects()

    async def put(self, name: str, data: bytes) -> None:
        """Store an object."""
        self._objects.put(name, data)

    async def get(self, name: str) -> bytes | None:
        """Fetch an object."""
        return self._objects.get(name)

    async def list(self, prefix: str) -> list[str]:
        """List the names that start with a prefix."""
        return self._objects.list(prefix)


class MemoryInstanceDirectory(InstanceDirectory):
    """
    Instance directory with a fixed list.

    Parameters
    ----------
    entries : sequence of InstanceEntry
        Instances in the list.
    """

    def __init__(self, entries: Sequence[InstanceEntry]) -> None:
        self._entries = list(entries)

    async def list_instances(self) -> list[InstanceEntry]:
        """List the instances."""
        return list(self._entries)
