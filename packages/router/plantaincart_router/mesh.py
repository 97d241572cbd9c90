"""Messages between instances over TCP, with heartbeats."""

from asyncio import Task, get_running_loop, sleep, timeout
from collections.abc import Awaitable, Callable
from time import monotonic
from typing import Any, TypeVar

from plantaincart_core.clock import HybridClock
from plantaincart_core.membership import PeerRegistry
from plantaincart_core.peerclock import PeerClocks, PeerTime
from plantaincart_schema.codec import decode_msgpack
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.mesh import Acknowledgement, Envelope, Heartbeat
from plantaincart_schema.generated.settings import MeshSettings
from zmq import ROUTER, Context

from plantaincart_router.envelope import EnvelopeEncoder
from plantaincart_router.exception import MeshTimeoutError, PeerLostError
from plantaincart_router.identity import Identity
from plantaincart_router.link import PeerLink
from plantaincart_router.log import write_event
from plantaincart_router.socket import LoopSocket, format_address

__all__ = ["Handler", "Mesh"]

T = TypeVar("T")
Handler = Callable[[str, Any], Awaitable[object | None]]


class Mesh:
    """
    The connections of an instance to its peers.

    Parameters
    ----------
    settings : MeshSettings
        Addresses and heartbeat times.
    identity : Identity
        Identity of this instance.
    peers : PeerRegistry
        Updated with each heartbeat.
    clock : HybridClock
        Source of the time in every envelope; advanced by the envelopes of peers.
    build_heartbeat : callable
        Returns the heartbeat to send.

    Notes
    -----
    Each instance binds one ROUTER socket and connects a DEALER socket to each peer. A
    request is sent on the DEALER socket. Its answer arrives on the same connection and
    carries the number of the request and the incarnation of the requester, so a late
    answer can't be assigned to another request. A connection on which nothing arrives
    for `silent_after_s` is replaced, which fails the requests on it.
    """

    def __init__(
        self,
        settings: MeshSettings,
        identity: Identity,
        peers: PeerRegistry,
        clock: HybridClock,
        build_heartbeat: Callable[[], Heartbeat],
    ) -> None:
        self._settings = settings
        self._identity = identity
        self._peers = peers
        self._clock = clock
        self._build_heartbeat = build_heartbeat
        self._loop = get_running_loop()
        self._context = Context()
        self._clocks = PeerClocks()
        self._links: dict[str, PeerLink] = {}
        self._handlers: dict[str, tuple[type, Handler]] = {}
        self._tasks: set[Task[None]] = set()
        self._peer_observers: list[Callable[[str], None]] = []
        self._router: LoopSocket | None = None
        self._encoder = EnvelopeEncoder(identity, clock)
        self.malformed = 0
        self.register_handler(Heartbeat, self._answer_heartbeat)

    @property
    def messages_sent(self) -> int:
        """Number of messages sent to peers."""
        return self._encoder.messages_sent

    @property
    def bytes_sent(self) -> int:
        """Number of payload bytes sent to peers."""
        return self._encoder.bytes_sent

    def register_handler(self, kind: type, handler: Handler) -> None:
        """Register the handler that is called with sender and message of a `kind`."""
        self._handlers[kind.__name__] = (kind, handler)

    def add_peer_observer(self, observer: Callable[[str], None]) -> None:
        """Register an observer called with the name of each new or restarted peer."""
        self._peer_observers.append(observer)

    def start(self) -> None:
        """Bind the mesh address."""
        self._router = LoopSocket(self._context, ROUTER, self._loop, self._receive)
        self._router.bind(self._settings.host, self._settings.port)

    def close(self) -> None:
        """Close all connections."""
        for task in list(self._tasks):
            task.cancel()
        for link in self._links.values():
            link.close()
        if self._router is not None:
            self._router.close()
        self._context.destroy(0)

    def add_peer(self, name: str, host: str, port: int) -> None:
        """Connect to a peer, or to its new address; skip an invalid address."""
        link = self._links.get(name)
        if name == self._identity.name or (
            link is not None and (link.host, link.port) == (host, port)
        ):
            return
        try:
            format_address(host, port)
        except MalformedMessageError as error:
            self._report_malformed(name, str(error))
            return
        self.remove_peer(name)
        incarnation, report = self._identity.incarnation, self._report_malformed
        self._links[name] = PeerLink(
            name, host, port, incarnation, self._context, self._loop, report
        )

    def remove_peer(self, name: str) -> None:
        """Close the connection to a peer."""
        link = self._links.pop(name, None)
        if link is not None:
            link.close()

    def estimate_time(self, peer: str, at: float) -> PeerTime | None:
        """
        Estimate the monotonic clock of a peer at a time of this instance's clock.

        Returns
        -------
        PeerTime or None
            Lower bound of the peer's time; None before the first heartbeat.
        """
        return self._clocks.estimate(peer, at, monotonic())

    def list_peers(self) -> list[str]:
        """List the names of the peers that this instance connects to."""
        return list(self._links)

    def send(self, peer: str, message: object) -> bool:
        """Send a message that expects no answer; return whether it was queued."""
        link = self._links.get(peer)
        if link is None:
            return False
        return link.send(
            self._encoder.make_envelope_builder(message), self._encoder.encode(message)
        )

    def broadcast(self, message: object) -> None:
        """Send a message that expects no answer to every peer."""
        for peer in self._links:
            self.send(peer, message)

    async def request(
        self, peer: str, message: object, kind: type[T], timeout_s: float
    ) -> T:
        """
        Send a message to a peer and await its answer.

        Parameters
        ----------
        peer : str
            Name of the peer.
        message : object
            Message of the mesh schema.
        kind : type
            Class of the answer.
        timeout_s : float
            Seconds to wait.

        Returns
        -------
        object
            Answer of class `kind`.

        Raises
        ------
        PeerLostError
            If there is no connection or it was replaced; the peer may have
            handled the message.
        MeshTimeoutError
            If no answer came in time; the peer may have handled the message.
        MalformedMessageError
            If the answer isn't a `kind`.
        """
        link = self._links.get(peer)
        if link is None:
            raise PeerLostError(peer, sent=False)
        payload = self._encoder.encode(message)
        future = link.request(self._encoder.make_envelope_builder(message), payload)
        try:
            async with timeout(timeout_s):
                data = await future
        except TimeoutError:
            raise MeshTimeoutError(peer) from None
        return decode_msgpack(data, kind)

    async def run_heartbeats(self) -> None:
        """Send heartbeats and replace silent connections until cancelled."""
        due = monotonic()
        while True:
            # A pause of this process doesn't count as silence of its peers.
            paused_s = max(0.0, monotonic() - due)
            heartbeat = self._build_heartbeat()
            for link in list(self._links.values()):
                self._send_heartbeat(link, heartbeat, paused_s)
            due = monotonic() + self._settings.heartbeat_s
            await sleep(self._settings.heartbeat_s)

    def _send_heartbeat(
        self, link: PeerLink, heartbeat: Heartbeat, paused_s: float
    ) -> None:
        link.last_received_at += paused_s
        silent_s = round(monotonic() - link.last_received_at, 3)
        if silent_s > self._settings.silent_after_s:
            if not link.silent:
                write_event("link_replaced", peer=link.name, silent_s=silent_s)
            link.replace()
        self._spawn(self._exchange_heartbeat(link, heartbeat))

    async def _exchange_heartbeat(self, link: PeerLink, heartbeat: Heartbeat) -> None:
        try:
            await self.request(
                link.name, heartbeat, Acknowledgement, self._settings.silent_after_s
            )
        except (PeerLostError, MeshTimeoutError):
            return
        except MalformedMessageError as error:
            self._report_malformed(link.name, str(error))

    async def _answer_heartbeat(
        self, sender: str, heartbeat: Heartbeat
    ) -> Acknowledgement:
        self.add_peer(heartbeat.name, heartbeat.host, heartbeat.port)
        self._record_heartbeat(heartbeat)
        return Acknowledgement(accepted=True)

    def _record_heartbeat(self, heartbeat: Heartbeat) -> None:
        name, incarnation, now = heartbeat.name, heartbeat.incarnation, monotonic()
        if heartbeat.monotonic_ms > 0:
            self._clocks.record(name, incarnation, heartbeat.monotonic_ms, now)
        earlier = self._peers.find(name)
        if not self._peers.record_heartbeat(heartbeat, now):
            return
        if earlier is not None and earlier.incarnation != incarnation:
            link = self._links.get(name)
            if link is not None:
                link.fail_pending()
        for observer in self._peer_observers:
            observer(name)

    def _receive(self, frames: list[bytes]) -> None:
        if len(frames) != 3:
            self._report_malformed("unknown", f"{len(frames)} frames, expected 3")
            return
        identity, head, payload = frames
        try:
            envelope = decode_msgpack(head, Envelope)
            kind, handler = self._handlers[envelope.kind]
            message: object = decode_msgpack(payload, kind)
        except KeyError as error:
            self._report_malformed("unknown", f"unknown message kind {error}")
            return
        except MalformedMessageError as error:
            self._report_malformed("unknown", str(error))
            return
        self._clock.receive(envelope.clock)
        self._spawn(self._answer(identity, envelope, handler, message))

    async def _answer(
        self, identity: bytes, envelope: Envelope, handler: Handler, message: object
    ) -> None:
        answer = await handler(envelope.sender, message)
        if answer is None or self._router is None:
            return
        head = self._encoder.encode_answer_envelope(answer, envelope)
        self._router.send([identity, head, self._encoder.encode(answer)])

    def _report_malformed(self, peer: str, reason: str) -> None:
        self.malformed += 1
        write_event("mesh_message_malformed", peer=peer, reason=reason)

    def _spawn(self, work: Awaitable[None]) -> None:
        task: Task[None] = self._loop.create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: "Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            write_event("mesh_handler_failed", error=repr(task.exception()))
