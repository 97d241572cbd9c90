"""Caller that sends requests to the instances and records the results."""

from asyncio import Task, create_task, get_running_loop, sleep
from collections.abc import Iterable, Sequence
from contextlib import suppress

from plantaincart_router.exception import ConnectFailedError, ExchangeError
from plantaincart_router.http.client import HttpConnection
from plantaincart_router.http.message import Header, HttpAnswer, HttpRequest
from plantaincart_schema.codec import decode_json
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.upstream import Problem

from plantaincart_testing.addresses import Address
from plantaincart_testing.balancer import Balancer, FixedBalancer
from plantaincart_testing.call import Call, CallResult, Outcome
from plantaincart_testing.upstream_message import Echo

__all__ = ["Caller"]

CONNECT_TIMEOUT_S = 0.5
ANSWER_GRACE_S = 1.0
INITIAL_RESEND_DELAY_S = 0.05
MAX_RESEND_DELAY_S = 0.5
MAX_IDLE_CONNECTIONS = 256
_MS_PER_S = 1000
_PROBLEM_CONTENT_TYPE = "application/problem+json"


class Caller:
    """
    Sends calls to the instances over persistent connections.

    Parameters
    ----------
    balancer : Balancer or sequence of Address
        Selects the instance for each call; a sequence is used in turn.

    Notes
    -----
    If the connection can't be opened, nothing has been sent, so the call goes to
    another instance, as the platform's balancer does. In all other cases a call
    is sent once.
    """

    def __init__(self, balancer: Balancer | Sequence[Address]) -> None:
        if not isinstance(balancer, Balancer):
            balancer = FixedBalancer(balancer)
        self._balancer = balancer
        self._idle: dict[Address, list[HttpConnection]] = {}
        self.results: list[CallResult] = []

    async def send(self, call: Call, entry: Address | None = None) -> CallResult:
        """
        Send a call and wait for its result.

        Parameters
        ----------
        call : Call
            The call.
        entry : Address, optional
            Instance to send it to; by default the balancer chooses.

        Returns
        -------
        CallResult
            The result, which is also appended to `results`.
        """
        return await self._send(call, entry, get_running_loop().time())

    async def send_until_answered(
        self, call: Call, timeout_s: float
    ) -> list[CallResult]:
        """
        Send a call again and again until an upstream answers.

        Parameters
        ----------
        call : Call
            The call; all copies carry the same idempotency key.
        timeout_s : float
            Time in seconds after which no further copy is sent.

        Returns
        -------
        list of CallResult
            Results of all copies in order; only the last can be an upstream's answer.
        """
        loop = get_running_loop()
        ends_at = loop.time() + timeout_s
        resend_delay_s = INITIAL_RESEND_DELAY_S
        results = [await self.send(call)]
        while not results[-1].is_success and loop.time() < ends_at:
            await sleep(max(resend_delay_s, results[-1].retry_after_s))
            resend_delay_s = min(2 * resend_delay_s, MAX_RESEND_DELAY_S)
            results.append(await self.send(call))
        return results

    async def run(self, calls: Iterable[Call]) -> list[CallResult]:
        """
        Send calls at their intended times, without waiting for earlier answers.

        Parameters
        ----------
        calls : iterable of Call
            Calls in order of their intended send times.

        Returns
        -------
        list of CallResult
            Results in order of the calls.
        """
        loop = get_running_loop()
        started_at = loop.time()
        tasks: list[Task[CallResult]] = []
        for call in calls:
            intended_at = started_at + call.at_s
            if intended_at > loop.time():
                await sleep(intended_at - loop.time())
            tasks.append(create_task(self._send(call, None, intended_at)))
        return [await task for task in tasks]

    def close(self) -> None:
        """Close idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    async def _send(
        self, call: Call, entry: Address | None, intended_at: float
    ) -> CallResult:
        result = await self._try_entries(call, entry, intended_at)
        self.results.append(result)
        return result

    async def _try_entries(
        self, call: Call, entry: Address | None, intended_at: float
    ) -> CallResult:
        attempts = 1 if entry is not None else self._balancer.size
        reason = "no instance"
        for _ in range(attempts):
            address = entry or self._balancer.choose()
            try:
                connection = await self._acquire_connection(address)
            except ConnectFailedError as error:
                reason = str(error)
                self._balancer.report_failure(address)
                continue
            return await self._exchange(call, address, connection, intended_at)
        latency_s = get_running_loop().time() - intended_at
        return CallResult(
            call=call,
            entry=str(entry or ""),
            outcome=Outcome.NOT_SENT,
            reason=reason,
            latency_s=latency_s,
        )

    async def _exchange(
        self,
        call: Call,
        address: Address,
        connection: HttpConnection,
        intended_at: float,
    ) -> CallResult:
        loop = get_running_loop()
        sent_at = loop.time()
        request = HttpRequest(
            call.method, call.target, _make_headers(call, address), call.body
        )
        try:
            answer = await connection.exchange(
                request, call.deadline_s + ANSWER_GRACE_S
            )
        except ExchangeError as error:
            connection.close()
            return CallResult(
                call=call,
                entry=str(address),
                outcome=Outcome.LOST,
                reason=f"{type(error).__name__}: {error}",
                latency_s=loop.time() - intended_at,
                sent_at=sent_at,
            )
        self._release_connection(address, connection)
        latency_s = loop.time() - intended_at
        return _read_result(call, str(address), answer, latency_s, sent_at)

    async def _acquire_connection(self, address: Address) -> HttpConnection:
        idle = self._idle.setdefault(address, [])
        while idle:
            connection = idle.pop()
            if connection.reusable:
                return connection
        return await HttpConnection.open(address.host, address.port, CONNECT_TIMEOUT_S)

    def _release_connection(self, address: Address, connection: HttpConnection) -> None:
        idle = self._idle.setdefault(address, [])
        if connection.reusable and len(idle) < MAX_IDLE_CONNECTIONS:
            idle.append(connection)
        else:
            connection.close()


def _make_headers(call: Call, address: Address) -> tuple[Header, ...]:
    headers = [
        ("host", str(address)),
        ("request-timeout-ms", str(round(call.deadline_s * _MS_PER_S))),
    ]
    if call.idempotency_key:
        headers.append(("idempotency-key", call.idempotency_key))
    return tuple(headers)


def _read_result(
    call: Call, entry: str, answer: HttpAnswer, latency_s: float, sent_at: float
) -> CallResult:
    headers = dict(answer.headers)
    is_problem = headers.get("content-type") == _PROBLEM_CONTENT_TYPE
    reason, echo = "", None
    with suppress(MalformedMessageError):
        if is_problem:
            reason = decode_json(answer.body, Problem).type.rpartition(":")[2]
        else:
            echo = decode_json(answer.body, Echo)
    return CallResult(
        call=call,
        entry=entry,
        outcome=Outcome.REFUSED if is_problem else Outcome.ANSWERED,
        status=answer.status,
        verdict=headers.get("plantaincart-verdict", ""),
        request_id=headers.get("plantaincart-request", ""),
        reason=reason,
        retry_after_s=float(headers.get("retry-after", "0")),
        latency_s=latency_s,
        sent_at=sent_at,
        echo=echo,
    )
