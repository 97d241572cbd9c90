"""Store, upstreams and dialect in memory, for tests of the straight path."""

from asyncio import Event, sleep
from dataclasses import dataclass, field
from time import monotonic

from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.traffic import (
    Route,
    ServicePolicy,
    TrafficPlan,
    WeightedService,
)
from plantaincart_router.direct.interface import (
    AnswerReading,
    CallerReading,
    Dialect,
    GrantCalls,
    GrantRefusedError,
    PlatformReader,
    UpstreamDisplacedError,
)
from plantaincart_router.direct.settings import CoordinationSettings, DirectSettings
from plantaincart_router.direct.store import (
    HistoryLostError,
    Store,
    StoreConflictError,
    StoreRow,
    StoreUnavailableError,
    TableView,
)
from plantaincart_router.exception import AnswerLostError, ConnectFailedError
from plantaincart_router.http.message import HttpAnswer, HttpRequest, find_header

FAST = CoordinationSettings(
    report_s=0.03,
    silent_s=0.12,
    beat_s=0.05,
    unchanged_s=0.2,
    confirmed_s=0.3,
    reached_s=0.08,
    offline_s=3.0,
    probes_per_s=60.0,
    member_s=0.3,
    hold_s=0.5,
    renew_s=0.1,
    call_timeout_s=0.1,
    release_timeout_s=0.4,
    hold_margin_s=0.05,
    rebalance_s=0.05,
)


def make_record(name, service="ledger", born=1, ready=True, warmup_left_s=0.0, port=1):
    return UpstreamRecord(
        id=name,
        born=born,
        service=service,
        host="127.0.0.1",
        port=port,
        data_centre="a",
        slots=2,
        ready=ready,
        warmup_left_s=warmup_left_s,
    )


def make_plan(version=1, keyed=True, idempotent=True, timeout_s=1.0, attempts=2):
    route = Route(
        name="lookup",
        host="a.example",
        prefix="/",
        idempotent=idempotent,
        services=(WeightedService(service="ledger", weight=1.0),),
        max_attempts=attempts,
        timeout_s=timeout_s,
        target_s=0.5,
        priority=1,
    )
    policy = ServicePolicy(
        name="ledger",
        keyed=keyed,
        health_path="/health",
        max_connections=10,
        cold_requests_per_s=3.0,
    )
    return TrafficPlan(version=version, routes=(route,), services={"ledger": policy})


def make_settings(name="router-1", peer_port=0, **fields):
    return DirectSettings(
        name=name,
        data_centre="a",
        host="127.0.0.1",
        front_port=0,
        ready_port=0,
        peer_port=peer_port,
        coordination=FAST,
        **fields,
    )


class MemoryStore(Store):
    """One table space shared by all clients; `away` names clients it refuses."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.away = set()
        self.lost_answers = 0
        self.first_kept = 0
        self.changed = Event()

    def client(self, name):
        return MemoryClient(self, name)

    def put(self, table, key, value):
        self.version += 1
        self.rows[table, key] = StoreRow(key=key, value=value, version=self.version)
        self.changed.set()
        self.changed = Event()
        return self.version

    async def read(self, table):
        rows = [row for (name, _), row in self.rows.items() if name == table]
        return TableView(
            rows=[one for one in rows if not one.deleted], version=self.version
        )

    async def watch(self, table, after, wait_s):
        if after < self.first_kept:
            raise HistoryLostError(table)
        rows = [
            row
            for (name, _), row in self.rows.items()
            if name == table and row.version > after
        ]
        return TableView(rows=rows, version=self.version)

    async def write(self, table, row):
        present = self.rows.get((table, row.key))
        if (present.version if present else 0) != row.version:
            raise StoreConflictError(row.key)
        return self.put(table, row.key, row.value)

    async def delete(self, table, key):
        self.version += 1
        self.rows[table, key] = StoreRow(key=key, version=self.version, deleted=True)


class MemoryClient(Store):
    """One instance's way to the store."""

    def __init__(self, store, name):
        self._store = store
        self._name = name

    async def read(self, table):
        self._check()
        return await self._store.read(table)

    async def watch(self, table, after, wait_s):
        self._check()
        return await self._store.watch(table, after, wait_s)

    async def write(self, table, row):
        self._check()
        version = await self._store.write(table, row)
        if self._store.lost_answers:
            self._store.lost_answers -= 1
            raise StoreUnavailableError("answer lost")
        return version

    async def delete(self, table, key):
        self._check()
        await self._store.delete(table, key)

    def _check(self):
        if self._name in self._store.away:
            raise StoreUnavailableError("away", False)


