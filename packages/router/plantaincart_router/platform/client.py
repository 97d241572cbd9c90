"""HTTP client for the platform's services."""

from typing import TypeVar
from urllib.parse import quote

from plantaincart_schema.codec import decode_json
from plantaincart_schema.exception import MalformedMessageError

from plantaincart_router.exception import (
    ExchangeError,
    PlatformRefusedError,
    PlatformUnavailableError,
)
from plantaincart_router.http.client import HttpClient
from plantaincart_router.http.message import HttpAnswer

__all__ = ["INSTANCE_HEADER", "PlatformClient", "quote_name"]

INSTANCE_HEADER = "plantaincart-instance"
"""Header with the name of the calling instance, for the platform's accounting."""

_FIRST_SERVER_ERROR = 500
_FIRST_ERROR = 400
_NOT_FOUND = 404

T = TypeVar("T")


class PlatformClient:
    """
    HTTP client for one service of the platform.

    Failed calls are reported as unavailable or as refused.

    Parameters
    ----------
    host : str
        IP address of the service.
    port : int
        TCP port of the service.
    timeout_s : float
        Limit in seconds for one call.
    instance : str
        Instance name sent with each call; empty to send none.
    """

    def __init__(
        self, host: str, port: int, timeout_s: float, instance: str = ""
    ) -> None:
        self._address = f"{host}:{port}"
        self._http = HttpClient(host, port, timeout_s)
        self._headers: tuple[tuple[str, str], ...] = (
            ((INSTANCE_HEADER, instance),) if instance else ()
        )

    async def call(self, method: str, target: str, body: bytes = b"") -> bytes | None:
        """
        Make a call and return the body of its answer.

        Parameters
        ----------
        method : str
            Method in upper case.
        target : str
            Path and query.
        body : bytes
            Body of the request.

        Returns
        -------
        bytes or None
            Body, or None if the service answered with status 404.

        Raises
        ------
        PlatformUnavailableError
            If no complete answer arrived or its status is 500 or above.
        PlatformRefusedError
            If the status is 400 or above, but below 500 and not 404.
        """
        answer = await self._exchange(method, target, body)
        call = f"{method} {self._address}{target}"
        if answer.status >= _FIRST_SERVER_ERROR:
            raise PlatformUnavailableError(f"{call}: status {answer.status}")
        if answer.status == _NOT_FOUND:
            return None
        if answer.status >= _FIRST_ERROR:
            detail = answer.body[:200].decode("utf-8", "replace")
            raise PlatformRefusedError(f"{call}: status {answer.status}: {detail}")
        return answer.body

    async def call_json(
        self, method: str, target: str, kind: type[T], body: bytes = b""
    ) -> T:
        """
        Make a call and decode its JSON answer.

        Parameters
        ----------
        method : str
            Method in upper case.
        target : str
            Path and query.
        kind : type
            Generated data class of the answer.
        body : bytes
            Body of the request.

        Returns
        -------
        object
            Instance of `kind`.

        Raises
        ------
        PlatformUnavailableError
            If no complete answer arrived, its status is 500 or above, or its body
            isn't a valid `kind`.
        PlatformRefusedError
            If the status is 400 or above, but below 500.
        """
        data = await self.call(method, target, body)
        if data is None:
            raise PlatformRefusedError(f"{method} {self._address}{target}: status 404")
        try:
            return decode_json(data, kind)
        except MalformedMessageError as error:
            raise PlatformUnavailableError(
                f"{method} {self._address}{target}: {error}"
            ) from error

    def close(self) -> None:
        """Close idle connections."""
        self._http.close()

    async def _exchange(self, method: str, target: str, body: bytes) -> HttpAnswer:
        try:
            return await self._http.request(method, target, self._headers, body)
        except ExchangeError as error:
            raise PlatformUnavailableError(
                f"{method} {self._address}{target}: {error}"
            ) from error


def quote_name(name: str) -> str:
    """
    Percent-encode a name for use in a path or query.

    Parameters
    ----------
    name : str
        Any text.

    Returns
    -------
    str
        Percent-encoded text; slashes stay.

    Examples
    --------
    >>> quote_name("a b/c")
    'a%20b/c'
    """
    return quote(name, safe="/")
