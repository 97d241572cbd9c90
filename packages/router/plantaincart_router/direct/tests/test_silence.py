"""Requests to upstreams that never answer what they can't queue."""

from asyncio import CancelledError, create_task, gather, sleep, wait
from time import monotonic

import pytest
from plantaincart_router.direct.settings import BoundSettings
from plantaincart_router.direct.silencelistener import SilenceListener
from plantaincart_router.direct.tests.fakes import make_plan
from plantaincart_router.direct.tests.test_gateway import (
    Upstream,
    answer,
    call_gateway,
    make_request,
    run_gateway,
    verdict,
)
from plantaincart_router.http.caller import CallerConnection


def fall_silent():
    """Never answer, nor anything else on the connection."""

    async def script(reader, writer, request_id_sent):
        while await reader.read(65536):
            pass
        raise ConnectionError

    return script


class Listener(SilenceListener):
    """Keeps what it is told."""

    def __init__(self):
        self.heard = []

    def record_silent(self, record, in_flight):
        self.heard.append((record.id, in_flight))


def show_silence(gateway, events=3):
    """Make the instance believe that the service's upstreams fall silent."""
    silence = gateway._view.silence_fact.find("ledger")
    for _ in range(events):
        silence.record_shown(monotonic())


def set_usual_time(view, seconds=0.02):
    view.loads.record_work("lookup", "u9", seconds, False, seconds)


def prefer_first(view):
    """Make the second upstream look busy, so that requests go to the first."""
    view.loads.get("u1").set_peer_in_flight(4, monotonic())


async def test_silent_lookup_is_answered_by_another_upstream():
    """The chosen upstream has no room in its queue and says nothing."""
    full, other = Upstream(fall_silent()), Upstream()
    async with run_gateway(full, other) as (gateway, view):
        show_silence(gateway)
        set_usual_time(view)
        prefer_first(view)
        response = await call_gateway(gateway)
        assert (response.status, len(full.requests), len(other.requests)) == (200, 1, 1)
        # Half of such attempts are slow, so that it counts until its end.
        assert view.loads.get("u0").in_flight == 1
        gateway.close()
        await sleep(0.05)
        assert view.loads.get("u0").in_flight == 0


@pytest.mark.parametrize("idempotent", [True, False])
async def test_silence_counts_from_the_sending(idempotent):
    """Opening the connection takes longer than an answer: the network, or a pause."""
    full, other = Upstream(fall_silent()), Upstream()
    plan = make_plan(keyed=False, idempotent=idempotent)
    async with run_gateway(full, other, plan=plan) as (gateway, view):
        show_silence(gateway)
        set_usual_time(view)
        prefer_first(view)
        open_connection = gateway._pools.open

        async def open_late(record, timeout_s):
            if record.id == "u0":
                await sleep(0.2)
            return await open_connection(record, timeout_s)

        gateway._pools.open = open_late
        response = await call_gateway(gateway)
        assert response.status == (200 if idempotent else 504)
        assert (len(full.requests), len(other.requests)) == (1, int(idempotent))
        judged = b'silent_total{result="judged",service="ledger"} 1.0'
        assert judged in gateway.silence._metrics.render()
        gateway.close()


async def test_silent_connection_isn_t_used_again():
    """Nothing that follows on a silent connection is answered either."""
    full, other = Upstream(fall_silent()), Upstream()
    async with run_gateway(full, other) as (gateway, view):
        show_silence(gateway)
        set_usual_time(view)
        prefer_first(view)
        await call_gateway(gateway)
        for at in range(4):
            response = await call_gateway(gateway, request_id=f"later{at}")
            assert response.status == 200
        assert len(gateway._pools._idle.get(("u0", 1), [])) <= 4
        assert full.requests[0][1]["id"] == "r1"
        gateway.close()


