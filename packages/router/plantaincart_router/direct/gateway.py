"""The way of one request: route, upstream, answer."""

from asyncio import Task, current_task, sleep
from random import Random
from time import monotonic

from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.traffic import pick_service
from plantaincart_core.verdict import Reason, RefusedError, refuse_may_have_run
from plantaincart_core.windowbudget import WindowBudget

from plantaincart_router.direct.call import Call, LostError, NotRunError, refuse
from plantaincart_router.direct.cold import ColdUpstreamLimiter
from plantaincart_router.direct.interface import CallerReading, Dialect
from plantaincart_router.direct.pool import UpstreamPools
from plantaincart_router.direct.selector import UpstreamSelector
from plantaincart_router.direct.sender import UpstreamSender
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.tally import RouterMetrics
from plantaincart_router.direct.view import SystemView
from plantaincart_router.http.caller import CallerConnection
from plantaincart_router.http.message import HttpAnswer, HttpRequest
from plantaincart_router.log import write_event

__all__ = ["Gateway"]

DEFAULT_TIME_LEFT_S = 30.0
# Attempts at the owner of a key, and attempts to connect to it: a second one meets an
# upstream whose connections were all taken, while one out of reach stays so for
# longer than most callers wait.
KEYED_ATTEMPTS = 3
UNREACHED_ATTEMPTS = 2
# Seconds to wait for another owner after the known one couldn't be reached, and
# after it said that it doesn't hold the key.
UNREACHED_WAIT_S = 0.2
MISDIRECTED_WAIT_S = 0.3


