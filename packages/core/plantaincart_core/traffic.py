"""Routing configuration of the direct path, and matching of requests to routes."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random

from plantaincart_core.account import ClientAccount

__all__ = [
    "CallerLimits",
    "Route",
    "RouteIndex",
    "ServicePolicy",
    "RoutingConfiguration",
    "WeightedService",
    "pick_service",
]


@dataclass(frozen=True, kw_only=True, slots=True)
class WeightedService:
    """
    Service of a route with its weight.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Share of the route's requests, relative to the sum of the route's weights.
    """

    service: str
    weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """
    Rule for requests with a given host and path prefix.

    Parameters
    ----------
    name : str
        Name of the route.
    host : str
        Value of the Host header in lower case, without a port.
    prefix : str
        Path prefix; begins and ends with a slash.
    idempotent : bool
        Whether a request may run more than once.
    services : tuple of WeightedService
        Services that the requests are sent to.
    max_attempts : int
        Greatest number of upstreams that a request is sent to.
    timeout_s : float
        Seconds until a request must have been answered.
    target_s : float
        Latency objective in seconds.
    priority : int
        Priority; 0 is the most urgent.
    public : bool
        Whether requests need no key of a client account.
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
    public: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class ServicePolicy:
    """
    Settings that apply to all upstreams of a service.

    Parameters
    ----------
    name : str
        Name of the service.
    keyed : bool
        Whether an upstream runs only requests whose key it owns.
    health_path : str
        Path of the health check.
    max_connections : int
        Connections that an upstream accepts from all instances together.
    cold_requests_per_s : float
        Requests a second that a cold upstream can run.
    """

    name: str
    keyed: bool
    health_path: str
    max_connections: int
    cold_requests_per_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """
    Limits of callers' requests and connections.

    Parameters
    ----------
    max_head_bytes, max_body_bytes : int
        Greatest size of a request's head and body in bytes.
    head_timeout_s : float
        Seconds within which a whole request head must arrive.
    idle_timeout_s : float
        Seconds after which an idle connection is closed.
    """

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, kw_only=True)
class RoutingConfiguration:
    """
    Version of the routing configuration.

    Parameters
    ----------
    version : int
        Number of the version; a higher version replaces a lower one.
    routes : tuple of Route
        All routes.
    services : mapping of str to ServicePolicy
        Services by name.
    limits : CallerLimits or None
        Limits of callers; None leaves the previous limits in force.
    accounts : tuple of ClientAccount
        Client accounts; without any, requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServicePolicy] = field(default_factory=dict)
    limits: CallerLimits | None = None
    accounts: tuple[ClientAccount, ...] = ()


class RouteIndex:
    """
    Index of routes by host and longest path prefix.

    Parameters
    ----------
    configuration : RoutingConfiguration
        Routing configuration in force.

    Examples
    --------
    >>> route = Route(
    ...     name="all", host="a.example", prefix="/", idempotent=True,
    ...     services=(WeightedService(service="desk", weight=1),), max_attempts=1,
    ...     timeout_s=1.0, target_s=0.1, priority=0)
    >>> index = RouteIndex(RoutingConfiguration(version=1, routes=(route,)))
    >>> index.find("A.example:80", "/x/y?z").name
    'all'
    >>> index.find("b.example", "/") is None
    True
    """

    def __init__(self, configuration: RoutingConfiguration) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, target: str) -> Route | None:
        """
        Find the route of a request.

        Parameters
        ----------
        host : str
            Value of the Host header, with or without a port.
        target : str
            Request target: path and query.

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
        Random number generator.

    Returns
    -------
    str
        Name of the service.
    """
    services = route.services
    if len(services) == 1:
        return services[0].service
    remaining = random.random() * sum(weighted.weight for weighted in services)
    for weighted in services:
        remaining -= weighted.weight
        if remaining < 0.0:
            return weighted.service
    return services[-1].service
