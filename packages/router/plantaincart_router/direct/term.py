"""A coordinator's term: its row in the store, its renewal and its end."""

from asyncio import Event, get_running_loop, timeout
from collections.abc import Callable
from dataclasses import replace
from time import monotonic

from plantaincart_core.electorate import choose_electors
from plantaincart_core.era import next_epoch
from plantaincart_schema.generated.direct import CoordinatorRow, MemberReport

from plantaincart_router.direct.clock import SuspensionMonitor, read_boot_time
from plantaincart_router.direct.following import Following
from plantaincart_router.direct.membership import Membership
from plantaincart_router.direct.settings import CoordinationSettings
from plantaincart_router.direct.store import (
    Store,
    StoreConflictError,
    StoreUnavailableError,
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
from plantaincart_router.http.timeout import ReschedulableTimeout
from plantaincart_router.log import write_event

__all__ = ["Term"]

# Seconds for which the store may take to answer a read before the term is given up
# because it answers other instances.
LAST_READ_TIMEOUT_S = 0.3
# Intervals between reports within which members report again after a suspension, or
# after the coordinator has had no processor time.
REPORTS_AFTER_PAUSE = 3
# Multiple of `confirmed_s` for which a term isn't ended while no member has tried the
# store yet. It covers two calls of the coordinator and one of a member that hang.
UNTRIED_FACTOR = 2.0


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
    era : int
        Era of the store in which the row was written.
    claimed_at : float
        Boot time in seconds at which the call that wrote the row began.
    members : Membership
        Instances that report whether the store answers them.
    have_earlier_ended : callable
        Returns whether all earlier terms have certainly ended.
    end_term : callable
        Called with a reason when the term must end.
    on_confirmed : callable
        Called whenever the row is confirmed to name this instance.
    on_reclaimed : callable
        Called when the term goes on in a later era, with a higher epoch.
    may_have_long_grants : callable, optional
        Returns whether grants of more than the normal duration may be valid.

    Attributes
    ----------
    era : int
        Era of the store in which the row was last claimed.
    store_unreachable : bool
        Whether the last call to the store got no answer.

    Notes
    -----
    The term lasts for `confirmed_s` after the start of the last write that took effect,
    even if another call is in progress then. While the members report that the store
    answers none of them, it lasts for `offline_s`, but is valid only while most of the
    electors that the row names follow this instance. While no member has tried the
    store yet it isn't valid, but doesn't end. A successor in another part of a
    partitioned network waits until it knows that too few electors are left to follow
    this instance (`PreviousTerm`).

    Times are boot times, since others may take over while the machine is suspended.
    After a suspension the members must report again before an outage prolongs the term.

    A store that was restored from a copy may have lost the row or name an earlier
    holder. If no other instance can have taken over before the restoration, the term is
    claimed anew and goes on; the first claim in the new era wins.
    """

    def __init__(
        self,
        times: CoordinationSettings,
        store: Store,
        row: CoordinatorRow,
        version: int,
        era: int,
        claimed_at: float,
        members: Membership,
        have_earlier_ended: Callable[[], bool],
        end_term: Callable[[str], None],
        on_confirmed: Callable[[], None],
        on_reclaimed: Callable[[], None],
        may_have_long_grants: Callable[[], bool] = lambda: False,
    ) -> None:
        self._times = times
        self._store = store
        self._row = row
        self._version = version
        self._members = members
        self._following = Following(row, version)
        self._have_earlier_ended = have_earlier_ended
        self._end_term = end_term
        self._on_confirmed = on_confirmed
        self._on_reclaimed = on_reclaimed
        self._may_have_long_grants = may_have_long_grants
        self._reclaimed_row: CoordinatorRow | None = None
        self._reclaimed_at = float("-inf")
        # Boot times of the begin of writes that weren't answered, by the row's beat.
        self._attempted_at: dict[int, float] = {}
        self._wake_event = Event()
        self._is_rechecking = False
        self._lasts_through_outage = False
        # None while the store confirms the term.
        self._logged_suspended: bool | None = None
        self._suspension_monitor = SuspensionMonitor()
        self._confirmed_at = claimed_at
        self._resumed_at = float("-inf")
        self._last_error = "no answer yet"
        self._expiry_timer = ReschedulableTimeout(get_running_loop(), self._check)
        remaining_s = claimed_at + times.confirmed_s - read_boot_time()
        self._expiry_timer.set(max(0.0, remaining_s))
        self._closed = False
        self.era = era
        self.store_unreachable = False

    @property
    def epoch(self) -> int:
        """Epoch of the term."""
        return self._row.epoch

    @property
    def holder(self) -> str:
        """Name of this instance."""
        return self._row.holder

    @property
    def is_valid(self) -> bool:
        """Whether no later coordinator can rely on the end of this term."""
        return not self._closed and read_boot_time() < self._find_valid_until()

    @property
    def is_store_lost_for_all(self) -> bool:
        """Whether the store answers neither this instance nor those that tried it."""
        silences = self._members.list_store_silences(excluded=self.holder)
        return self.store_unreachable and self._is_outage(silences)

    @property
    def outlasts_silence(self) -> bool:
        """
        Whether the term is valid although the store has long been silent for all.

        A successor tells from the clock in the row whether that is possible.
        """
        clock = self._store.clock
        if clock is None or self._row.store_clock_s is None:
            return False
        silent_s = read_boot_time() - clock.told_at
        is_long = silent_s >= self._times.long_grants_after_s
        return is_long and self.is_store_lost_for_all and self.is_valid

    def close(self) -> None:
        """Stop the expiry timer and the renewals."""
        self._closed = True
        self._expiry_timer.stop()

    def record_report(self, report: MemberReport) -> None:
        """Record the latest notice that a member has received."""
        if report.heard_epoch == self.epoch:
            heard_at = min(report.heard_at, read_boot_time())
            self._following.record(
                report.member, report.incarnation, heard_at + self._times.followed_s
            )

    async def renew(self) -> None:
        """Renew the row until the term ends."""
        while not self._closed:
            # A read tells a restoration, or the end of an outage, from a loss of the
            # store at this instance alone.
            if await self._wait_for_beat() and not await self.reread_row(
                self._last_error, LAST_READ_TIMEOUT_S
            ):
                continue
            started_at = read_boot_time()
            incarnations = self._members.list_incarnations()
            try:
                await self._write(self._make_renewed_row())
                self._confirm(started_at, incarnations)
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
            await self._write(replace(self._make_next_row(), vacant=True))
        except StoreConflictError as error:
            await self.reread_row(str(error))
            return False
        return True

    async def reread_row(self, error: str, limit_s: float | None = None) -> bool:
        """
        Read the row; end the term if it no longer names this instance.

        A row that hasn't changed doesn't confirm the term, since others may claim it.

        Parameters
        ----------
        error : str
            Reason for which the row is read.
        limit_s : float, optional
            Seconds after which the store counts as unreachable, if that is shorter
            than the timeout of a call.

        Returns
        -------
        bool
            Whether the row names this instance.
        """
        self._last_error = error
        started_at = read_boot_time()
        incarnations = self._members.list_incarnations()
        try:
            async with timeout(limit_s):
                view = await self._store.read(COORDINATOR_TABLE)
        except (StoreUnavailableError, TimeoutError) as failure:
            write_event("term_unread", epoch=self.epoch, error=repr(failure))
            self.store_unreachable = True
            self._check(has_just_read=True)
            return False
        current = find_term(view)
        if view.era > self.era and not is_era_claimed(view):
            await self._reclaim(view, started_at, incarnations)
            return not self._closed
        if current is not None and current[0] == self._reclaimed_row:
            # The answer to the claim was lost.
            written_at: float | None = self._reclaimed_at
            self._adopt_claim(current[0], current[1], view.era)
        elif (
            view.era > self.era
            or current is None
            or current[0].vacant
            or self._names_other_term(current[0])
        ):
            self._end_term("the row no longer names this instance")
            return False
        else:
            self._following.record_found(current[0], current[1])
            self._row, self._version = current
            written_at = self._attempted_at.get(self._row.beat)
        self.store_unreachable = self._is_rechecking = False
        if written_at is not None:
            self._confirm(written_at, incarnations)
        return True

    async def _reclaim(
        self, view: TableRows, started_at: float, incarnations: dict[str, str]
    ) -> None:
        """Claim the term anew after a restoration of the store."""
        if not self._excludes_takeover():
            self._end_term("the store was restored, perhaps after a takeover")
            return
        row, version = find_term(view) or (self._row, 0)
        claimed = replace(
            self._make_next_row(),
            epoch=next_epoch(view.era, self.epoch, row.epoch),
            beat=0,
        )
        self._reclaimed_row, self._reclaimed_at = claimed, started_at
        try:
            version = await self._store.write(
                COORDINATOR_TABLE,
                make_term_row(claimed, version),
                make_era_rows(view),
                list_later_eras(view.era),
            )
        except StoreConflictError as error:
            self._end_term(f"another term was claimed after a restoration: {error}")
            return
        except StoreUnavailableError as error:
            write_event("term_not_reclaimed", epoch=self.epoch, error=str(error))
            self.store_unreachable = True
            self._check(has_just_read=True)
            return
        self._adopt_claim(claimed, version, view.era)
        self._confirm(started_at, incarnations)

    def _adopt_claim(self, row: CoordinatorRow, version: int, era: int) -> None:
        write_event(
            "term_reclaimed",
            previous_epoch=self.epoch,
            epoch=row.epoch,
            previous_era=self.era,
            era=era,
        )
        self._following.record_found(row, version)
        self._row, self._version, self.era = row, version, era
        self._reclaimed_row = None
        self._on_reclaimed()

    def _excludes_takeover(self) -> bool:
        """
        Whether no other term can have been claimed before the store was restored.

        The store may have lost such a claim. It requires a row that is unchanged for
        `unchanged_s`, or a store that answers another instance.
        """
        if read_boot_time() - self._confirmed_at < self._times.unchanged_s:
            return True
        silences = self._members.list_store_silences(excluded=self.holder)
        return self.store_unreachable and any(silence >= 0.0 for silence in silences)

    async def _wait_for_beat(self) -> bool:
        """Wait until the next renewal; return whether the row must be read first."""
        try:
            async with timeout(self._times.beat_s):
                await self._wake_event.wait()
        except TimeoutError:
            return False
        self._wake_event.clear()
        return True

    def _names_other_term(self, row: CoordinatorRow) -> bool:
        return (row.epoch, row.holder) != (self.epoch, self.holder)

    def _confirm(self, at: float, incarnations: dict[str, str]) -> None:
        self._confirmed_at = max(self._confirmed_at, at)
        self._attempted_at.clear()
        self._following.incarnations = incarnations
        self._is_rechecking = self._lasts_through_outage = False
        self._logged_suspended = None
        self.store_unreachable = False
        if not self._closed:
            confirmed_until = self._confirmed_at + self._times.confirmed_s
            remaining_s = confirmed_until - read_boot_time()
            self._expiry_timer.set(max(0.0, remaining_s))
        self._on_confirmed()

    def _check(self, has_just_read: bool = False) -> None:
        """
        End the term if another instance reaches the store, or if it expired.

        Parameters
        ----------
        has_just_read : bool
            Whether the store has just failed to answer. Otherwise it is asked once
            more, since an outage may have ended for all instances.
        """
        if self._closed:
            return
        now = read_boot_time()
        age_s = now - self._confirmed_at
        if self._suspension_monitor.measure_suspension() > 0.0:
            self._members.discard_store_silences()
            self._resumed_at = now
        self._members.remove_silent(monotonic())
        silences = self._members.list_store_silences(excluded=self.holder)
        if any(0.0 <= silence < self._times.reached_s for silence in silences):
            is_valid = self._lasts_through_outage or age_s < self._times.confirmed_s
            if is_valid and not has_just_read and not self._is_rechecking:
                self._is_rechecking = True
                self._wake_event.set()
                self._expiry_timer.set(1.5 * LAST_READ_TIMEOUT_S)
                return
            self._end_term(
                f"the store answers others, but not this instance: {self._last_error}"
            )
        elif age_s >= self._times.confirmed_s:
            self._check_outage(now, age_s, silences)

    def _check_outage(self, now: float, age_s: float, silences: list[float]) -> None:
        """End the term unless most electors know that the store answers nobody."""
        is_outage = self._is_outage(silences)
        report_window_s = REPORTS_AFTER_PAUSE * self._times.report_s
        if not is_outage and now < self._resumed_at + report_window_s:
            self._expiry_timer.set(self._times.report_s)
            return
        is_untried = bool(silences) and max(silences) < 0.0
        if is_untried and age_s < UNTRIED_FACTOR * self._times.confirmed_s:
            # Calls that hang tell late of an outage. The term isn't valid meanwhile.
            self._log_validity(now, age_s, silences, is_suspended=True)
            self._expiry_timer.set(self._times.report_s)
            return
        if not is_outage or age_s > self._times.offline_s:
            self._end_term(
                f"no renewal confirmed for {age_s:.1f} s: {self._last_error}"
            )
            return
        followed_until = self._following.find_followed_until(self.holder)
        unfollowed_s = now - max(
            followed_until, self._confirmed_at + self._times.confirmed_s
        )
        self._log_validity(now, age_s, silences, is_suspended=unfollowed_s > 0.0)
        self._lasts_through_outage = True
        if unfollowed_s > report_window_s:
            self._end_term("too few electors follow this instance")
            return
        self._expiry_timer.set(self._times.report_s)

    def _log_validity(
        self, now: float, age_s: float, silences: list[float], is_suspended: bool
    ) -> None:
        """Log whether the term is valid without the store, if that has changed."""
        if self._logged_suspended == is_suspended:
            return
        self._logged_suspended = is_suspended
        write_event(
            "term_suspended" if is_suspended else "term_prolonged",
            epoch=self.epoch,
            confirmed_s=round(age_s, 2),
            electors=self._following.count_electors(),
            followed_by=self._following.count_followers(now),
            tried=sum(silence >= 0.0 for silence in silences),
        )

    def _find_valid_until(self) -> float:
        """Return the boot time in seconds until which the term is valid."""
        confirmed_until = self._confirmed_at + self._times.confirmed_s
        if not self._lasts_through_outage:
            return confirmed_until
        followed_until = self._following.find_followed_until(self.holder)
        offline_until = self._confirmed_at + self._times.offline_s
        return max(confirmed_until, min(followed_until, offline_until))

    def _make_next_row(self) -> CoordinatorRow:
        """Return the row with the next beat, and with what it says of grants."""
        long_grants = self._may_have_long_grants()
        # A beat names one write, also if an earlier one takes effect late.
        last_beat = max([self._row.beat, *self._attempted_at])
        row = replace(self._row, beat=last_beat + 1)
        if not self._have_earlier_ended():
            return replace(row, long_grants=row.long_grants or long_grants)
        clock = self._store.clock
        clock_s = row.store_clock_s if clock is None else clock.clock_s
        return replace(row, long_grants=long_grants, store_clock_s=clock_s)

    def _make_renewed_row(self) -> CoordinatorRow:
        """Return the next row, with electors among the members."""
        row = self._make_next_row()
        if not self._have_earlier_ended():
            return row
        members = {self.holder, *self._members.list_names()}
        electors = choose_electors(self._row.electors, members)
        return replace(row, electors=list(electors), earlier_ended=True)

    def _is_outage(self, silences: list[float]) -> bool:
        """Whether members have tried the store, and none of them reaches it."""
        # A negative time means that the member hasn't tried the store yet.
        measured = [silence for silence in silences if silence >= 0.0]
        return bool(measured) and min(measured) >= self._times.reached_s

    async def _write(self, row: CoordinatorRow) -> None:
        stored = make_term_row(row, self._version)
        self._following.record_attempt(row)
        self._attempted_at[row.beat] = read_boot_time()
        self._version = await self._store.write(
            COORDINATOR_TABLE, stored, absent=list_later_eras(self.era)
        )
        self._row = row
        self._following.record_found(row, self._version)
