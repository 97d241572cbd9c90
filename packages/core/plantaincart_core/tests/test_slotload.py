from plantaincart_core.slotload import SlotLoads
from pytest import approx


def test_load_is_the_mean_number_in_flight() -> None:
    load = SlotLoads(half_life_s=5.0)
    for number in range(10_000):
        now = number * 0.01
        load.record(number % 2, 0.015 if number % 2 else 0.005, now)
    assert load.compute_loads(100.0) == {
        0: approx(0.25, rel=0.02),
        1: approx(0.75, rel=0.02),
    }


def test_load_halves_each_half_life() -> None:
    load = SlotLoads(half_life_s=2.0)
    assert load.compute_loads(3.0) == {}
    load.record(1, 4.0, 10.0)
    first = load.compute_loads(10.0)[1]
    assert load.compute_loads(12.0)[1] == approx(first / 2)
    load.record(2, 4.0, 16.0)
    assert load.compute_loads(16.0) == {1: approx(first / 8), 2: approx(first)}


def test_values_do_not_overflow_and_idle_slots_are_discarded() -> None:
    load = SlotLoads(half_life_s=0.001)
    for second in range(5):
        load.record(second, 0.5, float(second))
        load.record(second, 0.5, float(second))
    assert load.compute_loads(4.0) == {4: approx(load.compute_loads(4.0)[4])}
    assert load.compute_loads(1e6) == {4: 0.0}
