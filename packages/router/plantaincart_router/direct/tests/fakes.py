"""In-memory store, upstreams and header header_codec for tests of the direct path."""

from asyncio import Event, sleep
from dataclasses import dataclass, field, replace
from time import monotonic

from plantaincart_core.account import digest_key
from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.era import join_version, split_version
from plantaincart_core.traffic import (
    Route,
    RoutingConfiguration,
    ServicePolicy,
    WeightedService,
)
from plantaincart_core.upstreamload import LoadSettings
from plantaincart_router.direct.clock import read_boot_time
from plantaincart_router.direct.interface import (
    AnswerMetadata,
    GrantCalls,
    GrantRefusedError,
    HeaderCodec,
    LoadStatement,
    PlatformReader,
    RequestMetadata,
    UpstreamDisplacedError,
)
from plantaincart_router.direct.settings import (
    AdmissionSettings,
    CoordinationSettings,
    DirectSettings,
)
from plantaincart_router.direct.store import (
    HistoryLostError,
    Store,
    StoreClock,
    StoreConflictError,
    StoreRow,
    StoreUnavailableError,
    TableRows,
)
from plantaincart_router.exception import (
    AnswerLostError,
    AnswerTimeoutError,
    ConnectFailedError,
)
from plantaincart_router.http.message import HttpAnswer, HttpRequest, find_header
from plantaincart_schema.generated.direct import CoordinatorNotice

FAST = CoordinationSettings(
    row_read_s=0.1,
    report_s=0.03,
    silent_s=0.12,
    beat_s=0.05,
    unchanged_s=0.2,
    confirmed_s=0.3,
    reached_s=0.08,
    offline_s=3.0,
    probes_per_s=60.0,
    member_s=0.3,
    followed_s=0.3,
    hold_s=0.5,
    long_grants_after_s=0.6,
    renew_s=0.1,
    call_timeout_s=0.1,
    release_timeout_s=0.4,
    cut_off_s=0.15,
    hold_margin_s=0.05,
    rebalance_s=0.05,
)


def make_record(
    name,
    service="ledger",
    born=1,
    ready=True,
    warmup_left_s=0.0,
    port=1,
    data_centre="a",
):
    return UpstreamRecord(
        id=name,
        born=born,
        service=service,
        host="127.0.0.1",
        port=port,
        data_centre=data_centre,
        slots=2,
        ready=ready,
        warmup_left_s=warmup_left_s,
    )


def make_load(in_progress):
    """Return the statement of a number of requests; None for none."""
    if not in_progress:
        return None
    return LoadStatement(running=int(in_progress), waiting=0, slots=2)


def make_plan(
    version=1,
    keyed=True,
    idempotent=True,
    timeout_s=1.0,
    attempts=2,
    accounts=(),
    public=False,
):
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
        public=public,
    )
    policy = ServicePolicy(
        name="ledger",
        keyed=keyed,
        health_path="/health",
        max_connections=10,
        cold_requests_per_s=3.0,
    )
    return RoutingConfiguration(
        version=version,
        routes=(route,),
        services={"ledger": policy},
        accounts=tuple(accounts),
    )


def make_settings(name="router-1", peer_port=0, **fields):
    """Return settings with all parts switched on."""
    fields = {
        "admission": AdmissionSettings(cuts_by_rank=True),
        "load": LoadSettings(
            distributes_keys_by_speed=True,
            chooses_by_slowdown=True,
            admits_keys_by_speed=True,
        ),
        **fields,
    }
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


def make_notice(**fields):
    fields = {"epoch": 1, "map_version": 1, "complete": False, **fields}
    return CoordinatorNotice(coordinator="r1", members=1, **fields)


