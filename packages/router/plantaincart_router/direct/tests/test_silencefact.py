"""Several instances learn together for which services upstreams fall silent."""

from asyncio import get_running_loop, sleep
from time import monotonic

from plantaincart_core.silence import SilenceSettings
from plantaincart_router.direct.silencefact import SilenceFact
from plantaincart_router.direct.tests.fakes import make_notice
from plantaincart_router.direct.tests.memorysystem import run_system, wait_for
from plantaincart_schema.codec import decode_msgpack, encode_msgpack
from plantaincart_schema.generated.direct import CoordinatorNotice, MemberReport


def find_silence(instance, service="ledger"):
    return instance.view.silence_fact.find(service)


def has_shown(instance, service="ledger"):
    return find_silence(instance, service).has_shown(monotonic())


async def test_instances_learn_silence_from_each_other():
    """An instance sends few requests to each upstream, and would learn too late."""
    async with run_system(get_running_loop()) as system:
        first, second, third = system.instances.values()
        find_silence(first).record_shown(monotonic())
        await sleep(0.3)
        assert not has_shown(third)
        find_silence(second).record_shown(monotonic())
        await wait_for(lambda: has_shown(third))
        assert not has_shown(third, "other")


async def test_silence_stays_known_when_the_coordinator_is_lost():
    async with run_system(get_running_loop()) as system:
        coordinator = system.find_coordinator()
        others = [item for item in system.instances.values() if item != coordinator]
        for _ in range(2):
            find_silence(others[0]).record_shown(monotonic())
        await wait_for(lambda: has_shown(others[1]))
        system.kill(coordinator.settings.name)
        assert has_shown(others[1])
        await wait_for(lambda: system.find_coordinator() is not None)
        newcomer = system.add("r9", get_running_loop())
        await wait_for(lambda: has_shown(newcomer))


async def test_a_lost_instance_no_longer_counts():
    async with run_system(get_running_loop()) as system:
        coordinator = system.find_coordinator()
        lost = next(item for item in system.instances.values() if item != coordinator)
        term_fact = coordinator.view.silence_fact
        for _ in range(2):
            find_silence(lost).record_shown(monotonic())
        await wait_for(lambda: has_shown(coordinator))
        system.kill(lost.settings.name)
        find_silence(coordinator)._told_until = 0.0
        await sleep(1.0)
        term_fact.find("ledger")._told_until = 0.0
        await sleep(0.3)
        assert not has_shown(coordinator)


def test_messages_of_the_earlier_build_say_nothing():
    """Fields are missing while instances of two builds run together."""
    fact = SilenceFact(SilenceSettings())
    fact.apply(make_notice(), 1.0)
    assert not fact.find("ledger").has_shown(1.0)
    assert fact.describe(1.0, True) == {"silences": {}}
    fact.find("ledger").record_shown(1.0)
    notice = make_notice(silent_services=["ledger"])
    assert decode_msgpack(encode_msgpack(notice), CoordinatorNotice) == notice
    assert MemberReport.__dataclass_fields__["silences"].default_factory() == {}
