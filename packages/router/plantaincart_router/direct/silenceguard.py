"""Attempts at upstreams that may never answer, and their repeats."""

from asyncio import FIRST_COMPLETED, Task, create_task, wait
from collections.abc import Callable
from time import monotonic

from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.silence import ServiceSilence
from plantaincart_core.verdict import RefusedError

from plantaincart_router.direct.call import Call, LostError
from plantaincart_router.direct.cost import CostEstimator
from plantaincart_router.direct.metrics import RouterMetrics
from plantaincart_router.direct.roomgate import RoomGate
from plantaincart_router.direct.selector import UpstreamSelector
from plantaincart_router.direct.sender import UpstreamSender
from plantaincart_router.direct.silencelistener import SilenceListener
from plantaincart_router.direct.silentattempt import WatchedAttempt
from plantaincart_router.direct.view import SystemView
from plantaincart_router.http.message import HttpAnswer
from plantaincart_router.log import write_event

__all__ = ["SilenceGuard"]

# Seconds between looks at whether the queue of a silent owner has drained, as a
# multiple of the time that one request takes there.
DRAIN_POLL_SHARE = 0.5
LEAST_DRAIN_POLL_S = 0.02


class SilenceGuard:
    """
    Sends requests, and repeats idempotent ones to whose attempt no answer will come.

    Parameters
    ----------
    view : SystemView
        State of the system as this instance knows it.
    sender : UpstreamSender
        Sends one attempt.
    selector : UpstreamSelector
        Finds the upstream for a repeat.
    gate : RoomGate
        Is given back the unit of room of each attempt.
    costs : CostEstimator
        Expected wait and duration.
    metrics : RouterMetrics
        Counters and histograms.
    may_repeat : callable
        Takes a repeat of a request from the retry budget, if its attempts and its
        remaining time allow one.

    Notes
    -----
    A silent attempt goes on in the background until its answer or the deadline: the
    first answer that comes is delivered, its connection carries no other request
    meanwhile, and the time that a late answer took tells whether the attempt was only
    slow. A request has one repeat at most while an earlier attempt of it goes on, so
    that at most one run isn't needed. It counts as one at its upstream until it ends:
    taken off at once, it would make full upstreams look free, and half of the attempts
    that count as silent are slow. A non-idempotent request isn't repeated, and
    ends no sooner.
    """

    def __init__(
        self,
        view: SystemView,
        sender: UpstreamSender,
        selector: UpstreamSelector,
        gate: RoomGate,
        costs: CostEstimator,
        metrics: RouterMetrics,
        may_repeat: Callable[[Call], bool],
    ) -> None:
        self._view = view
        self._sender = sender
        self._selector = selector
        self._gate = gate
        self._costs = costs
        self._metrics = metrics
        self._may_repeat = may_repeat
        self._background: set[Task[HttpAnswer]] = set()
        self.listener: SilenceListener | None = None

    def close(self) -> None:
        """End the attempts that go on in the background."""
        for task in tuple(self._background):
            task.cancel()

    async def send(self, call: Call, record: UpstreamRecord) -> HttpAnswer:
        """
        Send a request, and repeat it once if it meets silence and is idempotent.

        Parameters
        ----------
        call : Call
            The request.
        record : UpstreamRecord
            The upstream, at which a unit of room was taken. It is given back when the
            attempt has ended.

        Returns
        -------
        HttpAnswer
            Complete answer, in the form for the caller.

        Raises
        ------
        NotRunError
            If the upstream certainly didn't run the request.
        LostError
            If an upstream may have run it.
        """
        attempt = self._make_attempt(call, record)
        limit_s = self._find_silence(call).choose_limit_s(
            call.route.name, attempt.expected_s, attempt.started_at
        )
        if limit_s >= call.remaining_s:
            try:
                return await self._send_once(attempt)
            finally:
                self._gate.release(record)
        return await self._send_watched(attempt, limit_s)

    async def _send_watched(
        self, attempt: WatchedAttempt, limit_s: float
    ) -> HttpAnswer:
        first = self._start(attempt)
        second: Task[HttpAnswer] | None = None
        try:
            is_silent = await self._wait_for_silence(attempt, first, limit_s)
            if is_silent and attempt.call.route.idempotent:
                second = await self._start_repeat(attempt, first)
            if second is not None:
                return await self._wait_for_both(first, second)
            return await first
        except BaseException:
            # The caller has gone, or both attempts have failed.
            for task in (first, second):
                if task is not None:
                    task.cancel()
            raise

    async def _wait_for_silence(
        self, attempt: WatchedAttempt, first: Task[HttpAnswer], limit_s: float
    ) -> bool:
        """Wait until an attempt ends (False), or is judged `limit_s` after sending."""
        while not first.done():
            # Its connection may have taken longer to open than the limit.
            left_s = limit_s
            if attempt.progress.sent_at is not None:
                left_s = attempt.progress.sent_at + limit_s - monotonic()
            if left_s <= 0.0:
                return self._judge(attempt)
            await wait({first}, timeout=left_s)
        return False

    async def _start_repeat(
        self, attempt: WatchedAttempt, first: Task[HttpAnswer]
    ) -> Task[HttpAnswer] | None:
        """Start the repeat of a silent attempt, if one may be sent."""
        call, record = attempt.call, attempt.record
        if call.service.keyed:
            await self._wait_until_drained(attempt, first)
        is_suspect = self._view.crashes.is_suspect(
            call.request, call.service.name, monotonic()
        )
        if first.done() or is_suspect:
            return None
        if not call.service.keyed:
            call.excluded_upstreams.add(record.id)
        try:
            target = await self._selector.find_upstream(call)
        except RefusedError as error:
            write_event(
                "silent_not_repeated",
                request=call.metadata.request_id,
                upstream=record.id,
                detail=str(error),
            )
            return None
        # The retry budget is spent last, since most repeats at owners are refused.
        call.silent_attempts += 1
        may_repeat = not first.done() and self._may_repeat(call)
        call.silent_attempts -= 1
        if not may_repeat:
            self._view.quotas.give_back(target)
            self._gate.release(target)
            return None
        self._metrics.count("silent", call.service.name, "repeated")
        write_event(
            "silent_repeated",
            request=call.metadata.request_id,
            upstream=record.id,
            repeat=target.id,
            left_ms=round(call.remaining_s * 1000.0),
        )
        return self._start(self._make_attempt(call, target))

    async def _wait_until_drained(
        self, attempt: WatchedAttempt, first: Task[HttpAnswer]
    ) -> None:
        """Wait until fewer requests are at an owner than when it fell silent."""
        call, loads = attempt.call, self._view.loads
        poll_s = max(
            LEAST_DRAIN_POLL_S, DRAIN_POLL_SHARE * self._costs.estimate_work(call)
        )
        while (
            # Without the silent attempt, which counts until it ends.
            attempt.load.estimate_in_flight(monotonic(), loads.settings) - 1.0
            >= attempt.in_flight
            and attempt.in_flight >= 1.0
            and call.remaining_s > attempt.expected_s + poll_s
            and not first.done()
        ):
            await wait({first}, timeout=poll_s)

    async def _wait_for_both(
        self, first: Task[HttpAnswer], second: Task[HttpAnswer]
    ) -> HttpAnswer:
        """Return the first answer; raise only after both attempts have failed."""
        await wait({first, second}, return_when=FIRST_COMPLETED)
        for task, other in ((second, first), (first, second)):
            if task.done() and task.exception() is None:
                self._leave_in_background(other)
                return task.result()
        await wait({first, second})
        if second.exception() is None:
            return second.result()
        if first.exception() is None or isinstance(first.exception(), LostError):
            return first.result()
        return second.result()

    def _leave_in_background(self, task: Task[HttpAnswer]) -> None:
        if task.done():
            return
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _start(self, attempt: WatchedAttempt) -> Task[HttpAnswer]:
        task = create_task(self._send_once(attempt))
        task.add_done_callback(_retrieve_exception)
        # A task that is cancelled before it begins has taken its unit, too.
        task.add_done_callback(lambda _: self._gate.release(attempt.record))
        return task

    async def _send_once(self, attempt: WatchedAttempt) -> HttpAnswer:
        """Send one attempt, and learn from its end."""
        call, record = attempt.call, attempt.record
        silence = self._find_silence(call)
        try:
            answer = await self._sender.send(call, record, attempt.progress)
        except LostError as error:
            if error.timed_out and not self._record_unanswered(attempt):
                elapsed_s = monotonic() - attempt.started_at
                self._costs.record_overdue(record, elapsed_s, attempt.expected_s)
            raise
        waited = attempt.measure(monotonic())
        if waited is not None and silence.record_answer(waited):
            write_event("silence_shown", service=call.service.name, upstream=record.id)
        if attempt.is_silent:
            self._metrics.count("silent", call.service.name, "slow")
        return answer

    def _record_unanswered(self, attempt: WatchedAttempt) -> bool:
        """Return whether an attempt certainly met silence, which is no slowness."""
        call, record = attempt.call, attempt.record
        waited = attempt.measure(monotonic())
        if waited is None or attempt.progress.started_at is not None:
            return False
        silence = self._find_silence(call)
        was_overtaken = silence.was_overtaken(waited)
        if was_overtaken:
            write_event("silence_shown", service=call.service.name, upstream=record.id)
        if not silence.record_unanswered(waited):
            return False
        self._metrics.count("silent", call.service.name, "unanswered")
        if self.listener is not None:
            self.listener.record_silent(record, attempt.in_flight)
        return was_overtaken

    def _judge(self, attempt: WatchedAttempt) -> bool:
        """Take an attempt for silent unless its answer has begun to arrive."""
        if attempt.progress.started_at is not None:
            return False
        attempt.is_silent = True
        call, record = attempt.call, attempt.record
        self._metrics.count("silent", call.service.name, "judged")
        write_event(
            "attempt_silent",
            request=call.metadata.request_id,
            upstream=record.id,
            idempotent=call.route.idempotent,
            waited_ms=round((monotonic() - attempt.started_at) * 1000.0),
            expected_ms=round(attempt.expected_s * 1000.0),
            in_flight=round(attempt.in_flight, 1),
        )
        return True

    def _make_attempt(self, call: Call, record: UpstreamRecord) -> WatchedAttempt:
        loads, now = self._view.loads, monotonic()
        load = loads.get(record.id)
        expected = self._costs.estimate(call, record)
        return WatchedAttempt(
            call=call,
            record=record,
            expected_s=expected.wait_s + expected.work_s,
            load=load,
            in_flight=load.estimate_in_flight(now, loads.settings),
            started_at=now,
        )

    def _find_silence(self, call: Call) -> ServiceSilence:
        return self._view.silence_fact.find(call.service.name)


def _retrieve_exception(task: Task[HttpAnswer]) -> None:
    """Mark the exception of an attempt as seen; its end was logged by the sender."""
    if not task.cancelled():
        task.exception()
