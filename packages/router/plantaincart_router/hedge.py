"""Hedging: a second copy of an idempotent request whose answer is late."""

from asyncio import (
    FIRST_COMPLETED,
    CancelledError,
    Task,
    create_task,
    wait,
)
from collections.abc import Coroutine
from typing import Any

from plantaincart_core.retry import RetryBudget
from plantaincart_core.verdict import Reason
from plantaincart_schema.generated.mesh import Request
from plantaincart_schema.generated.settings import DispatchSettings

from plantaincart_router.delivery import AttemptResult, Delivery
from plantaincart_router.dispatcher import Dispatcher, Permit
from plantaincart_router.exception import AttemptMayHaveRunError, AttemptNotRunError
from plantaincart_router.metrics import Metrics

__all__ = ["Hedger"]

MIN_HEDGE_DELAY_S = 0.005


class Hedger:
    """
    Send a second copy of an idempotent request whose answer is late.

    Parameters
    ----------
    dispatcher : Dispatcher
        Grants the permit for another upstream.
    delivery : Delivery
        Sends the copies to their upstreams.
    settings : DispatchSettings
        Allowed share of hedged requests, and the latency quantile after which an
        answer is late.
    metrics : Metrics
        Counts hedges.

    Notes
    -----
    The first whole answer is returned and the other copy is cancelled, which closes
    its connection.

    References
    ----------
    Dean and Barroso, "The Tail at Scale", Communications of the ACM 56(2), 2013.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        delivery: Delivery,
        settings: DispatchSettings,
        metrics: Metrics,
    ) -> None:
        self._dispatcher = dispatcher
        self._delivery = delivery
        self._settings = settings
        self._metrics = metrics
        self._budget = RetryBudget(settings.hedge_ratio, settings.retry_burst)

    def record_request(self) -> None:
        """Count a request towards the budget of hedges."""
        self._budget.record_request()

    def may_hedge(self, request: Request) -> bool:
        """Return whether a request may run at two upstreams."""
        service = self._dispatcher.service
        return request.idempotent and service.hedge and not request.key

    async def deliver(
        self,
        permit: Permit,
        request: Request,
        deadline: float,
        avoid: frozenset[str],
    ) -> AttemptResult:
        """
        Deliver a request, and a second copy when the answer is late.

        Parameters
        ----------
        permit : Permit
            Permit for the first upstream.
        request : Request
            Idempotent request.
        deadline : float
            Time in seconds of the loop's clock.
        avoid : frozenset of str
            Upstreams at which the request has failed.

        Returns
        -------
        AttemptResult
            The first whole answer.

        Raises
        ------
        AttemptNotRunError
            If neither copy has run.
        AttemptMayHaveRunError
            If a copy may have run and there is no answer.
        """
        tasks = {_start(self._delivery.deliver(permit, request, deadline))}
        try:
            done, _ = await wait(tasks, timeout=self._find_delay())
            if not done and self._budget.spend():
                self._metrics.hedges.labels(request.service).inc()
                avoid_both = avoid | {permit.runtime.name}
                tasks.add(_start(self._deliver_second(request, deadline, avoid_both)))
            return await _await_first_answer(tasks)
        finally:
            for task in tasks:
                task.cancel()

    def _find_delay(self) -> float:
        quantile_s = self._dispatcher.latency.quantile(self._settings.hedge_quantile)
        return max(MIN_HEDGE_DELAY_S, quantile_s)

    async def _deliver_second(
        self, request: Request, deadline: float, avoid: frozenset[str]
    ) -> AttemptResult:
        permit = await self._dispatcher.acquire(None, deadline, avoid)
        if permit.runtime.name in avoid:
            self._dispatcher.release(permit)
            name = permit.runtime.name
            raise AttemptNotRunError(name, Reason.NO_OWNER, "no other upstream")
        return await self._delivery.deliver(permit, request, deadline)


async def _await_first_answer(tasks: set[Task[AttemptResult]]) -> AttemptResult:
    pending = set(tasks)
    failure: BaseException | None = None
    while pending:
        done, pending = await wait(pending, return_when=FIRST_COMPLETED)
        for task in done:
            error = task.exception()
            if error is None:
                return task.result()
            if failure is None or isinstance(error, AttemptMayHaveRunError):
                failure = error
    if failure is None:
        raise CancelledError
    raise failure


def _start(work: Coroutine[Any, Any, AttemptResult]) -> Task[AttemptResult]:
    task = create_task(work)
    task.add_done_callback(_retrieve_error)
    return task


def _retrieve_error(task: Task[AttemptResult]) -> None:
    """Retrieve the error of the slower copy, so that asyncio doesn't log it."""
    if not task.cancelled():
        task.exception()
