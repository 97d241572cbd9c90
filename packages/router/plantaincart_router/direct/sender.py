"""A single attempt at an upstream, and the evaluation of its answer."""

from asyncio import CancelledError
from time import monotonic

from plantaincart_core.admission import LatencyEstimate
from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.ownermap import KeyRange
from plantaincart_core.verdict import Reason

from plantaincart_router.direct.call import Call, LostError, NotRunError, refuse
from plantaincart_router.direct.coldlimiter import ColdUpstreamLimiter
from plantaincart_router.direct.cost import CostEstimator
from plantaincart_router.direct.interface import AnswerMetadata, HeaderCodec
from plantaincart_router.direct.metrics import RouterMetrics
from plantaincart_router.direct.pacesource import is_good_answer
from plantaincart_router.direct.sharedroom import FULL_FACTOR
from plantaincart_router.direct.transport import (
    Attempt,
    AttemptProgress,
    AttemptTransport,
    record_leaving,
)
from plantaincart_router.direct.view import SystemView
from plantaincart_router.http.message import HttpAnswer

__all__ = ["UpstreamSender"]

# Seconds for which a unit isn't used again after an upstream turned a request away: the
# time in which it finishes some.
FULL_HOLD_S = 0.25
# Longest time in seconds after a request that wasn't answered.
MAX_HOLD_S = 1.0


