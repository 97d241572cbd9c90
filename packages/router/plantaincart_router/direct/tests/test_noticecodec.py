"""Size of notices with whole maps, and rejection of malformed frames."""

from random import Random

from hypothesis import given
from hypothesis.strategies import binary
from plantaincart_router.direct.noticecodec import (
    COMPRESSION_MARK,
    pack_notice,
    unpack_notice,
)
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.direct import CoordinatorNotice, MapChange
from pytest import raises

INSTANCES, RANGES, OWNERS = 77, 500, 114
# Bytes that a link of 50 Mbit/s, the slowest preferred for a coordinator, transfers in
# a quarter second.
MAX_BYTES = 50e6 / 8 / 4


def make_notice(ranges=RANGES):
    random = Random(1)
    owners = [f"i-{random.randrange(16**10):010x}" for _ in range(OWNERS)]
    changes = [
        MapChange(
            service="ledger",
            first=at * 131,
            last=at * 131 + 130,
            owner=random.choice(owners),
            born=1_790_000_000_000 + random.randrange(10**6),
            fence=(7 << 24) + at,
        )
        for at in range(ranges)
    ]
    return CoordinatorNotice(
        coordinator="router-1",
        epoch=7,
        members=INSTANCES,
        map_version=1,
        complete=True,
        changes=changes,
    )


def test_whole_map_is_sent_to_all_instances_in_a_quarter_second():
    notice = make_notice()
    frames = pack_notice(notice)
    assert INSTANCES * sum(map(len, frames)) <= MAX_BYTES
    assert unpack_notice(frames) == notice


def test_short_notice_is_one_frame():
    notice = make_notice(1)
    (frame,) = pack_notice(notice)
    assert unpack_notice([frame]) == notice


@given(binary(max_size=40))
def test_malformed_frames_are_refused(data):
    for frames in ([data], [COMPRESSION_MARK, data]):
        with raises(MalformedMessageError):
            unpack_notice(frames)
