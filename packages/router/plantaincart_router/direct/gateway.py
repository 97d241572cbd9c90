"""Handling of a caller's request: route, attempts at upstreams, answer."""

from asyncio import Task, current_task, sleep, timeout
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from time import monotonic
from typing import TypeVar

from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.returning import ReturnDetector
from plantaincart_core.traffic import pick_service
from plantaincart_core.verdict import (
    Reason,
    Refusal,
    RefusedError,
    Verdict,
    refuse_may_have_run,
)

from plantaincart_router.direct.accountgate import AccountGate
from plantaincart_router.direct.accountturn import AccountTurnPolicy
from plantaincart_router.direct.admissioncontrol import AdmissionControl, EntryPolicy
from plantaincart_router.direct.answermemory import AnswerMemory
from plantaincart_router.direct.call import Call, LostError, NotRunError
from plantaincart_router.direct.candidates import CandidateFinder, ColdFilter
from plantaincart_router.direct.coldlimiter import ColdUpstreamLimiter
from plantaincart_router.direct.cost import CostEstimator
from plantaincart_router.direct.entryqueue import EntryQueue
from plantaincart_router.direct.interface import HeaderCodec, RequestMetadata
from plantaincart_router.direct.metrics import RouterMetrics
from plantaincart_router.direct.pacesource import PaceFilter, PaceSource
from plantaincart_router.direct.permitwait import PermitWait
from plantaincart_router.direct.pool import UpstreamPools
from plantaincart_router.direct.quarantinecheck import QuarantineCheck
from plantaincart_router.direct.rankadmission import RankAdmission
from plantaincart_router.direct.rejection import RejectionFactory
from plantaincart_router.direct.relayserver import RelayHandler
from plantaincart_router.direct.relaytransport import (
    RelayTransport,
    ReroutingTransport,
)
from plantaincart_router.direct.retrybudgets import RetryBudgets
from plantaincart_router.direct.roomgate import RoomGate
from plantaincart_router.direct.routematch import (
    choose_time_limit_s,
    find_route,
    find_service,
)
from plantaincart_router.direct.selector import UpstreamSelector
from plantaincart_router.direct.sender import UpstreamSender
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.silenceguard import SilenceGuard
from plantaincart_router.direct.transport import DirectTransport
from plantaincart_router.direct.view import SystemView
from plantaincart_router.direct.where.trial import DecisionParts
from plantaincart_router.http.caller import CallerConnection
from plantaincart_router.http.message import HttpAnswer, HttpRequest
from plantaincart_router.log import write_event

__all__ = ["Gateway"]

T = TypeVar("T")

# Maximum number of attempts at the owner of a key, and of attempts to connect to it. A
# second attempt to connect helps if the owner had no free connections; an unreachable
# owner stays unreachable for longer than most callers wait.
MAX_KEYED_ATTEMPTS = 3
MAX_KEYED_CONNECTS = 2
# Seconds to wait for a new owner after the present one couldn't be reached, and after
# it answered that it doesn't own the key.
UNREACHABLE_WAIT_S = 0.2
MISDIRECTED_WAIT_S = 0.3
# Seconds after the start for which requests wait for the first configuration, which
# arrives within some tenths of a second unless the store has an outage.
FIRST_CONFIGURATION_WAIT_S = 1.0


