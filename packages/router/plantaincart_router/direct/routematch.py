"""Route, service and deadline of a request by the configuration in force."""

from plantaincart_core.traffic import Route, ServicePolicy
from plantaincart_core.verdict import Reason

from plantaincart_router.direct.call import refuse
from plantaincart_router.direct.interface import RequestMetadata
from plantaincart_router.direct.view import SystemView

__all__ = ["choose_time_limit_s", "find_route", "find_service"]

DEFAULT_DEADLINE_S = 30.0


def find_route(view: SystemView, host: str, target: str) -> Route:
    """
    Find the route of a request.

    Parameters
    ----------
    view : SystemView
        State of the system as this instance knows it.
    host, target : str
        Host of the request, and its path and query.

    Raises
    ------
    RefusedError
        If no route matches, or no configuration is known.
    """
    if view.routes is None:
        raise refuse(Reason.NO_ROUTE, "no configuration known yet", 0.5, 503)
    route = view.routes.find(host, target)
    if route is None:
        raise refuse(Reason.NO_ROUTE, "no route for host and path", 0.0)
    return route


def find_service(view: SystemView, service: str) -> ServicePolicy:
    """Return the settings of a service; raise `RefusedError` if it has none."""
    policy = view.find_policy(service)
    if policy is None:
        raise refuse(Reason.NO_ROUTE, "service not described yet", 0.5, 503)
    return policy


def choose_time_limit_s(metadata: RequestMetadata, route: Route) -> float:
    """Return the seconds within which a request must be answered."""
    remaining_s = metadata.remaining_s
    if remaining_s is None:
        remaining_s = DEFAULT_DEADLINE_S
    return min(remaining_s, route.timeout_s)
