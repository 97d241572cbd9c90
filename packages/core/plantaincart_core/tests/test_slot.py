import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from plantaincart_core.slot import find_shard, find_slot, list_slots

deterministic = settings(derandomize=True, deadline=None)


@pytest.mark.parametrize(
    ("key", "slot"), [("", 180), ("member-1002", 957), ("depot/Ärla", 886)]
)
def test_slots_never_change(key: str, slot: int) -> None:
    assert find_slot(key, 1024) == slot


@deterministic
@given(st.text(), st.integers(1, 65536))
def test_slot_of_any_key_is_in_range(key: str, slots: int) -> None:
    assert 0 <= find_slot(key, slots) < slots


def test_keys_are_spread_evenly_over_slots() -> None:
    counts = [0] * 64
    for number in range(64_000):
        counts[find_slot(f"key-{number}", 64)] += 1
    assert 850 < min(counts) <= max(counts) < 1150


@deterministic
@given(st.integers(1, 300).flatmap(lambda n: st.tuples(st.just(n), st.integers(1, n))))
def test_each_slot_is_in_one_shard(sizes: tuple[int, int]) -> None:
    slots, shards = sizes
    shard_slots = [list_slots(shard, slots, shards) for shard in range(shards)]
    assert [slot for part in shard_slots for slot in part] == list(range(slots))
    assert all(shard_slots)
    for shard, part in enumerate(shard_slots):
        assert {find_shard(slot, slots, shards) for slot in part} == {shard}
