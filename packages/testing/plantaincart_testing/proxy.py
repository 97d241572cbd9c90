"""
Fault-injecting TCP proxy process with many routes.

Run ``python -m plantaincart_testing.proxy --help`` for its options.
"""

from asyncio import AbstractServer, Event, get_running_loop
from collections import Counter
from collections.abc import Mapping
from pathlib import Path
from urllib.parse import urlsplit

from cyclopts import App
from plantaincart_router.http.message import HttpAnswer, HttpRequest
from plantaincart_schema.codec import decode_json
from uvloop import run

from plantaincart_testing.listener import (
    AnswerWithFault,
    Handler,
    Listener,
    WireFault,
    answer_json,
)
from plantaincart_testing.pipe import Pipe, PipeEnd, PipeOwner
from plantaincart_testing.proxy_fault import (
    PassMode,
    ProxySettings,
    RouteFaults,
    RouteReport,
    RouteSettings,
    SourceList,
)
from plantaincart_testing.source import Connection, SourceFinder

__all__ = ["ProxyControlHandler", "Route", "main"]

BACKLOG = 512

app = App(help="Fault-injecting TCP proxy.")


class Route(PipeOwner):
    """
    Connections from one listening address to one target.

    Parameters
    ----------
    settings : RouteSettings
        Settings of the route.
    finder : SourceFinder
        Finds the process that opened a connection. It is used only for reports
        and while faults are set for single sources, since a search takes up to a
        millisecond.
    """

    def __init__(self, settings: RouteSettings, finder: SourceFinder) -> None:
        self.settings = settings
        self._finder = finder
        self._faults = RouteFaults()
        self._source_faults: dict[str, RouteFaults] = {}
        self._pipes: set[Pipe] = set()
        self._server: AbstractServer | None = None
        self._accepted = 0
        self._refused = 0
        self._bytes = Counter[bool]()

    async def start(self) -> int:
        """Listen and return the port bound."""
        loop = get_running_loop()
        host, port = self.settings.host, self.settings.port
        self._server = await loop.create_server(
            lambda: PipeEnd(self), host, port, backlog=BACKLOG
        )
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.cut_open()

    def set_faults(self, faults: RouteFaults, source: str = "") -> None:
        """Set the faults of all sources, or the faults of one source instead."""
        if source and faults == self._faults:
            # No search is needed any more for new connections.
            self._source_faults.pop(source, None)
        elif source:
            self._source_faults[source] = faults
            self.set_source_names(self._finder.find_names(self.list_unknown_sources()))
        else:
            self._faults = faults
            self._source_faults = {}
        for pipe in tuple(self._pipes):
            pipe.set_faults(self.find_faults(pipe.source))

    def silence_open(self) -> None:
        """Drop all further bytes of the connections that are open now."""
        for pipe in self._pipes:
            pipe.silence()

    def cut_open(self) -> None:
        """Reset the connections that are open now."""
        for pipe in tuple(self._pipes):
            pipe.abort()

    def describe(self) -> RouteReport:
        """Return the counts of the route."""
        return RouteReport(
            name=self.settings.name,
            connections=len(self._pipes),
            accepted=self._accepted,
            refused=self._refused,
            bytes_to_target=self._bytes[True],
            bytes_to_source=self._bytes[False],
            sources=Counter(pipe.source for pipe in self._pipes),
        )

    def find_faults(self, source: str) -> RouteFaults:
        """Return the faults in force for a source."""
        return self._source_faults.get(source, self._faults)

    def accept(self, end: PipeEnd) -> Pipe | None:
        """Accept a new connection, or return None to refuse it."""
        source = ""
        if self._source_faults:
            connection = end.read_connection()
            source = self._finder.find_names([connection]).get(connection, "")
        faults = self.find_faults(source)
        if faults.mode is PassMode.CUT:
            self._refused += 1
            return None
        self._accepted += 1
        pipe = Pipe(self, end, source, faults)
        self._pipes.add(pipe)
        return pipe

    def count_bytes(self, to_target: bool, size: int) -> None:
        """Count bytes that were forwarded."""
        self._bytes[to_target] += size

    def remove(self, pipe: Pipe) -> None:
        """Remove a connection that has ended."""
        self._pipes.discard(pipe)

    def list_unknown_sources(self) -> list[Connection]:
        """Return the addresses of connections whose source is unknown."""
        return [pipe.source_connection for pipe in self._pipes if not pipe.source]

    def set_source_names(self, names: Mapping[Connection, str]) -> None:
        """Set the sources of connections, given their names."""
        for pipe in self._pipes:
            pipe.source = pipe.source or names.get(pipe.source_connection, "")


class ProxyControlHandler(Handler):
    """
    Answers control calls.

    Parameters
    ----------
    routes : dict of str to Route
        Routes by name.
    finder : SourceFinder
        Gets the process ids of the sources.
    """

    def __init__(self, routes: dict[str, Route], finder: SourceFinder) -> None:
        self._routes = routes
        self._finder = finder

    async def handle(self, request: HttpRequest) -> AnswerWithFault:
        """Answer a control call."""
        return self._apply(request), WireFault.NONE

    def _apply(self, request: HttpRequest) -> HttpAnswer:
        match request.method, urlsplit(request.target).path.strip("/").split("/"):
            case "GET", ["routes"]:
                return answer_json(200, self._describe_all())
            case "PUT", ["sources"]:
                self._finder.set_pids(decode_json(request.body, SourceList).pids)
                return HttpAnswer(204)
            case "PUT" | "POST", ["routes", name, action, *source]:
                if name in self._routes:
                    route = self._routes[name]
                    return _apply_action(route, action, "".join(source), request.body)
        return answer_json(404, {"detail": f"no {request.method} {request.target}"})

    def _describe_all(self) -> list[RouteReport]:
        routes = self._routes.values()
        names = self._finder.find_names(
            [source for route in routes for source in route.list_unknown_sources()]
        )
        for route in routes:
            route.set_source_names(names)
        return [route.describe() for route in routes]


def _apply_action(route: Route, action: str, source: str, body: bytes) -> HttpAnswer:
    match action:
        case "faults":
            route.set_faults(decode_json(body, RouteFaults), source)
        case "silence-open":
            route.silence_open()
        case "cut-open":
            route.cut_open()
        case _:
            return answer_json(404, {"detail": f"no action {action}"})
    return HttpAnswer(204)


async def serve(settings: ProxySettings) -> None:
    """
    Run the proxy until the process ends.

    Parameters
    ----------
    settings : ProxySettings
        Routes to serve.
    """
    finder = SourceFinder()
    routes = {route.name: Route(route, finder) for route in settings.routes}
    for route in routes.values():
        await route.start()
    control = Listener(ProxyControlHandler(routes, finder))
    await control.start(settings.control_host, settings.control_port)
    await Event().wait()


@app.default
def main(*, settings: Path) -> None:
    """
    Run the proxy.

    Parameters
    ----------
    settings : Path
        JSON file of `ProxySettings`.
    """
    run(serve(decode_json(settings.read_bytes(), ProxySettings)))


if __name__ == "__main__":
    app()
