"""Stand-in for the platform's store: tables of rows, without faults of its own."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

EXPIRY_S = 2.7


class Store:
    """Rows by table and key, with one version counter and a feed of changes."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self._changed = asyncio.Event()
        self.is_busy = False

    def change(self, writes, deletes=()):
        """Apply writes of (table, key, bytes) and deletes of (table, key)."""
        self.version += 1
        for table, key, value in writes:
            text = base64.b64encode(value).decode()
            self.rows[table, key] = (self.version, text, False)
        for table, key in deletes:
            self.rows[table, key] = (self.version, "", True)
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    def describe(self, table, key):
        """Return a row as the store's answers show it."""
        version, value, deleted = self.rows[table, key]
        row = {"table": table, "part": "", "key": key, "resourceVersion": version}
        return row | ({"deleted": True} if deleted else {"value": value})

    def list_rows(self, table, first="", deleted=False, after=-1):
        """Return the rows of a table, in the order of their keys."""
        return [
            self.describe(*row_id)
            for row_id, (version, _, is_deleted) in sorted(self.rows.items())
            if row_id[0] == table
            and row_id[1] >= first
            and (deleted or not is_deleted)
            and version > after
        ]

    async def handle(self, method, target, headers, body):
        """Answer a call."""
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        await asyncio.sleep(0.003)
        if self.is_busy:
            return 503, {}, b""
        if url.path == "/plantaincart/rows-tx":
            return self._transact(json.loads(body))
        if url.path == "/plantaincart/rows-get":
            rows = self.list_rows(query["table"], query.get("from", ""))
            return self._answer(rows[:500], hasMore=len(rows) > 500)
        if url.path == "/plantaincart/rows-feed":
            return await self._feed(query)
        return 404, {}, b""

    def _transact(self, call):
        for row in call["expectedRev"]:
            row_id = (row["table"], row["key"])
            version, _, deleted = self.rows.get(row_id, (0, "", True))
            if (0 if deleted else version) != row["resourceVersion"]:
                return 412, {}, json.dumps({"rows": []}).encode()
        writes = [
            (row["table"], row["key"], base64.b64decode(row["value"]))
            for row in call["setKeys"]
        ]
        self.change(writes, [(row["table"], row["key"]) for row in call["deleteKeys"]])
        return self._answer([])

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if self.is_busy:
                return 503, {}, b""
            rows = self.list_rows(table, deleted=True, after=after)
            left = end - time.monotonic()
            if rows or left <= 0:
                break
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                pass
        rows.sort(key=lambda row: row["resourceVersion"])
        return self._answer(rows)

    def _answer(self, rows, **fields):
        body = {"rows": rows, "resourceVersion": self.version, **fields}
        body["nowMs"] = int(time.monotonic() * 1000)
        return 200, {"Content-Type": "application/json"}, json.dumps(body).encode()
