"""Assignment of one service's keys to upstreams, and moves between them."""

from asyncio import Task, create_task, sleep
from collections.abc import Iterable, Set
from dataclasses import replace
from time import monotonic

from plantaincart_core.keyload import KeyLoads
from plantaincart_core.keymove import KeyMove
from plantaincart_core.ownermap import KEY_COUNT, KeyRange, OwnerMap
from plantaincart_core.rangeset import RangeSet
from plantaincart_schema.generated.direct import OwnershipRange, OwnershipRow

from plantaincart_router.direct.granter import Granter
from plantaincart_router.direct.ownershipwriter import OwnershipWriter
from plantaincart_router.direct.planner import MovePlanner
from plantaincart_router.direct.rangecodec import read_range
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.store import StoreUnavailableError
from plantaincart_router.direct.transfer import GRANT_RETRY_DELAY_S, KeyTransfer
from plantaincart_router.direct.upstreamregistry import UpstreamRegistry
from plantaincart_router.direct.view import SystemView
from plantaincart_router.log import write_event

__all__ = ["ServicePlacement"]


class ServicePlacement:
    """
    Assigns the keys of one service: plans and stores moves, and carries them out.

    Parameters
    ----------
    service : str
        Name of the service.
    settings : DirectSettings
        Settings of the instance.
    view : SystemView
        State of the system as this instance knows it.
    granter : Granter
        Grant and release calls to upstreams.
    writer : OwnershipWriter
        Stores and announces the owners.

    Notes
    -----
    A new owner is stored before any key is granted to it, so that the next coordinator
    knows every upstream that may own a key. While keys move, the members' map shows
    them without an owner.
    """

    def __init__(
        self,
        service: str,
        settings: DirectSettings,
        view: SystemView,
        granter: Granter,
        writer: OwnershipWriter,
    ) -> None:
        self._service = service
        self._settings = settings
        self._view = view
        self._granter = granter
        self._writer = writer
        self._moving = RangeSet()
        self._expected_free_at: dict[KeyRange, float] = {}
        self._previous_owners: dict[tuple[int, int], tuple[str, int]] = {}
        self._tasks: set[Task[None]] = set()
        self._registry = UpstreamRegistry(service, view)
        self._transfer = KeyTransfer(granter, self._registry, writer.next_fencing_token)
        self._key_loads = KeyLoads(settings.coordination.load_memory_s)
        self.owners = OwnerMap()
        self._planner = MovePlanner(
            service, settings, view, granter, self._registry, self._key_loads
        )
        self._rebalanced_at = 0.0

    def resume(self, row: OwnershipRow) -> None:
        """
        Adopt the owners that the previous coordinator stored.

        Parameters
        ----------
        row : OwnershipRow
            Latest row of the service.
        """
        self.owners = OwnerMap(map(read_range, row.ranges))
        for stored in row.ranges:
            if stored.previous:
                self._previous_owners[stored.first, stored.last] = (
                    stored.previous,
                    stored.previous_born,
                )
        self._registry.load_row(row)
        self._registry.record_announced()

    def regrant_resumed(self) -> None:
        """Grant the adopted ranges to their owners, and complete unfinished moves."""
        for key_range in list(self.owners):
            # The previous owner stays in the stored row until its keys are free.
            previous = self._previous_owners.get((key_range.first, key_range.last))
            if not key_range.owner:
                continue
            sources = []
            if previous is not None:
                sources = [replace(key_range, owner=previous[0], born=previous[1])]
            renewed = replace(key_range, fence=self._writer.next_fencing_token())
            self.owners.assign(renewed)
            if previous is not None or self._registry.find_announced(
                key_range.owner, key_range.born
            ):
                self._moving.add(renewed)
                self._record_free_time(renewed, sources)
                self._spawn(self._complete_move(renewed, sources))

    def describe_map(self) -> list[tuple[KeyRange, float]]:
        """Return the map for the members, with seconds until moving keys are free."""
        now = monotonic()
        entries = []
        for key_range in self.owners:
            if key_range in self._moving:
                free_in_s = max(0.0, self._expected_free_at.get(key_range, now) - now)
                entries.append(
                    (KeyRange(first=key_range.first, last=key_range.last), free_in_s)
                )
            else:
                entries.append((key_range, 0.0))
        return entries

    def describe_row(self, epoch: int, sequence: int) -> OwnershipRow:
        """Return the row that stores the owners."""
        ranges = []
        for key_range in self.owners:
            previous = self._find_previous(key_range)
            ranges.append(
                OwnershipRange(
                    first=key_range.first,
                    last=key_range.last,
                    owner=key_range.owner,
                    born=key_range.born,
                    fence=key_range.fence,
                    previous=previous[0],
                    previous_born=previous[1],
                )
            )
        processes = {(stored.owner, stored.born) for stored in ranges}
        processes |= {(stored.previous, stored.previous_born) for stored in ranges}
        return OwnershipRow(
            service=self._service,
            epoch=epoch,
            sequence=sequence,
            ranges=ranges,
            addresses=self._registry.list_addresses(processes),
        )

    def add_load(self, keys: Iterable[int], work_s: Iterable[float]) -> None:
        """Add requested work, in seconds by key, to the mean loads."""
        self._key_loads.add(keys, work_s)

    def decay_load(self, factor: float) -> None:
        """Reduce the weight of earlier requests by a factor."""
        self._key_loads.decay(factor)

    async def step(self, backed_off: Set[str] = frozenset()) -> None:
        """
        Assign unowned keys to other upstreams, or rebalance the load.

        Parameters
        ----------
        backed_off : set of str
            Upstreams whose keys should move, as most instances must not send them
            requests.
        """
        try:
            moves = self._plan(backed_off)
        except Exception as error:
            # Owners keep their keys, as their grants are renewed independently.
            write_event("planning_failed", service=self._service, error=repr(error))
            return
        if moves:
            await self._carry_out(moves)

    def _plan(self, backed_off: Set[str]) -> list[KeyMove]:
        self._registry.record_announced()
        planner = self._planner
        owners = planner.list_owners(backed_off)
        if (
            self._granter.seems_cut_off
            or not self._granter.have_earlier_ended
            or not any(owner.accepts_keys for owner in owners.values())
        ):
            # Another upstream isn't reached either, or keys may not be moved yet.
            self._retry_failed_moves()
            return []
        if self._moving or any(key_range.owner for key_range in self.owners):
            moves = planner.plan_unowned(self.owners, self._moving, owners)
            if not moves and self._is_rebalance_due():
                self._merge_neighbours()
                moves = planner.count_excess_shards(self.owners, self._moving, owners)
            return moves
        return planner.plan_initial(owners)

    def _retry_failed_moves(self) -> None:
        """Grant keys again to owners that didn't answer at the end of a move."""
        failed_ranges = self._planner.failed_ranges.intersection(self.owners)
        self._planner.failed_ranges.clear()
        self.regrant(failed_ranges)

    def _is_rebalance_due(self) -> bool:
        now = monotonic()
        if now - self._rebalanced_at < self._settings.coordination.rebalance_s:
            return False
        self._rebalanced_at = now
        return True

    def regrant(self, unrenewed: Iterable[KeyRange]) -> None:
        """
        Grant keys to their owners again, with new fencing tokens.

        Parameters
        ----------
        unrenewed : iterable of KeyRange
            Grants that weren't renewed; ranges that have changed since are ignored.

        Notes
        -----
        The new tokens needn't be stored: those of the next coordinator are higher,
        since they contain its epoch.
        """
        ranges = set(unrenewed)
        if not ranges:
            return
        for key_range in ranges.intersection(self.owners):
            if self._is_moving(key_range):
                continue
            renewed = replace(key_range, fence=self._writer.next_fencing_token())
            self.owners.assign(renewed)
            self._granter.stop_renewing(self._service, key_range.first, key_range.last)
            self._spawn(self._regrant_range(renewed))

    async def _regrant_range(self, key_range: KeyRange) -> None:
        record = self._registry.find_announced(key_range.owner, key_range.born)
        if record is None:
            return

        def is_current() -> bool:
            return self.owners.find(
                key_range.first
            ) == key_range and not self._is_moving(key_range)

        granted = await self._transfer.grant_once(
            record, key_range, is_current=is_current
        )
        if not is_current():
            return
        if granted:
            self._granter.keep_renewing(self._service, record, key_range)
            self._writer.publish(self._service, key_range)
        else:
            await sleep(GRANT_RETRY_DELAY_S)
            self._granter.unrenewed.append(key_range)

    def stop(self) -> None:
        """Cancel all moves."""
        for task in self._tasks:
            task.cancel()

    def _find_previous(self, key_range: KeyRange) -> tuple[str, int]:
        for (first, last), previous in self._previous_owners.items():
            if first <= key_range.last and key_range.first <= last:
                return previous
        return ("", 0)

    def _merge_neighbours(self) -> None:
        """Merge neighbouring ranges of one owner, under one new fencing token."""
        ranges = list(self.owners)
        start = 0
        for end in range(1, len(ranges) + 1):
            same = end < len(ranges) and (ranges[end].owner, ranges[end].born) == (
                ranges[start].owner,
                ranges[start].born,
            )
            if same:
                continue
            neighbours = ranges[start:end]
            start = end
            if len(neighbours) < 2 or any(
                not key_range.owner
                or self._is_moving(key_range)
                or self._planner.needs_new_owner(key_range)
                for key_range in neighbours
            ):
                continue
            joined = replace(neighbours[0], last=neighbours[-1].last)
            self.owners.assign(joined)
            self.regrant([joined])

    def _is_moving(self, key_range: KeyRange) -> bool:
        return self._moving.overlaps(key_range.first, key_range.last)

    async def _carry_out(self, moves: list[KeyMove]) -> None:
        previous_ranges = list(self.owners)
        started: list[tuple[KeyRange, list[KeyRange]]] = []
        moving = RangeSet(self._moving)
        for move in moves:
            record = self._view.directory.get(move.target)
            if record is None or moving.overlaps(move.first, move.last):
                continue
            key_range = KeyRange(
                first=move.first,
                last=move.last,
                owner=move.target,
                born=record.born,
                fence=self._writer.next_fencing_token(),
            )
            sources = self.owners.list_within(key_range.first, key_range.last)
            self.owners.assign(key_range)
            old = next((source for source in sources if source.owner), None)
            if old is not None:
                self._previous_owners[key_range.first, key_range.last] = (
                    old.owner,
                    old.born,
                )
            started.append((key_range, sources))
            moving.add(key_range)
        if not started:
            return
        planned_ranges = set(self.owners)
        try:
            await self._writer.write(self._service, self.describe_row)
        except StoreUnavailableError as error:
            # No move has started. If the write took effect nevertheless, the next
            # coordinator releases the keys from the old owners, which the row names,
            # before it grants them to the new ones.
            write_event("moves_not_written", service=self._service, error=str(error))
            confirmed = [item for item in self.owners if item not in planned_ranges]
            self.owners = OwnerMap(previous_ranges)
            for key_range in confirmed:
                # Its grant was repeated with a new token meanwhile.
                self.owners.assign(key_range)
            for key_range, _ in started:
                self._previous_owners.pop((key_range.first, key_range.last), None)
            raise
        for key_range, sources in started:
            self._start_move(key_range, sources)
        self._planner.failed_ranges.intersection_update(self.owners)
        write_event(
            "keys_moving",
            service=self._service,
            moves=len(started),
            ranges=len(self.owners),
        )

    def _start_move(self, key_range: KeyRange, sources: list[KeyRange]) -> None:
        self._granter.stop_renewing(self._service, key_range.first, key_range.last)
        # The rest of a range that was split is renewed as a range of its own.
        for key in (key_range.first - 1, key_range.last + 1):
            if 0 <= key < KEY_COUNT:
                self._renew_rest(self.owners.find(key))
        self._moving.add(key_range)
        free_in_s = self._record_free_time(key_range, sources)
        self._writer.publish(
            self._service,
            KeyRange(first=key_range.first, last=key_range.last),
            free_in_s,
        )
        self._spawn(self._complete_move(key_range, sources))

    def _record_free_time(self, key_range: KeyRange, sources: list[KeyRange]) -> float:
        """Record when moving keys should be free; return the seconds until then."""
        free_in_s = self._transfer.estimate_free_in_s(sources)
        self._expected_free_at[key_range] = monotonic() + free_in_s
        return free_in_s

    def _renew_rest(self, rest: KeyRange) -> None:
        record = self._registry.find_announced(rest.owner, rest.born)
        if record is not None and not self._is_moving(rest):
            self._granter.keep_renewing(self._service, record, rest)

    def _spawn(self, work) -> None:  # type: ignore[no-untyped-def]
        task = create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _complete_move(
        self, key_range: KeyRange, sources: list[KeyRange]
    ) -> None:
        """Release keys from their previous owners, then grant them to the new one."""
        if key_range not in self._moving:
            self._moving.add(key_range)
        granted = await self._transfer_keys(key_range, sources)
        record = self._registry.find_announced(key_range.owner, key_range.born)
        self._moving.discard(key_range)
        self._expected_free_at.pop(key_range, None)
        self._previous_owners.pop((key_range.first, key_range.last), None)
        if granted is not None and record is not None:
            self.owners.assign(granted)
            write_event(
                "keys_granted",
                service=self._service,
                first=key_range.first,
                last=key_range.last,
                upstream=key_range.owner,
                fence=granted.fence,
                previous=sorted({source.owner for source in sources}) or None,
            )
            self._granter.keep_renewing(self._service, record, granted)
            self._writer.publish(self._service, granted)
        else:
            self._planner.failed_ranges.add(key_range)
            write_event(
                "move_failed",
                service=self._service,
                first=key_range.first,
                last=key_range.last,
                upstream=key_range.owner,
            )

    async def _transfer_keys(
        self, key_range: KeyRange, sources: list[KeyRange]
    ) -> KeyRange | None:
        """Make the calls of a move, again after an unexpected error."""
        while True:
            try:
                return await self._transfer.move(key_range, sources)
            except Exception as error:
                write_event(
                    "move_interrupted",
                    service=self._service,
                    first=key_range.first,
                    last=key_range.last,
                    upstream=key_range.owner,
                    error=repr(error),
                )
            await sleep(GRANT_RETRY_DELAY_S)
