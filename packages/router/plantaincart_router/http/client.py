"""HTTP/1.1 client with a small keep-alive pool."""

from asyncio import get_running_loop
from collections.abc import Sequence

from plantaincart_router.exception import AnswerTimeoutError, ConnectFailedError
from plantaincart_router.http.exchange import HttpConnection
from plantaincart_router.http.message import Header, HttpAnswer, HttpRequest

__all__ = ["HttpClient", "HttpConnection"]

MAX_IDLE_CONNECTIONS = 8


class HttpClient:
    """
    A small keep-alive pool for calls to one address.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    timeout_s : float
        Seconds that one call may take, with opening a connection.

    Notes
    -----
    A call that times out drops all idle connections, since the cause may have
    cut off every connection of that age. No call is sent twice.
    """

    def __init__(self, host: str, port: int, timeout_s: float) -> None:
        self._host = host
        self._port = port
        self._timeout_s = timeout_s
        self._idle: list[HttpConnection] = []
        self._calls = 0

    @property
    def is_busy(self) -> bool:
        """Whether a call is under way."""
        return self._calls > 0

    async def request(
        self,
        method: str,
        target: str,
        headers: Sequence[Header] = (),
        body: bytes = b"",
        timeout_s: float | None = None,
        only_kept: bool = False,
    ) -> HttpAnswer:
        """
        Make a call.

        Parameters
        ----------
        method : str
            Method in upper case.
        target : str
            Path and query.
        headers : sequence of (str, str)
            Headers besides Host and Content-Length.
        body : bytes
            Request body.
        timeout_s : float, optional
            Seconds that this call may take.
        only_kept : bool
            Whether to fail rather than open a new connection.

        Returns
        -------
        HttpAnswer
            The whole answer, of any status.

        Raises
        ------
        ExchangeError
            If there is no whole answer; `may_have_started` says whether the
            call may have had an effect.
        """
        loop = get_running_loop()
        limit_s = self._timeout_s if timeout_s is None else timeout_s
        ends_at = loop.time() + limit_s
        call = HttpRequest(method, target, tuple(headers), body)
        self._calls += 1
        try:
            connection = await self._take(ends_at - loop.time(), only_kept)
            answer = await connection.exchange(call, ends_at - loop.time())
        except AnswerTimeoutError:
            self.close()
            raise
        finally:
            self._calls -= 1
        if connection.reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.close()
        return answer

    def close(self) -> None:
        """Close the idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    async def _take(self, timeout_s: float, only_kept: bool) -> HttpConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
        if only_kept:
            raise ConnectFailedError(f"{self._host}:{self._port}: no connection kept")
        return await HttpConnection.open(self._host, self._port, timeout_s)
