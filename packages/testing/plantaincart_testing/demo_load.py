"""Load of the demonstration: steady lookups, and filings with resends."""

from asyncio import Task, create_task, gather, get_running_loop, sleep
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

from plantaincart_testing.call import Call, CallResult
from plantaincart_testing.client import Caller
from plantaincart_testing.shape import ServiceShape, Shape

__all__ = ["DemoLoad", "Filing", "Lookup"]

KEY_COUNT = 40
"""Number of keys of each keyed service; they are used in turn."""
LOOKUP_INTERVAL_S = 0.25
"""Time between two lookups of the same key."""
UNKEYED_LOOKUP_INTERVAL_S = 0.05
FILING_INTERVAL_S = 0.08
LOOKUP_DEADLINE_S = 4.0
FILING_DEADLINE_S = 4.0
RESEND_DELAY_S = 0.1
RESEND_TIMEOUT_S = 15.0
"""Time after which a caller stops resending a filing."""
_FINAL_REASONS = frozenset({"outcome-unknown", "quarantined"})


@dataclass(frozen=True, kw_only=True)
class Lookup:
    """
    One idempotent request and its result.

    Parameters
    ----------
    intended_at : float
        Intended send time on the machine's monotonic clock, in seconds.
    result : CallResult
        Result of the request.
    """

    intended_at: float
    result: CallResult


@dataclass(kw_only=True)
class Filing:
    """
    One non-idempotent request with all copies that the caller sent.

    Parameters
    ----------
    intended_at : float
        Intended send time of the first copy on the machine's monotonic clock,
        in seconds.
    results : list of CallResult
        Results of the copies, in order.
    """

    intended_at: float
    results: list[CallResult] = field(default_factory=list)

    @property
    def has_ended(self) -> bool:
        """Whether the outcome is final, so that the caller sends no further copy."""
        if not self.results:
            return False
        last = self.results[-1]
        return last.is_success or last.reason in _FINAL_REASONS

    @property
    def is_lost(self) -> bool:
        """Whether the last copy got no verdict."""
        return not self.results or not self.results[-1].verdict


class DemoLoad:
    """
    Open-loop load on all services of a shape.

    Parameters
    ----------
    shape : Shape
        Size of the system with the services to call.
    caller : Caller
        Caller that sends the calls.

    Attributes
    ----------
    lookups : list of Lookup
        Lookups that have ended.
    filings : list of Filing
        Filings, in order of their intended send times.
    """

    def __init__(self, shape: Shape, caller: Caller) -> None:
        self._shape = shape
        self._caller = caller
        self._loop = get_running_loop()
        self._senders: list[Task[None]] = []
        self._calls: set[Task[None]] = set()
        self.lookups: list[Lookup] = []
        self.filings: list[Filing] = []

    def start(self) -> None:
        """Start to send."""
        for service in self._shape.services:
            keys = (
                [f"key-{number}" for number in range(KEY_COUNT)]
                if service.keyed
                else [""]
            )
            interval_s = (
                LOOKUP_INTERVAL_S / KEY_COUNT
                if service.keyed
                else UNKEYED_LOOKUP_INTERVAL_S
            )
            self._add_sender(self._send_lookup, service, keys, interval_s)
            self._add_sender(self._send_filing, service, keys, FILING_INTERVAL_S)

    async def stop(self) -> None:
        """Stop sending new calls and wait until all calls have ended."""
        for sender in self._senders:
            sender.cancel()
        await gather(*self._senders, return_exceptions=True)
        await gather(*self._calls)

    def _add_sender(
        self,
        send: Callable[[ServiceShape, str, int, float], Coroutine[None, None, None]],
        service: ServiceShape,
        keys: list[str],
        interval_s: float,
    ) -> None:
        sending = self._send_steadily(send, service, keys, interval_s)
        self._senders.append(create_task(sending))

    async def _send_steadily(
        self,
        send: Callable[[ServiceShape, str, int, float], Coroutine[None, None, None]],
        service: ServiceShape,
        keys: list[str],
        interval_s: float,
    ) -> None:
        started_at = self._loop.time()
        number = 0
        while True:
            intended_at = started_at + number * interval_s
            if intended_at > self._loop.time():
                await sleep(intended_at - self._loop.time())
            key = keys[number % len(keys)]
            task = create_task(send(service, key, number, intended_at))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)
            number += 1

    async def _send_lookup(
        self, service: ServiceShape, key: str, number: int, intended_at: float
    ) -> None:
        call = Call(
            service=service.name,
            method="GET",
            target=f"{_make_path(service, key)}/status?call={number}",
            key=key,
            deadline_s=LOOKUP_DEADLINE_S,
        )
        result = await self._caller.send(call)
        self.lookups.append(Lookup(intended_at=intended_at, result=result))

    async def _send_filing(
        self, service: ServiceShape, key: str, number: int, intended_at: float
    ) -> None:
        filing = Filing(intended_at=intended_at)
        self.filings.append(filing)
        name = f"{service.name}-{number}"
        call = Call(
            service=service.name,
            method="POST",
            target=f"{_make_path(service, key)}/filings",
            key=key,
            body=f'{{"filing":"{name}"}}'.encode(),
            idempotency_key=f"filing-{name}",
            deadline_s=FILING_DEADLINE_S,
        )
        ends_at = intended_at + RESEND_TIMEOUT_S
        while not filing.has_ended and self._loop.time() < ends_at:
            if filing.results:
                delay_s = max(RESEND_DELAY_S, filing.results[-1].retry_after_s)
                await sleep(delay_s)
            filing.results.append(await self._caller.send(call))


def _make_path(service: ServiceShape, key: str) -> str:
    return f"/{service.name}/{key}" if key else f"/{service.name}"
