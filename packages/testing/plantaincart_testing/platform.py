"""
Stand-in process for the platform: table, object store and list of instances.

Run ``python -m plantaincart_testing.platform --help`` for its options.
"""

from asyncio import Event, sleep
from collections.abc import Sequence
from pathlib import Path
from time import monotonic
from typing import TypeVar
from urllib.parse import parse_qs, unquote, urlsplit

from cyclopts import App
from plantaincart_router.http.message import HttpAnswer, HttpRequest, find_header
from plantaincart_router.platform.client import INSTANCE_HEADER
from plantaincart_schema.codec import decode_json
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.platform import (
    InstanceEntry,
    InstanceList,
    ReadAnswer,
    Row,
    Transaction,
)
from uvloop import run

from plantaincart_testing.fault import DownMode, FaultPlan, PlatformFaults
from plantaincart_testing.listener import (
    AnswerWithFault,
    Handler,
    Listener,
    WireFault,
    answer_json,
)
from plantaincart_testing.store import InstanceListHistory, NamedObjects, RowStore
from plantaincart_testing.usage import ClientUsage, UsageTracker

__all__ = ["PlatformControlHandler", "PlatformHandler", "PlatformState", "main"]

T = TypeVar("T")

app = App(help="Stand-in for the platform's table, object store and instance list.")


class PlatformState:
    """
    State of the stand-in: rows, objects, instance list, use and faults.

    Parameters
    ----------
    entries : sequence of InstanceEntry
        Instances in the initial instance list.
    """

    def __init__(self, entries: Sequence[InstanceEntry] = ()) -> None:
        now = monotonic()
        self.rows = RowStore()
        self.objects = NamedObjects()
        self.instances = InstanceListHistory(entries)
        self.usage = UsageTracker(now)
        self.fault_plan = FaultPlan(PlatformFaults(), now)


class PlatformHandler(Handler):
    """
    Answers the calls of the platform's clients, under the faults in force.

    Parameters
    ----------
    state : PlatformState
        State shared with the control handler.
    """

    def __init__(self, state: PlatformState) -> None:
        self._state = state

    async def handle(self, request: HttpRequest) -> AnswerWithFault:
        """Answer a call, or fail it as the faults in force require."""
        state = self._state
        client = find_header(request.headers, INSTANCE_HEADER) or ""
        usage = state.usage.find(client)
        usage.bytes_in += len(request.body)
        path = urlsplit(request.target).path
        is_commit = path == "/table/commit"
        path_segment = path.strip("/").split("/")[0]
        decision = state.fault_plan.decide(client, path_segment, is_commit, monotonic())
        if decision.down is not None:
            usage.failed += 1
            return _make_failure(decision.down)
        if decision.delay_s > 0:
            await sleep(decision.delay_s)
        answer = self._apply(request, path, usage)
        usage.bytes_out += len(answer.body)
        return answer, WireFault.LOSE if decision.answer_lost else WireFault.NONE

    def _apply(self, request: HttpRequest, path: str, usage: ClientUsage) -> HttpAnswer:
        match request.method, path.strip("/").split("/", 1):
            case "POST", ["table", operation]:
                return self._call_table(operation, request.body, usage)
            case "GET", ["objects"]:
                query = parse_qs(urlsplit(request.target).query)
                prefix = query.get("prefix", [""])[0]
                return answer_json(200, self._state.objects.list(prefix))
            case "PUT" | "GET" as method, ["objects", name]:
                return self._call_object_store(
                    method, unquote(name), request.body, usage
                )
            case "GET", ["instances"]:
                usage.instance_lists += 1
                listed_at = self._state.fault_plan.find_instance_list_time(monotonic())
                entries = self._state.instances.list_at(listed_at)
                return answer_json(200, InstanceList(instances=entries))
        return answer_json(404, {"detail": f"no {request.method} {path}"})

    def _call_table(
        self, operation: str, body: bytes, usage: ClientUsage
    ) -> HttpAnswer:
        rows = self._state.rows
        match operation:
            case "read":
                usage.reads += 1
                return _answer_rows(rows.read(_read_field(body, "keys", list)), usage)
            case "scan":
                usage.scans += 1
                return _answer_rows(rows.scan(_read_field(body, "prefix", str)), usage)
            case "commit":
                transaction = decode_json(body, Transaction)
                answer = rows.commit(transaction)
                usage.commits += 1
                usage.conflicts += not answer.committed
                usage.rows_written += len(transaction.writes) * answer.committed
                return answer_json(200, answer)
        return answer_json(404, {"detail": f"no operation {operation}"})

    def _call_object_store(
        self, method: str, name: str, body: bytes, usage: ClientUsage
    ) -> HttpAnswer:
        if method == "PUT":
            usage.object_puts += 1
            self._state.objects.put(name, body)
            return HttpAnswer(204)
        usage.object_gets += 1
        data = self._state.objects.get(name)
        if data is None:
            return answer_json(404, {"detail": f"no object {name}"})
        return HttpAnswer(200, (("content-type", "application/octet-stream"),), data)


