"""Recognition of callers that come back, by the time that they have left."""

from random import Random

import pytest
from plantaincart_core.returning import ReturnDetector

DEADLINE_S = 3.0
# Callers of a route are patient to different degrees.
LEAST_PATIENCE = 0.85


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_callers_with_a_shorter_deadline_are_not_taken_to_return(seed):
    """Nobody is refused, and deadlines differ by 15 % (usual traffic)."""
    random, detector = Random(seed), ReturnDetector()
    left_s = [random.uniform(LEAST_PATIENCE, 1.0) * DEADLINE_S for _ in range(1000)]
    assert not any(detector.is_returning("lookup", each) for each in left_s)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_callers_that_waited_for_a_third_of_their_time_are(seed):
    """Callers honour the return that they were told (pattern burst)."""
    random, detector = Random(seed), ReturnDetector()
    found = 0
    for _ in range(1000):
        patience_s = random.uniform(LEAST_PATIENCE, 1.0) * DEADLINE_S
        detector.is_returning("lookup", patience_s)
        found += detector.is_returning("lookup", patience_s * 2.0 / 3.0)
    assert found >= 990


def test_routes_and_callers_without_a_deadline():
    detector = ReturnDetector()
    assert not detector.is_returning("lookup", 3.0)
    assert not detector.is_returning("filing", 1.0)
    assert not detector.is_returning("lookup", None)
    assert detector.is_returning("lookup", 1.0)