@dataclass
class Holding:
    """Keys that an upstream holds until a time, under a fencing token."""

    first: int
    last: int
    fence: int
    until: float


@dataclass
class MemoryUpstream:
    """An upstream that holds keys, and what it works on."""

    name: str
    reachable: bool = True
    displaced: bool = False
    work_s: float = 0.0
    lose_answers: int = 0
    connected: set = field(default_factory=set)
    holdings: list = field(default_factory=list)
    seen: dict = field(default_factory=dict)

    def holds(self, key):
        now = monotonic()
        return any(
            one.first <= key <= one.last and one.until > now for one in self.holdings
        )

    def highest_seen(self, first, last):
        return max(
            (
                fence
                for (low, high), fence in self.seen.items()
                if low <= last and first <= high
            ),
            default=0,
        )


class MemoryGrants(GrantCalls):
    """Grant and release calls of one instance to upstreams in memory."""

    def __init__(self, upstreams, instance="router-1"):
        self.upstreams = upstreams
        self.instance = instance
        self.cut = False
        self.calls = []

    async def grant(self, upstream, keys, hold_s, handover="", renewal=False):
        target = self._reach(upstream)
        if renewal and self.instance not in target.connected:
            raise ConnectFailedError("no connection kept")
        if target.displaced:
            raise UpstreamDisplacedError("421")
        target.connected.add(self.instance)
        self.calls.append(("grant", upstream.id, keys, renewal))
        if target.highest_seen(keys.first, keys.last) > keys.fence:
            raise GrantRefusedError("409")
        target.seen[keys.first, keys.last] = keys.fence
        target.holdings = [
            one
            for one in target.holdings
            if not (one.first == keys.first and one.last == keys.last)
        ]
        target.holdings.append(
            Holding(keys.first, keys.last, keys.fence, monotonic() + hold_s)
        )
        if target.lose_answers:
            target.lose_answers -= 1
            target.connected.discard(self.instance)
            raise AnswerLostError("lost")

    async def release(self, upstream, keys):
        target = self._reach(upstream)
        self.calls.append(("release", upstream.id, keys, False))
        if target.displaced:
            return ""
        target.seen[keys.first, keys.last] = keys.fence
        kept = []
        for one in target.holdings:
            if one.last < keys.first or one.first > keys.last:
                kept.append(one)
                continue
            if one.first < keys.first:
                kept.append(Holding(one.first, keys.first - 1, one.fence, one.until))
            if one.last > keys.last:
                kept.append(Holding(keys.last + 1, one.last, one.fence, one.until))
        target.holdings = kept
        await sleep(target.work_s)
        return f"handover-{upstream.id}"

    def _reach(self, upstream):
        target = self.upstreams.get(upstream.id)
        if self.cut or target is None or not target.reachable:
            raise ConnectFailedError(upstream.id)
        return target


class PlainReader(PlatformReader):
    """Reader for tests that put records and plans in place themselves."""

    operator_table = "operator"
    upstream_table = "upstreams"

    def read_plan(self, row):
        return None

    def read_closed_data_centre(self, row):
        return None

    def read_upstream(self, row):
        return None


class PlainDialect(Dialect):
    """Short header names."""

    def read_request(self, request):
        left = find_header(request.headers, "left-s")
        key = find_header(request.headers, "key")
        return CallerReading(
            request_id=find_header(request.headers, "id") or "",
            time_left_s=float(left) if left else None,
            key=int(key) if key else None,
            host=find_header(request.headers, "host") or "",
        )

    def write_request(self, request, upstream, time_left_s):
        headers = [one for one in request.headers if one[0] not in ("left-s", "only")]
        headers += [("left-s", f"{time_left_s:.3f}"), ("only", upstream)]
        return HttpRequest(request.method, request.target, tuple(headers), request.body)

    def read_answer(self, answer):
        present = find_header(answer.headers, "present")
        return AnswerReading(
            not_run=find_header(answer.headers, "not-run") is not None,
            misdirected=answer.status == 421,
            answered_by=find_header(answer.headers, "answered-by") or "",
            present=int(present) if present else None,
            idle_timeout_s=None,
        )

    def is_answer_to(self, answer, request_id):
        return find_header(answer.headers, "id") in (None, request_id)

    def write_answer(self, answer):
        return answer

    def write_refusal(self, refusal, request_id):
        headers = (("verdict", refusal.verdict.value), ("reason", refusal.reason.value))
        if refusal.retry_after_s > 0.0:
            headers += (("retry-after", f"{refusal.retry_after_s:.3f}"),)
        return HttpAnswer(refusal.status, headers, refusal.detail.encode())
