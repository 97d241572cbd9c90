"""Waiting for room at the entry, with a fake of the room at upstreams."""

from asyncio import CancelledError, create_task, gather, sleep
from time import monotonic

import pytest
from plantaincart_core.traffic import ServicePolicy
from plantaincart_core.waitingorder import QueueBounds
from plantaincart_router.direct.call import Call
from plantaincart_router.direct.entryqueue import EntryQueue
from plantaincart_router.direct.interface import RequestMetadata
from plantaincart_router.direct.roomgate import RoomGate
from plantaincart_router.direct.tests.fakes import make_plan, make_record
from plantaincart_router.http.caller import CallerConnection
from plantaincart_router.http.message import HttpRequest


class FakeGate(RoomGate):
    """Room as set by the test."""

    def __init__(self, **room):
        self.room = dict(room)
        self.waiting = {}
        self.wait_s = 0.0
        self._listener = lambda: None

    def try_acquire(self, record, now):
        if self.room.get(record.id, 0) < 1:
            return False
        self.room[record.id] -= 1
        return True

    def release(self, record):
        self.add(record.id)

    def add(self, name, units=1):
        self.room[name] = self.room.get(name, 0) + units
        self._listener()

    def has_room(self, record, now):
        return self.room.get(record.id, 0) >= 1

    def estimate_wait_s(self, record, now):
        return 0.0 if self.has_room(record, now) else self.wait_s

    def set_listener(self, listener):
        self._listener = listener

    def record_waiting(self, record, change):
        self.waiting[record.id] = self.waiting.get(record.id, 0) + change


def make_call(priority=1, account=0, body=b"", idempotent=True):
    plan = make_plan(idempotent=idempotent)
    (route,) = plan.routes
    fields = {name: getattr(route, name) for name in route.__dataclass_fields__}
    route = type(route)(**{**fields, "priority": priority})
    now = monotonic()
    return Call(
        HttpRequest(method="GET", target="/", headers=(), body=body),
        RequestMetadata(request_id="r", remaining_s=1.0, key=None, host="a.example"),
        CallerConnection(),
        route,
        ServicePolicy(
            name="ledger",
            keyed=False,
            health_path="/health",
            max_connections=10,
            cold_requests_per_s=3.0,
        ),
        now,
        now + 1.0,
        account_priority=account,
    )


U1, U2 = make_record("u1"), make_record("u2")


def make_queue(gate, **bounds):
    return EntryQueue(gate, QueueBounds(**bounds))


def start_wait(queue, call, *records, left_s=1.0):
    latest_at = monotonic() + left_s
    return create_task(queue.wait(call, records or (U1,), latest_at, latest_at))


async def test_room_goes_by_rank_then_by_the_time_left():
    """Less urgent requests have queued before urgent ones arrive (pattern burst)."""
    gate = FakeGate()
    queue = make_queue(gate)
    done = []

    async def serve(name, call, left_s):
        if await start_wait(queue, call, left_s=left_s) is not None:
            done.append(name)

    tasks = [
        create_task(serve(name, make_call(priority, account), left_s))
        for name, priority, account, left_s in (
            ("low", 2, 0, 0.5),
            ("patient", 1, 0, 0.9),
            ("pressed", 1, 0, 0.4),
            ("account", 0, 1, 0.3),
        )
    ]
    await sleep(0.01)
    assert gate.waiting == {"u1": 4}
    for _ in tasks:
        gate.add("u1")
        await sleep(0.01)
    await gather(*tasks)
    assert done == ["pressed", "patient", "low", "account"]
    assert gate.waiting == {"u1": 0}
    assert not len(queue)


async def test_unkeyed_request_takes_the_first_room_anywhere():
    gate = FakeGate()
    queue = make_queue(gate)
    owner_bound = start_wait(queue, make_call(priority=0), U1)
    anywhere = start_wait(queue, make_call(priority=2), U1, U2)
    await sleep(0.01)
    gate.add("u2")
    assert (await anywhere).id == "u2"
    assert not owner_bound.done()
    gate.add("u1")
    assert (await owner_bound).id == "u1"


