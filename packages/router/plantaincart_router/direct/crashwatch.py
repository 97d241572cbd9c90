"""Whether an upstream has ended while it ran a request."""

from plantaincart_core.directory import UpstreamRecord

from plantaincart_router.direct.pool import UpstreamPools
from plantaincart_router.exception import ConnectFailedError
from plantaincart_router.http.message import HttpRequest, find_header
from plantaincart_router.log import write_event
from plantaincart_router.requestparser import make_fingerprint

__all__ = ["CrashWatch", "fingerprint_request"]

# Seconds within which a connect to an upstream that has ended is refused.
CONNECT_LIMIT_S = 0.05


class CrashWatch:
    """
    Tells upstreams that have ended from connections that were lost.

    Parameters
    ----------
    pools : UpstreamPools
        Connections to upstreams.
    """

    def __init__(self, pools: UpstreamPools) -> None:
        self._pools = pools

    async def check(
        self, request: HttpRequest, record: UpstreamRecord, request_id: str
    ) -> bool:
        """
        Connect to an upstream that has closed the connection of a running request.

        Parameters
        ----------
        request : HttpRequest
            The request.
        record : UpstreamRecord
            The upstream.
        request_id : str
            Id of the request, which is logged.

        Returns
        -------
        bool
            Whether the upstream refuses connections. A connect that times out proves
            nothing, since the way to the upstream may be cut.
        """
        try:
            connection = await self._pools.open(record, CONNECT_LIMIT_S)
        except ConnectFailedError as error:
            if error.timed_out:
                return False
        else:
            self._pools.return_connection(record, connection, None)
            return False
        write_event(
            "upstream_crashed",
            upstream=record.id,
            born=record.born,
            service=record.service,
            request=request_id,
            fingerprint=fingerprint_request(request, record.service),
        )
        return True


def fingerprint_request(request: HttpRequest, service: str) -> str:
    """
    Hash the parts of a request that stay the same when its caller repeats it.

    Parameters
    ----------
    request : HttpRequest
        The request.
    service : str
        Service that it is sent to.

    Returns
    -------
    str
        Hexadecimal digest of the service, host, caller's credentials, method, target
        and body.

    Examples
    --------
    >>> first = HttpRequest("GET", "/a", (("host", "a.example"), ("id", "1")))
    >>> second = HttpRequest("GET", "/a", (("host", "a.example"), ("id", "2")))
    >>> fingerprint_request(first, "desk") == fingerprint_request(second, "desk")
    True
    """
    host = find_header(request.headers, "host") or ""
    credentials = find_header(request.headers, "authorization") or ""
    target = f"{host}\0{credentials}\0{request.target}"
    return make_fingerprint(service, request.method, target, request.body)
