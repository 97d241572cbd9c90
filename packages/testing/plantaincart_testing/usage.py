"""Calls to the platform stand-in, counted by client."""

from dataclasses import dataclass, field

__all__ = ["ClientUsage", "UsageTracker", "UsageReport"]


@dataclass(kw_only=True)
class ClientUsage:
    """
    Numbers of calls, rows and bytes of one client.

    Parameters
    ----------
    client : str
        Name of the client; empty for calls without a client header.
    """

    client: str
    reads: int = 0
    scans: int = 0
    commits: int = 0
    conflicts: int = 0
    rows_read: int = 0
    rows_written: int = 0
    object_puts: int = 0
    object_gets: int = 0
    instance_lists: int = 0
    failed: int = 0
    bytes_in: int = 0
    bytes_out: int = 0


@dataclass(frozen=True, kw_only=True)
class UsageReport:
    """
    Use of the platform stand-in since the last reset.

    Parameters
    ----------
    seconds : float
        Duration of the period in seconds.
    rows : int
        Number of rows in the table.
    clients : list of ClientUsage
        Use by each client, in order of name.
    """

    seconds: float
    rows: int
    clients: list[ClientUsage] = field(default_factory=list)


class UsageTracker:
    """
    Counts the use of the platform stand-in by each client.

    Parameters
    ----------
    now : float
        Time in seconds at which counting starts.
    """

    def __init__(self, now: float) -> None:
        self._since = now
        self._clients: dict[str, ClientUsage] = {}

    def find(self, client: str) -> ClientUsage:
        """Return the counts of a client; the caller increments them."""
        if client not in self._clients:
            self._clients[client] = ClientUsage(client=client)
        return self._clients[client]

    def report(self, now: float, rows: int) -> UsageReport:
        """Return the counts since the last reset."""
        clients = [self._clients[name] for name in sorted(self._clients)]
        return UsageReport(seconds=now - self._since, rows=rows, clients=clients)

    def reset(self, now: float) -> None:
        """Reset all counts."""
        self._since = now
        self._clients = {}
