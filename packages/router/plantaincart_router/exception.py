"""Errors of the router package."""

from plantaincart_core.verdict import Reason
from plantaincart_schema.exception import PlantaincartError

__all__ = [
    "AnswerLostError",
    "AnswerMalformedError",
    "AnswerTimeoutError",
    "AttemptError",
    "AttemptMayHaveRunError",
    "AttemptNotRunError",
    "ConnectFailedError",
    "ExchangeError",
    "LeadershipLostError",
    "MeshTimeoutError",
    "PeerLostError",
    "PlatformRefusedError",
    "PlatformUnavailableError",
    "RouterError",
    "SendFailedError",
]


class RouterError(PlantaincartError):
    """Base class of the errors that the router raises."""


class ExchangeError(RouterError):
    """
    An HTTP exchange that ended without a whole answer.

    Parameters
    ----------
    detail : str
        Description of the failure, with the address of the server.

    Attributes
    ----------
    may_have_started : bool
        Whether the server may have received enough to run the request.
    """

    may_have_started = True

    def __init__(self, detail: str = "") -> None:
        super().__init__(detail)
        self.detail = detail


class ConnectFailedError(ExchangeError):
    """
    The connection couldn't be opened; nothing was sent.

    Parameters
    ----------
    detail : str
        Description of the failure, with the address of the server.
    refused : bool
        Whether the server's machine replied that nobody accepts connections.
    closed_at_once : bool
        Whether the connection was accepted and then closed.
    """

    may_have_started = False

    def __init__(
        self, detail: str = "", *, refused: bool = False, closed_at_once: bool = False
    ) -> None:
        super().__init__(detail)
        self.refused = refused
        self.closed_at_once = closed_at_once


class SendFailedError(ExchangeError):
    """
    The request wasn't sent completely.

    Parameters
    ----------
    detail : str
        Description of the failure, with the address of the server.
    may_have_started : bool
        False only if no byte was written to the connection.
    """

    def __init__(self, detail: str = "", *, may_have_started: bool = True) -> None:
        super().__init__(detail)
        self.may_have_started = may_have_started


class AnswerLostError(ExchangeError):
    """The connection was closed before the whole answer arrived."""


class AnswerTimeoutError(ExchangeError):
    """No whole answer arrived in time."""


class AnswerMalformedError(ExchangeError):
    """The bytes received aren't an answer to the request."""


class AttemptError(RouterError):
    """
    An attempt that ended without the answer of a run.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    reason : Reason
        Problem type.
    detail : str
        Description of the failure.
    """

    def __init__(self, upstream: str, reason: Reason, detail: str) -> None:
        super().__init__(detail)
        self.upstream = upstream
        self.reason = reason


class AttemptNotRunError(AttemptError):
    """The attempt is proven not to have run the request."""


class AttemptMayHaveRunError(AttemptError):
    """The outcome of the attempt is unknown."""


class PlatformUnavailableError(RouterError):
    """The platform didn't answer; whether a write took effect is unknown."""


class PlatformRefusedError(RouterError):
    """The platform rejected a call as invalid; it had no effect."""


class LeadershipLostError(RouterError):
    """Another instance leads the shard; this one may no longer write for it."""


class PeerLostError(RouterError):
    """
    There is no connection to a peer, or it was lost.

    Parameters
    ----------
    peer : str
        Name of the peer.
    sent : bool
        Whether the message was sent, so that the peer may have handled it.
    """

    def __init__(self, peer: str, *, sent: bool) -> None:
        super().__init__(peer)
        self.sent = sent


class MeshTimeoutError(RouterError):
    """A peer didn't answer in time; it may have handled the message."""
