"""Settings, faults and reports of the fault-injecting proxy's routes."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "Direction",
    "PassMode",
    "ProxySettings",
    "RouteFaults",
    "RouteReport",
    "RouteSettings",
    "SourceList",
]


class PassMode(StrEnum):
    """How a route treats its connections."""

    PASS = "pass"
    CUT = "cut"
    SILENT = "silent"


class Direction(StrEnum):
    """Direction of the bytes that a fault affects."""

    BOTH = "both"
    TO_TARGET = "to-target"
    TO_SOURCE = "to-source"


@dataclass(frozen=True, kw_only=True)
class RouteFaults:
    """
    Faults of a route; by default there are none.

    Parameters
    ----------
    mode : PassMode
        ``PASS`` passes bytes, ``CUT`` resets open connections and refuses new
        ones, and ``SILENT`` drops bytes and never closes, on open and new
        connections.
    direction : Direction
        Direction in which bytes are dropped, delayed or throttled.
    delay_s : float
        Delay of each chunk in seconds, in addition to the delay in the settings.
    bytes_per_s : float
        Maximum number of bytes per second on each connection; 0 for no limit.
    """

    mode: PassMode = PassMode.PASS
    direction: Direction = Direction.BOTH
    delay_s: float = 0.0
    bytes_per_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class RouteSettings:
    """
    A route from a listening address to a target.

    Parameters
    ----------
    name : str
        Name of the route.
    delay_s : float
        Permanent one-way delay in seconds.
    """

    name: str
    host: str
    port: int
    target_host: str
    target_port: int
    delay_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class ProxySettings:
    """
    Settings of a proxy process.

    Parameters
    ----------
    control_host, control_port : str, int
        IP address and TCP port of the control address.
    routes : sequence of RouteSettings
        Routes to serve.
    """

    control_host: str
    control_port: int
    routes: Sequence[RouteSettings]


@dataclass(frozen=True, kw_only=True)
class SourceList:
    """
    Processes that open connections, so that faults can be set for each of them.

    Parameters
    ----------
    pids : mapping of str to int
        Process id by name of the source.
    """

    pids: Mapping[str, int]


@dataclass(frozen=True, kw_only=True)
class RouteReport:
    """
    Counts of a route since its start.

    Parameters
    ----------
    sources : mapping of str to int
        Number of open connections by name of the source; empty name if unknown.
    """

    name: str
    connections: int
    accepted: int
    refused: int
    bytes_to_target: int
    bytes_to_source: int
    sources: Mapping[str, int] = field(default_factory=dict)
