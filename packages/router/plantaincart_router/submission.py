"""Requests submitted to a led shard, with idempotency records where needed."""

from asyncio import Event, Task, get_running_loop, shield, timeout_at
from collections.abc import Callable, Sequence
from dataclasses import replace
from time import monotonic, time

from plantaincart_core.exception import (
    RecordNotDurableError,
    RecordsFullError,
    UnknownRecordError,
)
from plantaincart_core.rate import TokenBucket
from plantaincart_core.record import (
    Decision,
    Outcome,
    RecordedDecision,
    RecordKey,
    RecordTracker,
)
from plantaincart_core.recordmerge import identify_record
from plantaincart_core.verdict import (
    Reason,
    Refusal,
    RefusedError,
    Verdict,
    refuse_may_have_run,
    refuse_not_run,
)
from plantaincart_schema.generated.mesh import Answer, Request
from plantaincart_schema.generated.platform import Record

from plantaincart_router.answer import make_refusal_answer
from plantaincart_router.attempt import AttemptResult, AttemptRunner
from plantaincart_router.log import write_event
from plantaincart_router.metrics import Metrics
from plantaincart_router.recorder import Recorder
from plantaincart_router.replay import (
    JOIN_RETRY_S,
    refuse_unknown,
    relay_answer,
    replay_answer,
)

__all__ = ["Submissions"]

RECORD_RETRY_S = 1.0


