"""Search for the process that opened a loopback connection."""

from collections.abc import Collection, Iterator, Mapping
from contextlib import suppress
from os import listdir, readlink
from pathlib import Path

__all__ = ["SourceFinder"]

_TCP_TABLE = Path("/proc/net/tcp")
_LOCAL_ADDRESS_COLUMN = 1
_INODE_COLUMN = 9


class SourceFinder:
    """
    Finds the names of the processes at the other end of accepted connections.

    Notes
    -----
    ``/proc/net/tcp`` maps the remote port to the inode of a socket, and
    ``/proc/PID/fd`` shows which process has the socket open. Only the processes
    passed to `set_pids` are searched.
    """

    def __init__(self) -> None:
        self._pids: dict[str, int] = {}

    def set_pids(self, pids: Mapping[str, int]) -> None:
        """Set the process ids to search, by name of the process."""
        self._pids = dict(pids)

    def find_names(self, peer_ports: Collection[int]) -> dict[int, str]:
        """
        Find the processes that have connections open.

        Parameters
        ----------
        peer_ports : collection of int
            TCP ports of the connections at the side of those processes.

        Returns
        -------
        dict of int to str
            Name of the process by port, without ports whose process isn't found.
        """
        port_by_link = _find_socket_links(peer_ports)
        names: dict[int, str] = {}
        for name, pid in self._pids.items():
            for link in _list_open_files(pid):
                if link in port_by_link:
                    names[port_by_link[link]] = name
        return names


def _find_socket_links(ports: Collection[int]) -> dict[str, int]:
    port_by_hex = {f"{port:04X}": port for port in ports}
    port_by_link: dict[str, int] = {}
    for line in _TCP_TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        port = port_by_hex.get(fields[_LOCAL_ADDRESS_COLUMN].rpartition(":")[2])
        if port is not None and fields[_INODE_COLUMN] != "0":
            port_by_link[f"socket:[{fields[_INODE_COLUMN]}]"] = port
    return port_by_link


def _list_open_files(pid: int) -> Iterator[str]:
    folder = f"/proc/{pid}/fd"
    try:
        descriptors = listdir(folder)
    except OSError:
        return
    for descriptor in descriptors:
        with suppress(OSError):
            yield readlink(f"{folder}/{descriptor}")
