"""Keeping the term of a coordinator: its row, its renewals, and when it must end."""

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
from plantaincart_router.http.timeout import MovingTimeout
from plantaincart_router.log import write_event

__all__ = ["Term"]


class Term:
    """
    The row that names this instance, and whether it may still act by it.

    Parameters
    ----------
    times : CoordinationSettings
        Times of the coordinator.
    store : Store
        Keeps the row.
    row : CoordinatorRow
        The row as written.
    version : int
        Version of the row.
    members : Membership
        Instances that say whether the store answers them.
    end : callable
        Ends the term, with a reason.
    note_confirmed : callable
        Called whenever the row was seen to name this instance.

    Attributes
    ----------
    doubt : bool
        Whether the store doesn't answer.

    Notes
    -----
    The term lasts for `confirmed_s` after the begin of the last call that confirmed it,
    whatever calls are under way then. While the members say that the store answers
    none of them nobody can take over, so it goes on for `offline_s`.
    """

    def __init__(
        self,
        times: CoordinationSettings,
        store: Store,
        row: CoordinatorRow,
        version: int,
        members: Membership,
        end: Callable[[str], None],
        note_confirmed: Callable[[], None],
    ) -> None:
        self._times = times
        self._store = store
        self._row = row
        self._version = version
        self._members = members
        self._end = end
        self._note_confirmed = note_confirmed
        self._confirmed_at = monotonic()
        self._error = "no answer yet"
        self._limit = MovingTimeout(get_running_loop(), self._check)
        self._limit.set(times.confirmed_s)
        self._closed = False
        self.doubt = False

    @property
    def epoch(self) -> int:
        """Epoch of the term."""
        return self._row.epoch

    @property
    def holder(self) -> str:
        """Name of this instance."""
        return self._row.holder

    def close(self) -> None:
        """Stop watching the time."""
        self._closed = True
        self._limit.stop()

    async def renew(self) -> None:
        """Renew the row until the term ends."""
        while not self._closed:
            await sleep(self._times.beat_s)
            began = monotonic()
            row = replace(self._row, beat=self._row.beat + 1)
            try:
                await self._write(row)
                self._confirm(began)
            except (StoreConflictError, StoreUnavailableError) as error:
                # The write may have happened although no answer said so.
                await self.reread_row(str(error))

    async def vacate(self) -> bool:
        """
        Say in the store that the role is free.

        Returns
        -------
        bool
            False if the row no longer was this instance's, or still is.

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
        self._error = error
        began = monotonic()
        try:
            view = await self._store.read(COORDINATOR_TABLE)
        except StoreUnavailableError as failure:
            write_event("term_unread", epoch=self.epoch, error=str(failure))
            self.doubt = True
            self._check()
            return
        found = find_term(view)
        if found is None or found[0].vacant or self._is_other(found[0]):
            self._end("the row no longer names this instance")
            return
        self._row, self._version = found
        self._confirm(began)

    def _is_other(self, row: CoordinatorRow) -> bool:
        return (row.epoch, row.holder) != (self.epoch, self.holder)

    def _confirm(self, at: float) -> None:
        self._confirmed_at = at
        self.doubt = False
        if not self._closed:
            self._limit.set(max(0.0, at + self._times.confirmed_s - monotonic()))
        self._note_confirmed()

    def _check(self) -> None:
        """Go on without the store only while no other instance reaches it either."""
        if self._closed:
            return
        now = monotonic()
        age_s = now - self._confirmed_at
        self._members.remove_silent(now)
        silences = self._members.list_store_silences(but=self.holder)
        if any(0.0 <= silence < self._times.reached_s for silence in silences):
            self._end(f"the store answers others, but not this instance: {self._error}")
        elif age_s >= self._times.confirmed_s:
            # Members that haven't tried the store yet say so by a negative time.
            known = [silence for silence in silences if silence >= 0.0]
            nobody = bool(known) and min(known) >= self._times.reached_s
            if not nobody or age_s > self._times.offline_s:
                self._end(f"no renewal confirmed for {age_s:.1f} s: {self._error}")
            else:
                self._limit.set(self._times.report_s)

    async def _write(self, row: CoordinatorRow) -> None:
        stored = make_term_row(row, self._version)
        self._version = await self._store.write(COORDINATOR_TABLE, stored)
        self._row = row
