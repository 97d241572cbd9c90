"""Streams of tests, which are closed before their event loop."""

from asyncio import AbstractEventLoop, StreamReader, StreamWriter, get_running_loop
from asyncio import open_connection as open_stream
from asyncio import start_server as start_stream_server
from asyncio.base_events import Server
from collections.abc import AsyncGenerator, Awaitable, Callable
from typing import Any
from weakref import WeakSet

__all__ = ["open_connection", "start_server"]


class _OpenStreams:
    """Streams of one event loop."""

    def __init__(self) -> None:
        self._writers: WeakSet[StreamWriter] = WeakSet()
        self._closer = self._close_at_shutdown()

    async def watch(self) -> None:
        """Wait for the end of the running event loop."""
        await anext(self._closer)

    def add(self, writer: StreamWriter) -> None:
        """Close a stream at the end."""
        self._writers.add(writer)

    async def _close_at_shutdown(self) -> AsyncGenerator[None, None]:
        """Close all streams when the event loop shuts its generators down."""
        try:
            yield
        finally:
            del _streams_by_loop[get_running_loop()]
            for writer in tuple(self._writers):
                writer.transport.abort()


_streams_by_loop: dict[AbstractEventLoop, _OpenStreams] = {}


async def _find_streams() -> _OpenStreams:
    loop = get_running_loop()
    streams = _streams_by_loop.get(loop)
    if streams is None:
        streams = _streams_by_loop[loop] = _OpenStreams()
        await streams.watch()
    return streams


async def open_connection(
    *args: Any, **options: Any
) -> tuple[StreamReader, StreamWriter]:
    """
    Open a connection as `asyncio.open_connection` does.

    Parameters
    ----------
    *args, **options
        Arguments of `asyncio.open_connection`.

    Returns
    -------
    tuple of StreamReader and StreamWriter
        The connection, which is closed with the event loop at the latest.
    """
    streams = await _find_streams()
    reader, writer = await open_stream(*args, **options)
    streams.add(writer)
    return reader, writer


async def start_server(
    handle: Callable[[StreamReader, StreamWriter], Awaitable[None]],
    *args: Any,
    **options: Any,
) -> Server:
    """
    Start a server as `asyncio.start_server` does.

    Parameters
    ----------
    handle : callable
        Serves a connection; it may leave it open.
    *args, **options
        Further arguments of `asyncio.start_server`.

    Returns
    -------
    Server
        The server. Its connections are closed with the event loop at the latest.
    """
    streams = await _find_streams()

    async def serve(reader: StreamReader, writer: StreamWriter) -> None:
        streams.add(writer)
        await handle(reader, writer)

    return await start_stream_server(serve, *args, **options)