class PlatformControlHandler(Handler):
    """
    Answers control calls, which faults never affect.

    Parameters
    ----------
    state : PlatformState
        State shared with the platform handler.
    """

    def __init__(self, state: PlatformState) -> None:
        self._state = state

    async def handle(self, request: HttpRequest) -> AnswerWithFault:
        """Answer a control call."""
        return self._apply(request), WireFault.NONE

    def _apply(self, request: HttpRequest) -> HttpAnswer:
        state = self._state
        now = monotonic()
        url = urlsplit(request.target)
        match request.method, url.path.strip("/").split("/", 1):
            case "GET", ["faults"]:
                return answer_json(200, state.fault_plan.faults)
            case "PUT", ["faults"]:
                state.fault_plan = FaultPlan(
                    decode_json(request.body, PlatformFaults), now
                )
                return answer_json(200, state.fault_plan.faults)
            case "GET", ["writes"]:
                rows = len(state.rows.scan(""))
                return answer_json(200, state.usage.report(now, rows))
            case "DELETE", ["writes"]:
                state.usage.reset(now)
                return HttpAnswer(204)
            case "GET", ["table"]:
                prefix = parse_qs(url.query).get("prefix", [""])[0]
                return answer_json(200, ReadAnswer(rows=state.rows.scan(prefix)))
            case "GET", ["instances"]:
                entries = state.instances.list_at(now)
                return answer_json(200, InstanceList(instances=entries))
            case "PUT", ["instances", _]:
                state.instances.put(decode_json(request.body, InstanceEntry), now)
                return HttpAnswer(204)
            case "DELETE", ["instances", name]:
                state.instances.remove(name, now)
                return HttpAnswer(204)
        return answer_json(404, {"detail": f"no {request.method} {url.path}"})


def _make_failure(mode: DownMode) -> AnswerWithFault:
    match mode:
        case DownMode.ERROR:
            return answer_json(503, {"detail": "unavailable"}), WireFault.NONE
        case DownMode.SILENT:
            return HttpAnswer(503), WireFault.SILENCE
    return HttpAnswer(503), WireFault.LOSE


def _answer_rows(rows: list[Row], usage: ClientUsage) -> HttpAnswer:
    usage.rows_read += len(rows)
    return answer_json(200, ReadAnswer(rows=rows))


def _read_field(body: bytes, name: str, kind: type[T]) -> T:
    value = decode_json(body, dict).get(name)
    if not isinstance(value, kind):
        raise MalformedMessageError(f"{name}: must be a {kind.__name__}")
    return value


async def serve(
    host: str, port: int, control_port: int, entries: Sequence[InstanceEntry]
) -> None:
    """
    Run the stand-in until the process ends.

    Parameters
    ----------
    host : str
        IP address of both listeners.
    port : int
        TCP port of the platform.
    control_port : int
        TCP port of the control address.
    entries : sequence of InstanceEntry
        Instances in the initial instance list.
    """
    state = PlatformState(entries)
    await Listener(PlatformHandler(state)).start(host, port)
    await Listener(PlatformControlHandler(state)).start(host, control_port)
    await Event().wait()


@app.default
def main(
    *,
    port: int,
    control_port: int,
    host: str = "127.0.0.1",
    instances_file: Path | None = None,
    instances: str = "",
) -> None:
    """
    Run the platform stand-in.

    Parameters
    ----------
    port : int
        TCP port of the platform.
    control_port : int
        TCP port of the control address.
    host : str
        IP address of both listeners.
    instances_file : Path, optional
        JSON file with an instance list.
    instances : str
        JSON text of an instance list; ignored if there is a file.
    """
    text = instances.encode() or b'{"instances":[]}'
    if instances_file is not None:
        text = instances_file.read_bytes()
    entries = decode_json(text, InstanceList).instances
    run(serve(host, port, control_port, entries))


if __name__ == "__main__":
    app()
