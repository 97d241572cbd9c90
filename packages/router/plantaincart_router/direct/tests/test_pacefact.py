"""Pace and speed of upstreams, kept by several instances together."""

from asyncio import create_task, get_running_loop, sleep
from dataclasses import fields
from time import monotonic
from types import SimpleNamespace

import pytest
from plantaincart_core.admission import LatencyEstimate
from plantaincart_router.direct.cost import CostEstimator
from plantaincart_router.direct.messagecheck import check_report
from plantaincart_router.direct.pacesource import (
    PaceFilter,
    PaceSource,
    is_good_answer,
)
from plantaincart_router.direct.pool import UpstreamPools
from plantaincart_router.direct.tests.fakes import (
    PlainReader,
    make_notice,
    make_plan,
    make_record,
    make_settings,
)
from plantaincart_router.direct.tests.memorysystem import run_system, wait_for
from plantaincart_router.direct.view import SystemView
from plantaincart_schema.codec import decode_msgpack, encode_msgpack
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.direct import MemberReport

FIVE = ("r1", "r2", "r3", "r4", "r5")
LATER_FIELDS = {"work_ratios", "slowdowns", "outcomes"}


def find_limits(system, upstream="u0"):
    now = monotonic()
    return {
        name: instance.view.paces.find_limit(upstream, now)
        for name, instance in system.instances.items()
    }


async def answer_for(system, is_good, stopped, upstream="u0"):
    """Let every instance get answers of one upstream."""
    while not stopped.is_set:
        for instance in system.instances.values():
            instance.view.paces.record(upstream, is_good(instance))
        await sleep(0.02)


class Answers:
    """Answers of an upstream that all instances get until the block ends."""

    def __init__(self, system, is_good=lambda instance: True):
        self._stopped = SimpleNamespace(is_set=False)
        self._task = create_task(answer_for(system, is_good, self._stopped))

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        self._stopped.is_set = True
        await self._task


def make_cold(system, upstream="u0", warmup_left_s=9.0):
    for instance in system.instances.values():
        record = make_record(upstream, warmup_left_s=warmup_left_s)
        instance.view.directory.put(record, monotonic())


def make_call(keyed=False, priority=1, target_s=0.25):
    route = SimpleNamespace(name="lookup", target_s=target_s, priority=priority)
    service = SimpleNamespace(name="ledger", keyed=keyed)
    return SimpleNamespace(route=route, service=service, remaining_s=1.0)


def make_view(upstreams=4, data_centre="a"):
    settings = make_settings()
    view = SystemView(settings, PlainReader(), UpstreamPools(settings.send))
    view.routing_config = make_plan(keyed=False)
    for number in range(upstreams):
        record = make_record(f"u{number}", data_centre=data_centre)
        view.directory.put(record, monotonic())
    return view, settings


async def test_one_limit_over_five_instances_after_a_start():
    """Amid a burst, all learn the same limit, and it ends with good answers."""
    async with run_system(get_running_loop(), FIVE) as system:
        make_cold(system)
        await wait_for(lambda: None not in find_limits(system).values())
        assert max(find_limits(system).values()) <= 2.0
        async with Answers(system):
            await wait_for(lambda: set(find_limits(system).values()) == {None})


async def test_upstream_that_sheds_is_paced_at_all_instances():
    """Two of five instances see its refusals; the others know the limit, too."""
    async with run_system(get_running_loop(), FIVE) as system:
        async with Answers(system, lambda i: i.settings.name not in ("r2", "r4")):
            await sleep(0.3)
            paced = find_limits(system)
        assert set(paced.values()) == {None} or max(paced.values()) <= 2.0
        async with Answers(system, lambda i: i.settings.name in ("r2", "r4")):
            await wait_for(lambda: None not in find_limits(system).values())
            await sleep(1.0)
            assert max(find_limits(system).values()) <= 0.6