class UpstreamSender:
    """
    Sends requests to upstreams and records load and duration.

    Parameters
    ----------
    view : SystemView
        State of the system as this instance knows it.
    header_codec : HeaderCodec
        Parses and writes the platform's header fields.
    transport : AttemptTransport
        Sends the requests.
    cold_limiter : ColdUpstreamLimiter
        Counts requests to cold upstreams.
    costs : CostEstimator
        Expected wait and duration of requests.
    metrics : RouterMetrics
        Counters and histograms.
    """

    def __init__(
        self,
        view: SystemView,
        header_codec: HeaderCodec,
        transport: AttemptTransport,
        cold_limiter: ColdUpstreamLimiter,
        costs: CostEstimator,
        metrics: RouterMetrics,
    ) -> None:
        self._view = view
        self._header_codec = header_codec
        self._transport = transport
        self._cold_limiter = cold_limiter
        self._costs = costs
        self._metrics = metrics

    async def send(
        self,
        call: Call,
        record: UpstreamRecord,
        progress: AttemptProgress | None = None,
    ) -> HttpAnswer:
        """
        Send a request to an upstream once.

        Parameters
        ----------
        call : Call
            The request.
        record : UpstreamRecord
            The upstream.
        progress : AttemptProgress, optional
            Written while the attempt goes on.

        Returns
        -------
        HttpAnswer
            Complete answer, in the form for the caller.

        Raises
        ------
        NotRunError
            If the upstream certainly didn't run the request.
        LostError
            If the upstream may have run it.
        """
        if call.caller.disconnected.is_set() and not call.sent:
            raise refuse(Reason.TIMEOUT, "the caller has gone", 0.0, 503)
        expected = self._costs.estimate(call, record)
        unanswered_s = min(expected.wait_s + expected.work_s, MAX_HOLD_S)
        room = self._view.room
        try:
            return await self._send(call, record, expected, progress)
        except NotRunError as error:
            if error.was_received and error.at_capacity and not error.misdirected:
                room.hold(record, FULL_HOLD_S)
            raise
        except LostError as error:
            room.hold(record, unanswered_s if error.timed_out else FULL_HOLD_S)
            raise
        except CancelledError:
            room.hold(record, unanswered_s)
            raise

    async def _send(
        self,
        call: Call,
        record: UpstreamRecord,
        expected: LatencyEstimate,
        progress: AttemptProgress | None,
    ) -> HttpAnswer:
        loads = self._view.loads
        load = loads.get(record.id)
        in_progress = load.estimate_in_flight(monotonic(), loads.settings)
        load.in_flight += 1
        call.upstream = record.id
        sent_at = monotonic()
        # Counted before a connection is opened, since other requests are admitted while
        # this one waits for it.
        self._cold_limiter.record(record.id, sent_at)
        try:
            answer = await self._exchange(call, record, progress)
        except LostError as error:
            is_full = in_progress >= FULL_FACTOR * record.slots
            if is_full and not error.timed_out:
                self._record_full(call, record)
            if error.timed_out:
                self._view.paces.record(record.id, is_good=False)
            else:
                # Upstreams may reset the connection when they are full.
                self._view.paces.record_full(record.id)
            raise
        finally:
            load.in_flight -= 1
        metadata = self._header_codec.read_answer(answer)
        record_leaving(self._view, record, metadata)
        now = monotonic()
        if metadata.request_count is not None:
            loads.record_in_flight(record.id, metadata.request_count, record.slots, now)
        if metadata.load is not None:
            self._view.room.record_load(record, metadata.load.waiting)
        if metadata.not_run:
            raise self._evaluate_not_run(call, record, metadata, answer)
        key_range = self._find_range(call, record)
        if key_range is not None:
            self._view.lapses.record_served(call.service.name, key_range)
        self._metrics.count("attempts", call.service.name, "answered")
        self._metrics.observe("upstream_seconds", now - sent_at, call.service.name)
        queued = in_progress >= record.slots
        is_good = is_good_answer(answer.status, now - sent_at, expected)
        self._view.paces.record(record.id, is_good)
        self._costs.record_answer(call, record, now - sent_at, metadata.load, queued)
        return self._header_codec.write_answer(answer)

    def _evaluate_not_run(
        self,
        call: Call,
        record: UpstreamRecord,
        metadata: AnswerMetadata,
        answer: HttpAnswer,
    ) -> NotRunError:
        if metadata.misdirected and metadata.answered_by not in ("", record.id):
            self._view.displace(record)
        key = call.metadata.key
        if metadata.misdirected and call.service.keyed and key is not None:
            key_range = self._view.find_owner(call.service.name, key)
            if key_range is not None:
                self._view.key_demand.record_refused(
                    call.service.name, key, record.id, key_range.fence
                )
        owned_range = self._find_range(call, record)
        is_owner = metadata.answered_by in ("", record.id)
        if metadata.misdirected and is_owner and owned_range is not None:
            self._view.lapses.record_refused(
                call.service.name, owned_range, monotonic()
            )
        at_capacity = (
            metadata.request_count is None or metadata.request_count >= record.slots
        )
        requests = metadata.request_count or 0
        if requests >= FULL_FACTOR * record.slots and not metadata.misdirected:
            self._record_full(call, record)
        if not metadata.misdirected:
            if at_capacity:
                self._view.paces.record_full(record.id)
            else:
                self._view.paces.record(record.id, is_good=False)
                self._costs.record_shed(record)
        return NotRunError(
            f"status {answer.status}", metadata.misdirected, True, at_capacity
        )

    def _find_range(self, call: Call, record: UpstreamRecord) -> KeyRange | None:
        """Return the range of the request's key, if the upstream is still its owner."""
        key = call.metadata.key
        if not call.service.keyed or key is None:
            return None
        key_range = self._view.find_owner(call.service.name, key)
        if key_range is None or key_range.owner != record.id:
            return None
        return key_range if key_range.born == record.born else None

    def _record_full(self, call: Call, record: UpstreamRecord) -> None:
        self._metrics.count("attempts_at_full", call.service.name)
        self._view.room.record_full(record)

    async def _exchange(
        self, call: Call, record: UpstreamRecord, progress: AttemptProgress | None
    ) -> HttpAnswer:
        attempt = Attempt(
            request=call.request,
            request_id=call.metadata.request_id,
            idempotent=call.route.idempotent,
            deadline_at=call.deadline_at,
            progress=progress or AttemptProgress(),
        )
        try:
            answer = await self._transport.exchange(attempt, record)
        except LostError:
            call.attempts += 1
            call.sent = True
            raise
        call.attempts += 1
        call.sent = True
        return answer
