"""Owners of the key space as the table's rows name them."""

from asyncio import sleep
from collections.abc import Mapping
from time import monotonic

from plantaincart_core.assignment import decode_assignments
from plantaincart_schema.codec import decode_json
from plantaincart_schema.generated.platform import ShardLease

from plantaincart_testing.exception import StartError
from plantaincart_testing.system import LocalSystem

__all__ = ["read_owners", "wait_owned"]

POLL_S = 0.2
STEADY_S = 2.0
TIMEOUT_S = 40.0


async def read_owners(system: LocalSystem, service: str) -> dict[int, str]:
    """
    Read the owner of each slot of a service.

    Parameters
    ----------
    system : LocalSystem
        A running system.
    service : str
        Name of the service.

    Returns
    -------
    dict of int to str
        Upstream by slot; slots without an owner are missing.
    """
    owners: dict[int, str] = {}
    for row in (await system.platform.scan_rows(f"shards/{service}/")).values():
        owners |= decode_assignments(decode_json(row.value, ShardLease).assignments)
    return owners


async def wait_owned(
    system: LocalSystem, service: str, slots: int, earlier: Mapping[int, str]
) -> dict[int, str]:
    """
    Wait until all slots have owners that differ from earlier ones and stay.

    Parameters
    ----------
    system : LocalSystem
        A running system.
    service : str
        Name of the service.
    slots : int
        Slots of its key space.
    earlier : mapping of int to str
        Owners before a change.

    Returns
    -------
    dict of int to str
        Owners that have been the same for `STEADY_S` seconds.

    Raises
    ------
    StartError
        If they don't settle in time.
    """
    ends_at = monotonic() + TIMEOUT_S
    owners, since = await read_owners(system, service), monotonic()
    while monotonic() < ends_at:
        await sleep(POLL_S)
        found = await read_owners(system, service)
        if found != owners:
            owners, since = found, monotonic()
        changed = len(owners) == slots and owners != earlier
        if changed and monotonic() - since >= STEADY_S:
            return owners
    raise StartError(f"owners of {service} not steady after {TIMEOUT_S} s")
