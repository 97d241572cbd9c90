from asyncio import create_task, sleep
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager
from pathlib import Path
from socket import socket
from time import monotonic

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from plantaincart_core.clock import HybridClock
from plantaincart_core.membership import Peer, PeerRegistry
from plantaincart_router.event import LogEvent, parse_line
from plantaincart_router.exception import MeshTimeoutError, PeerLostError
from plantaincart_router.identity import Identity
from plantaincart_router.log import start_log, stop_log
from plantaincart_router.mesh import Mesh
from plantaincart_schema.codec import encode_msgpack
from plantaincart_schema.generated.mesh import Cancel, Envelope, Heartbeat
from plantaincart_schema.generated.settings import LogSettings, MeshSettings
from zmq import DEALER, Context

HOST = "127.0.0.1"
WaitUntil = Callable[..., object]


def find_port() -> int:
    with socket() as listener:
        listener.bind((HOST, 0))
        return int(listener.getsockname()[1])


@pytest.fixture
def read_events(tmp_path: Path) -> Iterator[Callable[[str], list[LogEvent]]]:
    path = tmp_path / "log"
    clock = HybridClock(lambda: 5.0)
    start_log(LogSettings(path=str(path)), "r1", "x", clock)

    def read_kind(kind: str) -> list[LogEvent]:
        events = [parse_line(line) for line in path.read_text().splitlines()]
        return [event for event in events if event.event == kind]

    yield read_kind
    stop_log()


@asynccontextmanager
async def run_mesh(name: str, port: int, incarnation: str = "x") -> AsyncIterator[Mesh]:
    identity = Identity(name, incarnation, "north", HOST, port)
    limits = MeshSettings(host=HOST, port=port, heartbeat_s=0.02, silent_after_s=0.1)
    own_peer = Peer(
        name=name, incarnation=incarnation, data_centre="north", host=HOST, port=port
    )
    clock = HybridClock(lambda: 5.0)

    def build_heartbeat() -> Heartbeat:
        return Heartbeat(
            name=name,
            incarnation=incarnation,
            data_centre="north",
            host=HOST,
            port=port,
            clock=clock.tick(),
            monotonic_ms=int(monotonic() * 1000),
            configuration_version=0,
        )

    mesh = Mesh(limits, identity, PeerRegistry(own_peer, 0.1), clock, build_heartbeat)
    mesh.start()
    heartbeats = create_task(mesh.run_heartbeats())
    try:
        yield mesh
        assert not heartbeats.done()
    finally:
        heartbeats.cancel()
        mesh.close()


async def test_silent_peer_is_reported_once_until_it_answers(
    read_events: Callable[[str], list[LogEvent]], wait_until: WaitUntil
) -> None:
    port = find_port()
    async with run_mesh("r1", find_port()) as mesh:
        mesh.add_peer("r2", HOST, port)
        link = mesh._links["r2"]
        await wait_until(lambda: link.replacement_count >= 3)
        assert len(read_events("link_replaced")) == 1
        async with run_mesh("r2", port):
            await wait_until(lambda: not link.silent)
        count_before_restart = link.replacement_count
        await wait_until(lambda: link.replacement_count >= count_before_restart + 2)
        assert len(read_events("link_replaced")) == 2


async def test_pause_of_own_process_replaces_no_connection(
    wait_until: WaitUntil,
) -> None:
    port = find_port()
    async with run_mesh("r1", find_port()) as mesh, run_mesh("r2", port):
        mesh.add_peer("r2", HOST, port)
        await wait_until(lambda: mesh.estimate_time("r2", 0.0))
        ends_at = monotonic() + 0.3
        while monotonic() < ends_at:
            pass
        await sleep(0.05)
        assert mesh._links["r2"].replacement_count == 0


async def test_peer_clock_is_estimated_from_heartbeats(
    wait_until: WaitUntil,
) -> None:
    port = find_port()
    async with run_mesh("r1", find_port()) as mesh, run_mesh("r2", port, "y"):
        assert mesh.estimate_time("r2", 0.0) is None
        mesh.add_peer("r2", HOST, port)
        await wait_until(lambda: mesh.estimate_time("r2", 0.0))
        now = monotonic()
        estimate = mesh.estimate_time("r2", now)
        assert estimate is not None and estimate.incarnation == "y"
        assert now * 1000 - 500 < estimate.clock_ms <= monotonic() * 1000


