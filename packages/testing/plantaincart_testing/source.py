"""Search for the process that opened a loopback connection."""

from collections.abc import Collection, Iterator, Mapping
from contextlib import suppress
from os import listdir, readlink
from socket import AF_INET, IPPROTO_TCP, SOCK_RAW, inet_aton, socket
from struct import pack, unpack_from

__all__ = ["Connection", "SourceFinder"]

# Addresses of a connection: host and port at the side that opened it, and at the other.
Connection = tuple[tuple[str, int], tuple[str, int]]

# Values of linux/netlink.h, linux/sock_diag.h and linux/inet_diag.h.
_AF_NETLINK = 16
_NETLINK_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_NLM_F_REQUEST = 1
_NLMSG_HEADER = "=IHHII"
_NLMSG_HEADER_BYTES = 16
_INODE_OFFSET = _NLMSG_HEADER_BYTES + 68
_ANSWER_BYTES = 4096
_ALL = 0xFFFFFFFF


class SourceFinder:
    """
    Finds the names of the processes at the other end of accepted connections.

    Notes
    -----
    The kernel is asked for the inode of the socket at the other end, and
    ``/proc/PID/fd`` shows which process has it open. Only the processes passed to
    `set_pids` are searched. A search is short, since all other connections wait for it.
    """

    def __init__(self) -> None:
        self._pids: dict[str, int] = {}

    def set_pids(self, pids: Mapping[str, int]) -> None:
        """Set the process ids to search, by name of the process."""
        self._pids = dict(pids)

    def find_names(self, connections: Collection[Connection]) -> dict[Connection, str]:
        """
        Find the processes that have connections open.

        Parameters
        ----------
        connections : collection of Connection
            Connections that those processes have opened.

        Returns
        -------
        dict of Connection to str
            Name of the process, without connections whose process isn't found.
        """
        by_link: dict[str, Connection] = {}
        names: dict[Connection, str] = {}
        with socket(_AF_NETLINK, SOCK_RAW, _NETLINK_SOCK_DIAG) as kernel:
            for connection in connections:
                inode = _find_inode(kernel, connection)
                if inode:
                    by_link[f"socket:[{inode}]"] = connection
        if not by_link:
            return names
        for name, pid in self._pids.items():
            for link in _list_open_files(pid):
                if link in by_link:
                    names[by_link[link]] = name
        return names


def _find_inode(kernel: socket, connection: Connection) -> int:
    """Return the inode of a connection's socket at its source; 0 if it is gone."""
    (host, port), (other_host, other_port) = connection
    addresses = inet_aton(host), inet_aton(other_host)
    identity = pack("!HH16s16s", port, other_port, *addresses)
    identity += pack("=III", 0, _ALL, _ALL)
    body = pack("=BBBBI", AF_INET, IPPROTO_TCP, 0, 0, _ALL) + identity
    size = _NLMSG_HEADER_BYTES + len(body)
    fields = size, _SOCK_DIAG_BY_FAMILY, _NLM_F_REQUEST, 0, 0
    kernel.send(pack(_NLMSG_HEADER, *fields) + body)
    answer = kernel.recv(_ANSWER_BYTES)
    if unpack_from(_NLMSG_HEADER, answer)[1] != _SOCK_DIAG_BY_FAMILY:
        return 0
    inode: int = unpack_from("=I", answer, _INODE_OFFSET)[0]
    return inode


def _list_open_files(pid: int) -> Iterator[str]:
    folder = f"/proc/{pid}/fd"
    try:
        descriptors = listdir(folder)
    except OSError:
        return
    for descriptor in descriptors:
        with suppress(OSError):
            yield readlink(f"{folder}/{descriptor}")
