"""Waiting for a unit of room at upstreams."""

from asyncio import Event, timeout
from collections.abc import Sequence
from time import monotonic

from plantaincart_core.directory import UpstreamRecord

from plantaincart_router.direct.call import Call
from plantaincart_router.direct.cost import CostEstimator
from plantaincart_router.direct.metrics import RouterMetrics
from plantaincart_router.direct.roomgate import RoomGate
from plantaincart_router.direct.settings import DirectSettings

__all__ = ["RoomWait"]

# Seconds after which a waiting request looks again, although nothing was told.
LOOK_INTERVAL_S = 0.05


class RoomWait:
    """
    Lets requests wait for room, as long as they can still be answered in time.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the instance.
    gate : RoomGate
        Room that this instance may use.
    costs : CostEstimator
        Expected duration of requests.
    metrics : RouterMetrics
        Counters and histograms.
    """

    def __init__(
        self,
        settings: DirectSettings,
        gate: RoomGate,
        costs: CostEstimator,
        metrics: RouterMetrics,
    ) -> None:
        self._settings = settings
        self._gate = gate
        self._costs = costs
        self._metrics = metrics
        self._changed = Event()
        gate.set_listener(self._wake)

    async def wait(
        self, call: Call, records: Sequence[UpstreamRecord]
    ) -> list[UpstreamRecord]:
        """
        Wait until there is room at one of several upstreams.

        Parameters
        ----------
        call : Call
            The request.
        records : sequence of UpstreamRecord
            Upstreams that may run it; at least one.

        Returns
        -------
        list of UpstreamRecord
            Those with room; none if there was none in time.
        """
        open_records = self._list_open(records)
        if open_records:
            return open_records
        until = monotonic() + self._choose_patience_s(call)
        self._gate.record_waiting(records[0], 1)
        try:
            while not open_records and (left_s := until - monotonic()) > 0.0:
                if call.caller.disconnected.is_set():
                    break
                await self._wait_for_change(min(left_s, LOOK_INTERVAL_S))
                open_records = self._list_open(records)
        finally:
            self._gate.record_waiting(records[0], -1)
        outcome = "given" if open_records else "none"
        self._metrics.count("room_waits", call.service.name, outcome)
        return open_records

    def _list_open(self, records: Sequence[UpstreamRecord]) -> list[UpstreamRecord]:
        now = monotonic()
        return [record for record in records if self._gate.has_room(record, now)]

    def _choose_patience_s(self, call: Call) -> float:
        share = self._settings.admission.choose_share(call.route.priority, False)
        limit_s = min(call.remaining_s, share * call.route.target_s)
        return limit_s - self._costs.estimate_work(call)

    async def _wait_for_change(self, wait_s: float) -> None:
        try:
            async with timeout(wait_s):
                await self._changed.wait()
        except TimeoutError:
            pass

    def _wake(self) -> None:
        self._changed.set()
        self._changed = Event()
