"""The routes, services and limits that are in force, and the choice of a route."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random

__all__ = [
    "CallerLimits",
    "Route",
    "RouteIndex",
    "ServicePolicy",
    "TrafficPlan",
    "WeightedService",
    "pick_service",
]


@dataclass(frozen=True, kw_only=True, slots=True)
class WeightedService:
    """
    A service with its part of a route's requests.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Part relative to the other weights of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """
    Requests of one host below one path prefix.

    Parameters
    ----------
    name : str
        Name of the route.
    host : str
        Value of Host in lower case.
    prefix : str
        Start of the path; begins and ends with a slash.
    idempotent : bool
        Whether a request may run more than once.
    services : tuple of WeightedService
        Where requests go.
    max_attempts : int
        Upstreams that one request may be sent to.
    timeout_s : float
        Longest time in seconds until the final answer.
    target_s : float
        Seconds within which an answer has its full value.
    priority : int
        Rank; 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    services: tuple[WeightedService, ...]
    max_attempts: int
    timeout_s: float
    target_s: float
    priority: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ServicePolicy:
    """
    What holds for all upstreams of a service.

    Parameters
    ----------
    name : str
        Name of the service.
    keyed : bool
        Whether an upstream runs only requests whose key it holds.
    health_path : str
        Path of the health check.
    max_connections : int
        Connections that an upstream takes from all instances together.
    cold_requests_per_s : float
        Requests a second that a cold upstream bears.
    """

    name: str
    keyed: bool
    health_path: str
    max_connections: int
    cold_requests_per_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """
    Bounds on what a caller may send.

    Parameters
    ----------
    max_head_bytes, max_body_bytes : int
        Sizes in bytes.
    head_timeout_s : float
        Seconds for a whole head to arrive.
    idle_timeout_s : float
        Seconds that an idle connection is kept.
    """

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, kw_only=True)
class TrafficPlan:
    """
    One version of the configuration.

    Parameters
    ----------
    version : int
        A higher version replaces a lower one.
    routes : tuple of Route
        All routes.
    services : mapping of str to ServicePolicy
        Services by name.
    limits : CallerLimits or None
        None leaves the limits as they are.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServicePolicy] = field(default_factory=dict)
    limits: CallerLimits | None = None


class RouteIndex:
    """
    Find the route of a request: its host, then the longest prefix.

    Parameters
    ----------
    plan : TrafficPlan
        Plan in force.

    Examples
    --------
    >>> whole = Route(
    ...     name="all", host="a.example", prefix="/", idempotent=True,
    ...     services=(WeightedService(service="desk", weight=1),), max_attempts=1,
    ...     timeout_s=1.0, target_s=0.1, priority=0)
    >>> index = RouteIndex(TrafficPlan(version=1, routes=(whole,)))
    >>> index.find("A.example:80", "/x/y?z").name
    'all'
    >>> index.find("b.example", "/") is None
    True
    """

    def __init__(self, plan: TrafficPlan) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in plan.routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, target: str) -> Route | None:
        """
        Find the route of a request.

        Parameters
        ----------
        host : str
            Value of Host, with or without a port.
        target : str
            Path and query.

        Returns
        -------
        Route or None
            None if no route matches.
        """
        routes = self._by_host.get(host.partition(":")[0].lower())
        if routes is None:
            return None
        path = target.partition("?")[0]
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def pick_service(route: Route, random: Random) -> str:
    """
    Pick one of a route's services in proportion to their weights.

    Parameters
    ----------
    route : Route
        Route with one service or more.
    random : random.Random
        Source of chance.

    Returns
    -------
    str
        Name of the service.
    """
    services = route.services
    if len(services) == 1:
        return services[0].service
    point = random.random() * sum(part.weight for part in services)
    for part in services:
        point -= part.weight
        if point < 0.0:
            return part.service
    return services[-1].service