async def test_late_first_answer_is_delivered():
    """The first attempt was slow, and the second meets silence."""
    slow, silent = Upstream(answer(body=b"first", delay_s=0.6)), Upstream(fall_silent())
    async with run_gateway(slow, silent) as (gateway, view):
        show_silence(gateway)
        set_usual_time(view)
        prefer_first(view)
        response = await call_gateway(gateway)
        assert (response.status, response.body) == (200, b"first")
        assert len(silent.requests) == 1
        gateway.close()


async def test_one_repeat_at_most_while_an_attempt_goes_on():
    """All upstreams are silent: a request must not fill all their queues."""
    upstreams = [Upstream(fall_silent()) for _ in range(4)]
    plan = make_plan(keyed=False, attempts=4)
    async with run_gateway(*upstreams, plan=plan) as (gateway, view):
        show_silence(gateway)
        set_usual_time(view)
        response = await call_gateway(gateway)
        assert response.status == 504
        assert sum(len(upstream.requests) for upstream in upstreams) == 2


async def test_non_idempotent_request_waits_until_its_deadline():
    """Silence is no reason to end an answer sooner, nor to run a booking twice."""
    silent, other = Upstream(answer(delay_s=0.5)), Upstream()
    plan = make_plan(keyed=False, idempotent=False)
    async with run_gateway(silent, other, plan=plan) as (gateway, view):
        show_silence(gateway)
        set_usual_time(view)
        prefer_first(view)
        response = await call_gateway(gateway)
        assert (response.status, len(other.requests)) == (200, 0)
        assert view.loads.get("u0").in_flight == 0


async def test_non_idempotent_request_ends_with_a_true_verdict():
    """The upstream may have run it: 504, and no promise."""
    listener, silent = Listener(), Upstream(fall_silent())
    plan = make_plan(keyed=False, idempotent=False)
    async with run_gateway(silent, plan=plan) as (gateway, view):
        show_silence(gateway)
        set_usual_time(view)
        gateway.silence.listener = listener
        started_at = monotonic()
        response = await call_gateway(gateway, remaining_s=0.8)
        assert monotonic() - started_at > 0.7
    assert (response.status, verdict(response)) == (504, "may-have-run")
    assert listener.heard == [("u0", 0.0)]


@pytest.mark.parametrize("shown", [True, False])
async def test_silence_is_no_slowness(shown):
    """Repeats were refused, as silent ends made all upstreams look slow."""
    upstream = Upstream(fall_silent(), answer())
    plan = make_plan(keyed=False, idempotent=False)
    async with run_gateway(upstream, plan=plan) as (gateway, view):
        if shown:
            show_silence(gateway)
        set_usual_time(view)
        silent = create_task(call_gateway(gateway, remaining_s=0.8))
        for at in range(6):
            await sleep(0.1)
            response = await call_gateway(gateway, request_id=f"later{at}")
            assert response.status == 200
        assert (await silent).status == 504
        assert (view.loads.get("u0").slowness < 1.5) is shown


async def test_keyed_lookup_goes_to_the_owner_again():
    """Only the owner may run it, on another connection, once it has room."""
    owner = Upstream(fall_silent(), answer())
    plan = make_plan(keyed=True, attempts=2)
    async with run_gateway(owner, plan=plan) as (gateway, view):
        show_silence(gateway)
        set_usual_time(view)
        response = await call_gateway(gateway)
        assert (response.status, len(owner.requests)) == (200, 2)
        gateway.close()


@pytest.mark.parametrize("shown", [True, False])
async def test_lookup_isn_t_repeated_if_its_answer_has_begun(shown):
    """A download that takes long on a thin link is no silence."""

    async def send_slowly(reader, writer, request_id_sent):
        writer.write(f"HTTP/1.1 200 X\r\nid: {request_id_sent}\r\n".encode())
        writer.write(b"content-length: 5\r\n\r\n")
        for byte in b"whole":
            await sleep(0.1)
            writer.write(bytes([byte]))
        return True

    slow, other = Upstream(send_slowly), Upstream()
    async with run_gateway(slow, other) as (gateway, view):
        if shown:
            show_silence(gateway)
        set_usual_time(view)
        prefer_first(view)
        response = await call_gateway(gateway)
        assert (response.status, response.body) == (200, b"whole")
        assert not other.requests


