"""Planning of key moves for one service, by the state of its upstreams."""

from collections.abc import Mapping, Set
from dataclasses import replace
from time import monotonic

from plantaincart_core.division import divide_keys
from plantaincart_core.hotspot import plan_hot_key_moves
from plantaincart_core.keybalance import plan_key_moves
from plantaincart_core.keyload import KeyLoads
from plantaincart_core.keymove import KeyMove, Owner
from plantaincart_core.keytrial import plan_trial_moves
from plantaincart_core.ownermap import KeyRange, OwnerMap
from plantaincart_core.rangemerge import plan_merges
from plantaincart_core.rangeset import RangeSet

from plantaincart_router.direct.granter import Granter
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.upstreamregistry import UpstreamRegistry
from plantaincart_router.direct.view import SystemView

__all__ = ["MovePlanner"]

# Maximum number of unowned ranges that are reassigned in one step.
MAX_UNOWNED_RANGES = 100
# Maximum number of parts into which a range of a lost owner is split.
MAX_PARTS_PER_RANGE = 4
# Seconds for which the number of upstreams must not change before the keys are divided
# for the first time.
SETTLE_S = 1.0
# Capacity assumed for an upstream that may not get requests, or has none, so that any
# key that it owns counts as excess load.
NO_CAPACITY = 1e-6
# Seconds after an upstream has named a limit for which it gets no further keys. One
# that has none left can't be heard to name no limit any more.
LIMIT_MEMORY_S = 10.0
# Minimum slowness used: a few fast answers don't show that an upstream is many times
# faster than the others.
MIN_SLOWNESS = 0.3


