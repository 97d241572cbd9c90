"""Sending a request to one upstream, and what its answer says."""

from collections.abc import Callable
from time import monotonic

from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.verdict import Reason

from plantaincart_router.direct.call import Call, LostError, NotRunError, refuse
from plantaincart_router.direct.cold import ColdUpstreamLimiter
from plantaincart_router.direct.interface import AnswerReading, Dialect
from plantaincart_router.direct.pool import CLOSED_AT_ONCE_S, UpstreamPools
from plantaincart_router.direct.selector import UpstreamSelector
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.tally import RouterMetrics
from plantaincart_router.direct.view import SystemView
from plantaincart_router.exception import AnswerTimeoutError, ExchangeError
from plantaincart_router.http.message import HttpAnswer

__all__ = ["UpstreamSender"]


class UpstreamSender:
    """
    Makes attempts at upstreams and learns from them.

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
    cold_limiter : ColdUpstreamLimiter
        Counts what cold upstreams get.
    selector : UpstreamSelector
        Keeps the usual time of the work.
    metrics : RouterMetrics
        Counts what happens.
    """

    def __init__(
        self,
        settings: DirectSettings,
        view: SystemView,
        dialect: Dialect,
        pools: UpstreamPools,
        cold_limiter: ColdUpstreamLimiter,
        selector: UpstreamSelector,
        metrics: RouterMetrics,
    ) -> None:
        self._settings = settings
        self._view = view
        self._dialect = dialect
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
            Its whole answer, as the caller gets it.

        Raises
        ------
        NotRunError
            If the upstream surely didn't run it.
        LostError
            If it may have.
        """
        if call.caller.gone.is_set() and not call.sent:
            raise refuse(Reason.TIMEOUT, "the caller has gone", 0.0, 503)
        loads = self._view.loads
        load = loads.get(record.id)
        present = load.estimate_present(monotonic(), loads.settings)
        expected = self._selector.expect(call, record)
        load.in_flight += 1
        call.upstream = record.id
        sent_at = monotonic()
        # Counted before a connection is opened: others are admitted meanwhile.
        self._cold_limiter.record(record.id, sent_at)
        try:
            answer = await self._exchange(call, record)
        except LostError as error:
            if error.overdue:
                waited_s = monotonic() - sent_at
                expected_s = expected.wait_s + expected.work_s
                loads.record_overdue(record.id, waited_s, expected_s)
            raise
        finally:
            load.in_flight -= 1
        reading = self._dialect.read_answer(answer)
        now = monotonic()
        if reading.present is not None:
            loads.record_present(record.id, reading.present, record.slots, now)
        if reading.not_run:
            raise self._read_not_run(call, record, reading, answer)
        self._metrics.count("attempts", call.service.name, "answered")
        self._metrics.observe("upstream_seconds", now - sent_at, call.service.name)
        queued = present >= record.slots
        loads.record_work(
            call.route.name,
            record.id,
            now - sent_at,
            queued,
            self._selector.default_work_s(call),
        )
        self._selector.record_service_mean(call)
        return self._dialect.write_answer(answer)

    def _read_not_run(
        self,
        call: Call,
        record: UpstreamRecord,
        reading: AnswerReading,
        answer: HttpAnswer,
    ) -> NotRunError:
        if reading.misdirected and reading.answered_by not in ("", record.id):
            self._view.displace(record)
        key = call.reading.key
        if reading.misdirected and call.service.keyed and key is not None:
            owned = self._view.find_owner(call.service.name, key)
            if owned is not None:
                self._view.record_refused_key(
                    call.service.name, key, record.id, owned.fence
                )
        full = reading.present is None or reading.present >= record.slots
        if not full and not reading.misdirected:
            self._view.loads.record_shed(record.id)
        return NotRunError(f"status {answer.status}", reading.misdirected, True, full)

    async def _exchange(self, call: Call, record: UpstreamRecord) -> HttpAnswer:
        settings = self._settings.send
        silence_s = settings.keep_s if call.route.idempotent else settings.fresh_s
        connection = self._pools.acquire_idle(record, silence_s)
        is_new = connection is None
        sent_at = monotonic()
        try:
            if connection is None:
                connection = await self._pools.open(record, call.left_s)
            sent_at = monotonic()
            left_s = call.left_s
            request = self._dialect.write_request(
                call.request, record.id, max(left_s, 0.001)
            )
            call.attempts += 1
            call.sent = True
            answer = await connection.exchange(
                request, left_s, None, self._make_check(call)
            )
        except AnswerTimeoutError as error:
            raise LostError(str(error), overdue=True) from error
        except ExchangeError as error:
            if error.may_have_started:
                at_once = is_new and monotonic() - sent_at < CLOSED_AT_ONCE_S
                if at_once:
                    # It has too many connections; nobody else should send it one.
                    self._pools.connect_failures.record_closed_at_once(
                        record, monotonic()
                    )
                raise LostError(str(error), closed_at_once=at_once) from error
            raise NotRunError(str(error), False, False) from error
        idle_s = self._dialect.read_answer(answer).idle_timeout_s
        self._pools.return_connection(record, connection, idle_s)
        return answer

    def _make_check(self, call: Call) -> Callable[[HttpAnswer], bool]:
        def belongs(answer: HttpAnswer) -> bool:
            return self._dialect.is_answer_to(answer, call.reading.request_id)

        return belongs
