"""Requests at an instance that is cut from all upstreams, on loopback."""

from asyncio import CancelledError, create_task, gather, sleep
from contextlib import suppress
from time import monotonic

import pytest
from plantaincart_router.direct.tests.cutsystem import run_cut_system
from plantaincart_router.direct.tests.fakes import make_record
from plantaincart_router.direct.tests.memorysystem import find_port, wait_for
from plantaincart_router.exception import ExchangeError
from plantaincart_router.http.message import find_header
from plantaincart_testing.streams import start_server

# Rule for operators: from this time after the begin of a cut, first attempts at the
# instances that are cut are served at least `MIN_SHARE` times as often as at others,
# unless no more than `FEW_FAILURES` and one in `FAILURES_ONE_IN` of them fail.
STABILITY_WINDOW_S = 3.0
MIN_SHARE = 2.0 / 3.0
FEW_FAILURES = 10
FAILURES_ONE_IN = 50
MEASURED_S = 2.0


def check_served(cut, whole):
    failures = cut.total - cut.count
    if failures <= FEW_FAILURES + cut.total / FAILURES_ONE_IN:
        return
    served_share = cut.count / cut.total
    assert served_share >= MIN_SHARE * whole.count / whole.total, cut.statuses


async def measure(system):
    """Return the outcomes of both instances from the end of the window."""
    await gather(
        *(
            system.send_for(STABILITY_WINDOW_S, name, "early")
            for name in ("whole", "cut")
        )
    )
    return await gather(
        *(system.send_for(MEASURED_S, name, "late") for name in ("whole", "cut"))
    )


@pytest.mark.parametrize(
    ("connects", "connections", "keyed", "idempotent"),
    [
        ("hang", "hang", False, True),
        ("hang", "hang", True, False),
        ("refuse", "live", False, True),
        ("reset", "reset", True, True),
        ("hang", "reset", False, False),
    ],
)
async def test_cut_instance_serves_as_others_do(
    connects, connections, keyed, idempotent
):
    """Seven of eleven instances reached no upstream and served 2 % (issue 23)."""
    async with run_cut_system(keyed=keyed, idempotent=idempotent) as system:
        for name in ("whole", "cut"):
            await system.send_for(0.5, name, "before")
        await system.cut(connects, connections)
        whole, cut = await measure(system)
        check_served(cut, whole)
        if not idempotent:
            for prefix in ("early", "late"):
                for number in range(int(STABILITY_WINDOW_S * 25)):
                    assert system.count_runs(f"{prefix}-cut-{number}") <= 1
        for request_id, verdict in cut.verdicts.items():
            assert verdict != "not-run" or not system.count_runs(request_id)


async def test_requests_go_direct_again_after_the_cut():
    """A relay costs a second hop and a second instance's time."""
    async with run_cut_system() as system:
        await system.cut("hang", "hang")
        await measure(system)
        assert system.instances["cut"].view.reachability.is_cut_off
        await system.heal()
        await sleep(1.0)
        assert not system.instances["cut"].view.reachability.is_cut_off
        served = await system.send_for(1.0, "cut", "after")
        assert served.count == served.total


async def cut_off(system, name="cut"):
    """Cut an instance, and wait until it has noticed that."""
    system.introduce_relay()
    await system.cut("refuse", "reset", name)
    system.instances[name].view.reachability.record_lost()
    await wait_for(lambda: system.instances[name].view.reachability.is_cut_off)


def verdict(answer):
    return find_header(answer.headers, "verdict")


async def test_request_whose_answer_the_relay_lost_may_have_run():
    """An upstream crashes while it runs a relayed request (srv_crash, core_cut)."""
    async with run_cut_system(idempotent=False) as system:
        await cut_off(system)
        for upstream in system.upstreams:
            upstream.loses_answers = True
        answer = await system.call("cut", "r1")
    assert (answer.status, verdict(answer)) == (502, "may-have-run")
    assert system.count_runs("r1") == 1


async def test_request_at_a_relay_that_ends_may_have_run():
    """The relay is killed while a relayed request runs (kill, core_cut)."""
    async with run_cut_system(idempotent=False) as system:
        await cut_off(system)
        for upstream in system.upstreams:
            upstream.work_s = 0.3
        task = create_task(system.call("cut", "r1"))
        await wait_for(lambda: system.count_runs("r1"))
        system.instances["whole"]._relay_server.close()
        answer = await task
    assert (answer.status, verdict(answer)) == (502, "may-have-run")
    assert system.count_runs("r1") == 1


