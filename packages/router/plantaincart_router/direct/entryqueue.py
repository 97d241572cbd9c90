"""Requests that wait at the entry until an upstream has room for them."""

from asyncio import Future, get_running_loop, timeout_at
from collections import Counter
from collections.abc import Callable, Sequence
from copy import copy
from dataclasses import dataclass, field
from itertools import count
from time import monotonic
from typing import Self

from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.waitingorder import (
    HandOutRate,
    QueueBounds,
    Waiting,
    WaitingOrder,
)

from plantaincart_router.direct.call import Call
from plantaincart_router.direct.roomgate import RoomGate

__all__ = ["EntryQueue", "choose_no_turn"]

Process = tuple[str, int]
TurnChooser = Callable[[Call], float]


def choose_no_turn(call: Call) -> float:
    """Return 0, so that only the time orders the requests of one rank."""
    return 0.0


@dataclass(slots=True)
class _Entry:
    """A waiting request with the upstreams that may run it."""

    call: Call
    records: dict[Process, UpstreamRecord]
    future: Future[UpstreamRecord | None]
    lane: str


@dataclass(slots=True)
class _Lane:
    """Requests that wait for the same room: of one owner, or of one service."""

    rate: HandOutRate = field(default_factory=HandOutRate)
    waiting: int = 0