class MovePlanner:
    """
    Plans moves of keys, without carrying them out.

    Parameters
    ----------
    service : str
        Name of the service.
    settings : DirectSettings
        Settings of the instance.
    view : SystemView
        State of the system as this instance knows it.
    granter : Granter
        Knows which upstreams answer calls, and when their grants expire.
    registry : UpstreamRegistry
        Upstreams that own or owned keys.
    key_loads : KeyLoads
        Load of each key.

    Attributes
    ----------
    failed_ranges : set of KeyRange
        Ranges whose last move failed, so that they need another owner.
    """

    def __init__(
        self,
        service: str,
        settings: DirectSettings,
        view: SystemView,
        granter: Granter,
        registry: UpstreamRegistry,
        key_loads: KeyLoads,
    ) -> None:
        self._service = service
        self._rebalance_settings = settings.spread
        self._load_settings = settings.load
        self._view = view
        self._granter = granter
        self._registry = registry
        self._key_loads = key_loads
        self._receiver_count = 0
        self._receivers_changed_at = monotonic()
        self.failed_ranges: set[KeyRange] = set()

    def list_owners(self, backed_off: Set[str]) -> dict[str, Owner]:
        """
        Return the upstreams of the service with their capacity.

        Parameters
        ----------
        backed_off : set of str
            Upstreams that count as without capacity, unless no other one could receive
            their keys.
        """
        directory = self._view.directory
        now = monotonic()
        owners = {}
        for record in directory:
            if record.service != self._service:
                continue
            may_work = (
                directory.accepts_requests(record) and record.id not in backed_off
            )
            is_failing = self._granter.is_failing(record.id, record.born)
            # Keys don't follow the slowdown of a moment, since a move costs callers.
            slowness = None
            if self._load_settings.distributes_keys_by_speed:
                slowness = self._view.speeds.find_lasting(record.id)
            if slowness is None:
                slowness = self._view.loads.get(record.id).slowness
            slowness = max(MIN_SLOWNESS, slowness)
            is_cold = directory.remaining_warm_up_s(record.id, now) > 0.0
            capacity = record.slots / slowness
            limits, process = self._view.quotas.limits, (record.id, record.born)
            limit_per_s = limits.find(process)
            is_limited = False
            if limit_per_s is not None:
                work_s = self._key_loads.request_work_s
                capacity = min(capacity, limit_per_s * work_s)
                is_limited = now - limits.find_heard_at(process) < LIMIT_MEMORY_S
            owners[record.id] = Owner(
                id=record.id,
                born=record.born,
                capacity=max(capacity, NO_CAPACITY) if may_work else NO_CAPACITY,
                accepts_keys=(
                    may_work and not is_failing and not is_cold and not is_limited
                ),
            )
        if not any(owner.accepts_keys for owner in owners.values()):
            if backed_off:
                return self.list_owners(frozenset())
            if self._view.reachability.is_cut_off:
                return owners
            # Without warm upstreams, keys go to cold ones.
            return {
                name: replace(owner, accepts_keys=owner.capacity > NO_CAPACITY)
                for name, owner in owners.items()
            }
        return owners

    def plan_initial(self, owners: Mapping[str, Owner]) -> list[KeyMove]:
        """Plan the initial assignment, once the number of upstreams is stable."""
        receivers = [owner for owner in owners.values() if owner.accepts_keys]
        receivers.sort(key=lambda owner: owner.id)
        now = monotonic()
        if self._receiver_count != len(receivers):
            self._receiver_count = len(receivers)
            self._receivers_changed_at = now
        if now - self._receivers_changed_at < SETTLE_S:
            return []
        return divide_keys(receivers)

    def plan_unowned(
        self, ranges: OwnerMap, moving: RangeSet, owners: Mapping[str, Owner]
    ) -> list[KeyMove]:
        """Plan moves of keys whose owner is gone, draining or unreachable."""
        unowned = [
            key_range
            for key_range in ranges
            if self.needs_new_owner(key_range)
            and not moving.overlaps(key_range.first, key_range.last)
        ]
        receivers = [owner for owner in owners.values() if owner.accepts_keys]
        if not unowned or not receivers:
            return []
        loads = self._key_loads.sum_by_owner(ranges)
        moves: list[KeyMove] = []
        for key_range in unowned[:MAX_UNOWNED_RANGES]:
            candidates = [owner for owner in receivers if owner.id != key_range.owner]
            if not candidates:
                # Only a later process of the owner is left.
                candidates = [
                    owner for owner in receivers if owner.born != key_range.born
                ]
            if not candidates:
                continue
            for first, last, load in self._key_loads.divide(
                key_range, MAX_PARTS_PER_RANGE
            ):
                target = min(
                    candidates,
                    key=lambda owner: loads.get(owner.id, 0.0) / owner.capacity,
                )
                loads[target.id] = loads.get(target.id, 0.0) + load
                moves.append(
                    KeyMove(
                        first=first, last=last, source=key_range.owner, target=target.id
                    )
                )
        return moves

    def needs_new_owner(self, key_range: KeyRange) -> bool:
        """Whether a range needs another owner."""
        if key_range in self.failed_ranges:
            return True
        record = self._registry.find_announced(key_range.owner, key_range.born)
        if record is None or not self._view.directory.accepts_requests(record):
            return True
        is_failing = self._granter.is_failing(record.id, record.born)
        has_expired = monotonic() > self._granter.grant_expiry(record.id, record.born)
        return is_failing and has_expired

    def count_excess_shards(
        self, ranges: OwnerMap, moving: RangeSet, owners: Mapping[str, Owner]
    ) -> list[KeyMove]:
        """Plan moves that even out the load, without ranges that already move."""
        if not moving:
            moves = self._plan_for_idle_owner(ranges, owners)
            if moves:
                return moves
        loads, settings = self._key_loads.loads, self._rebalance_settings
        moves = plan_hot_key_moves(ranges, loads, owners, settings, moving)
        moves += plan_key_moves(
            ranges, loads, owners, self._key_loads.request_load, settings, moving
        )
        moves += plan_merges(ranges, loads, owners, settings)
        return moves + plan_trial_moves(ranges, loads, self._list_tried(owners), moving)

    def _list_tried(self, owners: Mapping[str, Owner]) -> list[str]:
        """List the upstreams that failed to accept keys and may be called again."""
        now = monotonic()
        return [
            owner.id
            for owner in owners.values()
            if owner.capacity > NO_CAPACITY
            and self._granter.may_be_tried(owner.id, owner.born, now)
        ]

    def _plan_for_idle_owner(
        self, ranges: OwnerMap, owners: Mapping[str, Owner]
    ) -> list[KeyMove]:
        """Plan to move half of the widest range to an upstream without keys."""
        owners_with_keys = {key_range.owner for key_range in ranges}
        for owner in owners.values():
            if not owner.accepts_keys or owner.id in owners_with_keys:
                continue
            widest = max(ranges, key=lambda key_range: key_range.last - key_range.first)
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
