"""Choice of the upstream for a request, or its rejection."""

from asyncio import sleep
from collections.abc import Iterable, Sequence
from random import Random
from time import monotonic

from plantaincart_core.choice import choose_cheapest
from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.verdict import Reason
from plantaincart_core.waitingorder import QueueBounds

from plantaincart_router.direct.admissioncontrol import AdmissionControl
from plantaincart_router.direct.call import Call
from plantaincart_router.direct.candidates import CandidateFinder
from plantaincart_router.direct.cost import CostEstimator
from plantaincart_router.direct.entryqueue import EntryQueue
from plantaincart_router.direct.metrics import RouterMetrics
from plantaincart_router.direct.permitwait import PermitWait
from plantaincart_router.direct.rejection import RejectionFactory
from plantaincart_router.direct.roomgate import RoomGate
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.view import SystemView
from plantaincart_router.log import write_event

__all__ = ["UpstreamSelector"]

# Number of times that a request may wait for a permit.
MAX_PERMITS = 3
# Seconds after which a request that waits for room looks at the upstreams again, since
# some may have been added, removed or paused meanwhile.
RECHECK_S = 0.15


class UpstreamSelector:
    """
    Finds the owner of a key, or the upstream with the lowest cost if there are no keys.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the instance.
    view : SystemView
        State of the system as this instance knows it.
    candidates : CandidateFinder
        Upstreams that may run a request.
    costs : CostEstimator
        Expected wait and duration.
    admission : AdmissionControl
        Rejects requests that would wait too long.
    permit_wait : PermitWait
        Lets requests wait for a permit.
    rejections : RejectionFactory
        Makes the errors for requests that are rejected.
    gate : RoomGate
        Room that this instance may use at upstreams.
    queue : EntryQueue
        Lets requests wait for room.
    metrics : RouterMetrics
        Counters and histograms.
    """

    def __init__(
        self,
        settings: DirectSettings,
        view: SystemView,
        candidates: CandidateFinder,
        costs: CostEstimator,
        admission: AdmissionControl,
        permit_wait: PermitWait,
        rejections: RejectionFactory,
        gate: RoomGate,
        queue: EntryQueue,
        metrics: RouterMetrics,
    ) -> None:
        self._settings = settings
        self._view = view
        self._candidates = candidates
        self._costs = costs
        self._admission = admission
        self._permit_wait = permit_wait
        self._rejections = rejections
        self._gate = gate
        self._queue = queue
        self._metrics = metrics
        self._random = Random()
        self._yielding = _Yielding(settings.queue)

    async def find_upstream(self, call: Call) -> UpstreamRecord:
        """
        Find the upstream for a request, and take a unit of room there.

        A request waits while its key moves, and while no upstream has room.

        Parameters
        ----------
        call : Call
            The request.

        Returns
        -------
        UpstreamRecord
            Upstream that should answer within the admission bound. The unit of room
            must be given back when the attempt has ended.

        Raises
        ------
        RefusedError
            If there is no such upstream.
        """
        quotas = self._view.quotas
        record = await self._take_room(call)
        for _ in range(MAX_PERMITS):
            if await self._acquire_permit(call, record):
                if self._permit_wait.may_still_send(call, record):
                    return record
                quotas.give_back(record)
                self._gate.release(record)
            else:
                self._gate.release(record)
                call.excluded_upstreams.add(record.id)
                if call.service.keyed or not self._candidates.list_in_service(call):
                    break
            record = await self._take_room(call)
        else:
            self._gate.release(record)
        detail = f"upstream {record.id} takes no more requests"
        wait_s = quotas.estimate_wait_s(record, monotonic())
        raise self._rejections.refuse_unserved(
            call, Reason.RATE_LIMITED, detail, wait_s
        )

    async def _acquire_permit(self, call: Call, record: UpstreamRecord) -> bool:
        try:
            return await self._permit_wait.acquire(call, record)
        except BaseException:
            self._gate.release(record)
            raise

    async def _take_room(self, call: Call) -> UpstreamRecord:
        """Take a unit of room, or wait for one while the request can be served."""
        record, others = await self._find_candidates(call)
        started_at = monotonic()
        if call.service.keyed and self._view.room.share.is_divided(call.service.name):
            record = await self._let_urgent_pass(call, record)
        while not self._queue.try_take(record):
            now = monotonic()
            latest_at = self._admission.find_latest(call, record, now)
            records = (record, *self._sort_by_cost(call, others))
            waiting_s = self._queue.estimate_wait_s(call, records, latest_at)
            until = min(latest_at, now + RECHECK_S)
            if now + waiting_s > latest_at or call.caller.disconnected.is_set():
                raise self._rejections.refuse_full(
                    call, record, now - started_at, waiting_s
                )
            try:
                taken = await self._queue.wait(call, records, latest_at, until)
            except TimeoutError:
                pass
            else:
                if taken is None:
                    raise self._rejections.refuse_full(
                        call, record, monotonic() - started_at, waiting_s
                    )
                if self._may_still_send(call, taken):
                    self._record_wait(call, taken, monotonic() - started_at)
                    return taken
                self._gate.release(taken)
            if not call.service.keyed or not self._may_still_send(call, record):
                record, others = await self._find_candidates(call)
        return record

    async def _let_urgent_pass(
        self, call: Call, record: UpstreamRecord
    ) -> UpstreamRecord:
        """Wait while more urgent requests need the queue at the owner of a key."""
        started_at, is_first = monotonic(), True
        while self._admission.must_yield(call, record, is_first):
            is_first, now = False, monotonic()
            latest_at = self._admission.find_latest(call, record, now)
            waits_too_long = now + RECHECK_S > latest_at
            has_left = call.caller.disconnected.is_set()
            if waits_too_long or has_left or not self._yielding.add(call):
                raise self._rejections.refuse_full(
                    call, record, now - started_at, RECHECK_S
                )
            try:
                await sleep(RECHECK_S)
            finally:
                self._yielding.discard(call)
            record, _ = await self._find_candidates(call)
        if not is_first:
            self._record_wait(call, record, monotonic() - started_at)
        return record

    def _record_wait(self, call: Call, record: UpstreamRecord, waited_s: float) -> None:
        self._metrics.observe("entry_wait_seconds", waited_s, call.service.name)
        write_event(
            "request_waited",
            request=call.metadata.request_id,
            upstream=record.id,
            ms=round(waited_s * 1000.0),
            rank=f"{call.rank.account}/{call.rank.route}",
            waiting=len(self._queue),
        )

    def _may_still_send(self, call: Call, record: UpstreamRecord) -> bool:
        """Whether an upstream found before a wait for room may get the request."""
        view = self._view
        if self._candidates.is_backed_off(record):
            return False
        if not self._candidates.is_allowed(call, record, monotonic()):
            return False
        key = call.metadata.key
        if not call.service.keyed or key is None:
            present = view.directory.get(record.id)
            is_present = present is not None and present.born == record.born
            return is_present and view.directory.accepts_requests(record)
        key_range = view.find_owner(call.service.name, key)
        owner = (record.id, record.born)
        is_owner = key_range is not None and (key_range.owner, key_range.born) == owner
        return is_owner and view.draining.can_serve_keys(record)

    async def _find_candidates(
        self, call: Call
    ) -> tuple[UpstreamRecord, list[UpstreamRecord]]:
        """Return the upstream to use, and others for whose room it may wait, too."""
        if not call.service.keyed:
            candidates = self._candidates.list_candidates(call)
            chosen = self._choose_cheapest(call, self._list_with_room(candidates))
            return chosen, [other for other in candidates if other is not chosen]
        record = await self._candidates.find_owner(call)
        if not self._candidates.is_allowed(call, record, monotonic()):
            raise self._rejections.refuse_unserved(
                call, Reason.RATE_LIMITED, f"upstream {record.id} is cold", 0.5
            )
        self._admission.admit(call, record)
        return record, []

    def _sort_by_cost(
        self, call: Call, records: Iterable[UpstreamRecord]
    ) -> list[UpstreamRecord]:
        """Return upstreams in the order in which a waiting request takes room."""

        def estimate_cost(record: UpstreamRecord) -> float:
            cost = self._costs.estimate_cost_s(call, record)
            if record.data_centre == self._settings.data_centre:
                return cost
            return cost * self._settings.choice.remote_cost_factor

        return sorted(records, key=estimate_cost)

    def _list_with_room(
        self, candidates: Iterable[UpstreamRecord]
    ) -> list[UpstreamRecord]:
        """Return the upstreams that have room, or all if none has."""
        now = monotonic()
        records = list(candidates)
        open_records = [item for item in records if self._gate.has_room(item, now)]
        return open_records or records

    def _choose_cheapest(
        self, call: Call, candidates: Sequence[UpstreamRecord]
    ) -> UpstreamRecord:
        eligible = {record.id: record for record in candidates}
        own_data_centre = self._settings.data_centre
        local_names = [
            name
            for name, record in eligible.items()
            if record.data_centre == own_data_centre
        ]
        remote_names = [
            name
            for name, record in eligible.items()
            if record.data_centre != own_data_centre
        ]

        def estimate_cost(name: str) -> float:
            return self._costs.estimate_cost_s(call, eligible[name])

        settings = self._settings.choice
        chosen = choose_cheapest(
            local_names, remote_names, estimate_cost, settings, self._random
        )
        if chosen is not None:
            _, admission = self._admission.assess(call, eligible[chosen])
            if admission.admitted:
                return eligible[chosen]
        # The request is rejected only if no upstream could answer in time.
        cheapest = eligible[min(eligible, key=estimate_cost)]
        if not self._admission.assess(call, cheapest)[1].admitted:
            self._view.room.record_shortage(call.service.name)
        self._admission.admit(call, cheapest)
        return cheapest


class _Yielding:
    """Requests that let more urgent ones pass, within the bounds of the queue."""

    def __init__(self, bounds: QueueBounds) -> None:
        self._bounds = bounds
        self._count = 0
        self._bytes = 0

    def add(self, call: Call) -> bool:
        size = len(call.request.body)
        if (
            self._count >= self._bounds.max_waiting
            or self._bytes + size > self._bounds.max_bytes
        ):
            return False
        self._count += 1
        self._bytes += size
        return True

    def discard(self, call: Call) -> None:
        self._count -= 1
        self._bytes -= len(call.request.body)
