"""Decisions on silence; each test names the load or failure that it answers."""

from math import inf, log
from random import Random

from plantaincart_core.silence import ServiceSilence, SilenceSettings, Wait

EXPECTED_S = 0.1


def make_wait(elapsed_s, sent_at=0.0, process="u1", route="lookup"):
    return Wait(
        route=route,
        process=process,
        sent_at=sent_at,
        elapsed_s=elapsed_s,
        expected_s=EXPECTED_S,
    )


def record_ordinary(silence, count, random, sent_at=0.0, process="u2"):
    for _ in range(count):
        elapsed_s = EXPECTED_S * random.lognormvariate(-0.3, 0.8)
        silence.record_answer(make_wait(elapsed_s, sent_at, process))


def make_shown(share=0.1, count=400):
    """Return the silence of a service that doesn't answer a share of attempts."""
    silence, random = ServiceSilence(SilenceSettings()), Random(1)
    for at in range(count):
        sent_at = at * 0.02
        if random.random() < share:
            silence.record_unanswered(make_wait(1.2, sent_at))
        else:
            record_ordinary(silence, 1, random, sent_at)
            silence.record_answer(make_wait(EXPECTED_S, sent_at))
    return silence


def test_services_that_always_answer_are_never_judged():
    """Earlier deployments, whose upstreams reset or refuse when they are full."""
    silence = ServiceSilence(SilenceSettings())
    record_ordinary(silence, 500, Random(2))
    assert silence.choose_limit_s("lookup", EXPECTED_S, 1.0) == inf


def test_an_upstream_that_is_slow_shows_no_silence():
    """Pattern srv_slow: attempts time out, and later answers take as long."""
    silence = ServiceSilence(SilenceSettings())
    record_ordinary(silence, 50, Random(2))
    for second in range(5):
        silence.record_unanswered(make_wait(1.2, second))
        assert not silence.record_answer(make_wait(1.1, second + 0.1))
    assert silence.choose_limit_s("lookup", EXPECTED_S, 6.0) == inf


def test_an_upstream_that_is_gone_shows_no_silence():
    """Pattern srv_crash: nothing is answered by the process any more."""
    silence = ServiceSilence(SilenceSettings())
    for second in range(5):
        silence.record_unanswered(make_wait(1.2, second))
        record_ordinary(silence, 5, Random(second), second, process="u2")
    assert not silence.has_shown(5.0)


def test_an_upstream_that_recovers_shows_no_silence():
    """Pattern srv_slow that ends: the ordinary answer comes seconds later."""
    silence = ServiceSilence(SilenceSettings())
    for upstream in range(5):
        silence.record_unanswered(make_wait(1.2, 0.0, f"u{upstream}"))
    for upstream in range(5):
        assert not silence.record_answer(make_wait(EXPECTED_S, 5.0, f"u{upstream}"))
    assert not silence.has_shown(5.0)


def test_answers_during_an_attempt_show_silence():
    """Nobody sends to the upstream after the end, since it then counts as slow."""
    silence = ServiceSilence(SilenceSettings())
    record_ordinary(silence, 50, Random(2))
    for start in (0.0, 2.5):
        for at in (0.3, 1.1, 1.6):
            silence.record_answer(make_wait(EXPECTED_S, start + at))
        attempt = make_wait(2.0, start)
        silence.record_unanswered(attempt)
    assert silence.has_shown(4.5)


def test_an_upstream_that_stands_still_shows_no_silence():
    """It answered what was sent just after the attempt, and nothing since."""
    silence = ServiceSilence(SilenceSettings())
    record_ordinary(silence, 50, Random(2))
    for upstream in range(5):
        process = f"u{upstream}"
        silence.record_answer(make_wait(EXPECTED_S, 0.05, process))
        silence.record_unanswered(make_wait(2.0, 0.0, process))
    assert not silence.has_shown(2.0)


def test_an_upstream_that_recovers_during_attempts_shows_no_silence():
    """Pattern srv_slow that ends: what began before takes as long as it would have."""
    silence = ServiceSilence(SilenceSettings())
    record_ordinary(silence, 200, Random(2))
    for upstream in range(5):
        process = f"u{upstream}"
        for at in (0.1, 0.2):
            silence.record_answer(make_wait(1.1, at, process))
        for at in (1.3, 1.6):
            silence.record_answer(make_wait(EXPECTED_S, at, process))
        silence.record_unanswered(make_wait(2.0, 0.0, process))
    assert not silence.has_shown(2.0)


def test_slow_answers_during_an_attempt_leave_it_unproved():
    """Pattern srv_slow that ends, with more answers after it than before."""
    silence = ServiceSilence(SilenceSettings())
    record_ordinary(silence, 200, Random(2))
    for at in (0.1, 0.2):
        silence.record_answer(make_wait(1.1, at))
    for at in (1.3, 1.4, 1.6):
        silence.record_answer(make_wait(EXPECTED_S, at))
    silence.record_unanswered(make_wait(2.0, 0.0))
    assert silence.count_shown(2.0) == 0.0


def test_one_answer_shows_one_silence():
    """Two attempts at one process, and a single answer during both."""
    silence = ServiceSilence(SilenceSettings())
    record_ordinary(silence, 200, Random(2))
    silence.record_answer(make_wait(EXPECTED_S, 1.6))
    for start in (0.0, 0.1):
        silence.record_unanswered(make_wait(2.0, start))
    assert not silence.has_shown(2.1)


def test_most_repeats_are_needed():
    """Load 1.7 times the room: repeats must not add more runs than were lost."""
    for share in (0.03, 0.1, 0.25):
        silence, random = make_shown(share), Random(3)
        limit_s = silence.choose_limit_s("lookup", EXPECTED_S, 8.0)
        needless = sum(
            random.random() > share
            and EXPECTED_S * random.lognormvariate(-0.3, 0.8) > limit_s
            for _ in range(4000)
        )
        assert needless <= 1.5 * 4000 * share
        assert limit_s < 1.0


def test_a_repeat_comes_within_the_target_if_silence_is_frequent():
    """A lookup of 0.1 s with a target of five times as much is still in time."""
    silence = make_shown(0.2)
    assert silence.choose_limit_s("lookup", EXPECTED_S, 8.0) < 4 * EXPECTED_S


def test_the_limit_grows_with_the_known_wait():
    """A queue of eight is ahead: the attempt is slow and not silent."""
    silence = make_shown()
    short_s = silence.choose_limit_s("lookup", EXPECTED_S, 8.0)
    long_s = silence.choose_limit_s("lookup", 5 * EXPECTED_S, 8.0)
    assert abs(log(long_s / short_s) - log(5)) < 0.01


def test_silence_is_forgotten():
    """An operator has mended the service."""
    silence = make_shown()
    assert silence.has_shown(8.0)
    assert not silence.has_shown(8.0 + 10 * SilenceSettings().memory_s)