class MemoryStore(Store):
    """A store shared by all clients; refuses those in `refused_clients`."""

    def __init__(self):
        self.rows = {}
        self.counter = 0
        self.era = 0
        self.refused_clients = set()
        self.answers_to_lose = 0
        self.oldest_version = 0
        self.changed = Event()
        self.names_clock = True

    def client(self, name):
        return MemoryClient(self, name)

    @property
    def version(self):
        return join_version(self.era, self.counter)

    @property
    def clock_s(self):
        return read_boot_time() if self.names_clock else None

    def copy(self):
        return self.counter, dict(self.rows)

    def restore(self, copy):
        """Continue with the contents and the counter of an earlier copy."""
        self.counter, rows = copy
        self.era += 1
        self.rows = {
            name: replace(
                row, version=join_version(self.era, split_version(row.version)[1])
            )
            for name, row in rows.items()
        }
        self.changed.set()
        self.changed = Event()

    def put(self, table, key, value):
        self.counter += 1
        self.rows[table, key] = StoreRow(key=key, value=value, version=self.version)
        self.changed.set()
        self.changed = Event()
        return self.version

    async def read(self, table):
        rows = [row for (name, _), row in self.rows.items() if name == table]
        return TableRows(
            rows=[row for row in rows if not row.deleted],
            version=self.version,
            clock_s=self.clock_s,
        )

    async def watch(self, table, after, wait_s):
        if after < self.oldest_version or split_version(after)[0] != self.era:
            raise HistoryLostError(table)
        rows = [
            row
            for (name, _), row in self.rows.items()
            if name == table and row.version > after
        ]
        return TableRows(rows=rows, version=self.version, clock_s=self.clock_s)

    async def write(self, table, row, also=(), absent=()):
        for written in (row, *also):
            stored = self.rows.get((table, written.key))
            if (stored.version if stored else 0) != written.version:
                raise StoreConflictError(written.key)
        for name in absent:
            if name in self.rows:
                raise StoreConflictError(name)
        for written in also:
            self.put(table, written.key, written.value)
        return self.put(table, row.key, row.value)

    async def delete(self, table, key):
        self.counter += 1
        self.rows[table, key] = StoreRow(key=key, version=self.version, deleted=True)


class MemoryClient(Store):
    """Store client of one instance."""

    def __init__(self, store, name):
        self._store = store
        self._name = name

    async def read(self, table):
        self._check()
        view = await self._store.read(table)
        self._record_clock()
        return view

    async def watch(self, table, after, wait_s):
        self._check()
        view = await self._store.watch(table, after, wait_s)
        self._record_clock()
        return view

    async def write(self, table, row, also=(), absent=()):
        self._check()
        version = await self._store.write(table, row, also, absent)
        if self._store.answers_to_lose:
            self._store.answers_to_lose -= 1
            raise StoreUnavailableError("answer lost")
        self._record_clock()
        return version

    async def delete(self, table, key):
        self._check()
        await self._store.delete(table, key)

    def _record_clock(self):
        if self._store.names_clock:
            now = read_boot_time()
            self.clock = StoreClock(clock_s=now, told_at=now)

    def _check(self):
        if self._name in self._store.refused_clients:
            raise StoreUnavailableError("refused", False)


@dataclass
class Grant:
    """A key range that is granted to an upstream until a time."""

    first: int
    last: int
    fence: int
    expires_at: float


@dataclass
class MemoryUpstream:
    """An upstream with the grants that its present process has accepted."""

    name: str
    born: int = 1
    reachable: bool = True
    displaced: bool = False
    work_s: float = 0.0
    lose_answers: int = 0
    # Fencing tokens accepted on the connection of each instance.
    connected: dict = field(default_factory=dict)
    grants: list = field(default_factory=list)
    highest_fences: dict = field(default_factory=dict)

    def restart(self):
        """Start again under the same id; announcements follow separately."""
        self.born += 1
        self.connected.clear()
        self.grants.clear()
        self.highest_fences.clear()

    def owns(self, key):
        now = monotonic()
        return any(
            grant.first <= key <= grant.last and grant.expires_at > now
            for grant in self.grants
        )

    def find_highest_fence(self, first, last):
        return max(
            (
                fence
                for (low, high), fence in self.highest_fences.items()
                if low <= last and first <= high
            ),
            default=0,
        )


