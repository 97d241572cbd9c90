"""Size of rows of large services, and rejection of malformed rows."""

from random import Random
from zlib import compress

from hypothesis import given
from hypothesis.strategies import binary, booleans, integers, lists, tuples
from plantaincart_router.direct.ownershiprow import decode_ownership, encode_ownership
from plantaincart_schema.codec import encode_json
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.direct import (
    OwnershipRange,
    OwnershipRow,
    OwnershipTable,
)
from pytest import mark, raises

# Maximum size of a row on the users' platform.
MAX_ROW_BYTES = 65_536
OWNERS = 350
RANGES_PER_OWNER = 4


def make_row(owners=OWNERS, ranges=OWNERS * RANGES_PER_OWNER):
    random = Random(1)
    names = [f"i-{random.randrange(16**10):010x}" for _ in range(owners)]
    born = {name: 1_790_000_000_000 + random.randrange(10**8) for name in names}
    starts = sorted(random.sample(range(1, 65_536), ranges - 1))
    stored = []
    for first, next_first in zip([0, *starts], [*starts, 65_536], strict=True):
        owner, previous = random.sample(names, 2)
        moving = random.random() < 0.05
        stored.append(
            OwnershipRange(
                first=first,
                last=next_first - 1,
                owner=owner,
                born=born[owner],
                fence=(7 << 24) + random.randrange(10**5),
                previous=previous if moving else "",
                previous_born=born[previous] if moving else 0,
            )
        )
    addresses = {name: f"10.2.{random.randrange(99)}.7:8504" for name in names}
    return OwnershipRow(
        service="ledger", epoch=7, sequence=10**5, ranges=stored, addresses=addresses
    )


@mark.parametrize(
    ("owners", "ranges"), [(OWNERS, OWNERS * RANGES_PER_OWNER), (2400, 2400)]
)
def test_row_of_many_owners_fits_the_store(owners, ranges):
    """The second case is the largest service of the sweep at its first assignment."""
    row = make_row(owners, ranges)
    value = encode_ownership(row)
    assert len(value) <= MAX_ROW_BYTES
    assert decode_ownership(value) == row


@given(lists(tuples(integers(0, 9), integers(0, 9), booleans()), min_size=1))
def test_encoded_row_is_decoded_unchanged(drawn_ranges):
    ranges = []
    for at, (owner, previous, is_owned) in enumerate(drawn_ranges):
        ranges.append(
            OwnershipRange(
                first=at * 3,
                last=at * 3 + 2,
                owner=f"u{owner}" if is_owned else "",
                born=previous if is_owned else 0,
                fence=at,
                previous=f"u{previous}" if previous > 5 else "",
                previous_born=owner if previous > 5 else 0,
            )
        )
    addresses = {"u1": "10.0.0.1:1", "u77": "10.0.0.2:1"}
    row = OwnershipRow(
        service="desk", epoch=2, sequence=9, ranges=ranges, addresses=addresses
    )
    assert decode_ownership(encode_ownership(row)) == row


@mark.parametrize(
    "column",
    [{"owners": [5]}, {"owners": [-2]}, {"lasts": [-1]}, {"fences": []}, {"born": []}],
    ids=["unknown", "negative", "empty-range", "short", "unborn"],
)
def test_inconsistent_columns_are_refused(column):
    columns = {
        "names": ["u1"],
        "born": [1],
        "addresses": [""],
        "lasts": [9],
        "owners": [0],
        "fences": [3],
        "previous": [-1],
    }
    table = OwnershipTable(service="s", epoch=1, sequence=1, **{**columns, **column})
    with raises(MalformedMessageError):
        decode_ownership(compress(encode_json(table)))


@given(binary(max_size=64))
def test_malformed_bytes_are_refused(value):
    with raises(MalformedMessageError):
        decode_ownership(value)


def test_truncated_row_is_refused():
    value = encode_ownership(make_row(owners=3, ranges=5))
    for end in range(len(value)):
        with raises(MalformedMessageError):
            decode_ownership(value[:end])
