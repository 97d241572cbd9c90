"""Answers that end early: cut at any byte, in any segments, closed or reset."""

from asyncio import Runner, StreamReader, StreamWriter, sleep
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from itertools import pairwise
from socket import IPPROTO_TCP, SO_LINGER, SOL_SOCKET, TCP_NODELAY
from struct import pack
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from plantaincart_router.exception import ExchangeError
from plantaincart_router.http.codec import ClientCodec
from plantaincart_router.http.exchange import HttpConnection
from plantaincart_router.http.message import HttpAnswer, HttpRequest
from plantaincart_testing.streams import start_server
from uvloop import new_event_loop as new_uvloop

HOST = "127.0.0.1"
GET = HttpRequest("GET", "/a")
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
OTHER = b"HTTP/1.1 503 X\r\nContent-Length: 2\r\nid: other\r\n\r\nno"


@dataclass(frozen=True)
class Case:
    """
    An answer as it is sent.

    Attributes
    ----------
    unframed_from : int or None
        Bytes from which the clean end of the connection completes an answer without
        length; None for answers with a length or in chunks.
    """

    data: bytes
    body: bytes
    unframed_from: int | None = None


def make_unframed(before: bytes, head: bytes, body: bytes) -> Case:
    return Case(before + head + body, body, len(before + head))


ANSWERS = {
    "length": Case(b"HTTP/1.1 200 OK\r\nid: mine\r\nContent-Length: 12\r\n\r\n"
                   b"abcdefghijkl", b"abcdefghijkl"),
    "empty": Case(b"HTTP/1.1 200 OK\r\nid: mine\r\nContent-Length: 0\r\n\r\n", b""),
    "bare line feeds": Case(b"HTTP/1.1 200 OK\nid: mine\nContent-Length: 2\n\nab",
                            b"ab"),
    "no content": Case(b"HTTP/1.1 204 No Content\r\nid: mine\r\n\r\n", b""),
    "chunked": Case(b"HTTP/1.1 200 OK\r\nid: mine\r\nTransfer-Encoding: chunked\r\n\r\n"
                    b"3\r\nabc\r\n10;x=y\r\n0123456789abcdef\r\n0\r\nsum: 1\r\n\r\n",
                    b"abc0123456789abcdef"),
    "interim": Case(INTERIM * 2 + b"HTTP/1.1 200 OK\r\nid: mine\r\n"
                    b"Content-Length: 2\r\n\r\nab", b"ab"),
    "another's first": Case(OTHER + b"HTTP/1.1 200 OK\r\nid: mine\r\n"
                            b"Content-Length: 2\r\n\r\nab", b"ab"),
    "HTTP/1.0": Case(b"HTTP/1.0 200 OK\r\nid: mine\r\nContent-Length: 2\r\n\r\nab",
                     b"ab"),
    "unframed": make_unframed(b"", b"HTTP/1.1 200 OK\r\nid: mine\r\n\r\n", b"to the"),
    "unframed, interim": make_unframed(
        INTERIM, b"HTTP/1.1 200 OK\r\nid: mine\r\n\r\n", b"to the end"),
    "unframed, HTTP/1.0": make_unframed(
        b"", b"HTTP/1.0 200 OK\r\nid: mine\r\n\r\n", b"to the end"),
}  # fmt: skip


def belongs(answer: HttpAnswer) -> bool:
    return ("id", "mine") in answer.headers


def read_cut(data: bytes, cuts: list[int], accepts_unframed: bool) -> tuple[Any, Any]:
    """Return the answer of the bytes, and the one that a clean end then completes."""
    codec = ClientCodec(HOST, accepts_unframed)
    codec.encode(GET)
    bounds = [0, *sorted({cut for cut in cuts if cut < len(data)}), len(data)]
    try:
        for start, end in pairwise(bounds):
            answer = codec.read(data[start:end])
            while answer is not None and not belongs(answer):
                answer = codec.skip_answer()
            if answer is not None:
                return answer, None
        return None, codec.read_end()
    except ExchangeError:
        return None, None


