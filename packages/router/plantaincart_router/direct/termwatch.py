"""The row that names the coordinator, as one instance reads and claims it."""

from dataclasses import replace
from math import inf
from time import monotonic

from plantaincart_core.era import is_epoch_of_era, may_claim_term, next_epoch
from plantaincart_schema.generated.direct import CoordinatorRow

from plantaincart_router.direct.clock import read_boot_time
from plantaincart_router.direct.settings import CoordinationSettings
from plantaincart_router.direct.store import (
    Store,
    StoreConflictError,
    StoreRow,
    TableRows,
)
from plantaincart_router.direct.termrow import (
    COORDINATOR_TABLE,
    find_term,
    is_era_claimed,
    list_later_eras,
    make_era_rows,
    make_term_row,
)
from plantaincart_router.log import write_event

__all__ = ["TermWatch"]


class TermWatch:
    """
    Reads the row of the coordinator, and writes it to claim the term.

    Parameters
    ----------
    times : CoordinationSettings
        For how long the row must be unchanged before the term is claimed.
    store : Store
        Holds the row.

    Attributes
    ----------
    row : CoordinatorRow or None
        The row as read, told or written last; None if there is none.
    version : int
        Version of the row; of no use after it was told by another instance.
    era : int
        Era of the store at the last read.
    changed_at, read_at : float
        Times in seconds of the last change and of the last read of the row.
    """

    def __init__(self, times: CoordinationSettings, store: Store) -> None:
        self._times = times
        self._store = store
        self._is_era_claimed = True
        self._era_rows: list[StoreRow] = []
        self._read_started_at = read_boot_time()
        self._clock_s: float | None = None
        self.row: CoordinatorRow | None = None
        self.version = 0
        self.era = 0
        self.changed_at = monotonic()
        self.read_at = 0.0

    @property
    def known_epoch(self) -> int:
        """Latest epoch of which this instance knows the holder."""
        return 0 if self.row is None else self.row.epoch

    async def read(self) -> TableRows:
        """
        Read the table with the row.

        Returns
        -------
        TableRows
            What the store answered, for `apply`.

        Raises
        ------
        StoreUnavailableError
            If the store doesn't answer.
        """
        started_at = read_boot_time()
        view = await self._store.read(COORDINATOR_TABLE)
        self._read_started_at = started_at
        return view

    def apply(self, view: TableRows) -> CoordinatorRow | None:
        """
        Apply an answer of the store that has just come.

        Parameters
        ----------
        view : TableRows
            The answer.

        Returns
        -------
        CoordinatorRow or None
            The row, if it names another term than before.

        Raises
        ------
        MalformedMessageError
            If the row can't be decoded.
        """
        now = monotonic()
        gap_s = now - self.read_at
        self.read_at = now
        is_same_era = view.era == self.era
        self._record_era(view)
        row, version = find_term(view) or (None, 0)
        if is_same_era and row is not None and row.epoch < self.known_epoch:
            # The answer is older than what other instances have told.
            return None
        if version != self.version or gap_s > self._times.unchanged_s * 2:
            self.changed_at = now
        old, self.row, self.version = self.row, row, version
        self._clock_s = view.clock_s
        if row is None or row.vacant:
            return None
        is_new = old is None or (old.holder, old.epoch) != (row.holder, row.epoch)
        return row if is_new else None

    def forget(self) -> None:
        """Forget the row, so that it is read and followed anew."""
        self.row = None

    def defer_read(self) -> None:
        """Count the present moment as the last read."""
        self.read_at = monotonic()

    def adopt(self, row: CoordinatorRow) -> None:
        """
        Take over a term that another instance has named.

        The version of its row isn't known, so a claim of this instance fails until it
        has read the row.
        """
        self.row, self.changed_at = row, monotonic()

    def is_restored(self, row: CoordinatorRow | None) -> bool:
        """Whether the store may have lost later states of a row, as it was restored."""
        return self.era > 0 and (
            row is None or not is_epoch_of_era(row.epoch, self.era)
        )

    def measure_silence(self) -> float | None:
        """
        Return for how long the holder may have had no answer of the store.

        Returns
        -------
        float or None
            Seconds at most; infinity if the clocks can't be compared, None if the row
            names no clock, or one before the store was restored.
        """
        row = self.row
        if row is None or row.store_clock_s is None:
            return None
        if not is_epoch_of_era(row.epoch, self.era):
            return None
        if self._clock_s is None or self._clock_s < row.store_clock_s:
            return inf
        since_read_s = read_boot_time() - self._read_started_at
        return self._clock_s - row.store_clock_s + since_read_s

    def may_claim(self, has_ended: bool) -> bool:
        """
        Return whether the term may be claimed.

        Parameters
        ----------
        has_ended : bool
            Whether the term that the row names has certainly ended.
        """
        return may_claim_term(
            has_ended=has_ended,
            is_era_claimed=self._is_era_claimed,
            unchanged_s=monotonic() - self.changed_at,
            required_s=self._times.unchanged_s,
        )

    async def claim(
        self, holder: str, address: str, epoch: int
    ) -> CoordinatorRow | None:
        """
        Write the row in the name of this instance.

        Parameters
        ----------
        holder, address : str
            Name of this instance, and where it accepts reports.
        epoch : int
            Latest epoch that it has heard of.

        Returns
        -------
        CoordinatorRow or None
            The row of the new term; None if another instance was faster.

        Raises
        ------
        StoreUnavailableError
            If the store doesn't answer.
        """
        earlier = self.row
        row = CoordinatorRow(
            holder=holder,
            address=address,
            epoch=next_epoch(self.era, epoch, self.known_epoch),
            beat=0,
            vacant=False,
        )
        if earlier is not None:
            # It stays until the earlier terms have ended.
            row = replace(
                row,
                electors=earlier.electors,
                long_grants=earlier.long_grants,
                store_clock_s=(
                    None if self.measure_silence() is None else earlier.store_clock_s
                ),
            )
        try:
            version = await self._store.write(
                COORDINATOR_TABLE,
                make_term_row(row, self.version),
                self._era_rows,
                list_later_eras(self.era),
            )
        except StoreConflictError:
            self.read_at = 0.0
            return None
        self.row, self.version, self.changed_at = row, version, monotonic()
        return row

    def _record_era(self, view: TableRows) -> None:
        if view.era > self.era:
            write_event("store_restored", previous=self.era, era=view.era)
            self.era = view.era
            self.changed_at = self.read_at
        self._is_era_claimed = is_era_claimed(view)
        self._era_rows = make_era_rows(view)
