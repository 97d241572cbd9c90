"""A request crashes every upstream that executes it, and its caller keeps resending."""

from asyncio import gather, sleep
from pathlib import Path

from plantaincart_testing.call import Call, CallResult, LoadPlan, make_calls
from plantaincart_testing.checker import check_history
from plantaincart_testing.client import Caller
from plantaincart_testing.history import Event, EventKind
from plantaincart_testing.launch import SystemOptions
from plantaincart_testing.scenario import find_leader, wait_until_led
from plantaincart_testing.shape import ServiceShape, Shape
from plantaincart_testing.system import LocalSystem
from plantaincart_testing.upstream_message import POISON_MARKER
from pytest import mark

SHAPE = Shape(
    name="poison",
    data_centres=("north", "south"),
    services=(
        ServiceShape(name="yard-desk", keyed=True, upstreams=4, shards=1),
        ServiceShape(name="haul-desk", keyed=False, upstreams=4, shards=1),
    ),
    instances=3,
)
ROUNDS = 6
MAX_CRASHES = 2
# Long enough for the hash slots to move to another upstream.
DEADLINE_S = 6.0
IMMEDIATE_S = 1.0


def make_call(service: str, method: str, number: int) -> Call:
    key = "k1" if service == "yard-desk" else ""
    prefix = f"/{service}/{key}" if key else f"/{service}"
    return Call(
        service=service,
        method=method,
        target=f"{prefix}/{POISON_MARKER}",
        key=key,
        body=b"{}" if method == "POST" else b"",
        idempotency_key=f"c{number}" if method == "POST" else "",
        deadline_s=DEADLINE_S,
    )


def list_crashes(events: list[Event]) -> list[Event]:
    return [event for event in events if event.kind is EventKind.CRASHED]


@mark.parametrize("leader_lost", [False, True], ids=["", "leader-lost"])
@mark.parametrize(
    ("method", "key_kept"),
    [("GET", True), ("POST", True), ("POST", False)],
    ids=["lookup", "resend", "filed-anew"],
)
@mark.parametrize("service", ["yard-desk", "haul-desk"])
async def test_at_most_two_upstreams_crash(
    service: str, method: str, key_kept: bool, leader_lost: bool, tmp_path: Path
) -> None:
    async with LocalSystem(SystemOptions(folder=tmp_path, shape=SHAPE)) as system:
        await wait_until_led(system)
        leader = await find_leader(system, service)
        instances = system.layout.instances.items()
        entries = [instance.entry for name, instance in instances if name != leader]
        caller = Caller(entries)
        results: list[CallResult] = []
        for number in range(ROUNDS):
            call = make_call(service, method, 0 if key_kept else number)
            results.append(await caller.send(call))
            if leader_lost and number == 0:
                system.kill(leader)
        plan = LoadPlan(services=SHAPE.services, rate=50.0, duration_s=1.0, keys=20)
        other_caller = Caller(entries)
        served = await other_caller.run(make_calls(plan))
        events = system.read_history()
    assert 1 <= len(list_crashes(events)) <= MAX_CRASHES
    assert check_history(events, caller.results, ["haul-desk"]) == []
    last = results[-1]
    assert last.latency_s <= IMMEDIATE_S
    if method == "POST" and key_kept:
        assert (last.status, last.verdict) == (409, "may-have-run")
    else:
        assert (last.status, last.reason) == (422, "quarantined")
        assert last.retry_after_s > 0
    assert all(result.is_success for result in served)


async def test_waiting_copies_are_not_run_after_the_second_crash(
    tmp_path: Path,
) -> None:
    async with LocalSystem(SystemOptions(folder=tmp_path, shape=SHAPE)) as system:
        await wait_until_led(system)
        caller = Caller(system.entries)
        call = make_call("yard-desk", "GET", 0)
        await gather(*(caller.send(call) for _ in range(12)))
        await sleep(0.5)
        await caller.send(call)
        events = system.read_history()
    assert len({event.upstream for event in list_crashes(events)}) <= MAX_CRASHES
    assert caller.results[-1].reason == "quarantined"
