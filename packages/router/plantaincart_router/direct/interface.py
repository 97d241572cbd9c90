"""Interface to a platform: store, header fields, rows, and calls to upstreams."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field

from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.ownermap import KeyRange
from plantaincart_core.traffic import RoutingConfiguration
from plantaincart_core.verdict import Refusal

from plantaincart_router.direct.store import Store, StoreRow
from plantaincart_router.http.message import HttpAnswer, HttpRequest

__all__ = [
    "AnswerMetadata",
    "LoadStatement",
    "RequestMetadata",
    "HeaderCodec",
    "GrantCalls",
    "GrantRefusedError",
    "Platform",
    "PlatformReader",
    "UpstreamDisplacedError",
]


class GrantRefusedError(Exception):
    """The upstream has seen a higher fencing token, or rejects the grant as invalid."""


class UpstreamDisplacedError(GrantRefusedError):
    """The upstream's address is used by another process."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestMetadata:
    """
    Parsed header fields of a caller's request.

    Parameters
    ----------
    request_id : str
        Id of the request; empty if it has none.
    remaining_s : float or None
        Remaining time in seconds until the caller's deadline; None without a deadline.
    key : int or None
        Key of the request, if it has one.
    host : str
        Host to which the request is addressed.
    account_key_digest : bytes or None
        Digest of the key of the caller's account; None without a proper one. It is
        never logged.
    """

    request_id: str
    remaining_s: float | None
    key: int | None
    host: str
    account_key_digest: bytes | None = field(default=None, repr=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadStatement:
    """
    What an upstream's answer states about its load.

    Parameters
    ----------
    running, waiting : int
        Requests that it runs, and that wait for a concurrency slot.
    slots : int
        Requests that it can run concurrently; 0 if that isn't stated.
    slowdown : float
        Time that work takes on its machine at this moment, as a multiple of the usual
        time.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerMetadata:
    """
    Parsed header fields of an upstream's answer.

    Parameters
    ----------
    not_run : bool
        Whether the upstream states that it didn't run the request.
    misdirected : bool
        Whether another upstream uses the address, or the upstream doesn't own the key.
    answered_by : str
        Id of the upstream that answered; empty if the answer doesn't name it.
    load : LoadStatement or None
        Load of the upstream, if it is stated.
    idle_timeout_s : float or None
        Seconds for which the upstream keeps an idle connection, if it is stated.
    leaving : bool
        Whether the upstream states that it leaves.
    retry_after_s : float
        Seconds for which an upstream that rejected the request asks this instance to
        send no further requests; 0 for none.
    limit_per_s : float or None
        Requests per second that the upstream takes from all instances together, if it
        states a limit.
    """

    not_run: bool
    misdirected: bool
    answered_by: str
    load: LoadStatement | None
    idle_timeout_s: float | None
    leaving: bool = False
    retry_after_s: float = 0.0
    limit_per_s: float | None = None

    @property
    def request_count(self) -> int | None:
        """Number of requests at the upstream, running and waiting, if it is stated."""
        return None if self.load is None else self.load.running + self.load.waiting


class HeaderCodec(ABC):
    """Parses and writes the header fields of callers and upstreams."""

    @abstractmethod
    def read_request(self, request: HttpRequest) -> RequestMetadata:
        """Parse the header fields of a caller's request."""

    def assign_account(self, request: HttpRequest, account: str) -> HttpRequest:
        """
        Replace the key and the account that a caller has named.

        Parameters
        ----------
        request : HttpRequest
            Request as received.
        account : str
            Name of the account that holds the caller's key; empty for none.

        Returns
        -------
        HttpRequest
            Request without any key, with the account's name for the upstream.
        """
        return request

    @abstractmethod
    def write_request(
        self, request: HttpRequest, upstream: str, remaining_s: float
    ) -> HttpRequest:
        """
        Convert a caller's request to the request for an upstream.

        Parameters
        ----------
        request : HttpRequest
            Request as received.
        upstream : str
            Id of the only upstream that may run the request.
        remaining_s : float
            Remaining time in seconds until the request's deadline.
        """

    @abstractmethod
    def read_answer(self, answer: HttpAnswer) -> AnswerMetadata:
        """Parse the header fields of an upstream's answer."""

    @abstractmethod
    def belongs_to_request(
        self, answer: HttpAnswer, request_id: str, is_first: bool
    ) -> bool:
        """
        Whether an answer belongs to a request.

        Parameters
        ----------
        answer : HttpAnswer
            Answer as received.
        request_id : str
            Id of the request; empty if it has none.
        is_first : bool
            Whether no other request was sent and no other answer came on the
            connection. Only then can an answer without an id belong to the request.
        """

    @abstractmethod
    def write_answer(self, answer: HttpAnswer) -> HttpAnswer:
        """Convert an upstream's answer to the answer for the caller."""

    @abstractmethod
    def write_refusal(self, refusal: Refusal, request_id: str) -> HttpAnswer:
        """Make the answer that rejects a request."""


class GrantCalls(ABC):
    """
    Grants keys to upstreams, and releases them.

    Attributes
    ----------
    connected_at : float
        Time in seconds at which an upstream last answered on a new connection.

    Notes
    -----
    Both methods raise `ExchangeError` if no complete answer was received. The call may
    still take effect later.
    """

    connected_at: float = float("-inf")

    @abstractmethod
    async def grant(
        self,
        upstream: UpstreamRecord,
        key_range: KeyRange,
        duration_s: float,
        handover: str = "",
        renewal: bool = False,
        before_write: Callable[[], None] | None = None,
    ) -> None:
        """
        Grant keys to an upstream for a limited time; a repeated call renews the grant.

        Parameters
        ----------
        upstream : UpstreamRecord
            Upstream to call.
        key_range : KeyRange
            Keys with their fencing token.
        duration_s : float
            Grant duration in seconds, from the arrival of the call.
        handover : str
            Handover data from the release by the previous owner; empty for none.
        renewal : bool
            Whether the call must use the connection on which the upstream has accepted
            a grant with this token. Another one may reach a later process at the same
            address, and no two processes may get the same fencing token.
        before_write : callable, optional
            Called directly before the call is written, since opening a connection takes
            time. If it raises, nothing is sent.

        Raises
        ------
        GrantRefusedError
            If the upstream refused the grant; `UpstreamDisplacedError` if its process
            has ended.
        """

    @abstractmethod
    async def release(self, upstream: UpstreamRecord, key_range: KeyRange) -> str:
        """
        Release keys; return when no request for them is in progress any more.

        Parameters
        ----------
        upstream : UpstreamRecord
            Upstream to call.
        key_range : KeyRange
            Keys with a fencing token above that of their grant.

        Returns
        -------
        str
            Handover data for the next owner; empty for none.
        """

    def pop_leaving(self) -> list[UpstreamRecord]:
        """Return the upstreams whose answers since the last call said they leave."""
        return []


class PlatformReader(ABC):
    """
    Parses the rows that operators and upstreams write.

    Attributes
    ----------
    operator_table, upstream_table : str
        Names of the tables.
    """

    operator_table: str
    upstream_table: str

    @abstractmethod
    def read_configuration(self, row: StoreRow) -> RoutingConfiguration | None:
        """Parse a routing configuration; return None if the row isn't a valid one."""

    @abstractmethod
    def read_closed_data_centre(self, row: StoreRow) -> str | None:
        """Return the data centre that a row takes out of service, or None."""

    @abstractmethod
    def read_upstream(self, row: StoreRow) -> UpstreamRecord | None:
        """Parse an announcement; return None if the row isn't a valid one."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Platform:
    """
    The implementations for one platform.

    Parameters
    ----------
    store : Store
        The platform's transactional store.
    reader : PlatformReader
        Parser of the rows that operators and upstreams write.
    grants : GrantCalls
        Grant and release calls to upstreams.
    header_codec : HeaderCodec
        Parser and writer of header fields.
    """

    store: Store
    reader: PlatformReader
    grants: GrantCalls
    header_codec: HeaderCodec
