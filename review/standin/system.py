"""A small deployment: routers as processes of their own, and stand-ins for the rest."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from standin.endpoint import Endpoint
from standin.store import Store
from standin.wire import call, serve

ROOT = Path(__file__).resolve().parents[2]
FRONT, READY, METRICS, PEER, STORE_PORT, ENDPOINT_PORT = (
    8144,
    8140,
    9464,
    7660,
    8142,
    8080,
)
ZONES = ["svea-a", "svea-b"]
SHARDED, PLAIN, HOST = "huvo11a", "wuno96b", "ficu95.example"
ROUTES = {"look": SHARDED, "file": SHARDED, "check": PLAIN, "pay": PLAIN}
SAFE_ROUTES = ("look", "check")
# Settings as on the pages' example of a machine.
BOUNDS = {
    "drainMs": 2000,
    "configMs": 2000,
    "evacuateMs": 5000,
    "graceS": 6,
    "retryBudgetRatio": 0.2,
    "budgetExtra": 62,
    "budgetWindowS": 10,
    "warmupOverage": 1.5,
    "warmupExtra": 5,
    "holdMaxMs": 10000,
}
LIMITS = {"cores": 1, "cpuShare": 0.86, "linkMbps": 1000.0, "memoryMb": 300}
RESTART_S = 1.0


class CannotRunError(Exception):
    """The case couldn't be run."""


def choose_network():
    """Choose a loopback network 127.x.y.0 whose addresses are free."""
    for _ in range(200):
        prefix = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        try:
            for last, port in ((1, STORE_PORT), (11, FRONT), (12, FRONT), (31, 8080)):
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.{last}", port))
            return prefix
        except OSError:
            continue
    raise CannotRunError("no free loopback addresses")


