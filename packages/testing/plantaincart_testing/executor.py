"""Execution of requests at one upstream stand-in."""

from asyncio import CancelledError, Semaphore, sleep, timeout_at
from collections import Counter, deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from math import inf
from time import monotonic
from uuid import uuid4
from zlib import crc32

from plantaincart_router.http.message import Header, HttpAnswer, HttpRequest
from plantaincart_schema.generated.upstream import Problem, UpstreamLoad

from plantaincart_testing.answer_fault import AnswerFaults
from plantaincart_testing.grant_verifier import GrantVerifier
from plantaincart_testing.history import (
    ClockReadings,
    Event,
    EventKind,
    HistoryWriter,
    add_request_fields,
    read_clocks,
)
from plantaincart_testing.listener import WireFault, answer_json
from plantaincart_testing.service_time import ServiceTimes
from plantaincart_testing.upstream_message import (
    Echo,
    ReceivedRequest,
    fingerprint_body,
    read_received_request,
)
from plantaincart_testing.upstream_settings import (
    UpstreamFaults,
    UpstreamReport,
    UpstreamSettings,
)
from plantaincart_testing.warmth import Warmth

__all__ = ["LOAD_SAMPLE_INTERVAL_S", "Executor"]

LOAD_SAMPLE_INTERVAL_S = 0.1
_NS_PER_S = 1e9
_MS_PER_S = 1000
_ALWAYS_RECORDED_KINDS = frozenset({EventKind.COLLAPSED, EventKind.CRASHED})


