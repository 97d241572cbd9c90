"""Instances with real sockets, each of which can be cut from all upstreams."""

from asyncio import CancelledError, Event, create_task, gather, sleep, timeout
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field, replace
from os import environ
from random import randrange
from socket import SO_LINGER, SO_REUSEADDR, SOL_SOCKET, socket
from struct import pack
from time import monotonic

from plantaincart_router.direct.instance import DirectInstance
from plantaincart_router.direct.interface import Platform
from plantaincart_router.direct.pool import UpstreamPools
from plantaincart_router.direct.tests.fakes import (
    MemoryClient,
    MemoryGrants,
    MemoryStore,
    MemoryUpstream,
    PlainDialect,
    PlainReader,
    make_plan,
    make_record,
    make_settings,
)
from plantaincart_router.direct.tests.memorysystem import wait_for
from plantaincart_router.exception import ExchangeError
from plantaincart_router.http.exchange import HttpConnection
from plantaincart_router.http.message import HttpRequest, find_header
from plantaincart_testing.streams import open_connection, start_server

DATA_CENTRES = ("a", "b", "c")
WORK_S = 0.01
# Below the usual range of ports for outgoing connections.
FIXED_PORTS = (20000, 32000)
# Each worker of the test run has ports of its own, and gives none out twice.
MAX_WORKERS = 16
given_ports = set()


def find_fixed_port():
    """Return a free port that nobody else is given meanwhile, nor the kernel gives."""
    worker = int(environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
    first = FIXED_PORTS[0] + worker % MAX_WORKERS
    while True:
        port = randrange(first, FIXED_PORTS[1], MAX_WORKERS)
        if port in given_ports:
            continue
        with socket() as probe, suppress(OSError):
            probe.bind(("127.0.0.1", port))
            given_ports.add(port)
            return port


class Upstream:
    """Runs requests, and records the ids of those that it ran."""

    def __init__(self, name):
        self.name = name
        self.ran = []
        self.accounts = {}
        self.abandoned = 0
        self.work_s = WORK_S
        self.loses_answers = False

    async def start(self):
        self.server = await start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        with suppress(EOFError, ConnectionError, CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                fields = dict(line.split(": ", 1) for line in lines[1:] if line)
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                self.ran.append(fields["id"])
                self.accounts[fields["id"]] = fields.get("account")
                if not await self._work(reader):
                    break
                if self.loses_answers:
                    writer.transport.abort()
                    break
                answer = f"HTTP/1.1 200 X\r\nid: {fields['id']}\r\nby: {self.name}\r\n"
                answer += f"content-length: {len(body)}\r\n\r\n"
                writer.write(answer.encode() + body)
        writer.close()

    async def _work(self, reader):
        """Return False if the connection ends before the work does."""
        ends_at = monotonic() + self.work_s
        while monotonic() < ends_at:
            await sleep(min(0.01, self.work_s))
            if reader.at_eof() or reader.exception() is not None:
                self.abandoned += 1
                return False
        return True


class Path:
    """The way from one instance to one upstream: a proxy that can be cut."""

    def __init__(self, upstream):
        self._upstream = upstream
        self._passes = Event()
        self._passes.set()
        self._writers = set()
        self._blocked = []
        self.port = find_fixed_port()

    async def start(self):
        self._server = await start_server(self._relay, "127.0.0.1", self.port)

    async def cut(self, connects, connections):
        """Let connects hang, be refused or reset; connections hang, be reset, live."""
        if connections == "hang":
            self._passes.clear()
        if connections == "reset":
            for writer in self._writers:
                reset(writer)
        self._resets = connects == "reset"
        if connects == "reset":
            return
        # Keeps the connections that were accepted before.
        self._server.close()
        if connects == "hang":
            self._block()

    async def heal(self):
        for blocked in self._blocked:
            blocked.close()
        self._blocked = []
        self._passes.set()
        self._resets = False
        if not self._server.is_serving():
            await self.start()

    def close(self):
        self._server.close()
        for blocked in self._blocked:
            blocked.close()
        for writer in self._writers:
            writer.close()

    _resets = False

    def _block(self):
        """Listen with a full queue, so that the kernel drops further connects."""
        listener = socket()
        listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.port))
        listener.listen(0)
        self._blocked.append(listener)
        for _ in range(3):
            filler = socket()
            filler.setblocking(False)
            with suppress(BlockingIOError):
                filler.connect(("127.0.0.1", self.port))
            self._blocked.append(filler)

    async def _relay(self, reader, writer):
        if self._resets:
            reset(writer)
            return
        upstream_reader, upstream_writer = await open_connection(
            "127.0.0.1", self._upstream.port
        )
        writers = {writer, upstream_writer}
        self._writers |= writers
        with suppress(ConnectionError, CancelledError):
            await gather(
                self._pump(reader, upstream_writer),
                self._pump(upstream_reader, writer),
            )
        self._writers -= writers
        for ended in writers:
            ended.close()

    async def _pump(self, reader, writer):
        while data := await reader.read(65536):
            await self._passes.wait()
            writer.write(data)
        await self._passes.wait()
        writer.close()


def reset(writer):
    raw = writer.get_extra_info("socket")
    if raw is not None and not writer.is_closing():
        raw.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
        writer.transport.abort()