async def test_coordinator_lost_while_an_upstream_fails():
    """The limit holds while nobody coordinates, and afterwards."""
    async with run_system(get_running_loop(), FIVE) as system:
        async with Answers(system, lambda i: False):
            await wait_for(lambda: None not in find_limits(system).values())
            await sleep(0.8)
            lost = system.find_coordinator()
            system.kill(lost.settings.name)
            until, seen = monotonic() + 1.5, []
            while monotonic() < until:
                seen += find_limits(system).values()
                await sleep(0.02)
            assert system.find_coordinator() is not None
        assert None not in seen
        assert max(seen) <= 1.0


async def test_instance_cut_off_keeps_the_limit_and_lets_it_grow_slowly():
    async with run_system(get_running_loop(), FIVE) as system:
        make_cold(system)
        await wait_for(lambda: None not in find_limits(system).values())
        cut = next(i for i in system.instances.values() if not i.is_coordinator)
        cut.view.apply_notice = lambda notice: True
        before = find_limits(system)[cut.settings.name]
        async with Answers(system):
            await wait_for(lambda: list(find_limits(system).values()).count(None) == 4)
        kept = find_limits(system)[cut.settings.name]
        assert before <= kept <= 2.0 * before


async def test_speeds_are_learnt_by_all_and_outlast_the_coordinator():
    """Each instance sees few answers of a fast and a slow upstream with noise."""
    async with run_system(get_running_loop(), FIVE) as system:

        def measure():
            now = monotonic()
            for instance in system.instances.values():
                speeds = instance.view.speeds
                for name, factor in (("u0", 0.6), ("u1", 1.0), ("u2", 1.0), ("u3", 2)):
                    speeds.record_answer(name, 0.3 * factor, 0.1, 3.0)
                    speeds.record_statement(name, "ledger", 3.0, now)

        def all_know():
            measure()
            known = [
                i.view.speeds.find_lasting("u3") for i in system.instances.values()
            ]
            return all(factor is not None and factor > 1.7 for factor in known)

        await wait_for(all_know)
        for instance in system.instances.values():
            assert instance.view.speeds.find_lasting("u0") < 0.75
        system.kill(system.find_coordinator().settings.name)
        await wait_for(lambda: system.find_coordinator() is not None)
        await sleep(0.5)
        for instance in system.instances.values():
            assert instance.view.speeds.find_lasting("u3") > 1.7


async def test_instances_of_an_earlier_build_beside():
    """Two members report none of the new fields; the others' limits still hold."""
    async with run_system(get_running_loop(), FIVE) as system:
        coordinator = system.find_coordinator().settings.name
        earlier = [name for name in FIVE if name != coordinator][:2]
        later = set(FIVE) - set(earlier)
        for name in earlier:
            view = system.instances[name].view
            view.facts = tuple(
                fact
                for fact in view.facts
                if type(fact).__name__ not in ("PaceFact", "SpeedFact")
            )
        make_cold(system)
        await wait_for(lambda: None not in [find_limits(system)[n] for n in later])
        assert {find_limits(system)[name] for name in earlier} == {None}
        async with Answers(system):
            await wait_for(lambda: set(find_limits(system).values()) == {None})


def test_messages_of_an_earlier_build():
    report = MemberReport(
        member="r1",
        incarnation="a",
        address="127.0.0.1:1",
        epoch=1,
        map_version=1,
        store_silent_s=0.0,
        outcomes={"u1": [1, 2]},
    )
    decoded = decode_msgpack(encode_msgpack(report), MemberReport)
    assert decoded.outcomes == {"u1": [1, 2]}
    assert {item.name for item in fields(MemberReport)} >= LATER_FIELDS
    notice = make_notice()
    assert (notice.paces, notice.slowdowns, notice.work_factors) == (None, None, None)


@pytest.mark.parametrize("counts", [[1], [1, 2, 3], [-1, 2], [1, 10**9]])
def test_malformed_outcomes_are_rejected(counts):
    report = MemberReport(
        member="r1",
        incarnation="a",
        address="127.0.0.1:1",
        epoch=1,
        map_version=1,
        store_silent_s=0.0,
        outcomes={"u1": counts},
    )
    with pytest.raises(MalformedMessageError):
        check_report(report)


