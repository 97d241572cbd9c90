"""Short coding of loads: whatever is told comes out again."""

from hypothesis import assume, given
from hypothesis.strategies import dictionaries, integers, text
from plantaincart_core.loadsheet import pack_loads, unpack_loads

# Upstreams of a fleet of 300 instances, and what their loads may take at each notice.
FLEET_UPSTREAMS = 450
NOTICE_BYTES = 2000


@given(dictionaries(text(max_size=20), integers(0, 255), max_size=50))
def test_counts_come_out_again(counts):
    # Two names with the same checksum would share a count.
    assume(len({pack_loads({name: 0}) for name in counts}) == len(counts))
    assert unpack_loads(pack_loads(counts), counts) == counts


def test_cut_off_bytes_name_nobody_wrongly():
    data = pack_loads({"u1": 5, "u2": 6})
    assert unpack_loads(data[:-1], ["u1", "u2"]) == {"u1": 5, "u2": 0}


def test_loads_of_a_large_fleet_fit_into_each_notice():
    """Pattern of large fleets: loads went with every third notice and were old."""
    counts = {f"i-{number:010x}": 2 for number in range(FLEET_UPSTREAMS)}
    data = pack_loads(counts)
    assert len(data) <= NOTICE_BYTES
    assert unpack_loads(data, counts) == counts
