from plantaincart_core.rate import TokenBucket
from plantaincart_core.retry import RetryBudget
from pytest import approx, mark


@mark.parametrize(("rate", "burst"), [(10.0, 1.0), (100.0, 20.0), (0.5, 2.0)])
def test_admits_the_rate_after_the_burst(rate: float, burst: float) -> None:
    bucket = TokenBucket(rate, burst)
    times = [number * 0.001 for number in range(20_001)]
    admitted = sum(bucket.take(now) == 0.0 for now in times)
    assert admitted == approx(burst + rate * 20.0, abs=1.0)


def test_returned_wait_is_exact_and_tokens_are_limited_to_the_burst() -> None:
    bucket = TokenBucket(rate=4.0, burst=2.0)
    assert [bucket.take(100.0) for _ in range(3)] == [0.0, 0.0, 0.25]
    assert bucket.take(100.25) == 0.0
    assert [bucket.take(900.0) for _ in range(3)] == [0.0, 0.0, 0.25]


def test_set_rate_applies_from_now_on() -> None:
    bucket = TokenBucket(rate=1.0, burst=4.0)
    assert bucket.take(0.0) == 0.0
    bucket.set_rate(rate=10.0, burst=1.0, now=0.5)
    assert [bucket.take(0.5), bucket.take(0.5)] == [0.0, approx(0.1)]
    bucket.set_rate(rate=0.0, burst=1.0, now=0.5)
    assert bucket.take(9.0) == float("inf")


@mark.parametrize(
    ("ratio", "burst", "requests", "retries"),
    [(0.1, 10.0, 1000, 110), (0.0, 3.0, 1000, 3), (1.0, 1.0, 50, 51), (0.5, 0.0, 9, 0)],
)
def test_retries_are_limited_in_proportion_to_requests(
    ratio: float, burst: float, requests: int, retries: int
) -> None:
    budget = RetryBudget(ratio, burst)
    spent = sum(budget.spend() for _ in range(int(burst) + 1))
    for _ in range(requests):
        budget.record_request()
        spent += budget.spend()
    assert spent == approx(retries, abs=1)