class EntryQueue:
    """
    Gives room at upstreams to waiting requests in order of rank and time.

    Parameters
    ----------
    gate : RoomGate
        Room that this instance may use.
    bounds : QueueBounds
        How much may wait.
    choose_turn : callable
        Returns the order of a request among those of its rank before their time counts.

    Notes
    -----
    A request waits once for all upstreams that may run it, and gets the first unit of
    room at any of them. A request that isn't waiting gets no room that a more urgent
    one waits for.
    """

    def __init__(
        self,
        gate: RoomGate,
        bounds: QueueBounds,
        choose_turn: TurnChooser = choose_no_turn,
    ) -> None:
        self._gate = gate
        self._choose_turn = choose_turn
        self._order = WaitingOrder(bounds)
        self._entries: dict[Waiting, _Entry] = {}
        self._wanted: Counter[Process] = Counter()
        self._records: dict[Process, UpstreamRecord] = {}
        self._lanes: dict[str, _Lane] = {}
        self._numbers = count()
        self._is_scheduled = False
        gate.set_listener(self._schedule)

    def __len__(self) -> int:
        return len(self._order)

    def copy(self, gate: RoomGate) -> Self:
        """Return a copy with another gate, of which estimates may be asked."""
        copied = copy(self)
        copied._gate, copied._numbers = gate, copy(self._numbers)
        return copied

    def is_wanted(self, record: UpstreamRecord) -> bool:
        """Whether requests wait for room at an upstream."""
        return self._wanted[record.id, record.born] > 0

    def try_take(self, record: UpstreamRecord) -> bool:
        """Take room at an upstream, unless those who wait need it."""
        if self._wanted[(record.id, record.born)]:
            self._hand_out()
        return self._gate.try_acquire(record, monotonic())

    def estimate_wait_s(
        self, call: Call, records: Sequence[UpstreamRecord], latest_at: float
    ) -> float:
        """
        Estimate how long a request would wait.

        Parameters
        ----------
        call : Call
            The request.
        records : sequence of UpstreamRecord
            Upstreams that may run it; at least one.
        latest_at : float
            Latest time in seconds at which it can still be served.

        Returns
        -------
        float
            Seconds; at least what the room at the upstreams itself lets expect.
        """
        now = monotonic()
        wait_s = min(self._gate.estimate_wait_s(record, now) for record in records)
        name = _name_lane(call, records)
        lane = self._lanes.get(name)
        if lane is None:
            return wait_s
        before = self._order.list_before(self._describe(call, latest_at))
        ahead = sum(self._entries[waiting].lane == name for waiting in before)
        return max(wait_s, lane.rate.estimate_wait_s(ahead, now))

    async def wait(
        self,
        call: Call,
        records: Sequence[UpstreamRecord],
        latest_at: float,
        until: float,
    ) -> UpstreamRecord | None:
        """
        Wait until there is room.

        Parameters
        ----------
        call : Call
            The request.
        records : sequence of UpstreamRecord
            Upstreams that may run it, the best one first.
        latest_at : float
            Latest time in seconds at which it can still be served.
        until : float
            Time in seconds at which to stop waiting.

        Returns
        -------
        UpstreamRecord or None
            Upstream at which a unit of room was taken; None if there was none in time,
            the queue is full of more urgent requests, or the caller has left.

        Raises
        ------
        TimeoutError
            If `until` came before the latest time, so that it may wait again.
        """
        loop = get_running_loop()
        waiting = self._describe(call, latest_at)
        by_process = {(record.id, record.born): record for record in records}
        lane = _name_lane(call, records)
        entry = _Entry(call, by_process, loop.create_future(), lane)
        self._add(waiting, entry)
        if not call.route.idempotent:
            # Requests that may be repeated are cancelled when their caller leaves.
            call.caller.set_disconnect_callback(lambda: _set(entry.future, None))
        self._gate.record_waiting(records[0], 1)
        try:
            async with timeout_at(loop.time() + max(0.0, until - monotonic())):
                return await entry.future
        except TimeoutError:
            # The time alone doesn't tell why a wait has ended: timers may run early.
            if not entry.future.done() or entry.future.cancelled():
                if until < latest_at:
                    raise
                return None
            return entry.future.result()
        except BaseException:
            taken = self._find_result(entry)
            if taken is not None:
                self._gate.release(taken)
            raise
        finally:
            if not call.route.idempotent:
                call.caller.set_disconnect_callback(None)
            self._gate.record_waiting(records[0], -1)
            self._discard(waiting)

    def _describe(self, call: Call, latest_at: float) -> Waiting:
        size = len(call.request.body)
        return Waiting(
            call.rank, self._choose_turn(call), latest_at, next(self._numbers), size
        )

    def _add(self, waiting: Waiting, entry: _Entry) -> None:
        self._entries[waiting] = entry
        lane = self._lanes.get(entry.lane)
        if lane is None:
            lane = self._lanes[entry.lane] = _Lane()
            lane.rate.record_start(monotonic())
        lane.waiting += 1
        self._wanted.update(entry.records.keys())
        self._records.update(entry.records)
        for displaced in self._order.add(waiting):
            _set(self._entries[displaced].future, None)
            self._discard(displaced)

    def _discard(self, waiting: Waiting) -> None:
        self._order.remove(waiting)
        entry = self._entries.pop(waiting, None)
        if entry is None:
            return
        lane = self._lanes[entry.lane]
        lane.waiting -= 1
        if not lane.waiting:
            del self._lanes[entry.lane]
        for process in entry.records:
            self._wanted[process] -= 1
            if not self._wanted[process]:
                del self._wanted[process]
                del self._records[process]

    def _schedule(self) -> None:
        """Give out room after the present event, once for all changes in it."""
        if self._is_scheduled or not len(self._order):
            return
        self._is_scheduled = True
        get_running_loop().call_soon(self._run_scheduled)

    def _run_scheduled(self) -> None:
        self._is_scheduled = False
        self._hand_out()

    def _hand_out(self) -> None:
        now = monotonic()
        open_processes = {
            process
            for process, record in self._records.items()
            if self._gate.has_room(record, now)
        }
        for waiting in list(self._order):
            if not open_processes:
                return
            entry = self._entries[waiting]
            if entry.future.done():
                # Its task has been cancelled, and hasn't run since.
                continue
            if waiting.latest_at < now or entry.call.caller.disconnected.is_set():
                _set(entry.future, None)
                self._discard(waiting)
                continue
            for process, record in entry.records.items():
                if process not in open_processes:
                    continue
                if self._gate.try_acquire(record, now):
                    entry.future.set_result(record)
                    self._lanes[entry.lane].rate.record_hand_out(now)
                    self._discard(waiting)
                    break
                open_processes.discard(process)

    @staticmethod
    def _find_result(entry: _Entry) -> UpstreamRecord | None:
        """Return what was handed out before the end of the wait was noticed."""
        done = entry.future.done() and not entry.future.cancelled()
        return entry.future.result() if done else None


def _name_lane(call: Call, records: Sequence[UpstreamRecord]) -> str:
    return records[0].id if call.service.keyed else call.service.name


def _set(future: Future[UpstreamRecord | None], value: UpstreamRecord | None) -> None:
    if not future.done():
        future.set_result(value)
