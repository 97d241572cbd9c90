"""
The machine is suspended for seconds, which the steady clock doesn't count.

The tests guard against two upstreams with the same keys: meanwhile another instance may
have become the coordinator and have given the keys to other upstreams.
"""

from asyncio import get_running_loop, sleep
from time import clock_gettime

from plantaincart_router.direct import clock
from plantaincart_router.direct.clock import SuspensionMonitor
from plantaincart_router.direct.tests.fakes import FAST
from plantaincart_router.direct.tests.memorysystem import run_system, wait_for

SUSPENDED_S = 5.0
# Longer than a term lasts unconfirmed, and shorter than one lasts in an outage.
SHORT_SUSPENSION_S = 1.0


def suspend(monkeypatch, seconds=SUSPENDED_S):
    """Let the boot time jump while the steady clock goes on as if nothing was."""
    monkeypatch.setattr(
        clock, "clock_gettime", lambda name: clock_gettime(name) + seconds
    )


def count_grants(instance):
    return sum(call[0] == "grant" for call in instance.grants.calls)


def test_suspension_is_measured(monkeypatch):
    monitor = SuspensionMonitor()
    assert monitor.measure_suspension() == 0.0
    suspend(monkeypatch)
    assert abs(monitor.measure_suspension() - SUSPENDED_S) < 0.5
    assert monitor.measure_suspension() == 0.0


async def test_no_grant_after_a_suspension_before_the_term_is_confirmed(monkeypatch):
    """Guards against renewals by a coordinator that was replaced in a suspension."""
    async with run_system(get_running_loop(), ("r1",)) as system:
        system.store.refused_clients = {"r1"}
        suspend(monkeypatch)
        granted = count_grants(system.find_coordinator())
        await sleep(FAST.renew_s * 1.5)
        assert count_grants(system.instances["r1"]) == granted


async def test_no_grant_after_a_suspension_in_an_outage(monkeypatch):
    """Guards against reports from before a suspension that prolong a term."""
    async with run_system(get_running_loop()) as system:
        coordinator = system.find_coordinator()
        system.store.refused_clients = set(system.instances)
        await sleep(FAST.confirmed_s * 2)
        assert coordinator.is_coordinator
        for instance in system.instances.values():
            if instance is not coordinator:
                instance.follower.close()
        suspend(monkeypatch, SHORT_SUSPENSION_S)
        granted = count_grants(coordinator)
        # Longer than the members' last reports count otherwise.
        await sleep(FAST.member_s * 2)
        assert count_grants(coordinator) == granted


async def test_grants_go_on_after_a_suspension_in_which_nobody_took_over(monkeypatch):
    async with run_system(get_running_loop(), ("r1",)) as system:
        coordinator = system.find_coordinator()
        suspend(monkeypatch)
        granted = count_grants(coordinator)
        await wait_for(lambda: count_grants(coordinator) > granted, 1.0)
        assert coordinator.follower.coordinator.epoch == 1
