"""Errors that no part of a term expects, while keys are planned, moved and granted."""

from asyncio import get_running_loop, sleep
from contextlib import asynccontextmanager
from dataclasses import replace
from time import monotonic

from plantaincart_router.direct.planner import MovePlanner
from plantaincart_router.direct.tests.fakes import MemoryGrants, make_record
from plantaincart_router.direct.tests.memorysystem import (
    OwnerWatch,
    run_system,
    wait_for,
)
from plantaincart_router.direct.transfer import KeyTransfer
from pytest import mark

FAILURES = 3


def fail_some_times(monkeypatch, owner, name):
    """Make a method fail for some times with an error that nothing expects."""
    method, failures = getattr(owner, name), [FAILURES]

    def call(*arguments, **options):
        if failures[0]:
            failures[0] -= 1
            raise OverflowError(name)
        return method(*arguments, **options)

    monkeypatch.setattr(owner, name, call)
    return failures


@asynccontextmanager
async def losing_an_upstream():
    """Run a system of one instance, and announce one of its upstreams as draining."""
    async with run_system(get_running_loop(), names=("r1",)) as system:
        instance = system.instances["r1"]
        term, watch = instance.follower.coordinator, OwnerWatch(system)

        def leave():
            record = make_record("u0", ready=False)
            instance.view.directory.put(record, monotonic())

        yield system, instance, leave
        await wait_for(
            lambda: system.all_keys_owned() and not owns_any(system, "u0"), 8.0
        )
        assert instance.follower.coordinator is term and not term.ended
        assert watch.two_owners == []


def owns_any(system, name):
    return any(system.upstreams[name].owns(key) for key in range(0, 65536, 97))


@mark.parametrize(
    "name", ["list_owners", "plan_unowned", "needs_new_owner", "count_excess_shards"]
)
async def test_error_of_the_planner_ends_no_term(monkeypatch, name):
    """One division by zero ended the term, and the next one, and so on."""
    async with losing_an_upstream() as (_, _, leave):
        failures = fail_some_times(monkeypatch, MovePlanner, name)
        leave()
        await wait_for(lambda: failures == [0])


async def test_upstream_without_capacity_ends_no_term():
    """Planning divided by the capacity of an upstream with 0 slots."""
    async with losing_an_upstream() as (_, instance, leave):
        for name in ("u1", "u2", "u3"):
            record = replace(make_record(name), slots=0)
            instance.view.directory.put(record, monotonic())
        leave()
        await sleep(0.3)


@mark.parametrize(
    ("owner", "name"),
    [(MemoryGrants, "grant"), (MemoryGrants, "release"), (KeyTransfer, "move")],
)
async def test_error_of_a_move_leaves_no_keys_without_an_owner(
    monkeypatch, owner, name
):
    """The keys counted as moving until the end of the term."""
    async with losing_an_upstream() as (_, _, leave):
        failures = fail_some_times(monkeypatch, owner, name)
        leave()
        await wait_for(lambda: failures == [0])
