"""Renewal of the lease that all of an instance's shards hang on."""

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
    Hold and renew the lease of an instance.

    Parameters
    ----------
    table : Table
        Platform table.
    settings : LeaseSettings
        Lease time and renewal interval.
    identity : Identity
        Identity written into the row.
    on_lost : callable
        Called when another instance has marked the lease as lost.

    Notes
    -----
    A renewal counts from the moment before it was sent. Its answer may be lost
    after the write took effect: the row then carries the write id of an attempt of
    this instance, and the renewal counts from the moment that attempt was sent.
    After a loss the lease is taken anew under another lease incarnation, so shard
    rows that name the old one stay with their taker.
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
        """Incarnation under which the lease is held."""
        return self._row.incarnation

    @property
    def version(self) -> int:
        """Version of the lease row as last written."""
        return self._version

    def set_isolated(self, isolated: bool) -> None:
        """Have the next renewals say whether this instance hears none of its peers."""
        self._isolated = isolated

    async def run(self) -> None:
        """Renew the lease until it is released or the task is cancelled."""
        while not self._stopped.is_set():
            started = monotonic()
            self.failing = not await self.renew_once()
            interval = RETRY_S if self.failing else self._settings.renew_s
            await self._pause(started + interval - monotonic())

    async def renew_once(self) -> bool:
        """Write the lease row once; True if the lease was renewed."""
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
            found = next((r for r in answer.conflicts if r.key == self._key), None)
            return self._resolve_conflict(found)
        version = next(v.version for v in answer.versions if v.key == self._key)
        self._record(row, version, sent_at)
        return True

    async def release(self) -> None:
        """Delete the lease row; the instance must lead no shard any more."""
        self._stopped.set()
        self.lease.drop()
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

    def _resolve_conflict(self, found: Row | None) -> bool:
        if found is not None and found.write_id in self._attempts:
            sent_at = self._attempts[found.write_id]
            try:
                row = decode_json(found.value, InstanceLease)
            except MalformedMessageError as error:
                write_event("lease_row_malformed", reason=str(error))
                return False
            self._record(row, found.version, sent_at)
            return True
        self._adopt_version(found)
        return False

    def _adopt_version(self, found: Row | None) -> None:
        was_held = self._version > 0
        self._version = found.version if found is not None else 0
        self._attempts.clear()
        self.lease.drop()
        if not was_held:
            return
        self._losses += 1
        base = self._row.incarnation.split("+")[0]
        self._row = replace(self._row, incarnation=f"{base}+{self._losses}")
        write_event("lease_lost", losses=self._losses)
        self._on_lost()

    async def _pause(self, seconds: float) -> None:
        try:
            async with timeout(max(0.0, seconds)):
                await self._stopped.wait()
        except TimeoutError:
            return
