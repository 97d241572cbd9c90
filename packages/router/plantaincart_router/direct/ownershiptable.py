"""Rows of owners in the store, as one term of the coordinator reads and writes them."""

from asyncio import Lock, sleep
from collections.abc import Callable, Mapping, Sequence
from time import monotonic

from plantaincart_core.era import is_epoch_of_era
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.direct import OwnershipRow

from plantaincart_router.direct.granter import Granter
from plantaincart_router.direct.ownershiprow import (
    decode_ownership,
    encode_ownership,
)
from plantaincart_router.direct.placement import ServicePlacement
from plantaincart_router.direct.previousterm import PreviousTerm
from plantaincart_router.direct.settings import CoordinationSettings
from plantaincart_router.direct.store import (
    Store,
    StoreConflictError,
    StoreRow,
    StoreUnavailableError,
    TableRows,
)
from plantaincart_router.direct.term import Term
from plantaincart_router.direct.termrow import list_later_eras
from plantaincart_router.direct.view import SystemView
from plantaincart_router.log import write_event

__all__ = ["OWNERSHIP_TABLE", "OwnershipTable"]

OWNERSHIP_TABLE = "ownership"

# Seconds between two reads of the owners while the previous coordinator moves keys.
REREAD_INTERVAL_S = 0.02
# Longest time in seconds between two looks at when earlier grants expire.
EXPIRY_CHECK_INTERVAL_S = 0.1


