"""Socket of a client connection, and the silence after which it ends."""

from asyncio import AbstractEventLoop
from socket import (
    AF_INET,
    AF_INET6,
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SO_LINGER,
    SO_RCVBUF,
    SOCK_STREAM,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_NODELAY,
    TCP_USER_TIMEOUT,
    socket,
)
from struct import pack

from plantaincart_router.http.timeout import ReschedulableTimeout

__all__ = ["SendTimeout", "make_socket", "reset_on_close"]

# A connection without unacknowledged bytes ends after KEEPALIVE_IDLE_S +
# KEEPALIVE_COUNT * KEEPALIVE_INTERVAL_S seconds of silence, if no user timeout is set:
# a middlebox has dropped its state, or the machine is down.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
# Time for which sent bytes may stay unacknowledged. It detects a machine that is down,
# and is long enough for several retransmissions of a lost packet.
USER_TIMEOUT_MS = 800
# Seconds after a send for which that limit is in force: until the bytes are either
# acknowledged or given up, and before the first probe can be overdue.
USER_TIMEOUT_HELD_S = 1.0
# Size up to which a send has that limit: it fits into the receive window of a server
# that doesn't read for a while.
MAX_TIMED_BYTES = 16384
# Value of SO_LINGER (enabled, 0 seconds) with which a close resets the connection and
# discards unsent and unacknowledged bytes.
RESET_ON_CLOSE = pack("ii", 1, 0)


def make_socket(host: str, receive_window: int = 0) -> socket:
    """
    Make a socket for a client connection.

    Parameters
    ----------
    host : str
        IP address of the server.
    receive_window : int
        Bytes that the server may send without their being read; 0 for as many as the
        system chooses.

    Returns
    -------
    socket
        Socket without blocking, with keep-alive probes.
    """
    tcp_socket = socket(AF_INET6 if ":" in host else AF_INET, SOCK_STREAM)
    tcp_socket.setblocking(False)
    tcp_socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    if receive_window:
        tcp_socket.setsockopt(SOL_SOCKET, SO_RCVBUF, receive_window)
    tcp_socket.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    tcp_socket.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    tcp_socket.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_COUNT)
    return tcp_socket


def reset_on_close(tcp_socket: socket) -> None:
    """Make the close of a socket reset its connection."""
    tcp_socket.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)


class SendTimeout:
    """
    Limit on the time for which sent bytes stay unacknowledged.

    Parameters
    ----------
    loop : AbstractEventLoop
        Event loop of the connection.
    tcp_socket : socket
        Socket of the connection.

    Notes
    -----
    TCP_USER_TIMEOUT also decides when keep-alive probes give up: Linux ends a
    connection at the first check after that time at which a probe is unanswered,
    whatever the count of probes. So it is in force only for a time after each send;
    afterwards one lost packet doesn't end a connection that is idle or waits for an
    answer. The option is changed only if no send follows within that time.

    The limit also ends connections to a server that lives, but has no room for more
    bytes, since it reads long bodies when it begins to work on them. So there is none
    for long sends; the deadline of the request ends these.
    """

    def __init__(self, loop: AbstractEventLoop, tcp_socket: socket) -> None:
        self._socket = tcp_socket
        self._timer = ReschedulableTimeout(loop, self._lift)
        self._in_force = False

    def start(self, byte_count: int) -> None:
        """
        Put the limit in force, or lift it, since bytes are about to be sent.

        Parameters
        ----------
        byte_count : int
            Number of bytes that are sent.
        """
        if byte_count > MAX_TIMED_BYTES:
            if self._in_force:
                self._timer.clear()
                self._lift()
            return
        if not self._in_force:
            self._in_force = True
            self._set_option(USER_TIMEOUT_MS)
        self._timer.set(USER_TIMEOUT_HELD_S)

    def stop(self) -> None:
        """Leave the socket as it is, since the connection ends."""
        self._timer.stop()

    def _lift(self) -> None:
        self._in_force = False
        self._set_option(0)

    def _set_option(self, timeout_ms: int) -> None:
        self._socket.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, timeout_ms)
