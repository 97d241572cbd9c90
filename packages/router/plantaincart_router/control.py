"""Grants, clock readings and load reports of one upstream."""

from asyncio import get_running_loop
from typing import TypeVar

from plantaincart_schema.codec import decode_json, encode_json
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.configuration import Upstream
from plantaincart_schema.generated.settings import DispatchSettings
from plantaincart_schema.generated.upstream import (
    GrantAnswer,
    GrantRequest,
    UpstreamLoad,
)

from plantaincart_router.exception import AnswerMalformedError, ConnectFailedError
from plantaincart_router.http.client import HttpConnection
from plantaincart_router.http.message import HttpAnswer, HttpRequest

__all__ = ["GRANT_PATH", "LOAD_PATH", "UpstreamControl"]

GRANT_PATH = "/.well-known/plantaincart/grant"
LOAD_PATH = "/.well-known/plantaincart/load"
_JSON_HEADERS = (("content-type", "application/json"),)
T = TypeVar("T")


class UpstreamControl:
    """
    Make control calls to one upstream over a separate connection.

    Parameters
    ----------
    upstream : Upstream
        Address of the upstream.
    settings : DispatchSettings
        Timeout for connecting.
    """

    def __init__(self, upstream: Upstream, settings: DispatchSettings) -> None:
        self._upstream = upstream
        self._settings = settings
        self._loop = get_running_loop()
        self._connection: HttpConnection | None = None
        self._closed = False

    async def send_grant(self, request: GrantRequest, timeout_s: float) -> GrantAnswer:
        """
        Send a grant.

        Parameters
        ----------
        request : GrantRequest
            Slots, fencing token and expiry.
        timeout_s : float
            Seconds that the call may take.

        Returns
        -------
        GrantAnswer
            Whether the grant was accepted, with the upstream's clock and state.

        Raises
        ------
        ExchangeError
            If there is no valid answer; the grant may have been accepted.
        """
        call = HttpRequest("PUT", GRANT_PATH, _JSON_HEADERS, encode_json(request))
        return await self._call(call, timeout_s, GrantAnswer, (200, 409))

    async def read_clock(self, timeout_s: float) -> GrantAnswer:
        """
        Read the upstream's clock and state.

        Parameters
        ----------
        timeout_s : float
            Seconds that the call may take.

        Returns
        -------
        GrantAnswer
            The clock, the incarnation and the fencing token of the latest grant.

        Raises
        ------
        ExchangeError
            If there is no valid answer.
        """
        call = HttpRequest("GET", GRANT_PATH)
        return await self._call(call, timeout_s, GrantAnswer, (200,))

    async def read_load(self, timeout_s: float) -> UpstreamLoad:
        """
        Read the upstream's own load report, which may be late or wrong.

        Parameters
        ----------
        timeout_s : float
            Seconds that the call may take.

        Returns
        -------
        UpstreamLoad
            The report.

        Raises
        ------
        ExchangeError
            If there is no valid answer.
        """
        call = HttpRequest("GET", LOAD_PATH)
        return await self._call(call, timeout_s, UpstreamLoad, (200,))

    def close(self) -> None:
        """Close the connection."""
        self._closed = True
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _open(self, timeout_s: float) -> HttpConnection:
        if self._closed:
            raise ConnectFailedError(f"{self._upstream.name}: client closed")
        limit_s = min(timeout_s, self._settings.connect_timeout_s)
        host, port = self._upstream.host, self._upstream.port
        return await HttpConnection.open(host, port, limit_s)

    async def _call(
        self,
        request: HttpRequest,
        timeout_s: float,
        kind: type[T],
        statuses: tuple[int, ...],
    ) -> T:
        ends_at = self._loop.time() + timeout_s
        connection, self._connection = self._connection, None
        if connection is None or not connection.reusable:
            connection = await self._open(timeout_s)
        try:
            answer = await connection.exchange(request, ends_at - self._loop.time())
        finally:
            if connection.reusable and self._connection is None and not self._closed:
                self._connection = connection
            else:
                connection.close()
        return self._decode(answer, kind, statuses)

    def _decode(
        self, answer: HttpAnswer, kind: type[T], statuses: tuple[int, ...]
    ) -> T:
        if answer.status not in statuses:
            raise AnswerMalformedError(f"{self._upstream.name}: status {answer.status}")
        try:
            return decode_json(answer.body, kind)
        except MalformedMessageError as error:
            raise AnswerMalformedError(f"{self._upstream.name}: {error}") from error