def test_paced_upstream_gets_its_fraction_from_many_instances():
    """Seventy instances, a limit of half a request: each draws, none is left out."""
    admitted = 0
    for _ in range(70):
        view, _ = make_view()
        view.paces.apply({"u0": 0.5}, monotonic())
        pace_filter = PaceFilter(view, PaceSource(view))
        record = view.directory.get("u0")
        now = monotonic()
        admitted += sum(pace_filter.allows(make_call(), record, now) for _ in range(20))
    assert 0.18 < admitted / 1400 < 0.32


def test_service_whose_upstreams_are_all_paced_is_served():
    """Passing over every upstream would refuse requests that some could run."""
    view, _ = make_view()
    view.paces.apply({f"u{number}": 0.25 for number in range(4)}, monotonic())
    pace_filter = PaceFilter(view, PaceSource(view))
    for record in view.directory:
        assert all(
            pace_filter.allows(make_call(), record, monotonic()) for _ in range(20)
        )


def test_owner_of_keys_is_not_paced():
    """Nobody else can run its requests; the limit of cold upstreams holds for it."""
    view, _ = make_view()
    view.routing_config = make_plan(keyed=True)
    view.paces.apply({"u0": 0.25}, monotonic())
    pace_filter = PaceFilter(view, PaceSource(view))
    record, now = view.directory.get("u0"), monotonic()
    view.loads.get("u0").set_peer_in_flight(record.slots, now)
    assert all(
        pace_filter.allows(make_call(keyed=True), record, now) for _ in range(20)
    )
    assert PaceSource(view).find_limit(record, now) is None


def test_full_upstream_is_paced_only_if_it_was_before():
    """Refusals for lack of room come from overbooking, and aren't failures."""
    view, _ = make_view()
    view.paces.record_full("u0")
    assert view.paces.drain_outcomes() == {}
    view.paces.apply({"u0": 1.0}, monotonic())
    view.paces.record_full("u0")
    assert view.paces.drain_outcomes() == {"u0": [0, 1]}


def test_remote_upstream_that_answers_in_time_is_cheaper_than_a_full_local_one():
    """A data centre at its peak sends over what its own upstreams can't serve."""
    view, settings = make_view(upstreams=2)
    view.directory.put(make_record("far", data_centre="b"), monotonic())
    costs = CostEstimator(settings, view)
    call = make_call(target_s=0.25)
    local, remote = view.directory.get("u0"), view.directory.get("far")
    factor = settings.choice.remote_cost_factor

    def is_remote_cheaper():
        remote_cost = costs.estimate_cost_s(call, remote) * factor
        return remote_cost < costs.estimate_cost_s(call, local)

    assert not is_remote_cheaper()
    view.loads.get("u0").set_peer_in_flight(2, monotonic())
    assert not is_remote_cheaper()
    view.loads.get("u0").set_peer_in_flight(6, monotonic())
    assert is_remote_cheaper()


def test_noise_of_a_moment_refuses_no_request_with_a_key():
    """Its owner is the only one, and the neighbours' burst ends before its wait."""
    view, settings = make_view()
    view.speeds.set_lasting({"u0": 1.0})
    costs = CostEstimator(settings, view)
    record = view.directory.get("u0")
    quiet_s = costs.estimate(make_call(keyed=True), record).work_s
    view.speeds.record_statement("u0", "ledger", 3.0, monotonic())
    keyed_s = costs.estimate(make_call(keyed=True), record).work_s
    assert keyed_s == pytest.approx(quiet_s, rel=0.05)
    assert costs.estimate(make_call(), record).work_s > 2.0 * quiet_s


def test_answers_that_count_as_bad():
    expected = LatencyEstimate(wait_s=0.1, work_s=0.1, remaining_s=1.0, target_s=0.5)
    assert is_good_answer(200, 0.5, expected)
    assert is_good_answer(404, 0.1, expected)
    assert not is_good_answer(500, 0.1, expected)
    assert not is_good_answer(200, 1.5, expected)
