"""Terms, takeovers and moves with an in-memory store and upstreams."""

from asyncio import create_task, get_running_loop, sleep
from dataclasses import replace
from time import monotonic

import pytest
from plantaincart_core.keymove import KeyMove
from plantaincart_core.ownermap import KEY_COUNT
from plantaincart_router.direct.ownershiptable import OWNERSHIP_TABLE
from plantaincart_router.direct.settings import ResourceSettings
from plantaincart_router.direct.store import StoreUnavailableError
from plantaincart_router.direct.termrow import COORDINATOR_TABLE
from plantaincart_router.direct.tests.fakes import FAST, make_record
from plantaincart_router.direct.tests.memorysystem import (
    SAMPLE_KEYS,
    System,
    run_system,
    wait_for,
)
from plantaincart_schema.codec import decode_json
from plantaincart_schema.generated.direct import CoordinatorRow


async def test_one_coordinator_grants_all_keys():
    async with run_system(get_running_loop()) as system:
        assert (
            sum(instance.is_coordinator for instance in system.instances.values()) == 1
        )


async def test_instance_with_most_resources_becomes_coordinator():
    """In large fleets most instances have a slow link and half a core."""
    weak = ResourceSettings(cores=0.43, link_mbps=5.0)
    loop = get_running_loop()
    system = System()
    try:
        for name in ("r1", "r2", "r3"):
            system.add(name, loop, weak)
        strong = system.add("r4", loop)
        await wait_for(lambda: system.find_coordinator() is not None)
        assert system.find_coordinator() is strong
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree(), 8.0)
        system.kill("r4")
        await wait_for(lambda: system.find_coordinator() is not None)
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree(), 8.0)
    finally:
        for instance in system.instances.values():
            instance.follower.close()


async def test_weak_instances_read_the_row_less_often():
    """
    A takeover in a large fleet needs few calls to the store.

    Most instances are weak, and don't claim the term while stronger ones live.
    """
    system = System()
    loop = get_running_loop()
    weak_resources = ResourceSettings(cores=0.43, link_mbps=20.0)
    weak = system.add("r1", loop, weak_resources).follower
    strong = system.add("r2", loop).follower
    try:
        await wait_for(lambda: system.find_coordinator() is not None)
        await wait_for(lambda: weak._term.row and strong._term.row)
        weak._view.members = strong._view.members = 195
        assert strong._choose_row_read_interval_s() == FAST.row_read_s
        assert weak._choose_row_read_interval_s() >= 3 * FAST.row_read_s
        # After a resignation the next term is claimed at once, so all learn it soon.
        weak._coordinator_resigned = strong._coordinator_resigned = True
        assert strong._choose_row_read_interval_s() == 0.0
        assert weak._choose_row_read_interval_s() <= FAST.weak_candidate_s
    finally:
        for instance in system.instances.values():
            instance.follower.close()


async def test_first_division_is_even():
    """The first assignment must not give all keys to the first announced upstream."""
    async with run_system(get_running_loop(), names=("r1",)) as system:
        widths = [
            sum(grant.last - grant.first + 1 for grant in upstream.grants)
            for upstream in system.upstreams.values()
        ]
        assert widths == [KEY_COUNT // 4] * 4


async def test_killed_coordinator_is_replaced():
    async with run_system(get_running_loop()) as system:
        old = system.find_coordinator()
        epoch = old.follower.coordinator.epoch
        system.kill(old.settings.name)
        await wait_for(lambda: system.find_coordinator() is not None)
        assert system.find_coordinator().follower.coordinator.epoch > epoch
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree())


async def test_planned_stop_ends_the_term():
    async with run_system(get_running_loop()) as system:
        old = system.find_coordinator()
        await old.follower.withdraw()
        del system.instances[old.settings.name]
        await wait_for(lambda: system.find_coordinator() is not None, 1.0)
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree())
        old.follower.close()


async def test_stop_in_an_outage_keeps_the_term():
    """No instance can take over from a coordinator that stops in an outage."""
    async with run_system(get_running_loop()) as system:
        old = system.find_coordinator()
        system.store.refused_clients = set(system.instances)
        withdraw = create_task(old.follower.withdraw())
        await sleep(1.0)
        assert old.is_coordinator
        assert system.all_keys_owned()
        system.store.refused_clients = set()
        await withdraw
        assert not old.is_coordinator or old.follower.coordinator.ended
        del system.instances[old.settings.name]
        await wait_for(lambda: system.find_coordinator() is not None)
        old.follower.close()


async def test_outage_for_all_instances_has_no_effect():
    async with run_system(get_running_loop()) as system:
        coordinator_instance = system.find_coordinator()
        system.store.refused_clients = set(system.instances)
        for _ in range(10):
            await sleep(0.12)
            assert system.all_keys_owned()
        assert system.find_coordinator() is coordinator_instance


