"""Liveness, readiness, metrics and status of one instance over HTTP."""

from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qs

from plantaincart_core.verdict import Reason, RefusedError, refuse_not_run
from plantaincart_schema.codec import encode_json
from plantaincart_schema.generated.settings import AdminSettings, EntrySettings

from plantaincart_router.http.message import HttpAnswer, HttpRequest
from plantaincart_router.http.server import CallerConnection, HttpServer
from plantaincart_router.metrics import METRICS_CONTENT_TYPE

__all__ = ["AdminProviders", "AdminServer", "Readiness"]

MAX_CONNECTIONS = 64
_JSON = "application/json"
_TEXT = "text/plain; charset=utf-8"


@dataclass(frozen=True, kw_only=True)
class Readiness:
    """
    Whether the instance is ready for requests.

    Parameters
    ----------
    ready : bool
        Whether the load balancer should send requests here.
    detail : str
        Reason in plain text.
    """

    ready: bool
    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class AdminProviders:
    """
    Functions that provide the content of the admin server's answers.

    Parameters
    ----------
    check_readiness : callable
        Returns the present `Readiness`.
    render_metrics : callable
        Returns the metrics as text.
    describe_status : callable
        Returns the status as a data class or another value that JSON can encode.
    describe_key : callable
        Takes a service and a key; returns the key's leader and owner as a value that
        JSON can encode, or None for an unknown service.
    """

    check_readiness: Callable[[], Readiness]
    render_metrics: Callable[[], bytes]
    describe_status: Callable[[], object]
    describe_key: Callable[[str, str], object | None]


class AdminServer:
    """
    Serve /live, /ready, /metrics, /status and /key.

    Parameters
    ----------
    settings : AdminSettings
        Address to listen on.
    providers : AdminProviders
        Provide the content of the answers.

    Notes
    -----
    /live answers 200 as long as the event loop runs. /ready answers 200 or 503.
    /key takes the query parameters service and key.
    """

    def __init__(self, settings: AdminSettings, providers: AdminProviders) -> None:
        self._settings = settings
        self._providers = providers
        limits = EntrySettings(
            host=settings.host, port=settings.port, max_connections=MAX_CONNECTIONS
        )
        self._server = HttpServer(limits, self._handle)
        self._handlers: dict[str, Callable[[str], HttpAnswer]] = {
            "/live": self._answer_live,
            "/ready": self._answer_ready,
            "/metrics": self._answer_metrics,
            "/status": self._answer_status,
            "/key": self._answer_key,
        }

    async def start(self) -> int:
        """
        Listen on the address from the settings.

        Returns
        -------
        int
            Port that is bound.
        """
        return await self._server.start(self._settings.host, self._settings.port)

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()

    async def _handle(
        self, request: HttpRequest, caller: CallerConnection
    ) -> HttpAnswer:
        path, _, query = request.target.partition("?")
        handler = self._handlers.get(path)
        if handler is None:
            raise RefusedError(refuse_not_run(Reason.NO_ROUTE, f"no {path}"))
        if request.method not in ("GET", "HEAD"):
            refusal = refuse_not_run(
                Reason.BAD_REQUEST, f"{request.method} not allowed"
            )
            raise RefusedError(refusal)
        return handler(query)

    def _answer_live(self, query: str) -> HttpAnswer:
        return _make_answer(200, _TEXT, b"live\n")

    def _answer_ready(self, query: str) -> HttpAnswer:
        readiness = self._providers.check_readiness()
        status = 200 if readiness.ready else 503
        return _make_answer(status, _JSON, encode_json(readiness))

    def _answer_metrics(self, query: str) -> HttpAnswer:
        body = self._providers.render_metrics()
        return _make_answer(200, METRICS_CONTENT_TYPE, body)

    def _answer_status(self, query: str) -> HttpAnswer:
        status = self._providers.describe_status()
        return _make_answer(200, _JSON, encode_json(status))

    def _answer_key(self, query: str) -> HttpAnswer:
        values = parse_qs(query, keep_blank_values=True)
        service, key = (values.get(name, [""])[0] for name in ("service", "key"))
        if not service:
            refusal = refuse_not_run(Reason.BAD_REQUEST, "query needs service and key")
            raise RefusedError(refusal)
        described = self._providers.describe_key(service, key)
        if described is None:
            refusal = refuse_not_run(Reason.NO_ROUTE, f"no service {service}")
            raise RefusedError(refusal)
        return _make_answer(200, _JSON, encode_json(described))


def _make_answer(status: int, content_type: str, body: bytes) -> HttpAnswer:
    headers = (("content-type", content_type), ("cache-control", "no-store"))
    return HttpAnswer(status, headers, body)
