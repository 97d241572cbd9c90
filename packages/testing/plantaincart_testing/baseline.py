"""
Baseline router: each process dispatches on its own, without ownership or records.

Run ``python -m plantaincart_testing.baseline --help`` for its options.

Notes
-----
Benchmarks compare the router with this baseline. The baseline has the same HTTP
stack, one hop less, and neither a table nor peers.
"""

from asyncio import Event, get_running_loop
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from random import Random
from signal import SIGTERM

from cyclopts import App
from plantaincart_router.exception import ExchangeError
from plantaincart_router.http.caller import CallerConnection
from plantaincart_router.http.message import HttpAnswer, HttpRequest, find_header
from plantaincart_router.http.server import HttpServer
from plantaincart_router.upstream import UpstreamClient
from plantaincart_schema.codec import decode_json
from plantaincart_schema.generated.configuration import Upstream
from plantaincart_schema.generated.settings import DispatchSettings, EntrySettings
from uvloop import run

from plantaincart_testing.upstream_message import IDEMPOTENT_METHODS

__all__ = ["BaselineSettings", "BaselineRouter", "UpstreamSelection", "main"]

MAX_ATTEMPTS = 3
DEFAULT_DEADLINE_S = 5.0
DRAIN_TIMEOUT_S = 5.0
_MS_PER_S = 1000
_MIN_SERVER_ERROR_STATUS = 500
_FORWARDED_HEADERS = frozenset({"idempotency-key", "content-type"})

app = App(help="Baseline router that dispatches without ownership.")


class UpstreamSelection(StrEnum):
    """How an upstream is selected."""

    RANDOM = "random"
    TWO_RANDOM = "two-random"


@dataclass(frozen=True, kw_only=True)
class BaselineSettings:
    """
    Settings of one baseline process.

    Parameters
    ----------
    host : str
        IP address to bind.
    port, admin_port : int
        TCP ports for callers and for the readiness check.
    choice : UpstreamSelection
        How an upstream is selected.
    upstreams : sequence of Upstream
        Upstreams of all services.
    seed : int
        Seed of the random selection.
    """

    host: str
    port: int
    admin_port: int
    choice: UpstreamSelection
    upstreams: Sequence[Upstream]
    seed: int


class BaselineRouter:
    """
    Dispatches each request to a randomly selected upstream.

    Parameters
    ----------
    settings : BaselineSettings
        Settings of the process.

    Notes
    -----
    ``two-random`` draws two upstreams and selects the one with fewer outstanding
    requests of this process. If an exchange fails or an upstream answers with a
    server error, an idempotent request is retried at a newly drawn upstream.
    """

    def __init__(self, settings: BaselineSettings) -> None:
        self._settings = settings
        self._random = Random(f"{settings.seed}/{settings.port}")
        self._outstanding: dict[str, int] = defaultdict(int)
        self._groups: dict[str, list[Upstream]] = defaultdict(list)
        for upstream in settings.upstreams:
            self._groups[upstream.service].append(upstream)
        limits = DispatchSettings()
        self._clients = {
            upstream.name: UpstreamClient(upstream, limits)
            for upstream in settings.upstreams
        }
        self._request_number = 0

    async def handle(
        self, request: HttpRequest, connection: CallerConnection
    ) -> HttpAnswer:
        """
        Forward a request to an upstream of its service.

        Parameters
        ----------
        request : HttpRequest
            Request of a caller; the first path segment is the service.
        connection : CallerConnection
            Connection on which the request was received.

        Returns
        -------
        HttpAnswer
            Answer of the upstream; status 404 for an unknown service, and 502 if
            no attempt got an answer.
        """
        path, _, _ = request.target.partition("?")
        service, _, rest = path.lstrip("/").partition("/")
        candidates = self._groups.get(service)
        if not candidates:
            return HttpAnswer(404)
        key, _, action = rest.partition("/")
        timeout_ms = find_header(request.headers, "request-timeout-ms")
        remaining_s = (
            float(timeout_ms) / _MS_PER_S if timeout_ms else DEFAULT_DEADLINE_S
        )
        deadline = get_running_loop().time() + remaining_s
        upstream_request = self._make_upstream_request(
            request, service, key if action else ""
        )
        return await self._send_with_retries(upstream_request, candidates, deadline)

    def close(self) -> None:
        """Close all connections to upstreams."""
        for client in self._clients.values():
            client.close()

    def _make_upstream_request(
        self, request: HttpRequest, service: str, key: str
    ) -> HttpRequest:
        self._request_number += 1
        forwarded = [
            header for header in request.headers if header[0] in _FORWARDED_HEADERS
        ]
        added = [
            ("plantaincart-service", service),
            ("plantaincart-key", key),
            ("plantaincart-request", f"{self._settings.port}-{self._request_number}"),
        ]
        headers = (*forwarded, *added)
        return HttpRequest(request.method, request.target, headers, request.body)

    async def _send_with_retries(
        self,
        upstream_request: HttpRequest,
        candidates: Sequence[Upstream],
        deadline: float,
    ) -> HttpAnswer:
        idempotent = upstream_request.method in IDEMPOTENT_METHODS
        answer = HttpAnswer(502)
        for _ in range(MAX_ATTEMPTS):
            remaining_s = deadline - get_running_loop().time()
            if remaining_s <= 0:
                return answer
            try:
                answer = await self._dispatch(
                    self._select(candidates), upstream_request, remaining_s
                )
            except ExchangeError as error:
                if not idempotent and error.may_have_started:
                    return answer
                continue
            if not idempotent or answer.status < _MIN_SERVER_ERROR_STATUS:
                return answer
        return answer

    async def _dispatch(
        self, name: str, upstream_request: HttpRequest, timeout_s: float
    ) -> HttpAnswer:
        idempotent = upstream_request.method in IDEMPOTENT_METHODS
        self._outstanding[name] += 1
        try:
            return await self._clients[name].dispatch(
                upstream_request, idempotent=idempotent, timeout_s=timeout_s
            )
        finally:
            self._outstanding[name] -= 1

    def _select(self, candidates: Sequence[Upstream]) -> str:
        if self._settings.choice is UpstreamSelection.RANDOM or len(candidates) == 1:
            return self._random.choice(candidates).name
        pair = [upstream.name for upstream in self._random.sample(candidates, 2)]
        return min(pair, key=lambda name: self._outstanding[name])


async def _answer_ready(
    request: HttpRequest, connection: CallerConnection
) -> HttpAnswer:
    return HttpAnswer(200)


async def _serve(settings: BaselineSettings) -> None:
    stop_requested = Event()
    get_running_loop().add_signal_handler(SIGTERM, stop_requested.set)
    router = BaselineRouter(settings)
    host = settings.host
    server = HttpServer(EntrySettings(host=host, port=0), router.handle)
    admin = HttpServer(EntrySettings(host=host, port=0), _answer_ready)
    await server.start(host, settings.port)
    await admin.start(host, settings.admin_port)
    await stop_requested.wait()
    await server.drain(DRAIN_TIMEOUT_S)
    admin.close()
    router.close()


@app.default
def main(*, settings: Path) -> None:
    """
    Run a baseline process until SIGTERM.

    Parameters
    ----------
    settings : Path
        JSON file of `BaselineSettings`.
    """
    run(_serve(decode_json(settings.read_bytes(), BaselineSettings)))


if __name__ == "__main__":
    app()
