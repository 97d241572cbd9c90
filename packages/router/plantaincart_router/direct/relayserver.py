"""Sends requests of instances that are cut off on to upstreams."""

from asyncio import Task, current_task, sleep
from time import monotonic

from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.verdict import RefusedError

from plantaincart_router.direct.answermemory import AnswerMemory
from plantaincart_router.direct.call import LostError, NotRunError
from plantaincart_router.direct.interface import HeaderCodec
from plantaincart_router.direct.metrics import RouterMetrics
from plantaincart_router.direct.relaycodec import (
    RelayedAttempt,
    RelayOutcome,
    read_relayed,
    write_outcome,
)
from plantaincart_router.direct.transport import Attempt, DirectTransport
from plantaincart_router.direct.view import SystemView
from plantaincart_router.http.caller import CallerConnection
from plantaincart_router.http.message import HttpAnswer, HttpRequest

__all__ = ["RelayHandler"]


class RelayHandler:
    """
    Sends each request once to the upstream that it names, and says what became of it.

    Parameters
    ----------
    view : SystemView
        State of the system as this instance knows it.
    header_codec : HeaderCodec
        Parses and writes the platform's header fields.
    transport : DirectTransport
        Sends the requests; never through a further relay.
    metrics : RouterMetrics
        Counters and histograms.
    answer_memory : AnswerMemory
        Room for answers, shared with the requests of callers.

    Notes
    -----
    Owner, admission, retries and limits are decided by the instance that the caller is
    connected to. A relay only makes sure that it doesn't send to an upstream that it
    knows to be gone, draining or another process.
    """

    def __init__(
        self,
        view: SystemView,
        header_codec: HeaderCodec,
        transport: DirectTransport,
        metrics: RouterMetrics,
        answer_memory: AnswerMemory,
    ) -> None:
        self._answer_memory = answer_memory
        self._view = view
        self._header_codec = header_codec
        self._transport = transport
        self._metrics = metrics

    async def handle(
        self, request: HttpRequest, caller: CallerConnection
    ) -> HttpAnswer:
        """
        Relay a request.

        Parameters
        ----------
        request : HttpRequest
            Request with the fields for the relay.
        caller : CallerConnection
            Connection of the instance that asks.

        Returns
        -------
        HttpAnswer
            Answer of the upstream with its outcome, or an outcome only.
        """
        started_at = monotonic()
        # Lets the event loop notice that the caller has disconnected already.
        await sleep(0)
        outcome, answer, detail = await self._relay(request, caller, started_at)
        self._metrics.count("relays", outcome.value)
        return write_outcome(outcome, answer, detail)

    async def _relay(
        self, request: HttpRequest, caller: CallerConnection, started_at: float
    ) -> tuple[RelayOutcome, HttpAnswer | None, str]:
        relayed = read_relayed(request)
        if relayed is None:
            return RelayOutcome.DECLINED, None, "fields missing"
        wanted, plain_request = relayed
        if self._view.reachability.is_cut_off or caller.disconnected.is_set():
            return RelayOutcome.UNAVAILABLE, None, "cut off, or caller gone"
        record = self._find_upstream(wanted)
        if record is None:
            return RelayOutcome.DECLINED, None, f"upstream {wanted.upstream} not known"
        if self._transport.retry_delay_s(record, monotonic()) > 0.0:
            return RelayOutcome.UNREACHED, None, "unreachable a moment ago"
        deadline_at = started_at + wanted.remaining_s
        shutdown = self._view.shutdown
        if not shutdown.allows_send(deadline_at, 0.0):
            return RelayOutcome.DECLINED, None, "stopping"
        task = current_task()
        if wanted.idempotent and task is not None:
            caller.set_disconnect_callback(lambda: _cancel(task))
        # Routes are decided by the instance that the caller is connected to.
        kind = f"relayed to {record.service}"
        attempt = Attempt(
            request=plain_request,
            request_id=self._header_codec.read_request(plain_request).request_id,
            idempotent=wanted.idempotent,
            deadline_at=deadline_at,
        )
        try:
            with self._answer_memory.reserve(kind):
                async with shutdown.limit_run() as limit:
                    answer = await self._transport.exchange(attempt, record)
        except RefusedError as error:
            # Nothing was sent, and another instance may have room.
            return RelayOutcome.DECLINED, None, str(error)
        except NotRunError as error:
            return RelayOutcome.UNREACHED, None, str(error)
        except TimeoutError:
            if not limit.expired():
                raise
            return RelayOutcome.TIMED_OUT, None, "stopping"
        except LostError as error:
            outcome = RelayOutcome.LOST
            if error.timed_out:
                outcome = RelayOutcome.TIMED_OUT
            elif error.closed_at_once:
                outcome = RelayOutcome.CLOSED_AT_ONCE
            return outcome, None, str(error)
        self._answer_memory.record_answer(kind, len(answer.body))
        return RelayOutcome.ANSWERED, self._header_codec.write_answer(answer), ""

    def _find_upstream(self, wanted: RelayedAttempt) -> UpstreamRecord | None:
        """Return the upstream if it is the same process here, and may get requests."""
        view = self._view
        record = view.directory.get(wanted.upstream)
        if record is None or not wanted.names(record):
            return None
        services = view.routing_config.services if view.routing_config else {}
        policy = services.get(record.service)
        if policy is not None and policy.keyed:
            may_send = view.draining.can_serve_keys(record)
        else:
            may_send = view.directory.accepts_requests(record)
        if view.backoffs.remaining_s(record, monotonic()) > 0.0:
            may_send = False
        return record if may_send else None


def _cancel(task: Task[object]) -> None:
    task.cancel()
