"""Explaining requests from log lines that were recorded in benchmark runs."""

from io import StringIO

import pytest
from plantaincart_operator.exception import UsageError
from plantaincart_operator.explain import explain_request, read_events
from plantaincart_operator.timeline import EventFilter, build_timeline
from rich.console import Console


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


RESTORED = "\n".join(
    (
        format_log_line(10, "a-1", "event=store_era_risen previous=0 era=1"),
        format_log_line(11, "a-1", "event=store_restored previous=0 era=1"),
        format_log_line(
            12,
            "a-1",
            "event=table_restored table=servers previous=0 era=1 read=3 kept=i-7,i-9",
        ),
        format_log_line(
            13,
            "c-3",
            "event=term_reclaimed previous_epoch=2 epoch=65537 previous_era=0 era=1",
        ),
        format_log_line(14, "c-4", "event=unknown_grants_awaited era=1 wait_s=5.8"),
        format_log_line(
            15, "b-2", 'event=table_restored table=op previous=0 era=1 read=1 kept=""'
        ),
        format_log_line(16, "a-1", REFUSED),
    )
)


def test_restoration_is_explained(tmp_path):
    (tmp_path / "day.log").write_text(RESTORED)
    events = list(read_events([tmp_path]))
    report = explain_request("c4854c20a90493e9", events)
    # A table that another instance read anew doesn't concern the request.
    assert [event.event for event in report.context] == [
        "store_era_risen",
        "store_restored",
        "table_restored",
        "term_reclaimed",
        "unknown_grants_awaited",
    ]
    assert report.describe_restoration() == (
        "the store was restored from a copy, era 1 after 0; "
        "a-1 read 3 rows of servers anew and kept i-7,i-9; "
        "c-3 went on as the coordinator, epoch 65537 after 2; "
        "c-4 granted no keys for 5.8 s, until all earlier grants had ended"
    )


def test_restoration_is_in_the_timeline(tmp_path):
    lines = [line[line.index("clock=") :] for line in RESTORED.split("\n")]
    (tmp_path / "day.log").write_text("\n".join(lines))
    report = build_timeline([tmp_path / "day.log"], EventFilter())
    assert report.malformed == ()
    assert [(event.event, event.fields.get("era")) for event in report.events] == [
        ("store_era_risen", "1"),
        ("store_restored", "1"),
        ("table_restored", "1"),
        ("term_reclaimed", "1"),
        ("unknown_grants_awaited", "1"),
        ("table_restored", "1"),
        ("request_ended", None),
    ]
    console = Console(record=True, file=StringIO())
    report.render(console)
    assert "previous=0 era=1 read=3 kept=i-7,i-9" in console.export_text()


def test_no_restoration_is_explained_without_one(events):
    assert explain_request("c4854c20a90493e9", events).describe_restoration() == ""


OVER_QUOTA = (
    "event=request_ended request=9a1b route=r-7 service=desk account=jebo540 "
    'status=429 outcome=rate-limited detail="quota of the account, own share" '
    "attempts=0 ms=0"
)
UNKNOWN_ACCOUNT = (
    "event=request_ended request=9a1c status=401 outcome=account-unknown "
    'detail="no account holds the key"'
)


def test_cause_of_a_refused_account_is_explained(tmp_path):
    used_up = "event=quota_used_up account=jebo540 count=3 told_s=1.2 alone=true"
    lines = [
        format_log_line(115963842489200000, "a-1", "event=term_ended epoch=1"),
        format_log_line(115963842489200001, "a-1", used_up),
        format_log_line(115963842489200002, "a-1", OVER_QUOTA),
        format_log_line(115963842489200003, "a-1", UNKNOWN_ACCOUNT),
    ]
    (tmp_path / "day.log").write_text("\n".join(lines))
    events = list(read_events([tmp_path]))
    report = explain_request("9a1b", events)
    cause = report.describe_cause()
    assert "quota of the caller's account" in cause and "own share" in cause
    names = [event.event for event in report.context]
    assert names == ["term_ended", "quota_used_up"]
    assert "no account" in explain_request("9a1c", events).describe_cause()
