"""Assignment of a shard's hash slots to upstreams, and moves between them."""

from asyncio import Task, get_running_loop, sleep
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from time import monotonic

from plantaincart_core.assignment import (
    SlotMove,
    decode_assignments,
    encode_assignments,
    plan_moves,
)
from plantaincart_core.distribution import distribute_slots
from plantaincart_schema.generated.configuration import Service
from plantaincart_schema.generated.platform import ShardLease
from plantaincart_schema.generated.settings import GrantSettings

from plantaincart_router.grantkeeper import GrantKeeper, SlotOwners, log_task_failure
from plantaincart_router.log import write_event
from plantaincart_router.runtime import UpstreamRuntime
from plantaincart_router.shardrow import ShardRow

__all__ = ["Ownership"]

PLAN_INTERVAL_S = 0.1
RETRY_S = 0.05
DRAIN_POLL_S = 0.01
# Seconds after which slots without requests in flight move, without waiting for others.
DRAIN_LIMIT_S = 0.2
# Causes of moves that aren't needed: slots with requests in flight stay.
DEFERRABLE_CAUSES = frozenset({"balance"})
# Time after the start of a leadership to wait for contact with all upstreams.
FIRST_CONTACT_S = 0.5


class Ownership:
    """
    Assign each slot of a shard to one reachable upstream.

    Parameters
    ----------
    service : Service
        Service of the shard; without keys there are grants but no slots.
    slots : range
        Slots of the shard.
    row : ShardRow
        Row in which the owners are stored.
    runtimes : dict of str to UpstreamRuntime
        Upstreams of the shard.
    settings : GrantSettings
        Durations of grants.
    find_authority_expiry : callable
        Returns until when the leader may act, in seconds of the loop's clock.
    on_change : callable
        Called when owners or grants have changed.
    list_loads : callable
        Returns the recent load of each slot that had requests.

    Notes
    -----
    The move of a slot has these steps: stop dispatch for the slot; wait for requests in
    flight; wait until the source accepts a grant without the slot, or its grants have
    expired; write the new owner to the row; grant the slot to the target; resume
    dispatch. Moves from one source are made together, those from different sources
    independently, so that an unreachable source delays only its own slots. Slots whose
    requests outlast `DRAIN_LIMIT_S` move later, or stay if the cause is only balance.
    """

    def __init__(
        self,
        service: Service,
        slots: range,
        row: ShardRow,
        runtimes: dict[str, UpstreamRuntime],
        settings: GrantSettings,
        find_authority_expiry: Callable[[], float],
        on_change: Callable[[], None],
        list_loads: Callable[[], Mapping[int, float]],
    ) -> None:
        self._slots = slots
        self._row = row
        self._runtimes = runtimes
        self._settings = settings
        self._find_authority_expiry = find_authority_expiry
        self._on_change = on_change
        self._list_loads = list_loads
        self._loop = get_running_loop()
        self._started_at = monotonic()
        self._moving: set[int] = set()
        self._move_tasks: dict[str, Task[None]] = {}
        self._slot_owners = SlotOwners(
            decode_assignments(row.row.assignments), row.row.assignment_version
        )
        self._grants = GrantKeeper(
            service,
            row,
            runtimes,
            self._slot_owners,
            settings,
            find_authority_expiry,
            on_change,
        )
        self.moved_slots = 0
        self.causes: defaultdict[str, int] = defaultdict(int)

    @property
    def owners(self) -> dict[int, str]:
        """Owner of each slot, without unowned slots."""
        return self._slot_owners.owners

    @property
    def keyed(self) -> bool:
        """Whether the service has keys, so that its slots have owners."""
        return len(self._slots) > 0

    @property
    def moving_count(self) -> int:
        """Number of slots that are being moved."""
        return len(self._moving)

    def find_owner(self, slot: int) -> str:
        """Return a slot's owner, or "" while it is unowned or being moved."""
        return "" if slot in self._moving else self.owners.get(slot, "")

    def owns_slots(self, name: str) -> bool:
        """Return whether an upstream owns any slot."""
        return self._slot_owners.owns_slots(name)

    async def run(self) -> None:
        """Renew grants and plan moves until cancelled."""
        try:
            while True:
                self._grants.update_renewal_tasks()
                if self.keyed and monotonic() < self._find_authority_expiry():
                    self._plan()
                await sleep(PLAN_INTERVAL_S)
        finally:
            self._grants.stop()
            for task in self._move_tasks.values():
                task.cancel()

    def request_moves(self, moves: Iterable[SlotMove], cause: str) -> int:
        """
        Start to move slots between upstreams.

        Parameters
        ----------
        moves : iterable of SlotMove
            Requested moves. Ignored are those without target, of slots that are being
            moved, and from a source whose earlier moves have not ended.
        cause : str
            Cause of the moves, for the log and the metrics.

        Returns
        -------
        int
            Number of moves that were started.
        """
        by_source: defaultdict[str, list[SlotMove]] = defaultdict(list)
        for move in moves:
            if move.target and move.slot not in self._moving:
                by_source[move.source].append(move)
        count = 0
        for source, source_moves in by_source.items():
            if source in self._move_tasks:
                continue
            count += len(source_moves)
            self._moving.update(move.slot for move in source_moves)
            self.causes[cause] += len(source_moves)
            task = self._loop.create_task(self._move(source, source_moves, cause))
            self._move_tasks[source] = task
        if count:
            self._on_change()
        return count

    def renew_grant_now(self, name: str) -> None:
        """Renew an upstream's grant without waiting for the next interval."""
        self._grants.renew_grant_now(name)

    def _plan(self) -> None:
        for source in [name for name, task in self._move_tasks.items() if task.done()]:
            log_task_failure(self._move_tasks.pop(source))
        usable = {
            name: runtime.upstream.slots
            for name, runtime in self._runtimes.items()
            if runtime.in_service and runtime.reachable
        }
        if not usable or self._is_awaiting_first_contact(usable):
            return
        if any(self.owners.get(slot, "") not in usable for slot in self._slots):
            self._distribute(usable, "unowned")
        elif self._has_upstream_without_slots(usable):
            self._distribute(usable, "join")

    def _distribute(self, capacities: dict[str, int], cause: str) -> None:
        loads = self._list_loads()
        new_owners = distribute_slots(self._slots, loads, capacities, self.owners)
        self.request_moves(plan_moves(self.owners, new_owners), cause)

    def _is_awaiting_first_contact(self, usable: dict[str, int]) -> bool:
        """Return whether to wait for more upstreams after the start of leadership."""
        wait_is_over = monotonic() - self._started_at > FIRST_CONTACT_S
        return not wait_is_over and len(usable) < sum(
            runtime.in_service for runtime in self._runtimes.values()
        )

    def _has_upstream_without_slots(self, usable: dict[str, int]) -> bool:
        """Return whether a usable upstream, for example a new one, owns no slot."""
        owning = set(self.owners.values())
        return not self._moving and any(name not in owning for name in usable)

    async def _move(self, source: str, moves: list[SlotMove], cause: str) -> None:
        pending = {move.slot: move for move in moves}
        try:
            while pending:
                await self._drain(source, set(pending))
                slots_in_use = self._find_slots_in_use(source, pending.keys())
                ready = [
                    move for slot, move in pending.items() if slot not in slots_in_use
                ]
                if ready:
                    await self._move_drained(source, ready, cause)
                pending = {slot: pending[slot] for slot in slots_in_use}
                self._moving -= {move.slot for move in ready}
                if cause in DEFERRABLE_CAUSES:
                    return
        finally:
            self._moving -= pending.keys()
            self._on_change()

    async def _move_drained(
        self, source: str, moves: list[SlotMove], cause: str
    ) -> None:
        slots = {move.slot for move in moves}
        try:
            self._slot_owners.withheld |= slots
            self._slot_owners.sequence += 1
            await self._await_release(source, slots)
            self._cancel_running_requests(source, slots)
            await self._store_owners(moves)
        finally:
            self._slot_owners.withheld -= slots
            self._moving -= slots
        write_event(
            "slots_moved",
            shard=str(self._row.shard),
            source=source or "none",
            targets=",".join(sorted({move.target for move in moves})),
            count=len(moves),
            cause=cause,
            provisional=self._row.provisional,
        )
        for move in moves:
            self.renew_grant_now(move.target)
        self._on_change()

    async def _drain(self, source: str, slots: set[int]) -> None:
        ends_at = monotonic() + DRAIN_LIMIT_S
        while self._find_slots_in_use(source, slots):
            if monotonic() >= ends_at:
                return
            await sleep(DRAIN_POLL_S)

    def _find_slots_in_use(self, source: str, slots: Iterable[int]) -> set[int]:
        """Find slots with requests in flight; none if the source is unreachable."""
        runtime = self._runtimes.get(source)
        if runtime is None or not runtime.reachable:
            return set()
        return runtime.running_by_slot.keys() & set(slots)

    async def _await_release(self, source: str, slots: set[int]) -> None:
        if not source:
            return
        runtime = self._runtimes.get(source)
        if runtime is None:
            expiry_s = self._settings.ttl_s + self._settings.margin_s
            await sleep(max(0.0, self._started_at + expiry_s - monotonic()))
            return
        self.renew_grant_now(source)
        while True:
            now = monotonic()
            if all(runtime.grant.is_released(slot, now) for slot in slots):
                return
            await sleep(DRAIN_POLL_S)

    def _cancel_running_requests(self, source: str, slots: set[int]) -> None:
        runtime = self._runtimes.get(source)
        if runtime is None:
            return
        for running_request in list(runtime.running_requests):
            if running_request.slot in slots and running_request.task is not None:
                running_request.revoked = True
                running_request.task.cancel()

    async def _store_owners(self, moves: list[SlotMove]) -> None:
        def change(row: ShardLease) -> ShardLease:
            owners = decode_assignments(row.assignments)
            owners.update((move.slot, move.target) for move in moves)
            self._slot_owners.sequence = (
                max(self._slot_owners.sequence, row.assignment_version) + 1
            )
            return replace(
                row,
                assignments=encode_assignments(owners),
                assignment_version=self._slot_owners.sequence,
            )

        while True:
            if await self._row.store(change):
                break
            await sleep(RETRY_S)
        self.owners.update((move.slot, move.target) for move in moves)
        self.moved_slots += len(moves)
