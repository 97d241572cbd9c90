"""A single attempt at an upstream, and the evaluation of its answer."""

from collections.abc import Callable
from time import monotonic

from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.verdict import Reason

from plantaincart_router.direct.call import Call, LostError, NotRunError, refuse
from plantaincart_router.direct.coldlimiter import ColdUpstreamLimiter
from plantaincart_router.direct.interface import AnswerMetadata, HeaderCodec
from plantaincart_router.direct.metrics import RouterMetrics
from plantaincart_router.direct.pool import CLOSED_AT_ONCE_S, UpstreamPools
from plantaincart_router.direct.selector import UpstreamSelector
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.view import SystemView
from plantaincart_router.exception import AnswerTimeoutError, ExchangeError
from plantaincart_router.http.message import HttpAnswer
from plantaincart_router.log import write_event

__all__ = ["UpstreamSender"]


class UpstreamSender:
    """
    Sends requests to upstreams and records load and duration.

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
    cold_limiter : ColdUpstreamLimiter
        Counts requests to cold upstreams.
    selector : UpstreamSelector
        Estimates the duration of requests.
    metrics : RouterMetrics
        Counters and histograms.
    """

    def __init__(
        self,
        settings: DirectSettings,
        view: SystemView,
        header_codec: HeaderCodec,
        pools: UpstreamPools,
        cold_limiter: ColdUpstreamLimiter,
        selector: UpstreamSelector,
        metrics: RouterMetrics,
    ) -> None:
        self._settings = settings
        self._view = view
        self._header_codec = header_codec
        self._pools = pools
        self._cold_limiter = cold_limiter
        self._selector = selector
        self._metrics = metrics

    async def send(self, call: Call, record: UpstreamRecord) -> HttpAnswer:
        """
        Send a request to an upstream once.

        Parameters
        ----------
        call : Call
            The request.
        record : UpstreamRecord
            The upstream.

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
        loads = self._view.loads
        load = loads.get(record.id)
        in_progress = load.estimate_in_flight(monotonic(), loads.settings)
        expected = self._selector.estimate(call, record)
        load.in_flight += 1
        call.upstream = record.id
        sent_at = monotonic()
        # Counted before a connection is opened, since other requests are admitted while
        # this one waits for it.
        self._cold_limiter.record(record.id, sent_at)
        try:
            answer = await self._exchange(call, record)
        except LostError as error:
            if error.timed_out:
                waited_s = monotonic() - sent_at
                expected_s = expected.wait_s + expected.work_s
                loads.record_overdue(record.id, waited_s, expected_s)
            raise
        finally:
            load.in_flight -= 1
        metadata = self._header_codec.read_answer(answer)
        self._record_leaving(record, metadata)
        now = monotonic()
        if metadata.retry_after_s > 0.0:
            self._view.backoffs.record(record, metadata.retry_after_s, now)
            write_event(
                "upstream_backoff",
                upstream=record.id,
                seconds=round(metadata.retry_after_s, 3),
            )
        if metadata.request_count is not None:
            loads.record_in_flight(record.id, metadata.request_count, record.slots, now)
        if metadata.not_run:
            raise self._evaluate_not_run(call, record, metadata, answer)
        self._metrics.count("attempts", call.service.name, "answered")
        self._metrics.observe("upstream_seconds", now - sent_at, call.service.name)
        queued = in_progress >= record.slots
        loads.record_work(
            call.route.name,
            record.id,
            now - sent_at,
            queued,
            self._selector.default_work_s(call),
        )
        self._selector.record_service_mean(call)
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
                self._view.record_refused_key(
                    call.service.name, key, record.id, key_range.fence
                )
        at_capacity = (
            metadata.request_count is None or metadata.request_count >= record.slots
        )
        if not at_capacity and not metadata.misdirected:
            self._view.loads.record_shed(record.id)
        return NotRunError(
            f"status {answer.status}", metadata.misdirected, True, at_capacity
        )

    async def _exchange(self, call: Call, record: UpstreamRecord) -> HttpAnswer:
        settings = self._settings.send
        max_silence_s = settings.keep_s if call.route.idempotent else settings.fresh_s
        connection = self._pools.acquire_idle(record, max_silence_s)
        is_new_connection = connection is None
        sent_at = monotonic()
        try:
            if connection is None:
                connection = await self._pools.open(record, call.remaining_s)
                if self._view.backoffs.remaining_s(record, monotonic()) > 0.0:
                    # Another request was rejected while the connection was opened.
                    connection.close()
                    raise NotRunError("the upstream asked for a pause", False, False)
            sent_at = monotonic()
            remaining_s = call.remaining_s
            request = self._header_codec.write_request(
                call.request, record.id, max(remaining_s, 0.001)
            )
            call.attempts += 1
            call.sent = True
            answer = await connection.exchange(
                request,
                remaining_s,
                lambda: self._check_drain_bound(record),
                self._make_answer_check(call, record),
            )
        except NotRunError:
            if connection is not None:
                connection.close()
            raise
        except AnswerTimeoutError as error:
            self._pools.reachability.record_lost()
            raise LostError(str(error), timed_out=True) from error
        except ExchangeError as error:
            if error.may_have_started:
                self._pools.reachability.record_lost()
                closed_at_once = (
                    is_new_connection and monotonic() - sent_at < CLOSED_AT_ONCE_S
                )
                if closed_at_once:
                    # The upstream has too many connections; other requests must wait
                    # before they open more.
                    self._pools.connect_failures.record_closed_at_once(
                        record, monotonic()
                    )
                raise LostError(str(error), closed_at_once=closed_at_once) from error
            raise NotRunError(str(error), False, False) from error
        self._pools.reachability.record_answer(monotonic())
        idle_timeout_s = self._header_codec.read_answer(answer).idle_timeout_s
        self._pools.return_connection(record, connection, idle_timeout_s)
        return answer

    def _check_drain_bound(self, record: UpstreamRecord) -> None:
        if not self._view.is_within_drain_bound(record):
            raise NotRunError(f"upstream {record.id} has left", False, False)

    def _record_leaving(self, record: UpstreamRecord, metadata: AnswerMetadata) -> None:
        if metadata.leaving and metadata.answered_by in ("", record.id):
            self._view.record_leaving(record.id, record.born)

    def _make_answer_check(
        self, call: Call, record: UpstreamRecord
    ) -> Callable[[HttpAnswer], bool]:
        def belongs(answer: HttpAnswer) -> bool:
            is_expected = self._header_codec.belongs_to_request(
                answer, call.metadata.request_id
            )
            if not is_expected:
                self._record_leaving(record, self._header_codec.read_answer(answer))
            return is_expected

        return belongs
