"""The tests guard against streams that outlive the event loop of their test."""

from asyncio import Event, Runner, StreamReader, StreamWriter
from collections.abc import Callable

from plantaincart_testing.streams import open_connection, start_server
from pytest import mark
from uvloop import new_event_loop

HOST = "127.0.0.1"


@mark.parametrize("make_loop", [None, new_event_loop])
def test_streams_end_with_their_loop(make_loop: Callable | None) -> None:
    writers: list[StreamWriter] = []

    async def leave_open() -> None:
        accepted = Event()

        async def handle(reader: StreamReader, writer: StreamWriter) -> None:
            writers.append(writer)
            accepted.set()

        server = await start_server(handle, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        _, writer = await open_connection(HOST, port)
        writers.append(writer)
        await accepted.wait()
        assert not any(writer.is_closing() for writer in writers)

    with Runner(loop_factory=make_loop) as runner:
        runner.run(leave_open())
    assert len(writers) == 2
    assert all(writer.is_closing() for writer in writers)