async def test_relay_that_stops_answers_what_it_has():
    """The relay gets SIGTERM while a relayed request runs (roll_term, core_cut)."""
    async with run_cut_system(idempotent=False) as system:
        await cut_off(system)
        for upstream in system.upstreams:
            upstream.work_s = 0.3
        task = create_task(system.call("cut", "r1"))
        await wait_for(lambda: system.count_runs("r1"))
        stop_task = create_task(system.instances["whole"].stop())
        assert (await task).status == 200
        stop_task.cancel()


async def test_relay_that_is_unreachable_is_replaced():
    """A relay has ended, and the coordinator hasn't noticed it yet (kill)."""
    async with run_cut_system(idempotent=False) as system:
        await cut_off(system)
        view = system.instances["cut"].view
        for number in range(10):
            view.relays = (f"127.0.0.1:{find_port()}", *view.relays[-1:])
            answer = await system.call("cut", f"r{number}")
            assert answer.status == 200


async def test_upstream_that_is_down_for_all_causes_few_relayed_connects():
    """The owner of a key crashes while an instance is cut off (srv_crash, core_cut)."""
    async with run_cut_system(keyed=True) as system:
        await cut_off(system)
        view = system.instances["cut"].view
        await wait_for(lambda: view.find_owner("ledger", 7).owner)
        owner = view.find_owner("ledger", 7).owner
        await system.paths["whole"][owner].cut("refuse", "reset")
        served = await system.send_for(2.0, "cut", "r", rate=40.0)
        counts = system.instances["whole"].metrics._counts["relays"]
    assert set(served.statuses) == {503}
    assert set(served.verdicts.values()) == {"not-run"}
    # One connect for each delay of at least 0.25 s, and each request tries twice.
    assert sum(counts.values()) <= 2 * 2.0 / 0.25, counts


async def test_disconnected_caller_ends_an_idempotent_request_at_the_upstream():
    """Upstreams must not work on for callers that have gone (rule on callers gone)."""
    async with run_cut_system() as system:
        await cut_off(system)
        for upstream in system.upstreams:
            upstream.work_s = 0.9
        task = create_task(system.call("cut", "r1"))
        await wait_for(lambda: system.count_runs("r1"))
        task.cancel()
        gone_at = monotonic()
        await wait_for(lambda: sum(up.abandoned for up in system.upstreams))
        assert monotonic() - gone_at < 0.4


async def test_relay_sends_nothing_to_another_process_at_the_address():
    """The address of an upstream is used again (pattern replace_with_reuse)."""
    async with run_cut_system() as system:
        await cut_off(system)
        directory = system.instances["whole"].view.directory
        for upstream in system.upstreams:
            record = make_record(
                upstream.name, port=upstream.port, data_centre=upstream.name[0], born=2
            )
            directory.put(record, monotonic())
        answer = await system.call("cut", "r1", remaining_s=0.5)
    assert (answer.status, verdict(answer)) == (503, "not-run")
    assert not system.count_runs("r1")


async def test_instances_that_are_all_cut_off_refuse_at_once():
    """No relay reaches an upstream either, and relays must not relay on."""
    async with run_cut_system() as system:
        await cut_off(system)
        await cut_off(system, "whole")
        view = system.instances["whole"].view
        view.relays = (system.instances["cut"].view.relay_fact.address,)
        started_at = monotonic()
        answers = [await system.call(name, f"r-{name}") for name in ("cut", "whole")]
        assert monotonic() - started_at < 1.0
    for answer in answers:
        assert (answer.status, verdict(answer)) == (503, "not-run")


class SilentServer:
    """Accepts connections and answers nothing."""

    async def start(self):
        self.server = await start_server(self._wait, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def _wait(self, reader, writer):
        with suppress(ConnectionError, CancelledError):
            await reader.read()
        writer.close()


async def test_relay_that_freezes_costs_few_requests():
    """A relay that accepts connections but answers nothing (freeze, core_cut)."""
    async with run_cut_system(idempotent=False) as system:
        await cut_off(system)
        silent = await SilentServer().start()
        view = system.instances["cut"].view
        failed = 0
        for number in range(12):
            view.relays = (silent.address, *view.relays[-1:])
            try:
                answer = await system.call("cut", f"r{number}", remaining_s=0.3)
                failed += answer.status != 200
                if answer.status != 200:
                    assert verdict(answer) == "may-have-run"
            except ExchangeError:
                failed += 1
        silent.server.close()
    # It is tried again after each second at most.
    assert failed <= 3
