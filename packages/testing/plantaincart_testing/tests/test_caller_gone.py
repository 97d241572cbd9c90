"""A caller closes its connection while its request is executed."""

from pathlib import Path

from plantaincart_router.exception import AnswerTimeoutError
from plantaincart_router.http.client import HttpConnection
from plantaincart_router.http.message import HttpRequest
from plantaincart_testing.call import Call
from plantaincart_testing.checker import check_history
from plantaincart_testing.client import Caller
from plantaincart_testing.history import EventKind
from plantaincart_testing.launch import SystemOptions
from plantaincart_testing.scenario import wait_until_led
from plantaincart_testing.system import LocalSystem
from pytest import mark, raises

CLOSED_AFTER_S = 0.5
SERVICE_TIME_S = 1.5


@mark.parametrize(
    ("method", "is_cancelled"), [("GET", True), ("POST", False)], ids=["GET", "POST"]
)
async def test_request_is_cancelled_or_its_outcome_kept_for_resend(
    method: str, is_cancelled: bool, tmp_path: Path
) -> None:
    times = {
        "write_s": SERVICE_TIME_S,
        "lookup_s": SERVICE_TIME_S,
        "spread": 0.0,
        "warm_up_s": 0.0,
    }
    call = Call(
        service="returns-ledger",
        method=method,
        target="/returns-ledger/k1/filings",
        key="k1",
        idempotency_key="gone" if method == "POST" else "",
    )
    headers = (("host", "x"), ("request-timeout-ms", "5000"))
    if call.idempotency_key:
        headers = (*headers, ("idempotency-key", call.idempotency_key))
    async with LocalSystem(SystemOptions(folder=tmp_path, upstream=times)) as system:
        await wait_until_led(system)
        entry, *other_entries = system.entries
        connection = await HttpConnection.open(entry.host, entry.port, 1.0)
        with raises(AnswerTimeoutError):
            request = HttpRequest(method, call.target, headers)
            await connection.exchange(request, CLOSED_AFTER_S)
        caller = Caller(other_entries)
        result = await caller.send(call)
        events = system.read_history()
    kinds = [event.kind for event in events if event.key == "k1"]
    assert result.is_success
    assert check_history(events, caller.results) == []
    assert (EventKind.CANCELLED in kinds) is is_cancelled
    assert kinds.count(EventKind.BEGIN) == (2 if is_cancelled else 1)
