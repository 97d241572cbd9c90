"""Stand-ins for the scripts of this review: platform store, endpoints and clients.

Only the standard library is used. The router runs as separate processes with the
command of the deploy file; the stand-ins run in the process of the script.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from contextlib import suppress
from itertools import pairwise
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

__all__ = [
    "Client",
    "Endpoint",
    "Load",
    "Operator",
    "Record",
    "Router",
    "Store",
    "System",
    "choose_host",
    "find_given_at_work",
    "find_overlaps",
]

ROOT = Path(__file__).resolve().parents[2]
KEYS = 65536
HOST_NAME = "review.example"
READY_TARGET = "/plantaincart/readiness"
# Milliseconds between two entries of an endpoint.
HEARTBEAT_MS = 870
REASONS = {
    200: "OK",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
}


def choose_host(ports, tries=200):
    """Return a loopback address on which all of some ports are free."""
    for _ in range(tries):
        numbers = [random.randint(20, 250) for _ in range(3)]
        host = f"127.{numbers[0]}.{numbers[1]}.{numbers[2]}"
        sockets = []
        try:
            for port in ports:
                probe = socket.socket()
                sockets.append(probe)
                probe.bind((host, port))
            return host
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise SystemExit(2)


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._path = Path(path)
        self._path.write_text("")
        self.started_at = time.monotonic()

    def write(self, text):
        """Write one line."""
        with self._path.open("a") as file:
            file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")


async def read_message(reader):
    """Read one HTTP request; return None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                break
            body += part[:-2]
    else:
        try:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return lines[0], headers, body