@settings(derandomize=True, deadline=None, max_examples=400)
@given(data=st.data(), accepts_unframed=st.booleans())
@pytest.mark.parametrize("name", ANSWERS)
def test_answer_cut_at_any_byte_is_never_complete(
    name: str, data: st.DataObject, accepts_unframed: bool
) -> None:
    """Callers got a 200 with an empty or short body, framed as whole."""
    case = ANSWERS[name]
    length = data.draw(st.integers(0, len(case.data)), "length")
    cuts = data.draw(st.lists(st.integers(1, len(case.data)), max_size=6), "cuts")
    answer, at_end = read_cut(case.data[:length], cuts, accepts_unframed)
    if case.unframed_from is None:
        assert (answer is not None) == (length == len(case.data))
        assert at_end is None
        if answer is not None:
            assert (answer.status // 100, answer.body) == (2, case.body)
        return
    # No mark shows where such an answer ends, but its head was whole.
    assert answer is None
    assert (at_end is not None) == (accepts_unframed and length >= case.unframed_from)
    if at_end is not None:
        assert at_end.body == case.data[case.unframed_from : length]


HEAD_CUTS = [
    ("in the status line", b"HTTP/1.1 200 O"),
    ("after the status line", b"HTTP/1.1 200 OK\r\n"),
    ("in a name", b"HTTP/1.1 200 OK\r\nid: mine\r\nContent-Le"),
    ("in a value", b"HTTP/1.1 200 OK\r\nid: mi"),
    ("in the length", b"HTTP/1.1 200 OK\r\nid: mine\r\nContent-Length: 1"),
    ("before the line's end", b"HTTP/1.1 200 OK\r\nid: mine\r\nContent-Length: 0\r"),
    ("after a line", b"HTTP/1.1 200 OK\r\nid: mine\r\nContent-Length: 0\r\n"),
    ("in the blank line", b"HTTP/1.1 200 OK\r\nid: mine\r\nContent-Length: 0\r\n\r"),
    ("without a length", b"HTTP/1.1 200 OK\r\nid: mine\r\n"),
    ("after another's", OTHER + b"HTTP/1.1 200 OK\r\nid: mine\r\n"),
    ("after an interim one", INTERIM + b"HTTP/1.1 200 OK\r\nid: mine\r\n"),
    ("in an interim one", INTERIM[:-2]),
    ("in a body", ANSWERS["length"].data[:-1]),
    ("in a chunk", ANSWERS["chunked"].data[:-20]),
    ("in the trailers", ANSWERS["chunked"].data[:-2]),
]


def reset(writer: StreamWriter) -> None:
    raw = writer.get_extra_info("socket")
    raw.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
    writer.transport.abort()


async def exchange_cut(data: bytes, is_reset: bool, accepts_unframed: bool) -> Any:
    async def serve(reader: StreamReader, writer: StreamWriter) -> None:
        with suppress(ConnectionError, EOFError):
            await reader.readuntil(b"\r\n\r\n")
            writer.get_extra_info("socket").setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
            for start in range(0, len(data), 11):
                writer.write(data[start : start + 11])
                await sleep(0)
            # A reset discards bytes that the client hasn't read.
            await sleep(0.02)
            if is_reset:
                reset(writer)
        writer.close()

    server = await start_server(serve, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    connection = await HttpConnection.open(HOST, port, 5, accepts_unframed)
    try:
        return await connection.exchange(GET, 5, matches_request=belongs)
    finally:
        assert not connection.reusable
        connection.close()
        server.close()


@pytest.mark.parametrize("make_loop", [None, new_uvloop], ids=["asyncio", "uvloop"])
@pytest.mark.parametrize("accepts_unframed", [False, True])
@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize(
    "data", [row[1] for row in HEAD_CUTS], ids=[row[0] for row in HEAD_CUTS]
)
def test_connection_that_ends_early_loses_the_answer(
    data: bytes,
    is_reset: bool,
    accepts_unframed: bool,
    make_loop: Callable[[], Any] | None,
) -> None:
    """An upstream stopped in the middle of its answer's head and closed."""
    with Runner(loop_factory=make_loop) as runner, pytest.raises(ExchangeError) as cut:
        runner.run(exchange_cut(data, is_reset, accepts_unframed))
    assert cut.value.may_have_started


@pytest.mark.parametrize("make_loop", [None, new_uvloop], ids=["asyncio", "uvloop"])
@pytest.mark.parametrize("name", ["unframed", "unframed, interim"])
def test_answer_without_length_needs_a_clean_end(
    name: str, make_loop: Callable[[], Any] | None
) -> None:
    """One that is reset on the way isn't complete."""
    data = ANSWERS[name].data
    with Runner(loop_factory=make_loop) as runner:
        answer = runner.run(exchange_cut(data, False, True))
        assert answer.body == ANSWERS[name].body
        with pytest.raises(ExchangeError):
            runner.run(exchange_cut(data, True, True))