class System:
    """
    Store, endpoints and clients in this process, and routers as processes.

    All that is sent, answered and run is kept in `events`, with the seconds since the
    start.
    """

    def __init__(self, routers=3, sharded=6, plain=0):
        self.events = []
        self.started_at = time.monotonic()
        self.network = choose_network()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.names = [f"edge-{ZONES[i % 2]}-{i // 2 + 1}" for i in range(routers)]
        self.hosts = {
            name: f"{self.network}.{11 + i}" for i, name in enumerate(self.names)
        }
        self.processes = {}
        self.wanted = set()
        self.endpoints = {}
        self._services = [SHARDED] * sharded + [PLAIN] * plain
        self._lives = {}
        self._tasks = []
        self._servers = []
        self.exits = []

    def log(self, kind, **fields):
        """Record an event."""
        at = time.monotonic() - self.started_at
        if "until" in fields:
            fields["until"] -= self.started_at
        self.events.append({"at": round(at, 4), "kind": kind, **fields})

    @property
    def now(self):
        """Seconds since the start."""
        return time.monotonic() - self.started_at

    async def start(self):
        """Start store, endpoints and routers."""
        run = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][
            "router"
        ]
        self._command, self._template = run["run"].split(), run["template"]
        if not (ROOT / "target/deps/plantaincart_platform").is_dir():
            raise CannotRunError(
                "target/deps is missing: run the build of the deploy file"
            )
        host = f"{self.network}.1"
        self._servers.append(await serve(host, STORE_PORT, self.store.handle))
        self.store.change([("op", "config", json.dumps(make_configuration()).encode())])
        for i, service in enumerate(self._services):
            endpoint = Endpoint(
                f"i-{random.getrandbits(40):010x}",
                service,
                ZONES[i % 2],
                f"{self.network}.{31 + i}",
                ENDPOINT_PORT,
                self.store,
                self.log,
                service == SHARDED,
            )
            self.endpoints[endpoint.id] = endpoint
            await self._start_endpoint(endpoint)
        for name in self.names:
            self.start_router(name)
        self._tasks.append(asyncio.create_task(self._keep_running()))

    async def _start_endpoint(self, endpoint):
        server = await serve(endpoint.host, endpoint.port, endpoint.handle)
        self._lives[endpoint.id] = server, asyncio.create_task(endpoint.announce())

    async def restart_endpoint(self, endpoint, down_s):
        """Crash an endpoint, and start it again under its id at its address."""
        server, announcing = self._lives[endpoint.id]
        announcing.cancel()
        server.end()
        self.log("crashed", endpoint=endpoint.id)
        await asyncio.sleep(down_s)
        endpoint.begin_life()
        self.log("restarted", endpoint=endpoint.id, born=endpoint.born)
        await self._start_endpoint(endpoint)

    def start_router(self, name):
        """Start a router with the command of the deploy file."""
        host = self.hosts[name]
        fields = {
            "node": name,
            "zone": name[5:11],
            "ip": host,
            "portRange": f"{PEER},{PEER + 15}",
            "listen.front": f"{host}:{FRONT}",
            "listen.ready": f"{host}:{READY}",
            "platform.address": f"{self.network}.1:{STORE_PORT}",
        }
        fields |= {f"bounds.{key}": value for key, value in BOUNDS.items()}
        fields |= {f"limits.{key}": value for key, value in LIMITS.items()}
        text = re.sub(
            r"\{\{([^}]*)\}\}",
            lambda match: str(fields.get(match[1], "")),
            (ROOT / self._template).read_text(),
        )
        path = self.folder / f"{name}.conf"
        path.write_text(text)
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PLANTAINCART_BOOT": str(path),
        }
        output = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            self._command,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
        )
        self.wanted.add(name)
        self.log("router-started", router=name)

    def kill_router(self, name):
        """Kill a router; the platform starts it again after a short delay."""
        process = self.processes[name]
        if process.poll() is None:
            process.kill()
            process.wait()
        self.log("router-killed", router=name)

    def stop_router(self, name):
        """Stop a router as planned; the platform starts it again after its end."""
        self.processes[name].send_signal(signal.SIGTERM)
        self.log("router-stopping", router=name)

    async def find_coordinators(self):
        """Return the routers whose metrics say that they are the coordinator."""
        found = []
        for name, host in self.hosts.items():
            answer = await call(host, METRICS, "GET", "/metrics", {"Host": "metrics"})
            if answer and b"\nplantaincart_coordinator 1" in answer[2]:
                found.append(name)
        return found

    async def cut_endpoint(self, endpoint, seconds):
        """Partition an endpoint from all routers; its process and its holds go on."""
        server, announcing = self._lives[endpoint.id]
        server.end()
        self.log("cut-off", endpoint=endpoint.id)
        await asyncio.sleep(seconds)
        server = await serve(endpoint.host, endpoint.port, endpoint.handle)
        self._lives[endpoint.id] = server, announcing
        self.log("reached-again", endpoint=endpoint.id)

    async def _keep_running(self):
        while True:
            await asyncio.sleep(0.1)
            for name in list(self.wanted):
                if self.processes[name].poll() is not None:
                    self.exits.append(
                        (round(self.now, 2), name, self.processes[name].returncode)
                    )
                    self.wanted.discard(name)
                    asyncio.get_running_loop().call_later(
                        RESTART_S, self.start_router, name
                    )

    async def is_ready(self, name):
        """Ask a router whether it is ready, as the platform does."""
        answer = await call(
            self.hosts[name],
            READY,
            "GET",
            "/plantaincart/readiness",
            {"Host": "ready"},
            timeout_s=1.0,
        )
        return answer is not None and answer[0] == 200

    async def wait_ready(self, limit_s):
        """Wait until all routers are ready; return whether they are."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            ready = [await self.is_ready(name) for name in self.names]
            if all(ready):
                return True
            await asyncio.sleep(0.2)
        return False

    async def send(self, route, key=None, name=None, deadline_ms=2000):
        """Send one request to a router, and record what became of it."""
        method = "GET" if route in SAFE_ROUTES else "POST"
        name = name or random.choice(self.names)
        key = random.randrange(65536) if key is None else key
        attempt = f"{random.getrandbits(64):016x}"
        headers = {
            "Host": HOST,
            "Plantaincart-Attempt-Id": attempt,
            "Plantaincart-Deadline-Ms": str(deadline_ms),
            "Plantaincart-Shard-Key": str(key),
        }
        self.log("sent", attempt=attempt, method=method, key=key, router=name)
        answer = await call(
            self.hosts[name],
            FRONT,
            method,
            f"/{route}/2f",
            headers,
            b"" if method == "GET" else b"{}",
            timeout_s=deadline_ms / 1000 + 1.0,
        )
        status = 0 if answer is None else answer[0]
        self.log("answered", attempt=attempt, status=status)
        return status

    async def load(self, seconds, per_s=40.0, routes=("file", "look")):
        """Send requests at a rate, on the routes in turn, and await their answers."""
        end, tasks, number = time.monotonic() + seconds, set(), 0
        started_at = time.monotonic()
        while time.monotonic() < end:
            route = routes[number % len(routes)]
            tasks.add(asyncio.create_task(self.send(route)))
            number += 1
            await asyncio.sleep(
                max(0.0, started_at + number / per_s - time.monotonic())
            )
        await asyncio.gather(*tasks)

    def count_served(self, since, until):
        """Count the requests sent in a time, and those of them that were served."""
        sent = {
            e["attempt"]
            for e in self.events
            if e["kind"] == "sent" and since <= e["at"] < until
        }
        served = sum(
            1
            for e in self.events
            if e["kind"] == "answered" and e["status"] == 200 and e["attempt"] in sent
        )
        return len(sent), served

    def close(self):
        """End all processes and remove the temporary folder."""
        for task in self._tasks:
            task.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
                process.wait()
        for server, announcing in self._lives.values():
            announcing.cancel()
            server.end()
        for server in self._servers:
            server.close()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def write_record(self, path, lines):
        """Write the summary and all events."""
        with open(path, "w") as record:
            for line in lines:
                record.write(f"# {line}\n")
            for event in self.events:
                fields = " ".join(f"{key}={value}" for key, value in event.items())
                record.write(fields + "\n")


def make_configuration():
    """Return a desired state with safe and unsafe routes to two services."""
    resources = [
        {
            "entryKind": "routes",
            "metadata": {"name": name},
            "spec": {
                "host": HOST,
                "prefix": f"/{name}/",
                "kind": "safe" if name in SAFE_ROUTES else "unsafe",
                "timeoutMs": 2000,
                "targetLatencyMs": 600,
                "priority": 1,
                "service": service,
                "maxAttempts": 2,
            },
        }
        for name, service in ROUTES.items()
    ]
    service = {
        "healthPath": "/health",
        "maxConns": 130,
        "protocol": "h1",
        "tls": False,
        "warmupS": 3.0,
        "warmupPerS": 3.1,
    }
    own_keys = {"sharded": True, "warmS": 3.0, "grants": "unary"}
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    for kind, name, spec in (
        ("services", SHARDED, service | own_keys),
        ("services", PLAIN, service),
        ("limits", "", limits),
    ):
        resources.append({"entryKind": kind, "metadata": {"name": name}, "spec": spec})
    return {"version": "r7", "resources": resources}


def find_overlaps(events):
    """
    Find times in which two endpoints hold one key.

    Returns
    -------
    list of (float, float, int, list of str)
        Begin, end, key and holders.
    """
    keys = sorted({e["first"] for e in events if e["kind"] in ("grant", "release")})
    overlaps = []
    for key in keys:
        holds = []
        current = {}
        for event in events:
            if event["kind"] not in ("grant", "release", "crashed"):
                continue
            is_for_key = event.get("first", 0) <= key <= event.get("last", key)
            if not is_for_key:
                continue
            name, at = event["endpoint"], event["at"]
            if event["kind"] == "grant":
                since, until = current.get(name, (at, at))
                if until < at:
                    holds.append((name, since, until))
                    since = at
                current[name] = (since, event["until"])
            elif name in current:
                since, until = current.pop(name)
                holds.append((name, since, min(until, at)))
        holds += [(name, since, until) for name, (since, until) in current.items()]
        for index, (name, since, until) in enumerate(holds):
            for other, other_since, other_until in holds[index + 1 :]:
                begin, end = max(since, other_since), min(until, other_until)
                if name != other and end > begin:
                    overlaps.append((begin, end, key, [name, other]))
    return sorted(overlaps)