class MemoryGrants(GrantCalls):
    """
    Grant and release calls of one instance to in-memory upstreams.

    `disconnected` refuses all calls, `hanging` lets them time out, and
    `refuses_connections` serves renewals alone, as they use kept connections.
    """

    def __init__(self, upstreams, instance="router-1"):
        self.upstreams = upstreams
        self.instance = instance
        self.disconnected = False
        self.hanging = False
        self.refuses_connections = False
        self.calls = []

    async def grant(
        self,
        upstream,
        key_range,
        duration_s,
        handover="",
        renewal=False,
        before_write=None,
    ):
        if self.hanging:
            await self._hang(upstream, FAST.call_timeout_s)
        if self.refuses_connections and not renewal:
            raise ConnectFailedError(upstream.id)
        target = self._find_reachable(upstream)
        if renewal and key_range.fence not in target.connected.get(self.instance, ()):
            raise ConnectFailedError("no connection kept")
        if target.displaced:
            raise UpstreamDisplacedError("421")
        if self.instance not in target.connected:
            self.connected_at = monotonic()
        if before_write is not None:
            before_write()
        accepted_tokens = target.connected.setdefault(self.instance, set())
        self.calls.append(("grant", upstream.id, key_range, renewal))
        if target.find_highest_fence(key_range.first, key_range.last) > key_range.fence:
            raise GrantRefusedError("409")
        target.highest_fences[key_range.first, key_range.last] = key_range.fence
        target.grants = [
            grant
            for grant in target.grants
            if not (grant.first == key_range.first and grant.last == key_range.last)
        ]
        target.grants.append(
            Grant(
                key_range.first,
                key_range.last,
                key_range.fence,
                monotonic() + duration_s,
            )
        )
        accepted_tokens.add(key_range.fence)
        self.record_accepted(target, key_range)
        if target.lose_answers:
            target.lose_answers -= 1
            target.connected.pop(self.instance, None)
            raise AnswerLostError("lost")

    def record_accepted(self, target, key_range):
        """Record that an upstream has accepted a grant."""

    async def release(self, upstream, key_range):
        if self.hanging:
            await self._hang(upstream, FAST.release_timeout_s)
        if self.refuses_connections:
            raise ConnectFailedError(upstream.id)
        target = self._find_reachable(upstream)
        self.calls.append(("release", upstream.id, key_range, False))
        if target.displaced:
            return ""
        target.highest_fences[key_range.first, key_range.last] = key_range.fence
        remaining_grants = []
        for grant in target.grants:
            if grant.last < key_range.first or grant.first > key_range.last:
                remaining_grants.append(grant)
                continue
            if grant.first < key_range.first:
                remaining_grants.append(
                    Grant(
                        grant.first, key_range.first - 1, grant.fence, grant.expires_at
                    )
                )
            if grant.last > key_range.last:
                remaining_grants.append(
                    Grant(key_range.last + 1, grant.last, grant.fence, grant.expires_at)
                )
        target.grants = remaining_grants
        await sleep(target.work_s)
        return f"handover-{upstream.id}"

    async def _hang(self, upstream, timeout_s):
        target = self.upstreams[upstream.id]
        was_connected = self.instance in target.connected
        target.connected.pop(self.instance, None)
        await sleep(timeout_s)
        if was_connected:
            raise AnswerTimeoutError("silent")
        raise ConnectFailedError(upstream.id)

    def _find_reachable(self, upstream):
        target = self.upstreams.get(upstream.id)
        if self.disconnected or target is None or not target.reachable:
            raise ConnectFailedError(upstream.id)
        return target


class PlainReader(PlatformReader):
    """Reader that finds nothing, for tests that set up the view themselves."""

    operator_table = "operator"
    upstream_table = "upstreams"

    def read_configuration(self, row):
        return None

    def read_closed_data_centre(self, row):
        return None

    def read_upstream(self, row):
        return None


class PlainDialect(HeaderCodec):
    """HeaderCodec with short header names."""

    def read_request(self, request):
        remaining = find_header(request.headers, "left-s")
        key = find_header(request.headers, "key")
        return RequestMetadata(
            request_id=find_header(request.headers, "id") or "",
            remaining_s=float(remaining) if remaining else None,
            key=int(key) if key else None,
            host=find_header(request.headers, "host") or "",
            account_key_digest=self._read_account_key(request),
        )

    def _read_account_key(self, request):
        keys = [value for name, value in request.headers if name == "account-key"]
        return digest_key(keys[0]) if len(keys) == 1 else None

    def assign_account(self, request, account):
        headers = tuple(
            field
            for field in request.headers
            if field[0] not in ("account-key", "account")
        )
        headers += (("account", account),) if account else ()
        return HttpRequest(request.method, request.target, headers, request.body)

    def write_request(self, request, upstream, remaining_s):
        headers = [
            field for field in request.headers if field[0] not in ("left-s", "only")
        ]
        headers += [("left-s", f"{remaining_s:.3f}"), ("only", upstream)]
        return HttpRequest(request.method, request.target, tuple(headers), request.body)

    def read_answer(self, answer):
        in_progress = find_header(answer.headers, "present")
        limit = find_header(answer.headers, "limit")
        return AnswerMetadata(
            not_run=find_header(answer.headers, "not-run") is not None,
            misdirected=answer.status == 421,
            answered_by=find_header(answer.headers, "answered-by") or "",
            load=make_load(in_progress),
            idle_timeout_s=None,
            retry_after_s=float(find_header(answer.headers, "retry-after") or 0.0),
            limit_per_s=float(limit) if limit else None,
        )

    def belongs_to_request(self, answer, request_id, is_first):
        ids = {value for name, value in answer.headers if name == "id"}
        return ids == {request_id} if ids else is_first

    def write_answer(self, answer):
        return answer

    def write_refusal(self, refusal, request_id):
        headers = (("verdict", refusal.verdict.value), ("reason", refusal.reason.value))
        if refusal.retry_after_s > 0.0:
            headers += (("retry-after", f"{refusal.retry_after_s:.3f}"),)
        return HttpAnswer(refusal.status, headers, refusal.detail.encode())