class Gateway:
    """
    Answers callers' requests.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the instance.
    view : SystemView
        What is known of the system.
    dialect : Dialect
        Header fields.
    pools : UpstreamPools
        Connections to upstreams.
    metrics : RouterMetrics
        Counts what happens.
    """

    def __init__(
        self,
        settings: DirectSettings,
        view: SystemView,
        dialect: Dialect,
        pools: UpstreamPools,
        metrics: RouterMetrics,
    ) -> None:
        self._metrics = metrics
        self._settings = settings
        self._view = view
        self._dialect = dialect
        self._random = Random()
        self._budgets: dict[str, WindowBudget] = {}
        cold_limiter = ColdUpstreamLimiter(settings.bounds)
        self._selector = UpstreamSelector(
            settings, view, cold_limiter, pools.connect_failures, metrics
        )
        self._sender = UpstreamSender(
            settings, view, dialect, pools, cold_limiter, self._selector, metrics
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
            Whole request.
        caller : CallerConnection
            Says when the caller leaves.

        Returns
        -------
        HttpAnswer
            The upstream's answer, or a refusal with its verdict.
        """
        started_at = monotonic()
        # Lets the loop read what has arrived: the caller may have left already.
        await sleep(0)
        reading = self._dialect.read_request(request)
        self.in_flight += 1
        call: Call | None = None
        try:
            call = self._start_call(request, reading, caller, started_at)
            answer = await self._run(call)
            self._log_end(reading, call, answer.status, "answered", "")
            return answer
        except RefusedError as error:
            refusal = error.refusal
            self._log_end(
                reading, call, refusal.status, refusal.reason.value, refusal.detail
            )
            return self._dialect.write_refusal(refusal, reading.request_id)
        finally:
            self.in_flight -= 1

    def _start_call(
        self,
        request: HttpRequest,
        reading: CallerReading,
        caller: CallerConnection,
        started_at: float,
    ) -> Call:
        plan, routes = self._view.routing_config, self._view.routes
        if plan is None or routes is None:
            raise refuse(Reason.NO_ROUTE, "no configuration known yet", 0.5, 503)
        route = routes.find(reading.host, request.target)
        if route is None:
            raise refuse(Reason.NO_ROUTE, "no route for host and path", 0.0)
        policy = plan.services.get(pick_service(route, self._random))
        if policy is None:
            raise refuse(Reason.NO_ROUTE, "service not described yet", 0.5, 503)
        left_s = DEFAULT_TIME_LEFT_S
        if reading.time_left_s is not None:
            left_s = reading.time_left_s
        ends_at = started_at + min(left_s, route.timeout_s)
        return Call(request, reading, caller, route, policy, started_at, ends_at)

    async def _run(self, call: Call) -> HttpAnswer:
        if call.route.idempotent:
            task = current_task()
            if task is not None:
                call.caller.call_when_gone(lambda: _cancel(task))
        self._find_budget(call.service.name).record_request(call.started_at)
        while True:
            record = await self._selector.find_upstream(call)
            try:
                return await self._sender.send(call, record)
            except NotRunError as error:
                self._metrics.count("attempts", call.service.name, "not-run")
                write_event(
                    "attempt_not_run",
                    request=call.reading.request_id,
                    upstream=record.id,
                    detail=str(error),
                    attempt=call.attempts,
                )
                await self._prepare_repeat(call, record, error)
            except LostError as error:
                call.may_have_run = True
                # A repeat is sent only on a connection that stays open.
                call.unreached += error.closed_at_once
                self._metrics.count("attempts", call.service.name, "lost")
                write_event(
                    "attempt_lost",
                    request=call.reading.request_id,
                    upstream=record.id,
                    detail=str(error),
                    attempt=call.attempts,
                    idempotent=call.route.idempotent,
                )
                self._check_repeat_after_loss(call, str(error))

    def _check_repeat_after_loss(self, call: Call, detail: str) -> None:
        timed_out = call.left_s <= self._settings.send.least_left_s
        reason = Reason.UPSTREAM_TIMEOUT if timed_out else Reason.UPSTREAM_LOST
        if not call.route.idempotent or timed_out or not self._may_repeat(call):
            raise RefusedError(refuse_may_have_run(reason, detail))

    async def _prepare_repeat(
        self, call: Call, record: UpstreamRecord, error: NotRunError
    ) -> None:
        """Decide whether a request that didn't run is sent once more."""
        if not error.arrived:
            call.unreached += 1
            call.tried.add(record.id)
            again = not call.service.keyed or call.unreached < UNREACHED_ATTEMPTS
            if again and call.left_s > self._settings.send.least_left_s:
                if call.service.keyed:
                    await self._selector.wait_for_change(call, UNREACHED_WAIT_S)
                return
            raise self._selector.refuse_unreachable(call, record, str(error))
        elif error.misdirected and call.service.keyed:
            await self._selector.wait_for_change(call, MISDIRECTED_WAIT_S)
            if self._may_repeat(call):
                return
        elif call.service.keyed:
            # Its owner isn't full, so it may well take the same request now.
            if not error.full and self._may_repeat(call):
                return
        elif self._may_repeat(call):
            call.tried.add(record.id)
            return
        raise self._selector.refuse_unserved(call, Reason.QUEUE_FULL, str(error), 0.3)

    def _may_repeat(self, call: Call) -> bool:
        if call.service.keyed:
            # The key has one owner, so all attempts go to one upstream.
            spent = call.attempts >= KEYED_ATTEMPTS
        else:
            spent = call.attempts >= call.route.max_attempts
        if spent or call.caller.gone.is_set():
            return False
        work_s = self._view.loads.estimate_work_s(call.route.name, 0.0)
        if call.left_s < max(work_s, self._settings.send.least_left_s):
            return False
        budget = self._find_budget(call.service.name)
        allowed = budget.spend(monotonic(), self._view.members)
        if not allowed:
            self._metrics.count("repeats_denied", call.service.name)
        return allowed

    def _find_budget(self, service: str) -> WindowBudget:
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._settings.bounds
            share = self._settings.send.retry_budget_share
            budget = self._budgets[service] = WindowBudget(
                bounds.retry_ratio * share,
                bounds.retry_extra * share,
                bounds.retry_window_s,
            )
        return budget

    def _log_end(
        self,
        reading: CallerReading,
        call: Call | None,
        status: int,
        outcome: str,
        detail: str,
    ) -> None:
        if call is None:
            self._metrics.count("requests", "", str(status), outcome)
            write_event(
                "request_ended",
                request=reading.request_id,
                status=status,
                outcome=outcome,
                detail=detail,
            )
            return
        spent_s = monotonic() - call.started_at
        self._metrics.count("requests", call.route.name, str(status), outcome)
        self._metrics.observe("request_seconds", spent_s, call.route.name)
        write_event(
            "request_ended",
            request=reading.request_id,
            route=call.route.name,
            service=call.service.name,
            key=reading.key,
            status=status,
            outcome=outcome,
            detail=detail or None,
            attempts=call.attempts,
            upstream=call.upstream or None,
            ms=round(spent_s * 1000.0),
            plan=self._view.routing_config.version
            if self._view.routing_config
            else None,
        )


def _cancel(task: Task[object]) -> None:
    task.cancel()
