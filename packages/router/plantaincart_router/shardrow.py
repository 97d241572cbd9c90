"""The table row of a led shard, and writes that depend on its epoch."""

from asyncio import Lock, gather, timeout
from collections.abc import Callable
from time import monotonic
from uuid import uuid4

from plantaincart_core.lease import ShardKey
from plantaincart_schema.codec import decode_json, encode_json
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.mesh import Acknowledgement, RecordReplica
from plantaincart_schema.generated.platform import (
    Condition,
    ShardLease,
    Transaction,
    TransactionAnswer,
    Write,
)

from plantaincart_router.authority import Authority
from plantaincart_router.exception import (
    LeadershipLostError,
    MeshTimeoutError,
    PeerLostError,
    PlatformRefusedError,
    PlatformUnavailableError,
)
from plantaincart_router.mesh import Mesh
from plantaincart_router.platform.table import Table, commit_and_confirm

__all__ = ["ShardRow", "shard_row_key"]

COMMIT_TIMEOUT_S = 0.6
REPLICA_TIMEOUT_S = 0.3
MAX_COMMIT_ATTEMPTS = 4


def shard_row_key(shard: ShardKey) -> str:
    """Return the key of a shard's row."""
    return f"shards/{shard}"


class ShardRow:
    """
    The row of a shard, for use by the shard's leader.

    Parameters
    ----------
    shard : ShardKey
        The shard.
    row : ShardLease
        Content of the row at the start of the leadership.
    version : int
        Version of the row in the table.
    table : Table
        Platform table.
    mesh : Mesh
        Sends replicas to the successors.
    authority : Authority
        Used to check whether the table is reachable.

    Notes
    -----
    Every write has the version of the row as a condition, so a write of a deposed
    leader has no effect. During an outage of the table, a write is replicated to all
    named successors instead: only they may take over before the outage limit, and a
    successor that takes over applies the replicas that it stores.
    """

    def __init__(
        self,
        shard: ShardKey,
        row: ShardLease,
        version: int,
        table: Table,
        mesh: Mesh,
        authority: Authority,
    ) -> None:
        self.shard = shard
        self.row = row
        self.version = version
        self.provisional = False
        self._key = shard_row_key(shard)
        self._table = table
        self._mesh = mesh
        self._authority = authority
        self._lock = Lock()
        self._attempted_successors: set[str] = set()

    @property
    def epoch(self) -> int:
        """Epoch of the leadership."""
        return self.row.epoch

    @property
    def successors(self) -> set[str]:
        """Successors that the row in the table may name, given unconfirmed writes."""
        return set(self.row.successors) | self._attempted_successors

    async def store(self, change: Callable[[ShardLease], ShardLease]) -> bool:
        """
        Change the row in the table, or else replicate the change to the successors.

        Parameters
        ----------
        change : callable
            Takes the present content and returns the new content.

        Returns
        -------
        bool
            Whether the change is durable; if not, `row` is unchanged.

        Raises
        ------
        LeadershipLostError
            If another leader has written the row.
        """
        async with self._lock:
            row = change(self.row)
            if await self._write_row(row):
                self.provisional = False
            elif row.successors == self.row.successors and await self.replicate(
                b"", encode_json(row)
            ):
                self.provisional = True
            else:
                return False
            self.row = row
            return True

    async def write_to_table(self, change: Callable[[ShardLease], ShardLease]) -> bool:
        """
        Change the row in the table only, for example to name another leader.

        Returns
        -------
        bool
            Whether the row was written. After False the write may still take effect
            later; if it names another leader, this one then loses the shard.

        Raises
        ------
        LeadershipLostError
            If another leader has written the row.
        """
        async with self._lock:
            return await self._write_row(change(self.row))

    async def flush(self) -> None:
        """Write the row to the table if only the successors have it."""
        async with self._lock:
            if self.provisional and await self._write_row(self.row):
                self.provisional = False

    async def write_batch(self, key: str, value: bytes) -> bool:
        """
        Write a record row under the epoch of this leadership.

        Parameters
        ----------
        key : str
            Key of the record row, not used by any earlier write.
        value : bytes
            Encoded record batch.

        Returns
        -------
        bool
            Whether the row was written. After False the write may still take effect.

        Raises
        ------
        LeadershipLostError
            If another leader has written the shard's row.
        """

        def build(version: int) -> Transaction:
            return Transaction(
                write_id=uuid4().hex,
                conditions=[
                    Condition(key=key, version=0),
                    Condition(key=self._key, version=version),
                ],
                writes=[Write(key=key, value=value)],
            )

        return await self._commit(build) is not None

    async def delete_rows(self, keys: list[str]) -> bool:
        """Delete record rows under the epoch of this leadership."""

        def build(version: int) -> Transaction:
            return Transaction(
                write_id=uuid4().hex,
                conditions=[Condition(key=self._key, version=version)],
                writes=[Write(key=key) for key in keys],
            )

        return await self._commit(build) is not None

    async def replicate(self, batch: bytes, row: bytes) -> bool:
        """
        Replicate a record batch or a provisional row to every named successor.

        Returns
        -------
        bool
            Whether there is a successor and all of them have acknowledged.
        """
        successors = self.successors
        if not successors:
            return False
        replica = RecordReplica(
            service=self.shard.service,
            shard=self.shard.shard,
            epoch=self.epoch,
            batch=batch,
            row=row,
        )
        acknowledged = await gather(*(self._send(name, replica) for name in successors))
        return all(acknowledged)

    async def _send(self, name: str, replica: RecordReplica) -> bool:
        try:
            answer = await self._mesh.request(
                name, replica, Acknowledgement, REPLICA_TIMEOUT_S
            )
        except (PeerLostError, MeshTimeoutError, MalformedMessageError):
            return False
        return answer.accepted

    async def _write_row(self, row: ShardLease) -> bool:
        value = encode_json(row)
        self._attempted_successors.update(row.successors)

        def build(version: int) -> Transaction:
            return Transaction(
                write_id=uuid4().hex,
                conditions=[Condition(key=self._key, version=version)],
                writes=[Write(key=self._key, value=value)],
            )

        answer = await self._commit(build)
        if answer is None:
            return False
        self.version = next(
            written.version for written in answer.versions if written.key == self._key
        )
        self._attempted_successors.clear()
        return True

    async def _commit(
        self, build: Callable[[int], Transaction]
    ) -> TransactionAnswer | None:
        if not self._authority.is_table_reachable():
            return None
        try:
            async with timeout(COMMIT_TIMEOUT_S):
                for _ in range(MAX_COMMIT_ATTEMPTS):
                    transaction = build(self.version)
                    answer = await commit_and_confirm(
                        self._table, transaction, monotonic() + COMMIT_TIMEOUT_S
                    )
                    if answer.committed:
                        return answer
                    await self._refresh_version()
        except (PlatformUnavailableError, PlatformRefusedError, TimeoutError):
            return None
        return None

    async def _refresh_version(self) -> None:
        rows = await self._table.read([self._key])
        stored_row = rows.get(self._key)
        if stored_row is None:
            raise LeadershipLostError(f"{self.shard}: row deleted")
        try:
            row = decode_json(stored_row.value, ShardLease)
        except MalformedMessageError as error:
            raise LeadershipLostError(f"{self.shard}: {error}") from error
        leadership = (row.leader, row.incarnation, row.epoch)
        if leadership != (self.row.leader, self.row.incarnation, self.row.epoch):
            raise LeadershipLostError(f"{self.shard}: led by {row.leader}")
        self.version = stored_row.version
