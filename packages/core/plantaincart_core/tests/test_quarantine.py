from plantaincart_core import quarantine
from plantaincart_core.quarantine import Quarantine
from plantaincart_schema.generated.mesh import QuarantineNotice
from plantaincart_schema.generated.settings import DispatchSettings
from pytest import MonkeyPatch, mark

SETTINGS = DispatchSettings(quarantine_s=10.0)


def make_notice(*upstreams: str) -> QuarantineNotice:
    return QuarantineNotice(service="s", fingerprint="f", upstreams=list(upstreams))


@mark.parametrize(
    ("limit", "crashes", "quarantine_begins"),
    [
        (2, ["a", "b"], [False, True]),
        (2, ["a", "a", "a"], [False, False, False]),
        (2, ["a", "b", "c"], [False, True, False]),
        (1, ["a", "b"], [True, False]),
    ],
)
def test_quarantine_begins_at_the_limit_of_crashed_incarnations(
    limit: int, crashes: list[str], quarantine_begins: list[bool]
) -> None:
    settings = DispatchSettings(quarantine_strikes=limit)
    suspects = Quarantine(settings)
    assert [
        suspects.record_crash("s", "f", name, 1.0) for name in crashes
    ] == quarantine_begins
    assert suspects.count_strikes("s", "f", 1.0) == len(set(crashes))
    assert not suspects.is_quarantined("s", "other", 1.0)
    assert not suspects.is_quarantined("other", "f", 1.0)


def test_quarantine_ends_and_the_next_crash_begins_another() -> None:
    suspects = Quarantine(SETTINGS)
    suspects.record_crash("s", "f", "a", 0.0)
    suspects.record_crash("s", "f", "b", 5.0)
    assert suspects.remaining_s("s", "f", 6.0) == 9.0
    assert not suspects.is_quarantined("s", "f", 15.0)
    assert suspects.record_crash("s", "f", "c", 16.0)
    suspects.expire(36.0)
    assert len(suspects) == 0


def test_answer_clears_the_strikes() -> None:
    suspects = Quarantine(SETTINGS)
    suspects.record_crash("s", "f", "a", 0.0)
    suspects.record_answer("s", "f")
    assert suspects.count_strikes("s", "f", 0.0) == 0
    assert suspects.list_notices(0.0) == []
    assert not suspects.merge(make_notice("a"), 1.0)
    assert not suspects.record_crash("s", "f", "b", 1.0)


def test_notices_spread_crashes_without_extending_quarantine() -> None:
    first, second = Quarantine(SETTINGS), Quarantine(SETTINGS)
    first.record_crash("s", "f", "a", 0.0)
    assert second.merge(make_notice("a"), 1.0)
    assert second.record_crash("s", "f", "b", 2.0)
    (notice,) = second.list_notices(2.0)
    assert notice == make_notice("a", "b")
    assert first.merge(notice, 2.5)
    assert first.is_quarantined("s", "f", 2.5)
    assert not second.merge(first.list_notices(2.5)[0], 3.0)
    assert not second.is_quarantined("s", "f", 12.0)
    assert not second.merge(first.list_notices(12.4)[0], 12.4)
    assert not second.is_quarantined("s", "f", 12.4)
    assert first.list_notices(12.5) == []


def test_memory_is_bounded_and_quarantined_requests_stay(
    monkeypatch: MonkeyPatch,
) -> None:
    monkeypatch.setattr(quarantine, "MAX_FINGERPRINTS", 3)
    suspects = Quarantine(SETTINGS)
    suspects.record_crash("s", "f", "a", 0.0)
    suspects.record_crash("s", "f", "b", 0.0)
    for number in range(10):
        suspects.record_crash("s", f"g{number}", "a", 1.0)
    for number in range(100):
        suspects.merge(make_notice(f"x{number}"), 2.0)
    assert len(suspects) == 3
    assert suspects.is_quarantined("s", "f", 3.0)
    assert suspects.count_strikes("s", "g9", 3.0) == 1
    assert suspects.count_strikes("s", "f", 3.0) == quarantine.MAX_INCARNATIONS
