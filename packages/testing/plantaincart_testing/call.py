"""Calls that a caller makes, and their results."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import StrEnum
from itertools import count
from random import Random

from plantaincart_testing.shape import ServiceShape
from plantaincart_testing.upstream_message import IDEMPOTENT_METHODS, Echo

__all__ = ["Call", "CallResult", "LoadPlan", "Outcome", "make_calls"]


@dataclass(frozen=True, kw_only=True)
class Call:
    """
    One request that a caller makes.

    Parameters
    ----------
    at_s : float
        Intended send time in seconds after the start of the load.
    service : str
        Service that is called.
    key : str
        Key of the request; empty for a service without keys.
    idempotency_key : str
        Value of the Idempotency-Key header; the header is left out if empty.
    deadline_s : float
        Deadline in seconds, sent with the request; the caller waits as long.
    """

    service: str
    method: str
    target: str
    at_s: float = 0.0
    key: str = ""
    body: bytes = b""
    idempotency_key: str = ""
    deadline_s: float = 5.0

    @property
    def is_idempotent(self) -> bool:
        """Whether the request can be repeated without a further effect."""
        return self.method in IDEMPOTENT_METHODS


class Outcome(StrEnum):
    """How a call ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    LOST = "lost"
    NOT_SENT = "not-sent"


@dataclass(frozen=True, kw_only=True)
class CallResult:
    """
    Result of one call.

    Parameters
    ----------
    call : Call
        The call.
    entry : str
        Address of the instance that it was sent to.
    outcome : Outcome
        ``ANSWERED`` by an upstream, ``REFUSED`` by the router, ``LOST`` without
        a complete answer, or ``NOT_SENT`` since no connection could be opened.
    status : int
        Status code; 0 without an answer.
    verdict : str
        Verdict of the router; empty if there was none.
    reason : str
        Problem type of a rejection, or the error that the caller got.
    latency_s : float
        Seconds from the intended send time to the answer.
    sent_at : float
        Machine's monotonic clock in seconds at the time of sending.
    echo : Echo, optional
        Body of an upstream's answer.
    """

    call: Call
    entry: str
    outcome: Outcome
    status: int = 0
    verdict: str = ""
    request_id: str = ""
    reason: str = ""
    retry_after_s: float = 0.0
    latency_s: float = 0.0
    sent_at: float = 0.0
    echo: Echo | None = None

    @property
    def is_success(self) -> bool:
        """Whether an upstream ran the request and answered with its echo."""
        return self.outcome is Outcome.ANSWERED and self.echo is not None


@dataclass(frozen=True, kw_only=True)
class LoadPlan:
    """
    Open-loop load: calls are sent at their times whether or not others have ended.

    Parameters
    ----------
    services : sequence of ServiceShape
        Services to call, all equally often.
    rate : float
        Calls per second; arrivals are a Poisson process.
    duration_s : float
        Duration of the load in seconds.
    write_share : float
        Share of calls that aren't idempotent.
    keys : int
        Keys of each keyed service.
    hot_share : float
        Share of calls that go to the first hundredth of the keys.
    deadline_s : float
        Deadline of each call in seconds.
    seed : int
        Seed of the arrival times, keys and methods.
    """

    services: Sequence[ServiceShape]
    rate: float
    duration_s: float
    write_share: float = 0.2
    keys: int = 1000
    hot_share: float = 0.0
    deadline_s: float = 5.0
    seed: int = 1


def make_calls(plan: LoadPlan) -> Iterator[Call]:
    """
    Generate the calls of a load.

    Parameters
    ----------
    plan : LoadPlan
        The load.

    Yields
    ------
    Call
        Calls in order of their intended send times.

    Examples
    --------
    >>> from plantaincart_testing.shape import SMALL
    >>> plan = LoadPlan(services=SMALL.services, rate=100.0, duration_s=1.0)
    >>> [call.at_s for call in make_calls(plan)] == sorted(
    ...     call.at_s for call in make_calls(plan)
    ... )
    True
    """
    random = Random(plan.seed)
    at_s = 0.0
    for number in count():
        at_s += random.expovariate(plan.rate)
        if at_s >= plan.duration_s:
            return
        service = random.choice(plan.services)
        key = _draw_key(plan, random) if service.keyed else ""
        is_write = random.random() < plan.write_share
        yield _make_call(plan, service, key, f"{plan.seed}-{number}", is_write, at_s)


def _draw_key(plan: LoadPlan, random: Random) -> str:
    hot_keys = max(1, plan.keys // 100)
    is_hot = random.random() < plan.hot_share
    return f"k{random.randrange(hot_keys if is_hot else plan.keys)}"


def _make_call(
    plan: LoadPlan,
    service: ServiceShape,
    key: str,
    number: str,
    is_write: bool,
    at_s: float,
) -> Call:
    prefix = f"/{service.name}/{key}" if key else f"/{service.name}"
    return Call(
        service=service.name,
        method="POST" if is_write else "GET",
        target=f"{prefix}/{'filings' if is_write else 'status'}?call={number}",
        at_s=at_s,
        key=key,
        body=f'{{"number":"{number}"}}'.encode() if is_write else b"",
        idempotency_key=f"call-{number}" if is_write else "",
        deadline_s=plan.deadline_s,
    )