async def test_coordinator_that_alone_loses_the_store_is_replaced():
    """The store refuses only the coordinator, so another instance must take over."""
    async with run_system(get_running_loop()) as system:
        coordinator_instance = system.find_coordinator()
        system.store.refused_clients = {coordinator_instance.settings.name}
        await wait_for(
            lambda: system.find_coordinator() not in (None, coordinator_instance)
        )
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree())


async def test_coordinator_that_announces_its_end_is_replaced_at_once():
    """
    Members must take over at once when a coordinator announces the end of its term.

    In the pattern platform_down the store refuses the coordinator alone, so that it
    can't vacate its row.
    """
    async with run_system(get_running_loop()) as system:
        coordinator_instance = system.find_coordinator()
        for instance in system.instances.values():
            # Too long for a takeover because of an unchanged row.
            instance.follower._times = replace(FAST, unchanged_s=30.0)
        system.store.refused_clients = {coordinator_instance.settings.name}
        await wait_for(
            lambda: system.find_coordinator() not in (None, coordinator_instance), 2.0
        )
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree())


async def test_restarted_instance_gets_the_whole_map():
    """
    A restarted instance must get the whole map.

    In the pattern roll_term, changes were counted as sent to its previous process.
    """
    async with run_system(get_running_loop()) as system:
        coordinator_name = system.find_coordinator().settings.name
        name = next(other for other in system.instances if other != coordinator_name)
        old = system.kill(name)
        coordinator = system.find_coordinator().follower.coordinator
        placement = coordinator._placements["ledger"]
        for _ in range(4):
            placement.regrant(list(placement.owners))
            await sleep(0.05)
        again = system.add(name, get_running_loop())
        assert again.view.epoch == 0
        await wait_for(lambda: system.all_maps_agree(), 2.0)
        assert old is not again


async def test_no_key_has_two_owners_while_an_owner_is_unreachable():
    """The owner still runs requests, but the coordinator can't reach it (srv_cut)."""
    async with run_system(get_running_loop()) as system:
        system.upstreams["u1"].reachable = False
        deadline = monotonic() + 2.0
        while monotonic() < deadline:
            assert all(system.count_owners(key) <= 1 for key in SAMPLE_KEYS)
            await sleep(0.01)
        assert system.all_keys_owned()
        assert not any(system.upstreams["u1"].owns(key) for key in SAMPLE_KEYS)


async def test_no_key_has_two_owners_over_a_takeover_with_a_lost_owner():
    async with run_system(get_running_loop()) as system:
        system.upstreams["u2"].reachable = False
        system.kill(system.find_coordinator().settings.name)
        deadline = monotonic() + 3.0
        while monotonic() < deadline:
            assert all(system.count_owners(key) <= 1 for key in SAMPLE_KEYS)
            await sleep(0.01)
        assert system.all_keys_owned()


async def test_lost_connection_means_a_new_fencing_token():
    """A new connection may reach a later process at the same address."""
    async with run_system(get_running_loop()) as system:
        coordinator_instance = system.find_coordinator()
        upstream = system.upstreams["u0"]
        before = {grant.fence for grant in upstream.grants}
        upstream.connected.clear()
        await sleep(0.4)
        assert all(grant.fence not in before for grant in upstream.grants)
        assert all(
            renewal or keys.fence not in before
            for kind, _, keys, renewal in coordinator_instance.grants.calls[-3:]
            if kind == "grant"
        )
        assert system.all_keys_owned()


async def test_draining_owner_loses_all_keys():
    async with run_system(get_running_loop()) as system:
        for instance in system.instances.values():
            record = make_record("u3", ready=False)
            instance.view.directory.put(record, monotonic())
        await wait_for(
            lambda: not any(system.upstreams["u3"].owns(k) for k in SAMPLE_KEYS)
        )
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree())


async def test_restarted_owner_gets_keys_under_a_new_token():
    """A later process of the same upstream owns no keys."""
    async with run_system(get_running_loop()) as system:
        highest = max(grant.fence for grant in system.upstreams["u1"].grants)
        system.upstreams["u1"].grants.clear()
        system.upstreams["u1"].connected.clear()
        for instance in system.instances.values():
            instance.view.directory.put(make_record("u1", born=2), monotonic())
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree())
        assert all(grant.fence > highest for grant in system.upstreams["u1"].grants)


async def test_lost_answer_of_a_write_does_not_end_the_term():
    async with run_system(get_running_loop()) as system:
        coordinator_instance = system.find_coordinator()
        system.store.answers_to_lose = 3
        await sleep(0.6)
        assert system.find_coordinator() is coordinator_instance
        assert system.all_keys_owned()