async def test_answer_to_another_incarnation_is_dropped() -> None:
    port = find_port()
    async with run_mesh("r1", find_port()) as mesh, run_mesh("r2", port):
        mesh.add_peer("r2", HOST, port)
        mesh._links["r2"]._incarnation = "later"
        with pytest.raises((MeshTimeoutError, PeerLostError)):
            await mesh.request("r2", mesh._build_heartbeat(), Heartbeat, 0.05)


def encode_frames(kind: str, message: object = None, **fields: object) -> list[bytes]:
    values = {"kind": kind, "id": 1, "sender": "e", "incarnation": "x", "clock": 1}
    return [encode_msgpack(values | fields), encode_msgpack(message)]


HEARTBEAT_FIELDS = {
    "name": "r3",
    "incarnation": "z",
    "data_centre": "north",
    "host": HOST,
    "port": 7,
    "clock": 1,
    "configuration_version": 1,
}
DEEPLY_NESTED_MESSAGE = b"\x82\xa2id\xa1x\xa1z" + b"\x91" * 100_000 + b"\x01"


@pytest.mark.parametrize(
    "frames",
    [
        [],
        [b""],
        [b"", b"", b""],
        encode_frames("Nothing", {}),
        encode_frames("Cancel", {"id": 7}),
        encode_frames("Cancel", {}),
        encode_frames("Cancel", {"id": "x"}, clock="late"),
        encode_frames("Cancel", {"id": "x"}, id=None),
        [encode_frames("Cancel")[0], DEEPLY_NESTED_MESSAGE],
        encode_frames("Heartbeat", HEARTBEAT_FIELDS | {"port": -1}),
        encode_frames("Heartbeat", HEARTBEAT_FIELDS | {"port": 2**40}),
        encode_frames("Heartbeat", HEARTBEAT_FIELDS | {"host": "no host"}),
        encode_frames("Heartbeat", HEARTBEAT_FIELDS | {"host": "tcp://*"}),
    ],
)
async def test_malformed_message_is_logged_and_dropped(
    frames: list[bytes],
    read_events: Callable[[str], list[LogEvent]],
    wait_until: WaitUntil,
) -> None:
    port = find_port()
    context = Context()
    try:
        async with run_mesh("r1", port) as mesh:
            mesh.register_handler(Cancel, _ignore)
            with context.socket(DEALER) as sender:
                sender.connect(f"tcp://{HOST}:{port}")
                sender.send_multipart(frames or [b""])
                await wait_until(lambda: mesh.malformed)
            events = read_events("mesh_message_malformed")
            assert events and all(event.fields["reason"] for event in events)
            async with run_mesh("r2", find_port()) as other:
                other.add_peer("r1", HOST, port)
                await wait_until(lambda: other.estimate_time("r1", 0.0))
    finally:
        context.destroy(0)


async def _ignore(sender: str, message: object) -> None:
    return None


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats()
    | st.text(max_size=8) | st.binary(max_size=8),
    lambda children: st.lists(children, max_size=3)
    | st.dictionaries(st.text(max_size=8), children, max_size=3),
    max_leaves=6,
)  # fmt: skip
HEARTBEAT_PAYLOADS = st.fixed_dictionaries(
    {}, optional={name: VALUES for name in HEARTBEAT_FIELDS}
).map(lambda changes: encode_msgpack(HEARTBEAT_FIELDS | changes))
ENVELOPES = st.fixed_dictionaries(
    {}, optional={name: VALUES for name in ("id", "sender", "incarnation", "clock")}
).map(lambda changes: encode_frames("Heartbeat", **changes)[0])
FRAMES = st.lists(
    st.binary(max_size=30) | VALUES.map(encode_msgpack), max_size=4
) | st.tuples(st.just(b"peer"), ENVELOPES, HEARTBEAT_PAYLOADS).map(list)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(frames=FRAMES, answer=FRAMES)
async def test_arbitrary_frames_leave_the_mesh_working(
    frames: list[bytes], answer: list[bytes]
) -> None:
    port = find_port()
    async with run_mesh("r1", port) as mesh:
        mesh.add_peer("r2", HOST, find_port())
        mesh._receive(frames)
        mesh._links["r2"]._receive(answer)
        await sleep(0)
        mesh._receive(
            [
                b"peer",
                encode_msgpack(make_envelope()),
                encode_msgpack(mesh._build_heartbeat()),
            ]
        )
        await sleep(0)
        assert mesh._router is not None


def make_envelope() -> Envelope:
    return Envelope(kind="Heartbeat", id=1, sender="r2", incarnation="x", clock=1)