def make_answer(status, headers=(), body=b""):
    """Encode an HTTP answer."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: tables of rows, transactions and a feed."""

    def __init__(self, record):
        self.rows, self.history, self.version = {}, [], 0
        self.record = record
        # How calls are treated, by the address of the caller: "silent" or None.
        self.treatment = lambda peer: None
        self._changed = asyncio.Event()
        self._writers = set()
        # Number of times that the store was restored, and copies of its contents.
        self.era, self._copies = 0, []

    async def start(self, host):
        """Listen on a free port, and take copies from now on."""
        self._copying = asyncio.create_task(self._take_copies())
        server = await asyncio.start_server(self._serve, host, 0, limit=1 << 22)
        self.host, self.port = host, server.sockets[0].getsockname()[1]
        self.address = f"{host}:{self.port}"

    def put(self, table, key, value):
        """Write a row, as operators and endpoints do."""
        self._commit([(table, key, value)])

    def delete(self, table, key):
        """Remove a row if there is one."""
        if (table, key) in self.rows:
            self._commit([(table, key, None)])

    def get(self, table, key):
        """Return the value of a row as bytes, or None."""
        row = self.rows.get((table, key))
        return None if row is None else row[0]

    async def _take_copies(self):
        while True:
            copy = (time.monotonic(), dict(self.rows), list(self.history), self.version)
            self._copies.append(copy)
            del self._copies[:-100]
            await asyncio.sleep(0.2)

    def restore(self, at):
        """Come back from the copy of a time, in the next era."""
        copy = max(copy for copy in self._copies if copy[0] <= at)
        self.era += 1
        age_s = time.monotonic() - copy[0]
        self.record.write(f"store restored, {age_s:.1f} s old, era {self.era}")
        self.rows, self.history, self.version = dict(copy[1]), list(copy[2]), copy[3]
        for writer in list(self._writers):
            writer.transport.abort()
        self._changed.set()
        self._changed = asyncio.Event()

    def _commit(self, changes):
        self.version += 1
        for table, key, value in changes:
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = (value, self.version)
            self.history.append((self.version, table, key, value))
        del self.history[:-20000]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        self._writers.add(writer)
        try:
            while message := await read_message(reader):
                line, _, body = message
                method, target, _ = line.split(" ")
                if self.treatment(peer) == "silent":
                    await asyncio.sleep(3600)
                status, answer = await self._answer(method, target, body)
                if self.treatment(peer) == "silent":
                    await asyncio.sleep(3600)
                writer.write(
                    make_answer(
                        status,
                        [
                            ("Content-Type", "application/json"),
                            ("Store-Era", str(self.era)),
                        ],
                        json.dumps(answer).encode(),
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, method, target, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        base = {"nowMs": int(time.monotonic() * 1000)}
        if url.path == "/plantaincart/rows-tx":
            call = json.loads(body)
            for row in call.get("expectedRev", []):
                present = self.rows.get((row["table"], row["key"]), (None, 0))[1]
                if present != row["resourceVersion"]:
                    return 412, {**base, "rows": [], "resourceVersion": self.version}
            changes = [
                (row["table"], row["key"], base64.b64decode(row["value"]))
                for row in call.get("setKeys", [])
            ]
            changes += [
                (row["table"], row["key"], None) for row in call.get("deleteKeys", [])
            ]
            await asyncio.sleep(0.003)
            self._commit(changes)
            return 200, {**base, "resourceVersion": self.version}
        if url.path == "/plantaincart/rows-get":
            rows = sorted(
                (key, value)
                for (table, key), value in self.rows.items()
                if table == query["table"] and key >= query.get("from", "")
            )
            return 200, {
                **base,
                "resourceVersion": self.version,
                "rows": [
                    self._describe(query["table"], key, value[0], value[1])
                    for key, value in rows[:500]
                ],
                "hasMore": len(rows) > 500,
            }
        if url.path == "/plantaincart/rows-feed":
            after, ends = int(query["after"]), time.monotonic()
            ends += int(query.get("waitMs", 0)) / 1000
            if after > self.version:
                return 410, base
            while True:
                changed = {}
                for version, table, key, value in self.history:
                    if version > after and table == query["table"]:
                        changed[key] = (version, value)
                left = ends - time.monotonic()
                if changed or left <= 0:
                    break
                with suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left)
            rows = [
                self._describe(query["table"], key, value, version)
                for key, (version, value) in sorted(
                    changed.items(), key=lambda item: item[1][0]
                )
            ]
            return 200, {**base, "resourceVersion": self.version, "rows": rows}
        return 404, base

    @staticmethod
    def _describe(table, key, value, version):
        row = {"table": table, "part": "", "key": key, "resourceVersion": version}
        if value is None:
            return {**row, "deleted": True}
        return {**row, "value": base64.b64encode(value).decode()}


class Operator:
    """Writes the desired state."""

    def __init__(self, store):
        self.store, self.version = store, 0

    def configure(self, services, routes):
        """Write a desired state with keyed or plain services, and routes."""
        self.version += 3
        resources = []
        for name, keyed in services.items():
            spec = {
                "healthPath": "/health",
                "maxConns": 130,
                "warmupS": 0.0,
                "warmupPerS": 100.0,
                "sharded": keyed,
                "warmS": 0.0,
            }
            resources.append(
                {"entryKind": "services", "metadata": {"name": name}, "spec": spec}
            )
        for name, service, kind in routes:
            spec = {
                "host": HOST_NAME,
                "prefix": f"/{name}/",
                "kind": kind,
                "timeoutMs": 5000,
                "targetLatencyMs": 800,
                "priority": 1,
                "service": service,
                "maxAttempts": 2,
            }
            resources.append(
                {"entryKind": "routes", "metadata": {"name": name}, "spec": spec}
            )
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1048576,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        resources.append(
            {"entryKind": "limits", "metadata": {"name": ""}, "spec": limits}
        )
        body = {"version": f"r{self.version}", "resources": resources}
        self.store.put("op", "config", json.dumps(body).encode())


class Endpoint:
    """A sound endpoint of a service, which may own keys."""

    def __init__(self, store, record, name, service, zone, keyed, work_s=0.02):
        self.store, self.record = store, record
        self.id, self.service, self.zone = name, service, zone
        self.keyed, self.work_s = keyed, work_s
        self.born = int(time.time() * 1000)
        self.seq, self.state = 0, "ready"
        self.fences, self.until = [0] * KEYS, [0.0] * KEYS
        # Holds by accepted grants: [first, last, fence, since, until].
        self.holds = []
        # Requests that were run: (id, method, target, key, begun, ended).
        self.runs = []
        self.running = {}
        self.is_up, self.reports = True, True
        self._ended = asyncio.Event()
        self._writers, self._tasks = set(), []

    async def start(self, host, port=0):
        """Listen, and write the entry regularly."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.host, self.port = host, self._server.sockets[0].getsockname()[1]
        self._tasks.append(asyncio.create_task(self._report()))

    def entry(self):
        """Return the entry of this endpoint in the store."""
        return {
            "address": f"{self.host}:{self.port}",
            "born": self.born,
            "info": {
                "service": self.service,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
            },
            "status": {"state": self.state, "seq": self.seq, "warmupLeftMs": 0},
        }

    async def _report(self):
        while True:
            if self.reports:
                self.seq += 1
                value = json.dumps(self.entry()).encode()
                self.store.put("servers", self.id, value)
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def crash(self):
        """End at once: connections are reset, and nothing is held any more."""
        self.is_up = False
        self.record.write(f"{self.id} crashes")
        for task in self._tasks:
            task.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._end_holds(0, KEYS - 1)
        self.until = [0.0] * KEYS

    def holds_key(self, key):
        """Return whether this endpoint holds a key now."""
        return self.until[key] > time.monotonic()

    def _end_holds(self, first, last):
        now = time.monotonic()
        ended = []
        for hold in self.holds:
            low, high, fence, since, until = hold
            if until <= now or high < first or low > last:
                ended.append(hold)
                continue
            if low < first:
                ended.append([low, first - 1, fence, since, until])
            if high > last:
                ended.append([last + 1, high, fence, since, until])
            ended.append([max(low, first), min(high, last), fence, since, now])
        self.holds = ended

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while message := await read_message(reader):
                answer = await self.answer(*message)
                if answer is None or not self.is_up:
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def answer(self, line, headers, body):
        """Answer a call; None ends the connection."""
        method, target, _ = line.split(" ")
        path = urlsplit(target).path
        base = [("Plantaincart-Instance-Id", self.id)]
        attempt = headers.get("plantaincart-attempt-id")
        if attempt:
            base.append(("Plantaincart-Attempt-Id", attempt))
        expected = headers.get("plantaincart-expect-instance", self.id)
        if expected != self.id:
            return make_answer(421, [*base, ("Plantaincart-Not-Executed", "1")])
        if path == "/plantaincart/grant":
            return make_answer(self._grant(json.loads(body)), base)
        if path == "/plantaincart/release":
            return await self._release(json.loads(body), base)
        if path == "/health":
            return make_answer(200 if self.state == "ready" else 503, base)
        return await self.run(method, target, headers, body, base)

    def _grant(self, call):
        first, last, fence = call["from"], call["to"], call["fence"]
        if max(self.fences[first : last + 1]) > fence:
            self.record.write(f"{self.id} refuses grant {first}-{last} fence {fence}")
            return 409
        now = time.monotonic()
        until = now + call["holdMs"] / 1000
        fresh = any(
            known != fence or end <= now
            for known, end in zip(
                self.fences[first : last + 1], self.until[first : last + 1], strict=True
            )
        )
        count = last - first + 1
        self.fences[first : last + 1] = [fence] * count
        self.until[first : last + 1] = [until] * count
        self._end_holds(first, last)
        self.holds.append([first, last, fence, now, until])
        if fresh:
            self.record.write(f"{self.id} is granted {first}-{last} fence {fence}")
        return 200

    async def _release(self, call, base):
        first, last, fence = call["from"], call["to"], call["fence"]
        for key in range(first, last + 1):
            self.fences[key] = max(self.fences[key], fence)
            self.until[key] = 0.0
        self._end_holds(first, last)
        self.record.write(f"{self.id} releases {first}-{last} fence {fence}")
        while any(first <= key <= last for key in self.running.values()):
            await self._ended.wait()
        return make_answer(200, [*base, ("Plantaincart-Handover", "5c0e7a21")])

    async def run(self, method, target, headers, body, base):
        """Run a request, or reject it with 421 if its key isn't held."""
        key = int(headers.get("plantaincart-shard-key", "-1"))
        attempt = headers.get("plantaincart-attempt-id", "")
        if self.keyed and not self.holds_key(key):
            return make_answer(421, [*base, ("Plantaincart-Not-Executed", "1")])
        begun = time.monotonic()
        token = object()
        self.running[token] = key
        self.record.write(f"{self.id} runs {attempt} {method} {target} key {key}")
        try:
            await asyncio.sleep(self.work_s)
        finally:
            del self.running[token]
            self._ended.set()
            self._ended = asyncio.Event()
            ended = time.monotonic()
            self.runs.append((attempt, method, target, key, begun, ended))
        payload = json.dumps({"by": self.id, "attempt": attempt}).encode()
        signature = f"{len(payload):x}.{abs(hash(payload)) & 0xFFFFFFFF:x}"
        return make_answer(
            200,
            [
                *base,
                ("Plantaincart-Response-Signature", signature),
                ("Plantaincart-Server-Load", f"{len(self.running)},0,8"),
            ],
            payload,
        )


class Router:
    """One process of the router, with the command of the deploy file."""

    FRONT, READY, PEERS, METRICS = 8144, 8140, (7660, 7675), 9464

    def __init__(self, system, name, zone):
        self.system, self.name, self.zone = system, name, zone
        ports = [self.FRONT, self.READY, *self.PEERS, self.METRICS]
        self.host = choose_host(ports)
        self.process = None

    async def stop(self, grace_s=6.0):
        """Stop the process as the platform does: SIGTERM, then SIGKILL."""
        self.signal(signal.SIGTERM)
        ends_at = time.monotonic() + grace_s
        for _ in range(int(grace_s / 0.05)):
            if self.process.poll() is not None or time.monotonic() >= ends_at:
                break
            await asyncio.sleep(0.05)
        self.signal(signal.SIGKILL)
        self.process.wait()

    def start(self):
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["router"]
        path = self.system.folder / f"{self.name}.conf"
        path.write_text(self._render((ROOT / role["template"]).read_text()))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["PLANTAINCART_BOOT"] = str(path)
        with (self.system.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _render(self, template):
        values = {
            "node": self.name,
            "zone": self.zone,
            "ip": self.host,
            "listen.front": f"{self.host}:{self.FRONT}",
            "listen.ready": f"{self.host}:{self.READY}",
            "portRange": f"{self.PEERS[0]},{self.PEERS[1]}",
            "platform.address": self.system.store.address,
            "bounds.drainMs": 2000,
            "bounds.configMs": 2000,
            "bounds.evacuateMs": 5000,
            "bounds.graceS": 6,
            "bounds.retryBudgetRatio": 0.2,
            "bounds.budgetExtra": 62,
            "bounds.budgetWindowS": 10,
            "bounds.warmupOverage": 1.5,
            "bounds.warmupExtra": 5,
            "bounds.holdMaxMs": 10000,
            "limits.cores": 1,
            "limits.cpuShare": 0.86,
            "limits.linkMbps": 1000.0,
            "limits.memoryMb": 300,
        }
        return re.sub(
            r"\{\{([^}]*)\}\}", lambda found: str(values.get(found[1], "")), template
        )

    def signal(self, number):
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self):
        """Return whether the process says that it is ready."""
        answer = await Client(self.host, self.READY).call("GET", READY_TARGET, wait_s=1)
        return answer is not None and answer[0] == 200

    async def is_coordinator(self):
        """Return whether the metrics name this process as the coordinator."""
        answer = await Client(self.host, self.METRICS).call("GET", "/metrics", wait_s=1)
        return answer is not None and b"plantaincart_coordinator 1.0" in answer[2]


class Client:
    """A client that opens a connection for each request."""

    def __init__(self, host, port=Router.FRONT):
        self.host, self.port = host, port

    async def call(self, method, target, headers=(), body=b"", wait_s=5.0):
        """Return status, headers and body; None without a complete answer."""
        try:
            async with asyncio.timeout(wait_s):
                reader, writer = await asyncio.open_connection(self.host, self.port)
                try:
                    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST_NAME}"]
                    lines += [f"{name}: {value}" for name, value in headers]
                    if body or method in ("POST", "PUT"):
                        lines.append(f"Content-Length: {len(body)}")
                    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                    message = await read_message(reader)
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError):
            return None
        if message is None:
            return None
        return int(message[0].split(" ")[1]), message[1], message[2]