class Submissions:
    """
    Answer the requests of a shard.

    Parameters
    ----------
    runner : AttemptRunner
        Runs requests on upstreams.
    recorder : Recorder
        Makes records durable.
    metrics : Metrics
        Counts replays.
    find_epoch : callable
        Returns the epoch of the leadership.
    forward_outcomes : callable
        Sends answered records to the next leader.

    Notes
    -----
    A non-idempotent request with an idempotency key is dispatched only after its
    intent is durable. It continues after its caller has disconnected, so that a resend
    finds the answer. A resend during the run waits for the same answer.
    """

    def __init__(
        self,
        runner: AttemptRunner,
        recorder: Recorder,
        metrics: Metrics,
        find_epoch: Callable[[], int],
        forward_outcomes: Callable[[Sequence[Record]], None],
    ) -> None:
        self._runner = runner
        self._recorder = recorder
        self._records: RecordTracker = recorder.records
        self._metrics = metrics
        self._find_epoch = find_epoch
        self._forward_outcomes = forward_outcomes
        self._loop = get_running_loop()
        self._running: dict[RecordKey, Task[Answer]] = {}
        self._bucket: TokenBucket | None = None
        self.records_loaded = Event()

    @property
    def running(self) -> int:
        """Number of recorded requests that are running."""
        return len(self._running)

    def list_running(self) -> list[Task[Answer]]:
        """List the tasks of the recorded requests that are running."""
        return list(self._running.values())

    def set_rate(self, requests_per_s: float) -> None:
        """Set the rate limit of this shard in requests/s; 0 for no limit."""
        if requests_per_s <= 0:
            self._bucket = None
            return
        burst = max(1.0, requests_per_s)
        if self._bucket is None:
            self._bucket = TokenBucket(requests_per_s, burst)
        else:
            self._bucket.set_rate(requests_per_s, burst, monotonic())

    async def submit(self, request: Request, deadline: float) -> Answer:
        """
        Answer a request.

        Parameters
        ----------
        request : Request
            The request.
        deadline : float
            Time in seconds of the loop's clock.

        Returns
        -------
        Answer
            Answer of an upstream, or a refusal with its verdict.
        """
        try:
            if request.idempotent or not request.idempotency_key:
                self._take_token()
                result = await self._runner.run(request, deadline)
                return relay_answer(request, result, self._find_epoch())
            return await self._submit_recorded(request, deadline)
        except RefusedError as error:
            return make_refusal_answer(request, error.refusal)

    async def _submit_recorded(self, request: Request, deadline: float) -> Answer:
        await self._await_records(deadline)
        recorded = self._begin_record(request, deadline)
        record, record_id = recorded.record, recorded.record_id
        if recorded.decision is Decision.REUSED:
            detail = "the idempotency key belongs to another request"
            refusal = refuse_not_run(Reason.IDEMPOTENCY_KEY_REUSED, detail)
            raise RefusedError(refusal)
        if recorded.decision is Decision.REPLAY:
            self._metrics.replays.labels(request.service).inc()
            return replay_answer(request, record, self._find_epoch())
        if recorded.decision is Decision.UNKNOWN:
            raise RefusedError(refuse_unknown(record, time()))
        if recorded.decision is Decision.NEW:
            task = self._loop.create_task(self._run_new(request, record_id, deadline))
            self._running[record_id] = task
            task.add_done_callback(lambda _: self._running.pop(record_id, None))
        return await self._join(request, record_id, deadline)

    def _begin_record(self, request: Request, deadline: float) -> RecordedDecision:
        now_wall = time()
        try:
            recorded = self._records.begin(
                request.service,
                request.key,
                request.idempotency_key,
                request.fingerprint,
                request.slot,
                now_wall,
                deadline_at=now_wall + deadline - monotonic(),
            )
        except RecordsFullError as error:
            refusal = refuse_not_run(Reason.QUEUE_FULL, str(error), RECORD_RETRY_S)
            raise RefusedError(refusal) from None
        if recorded.decision is Decision.NEW:
            try:
                self._take_token()
            except RefusedError:
                self._records.record_not_run(recorded.record_id)
                raise
        return recorded

    async def _await_records(self, deadline: float) -> None:
        try:
            async with timeout_at(deadline):
                await self.records_loaded.wait()
        except TimeoutError:
            detail = "records of earlier requests are not loaded yet"
            refusal = refuse_not_run(Reason.DEADLINE_PASSED, detail, RECORD_RETRY_S)
            raise RefusedError(refusal) from None

    async def _join(
        self, request: Request, record_id: RecordKey, deadline: float
    ) -> Answer:
        task = self._running.get(record_id)
        if task is None:
            detail = "the request is being settled"
            refusal = refuse_may_have_run(Reason.IN_PROGRESS, detail, JOIN_RETRY_S)
            raise RefusedError(refusal)
        try:
            async with timeout_at(deadline):
                answer = await shield(task)
        except TimeoutError:
            detail = "the request is still running"
            refusal = refuse_may_have_run(Reason.IN_PROGRESS, detail, JOIN_RETRY_S)
            raise RefusedError(refusal) from None
        return replace(answer, id=request.id)

    async def _run_new(
        self, request: Request, record_id: RecordKey, deadline: float
    ) -> Answer:
        try:
            if not await self._recorder.make_durable(record_id, deadline):
                raise RefusedError(self._refuse_unrecorded(deadline))
            result = await self._runner.run(
                request, deadline, lambda: self._confirm_dispatch(record_id)
            )
        except RefusedError as error:
            self._record_refusal(record_id, error)
            return make_refusal_answer(request, error.refusal)
        except BaseException:
            self._records.record_unknown_outcome(record_id)
            raise
        self._finish(record_id, result)
        return relay_answer(request, result, self._find_epoch())

    def _refuse_unrecorded(self, deadline: float) -> Refusal:
        in_time = monotonic() < deadline
        reason = Reason.NOT_LEADER if in_time else Reason.DEADLINE_PASSED
        detail = "the request could not be recorded"
        return refuse_not_run(reason, detail, RECORD_RETRY_S)

    def _confirm_dispatch(self, record_id: RecordKey) -> None:
        try:
            self._records.confirm_dispatch(record_id)
        except RecordNotDurableError as error:
            refusal = refuse_not_run(Reason.NOT_LEADER, str(error), RECORD_RETRY_S)
            raise RefusedError(refusal) from None

    def _record_refusal(self, record_id: RecordKey, error: RefusedError) -> None:
        if error.refusal.verdict is Verdict.not_run:
            self._records.record_not_run(record_id)
        else:
            self._records.record_unknown_outcome(record_id)

    def _finish(self, record_id: RecordKey, result: AttemptResult) -> None:
        answer = result.answer
        outcome = Outcome(
            status=answer.status,
            headers=[[name, value] for name, value in answer.headers],
            body=answer.body,
            upstream=result.upstream,
        )
        try:
            record = self._records.finish(record_id, outcome)
        except UnknownRecordError:
            self._records.record_unknown_outcome(record_id)
            return
        if self._recorder.closed:
            self._forward_outcomes([record])

    def record_late_outcomes(self, records: Sequence[Record]) -> None:
        """
        Add answers that an earlier leader received after its leadership ended.

        Parameters
        ----------
        records : sequence of Record
            Answered records. One without a matching record of the same run here is
            ignored.
        """
        for answered in records:
            record_id = identify_record(answered)
            own_record = self._records.find(record_id)
            if own_record is None or own_record.created_at != answered.created_at:
                write_event(
                    "late_outcome_unknown", key=answered.key, slot=answered.slot
                )
                continue
            outcome = Outcome(
                status=answered.status,
                headers=answered.headers,
                body=answered.body,
                upstream=answered.upstream,
            )
            self._records.finish(record_id, outcome)

    def _take_token(self) -> None:
        if self._bucket is None:
            return
        wait_s = self._bucket.take(monotonic())
        if wait_s > 0:
            detail = "the service's limit for the day is reached"
            raise RefusedError(refuse_not_run(Reason.RATE_LIMITED, detail, wait_s))