class PathPools(UpstreamPools):
    """Pools whose connections pass through the paths of one instance."""

    def __init__(self, settings, paths):
        super().__init__(settings)
        self._paths = paths

    async def open(self, record, timeout_s):
        path = self._paths[record.id]
        return await super().open(replace(record, port=path.port), timeout_s)


class WaitingClient(MemoryClient):
    """Store client whose calls for changes wait for one."""

    async def watch(self, table, after, wait_s):
        if self._store.version == after:
            with suppress(TimeoutError):
                async with timeout(wait_s):
                    await self._store.changed.wait()
        return await super().watch(table, after, wait_s)

    def close(self):
        pass


class RowReader(PlainReader):
    """Reads the upstreams and the plan of the test."""

    def __init__(self, records, plan):
        self._records = records
        self._plan = plan

    def read_configuration(self, row):
        return self._plan

    def read_upstream(self, row):
        return self._records.get(row.key)


@dataclass
class Served:
    """Outcomes of the first attempts at one instance."""

    statuses: list = field(default_factory=list)
    verdicts: dict = field(default_factory=dict)

    @property
    def total(self):
        return len(self.statuses)

    @property
    def count(self):
        return self.statuses.count(200)


class CutSystem:
    """Two instances, the upstreams of three data centres, and the paths to them."""

    def __init__(self, plan):
        self.plan = plan
        self.upstreams = [
            Upstream(f"{data_centre}{number}")
            for data_centre in DATA_CENTRES
            for number in range(2)
        ]
        self.store = MemoryStore()
        self.paths = {}
        self.instances = {}

    async def start(self):
        for upstream in self.upstreams:
            await upstream.start()
        self.records = {
            upstream.name: make_record(
                upstream.name, port=upstream.port, data_centre=upstream.name[0]
            )
            for upstream in self.upstreams
        }
        self.records = {
            name: replace(record, slots=50) for name, record in self.records.items()
        }
        for name in self.records:
            self.store.put("upstreams", name, b"")
        self.store.put("operator", "config", b"")
        for name in ("whole", "cut"):
            await self._add(name)
        await wait_for(lambda: all(i.is_ready for i in self.instances.values()), 8.0)

    async def _add(self, name):
        settings = replace(
            make_settings(name, find_fixed_port()),
            front_port=find_fixed_port(),
            ready_port=find_fixed_port(),
            metrics_port=find_fixed_port(),
        )
        self.paths[name] = {
            upstream.name: Path(upstream) for upstream in self.upstreams
        }
        for path in self.paths[name].values():
            await path.start()
        grants = MemoryGrants(
            {
                upstream.name: MemoryUpstream(upstream.name)
                for upstream in self.upstreams
            }
        )
        platform = Platform(
            store=WaitingClient(self.store, name),
            reader=RowReader(self.records, self.plan),
            grants=grants,
            header_codec=PlainDialect(),
        )
        instance = DirectInstance(
            settings,
            platform,
            "/ready",
            PathPools(settings.send, self.paths[name]),
        )
        await instance.start()
        self.instances[name] = instance

    def introduce_relay(self, relay="whole", member="cut"):
        """Do what the coordinator's notice does, which names no relays from then on."""
        for instance in self.instances.values():
            if instance.follower.coordinator is not None:
                members = instance.follower.coordinator._members
                members.choose_relays = lambda name, now: []
        address = self.instances[relay].view.relay_fact.address
        if address:
            self.instances[member].view.relays = (address,)

    async def cut(self, connects, connections, name="cut"):
        for path in self.paths[name].values():
            await path.cut(connects, connections)

    async def heal(self, name="cut"):
        for path in self.paths[name].values():
            await path.heal()

    async def call(self, name, request_id, remaining_s=1.0, body=b"filing", more=()):
        """Send one request to an instance on a new connection."""
        headers = [("host", "a.example"), ("id", request_id), *more]
        headers += [("left-s", str(remaining_s)), ("key", "7")]
        request = HttpRequest("POST", "/x", tuple(headers), body)
        port = self.instances[name]._settings.front_port
        connection = await HttpConnection.open("127.0.0.1", port, 1.0)
        try:
            return await connection.exchange(request, remaining_s + 0.5)
        finally:
            connection.close()

    async def send_for(self, duration_s, name, prefix, rate=25.0):
        """Send requests at a steady rate, and return their outcomes."""
        served, tasks = Served(), []
        began_at = monotonic()

        async def send_one(request_id):
            try:
                answer = await self.call(name, request_id)
            except ExchangeError:
                served.statuses.append(0)
                return
            served.statuses.append(answer.status)
            verdict = find_header(answer.headers, "verdict")
            served.verdicts[request_id] = verdict

        for number in range(int(duration_s * rate)):
            tasks.append(create_task(send_one(f"{prefix}-{name}-{number}")))
            await sleep(max(0.0, began_at + (number + 1) / rate - monotonic()))
        await gather(*tasks)
        return served

    def count_runs(self, request_id):
        return sum(upstream.ran.count(request_id) for upstream in self.upstreams)

    async def close(self):
        for instance in self.instances.values():
            instance.close()
        for paths in self.paths.values():
            for path in paths.values():
                path.close()
        for upstream in self.upstreams:
            upstream.server.close()


@asynccontextmanager
async def run_cut_system(**plan_fields):
    system = CutSystem(make_plan(**{"keyed": False, **plan_fields}))
    try:
        await system.start()
        yield system
    finally:
        await system.close()