class System:
    """Store, operator, endpoints and router processes of one run."""

    def __init__(self, record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(record)
        self.operator = Operator(self.store)
        self.endpoints, self.routers = [], []

    async def start_routers(self, count, zones=("zone-a", "zone-b")):
        """Start router processes and wait until all are ready."""
        for number in range(count):
            router = Router(self, f"edge-{number}", zones[number % len(zones)])
            self.routers.append(router)
            router.start()
        await self.wait_ready(self.routers)

    async def wait_ready(self, routers, limit_s=25.0):
        """Wait until processes are ready; end with 2 if they aren't in time."""
        ends_at = time.monotonic() + limit_s
        while time.monotonic() < ends_at:
            if all([await router.is_ready() for router in routers]):
                return
            await asyncio.sleep(0.1)
        self.record.write("the system didn't get ready")
        raise SystemExit(2)

    async def find_coordinator(self, limit_s=10.0):
        """Return the process that is the coordinator."""
        ends_at = time.monotonic() + limit_s
        while time.monotonic() < ends_at:
            for router in self.routers:
                if router.process.poll() is None and await router.is_coordinator():
                    return router
            await asyncio.sleep(0.1)
        raise SystemExit(2)

    def close(self):
        """End all processes that were started."""
        for router in self.routers:
            if router.process is not None:
                router.signal(signal.SIGCONT)
                router.signal(signal.SIGKILL)
                router.process.wait()


def find_overlaps(endpoints, least_s):
    """List keys that two endpoints held at the same time for longer than `least_s`.

    Returns tuples of first key, last key, both endpoints, begin and duration. Renewals
    continue a hold.
    """
    bounds = {0, KEYS}
    for endpoint in endpoints:
        for first, last, *_ in endpoint.holds:
            bounds |= {first, last + 1}
    bounds = sorted(bounds)
    found = []
    for first, after in pairwise(bounds):
        spans = []
        for endpoint in endpoints:
            held = sorted(
                (hold[3], hold[4])
                for hold in endpoint.holds
                if hold[0] <= first and after - 1 <= hold[1] and hold[4] > hold[3]
            )
            merged = []
            for since, until in held:
                if merged and since <= merged[-1][1]:
                    merged[-1][1] = max(merged[-1][1], until)
                else:
                    merged.append([since, until])
            spans += [(since, until, endpoint.id) for since, until in merged]
        for number, one in enumerate(spans):
            for other in spans[:number]:
                since, until = max(one[0], other[0]), min(one[1], other[1])
                if one[2] != other[2] and until - since > least_s:
                    found.append(
                        (first, after - 1, other[2], one[2], since, until - since)
                    )
    return found


def find_given_at_work(endpoints):
    """List keys that one endpoint was given while another one was at work on them.

    Returns tuples of the request, its key, both endpoints and the seconds that were
    left of the run.
    """
    found = []
    for worker in endpoints:
        for attempt, _, _, key, begun, ended in worker.runs:
            for other in endpoints:
                if other is worker:
                    continue
                for first, last, _, since, _ in other.holds:
                    if first <= key <= last and begun < since < ended:
                        found.append((attempt, key, worker.id, other.id, ended - since))
    return found


class Load:
    """Clients that send requests on random keys to random processes."""

    def __init__(self, system, routes, per_s=25.0, deadline_ms=4000):
        self.system, self.routes = system, routes
        self.per_s, self.deadline_ms = per_s, deadline_ms
        self.answers = {}
        self._tasks, self._number = set(), 0

    async def run(self, seconds):
        """Send requests for some time, and wait for their ends."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            self._number += 1
            task = asyncio.create_task(self._send(self._number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1.0 / self.per_s)
        if self._tasks:
            await asyncio.wait(set(self._tasks))

    async def _send(self, number):
        route, kind = random.choice(self.routes)
        method = "POST" if kind == "unsafe" else "GET"
        routers = [r for r in self.system.routers if r.process.poll() is None]
        router, key = random.choice(routers), random.randrange(KEYS)
        attempt = f"a{number}"
        headers = [
            ("Plantaincart-Attempt-Id", attempt),
            ("Plantaincart-Deadline-Ms", str(self.deadline_ms)),
            ("Plantaincart-Shard-Key", str(key)),
        ]
        record = self.system.record
        record.write(
            f"client sends {attempt} {method} {route} key {key} to {router.name}"
        )
        answer = await Client(router.host).call(
            method,
            f"/{route}/{number}",
            headers,
            b"{}" if method == "POST" else b"",
            self.deadline_ms / 1000 + 1,
        )
        status = None if answer is None else answer[0]
        self.answers[attempt] = status
        record.write(f"client gets {attempt}: {status}")
