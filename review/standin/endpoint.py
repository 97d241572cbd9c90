"""Stand-in for an endpoint that may own keys."""

import asyncio
import json
import time
from urllib.parse import urlsplit

KEYS = 65536
HEARTBEAT_S = 0.87
SLOTS = 2
QUEUE = 4


class Endpoint:
    """
    An endpoint that runs requests, and accepts grants and releases as the pages say.

    `log(kind, **fields)` records what it does.
    """

    def __init__(self, name, service, zone, host, port, store, log, sharded):
        self.id, self.service, self.zone = name, service, zone
        self.host, self.port = host, port
        self._store, self._log, self._sharded = store, log, sharded
        self.work_s = 0.04
        self.begin_life()

    def begin_life(self):
        """Start anew under the same id: it holds and knows nothing of before."""
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self._seen = [0] * KEYS
        self._until = [0.0] * KEYS
        self._fence = [0] * KEYS
        self._running = {}
        self._ended = asyncio.Event()
        self._slots = asyncio.Semaphore(SLOTS)
        self._present = 0

    def announcement(self):
        """Return the endpoint's entry in the store."""
        self._sequence += 1
        return {
            "address": f"{self.host}:{self.port}",
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": SLOTS,
            },
            "status": {"state": "ready", "seq": self._sequence, "warmupLeftMs": 0},
        }

    async def announce(self):
        """Write the entry at each heartbeat."""
        while True:
            entry = json.dumps(self.announcement()).encode()
            self._store.change([("servers", self.id, entry)])
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(self, method, target, headers, body):
        """Answer a grant, a release, a health probe or a request."""
        if headers.get("plantaincart-expect-instance", self.id) != self.id:
            return (
                421,
                {
                    "Plantaincart-Instance-Id": self.id,
                    "Plantaincart-Not-Executed": "1",
                },
                b"",
            )
        path = urlsplit(target).path
        if path == "/plantaincart/grant":
            return self._grant(json.loads(body)), {}, b""
        if path == "/plantaincart/release":
            return await self._release(json.loads(body))
        if path == "/health":
            return 200, {"Plantaincart-Instance-Id": self.id}, b""
        return await self._run(method, target, headers, body)

    def _grant(self, call):
        first, last, fence = call["from"], call["to"], call["fence"]
        if max(self._seen[first : last + 1]) > fence:
            return 409
        until = time.monotonic() + call["holdMs"] / 1000
        count = last + 1 - first
        self._seen[first : last + 1] = [fence] * count
        self._fence[first : last + 1] = [fence] * count
        self._until[first : last + 1] = [until] * count
        self._log(
            "grant", endpoint=self.id, first=first, last=last, fence=fence, until=until
        )
        return 200

    async def _release(self, call):
        first, last, fence = call["from"], call["to"], call["fence"]
        for key in range(first, last + 1):
            self._seen[key] = max(self._seen[key], fence)
            if self._fence[key] <= fence:
                self._until[key] = 0.0
        self._log("release", endpoint=self.id, first=first, last=last, fence=fence)
        while any(first <= key <= last for key in self._running.values()):
            await self._ended.wait()
        return 200, {"Plantaincart-Handover": "5c0e7a21d94b36f8"}, b""

    async def _run(self, method, target, headers, body):
        attempt = headers.get("plantaincart-attempt-id", "")
        echo = {"Plantaincart-Attempt-Id": attempt}
        if self._present >= SLOTS + QUEUE:
            # As on the pages' example of an endpoint that sheds: without an id.
            self._log("shed", endpoint=self.id, attempt=attempt)
            return 503, {"Plantaincart-Not-Executed": "1"}, b""
        self._present += 1
        try:
            return await self._queue_and_run(method, headers, attempt, echo)
        finally:
            self._present -= 1

    async def _queue_and_run(self, method, headers, attempt, echo):
        async with self._slots:
            key = int(headers.get("plantaincart-shard-key", "-1"))
            if self._sharded and self._until[key] <= time.monotonic():
                return 421, echo | {"Plantaincart-Not-Executed": "1"}, b""
            token = object()
            self._running[token] = key
            self._log("run", endpoint=self.id, attempt=attempt, key=key, method=method)
            try:
                await asyncio.sleep(self.work_s)
            finally:
                del self._running[token]
                self._ended.set()
                self._ended = asyncio.Event()
                self._log("ran", endpoint=self.id, attempt=attempt, key=key)
        answer = json.dumps({"endpoint": self.id, "attempt": attempt}).encode()
        return 200, echo | {"Plantaincart-Response-Signature": "3e1b.07"}, answer