class Gateway:
    """
    Answers callers' requests.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the instance.
    view : SystemView
        State of the system as this instance knows it.
    header_codec : HeaderCodec
        Parses and writes the platform's header fields.
    pools : UpstreamPools
        Connections to upstreams.
    metrics : RouterMetrics
        Counters and histograms.

    Attributes
    ----------
    decision_parts : DecisionParts
        Parts whose state a decision depends on, besides the view.
    in_flight : int
        Requests of callers in progress.
    relay : RelayHandler
        Handles requests of instances that are cut off from the upstreams.
    silence : SilenceGuard
        Sends attempts, and repeats those that meet silence.
    """

    def __init__(
        self,
        settings: DirectSettings,
        view: SystemView,
        header_codec: HeaderCodec,
        pools: UpstreamPools,
        metrics: RouterMetrics,
    ) -> None:
        self._metrics = metrics
        self._settings = settings
        self._view = view
        self._header_codec = header_codec
        self._random = Random()
        self._started_at = monotonic()
        self._retries = RetryBudgets(settings)
        self._quarantine = QuarantineCheck(view, metrics)
        self._returns = ReturnDetector()
        cold_limiter = ColdUpstreamLimiter(settings.bounds)
        direct = DirectTransport(pools, header_codec, settings.send, view)
        relayed = RelayTransport(
            view, header_codec, settings.send, metrics, pools.buffers
        )
        self._pools = pools
        self._answer_memory = AnswerMemory(pools.buffers.held_bytes)
        self._transport = ReroutingTransport(direct, relayed, view)
        self._accounts = AccountGate(view, metrics)
        self._costs = CostEstimator(settings, view)
        self._rejections = RejectionFactory(settings, view, self._transport)
        pace_source = PaceSource(view)
        view.room.sources = (pace_source,)
        self._candidates = CandidateFinder(
            settings,
            view,
            [ColdFilter(view, cold_limiter), PaceFilter(view, pace_source)],
            self._transport,
            self._costs,
            self._rejections,
            metrics,
        )
        rank_admission: RankAdmission | None = None
        account_turns = AccountTurnPolicy()
        # Turns are taken last, so that a request that is rejected takes none.
        self._policies: tuple[EntryPolicy, ...] = (account_turns,)
        if settings.admission.cuts_by_rank:
            rank_admission = RankAdmission(
                view.rank_fact, self._costs, self._rejections, metrics
            )
            self._policies = (rank_admission, account_turns)
        self._gate: RoomGate = view.room
        admission = AdmissionControl(settings, view, self._costs, self._rejections)
        queue = EntryQueue(self._gate, settings.queue, account_turns.choose_turn)
        self._selector = UpstreamSelector(
            settings,
            view,
            self._candidates,
            self._costs,
            admission,
            PermitWait(settings, view, self._costs, self._candidates),
            self._rejections,
            self._gate,
            queue,
            metrics,
        )
        self.decision_parts = DecisionParts(
            costs=self._costs,
            admission=admission,
            cold_limiter=cold_limiter,
            transport=self._transport,
            queue=queue,
            answer_memory=self._answer_memory,
            retries=self._retries,
            account_turns=account_turns,
            rank_admission=rank_admission,
        )
        sender = UpstreamSender(
            view, header_codec, self._transport, cold_limiter, self._costs, metrics
        )
        self.silence = SilenceGuard(
            view,
            sender,
            self._selector,
            self._gate,
            self._costs,
            metrics,
            self._may_retry,
        )
        self.silence.listener = view.room
        self.relay = RelayHandler(
            view, header_codec, direct, metrics, self._answer_memory
        )
        self.in_flight = 0

    async def handle(
        self, request: HttpRequest, caller: CallerConnection
    ) -> HttpAnswer:
        """
        Answer a request.

        Parameters
        ----------
        request : HttpRequest
            Complete request.
        caller : CallerConnection
            Connection of the caller, which shows whether the caller has disconnected.

        Returns
        -------
        HttpAnswer
            Answer of the upstream, or a rejection with its verdict.
        """
        started_at = monotonic()
        # Lets the event loop read from the sockets, which shows whether the caller has
        # disconnected already.
        await sleep(0)
        metadata = self._header_codec.read_request(request)
        self.in_flight += 1
        call: Call | None = None
        try:
            await self._wait_for_configuration(metadata, started_at)
            call = self._start_call(request, metadata, caller, started_at)
            with self._answer_memory.reserve(call.route.name):
                await self._wait(call, lambda: self._accounts.acquire(call))
                answer = await self._run(call)
            self._answer_memory.record_answer(call.route.name, len(answer.body))
            self._record_end(call, None)
            self._log_request_end(metadata, call, answer.status, "answered", "")
            return answer
        except RefusedError as error:
            refusal = error.refusal
            if call is not None and refusal.verdict is Verdict.not_run:
                self._accounts.give_back(call)
            self._record_end(call, refusal)
            self._log_request_end(
                metadata,
                call,
                refusal.status,
                refusal.reason.value,
                refusal.detail,
                refusal.retry_after_s,
            )
            return self._header_codec.write_refusal(refusal, metadata.request_id)
        finally:
            self.in_flight -= 1

    def close(self) -> None:
        """Close the connections to other instances, and end attempts left over."""
        self.silence.close()
        self._transport.close()

    async def _wait_for_configuration(
        self, metadata: RequestMetadata, started_at: float
    ) -> None:
        wait_until = self._started_at + FIRST_CONFIGURATION_WAIT_S
        if metadata.remaining_s is not None:
            wait_until = min(wait_until, started_at + metadata.remaining_s)
        while self._view.routing_config is None and monotonic() < wait_until:
            try:
                async with timeout(wait_until - monotonic()):
                    await self._view.wait_for_change()
            except TimeoutError:
                return

    def _start_call(
        self,
        request: HttpRequest,
        metadata: RequestMetadata,
        caller: CallerConnection,
        started_at: float,
    ) -> Call:
        route = find_route(self._view, metadata.host, request.target)
        account = self._accounts.identify(route, metadata)
        account_name = "" if account is None else account.name
        request = self._header_codec.assign_account(request, account_name)
        policy = find_service(self._view, pick_service(route, self._random))
        deadline_at = started_at + choose_time_limit_s(metadata, route)
        call = Call(request, metadata, caller, route, policy, started_at, deadline_at)
        if account is not None:
            call.account, call.account_priority = account, account.priority
        return call

    async def _run(self, call: Call) -> HttpAnswer:
        if call.route.idempotent:
            task = current_task()
            if task is not None:
                call.caller.set_disconnect_callback(lambda: _cancel(task))
        call.is_returning = self._returns.is_returning(
            call.route.name, call.metadata.remaining_s
        )
        budget = self._retries.find(call.service.name)
        budget.record_request(call.started_at, call.retry_rank)
        self._quarantine.check(call)
        self._admit(call)
        while True:
            record = await self._wait(call, lambda: self._selector.find_upstream(call))
            try:
                return await self._send_once(call, record)
            except NotRunError as error:
                self._metrics.count("attempts", call.service.name, "not-run")
                write_event(
                    "attempt_not_run",
                    request=call.metadata.request_id,
                    upstream=record.id,
                    detail=str(error),
                    attempt=call.attempts,
                )
                await self._wait(
                    call, partial(self._prepare_retry, call, record, error)
                )
            except LostError as error:
                call.may_have_run = True
                # The retry is sent only on a connection that has stayed open.
                call.failed_connects += error.closed_at_once
                self._metrics.count("attempts", call.service.name, "lost")
                write_event(
                    "attempt_lost",
                    request=call.metadata.request_id,
                    upstream=record.id,
                    detail=str(error),
                    attempt=call.attempts,
                    idempotent=call.route.idempotent,
                )
                self._check_retry_after_loss(call, str(error))

    async def _send_once(self, call: Call, record: UpstreamRecord) -> HttpAnswer:
        """Send a request to an upstream at which a unit of room was taken."""
        try:
            # The request may have waited, or ended an upstream.
            self._quarantine.check(call)
            expected = self._costs.estimate(call, record)
            self._check_shutdown(call, expected.wait_s + expected.work_s)
        except RefusedError:
            self._gate.release(record)
            raise
        try:
            async with self._view.shutdown.limit_run() as limit:
                return await self.silence.send(call, record)
        except TimeoutError as error:
            if not limit.expired():
                raise
            raise LostError("the instance stops", timed_out=True) from error

    async def _wait(self, call: Call, step: Callable[[], Awaitable[T]]) -> T:
        """Take a step before a request is sent; reject it if the shutdown is near."""
        work_s = self._costs.estimate_work(call)
        self._check_shutdown(call, work_s)
        shutdown = self._view.shutdown
        try:
            async with shutdown.limit_wait(call.deadline_at, work_s) as limit:
                return await step()
        except TimeoutError:
            if limit.expired():
                raise self._refuse_stopping(call) from None
            raise

    def _check_shutdown(self, call: Call, expected_s: float) -> None:
        """Reject a request that can't end before this instance does."""
        if not self._view.shutdown.allows_send(call.deadline_at, expected_s):
            raise self._refuse_stopping(call)

    def _refuse_stopping(self, call: Call) -> RefusedError:
        # Other instances can take it at once.
        return self._rejections.refuse_unserved(
            call, Reason.SHUTTING_DOWN, "the instance stops", 0.0
        )

    def _admit(self, call: Call) -> None:
        now = monotonic()
        for policy in self._policies:
            policy.check(call, now)
        call.admitted = True

    def _record_end(self, call: Call | None, refusal: Refusal | None) -> None:
        if call is None or not call.admitted:
            return
        for policy in self._policies:
            policy.record_end(call, refusal)

    def _check_retry_after_loss(self, call: Call, detail: str) -> None:
        end_at = min(call.deadline_at, self._view.shutdown.end_at)
        remaining_s = end_at - monotonic()
        timed_out = remaining_s <= self._settings.send.least_left_s
        reason = Reason.UPSTREAM_TIMEOUT if timed_out else Reason.UPSTREAM_LOST
        is_suspect = self._view.crashes.is_suspect(
            call.request, call.service.name, monotonic()
        )
        may_retry = call.route.idempotent and not timed_out and not is_suspect
        if not may_retry or not self._may_retry(call):
            raise RefusedError(refuse_may_have_run(reason, detail))

    async def _prepare_retry(
        self, call: Call, record: UpstreamRecord, error: NotRunError
    ) -> None:
        """Return if a request that didn't run may be retried; raise otherwise."""
        if self._candidates.is_backed_off(record):
            if call.service.keyed:
                raise self._rejections.refuse_backed_off(call, [record])
            if not error.was_received:
                return
        if not error.was_received:
            call.failed_connects += 1
            call.excluded_upstreams.add(record.id)
            may_retry = (
                not call.service.keyed or call.failed_connects < MAX_KEYED_CONNECTS
            )
            if may_retry and call.remaining_s > self._settings.send.least_left_s:
                if call.service.keyed:
                    await self._candidates.wait_for_change(call, UNREACHABLE_WAIT_S)
                return
            raise self._rejections.refuse_unreachable(call, record, str(error))
        elif error.misdirected and call.service.keyed:
            self._candidates.check_refusal(call)
            await self._candidates.wait_for_change(call, MISDIRECTED_WAIT_S)
            if self._may_retry(call):
                return
        elif call.service.keyed:
            # The owner has free concurrency slots, so it may accept a retry at once.
            if not error.at_capacity and self._may_retry(call):
                return
        elif self._may_retry(call):
            call.excluded_upstreams.add(record.id)
            return
        if not error.at_capacity:
            # Most others may accept it at once.
            work_s = self._costs.estimate_work(call)
            raise self._rejections.refuse_short(call, str(error), 0.0, work_s)
        raise self._rejections.refuse_unserved(call, Reason.QUEUE_FULL, str(error), 0.3)

    def _may_retry(self, call: Call) -> bool:
        attempts = call.attempts + call.silent_attempts
        if call.service.keyed:
            # All attempts go to the same upstream, the owner of the key.
            is_exhausted = attempts >= MAX_KEYED_ATTEMPTS
        else:
            is_exhausted = attempts >= call.route.max_attempts
        if is_exhausted or call.caller.disconnected.is_set():
            return False
        work_s = self._view.loads.estimate_work_s(call.route.name, 0.0)
        if call.remaining_s < max(work_s, self._settings.send.least_left_s):
            return False
        if not self._view.shutdown.allows_send(call.deadline_at, work_s):
            return False
        budget = self._retries.find(call.service.name)
        allowed = budget.spend(monotonic(), self._view.members, call.retry_rank)
        if not allowed:
            self._metrics.count("repeats_denied", call.service.name)
        return allowed

    def _log_request_end(
        self,
        metadata: RequestMetadata,
        call: Call | None,
        status: int,
        outcome: str,
        detail: str,
        retry_after_s: float = 0.0,
    ) -> None:
        if call is None:
            self._metrics.count("requests", "", str(status), outcome)
            write_event(
                "request_ended",
                request=metadata.request_id,
                status=status,
                outcome=outcome,
                detail=detail,
            )
            return
        elapsed_s = monotonic() - call.started_at
        self._metrics.count("requests", call.route.name, str(status), outcome)
        self._metrics.observe("request_seconds", elapsed_s, call.route.name)
        write_event(
            "request_ended",
            request=metadata.request_id,
            route=call.route.name,
            service=call.service.name,
            account=call.account.name if call.account else None,
            key=metadata.key,
            status=status,
            outcome=outcome,
            detail=detail or None,
            attempts=call.attempts,
            upstream=call.upstream or None,
            returning=call.is_returning or None,
            left_ms=round(call.remaining_s * 1000.0),
            retry_ms=round(retry_after_s * 1000.0) or None,
            ms=round(elapsed_s * 1000.0),
            plan=self._view.routing_config.version
            if self._view.routing_config
            else None,
        )


def _cancel(task: Task[object]) -> None:
    task.cancel()
