"""Announcements of requests that end at upstreams after a handover."""

from asyncio import sleep
from collections import Counter

from plantaincart_core.lease import ShardKey
from plantaincart_schema.generated.mesh import Vacancy

from plantaincart_router.mesh import Mesh
from plantaincart_router.shardupstreams import ShardUpstreams

__all__ = ["announce_vacancies"]

# Time for the next leader to process the handover.
FIRST_NOTICE_DELAY_S = 0.2
POLL_S = 0.02


async def announce_vacancies(
    mesh: Mesh,
    shard: ShardKey,
    epoch: int,
    upstreams: ShardUpstreams,
    running: Counter[str],
) -> None:
    """
    Announce each request that ends to the next leader, until none is running.

    Parameters
    ----------
    mesh : Mesh
        Connections to the peers.
    shard : ShardKey
        Shard that was handed over.
    epoch : int
        Epoch in which this instance led the shard.
    upstreams : ShardUpstreams
        Upstreams of the shard.
    running : Counter
        Number of requests in flight at the handover, by upstream.

    Notes
    -----
    If an announcement is lost, the next leader counts the request as running for as
    long as the handover message said.
    """
    if running:
        await sleep(FIRST_NOTICE_DELAY_S)
    while running:
        still_running = upstreams.count_running_requests()
        for name, count in (running - still_running).items():
            mesh.broadcast(
                Vacancy(
                    service=shard.service,
                    shard=shard.shard,
                    epoch=epoch,
                    upstream=name,
                    count=count,
                )
            )
        running = still_running
        await sleep(POLL_S)