class OwnershipTable:
    """
    Writes the owners of each service, and adopts those of the previous coordinator.

    Parameters
    ----------
    times : CoordinationSettings
        Times of the coordinator.
    view : SystemView
        State of the system as this instance knows it.
    store : Store
        Stores the rows.
    term : Term
        Term of the coordinator.
    granter : Granter
        Is told until when earlier grants may be valid.
    previous_term : PreviousTerm
        What is known of the previous coordinator.
    placements : mapping of str to ServicePlacement
        Placements by service; those that are added later are used too.
    add_placement : callable
        Returns a new placement of a service, which replaces an earlier one.
    read_sequence : callable
        Returns the highest sequence number used in a fencing token.
    end_term : callable
        Ends the term for a given reason.

    Attributes
    ----------
    unwritten : set of str
        Services whose row must be written again before the next move.
    """

    def __init__(
        self,
        times: CoordinationSettings,
        view: SystemView,
        store: Store,
        term: Term,
        granter: Granter,
        previous_term: PreviousTerm,
        placements: Mapping[str, ServicePlacement],
        add_placement: Callable[[str], ServicePlacement],
        read_sequence: Callable[[], int],
        end_term: Callable[[str], None],
    ) -> None:
        self._times = times
        self._view = view
        self._store = store
        self._term = term
        self._granter = granter
        self._previous_term = previous_term
        self._placements = placements
        self._add_placement = add_placement
        self._read_sequence = read_sequence
        self._end_term = end_term
        self._row_versions: dict[str, int] = {}
        self._write_lock = Lock()
        # Services whose row was read and then written, or was first written, in this
        # term; and rows of others that were found since.
        self._adopted: set[str] = set()
        self._unadopted_rows: dict[str, OwnershipRow] = {}
        self.unwritten: set[str] = set()

    async def write(
        self, service: str, describe: Callable[[int, int], OwnershipRow]
    ) -> None:
        """Write the row of a service; end the term if a later term wrote it."""
        async with self._write_lock:
            try:
                await self._write_row(service, describe)
            except StoreConflictError:
                await self._resolve_conflict(service)
                await self._write_row(service, describe)

    async def write_unwritten(self) -> None:
        """Write the rows that a restoration of the store may have lost."""
        for service in sorted(self.unwritten):
            await self.write(service, self._placements[service].describe_row)

    async def adopt_rows(self) -> list[OwnershipRow]:
        """Adopt the stored owners, in the state in which this term has written them."""
        while True:
            view = await self._read_table()
            self._row_versions = {row.key: row.version for row in view.rows}
            decoded = [self._decode_row(row) for row in view.rows]
            rows = [ownership for ownership in decoded if ownership is not None]
            await self._wait_for_unknown_grants(rows, None not in decoded)
            try:
                for ownership in rows:
                    await self._adopt_row(ownership)
            except StoreConflictError as error:
                # The previous coordinator has moved keys since the rows were read.
                write_event(
                    "ownership_rows_reread", epoch=self._term.epoch, error=str(error)
                )
                await sleep(REREAD_INTERVAL_S)
                continue
            return rows

    async def adopt_found_rows(self) -> None:
        """Adopt rows of the previous coordinator that were found after the takeover."""
        for service in list(self._unadopted_rows):
            try:
                await self._adopt_row(self._unadopted_rows[service])
            except StoreConflictError:
                await self._resolve_conflict(service)
                continue
            del self._unadopted_rows[service]
            self._placements[service].regrant_resumed()

    async def _write_row(
        self, service: str, describe: Callable[[int, int], OwnershipRow]
    ) -> None:
        row = describe(self._term.epoch, self._read_sequence())
        version = self._row_versions.get(service, 0)
        stored = StoreRow(key=service, value=encode_ownership(row), version=version)
        self._row_versions[service] = await self._store.write(
            OWNERSHIP_TABLE, stored, absent=list_later_eras(self._term.era)
        )
        self.unwritten.discard(service)
        self._adopted.add(service)

    async def _resolve_conflict(self, service: str) -> None:
        """Find the version that the row of a service has now."""
        view = await self._read_table()
        row = next((row for row in view.rows if row.key == service), None)
        self._row_versions[service] = 0 if row is None else row.version
        ownership = None if row is None else self._decode_row(row)
        if ownership is None:
            return
        write_event(
            "ownership_row_conflict",
            service=service,
            epoch=self._term.epoch,
            sequence=self._read_sequence(),
            found_epoch=ownership.epoch,
            found_sequence=ownership.sequence,
        )
        if service not in self._adopted and ownership.epoch != self._term.epoch:
            # The previous coordinator granted keys after this one had read the rows.
            self._unadopted_rows[service] = ownership
            raise StoreUnavailableError(
                "row of an earlier term found", may_have_taken_effect=False
            )

    async def _read_table(self) -> TableRows:
        """Read the table, unless the store was restored since the term was claimed."""
        view = await self._store.read(OWNERSHIP_TABLE)
        if view.era > self._term.era:
            raise StoreUnavailableError(
                f"the store was restored, era {view.era}", may_have_taken_effect=False
            )
        return view

    def _decode_row(self, row: StoreRow) -> OwnershipRow | None:
        """Decode an ownership row; end the term if a later term wrote it."""
        try:
            ownership = decode_ownership(row.value)
        except MalformedMessageError as error:
            write_event("ownership_row_unreadable", key=row.key, error=str(error))
            return None
        if ownership.epoch > self._term.epoch:
            self._end_term("a later epoch wrote the ownership row")
            raise StoreUnavailableError("term ended", may_have_taken_effect=False)
        return ownership

    async def _adopt_row(self, ownership: OwnershipRow) -> None:
        """
        Adopt the owners of one service, and write them under this epoch.

        The new version makes later writes of the previous coordinator fail.
        """
        placement = self._add_placement(ownership.service)
        placement.resume(ownership)
        self._expect_earlier_grants(ownership)
        async with self._write_lock:
            await self._write_row(ownership.service, placement.describe_row)

    async def _wait_for_unknown_grants(
        self, rows: Sequence[OwnershipRow], all_readable: bool
    ) -> None:
        """Wait until grants that the rows don't show have expired."""
        era = self._term.era
        wait_s = self._previous_term.find_last_expiry() - monotonic()
        is_complete = all_readable and (era == 0 or self._covers_all_services(rows))
        if is_complete or wait_s <= 0.0:
            return
        write_event("unknown_grants_awaited", era=era, wait_s=round(wait_s, 2))
        while wait_s > 0.0:
            await sleep(min(wait_s, EXPIRY_CHECK_INTERVAL_S))
            wait_s = self._previous_term.find_last_expiry() - monotonic()

    def _covers_all_services(self, rows: Sequence[OwnershipRow]) -> bool:
        """Whether each keyed service has a row that was written in the present era."""
        routing_config = self._view.routing_config
        if routing_config is None:
            return False
        keyed = {name for name, item in routing_config.services.items() if item.keyed}
        written = {
            row.service for row in rows if is_epoch_of_era(row.epoch, self._term.era)
        }
        return keyed <= written

    def _expect_earlier_grants(self, row: OwnershipRow) -> None:
        processes = {(stored.owner, stored.born) for stored in row.ranges}
        processes |= {(stored.previous, stored.previous_born) for stored in row.ranges}
        self._granter.expect_earlier_grants(processes, self._previous_term)