async def test_suspect_request_isn_t_repeated():
    """A request under which an upstream has ended may end the next one, too."""
    silent, other = Upstream(fall_silent()), Upstream()
    async with run_gateway(silent, other) as (gateway, view):
        show_silence(gateway)
        set_usual_time(view)
        prefer_first(view)
        view.crashes.is_suspect = lambda *_: True
        response = await call_gateway(gateway)
        assert (response.status, len(other.requests)) == (504, 0)


async def test_repeats_keep_to_the_retry_budget():
    """Silence everywhere: repeats must not fill what little room is left."""
    upstreams = [Upstream(*[fall_silent()] * 40) for _ in range(2)]
    bounds = BoundSettings(retry_ratio=0.0, retry_extra=5.0)
    async with run_gateway(*upstreams, bounds=bounds) as (gateway, view):
        show_silence(gateway)
        set_usual_time(view)
        await gather(*(call_gateway(gateway, request_id=f"r{at}") for at in range(20)))
        sent = sum(len(upstream.requests) for upstream in upstreams)
        assert 20 < sent <= 25


@pytest.mark.parametrize("keyed", [False, True])
@pytest.mark.parametrize("leaves", [False, True])
async def test_each_unit_of_room_is_given_back_once(keyed, leaves):
    """A unit that is lost, or given back twice, makes room wrong for good."""
    first, other = Upstream(fall_silent(), answer(delay_s=0.1)), Upstream()
    async with run_gateway(first, other, plan=make_plan(keyed=keyed)) as (
        gateway,
        view,
    ):
        show_silence(gateway)
        set_usual_time(view)
        prefer_first(view)
        taken, given = count_units(view.room)
        caller = CallerConnection()
        task = create_task(gateway.handle(make_request(), caller))
        await sleep(0.4 if leaves else 0.0)
        if leaves:
            caller.set_disconnected()
        await wait({task}, timeout=2.0)
        gateway.close()
        await sleep(0.05)
        assert len(taken) >= 2
        assert sorted(taken) == sorted(given)


def count_units(room):
    """Return the lists of the upstreams whose units are taken, and given back."""
    taken, given = [], []
    try_acquire, release = room.try_acquire, room.release

    def count_taken(record, now):
        is_taken = try_acquire(record, now)
        if is_taken:
            taken.append(record.id)
        return is_taken

    def count_given(record):
        given.append(record.id)
        release(record)

    room.try_acquire, room.release = count_taken, count_given
    return taken, given


async def test_both_attempts_end_with_their_caller():
    """Pattern give_up: no upstream stays at work for a caller that has gone."""
    upstreams = [Upstream(fall_silent()) for _ in range(2)]
    async with run_gateway(*upstreams) as (gateway, view):
        show_silence(gateway)
        set_usual_time(view)
        caller = CallerConnection()
        task = create_task(gateway.handle(make_request(), caller))
        await sleep(0.5)
        assert [len(upstream.requests) for upstream in upstreams] == [1, 1]
        caller.set_disconnected()
        await wait({task}, timeout=0.2)
        await sleep(0.05)
        assert [upstream.closed for upstream in upstreams] == [1, 1]
        with pytest.raises(CancelledError):
            task.result()
        assert [view.loads.get(name).in_flight for name in ("u0", "u1")] == [0, 0]


async def test_silence_is_learnt_from_the_upstreams_alone():
    """No setting says it: unanswered attempts, and ordinary answers to later ones."""
    scripts = [fall_silent(), *[answer()] * 5] * 4
    upstream = Upstream(*scripts)
    async with run_gateway(upstream) as (gateway, view):
        set_usual_time(view)
        for at in range(12):
            await call_gateway(gateway, request_id=f"r{at}", remaining_s=0.4)
        assert view.silence_fact.find("ledger").has_shown(monotonic())
