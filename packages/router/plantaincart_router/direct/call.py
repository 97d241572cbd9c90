"""State of one request, and the errors that end an attempt."""

from dataclasses import dataclass, field
from time import monotonic

from plantaincart_core.account import ClientAccount
from plantaincart_core.accountfairness import TurnKey
from plantaincart_core.rank import Rank
from plantaincart_core.traffic import Route, ServicePolicy
from plantaincart_core.verdict import Reason, Refusal, RefusedError, refuse_not_run

from plantaincart_router.direct.interface import RequestMetadata
from plantaincart_router.http.caller import CallerConnection
from plantaincart_router.http.message import HttpRequest

__all__ = ["Call", "LostError", "NotRunError", "refuse"]


@dataclass(slots=True)
class Call:
    """
    State of one request while it is handled.

    Attributes
    ----------
    request : HttpRequest
        Request as received.
    metadata : RequestMetadata
        Parsed header fields of the request.
    caller : CallerConnection
        Connection of the caller, which shows whether the caller has disconnected.
    route : Route
        Route that the request matches.
    service : ServicePolicy
        Service chosen by the route.
    started_at, deadline_at : float
        Arrival, and the deadline of the caller or the route, as times in seconds.
    attempts : int
        Number of times that the request was sent.
    silent_attempts : int
        Number of attempts in progress that no answer is expected to.
    sent : bool
        Whether any byte of it was sent.
    may_have_run : bool
        Whether an upstream may have run it.
    failed_connects : int
        Number of failed attempts to connect to the owner of its key.
    excluded_upstreams : set of str
        Upstreams to which it must not be sent again.
    upstream : str
        Upstream to which it was sent last; empty before the first attempt.
    account_priority : int
        Priority of the caller's account; 0 without one.
    account : ClientAccount or None
        The caller's account; None without one.
    has_token : bool
        Whether it has taken a token of the account's quota.
    turn_key : TurnKey or None
        Turn of its account; None without an account.
    is_returning : bool
        Whether its caller has probably been turned away before.
    admitted : bool
        Whether all entry policies have let it pass.
    tries_lapsed : bool
        Whether it is sent to learn if the owner of its key has a grant again.
    """

    request: HttpRequest
    metadata: RequestMetadata
    caller: CallerConnection
    route: Route
    service: ServicePolicy
    started_at: float
    deadline_at: float
    attempts: int = 0
    silent_attempts: int = 0
    sent: bool = False
    may_have_run: bool = False
    failed_connects: int = 0
    excluded_upstreams: set[str] = field(default_factory=set)
    upstream: str = ""
    account_priority: int = 0
    account: ClientAccount | None = None
    has_token: bool = False
    turn_key: TurnKey | None = None
    is_returning: bool = False
    admitted: bool = False
    tries_lapsed: bool = False

    @property
    def rank(self) -> Rank:
        """Rank of the request among those that compete for the same upstreams."""
        return Rank(self.account_priority, self.route.priority)

    @property
    def retry_rank(self) -> Rank:
        """
        Rank of the request among those that need retries.

        One that isn't idempotent goes before others of its account: its caller can't
        repeat it once it may have run. Among the others of a route, those that return
        go first: most callers come back only once.
        """
        if not self.route.idempotent:
            return Rank(self.account_priority, -1)
        return Rank(
            self.account_priority, 2 * self.route.priority + 1 - self.is_returning
        )

    @property
    def remaining_s(self) -> float:
        """Remaining time in seconds until the deadline."""
        return self.deadline_at - monotonic()


class NotRunError(Exception):
    """
    An upstream answered that it didn't run the request, or couldn't be reached.

    Parameters
    ----------
    detail : str
        Description of the failure.
    misdirected : bool
        Whether the upstream doesn't own the key, or isn't the intended one.
    was_received : bool
        Whether the upstream received the request.
    at_capacity : bool
        Whether the upstream had no free concurrency slot.
    """

    def __init__(
        self,
        detail: str,
        misdirected: bool,
        was_received: bool,
        at_capacity: bool = True,
    ) -> None:
        super().__init__(detail)
        self.misdirected = misdirected
        self.was_received = was_received
        self.at_capacity = at_capacity


class LostError(Exception):
    """
    The request was sent, but no complete answer was received.

    Parameters
    ----------
    detail : str
        Description of the failure.
    timed_out : bool
        Whether the answer was awaited until the deadline.
    closed_at_once : bool
        Whether the upstream closed a new connection as soon as the request was sent.
    """

    def __init__(
        self, detail: str, timed_out: bool = False, closed_at_once: bool = False
    ) -> None:
        super().__init__(detail)
        self.timed_out = timed_out
        self.closed_at_once = closed_at_once


def refuse(
    reason: Reason, detail: str, retry_after_s: float, status: int | None = None
) -> RefusedError:
    """Return the error that rejects a request that hasn't run."""
    refusal = refuse_not_run(reason, detail, retry_after_s)
    if status is not None:
        refusal = Refusal(
            status=status, reason=reason, detail=detail, retry_after_s=retry_after_s
        )
    return RefusedError(refusal)
