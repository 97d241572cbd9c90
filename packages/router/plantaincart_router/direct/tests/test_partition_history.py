"""Guards against two upstreams with the same keys, in histories of random faults."""

from plantaincart_router.direct.tests.partitionhistory import play_histories

# Each broke before coordinators had electors, the second by a map that stayed outdated.
FAILED_SEEDS = (3, 5, 8, 15, 23)


async def test_each_key_has_one_owner_in_histories_of_faults():
    assert await play_histories(FAILED_SEEDS) == []