async def test_new_request_passes_nobody_who_waits():
    """Callers retry at once while others wait (pattern retry_abuse)."""
    gate = FakeGate()
    queue = make_queue(gate)
    waiting = start_wait(queue, make_call())
    await sleep(0.01)
    # Room that comes without notice goes to the one that waits.
    gate.room["u1"] = 1
    assert not queue.try_take(U1)
    assert (await waiting).id == "u1"
    gate.room["u2"] = 1
    assert queue.try_take(U2)


async def test_request_without_time_leaves():
    gate = FakeGate()
    queue = make_queue(gate)
    started_at = monotonic()
    assert await start_wait(queue, make_call(), left_s=0.05) is None
    assert monotonic() - started_at < 0.15
    assert not len(queue)


@pytest.mark.parametrize("idempotent", [True, False])
async def test_request_whose_caller_has_left_takes_no_room(idempotent):
    """Callers leave before their time is over (pattern give_up)."""
    gate = FakeGate()
    queue = make_queue(gate)
    call = make_call(idempotent=idempotent)
    waiting = start_wait(queue, call)
    await sleep(0.01)
    if idempotent:
        # The gateway cancels idempotent requests when their caller leaves.
        waiting.cancel()
        gate.room["u1"] = 1
        with pytest.raises(CancelledError):
            await waiting
    else:
        call.caller.set_disconnected()
        assert await waiting is None
    assert not len(queue)
    assert gate.waiting == {"u1": 0}


async def test_room_is_returned_if_it_comes_with_a_cancellation():
    gate = FakeGate()
    queue = make_queue(gate)
    waiting = start_wait(queue, make_call())
    await sleep(0.01)
    gate.room["u1"] = 1
    queue._hand_out()
    waiting.cancel()
    with pytest.raises(CancelledError):
        await waiting
    assert gate.room == {"u1": 1}


async def test_least_urgent_leave_a_full_queue_at_once():
    """Ten times the usual of a low rank, beside a high one."""
    gate = FakeGate()
    queue = make_queue(gate, max_waiting=5)
    low = [start_wait(queue, make_call(priority=2)) for _ in range(50)]
    await sleep(0.01)
    high = [start_wait(queue, make_call(priority=0)) for _ in range(5)]
    await sleep(0.01)
    assert all(task.done() and task.result() is None for task in low)
    gate.add("u1", 5)
    assert all(await gather(*high))


async def test_bytes_that_wait_are_bounded():
    gate = FakeGate()
    queue = make_queue(gate, max_bytes=1000)
    tasks = [start_wait(queue, make_call(body=b"x" * 400)) for _ in range(4)]
    await sleep(0.01)
    assert len(queue) == 2
    gate.add("u1", 4)
    assert sum(item is not None for item in await gather(*tasks)) == 2


async def test_wait_is_estimated_by_how_fast_others_get_room():
    """Three times the room is asked for (pattern burst)."""
    gate = FakeGate()
    queue = make_queue(gate)
    latest_at = monotonic() + 5.0
    tasks = [start_wait(queue, make_call(), left_s=5.0) for _ in range(40)]
    for _ in range(10):
        await sleep(0.02)
        gate.add("u1")
    await sleep(0.01)
    # 30 are left, some 50 leave the queue in a second.
    low = queue.estimate_wait_s(make_call(priority=2), (U1,), latest_at)
    urgent = queue.estimate_wait_s(make_call(priority=0), (U1,), latest_at)
    elsewhere = queue.estimate_wait_s(make_call(priority=2), (U2,), latest_at)
    assert 0.4 <= low <= 1.2
    assert urgent <= 0.1
    for task in tasks:
        task.cancel()
    await gather(*tasks, return_exceptions=True)
    assert queue.estimate_wait_s(make_call(), (U1,), latest_at) == 0.0
    # Requests without a key wait for the room of their whole service.
    assert elsewhere == pytest.approx(low, rel=0.1)
