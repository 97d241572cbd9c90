from collections.abc import Iterator
from os import O_NONBLOCK, O_RDONLY, mkfifo, read
from os import open as open_file
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from plantaincart_core.clock import HybridClock
from plantaincart_router.log import (
    LogEvent,
    format_line,
    parse_line,
    start_log,
    stop_log,
    write_event,
    write_request_event,
)
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.mesh import Verdict
from plantaincart_schema.generated.settings import LogSettings, RequestEvents

FIELD_NAMES = st.from_regex(r"[a-z][a-z0-9_]{0,8}x", fullmatch=True)
TEXTS = st.text(max_size=40)


@pytest.fixture(autouse=True)
def stop_log_after_test() -> Iterator[None]:
    yield
    stop_log()


def start(path: Path, events: RequestEvents = RequestEvents.writes) -> None:
    settings = LogSettings(path=str(path), request_events=events)
    start_log(settings, "router-1", "abc", HybridClock(lambda: 5.0))


@settings(derandomize=True, deadline=None)
@given(st.integers(0), TEXTS, TEXTS, st.dictionaries(FIELD_NAMES, TEXTS))
def test_parsing_a_formatted_event_returns_the_event(
    clock: int, instance: str, kind: str, fields: dict[str, str]
) -> None:
    event = LogEvent(
        clock=clock,
        time="2030-01-01T00:00:00.000+00:00",
        instance=instance,
        incarnation="abc",
        event=kind,
        fields=fields,
    )
    line = format_line(event)
    assert len(line.splitlines()) == 1
    assert parse_line(line + "\n") == event


@pytest.mark.parametrize(
    "line",
    [
        "",
        "event=started",
        "clock=x time=t instance=i incarnation=j event=e",
        "clock=1 time=t instance=i incarnation=j event=e stray",
        'clock=1 time=t instance=i incarnation=j event="e',
        'clock=1 time=t instance=i incarnation=j event="\\q"',
    ],
)
def test_invalid_lines_are_malformed(line: str) -> None:
    with pytest.raises(MalformedMessageError):
        parse_line(line)


def test_events_are_appended_in_order(tmp_path: Path) -> None:
    write_event("before_start")
    path = tmp_path / "router.log"
    path.write_text("earlier\n")
    start(path)
    write_event("lease_taken", shard="yard/1", epoch=3, held=True, wait_s=0.25)
    write_event("shape", slots=[1, 2], verdict=Verdict.not_run, peer=None, time="x")
    first, second = [parse_line(line) for line in path.read_text().splitlines()[1:]]
    assert (first.instance, first.event, first.clock >> 16) == (
        "router-1",
        "lease_taken",
        5000,
    )
    assert first.fields == {
        "shard": "yard/1",
        "epoch": "3",
        "held": "true",
        "wait_s": "0.25",
    }
    assert second.clock > first.clock
    assert second.fields == {"slots": "1,2", "verdict": "not-run", "time_": "x"}


@pytest.mark.parametrize(
    ("events", "kinds"),
    [
        (RequestEvents.none, []),
        (RequestEvents.writes, ["write"]),
        (RequestEvents.all, ["lookup", "write"]),
    ],
)
def test_settings_select_request_events(
    tmp_path: Path, events: RequestEvents, kinds: list[str]
) -> None:
    path = tmp_path / "router.log"
    start(path, events)
    write_request_event("lookup", idempotent=True)
    write_request_event("write", idempotent=False)
    assert [parse_line(line).event for line in path.read_text().splitlines()] == kinds


def test_full_pipe_drops_lines_and_logs_their_number(tmp_path: Path) -> None:
    path = tmp_path / "pipe"
    mkfifo(path)
    reader = open_file(path, O_RDONLY | O_NONBLOCK)
    start(path)
    for _ in range(2000):
        write_event("filler", text="x" * 100)
    received = b""
    while len(received) < 32768:
        received += read(reader, 4096)
    write_event("after")
    lines = (received + read(reader, 1 << 20)).decode().splitlines()
    events = [parse_line(line) for line in lines]
    kinds = [event.event for event in events]
    assert kinds[-2:] == ["log_lines_dropped", "after"]
    assert int(events[-2].fields["count"]) + kinds.count("filler") == 2000
