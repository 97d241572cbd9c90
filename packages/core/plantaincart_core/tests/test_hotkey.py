from collections import Counter
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from plantaincart_core.hotkey import HotKey, HotKeySketch


@given(st.lists(st.sampled_from("abcdefghij"), max_size=200), st.integers(1, 6))
@settings(derandomize=True, deadline=None, max_examples=200)
def test_counts_and_errors_bound_the_true_counts(
    keys: list[str], capacity: int
) -> None:
    sketch = HotKeySketch(capacity)
    for key in keys:
        sketch.count(key)
    counts = Counter(keys)
    listed = {hot.key: hot for hot in sketch.list_top(capacity)}
    assert len(sketch) == len(listed) <= capacity
    for key, count in counts.items():
        if count > len(keys) / capacity:
            assert key in listed
    for hot in listed.values():
        assert hot.count - hot.error <= counts[hot.key] <= hot.count


def test_hottest_keys_are_found_among_many() -> None:
    random = Random(1)
    sketch = HotKeySketch(capacity=100)
    for _ in range(20_000):
        hot = random.random() < 0.5
        sketch.count(f"hot{random.randrange(5)}" if hot else str(random.random()))
    assert {hot.key for hot in sketch.list_top(5)} == {f"hot{n}" for n in range(5)}


def test_decayed_keys_are_replaced() -> None:
    sketch = HotKeySketch(capacity=2)
    sketch.count("old", 100.0)
    sketch.count("other", 40.0)
    sketch.decay(0.01)
    sketch.count("new", 3.0)
    assert sketch.list_top(2) == [
        HotKey(key="new", count=3.4, error=0.4),
        HotKey(key="old", count=1.0, error=0.0),
    ]
