"""Word of the requests that end at upstreams after a handover."""

from asyncio import sleep
from collections import Counter

from plantaincart_core.lease import ShardKey
from plantaincart_schema.generated.mesh import Vacancy

from plantaincart_router.fleet import ShardUpstreams
from plantaincart_router.mesh import Mesh

__all__ = ["announce_vacancies"]

# Seconds that the next leader is given to take the handover in.
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
    Tell the next leader of each request that ends, until all have.

    Parameters
    ----------
    mesh : Mesh
        Reaches the peers.
    shard : ShardKey
        Shard that was handed over.
    epoch : int
        Epoch in which it was led here.
    upstreams : ShardUpstreams
        Its upstreams.
    running : Counter
        Requests in flight by upstream at the handover.

    Notes
    -----
    Where the word is lost, the next leader counts the request until the end that
    the handover named.
    """
    if running:
        await sleep(FIRST_NOTICE_DELAY_S)
    while running:
        present = upstreams.count_running_requests()
        for name, count in (running - present).items():
            mesh.broadcast(
                Vacancy(
                    service=shard.service,
                    shard=shard.shard,
                    epoch=epoch,
                    upstream=name,
                    count=count,
                )
            )
        running = present
        await sleep(POLL_S)
