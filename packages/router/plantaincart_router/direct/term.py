"""A coordinator's term: its row in the store, its renewal and its end."""

from asyncio import get_running_loop, sleep
from collections.abc import Callable
from dataclasses import replace
from time import monotonic

from plantaincart_schema.generated.direct import CoordinatorRow

from plantaincart_router.direct.membership import Membership
from plantaincart_router.direct.settings import CoordinationSettings
from plantaincart_router.direct.store import (
    Store,
    StoreConflictError,
    StoreUnavailableError,
)
from plantaincart_router.direct.termrow import (
    COORDINATOR_TABLE,
    find_term,
    make_term_row,
)
from plantaincart_router.http.timeout import ReschedulableTimeout
from plantaincart_router.log import write_event

__all__ = ["Term"]


class Term:
    """
    The row that names this instance as the coordinator, and how long that is valid.

    Parameters
    ----------
    times : CoordinationSettings
        Times of the coordinator.
    store : Store
        Contains the row.
    row : CoordinatorRow
        The row as written.
    version : int
        Version of the row.
    members : Membership
        Instances that report whether the store answers them.
    end_term : callable
        Called with a reason when the term must end.
    on_confirmed : callable
        Called whenever the row is confirmed to name this instance.

    Attributes
    ----------
    store_unreachable : bool
        Whether the last call to the store got no answer.

    Notes
    -----
    The term lasts for `confirmed_s` after the start of the last call that confirmed it,
    even if another call is in progress then. While the members report that the store
    answers none of them, no instance can take over, so the term lasts for `offline_s`.
    """

    def __init__(
        self,
        times: CoordinationSettings,
        store: Store,
        row: CoordinatorRow,
        version: int,
        members: Membership,
        end_term: Callable[[str], None],
        on_confirmed: Callable[[], None],
    ) -> None:
        self._times = times
        self._store = store
        self._row = row
        self._version = version
        self._members = members
        self._end_term = end_term
        self._on_confirmed = on_confirmed
        self._confirmed_at = monotonic()
        self._last_error = "no answer yet"
        self._expiry_timer = ReschedulableTimeout(get_running_loop(), self._check)
        self._expiry_timer.set(times.confirmed_s)
        self._closed = False
        self.store_unreachable = False

    @property
    def epoch(self) -> int:
        """Epoch of the term."""
        return self._row.epoch

    @property
    def holder(self) -> str:
        """Name of this instance."""
        return self._row.holder

    def close(self) -> None:
        """Stop the expiry timer and the renewals."""
        self._closed = True
        self._expiry_timer.stop()

    async def renew(self) -> None:
        """Renew the row until the term ends."""
        while not self._closed:
            await sleep(self._times.beat_s)
            started_at = monotonic()
            row = replace(self._row, beat=self._row.beat + 1)
            try:
                await self._write(row)
                self._confirm(started_at)
            except (StoreConflictError, StoreUnavailableError) as error:
                # The write may have taken effect although its answer was lost.
                await self.reread_row(str(error))

    async def vacate(self) -> bool:
        """
        Mark the row as vacant.

        Returns
        -------
        bool
            False if the write conflicted: either the row names another term, or it
            still names this one.

        Raises
        ------
        StoreUnavailableError
            If the store doesn't answer.
        """
        try:
            await self._write(replace(self._row, beat=self._row.beat + 1, vacant=True))
        except StoreConflictError as error:
            await self.reread_row(str(error))
            return False
        return True

    async def reread_row(self, error: str) -> None:
        """Read the row; end the term if it no longer names this instance."""
        self._last_error = error
        started_at = monotonic()
        try:
            view = await self._store.read(COORDINATOR_TABLE)
        except StoreUnavailableError as failure:
            write_event("term_unread", epoch=self.epoch, error=str(failure))
            self.store_unreachable = True
            self._check()
            return
        current = find_term(view)
        if current is None or current[0].vacant or self._names_other_term(current[0]):
            self._end_term("the row no longer names this instance")
            return
        self._row, self._version = current
        self._confirm(started_at)

    def _names_other_term(self, row: CoordinatorRow) -> bool:
        return (row.epoch, row.holder) != (self.epoch, self.holder)

    def _confirm(self, at: float) -> None:
        self._confirmed_at = at
        self.store_unreachable = False
        if not self._closed:
            self._expiry_timer.set(max(0.0, at + self._times.confirmed_s - monotonic()))
        self._on_confirmed()

    def _check(self) -> None:
        """End the term if another instance reaches the store, or if it expired."""
        if self._closed:
            return
        now = monotonic()
        age_s = now - self._confirmed_at
        self._members.remove_silent(now)
        silences = self._members.list_store_silences(excluded=self.holder)
        if any(0.0 <= silence < self._times.reached_s for silence in silences):
            self._end_term(
                f"the store answers others, but not this instance: {self._last_error}"
            )
        elif age_s >= self._times.confirmed_s:
            # A negative time means that the member hasn't tried the store yet.
            measured = [silence for silence in silences if silence >= 0.0]
            is_outage = bool(measured) and min(measured) >= self._times.reached_s
            if not is_outage or age_s > self._times.offline_s:
                self._end_term(
                    f"no renewal confirmed for {age_s:.1f} s: {self._last_error}"
                )
            else:
                self._expiry_timer.set(self._times.report_s)

    async def _write(self, row: CoordinatorRow) -> None:
        stored = make_term_row(row, self._version)
        self._version = await self._store.write(COORDINATOR_TABLE, stored)
        self._row = row
