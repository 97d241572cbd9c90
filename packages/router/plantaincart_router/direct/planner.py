"""Choice of the moves of one service's keys, from what is known of its upstreams."""

from collections.abc import Mapping
from dataclasses import replace
from time import monotonic

from plantaincart_core.division import divide_keys
from plantaincart_core.hotspot import plan_hot_keys
from plantaincart_core.keyload import KeyLoads
from plantaincart_core.keymove import KeyMove, Owner
from plantaincart_core.ownermap import KeyRange, OwnerMap
from plantaincart_core.rangejoin import plan_joins
from plantaincart_core.rangeset import RangeSet
from plantaincart_core.spread import plan_moves

from plantaincart_router.direct.granter import Granter
from plantaincart_router.direct.holder import Holders
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.view import SystemView

__all__ = ["MovePlanner"]

# Ranges without a usable owner that are given away in one step.
MAX_ORPHANS = 100
# Pieces into which the keys of a lost owner are divided at most.
ORPHAN_PIECES = 4
# Seconds without a new upstream before keys are divided for the first time.
SETTLE_S = 1.0
# Capacity counted for an upstream that may be given no work, so that all that it owns
# is too much for it.
NO_CAPACITY = 1e-6
# Least slowness that counts; a few lucky answers make nobody many times faster.
LEAST_SLOWNESS = 0.3


class MovePlanner:
    """
    Plan moves of keys; nothing is carried out here.

    Parameters
    ----------
    service : str
        Name of the service.
    settings : DirectSettings
        Settings of the instance.
    view : SystemView
        What is known of the system.
    granter : Granter
        Says which upstreams answer.
    holders : Holders
        Upstreams that hold keys.
    work : KeyLoads
        Work that is asked for each key.

    Attributes
    ----------
    failed : set of KeyRange
        Ranges whose last move failed; they need another owner.
    """

    def __init__(
        self,
        service: str,
        settings: DirectSettings,
        view: SystemView,
        granter: Granter,
        holders: Holders,
        work: KeyLoads,
    ) -> None:
        self._service = service
        self._spread = settings.spread
        self._view = view
        self._granter = granter
        self._holders = holders
        self._work = work
        self._first_count = 0
        self._first_changed_at = monotonic()
        self.failed: set[KeyRange] = set()

    def list_owners(self) -> dict[str, Owner]:
        """Return the service's upstreams, with what each can do."""
        directory = self._view.directory
        now = monotonic()
        owners = {}
        for record in directory:
            if record.service != self._service:
                continue
            working = directory.can_work(record)
            failing = self._granter.is_failing(record.id, record.born)
            slowness = max(LEAST_SLOWNESS, self._view.loads.get(record.id).slowness)
            cold = directory.warmup_left_s(record.id, now) > 0.0
            owners[record.id] = Owner(
                id=record.id,
                born=record.born,
                capacity=record.slots / slowness if working else NO_CAPACITY,
                receives=working and not failing and not cold,
            )
        if not any(owner.receives for owner in owners.values()):
            # Cold ones are better than none.
            return {
                name: replace(owner, receives=owner.capacity > NO_CAPACITY)
                for name, owner in owners.items()
            }
        return owners

    def plan_first(self, owners: Mapping[str, Owner]) -> list[KeyMove]:
        """Plan the first division, once no new upstream has come for a while."""
        receivers = [owner for owner in owners.values() if owner.receives]
        receivers.sort(key=lambda owner: owner.id)
        now = monotonic()
        if self._first_count != len(receivers):
            self._first_count = len(receivers)
            self._first_changed_at = now
        if now - self._first_changed_at < SETTLE_S:
            return []
        return divide_keys(receivers)

    def plan_orphans(
        self, ranges: OwnerMap, moving: RangeSet, owners: Mapping[str, Owner]
    ) -> list[KeyMove]:
        """Plan for keys whose owner has gone, is leaving or can't be reached."""
        orphans = [
            keys
            for keys in ranges
            if self.is_orphan(keys) and not moving.overlaps(keys.first, keys.last)
        ]
        receivers = [owner for owner in owners.values() if owner.receives]
        if not orphans or not receivers:
            return []
        held = self._work.sum_by_owner(ranges)
        moves: list[KeyMove] = []
        for keys in orphans[:MAX_ORPHANS]:
            fitting = [one for one in receivers if one.id != keys.owner]
            if not fitting:
                continue
            for first, last, load in self._work.divide(keys, ORPHAN_PIECES):
                target = min(
                    fitting, key=lambda one: held.get(one.id, 0.0) / one.capacity
                )
                held[target.id] = held.get(target.id, 0.0) + load
                moves.append(
                    KeyMove(first=first, last=last, source=keys.owner, target=target.id)
                )
        return moves

    def is_orphan(self, keys: KeyRange) -> bool:
        """Whether a range needs another owner."""
        if keys in self.failed:
            return True
        record = self._holders.find_present(keys.owner, keys.born)
        if record is None or not self._view.directory.can_work(record):
            return True
        failing = self._granter.is_failing(record.id, record.born)
        ended = monotonic() > self._granter.hold_end(record.id, record.born)
        return failing and ended

    def plan_balance(
        self, ranges: OwnerMap, moving: RangeSet, owners: Mapping[str, Owner]
    ) -> list[KeyMove]:
        """Plan to even out the load; moves that touch an earlier one are left out."""
        if not moving:
            moves = self._plan_empty(ranges, owners)
            if moves:
                return moves
        loads, settings = self._work.loads, self._spread
        moves = plan_hot_keys(ranges, loads, owners, settings, moving)
        moves += plan_moves(
            ranges, loads, owners, self._work.request_load, settings, moving
        )
        return moves + plan_joins(ranges, loads, owners, settings)

    def _plan_empty(
        self, ranges: OwnerMap, owners: Mapping[str, Owner]
    ) -> list[KeyMove]:
        """Give an owner without keys half of the widest range."""
        held = {keys.owner for keys in ranges}
        for owner in owners.values():
            if not owner.receives or owner.id in held:
                continue
            widest = max(ranges, key=lambda keys: keys.last - keys.first)
            middle = (widest.first + widest.last + 1) // 2
            if widest.last <= widest.first or not widest.owner:
                return []
            return [
                KeyMove(
                    first=middle,
                    last=widest.last,
                    source=widest.owner,
                    target=owner.id,
                )
            ]
        return []
