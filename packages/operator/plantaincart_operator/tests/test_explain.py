"""Explaining requests from log lines that were recorded in benchmark runs."""

import pytest
from plantaincart_operator.exception import UsageError
from plantaincart_operator.explain import explain_request, read_events


def format_log_line(clock, instance, event_and_fields):
    return (
        f"  26.2631 {instance} clock={clock} time=2026-01-26T22:50:11.400+00:00 "
        f"instance={instance} incarnation=19 {event_and_fields}"
    )


REFUSED = (
    "event=request_ended request=c4854c20a90493e9 route=r-5 service=huda14a key=8015 "
    'status=503 outcome=no-owner detail="no owner for key 8015" attempts=0 ms=810'
)
LOST = (
    "event=request_ended request=652a6e64bac1e7d0 route=r-5 service=huda14a "
    'status=502 outcome=upstream-lost detail="10.2.64.43:8649: connection ended" '
    "attempts=1 upstream=i-62a759a4c5 ms=86 plan=3"
)
FULL = (
    "event=request_ended request=855b4e8a2cd5777a route=r-7 service=huda14a "
    'status=503 outcome=queue-full detail="upstream i-14400ea924: expected wait '
    '0.39 s and work 0.20 s exceed 0.45 s (own 0, slowness 1.3)" attempts=0 ms=0'
)
ATTEMPT = (
    "event=attempt_not_run request=c4854c20a90493e9 upstream=i-963a38b983 "
    'detail="status 421" attempt=1'
)
RECORDED = "\n".join(
    (
        "built in 1.4 s; line of another program",
        format_log_line(
            115963842489200000, "a-1", "event=upstream_gone upstream=i-963a38b983"
        ),
        format_log_line(115963842489200001, "c-3", "event=term_started epoch=2"),
        format_log_line(115963842489286655, "a-1", ATTEMPT),
        format_log_line(115963842489286656, "a-1", REFUSED),
        format_log_line(115963842455207937, "a-5", LOST),
        format_log_line(115963842077786112, "a-3", FULL),
        "  26.2642 r1 clock=broken",
    )
)


@pytest.fixture
def events(tmp_path):
    log = tmp_path / "day.log"
    log.write_text(RECORDED)
    return list(read_events([tmp_path]))


def test_lines_of_other_programs_are_skipped(events):
    assert len(events) == 6


@pytest.mark.parametrize(
    ("request_id", "words"),
    [
        ("c4854c20a90493e9", ["the key had no owner", "hasn't run"]),
        ("652a6e64bac1e7d0", ["connection ended", "may have run"]),
        ("855b4e8a2cd5777a", ["too late", "expected wait 0.39 s"]),
    ],
)
def test_cause_of_outcome(events, request_id, words):
    cause = explain_request(request_id, events).describe_cause()
    assert all(word in cause for word in words)


def test_events_and_context_are_in_order(events):
    report = explain_request("c4854c20a90493e9", events)
    assert [event.event for event in report.events] == [
        "attempt_not_run",
        "request_ended",
    ]
    assert [event.event for event in report.context] == [
        "upstream_gone",
        "term_started",
    ]


def test_unknown_request(events):
    with pytest.raises(UsageError):
        explain_request("unknown", events)


def test_request_without_end(events):
    without_end = [event for event in events if event.event != "request_ended"]
    report = explain_request("c4854c20a90493e9", without_end)
    assert "isn't in these logs" in report.describe_cause()
