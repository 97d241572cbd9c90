"""
Stand-in process for one or several upstreams.

Run ``python -m plantaincart_testing.upstream --help`` for its options.
"""

from asyncio import sleep
from os import _exit as exit_now
from pathlib import Path
from time import monotonic
from urllib.parse import urlsplit

from cyclopts import App
from plantaincart_router.http.message import HttpAnswer, HttpRequest
from plantaincart_schema.codec import decode_json
from plantaincart_schema.generated.upstream import GrantRequest
from uvloop import run

from plantaincart_testing.executor import LOAD_SAMPLE_INTERVAL_S, Executor
from plantaincart_testing.history import HistoryWriter
from plantaincart_testing.listener import (
    AnswerWithFault,
    Handler,
    Listener,
    WireFault,
    answer_json,
)
from plantaincart_testing.upstream_settings import (
    ColdTurn,
    UpstreamFaults,
    UpstreamProcessSettings,
    UpstreamReport,
    UpstreamSettings,
)

__all__ = ["CRASH_STATUS", "UpstreamHost", "main"]

GRANT_PATH = "/.well-known/plantaincart/grant"
LOAD_PATH = "/.well-known/plantaincart/load"
CRASH_STATUS = 70

app = App(help="Stand-in for upstreams that own keys exclusively.")


class UpstreamHost(Handler):
    """
    Runs one upstream: its listener and its successive incarnations.

    Parameters
    ----------
    settings : UpstreamSettings
        Settings of the upstream.
    history : HistoryWriter
        Writer for the events of the upstream.
    lookups_recorded : bool
        Whether executions of idempotent requests are recorded too.
    is_only_upstream : bool
        Whether it is the only upstream of the process, which a crash then ends.
    """

    def __init__(
        self,
        settings: UpstreamSettings,
        history: HistoryWriter,
        lookups_recorded: bool,
        is_only_upstream: bool,
    ) -> None:
        self.settings = settings
        self._history = history
        self._lookups_recorded = lookups_recorded
        self._is_only_upstream = is_only_upstream
        self._listener = Listener(
            self, settings.connections, cancels_on_disconnect=True
        )
        self.executor = self._make_executor()
        self._last_answer: HttpAnswer | None = None
        self.is_up = False
        self.port = settings.port

    async def start(self) -> None:
        """Start a new, cold incarnation and listen."""
        if self.is_up:
            return
        self.executor = self._make_executor()
        self.executor.record_start()
        self._listener = Listener(
            self, self.settings.connections, cancels_on_disconnect=True
        )
        settings = self.settings
        self.port = await self._listener.start(settings.host, settings.port)
        self.is_up = True

    def stop(self) -> None:
        """Cut all connections and stop listening, as if the process had ended."""
        self._listener.close()
        self.is_up = False

    def crash(self) -> None:
        """End the process, or stop only this upstream if there are others."""
        if self._is_only_upstream:
            exit_now(CRASH_STATUS)
        self.stop()

    def set_faults(self, faults: UpstreamFaults) -> None:
        """Replace the faults in force."""
        self.executor.set_faults(faults)
        self._listener.is_silent = faults.silent

    def silence_open(self) -> None:
        """Stop answering on the connections that are open now."""
        self._listener.silence_open()

    def describe(self) -> UpstreamReport:
        """Return the counts of the current incarnation."""
        executor = self.executor
        report = executor.report
        report.is_up = self.is_up
        report.connections = len(self._listener.connections)
        report.collapses = executor.warmth.collapses
        report.excess = executor.warmth.excess
        report.limit = executor.warmth.find_limit(monotonic())
        return report

    async def handle(self, request: HttpRequest) -> AnswerWithFault:
        """Answer a request from an instance."""
        path = urlsplit(request.target).path
        if path == GRANT_PATH:
            return self._handle_grant(request), WireFault.NONE
        if path == LOAD_PATH:
            return answer_json(200, self.executor.read_load()), WireFault.NONE
        answer = await self.executor.execute(request)
        return await self._apply_answer_fault(answer)

    def _make_executor(self) -> Executor:
        return Executor(
            self.settings, self._history, self._lookups_recorded, self.crash
        )

    def _handle_grant(self, request: HttpRequest) -> HttpAnswer:
        executor = self.executor
        clock_ms = executor.read_clock_ms()
        if request.method != "PUT":
            return answer_json(200, executor.grant_verifier.describe(clock_ms))
        grant = decode_json(request.body, GrantRequest)
        answer = executor.grant_verifier.offer(grant, clock_ms)
        if answer.accepted:
            executor.report.grants_accepted += 1
            return answer_json(200, answer)
        executor.report.grants_refused += 1
        return answer_json(409, answer)

    async def _apply_answer_fault(self, answer: HttpAnswer) -> AnswerWithFault:
        fault, delay_s = self.executor.draw_answer_fault()
        if delay_s > 0:
            await sleep(delay_s)
        previous_answer, self._last_answer = self._last_answer, answer
        if fault is WireFault.CROSS:
            return previous_answer or answer, WireFault.NONE
        return answer, fault


