"""A request that timed out at the sender must not arrive later."""

from asyncio import get_running_loop, new_event_loop, sleep
from collections.abc import Callable
from socket import create_server
from typing import Any

from plantaincart_router.exception import AnswerTimeoutError
from plantaincart_router.http.exchange import HttpConnection
from plantaincart_router.http.message import HttpRequest
from pytest import mark, raises
from uvloop import new_event_loop as new_uvloop

REQUEST = HttpRequest("POST", "/filing", (), b"x" * 100)


@mark.parametrize("make_loop", [new_event_loop, new_uvloop])
def test_connection_of_timed_out_request_is_reset(make_loop: Callable[[], Any]) -> None:
    """Pattern zone_cut: grants arrived 1.7 s after the network cut had ended."""
    loop = make_loop()
    try:
        loop.run_until_complete(_time_out_a_request())
    finally:
        loop.close()


async def _time_out_a_request() -> None:
    loop = get_running_loop()
    with create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)
        port = listener.getsockname()[1]
        connection = await HttpConnection.open("127.0.0.1", port, 1.0)
        accepted, _ = await loop.sock_accept(listener)
        accepted.setblocking(False)
        with accepted:
            with raises(AnswerTimeoutError):
                await connection.exchange(REQUEST, 0.05)
            await sleep(0.05)
            with raises(ConnectionResetError):
                while await loop.sock_recv(accepted, 1000):
                    pass