async def test_owners_are_stored_before_grants():
    async with run_system(get_running_loop()) as system:
        rows = [key for table, key in system.store.rows if table == OWNERSHIP_TABLE]
        assert rows == ["ledger"]
        row = system.store.rows[COORDINATOR_TABLE, "term"]
        assert decode_json(row.value, CoordinatorRow).epoch >= 1


async def test_keys_of_a_displaced_owner_move_at_once():
    """Another service uses the address of an owner (replace_with_reuse)."""
    async with run_system(get_running_loop()) as system:
        upstream = system.upstreams["u1"]
        upstream.displaced = True
        upstream.grants.clear()
        upstream.connected.clear()
        await wait_for(system.all_keys_owned, 0.45)


async def replace_coordinator_during_an_owner_loss(system):
    """
    Lose upstream u1, and stop the coordinator while it waits for the grants to expire.

    Returns the instance that was the coordinator, which must be closed, and u1.
    """
    lost = system.upstreams["u1"]
    lost.reachable = False
    for instance in system.instances.values():
        instance.view.directory.remove("u1", monotonic())
    old = system.find_coordinator()
    placement = old.follower.coordinator._placements["ledger"]
    await wait_for(lambda: bool(placement._moving), 1.0)
    await old.follower.withdraw()
    del system.instances[old.settings.name]
    await wait_for(lambda: system.find_coordinator() is not None)
    return old, lost


async def test_second_successor_finds_owners_of_unexpired_grants():
    """Rows that the first successor writes must name owners with unexpired grants."""
    async with run_system(get_running_loop()) as system:
        old, lost = await replace_coordinator_during_an_owner_loss(system)
        coordinator = system.find_coordinator().follower.coordinator
        await wait_for(lambda: coordinator.has_resumed)
        placement = coordinator._placements["ledger"]
        assert any(lost.owns(key) for key in SAMPLE_KEYS)
        row = placement.describe_row(coordinator.epoch, 0)
        assert "u1" in {stored.previous for stored in row.ranges}
        # Instances with the old map still route to the lost owner until its grants
        # expire.
        await wait_for(lambda: not any(lost.owns(key) for key in SAMPLE_KEYS))
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree())
        row = placement.describe_row(coordinator.epoch, 0)
        assert "u1" not in {stored.previous for stored in row.ranges}
        old.follower.close()


async def request_all_keys(system):
    """Let requests for all sample keys arrive, evenly."""
    while True:
        for instance in system.instances.values():
            for key in SAMPLE_KEYS:
                instance.view.key_demand.record_load("ledger", key, 0.01)
        await sleep(0.05)


async def test_upstream_that_failed_to_accept_keys_gets_some_when_it_answers_again():
    """
    An upstream that owns no keys isn't called, so that it must be tried again.

    Upstreams of a data centre that was closed for some time may reset the first grants,
    and would be left without keys for as long as they live.
    """
    async with run_system(get_running_loop()) as system:
        failing = system.upstreams["u2"]
        requests = create_task(request_all_keys(system))
        failing.reachable = False
        await wait_for(lambda: not any(failing.owns(key) for key in SAMPLE_KEYS))
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree())
        # Trials that fail leave all requested keys with their owners.
        watched_until = monotonic() + 1.5
        while monotonic() < watched_until:
            assert system.all_keys_owned()
            await sleep(0.02)
        failing.reachable = True
        await wait_for(
            lambda: sum(failing.owns(key) for key in SAMPLE_KEYS) > 2, limit_s=10.0
        )
        requests.cancel()
        await wait_for(lambda: system.all_keys_owned() and system.all_maps_agree())


async def test_grant_confirmed_during_a_failed_write_keeps_its_token():
    """Guards against renewals under a token that the owners don't show any more."""
    async with run_system(get_running_loop()) as system:
        coordinator = system.find_coordinator().follower.coordinator
        placement = coordinator._placements["ledger"]
        write = placement._writer.write
        source, confirmed = placement.owners.find(50), placement.owners.find(60000)
        confirmed = replace(confirmed, fence=placement._writer.next_fencing_token())

        async def fail_to_write(service, describe):
            placement.owners.assign(confirmed)
            raise StoreUnavailableError("refused", False)

        target = next(name for name in system.upstreams if name != source.owner)
        move = KeyMove(first=0, last=50, source=source.owner, target=target)
        placement._writer.write = fail_to_write
        with pytest.raises(StoreUnavailableError):
            await placement._carry_out([move])
        placement._writer.write = write
        assert placement.owners.find(60000) == confirmed
        assert placement.owners.find(50) == source
