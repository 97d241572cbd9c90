"""Settings, faults and reports of the upstream stand-in."""

from collections.abc import Sequence
from dataclasses import dataclass, field

__all__ = [
    "ColdTurn",
    "UpstreamFaults",
    "UpstreamProcessSettings",
    "UpstreamReport",
    "UpstreamSettings",
]


@dataclass(frozen=True, kw_only=True)
class UpstreamSettings:
    """
    Settings of one upstream.

    Parameters
    ----------
    name, service : str
        Name of the upstream and of its service.
    host : str
        IP address to bind.
    port : int
        TCP port to bind.
    slots : int
        Requests that can be executed at the same time.
    connections : int
        Maximum number of connections; further ones are closed.
    wait_limit : int
        Maximum number of requests that wait for a slot; further ones are rejected.
    checks_fence : bool
        Whether requests without a valid grant are rejected.
    keyed : bool
        Whether a request's hash slot must be in the grant.
    lookup_s, write_s : float
        Mean service times in seconds of idempotent and other requests.
    spread : float
        Standard deviation of the logarithm of service times.
    warm_up_s : float
        Duration of the warm-up to full concurrency in seconds.
    cold_factor : float
        Factor on service times when cold.
    collapse_s : float
        Duration of a collapse in seconds.
    load_lag_s : float
        Seconds by which load reports are delayed.
    answer_bytes : int
        Bytes added to each answer's body.
    seed : int
        Seed of the service times.
    """

    name: str
    service: str
    host: str
    port: int
    slots: int = 2
    connections: int = 50
    wait_limit: int = 16
    checks_fence: bool = True
    keyed: bool = True
    lookup_s: float = 0.004
    write_s: float = 0.008
    spread: float = 0.4
    warm_up_s: float = 5.0
    cold_factor: float = 1.0
    collapse_s: float = 4.0
    load_lag_s: float = 2.0
    answer_bytes: int = 0
    seed: int = 0


@dataclass(frozen=True, kw_only=True)
class UpstreamProcessSettings:
    """
    Settings of one process that hosts upstreams.

    Parameters
    ----------
    control_host : str
        IP address of the control address.
    control_port : int
        TCP port of the control address.
    history : str
        Path of the file for the history of executions.
    lookups_recorded : bool
        Whether executions of idempotent requests are recorded too.
    upstreams : sequence of UpstreamSettings
        Upstreams to host. If there are several, a crash stops only the upstream
        concerned, not the process.
    """

    control_host: str
    control_port: int
    history: str
    upstreams: Sequence[UpstreamSettings]
    lookups_recorded: bool = True


@dataclass(frozen=True, kw_only=True)
class UpstreamFaults:
    """
    Faults of one upstream; by default there are none.

    Parameters
    ----------
    slow_factor : float
        Factor on service times.
    slow_for_s : float
        Seconds for which the factor applies; 0 until other faults are set.
    shed : bool
        Whether every request is rejected before it is executed.
    silent : bool
        Whether connections are accepted but no request is answered.
    truncate_next : int
        Number of next answers that are cut off before the end of the body.
    duplicate_next : int
        Number of next answers whose bytes are sent twice.
    lose_next : int
        Number of next answers that are dropped, with the connection closed.
    cross_next : int
        Number of next answers that are replaced by the previous answer.
    late_next : int
        Number of next answers that are delayed after the execution.
    late_s : float
        Delay of such an answer in seconds.
    reported_load : float or None
        Load to report instead of the real one.
    reported_in_flight : int or None
        Requests in flight to report instead of the real number.
    draining : bool
        Whether load reports say that the upstream is draining.
    """

    slow_factor: float = 1.0
    slow_for_s: float = 0.0
    shed: bool = False
    silent: bool = False
    truncate_next: int = 0
    duplicate_next: int = 0
    lose_next: int = 0
    cross_next: int = 0
    late_next: int = 0
    late_s: float = 0.0
    reported_load: float | None = None
    reported_in_flight: int | None = None
    draining: bool = False


@dataclass(frozen=True, kw_only=True)
class ColdTurn:
    """
    Body of the control call that restarts the warm-up of a running upstream.

    Parameters
    ----------
    lenient_s : float
        Seconds in which requests above the warm-up limit don't cause a collapse.
    """

    lenient_s: float = 0.5


@dataclass(kw_only=True)
class UpstreamReport:
    """
    Counts of one upstream since its start.

    Parameters
    ----------
    excess : int
        Maximum of the requests in flight above the warm-up limit.
    max_in_flight : int
        Maximum of the requests in flight, including those waiting for a slot.
    """

    name: str
    incarnation: str
    is_up: bool = True
    in_flight: int = 0
    max_in_flight: int = 0
    executed: int = 0
    cancelled: int = 0
    shed: int = 0
    expired: int = 0
    fenced: int = 0
    grants_accepted: int = 0
    grants_refused: int = 0
    connections: int = 0
    collapses: int = 0
    excess: int = 0
    limit: int = 0
    counts: dict[str, int] = field(default_factory=dict)
