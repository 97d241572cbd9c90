"""Readiness of an instance and its graceful shutdown."""

from __future__ import annotations

from asyncio import sleep
from time import monotonic
from typing import TYPE_CHECKING

from plantaincart_router.admin import Readiness
from plantaincart_router.log import write_event

if TYPE_CHECKING:
    from plantaincart_router.instance import Instance

__all__ = ["check_readiness", "stop_gracefully"]

SERVED_POLL_S = 0.02


def check_readiness(instance: Instance) -> Readiness:
    """Return whether the load balancer should send requests here."""
    now = monotonic()
    connected = instance.watcher.is_reachable(now) or bool(
        instance.peers.list_live(now)
    )
    if instance.leaving:
        return Readiness(ready=False, detail="shutting down")
    if not instance.configuration.current.version:
        return Readiness(ready=False, detail="no configuration yet")
    if not connected:
        return Readiness(ready=False, detail="neither table nor peers reachable")
    if instance.leadership.isolated:
        return Readiness(ready=False, detail="peers out of reach")
    if instance.leadership.is_data_centre_out_of_service():
        return Readiness(ready=False, detail="data centre out of service")
    return Readiness(ready=True)


async def stop_gracefully(instance: Instance) -> None:
    """
    Stop without aborting any request.

    Notes
    -----
    Readiness fails first, so that the load balancer sends no new connections. Shards
    are handed over while the entry still accepts and forwards requests. Then the entry
    finishes its requests, the requests from peers end, and the lease is released.
    """
    settings = instance.settings.instance
    deadline = monotonic() + settings.shutdown_grace_s
    instance.leaving = True
    instance.leadership.stopping = True
    write_event("shutdown_began", shards=len(instance.leadership.shards))
    instance.server.end_keep_alive()
    await instance.handovers.hand_over_all(monotonic() + settings.shutdown_grace_s / 2)
    await sleep(settings.readiness_delay_s)
    await instance.handovers.relinquish_named_not_led()
    remaining_s = max(0.0, deadline - monotonic())
    cut = await instance.server.drain(remaining_s)
    while _is_serving(instance) and monotonic() < deadline:  # noqa: ASYNC110
        await sleep(SERVED_POLL_S)
    await instance.handovers.relinquish_named_not_led()
    await instance.keeper.release()
    write_event("shutdown_ended", cut=cut, served=instance.forwarder.served)


def _is_serving(instance: Instance) -> bool:
    return instance.forwarder.served > 0 or instance.outcomes.pending > 0
