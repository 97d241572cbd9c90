"""Rows of large services fit the store, and foreign bytes are refused."""

from random import Random

from hypothesis import given
from hypothesis.strategies import binary
from plantaincart_router.direct.ownershiprow import decode_ownership, encode_ownership
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.direct import OwnershipRange, OwnershipRow
from pytest import raises

# Bound of the users' platform.
ROW_BYTES = 65_536
OWNERS = 350
RANGES_PER_OWNER = 4


def make_row(owners=OWNERS, ranges=OWNERS * RANGES_PER_OWNER):
    random = Random(1)
    names = [f"i-{random.randrange(16**10):010x}" for _ in range(owners)]
    born = {name: 1_790_000_000_000 + random.randrange(10**8) for name in names}
    starts = sorted(random.sample(range(1, 65_536), ranges - 1))
    kept = []
    for first, after in zip([0, *starts], [*starts, 65_536], strict=True):
        owner, previous = random.sample(names, 2)
        kept.append(
            OwnershipRange(
                first=first,
                last=after - 1,
                owner=owner,
                born=born[owner],
                fence=(7 << 24) + random.randrange(10**5),
                previous=previous if random.random() < 0.05 else "",
                previous_born=born[previous],
            )
        )
    addresses = {name: f"10.2.{random.randrange(99)}.7:8504" for name in names}
    return OwnershipRow(
        service="ledger", epoch=7, sequence=10**5, ranges=kept, addresses=addresses
    )


def test_row_of_many_owners_fits_the_store():
    row = make_row()
    value = encode_ownership(row)
    assert len(value) <= ROW_BYTES
    assert decode_ownership(value) == row


@given(binary(max_size=64))
def test_foreign_bytes_are_refused(value):
    with raises(MalformedMessageError):
        decode_ownership(value)


def test_cut_row_is_refused():
    value = encode_ownership(make_row(owners=3, ranges=5))
    for end in range(len(value)):
        with raises(MalformedMessageError):
            decode_ownership(value[:end])
