"""Hash slots that change owners when an upstream joins or leaves."""

from collections.abc import Mapping
from dataclasses import replace

from plantaincart_core.slot import list_slots
from plantaincart_router.platform.table import HttpTable

from plantaincart_testing.addresses import UpstreamAddresses
from plantaincart_testing.bench.figure import FigureCollector
from plantaincart_testing.bench.slot_owners import wait_until_owners_settle
from plantaincart_testing.bench.subject import BenchOptions
from plantaincart_testing.launch import SystemOptions
from plantaincart_testing.publication import publish_sheet
from plantaincart_testing.system import LocalSystem

__all__ = ["WORKLOAD", "count_moved_slots", "measure_churn"]

UPSTREAMS_PER_PROCESS = 5
TABLE_TIMEOUT_S = 1.0
TARGET_RATIO = 1.2
ROUTER_SUBJECT = "plantaincart"
MODULO_SUBJECT = "slot modulo upstreams"
WORKLOAD = (
    "an upstream of the first keyed service joins through the declarations, then "
    "leaves through a sheet; no load; slots moved, divided by the fewest possible in "
    "the upstream's shard"
)


async def measure_churn(options: BenchOptions, collector: FigureCollector) -> None:
    """
    Count the slots that change owners when an upstream joins and when it leaves.

    Parameters
    ----------
    options : BenchOptions
        Shape, seed, repeats and folder; each repeat uses another upstream.
    collector : FigureCollector
        Receives the figures, and for comparison those of an assignment by slot
        number modulo the number of upstreams.
    """
    for repeat in range(options.repeats):
        settings = SystemOptions(
            shape=options.shape,
            folder=options.folder / f"churn-{repeat}",
            upstreams_per_process=UPSTREAMS_PER_PROCESS,
            seed=options.seed + repeat,
        )
        system = LocalSystem(settings)
        try:
            await _measure(system, collector, repeat)
        finally:
            system.close()


def count_moved_slots(before: Mapping[int, str], after: Mapping[int, str]) -> int:
    """
    Count the slots whose owner changed.

    Parameters
    ----------
    before, after : mapping of int to str
        Owner of each slot.

    Returns
    -------
    int
        Number of slots in `before` whose owner changed or that became unowned.

    Examples
    --------
    >>> count_moved_slots({1: "a", 2: "b"}, {1: "a", 2: "c"})
    1
    """
    return sum(after.get(slot) != owner for slot, owner in before.items())


async def _measure(
    system: LocalSystem, collector: FigureCollector, repeat: int
) -> None:
    service = next(
        candidate for candidate in system.options.shape.services if candidate.keyed
    )
    places = [
        place for place in system.layout.upstreams.values() if place.service is service
    ]
    joining = places[repeat % len(places)]
    slot_count = service.key_slots
    await system.start_platform()
    declarations = system.layout.make_declarations()
    other_upstreams = [
        upstream for upstream in declarations.upstreams if upstream.name != joining.name
    ]
    await system.publish(replace(declarations, upstreams=other_upstreams))
    await system.start_instances()
    initial_owners = await wait_until_owners_settle(
        system, service.name, slot_count, {}
    )
    await system.publish(declarations)
    owners_after_join = await wait_until_owners_settle(
        system, service.name, slot_count, initial_owners
    )
    await _publish_leave(system, joining.name)
    owners_after_leave = await wait_until_owners_settle(
        system, service.name, slot_count, owners_after_join
    )
    shard_places = [place for place in places if place.shard == joining.shard]
    fewest_moves = len(list_slots(joining.shard, slot_count, service.shards)) // len(
        shard_places
    )
    _add_figures(
        collector, "join", initial_owners, owners_after_join, fewest_moves, shard_places
    )
    owned_slots = sum(owner == joining.name for owner in owners_after_join.values())
    _add_figures(
        collector,
        "leave",
        owners_after_join,
        owners_after_leave,
        owned_slots,
        shard_places,
    )


def _add_figures(
    collector: FigureCollector,
    change: str,
    before: Mapping[int, str],
    after: Mapping[int, str],
    fewest_moves: int,
    shard_places: list[UpstreamAddresses],
) -> None:
    moved_slots = count_moved_slots(before, after)
    collector.add(f"{change}: slots moved", ROUTER_SUBJECT, "slots", moved_slots)
    collector.add(f"{change}: least possible", ROUTER_SUBJECT, "slots", fewest_moves)
    collector.add(
        f"{change}: over the least",
        ROUTER_SUBJECT,
        "",
        moved_slots / fewest_moves,
        TARGET_RATIO,
    )
    upstream_count = len(shard_places)
    slots = [slot for slot, owner in after.items() if _is_among(owner, shard_places)]
    moved_slots_modulo = sum(
        slot % upstream_count != slot % (upstream_count - 1) for slot in slots
    )
    collector.add(
        f"{change}: over the least",
        MODULO_SUBJECT,
        "",
        moved_slots_modulo / fewest_moves,
        TARGET_RATIO,
    )


def _is_among(owner: str, places: list[UpstreamAddresses]) -> bool:
    return any(place.name == owner for place in places)


async def _publish_leave(system: LocalSystem, name: str) -> None:
    address = system.layout.platform
    table = HttpTable(address.host, address.port, TABLE_TIMEOUT_S)
    try:
        await publish_sheet(table, f"kind,name,action\nupstream,{name},leave\n")
    finally:
        table.close()
