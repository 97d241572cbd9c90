"""What a platform supplies to the router, and in which words."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.ownermap import KeyRange
from plantaincart_core.traffic import TrafficPlan
from plantaincart_core.verdict import Refusal

from plantaincart_router.direct.store import Store, StoreRow
from plantaincart_router.http.message import HttpAnswer, HttpRequest

__all__ = [
    "AnswerReading",
    "CallerReading",
    "Dialect",
    "GrantCalls",
    "GrantRefusedError",
    "Platform",
    "PlatformReader",
    "UpstreamDisplacedError",
]


class GrantRefusedError(Exception):
    """The upstream has seen a higher fencing token, or calls the grant invalid."""


class UpstreamDisplacedError(GrantRefusedError):
    """Another process has the upstream's address."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerReading:
    """
    What a caller's request says of itself.

    Parameters
    ----------
    request_id : str
        Identity of the request; empty if it has none.
    time_left_s : float or None
        Seconds that the caller will wait.
    key : int or None
        Key that the request concerns.
    host : str
        Host that it is addressed to.
    """

    request_id: str
    time_left_s: float | None
    key: int | None
    host: str


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerReading:
    """
    What an upstream's answer says of itself.

    Parameters
    ----------
    not_run : bool
        Whether the upstream says that it didn't run the request.
    misdirected : bool
        Whether another upstream has the address, or the key isn't held.
    answered_by : str
        Identity of the upstream that has the address; empty if it isn't named.
    present : int or None
        Requests at the upstream, running and waiting.
    idle_timeout_s : float or None
        Seconds for which the upstream keeps an idle connection.
    """

    not_run: bool
    misdirected: bool
    answered_by: str
    present: int | None
    idle_timeout_s: float | None


class Dialect(ABC):
    """Header fields that callers and upstreams use."""

    @abstractmethod
    def read_request(self, request: HttpRequest) -> CallerReading:
        """Read what a caller's request says of itself."""

    @abstractmethod
    def write_request(
        self, request: HttpRequest, upstream: str, time_left_s: float
    ) -> HttpRequest:
        """
        Turn a caller's request into that for an upstream.

        Parameters
        ----------
        request : HttpRequest
            As received.
        upstream : str
            Identity of the only upstream that may run it.
        time_left_s : float
            Seconds until the answer is worthless.
        """

    @abstractmethod
    def read_answer(self, answer: HttpAnswer) -> AnswerReading:
        """Read what an upstream's answer says of itself."""

    @abstractmethod
    def is_answer_to(self, answer: HttpAnswer, request_id: str) -> bool:
        """Whether an answer belongs to the request with this identity."""

    @abstractmethod
    def write_answer(self, answer: HttpAnswer) -> HttpAnswer:
        """Turn an upstream's answer into that for the caller."""

    @abstractmethod
    def write_refusal(self, refusal: Refusal, request_id: str) -> HttpAnswer:
        """Write an answer of the router's own."""


class GrantCalls(ABC):
    """
    Gives keys to upstreams and takes them back.

    Notes
    -----
    Both methods raise `ExchangeError` where no whole answer came; the call may take
    effect later.
    """

    @abstractmethod
    async def grant(
        self,
        upstream: UpstreamRecord,
        keys: KeyRange,
        hold_s: float,
        handover: str = "",
        renewal: bool = False,
    ) -> None:
        """
        Give keys to an upstream for a time; the same call again renews it.

        Parameters
        ----------
        upstream : UpstreamRecord
            Upstream to call.
        keys : KeyRange
            Keys with their fencing token.
        hold_s : float
            Seconds that the upstream holds the keys from the call's arrival.
        handover : str
            What the last holder gave at its release; empty for none.
        renewal : bool
            Whether the call must go on a connection that the upstream has answered
            on. Behind a new one there may be a later process at the same address,
            and no two processes may get the same fencing token.

        Raises
        ------
        GrantRefusedError
            If the upstream refused; `UpstreamDisplacedError` if it has ended.
        """

    @abstractmethod
    async def release(self, upstream: UpstreamRecord, keys: KeyRange) -> str:
        """
        Take keys back; returns when no work on them runs any more.

        Parameters
        ----------
        upstream : UpstreamRecord
            Upstream to call.
        keys : KeyRange
            Keys with a fencing token above that of their grant.

        Returns
        -------
        str
            Handover for the next holder; empty for none.
        """


class PlatformReader(ABC):
    """
    Reads the rows that operators and upstreams write.

    Attributes
    ----------
    operator_table, upstream_table : str
        Tables to follow.
    """

    operator_table: str
    upstream_table: str

    @abstractmethod
    def read_plan(self, row: StoreRow) -> TrafficPlan | None:
        """Read the traffic plan; None if the row isn't a valid one."""

    @abstractmethod
    def read_closed_data_centre(self, row: StoreRow) -> str | None:
        """Read which data centre a row takes out of service, if it does."""

    @abstractmethod
    def read_upstream(self, row: StoreRow) -> UpstreamRecord | None:
        """Read an upstream's announcement; None if the row isn't a valid one."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Platform:
    """
    Everything that a platform supplies.

    Parameters
    ----------
    store : Store
        What outlasts the instances.
    reader : PlatformReader
        Meaning of the rows of others.
    grants : GrantCalls
        Orders to upstreams.
    dialect : Dialect
        Header fields.
    """

    store: Store
    reader: PlatformReader
    grants: GrantCalls
    dialect: Dialect
