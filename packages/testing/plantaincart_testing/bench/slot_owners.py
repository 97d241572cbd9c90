"""Owners of hash slots, read from the shard rows in the table."""

from asyncio import sleep
from collections.abc import Mapping
from time import monotonic

from plantaincart_core.assignment import decode_assignments
from plantaincart_schema.codec import decode_json
from plantaincart_schema.generated.platform import ShardLease

from plantaincart_testing.exception import StartError
from plantaincart_testing.system import LocalSystem

__all__ = ["read_owners", "wait_until_owners_settle"]

POLL_S = 0.2
SETTLED_AFTER_S = 2.0
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
        Name of the owner of each slot; unowned slots are left out.
    """
    owners: dict[int, str] = {}
    for row in (await system.platform.scan_rows(f"shards/{service}/")).values():
        owners |= decode_assignments(decode_json(row.value, ShardLease).assignments)
    return owners


async def wait_until_owners_settle(
    system: LocalSystem,
    service: str,
    slot_count: int,
    previous_owners: Mapping[int, str],
) -> dict[int, str]:
    """
    Wait until all slots are owned, owners have changed, and changes have ended.

    Parameters
    ----------
    system : LocalSystem
        A running system.
    service : str
        Name of the service.
    slot_count : int
        Number of hash slots of the service.
    previous_owners : mapping of int to str
        Owner of each slot before the change.

    Returns
    -------
    dict of int to str
        Owner of each slot, unchanged for `SETTLED_AFTER_S` seconds.

    Raises
    ------
    StartError
        If that takes longer than `TIMEOUT_S` seconds.
    """
    ends_at = monotonic() + TIMEOUT_S
    owners, unchanged_since = await read_owners(system, service), monotonic()
    while monotonic() < ends_at:
        await sleep(POLL_S)
        current_owners = await read_owners(system, service)
        if current_owners != owners:
            owners, unchanged_since = current_owners, monotonic()
        is_reassigned = len(owners) == slot_count and owners != previous_owners
        if is_reassigned and monotonic() - unchanged_since >= SETTLED_AFTER_S:
            return owners
    raise StartError(f"owners of {service} did not settle within {TIMEOUT_S} s")
