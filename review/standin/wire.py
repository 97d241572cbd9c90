"""Small HTTP/1.1 server and client for stand-ins, on the standard library alone."""

import asyncio
import contextlib

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone"}
REASONS |= {412: "Precondition Failed", 421: "Misdirected Request"}
REASONS |= {500: "Internal Server Error", 503: "Service Unavailable"}


async def read_message(reader):
    """Read one message; return its first line, headers and body, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first_line, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        try:
            body = await reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return first_line, headers, body


def encode_answer(status, headers, body):
    """Encode an answer with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def serve(host, port, handle):
    """
    Serve requests.

    `handle(method, target, headers, body)` returns (status, headers, body).
    """
    writers = set()

    async def run(reader, writer):
        writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                method, target, _ = message[0].split(" ", 2)
                answer = await handle(method, target, message[1], message[2])
                writer.write(encode_answer(*answer))
                await writer.drain()
        except (ConnectionError, ValueError):
            return
        finally:
            writers.discard(writer)
            writer.close()
            with contextlib.suppress(Exception):
                await writer.wait_closed()

    server = await asyncio.start_server(run, host, port, backlog=512, limit=1 << 20)
    return Server(server, writers)


class Server:
    """A server with the connections that it has accepted."""

    def __init__(self, server, writers):
        self._server = server
        self._writers = writers

    def close(self):
        """Stop listening."""
        self._server.close()

    def end(self):
        """Stop listening and reset all connections, as the end of a process does."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


async def call(host, port, method, target, headers, body=b"", timeout_s=5.0):
    """Send a request on a new connection; return (status, headers, body) or None."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
            message = await read_message(reader)
    except (TimeoutError, OSError):
        return None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return None
    return int(message[0].split(" ", 2)[1]), message[1], message[2]