class UpstreamControlHandler(Handler):
    """
    Answers control calls to all upstreams of the process.

    Parameters
    ----------
    hosts : dict of str to UpstreamHost
        Hosts of the upstreams by name.
    """

    def __init__(self, hosts: dict[str, UpstreamHost]) -> None:
        self._hosts = hosts

    async def handle(self, request: HttpRequest) -> AnswerWithFault:
        """Answer a control call."""
        parts = urlsplit(request.target).path.strip("/").split("/")
        if request.method == "GET" and parts == ["upstreams"]:
            reports = [host.describe() for host in self._hosts.values()]
            return answer_json(200, reports), WireFault.NONE
        if len(parts) != 3 or parts[1] not in self._hosts:
            return answer_json(404, {"detail": request.target}), WireFault.NONE
        answer = await self._apply_action(self._hosts[parts[1]], parts[2], request.body)
        return answer, WireFault.NONE

    async def _apply_action(
        self, host: UpstreamHost, action: str, body: bytes
    ) -> HttpAnswer:
        match action:
            case "faults":
                host.set_faults(decode_json(body, UpstreamFaults))
            case "cold":
                cold_turn = decode_json(body, ColdTurn)
                now = monotonic()
                host.executor.warmth.turn_cold(now, cold_turn.lenient_s)
            case "silence-open":
                host.silence_open()
            case "crash":
                host.crash()
            case "stop":
                host.stop()
            case "start":
                await host.start()
            case _:
                return answer_json(404, {"detail": f"no action {action}"})
        return HttpAnswer(204)


async def serve(settings: UpstreamProcessSettings) -> None:
    """
    Run the stand-in until the process ends.

    Parameters
    ----------
    settings : UpstreamProcessSettings
        Upstreams to host.
    """
    history = HistoryWriter(Path(settings.history))
    is_only_upstream = len(settings.upstreams) == 1
    hosts = {
        upstream.name: UpstreamHost(
            upstream, history, settings.lookups_recorded, is_only_upstream
        )
        for upstream in settings.upstreams
    }
    for host in hosts.values():
        await host.start()
    control = Listener(UpstreamControlHandler(hosts))
    await control.start(settings.control_host, settings.control_port)
    while True:
        await sleep(LOAD_SAMPLE_INTERVAL_S)
        for host in hosts.values():
            host.executor.sample_load()


@app.default
def main(*, settings: Path) -> None:
    """
    Run the upstream stand-in.

    Parameters
    ----------
    settings : Path
        JSON file of `UpstreamProcessSettings`.
    """
    run(serve(decode_json(settings.read_bytes(), UpstreamProcessSettings)))


if __name__ == "__main__":
    app()
