"""Disruptions of a running system: failures, planned changes and a table outage."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

from plantaincart_router.platform.table import HttpTable

from plantaincart_testing.fault import PlatformFaults
from plantaincart_testing.publication import publish_sheet
from plantaincart_testing.scenario import find_leader, find_owner
from plantaincart_testing.system import LocalSystem

__all__ = [
    "DISRUPTIONS",
    "AffectedComponents",
    "Disruption",
    "apply_data_centre",
    "find_affected_components",
]

TABLE_TIMEOUT_S = 1.0


@dataclass(frozen=True, kw_only=True)
class AffectedComponents:
    """
    Components of a system that disruptions affect.

    Parameters
    ----------
    instance : str
        Leader of the first shard with keys; for a baseline, any instance.
    upstream : str
        Upstream that owns the most slots of that shard.
    data_centre : str
        A data centre with upstreams of every service.
    """

    instance: str
    upstream: str
    data_centre: str


@dataclass(frozen=True, kw_only=True)
class Disruption:
    """
    A kind of disruption.

    Parameters
    ----------
    apply : callable
        Disrupts a running system.
    is_planned : bool
        Whether the disruption is planned, so that no call may fail.
    is_single : bool
        Whether a single component is affected.
    in_baseline : bool
        Whether the disruption also applies to a router without key ownership.
    """

    apply: Callable[[LocalSystem, AffectedComponents], Awaitable[None]]
    is_planned: bool = False
    is_single: bool = True
    in_baseline: bool = False


async def find_affected_components(system: LocalSystem) -> AffectedComponents:
    """
    Find the components of a running system that disruptions affect.

    Parameters
    ----------
    system : LocalSystem
        The router or a baseline.

    Returns
    -------
    AffectedComponents
        Leader and main owner of the first shard with keys; for a baseline, the
        first instance and the first upstream with keys.
    """
    shape = system.options.shape
    service = next(each for each in shape.services if each.keyed).name
    places = system.layout.upstreams.values()
    first = next(each.name for each in places if each.service.name == service)
    is_router = type(system) is LocalSystem
    instance = await find_leader(system, service) if is_router else "i1"
    upstream = await find_owner(system, service) if is_router else first
    return AffectedComponents(
        instance=instance, upstream=upstream, data_centre=shape.data_centres[-1]
    )


async def apply_data_centre(system: LocalSystem, name: str, action: str) -> None:
    """
    Take a data centre out of service or back into service by publishing a sheet.

    Parameters
    ----------
    system : LocalSystem
        A running system.
    name : str
        Name of the data centre.
    action : str
        ``out`` or ``in``.
    """
    address = system.layout.platform
    table = HttpTable(address.host, address.port, TABLE_TIMEOUT_S)
    try:
        sheet = f"kind,name,action\ndata_centre,{name},{action}\n"
        await publish_sheet(table, sheet)
    finally:
        table.close()


async def _kill_instance(system: LocalSystem, components: AffectedComponents) -> None:
    system.kill(components.instance)


async def _freeze_instance(system: LocalSystem, components: AffectedComponents) -> None:
    system.freeze(components.instance)


async def _kill_upstream(system: LocalSystem, components: AffectedComponents) -> None:
    system.kill(components.upstream)


async def _freeze_upstream(system: LocalSystem, components: AffectedComponents) -> None:
    system.freeze(components.upstream)


async def _stop_instance(system: LocalSystem, components: AffectedComponents) -> None:
    system.terminate(components.instance)


async def _take_data_centre_out(
    system: LocalSystem, components: AffectedComponents
) -> None:
    await apply_data_centre(system, components.data_centre, "out")


async def _take_table_down(system: LocalSystem, components: AffectedComponents) -> None:
    await system.platform.set_faults(PlatformFaults(down=True))


async def _kill_both(system: LocalSystem, components: AffectedComponents) -> None:
    system.kill(components.instance)
    system.kill(components.upstream)


DISRUPTIONS: Mapping[str, Disruption] = {
    "leader killed": Disruption(apply=_kill_instance, in_baseline=True),
    "leader frozen": Disruption(apply=_freeze_instance, in_baseline=True),
    "upstream killed": Disruption(apply=_kill_upstream, in_baseline=True),
    "upstream frozen": Disruption(apply=_freeze_upstream, in_baseline=True),
    "planned stop": Disruption(apply=_stop_instance, is_planned=True),
    "data centre out": Disruption(apply=_take_data_centre_out, is_planned=True),
    "table down": Disruption(apply=_take_table_down),
    "leader and upstream killed": Disruption(apply=_kill_both, is_single=False),
}
