"""Renewal of an instance's lease, without which it may lead no shard."""

from asyncio import Event, timeout
from collections.abc import Callable
from dataclasses import replace
from time import monotonic
from uuid import uuid4

from plantaincart_core.lease import HeldLease
from plantaincart_schema.codec import decode_json, encode_json
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.platform import (
    Condition,
    InstanceLease,
    Row,
    Transaction,
    Write,
)
from plantaincart_schema.generated.settings import LeaseSettings

from plantaincart_router.exception import PlatformRefusedError, PlatformUnavailableError
from plantaincart_router.identity import Identity
from plantaincart_router.log import write_event
from plantaincart_router.platform.table import Table

__all__ = ["LeaseKeeper", "lease_key"]

RETRY_S = 0.1


def lease_key(name: str) -> str:
    """Return the key of an instance's lease row."""
    return f"leases/{name}"


class LeaseKeeper:
    """
    Acquire, renew and release the lease of an instance.

    Parameters
    ----------
    table : Table
        Platform table.
    settings : LeaseSettings
        Lease duration and renewal interval.
    identity : Identity
        Identity written into the row.
    on_lost : callable
        Called when another instance has marked the lease as lost.

    Notes
    -----
    The lease duration counts from before the renewal was sent. If the answer to a
    renewal is lost after the write took effect, the next one conflicts with a row that
    carries the write id of the earlier attempt; the lease then counts from the time at
    which that attempt was sent. After a loss the lease is acquired under a new lease
    incarnation, so that this instance doesn't match shard rows that name the old one.
    """

    def __init__(
        self,
        table: Table,
        settings: LeaseSettings,
        identity: Identity,
        on_lost: Callable[[], None],
    ) -> None:
        self._table = table
        self._settings = settings
        self._on_lost = on_lost
        self._attempts: dict[str, float] = {}
        self._version = 0
        self._row = InstanceLease(
            name=identity.name,
            incarnation=identity.incarnation,
            sequence=0,
            data_centre=identity.data_centre,
            mesh_host=identity.mesh_host,
            mesh_port=identity.mesh_port,
        )
        self._losses = 0
        self._isolated = False
        self._key = lease_key(identity.name)
        self._stopped = Event()
        self.lease = HeldLease(settings)
        self.last_renewal = float("-inf")
        self.failing = False

    @property
    def incarnation(self) -> str:
        """Lease incarnation: the process's, with a suffix after a lost lease."""
        return self._row.incarnation

    @property
    def version(self) -> int:
        """Version of the lease row as last written."""
        return self._version

    def set_isolated(self, isolated: bool) -> None:
        """Set whether renewals report that no peer's messages arrive here."""
        self._isolated = isolated

    async def run(self) -> None:
        """Renew the lease until it is released, or until cancelled."""
        while not self._stopped.is_set():
            started = monotonic()
            self.failing = not await self.renew_once()
            interval = RETRY_S if self.failing else self._settings.renew_s
            await self._pause(started + interval - monotonic())

    async def renew_once(self) -> bool:
        """Write the lease row once and return whether the lease was renewed."""
        row = replace(
            self._row, sequence=self._row.sequence + 1, isolated=self._isolated
        )
        write_id = uuid4().hex
        sent_at = monotonic()
        self._attempts[write_id] = sent_at
        transaction = Transaction(
            write_id=write_id,
            conditions=[Condition(key=self._key, version=self._version)],
            writes=[Write(key=self._key, value=encode_json(row))],
        )
        try:
            answer = await self._table.commit(transaction)
        except (PlatformUnavailableError, PlatformRefusedError):
            return False
        if not answer.committed:
            current_row = next(
                (
                    conflict
                    for conflict in answer.conflicts
                    if conflict.key == self._key
                ),
                None,
            )
            return self._resolve_conflict(current_row)
        version = next(
            written.version for written in answer.versions if written.key == self._key
        )
        self._record(row, version, sent_at)
        return True

    async def release(self) -> None:
        """Delete the lease row; by then the instance must lead no shard."""
        self._stopped.set()
        self.lease.invalidate()
        transaction = Transaction(
            write_id=uuid4().hex,
            conditions=[Condition(key=self._key, version=self._version)],
            writes=[Write(key=self._key, value=None)],
        )
        try:
            await self._table.commit(transaction)
        except (PlatformUnavailableError, PlatformRefusedError):
            write_event("lease_release_failed")

    def _record(self, row: InstanceLease, version: int, sent_at: float) -> None:
        self._row = row
        self._version = version
        self._attempts.clear()
        self.last_renewal = sent_at
        self.lease.record_renewal(sent_at)

    def _resolve_conflict(self, current_row: Row | None) -> bool:
        if current_row is not None and current_row.write_id in self._attempts:
            sent_at = self._attempts[current_row.write_id]
            try:
                row = decode_json(current_row.value, InstanceLease)
            except MalformedMessageError as error:
                write_event("lease_row_malformed", reason=str(error))
                return False
            self._record(row, current_row.version, sent_at)
            return True
        self._adopt_version(current_row)
        return False

    def _adopt_version(self, current_row: Row | None) -> None:
        was_written = self._version > 0
        self._version = current_row.version if current_row is not None else 0
        self._attempts.clear()
        self.lease.invalidate()
        if not was_written:
            return
        self._losses += 1
        process = self._row.incarnation.split("+")[0]
        self._row = replace(self._row, incarnation=f"{process}+{self._losses}")
        write_event("lease_lost", losses=self._losses)
        self._on_lost()

    async def _pause(self, seconds: float) -> None:
        try:
            async with timeout(max(0.0, seconds)):
                await self._stopped.wait()
        except TimeoutError:
            return
