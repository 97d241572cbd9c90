"""Round trips and size of the compact load encoding."""

from hypothesis import assume, given
from hypothesis.strategies import dictionaries, integers, text
from plantaincart_core.loadcodec import pack_loads, unpack_loads

# Upstreams of a fleet of 300 instances, and bytes for their loads in each notice.
FLEET_UPSTREAMS = 450
MAX_NOTICE_BYTES = 2000


@given(dictionaries(text(max_size=20), integers(0, 255), max_size=50))
def test_round_trip(counts):
    # Two names with the same checksum would get the same count.
    assume(len({pack_loads({name: 0}) for name in counts}) == len(counts))
    assert unpack_loads(pack_loads(counts), counts) == counts


def test_incomplete_entry_is_ignored():
    data = pack_loads({"u1": 5, "u2": 6})
    assert unpack_loads(data[:-1], ["u1", "u2"]) == {"u1": 5, "u2": 0}


def test_loads_of_a_large_fleet_fit_into_each_notice():
    """Loads of large fleets were once sent with every third notice only, and stale."""
    counts = {f"i-{number:010x}": 2 for number in range(FLEET_UPSTREAMS)}
    data = pack_loads(counts)
    assert len(data) <= MAX_NOTICE_BYTES
    assert unpack_loads(data, counts) == counts
