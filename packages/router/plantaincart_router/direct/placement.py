"""The coordinator's work on one service: who owns which keys, and moves."""

from asyncio import Task, create_task, sleep
from collections.abc import Iterable
from dataclasses import replace
from time import monotonic

from plantaincart_core.keyload import KeyLoads
from plantaincart_core.keymove import KeyMove
from plantaincart_core.ownermap import KEYS, KeyRange, OwnerMap
from plantaincart_core.rangeset import RangeSet
from plantaincart_schema.generated.direct import OwnershipRange, OwnershipRow

from plantaincart_router.direct.granter import Granter
from plantaincart_router.direct.holder import Holders
from plantaincart_router.direct.ledger import OwnershipLedger
from plantaincart_router.direct.planner import MovePlanner
from plantaincart_router.direct.rangecodec import read_range
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.store import StoreUnavailableError
from plantaincart_router.direct.transfer import GRANT_PAUSE_S, KeyTransfer
from plantaincart_router.direct.view import SystemView
from plantaincart_router.log import write_event

__all__ = ["ServicePlacement"]


class ServicePlacement:
    """
    Decide on owners, write the decision down, and carry it out.

    Parameters
    ----------
    service : str
        Name of the service.
    settings : DirectSettings
        Settings of the instance.
    view : SystemView
        What is known of the system.
    granter : Granter
        Calls to upstreams.
    ledger : OwnershipLedger
        Keeps the decisions in the store.

    Notes
    -----
    A decision is written before anything is granted by it, so that a later
    coordinator knows every upstream that may hold a key. While keys move, nobody
    owns them as far as other instances are told.
    """

    def __init__(
        self,
        service: str,
        settings: DirectSettings,
        view: SystemView,
        granter: Granter,
        ledger: OwnershipLedger,
    ) -> None:
        self._service = service
        self._settings = settings
        self._view = view
        self._granter = granter
        self._ledger = ledger
        self._moving = RangeSet()
        self._free_at: dict[KeyRange, float] = {}
        self._previous: dict[tuple[int, int], tuple[str, int]] = {}
        self._tasks: set[Task[None]] = set()
        self._holders = Holders(service, view)
        self._transfer = KeyTransfer(granter, self._holders)
        self._work = KeyLoads(settings.coordination.load_memory_s)
        self.owners = OwnerMap()
        self._planner = MovePlanner(
            service, settings, view, granter, self._holders, self._work
        )
        self._balanced_at = 0.0

    def resume(self, row: OwnershipRow) -> None:
        """
        Take over the decisions of an earlier coordinator.

        Parameters
        ----------
        row : OwnershipRow
            What it wrote last.
        """
        self.owners = OwnerMap(map(read_range, row.ranges))
        for one in row.ranges:
            if one.previous:
                self._previous[one.first, one.last] = (one.previous, one.previous_born)
        self._holders.recall(row)
        self._holders.remember()

    def start_resumed(self) -> None:
        """Grant the keys taken over anew, and finish the moves under way."""
        for keys in list(self.owners):
            # It stays in the rows until the keys are free.
            previous = self._previous.get((keys.first, keys.last))
            if not keys.owner:
                continue
            held = []
            if previous is not None:
                held = [replace(keys, owner=previous[0], born=previous[1])]
            renewed = replace(keys, fence=self._ledger.next_fence())
            self.owners.assign(renewed)
            if previous is not None or self._holders.find_present(
                keys.owner, keys.born
            ):
                self._moving.add(renewed)
                self._note_free(renewed, held)
                self._spawn(self._finish(renewed, held))

    def describe(self) -> list[tuple[KeyRange, float]]:
        """Return the map as others should see it, with seconds until keys are free."""
        now = monotonic()
        shown = []
        for keys in self.owners:
            if keys in self._moving:
                free_in_s = max(0.0, self._free_at.get(keys, now) - now)
                shown.append((KeyRange(first=keys.first, last=keys.last), free_in_s))
            else:
                shown.append((keys, 0.0))
        return shown

    def describe_row(self, epoch: int, sequence: int) -> OwnershipRow:
        """Return the row that keeps the decisions."""
        ranges = []
        for keys in self.owners:
            previous = self._find_previous(keys)
            ranges.append(
                OwnershipRange(
                    first=keys.first,
                    last=keys.last,
                    owner=keys.owner,
                    born=keys.born,
                    fence=keys.fence,
                    previous=previous[0],
                    previous_born=previous[1],
                )
            )
        holders = {(one.owner, one.born) for one in ranges}
        holders |= {(one.previous, one.previous_born) for one in ranges}
        return OwnershipRow(
            service=self._service,
            epoch=epoch,
            sequence=sequence,
            ranges=ranges,
            addresses=self._holders.list_addresses(holders),
        )

    def add_load(self, keys: Iterable[int], work_s: Iterable[float]) -> None:
        """Add work that was asked to the mean loads."""
        self._work.add(keys, work_s)

    def decay_load(self, factor: float) -> None:
        """Let what was asked earlier count less."""
        self._work.decay(factor)

    async def step(self) -> None:
        """Give keys without a usable owner to others, and balance the load."""
        self._holders.remember()
        planner = self._planner
        owners = planner.list_owners()
        if not any(owner.receives for owner in owners.values()):
            return
        if self._moving or any(keys.owner for keys in self.owners):
            moves = planner.plan_orphans(self.owners, self._moving, owners)
            if not moves and self._is_balance_due():
                self._join_neighbours()
                moves = planner.plan_balance(self.owners, self._moving, owners)
        else:
            moves = planner.plan_first(owners)
        if moves:
            await self._carry_out(moves)

    def _is_balance_due(self) -> bool:
        now = monotonic()
        if now - self._balanced_at < self._settings.coordination.rebalance_s:
            return False
        self._balanced_at = now
        return True

    def regrant(self, refused: Iterable[KeyRange]) -> None:
        """
        Grant keys to their owners again, with new fencing tokens.

        Parameters
        ----------
        refused : iterable of KeyRange
            Grants that weren't renewed; those that no longer stand are left out.

        Notes
        -----
        Nothing is written: the next coordinator's tokens exceed these by its epoch.
        """
        wanted = set(refused)
        if not wanted:
            return
        for keys in wanted.intersection(self.owners):
            if self._is_moving(keys):
                continue
            renewed = replace(keys, fence=self._ledger.next_fence())
            self.owners.assign(renewed)
            self._granter.drop(self._service, keys.first, keys.last)
            self._spawn(self._regrant_one(renewed))

    async def _regrant_one(self, keys: KeyRange) -> None:
        record = self._holders.find_present(keys.owner, keys.born)
        if record is None:
            return

        def stands() -> bool:
            return self.owners.find(keys.first) == keys and not self._is_moving(keys)

        held = await self._transfer.grant_once(record, keys, stands=stands)
        if not stands():
            return
        if held:
            self._granter.stand(self._service, record, keys)
            self._ledger.publish(self._service, keys)
        else:
            await sleep(GRANT_PAUSE_S)
            self._granter.refused.append(keys)

    def stop(self) -> None:
        """Give up all moves under way."""
        for task in self._tasks:
            task.cancel()

    def _find_previous(self, keys: KeyRange) -> tuple[str, int]:
        for (first, last), previous in self._previous.items():
            if first <= keys.last and keys.first <= last:
                return previous
        return ("", 0)

    def _join_neighbours(self) -> None:
        """Give neighbouring ranges of one owner a common fencing token."""
        ranges = list(self.owners)
        start = 0
        for end in range(1, len(ranges) + 1):
            same = end < len(ranges) and (ranges[end].owner, ranges[end].born) == (
                ranges[start].owner,
                ranges[start].born,
            )
            if same:
                continue
            run = ranges[start:end]
            start = end
            if len(run) < 2 or any(
                not one.owner or self._is_moving(one) or self._planner.is_orphan(one)
                for one in run
            ):
                continue
            joined = replace(run[0], last=run[-1].last)
            self.owners.assign(joined)
            self.regrant([joined])

    def _is_moving(self, keys: KeyRange) -> bool:
        return self._moving.overlaps(keys.first, keys.last)

    async def _carry_out(self, moves: list[KeyMove]) -> None:
        before = list(self.owners)
        started: list[tuple[KeyRange, list[KeyRange]]] = []
        under_way = RangeSet(self._moving)
        for move in moves:
            record = self._view.directory.get(move.target)
            if record is None or under_way.overlaps(move.first, move.last):
                continue
            keys = KeyRange(
                first=move.first,
                last=move.last,
                owner=move.target,
                born=record.born,
                fence=self._ledger.next_fence(),
            )
            held = self.owners.list_within(keys.first, keys.last)
            self.owners.assign(keys)
            old = next((one for one in held if one.owner), None)
            if old is not None:
                self._previous[keys.first, keys.last] = (old.owner, old.born)
            started.append((keys, held))
            under_way.add(keys)
        if not started:
            return
        try:
            await self._ledger.write(self._service, self.describe_row)
        except StoreUnavailableError as error:
            # Nothing has moved. If the write happened all the same, a later
            # coordinator releases the keys at the old owners, which the row names,
            # before it grants them to the new ones.
            write_event("moves_not_written", service=self._service, error=str(error))
            self.owners = OwnerMap(before)
            for keys, _ in started:
                self._previous.pop((keys.first, keys.last), None)
            raise
        for keys, held in started:
            self._begin(keys, held)
        self._planner.failed.intersection_update(self.owners)
        write_event(
            "keys_moving",
            service=self._service,
            moves=len(started),
            ranges=len(self.owners),
        )

    def _begin(self, keys: KeyRange, held: list[KeyRange]) -> None:
        self._granter.drop(self._service, keys.first, keys.last)
        # What is left of a range that was cut goes on under its own bounds.
        for key in (keys.first - 1, keys.last + 1):
            if 0 <= key < KEYS:
                self._restand(self.owners.find(key))
        self._moving.add(keys)
        free_in_s = self._note_free(keys, held)
        self._ledger.publish(
            self._service, KeyRange(first=keys.first, last=keys.last), free_in_s
        )
        self._spawn(self._finish(keys, held))

    def _note_free(self, keys: KeyRange, held: list[KeyRange]) -> float:
        """Note when keys that move should be free; return the seconds until then."""
        free_in_s = self._transfer.estimate_free(held)
        self._free_at[keys] = monotonic() + free_in_s
        return free_in_s

    def _restand(self, one: KeyRange) -> None:
        record = self._holders.find_present(one.owner, one.born)
        if record is not None and not self._is_moving(one):
            self._granter.stand(self._service, record, one)

    def _spawn(self, work) -> None:  # type: ignore[no-untyped-def]
        task = create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _finish(self, keys: KeyRange, held: list[KeyRange]) -> None:
        """Free keys at their earlier holders, then grant them to the new one."""
        if keys not in self._moving:
            self._moving.add(keys)
        granted = await self._transfer.move(keys, held)
        record = self._holders.find_present(keys.owner, keys.born)
        self._moving.discard(keys)
        self._free_at.pop(keys, None)
        self._previous.pop((keys.first, keys.last), None)
        if granted and record is not None:
            self._granter.stand(self._service, record, keys)
            self._ledger.publish(self._service, keys)
        else:
            self._planner.failed.add(keys)
            write_event(
                "move_failed",
                service=self._service,
                first=keys.first,
                last=keys.last,
                upstream=keys.owner,
            )