class Executor:
    """
    One incarnation of an upstream.

    Parameters
    ----------
    settings : UpstreamSettings
        Settings of the upstream.
    history : HistoryWriter
        Writer for the events of this incarnation.
    lookups_recorded : bool
        Whether executions of idempotent requests are recorded too.
    crash : callable
        Function that ends the upstream.

    Notes
    -----
    The grant is checked after a request has got a concurrency slot, directly
    before its effect. The effect happens when the execution begins; the rest of
    the execution is only a wait. An execution ends early at its deadline, or when
    its caller closes the connection.
    """

    def __init__(
        self,
        settings: UpstreamSettings,
        history: HistoryWriter,
        lookups_recorded: bool,
        crash: Callable[[], None],
    ) -> None:
        self.settings = settings
        self.incarnation = uuid4().hex[:12]
        self.grant_verifier = GrantVerifier(self.incarnation, settings.keyed)
        self.report = UpstreamReport(name=settings.name, incarnation=self.incarnation)
        self.faults = UpstreamFaults()
        self._answer_faults = AnswerFaults(self.faults)
        self._history = history
        self._lookups_recorded = lookups_recorded
        self._crash = crash
        self._service_times = ServiceTimes(settings)
        self._slots = Semaphore(settings.slots)
        self._writes_by_key: Counter[str] = Counter()
        self._clock_offset_ms = crc32(settings.name.encode())
        sample_count = max(1, round(settings.load_lag_s / LOAD_SAMPLE_INTERVAL_S))
        self._load_samples: deque[int] = deque([0], maxlen=sample_count)
        self.warmth = Warmth(
            settings.slots,
            settings.warm_up_s,
            settings.cold_factor,
            settings.collapse_s,
            monotonic(),
        )

    def record_start(self) -> None:
        """Record the start of this incarnation in the history."""
        self._record(EventKind.STARTED, None)

    def read_clock_ms(self) -> int:
        """Return the upstream's own monotonic clock in milliseconds."""
        return int(monotonic() * _MS_PER_S) + self._clock_offset_ms

    def set_faults(self, faults: UpstreamFaults) -> None:
        """Replace the faults in force."""
        self.faults = faults
        self._answer_faults = AnswerFaults(faults)
        self._service_times.set_slowdown(
            faults.slow_factor, faults.slow_for_s, monotonic()
        )

    def draw_answer_fault(self) -> tuple[WireFault, float]:
        """Return the fault for the next answer and its delay in seconds."""
        return self._answer_faults.draw()

    def sample_load(self) -> None:
        """Record the current load for delayed load reports."""
        self._load_samples.append(self.report.in_flight)

    def read_load(self) -> UpstreamLoad:
        """Return the load report, which is delayed or, under a fault, wrong."""
        faults = self.faults
        in_flight = self._load_samples[0]
        if faults.reported_in_flight is not None:
            in_flight = faults.reported_in_flight
        load = in_flight / self.settings.slots
        if faults.reported_load is not None:
            load = faults.reported_load
        return UpstreamLoad(in_flight=in_flight, load=load, draining=faults.draining)

    async def execute(self, request: HttpRequest) -> HttpAnswer:
        """
        Execute a request, or reject it before it begins.

        Parameters
        ----------
        request : HttpRequest
            Request including the headers that the router adds.

        Returns
        -------
        HttpAnswer
            An `Echo` with status 200, or a problem.
        """
        received = read_received_request(request, monotonic())
        waiting = self.report.in_flight - self.settings.slots
        if self.faults.shed or waiting >= self.settings.wait_limit:
            self.report.shed += 1
            return self._refuse(received, 503, "shed")
        with self._count_in_flight(received):
            return await self._acquire_slot_and_run(received)

    @contextmanager
    def _count_in_flight(self, received: ReceivedRequest) -> Iterator[None]:
        report = self.report
        report.in_flight += 1
        report.max_in_flight = max(report.max_in_flight, report.in_flight)
        if self.warmth.admit(report.in_flight, monotonic()):
            self._record(EventKind.COLLAPSED, received)
        try:
            yield
        finally:
            report.in_flight -= 1

    async def _acquire_slot_and_run(self, received: ReceivedRequest) -> HttpAnswer:
        # timeout_at() takes the loop's clock, which is time.monotonic().
        try:
            async with timeout_at(
                None if received.deadline == inf else received.deadline
            ):
                await self._slots.acquire()
        except TimeoutError:
            return self._reject_expired(received)
        try:
            if monotonic() >= received.deadline:
                return self._reject_expired(received)
            # Read before the grant is checked: the effect counts from this time.
            checked_at = read_clocks()
            rejection_reason = self._find_rejection_reason(received)
            if rejection_reason is not None:
                self.report.fenced += 1
                self._record(EventKind.REFUSED, received, detail=rejection_reason)
                return self._refuse(received, 409, rejection_reason)
            return await self._run(received, checked_at)
        finally:
            self._slots.release()

    def _reject_expired(self, received: ReceivedRequest) -> HttpAnswer:
        self.report.expired += 1
        return self._refuse(received, 504, "deadline passed before start")

    def _find_rejection_reason(self, received: ReceivedRequest) -> str | None:
        if not self.settings.checks_fence:
            return None
        return self.grant_verifier.find_rejection_reason(
            received.service, received.epoch, received.slot, self.read_clock_ms()
        )

    async def _run(
        self, received: ReceivedRequest, checked_at: ClockReadings
    ) -> HttpAnswer:
        self.report.executed += 1
        execution = self.report.executed
        service_s = self._service_times.draw(
            received.is_idempotent, self.warmth, monotonic()
        )
        remaining_s = received.deadline - monotonic()
        run_s = min(service_s, remaining_s)
        if not received.is_idempotent:
            self._writes_by_key[received.key] += 1
        count = self._writes_by_key[received.key]
        planned_ns = int(run_s * _NS_PER_S)
        self._record(
            EventKind.BEGIN, received, execution=execution, planned_ns=planned_ns
        )
        if received.is_poisoned:
            self._record(EventKind.CRASHED, received, execution)
            self._crash()
        try:
            await sleep(max(0.0, run_s))
        except CancelledError:
            self.report.cancelled += 1
            self._record(EventKind.CANCELLED, received, execution)
            raise
        self._record(EventKind.END, received, execution)
        if service_s > remaining_s:
            return self._refuse(received, 504, "deadline passed", "may-have-run")
        return self._answer(received, execution, count)

    def _answer(
        self, received: ReceivedRequest, execution: int, count: int
    ) -> HttpAnswer:
        echo = Echo(
            upstream=self.settings.name,
            incarnation=self.incarnation,
            execution=execution,
            service=received.service,
            key=received.key,
            request=received.id,
            idempotency_key=received.idempotency_key,
            method=received.request.method,
            target=received.request.target,
            fingerprint=fingerprint_body(received.request.body),
            count=count,
            padding="x" * self.settings.answer_bytes,
        )
        return answer_json(200, echo, self._make_headers(received))

    def _make_headers(self, received: ReceivedRequest) -> tuple[Header, ...]:
        return (
            ("plantaincart-request", received.id),
            ("plantaincart-upstream", self.settings.name),
            ("plantaincart-incarnation", self.incarnation),
        )

    def _refuse(
        self,
        received: ReceivedRequest,
        status: int,
        detail: str,
        verdict: str = "not-run",
    ) -> HttpAnswer:
        problem = Problem(
            type="about:blank",
            title="Refused by the upstream",
            status=status,
            detail=detail,
            verdict=verdict,
            request=received.id,
        )
        headers = (("plantaincart-verdict", verdict), *self._make_headers(received))
        return answer_json(status, problem, headers)

    def _record(
        self,
        kind: EventKind,
        received: ReceivedRequest | None,
        execution: int = 0,
        planned_ns: int = 0,
        detail: str = "",
        at: ClockReadings | None = None,
    ) -> None:
        at_ns, wall_ns = at or read_clocks()
        event = Event(
            kind=kind,
            upstream=self.settings.name,
            incarnation=self.incarnation,
            at_ns=at_ns,
            wall_ns=wall_ns,
            execution=execution,
            planned_ns=planned_ns,
            in_flight=self.report.in_flight,
            detail=detail,
        )
        if received is None:
            self._history.write(event)
        elif (
            kind in _ALWAYS_RECORDED_KINDS
            or self._lookups_recorded
            or not received.is_idempotent
        ):
            self._history.write(add_request_fields(event, received))
