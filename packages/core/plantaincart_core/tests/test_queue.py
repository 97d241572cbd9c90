from collections.abc import Hashable

from hypothesis import given, settings
from hypothesis import strategies as st
from plantaincart_core import queue
from plantaincart_core.exception import QueueFullError
from plantaincart_core.queue import DeadlineQueue
from pytest import mark, raises

STEPS = st.lists(
    st.tuples(st.sampled_from(["push", "pop", "remove", "expire"]), st.integers(0, 9)),
    max_size=60,
)


@given(STEPS, st.integers(1, 6))
@settings(derandomize=True, deadline=None, max_examples=300)
def test_each_item_leaves_once_in_order_of_arrival(
    steps: list[tuple[str, int]], limit: int
) -> None:
    items = DeadlineQueue[int](limit)
    waiting: dict[int, float] = {}
    for now, (step, number) in enumerate(steps):
        live = [item for item in waiting if waiting[item] > now]
        if step == "push" and len(items) >= limit:
            with raises(QueueFullError):
                items.push(now, now + number, now)
        elif step == "push":
            items.push(now, now + number, now)
            waiting[now] = now + number
        elif step == "pop":
            assert items.pop(now) == (live[0] if live else None)
            waiting.pop(live[0] if live else -1, None)
        elif step == "remove":
            assert items.remove(number) or number not in live
            waiting.pop(number, None)
        else:
            expired = items.expire(now)
            newly_expired = set(expired) & set(waiting)
            assert newly_expired == set(waiting) - set(live)
            waiting = {item: waiting[item] for item in live}
        assert len(items) <= limit


def test_popping_leaves_expired_items_to_expire() -> None:
    items = DeadlineQueue[str](3)
    for name, deadline in (("a", 1.0), ("b", 9.0), ("c", 2.0)):
        items.push(name, deadline, now=0.0)
    assert items.pop(now=2.0) == "b"
    assert (len(items), items.expire(now=2.0), items.expire(now=2.0)) == (
        0,
        ["a", "c"],
        [],
    )


def test_an_item_may_wait_again_but_not_twice() -> None:
    items = DeadlineQueue[str](3)
    items.push("a", 1.0, now=0.0)
    with raises(ValueError, match="already"):
        items.push("a", 2.0, now=0.0)
    assert items.remove("a")
    assert not items.remove("a")
    items.push("a", 5.0, now=0.0)
    assert items.expire(now=2.0) == []
    assert items.pop(now=2.0) == "a"


def test_memory_is_bounded_when_items_leave_early() -> None:
    items = DeadlineQueue[Hashable](10)
    for number in range(10_000):
        items.push(number, 1e9, now=0.0)
        if number % 2:
            items.pop(now=0.0)
            items.pop(now=0.0)
    assert len(items._deadlines) <= 2 * queue.MAX_STALE_DEADLINES


@mark.parametrize(
    ("waiting", "slots", "expected"),
    [(0, 2, 0.05), (3, 2, 0.2), (3, 4, 0.1), (0, 0, float("inf"))],
)
def test_wait_grows_with_the_queue(waiting: int, slots: int, expected: float) -> None:
    items = DeadlineQueue[int](10)
    for number in range(waiting):
        items.push(number, 9.0, now=0.0)
    assert items.estimate_wait(slots, mean_service_s=0.1) == expected
