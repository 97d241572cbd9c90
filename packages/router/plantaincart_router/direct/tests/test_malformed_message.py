"""
Messages of peers with any values that the schema allows, and any bytes.

A single odd message must not end the coordinator's term or a member, nor distort what
they compute from the messages of others.
"""

from asyncio import get_running_loop, run, sleep
from contextlib import nullcontext
from math import isfinite, nan
from typing import get_type_hints

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from plantaincart_router.direct.messagecheck import check_notice
from plantaincart_router.direct.tests.fakes import make_notice
from plantaincart_router.direct.tests.memorysystem import run_system
from plantaincart_schema.codec import encode_msgpack
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.direct import (
    CoordinatorNotice,
    KeyLoad,
    MapChange,
    MemberReport,
    RefusedKey,
    TableChange,
)
from pytest import mark, raises

INTEGERS = st.one_of(
    st.integers(-2, 70000), st.sampled_from([-(2**63), 2**63 - 1, 2**40])
)
NUMBERS = st.one_of(st.floats(), INTEGERS.map(float))
NAMES = st.sampled_from(["", "u0", "u1", "r1", "ledger", "é" * 200])
BINARY = st.binary(max_size=40)
TYPES = {int: INTEGERS, float: NUMBERS, str: NAMES, bytes: BINARY}
MESSAGES_PER_RUN = 80
# Longer than the interval of placements and two intervals of reports.
SETTLE_S = 0.4


def build(kind, **fields):
    strategies = {
        name: TYPES[field_type]
        for name, field_type in get_type_hints(kind).items()
        if field_type in TYPES
    }
    return st.builds(kind, **{**strategies, **fields})


KEY_LOADS = build(
    KeyLoad,
    keys=st.lists(INTEGERS, max_size=3),
    work_ms=st.lists(INTEGERS, max_size=3),
)
REPORTS = build(
    MemberReport,
    loads=st.lists(KEY_LOADS, max_size=2),
    in_flight=st.dictionaries(NAMES, INTEGERS, max_size=3),
    slowness=st.dictionaries(NAMES, NUMBERS, max_size=3),
    silences=st.dictionaries(NAMES, NUMBERS, max_size=3),
    refusing=st.lists(build(RefusedKey), max_size=2),
    tables=st.dictionaries(NAMES, INTEGERS, max_size=2),
    leaving_upstreams=st.dictionaries(NAMES, INTEGERS, max_size=2),
    backed_off=st.lists(NAMES, max_size=3),
    # A report of a later epoch ends the term, as it must.
    epoch=st.integers(-5, 1),
)
NOTICES = build(
    CoordinatorNotice,
    changes=st.lists(build(MapChange), max_size=2),
    packed_changes=st.one_of(st.none(), BINARY),
    loads=st.one_of(st.none(), BINARY),
    slowness=st.dictionaries(NAMES, NUMBERS, max_size=3),
    silent_services=st.lists(NAMES, max_size=3),
    tables=st.lists(build(TableChange, rows=st.just([])), max_size=1),
    resigned=st.just(False),
    epoch=st.integers(-5, 1),
)


def make_frames(messages):
    return st.lists(
        st.one_of(messages.map(encode_msgpack), st.binary(max_size=60)),
        min_size=MESSAGES_PER_RUN,
        max_size=MESSAGES_PER_RUN,
    )


async def check_reports(frames):
    async with run_system(get_running_loop()) as system:
        instance = system.find_coordinator()
        for frame in frames:
            instance.follower._report_socket._deliver([b"peer", frame])
        await sleep(SETTLE_S)
        assert system.find_coordinator() is instance
        assert system.all_keys_owned()
        for record in instance.view.directory:
            slowness = instance.view.loads.get(record.id).slowness
            assert isfinite(slowness)
            assert slowness >= 0.0


async def check_notices(frames):
    async with run_system(get_running_loop()) as system:
        instance = next(
            item for item in system.instances.values() if not item.is_coordinator
        )
        for frame in frames:
            instance.follower._notice_socket._deliver([frame])
        await sleep(SETTLE_S)
        assert not instance.follower._task.done()
        assert instance.view.members < 2**31
        for record in instance.view.directory:
            assert isfinite(instance.view.loads.get(record.id).slowness)


CHECK_SETTINGS = settings(
    max_examples=6,
    phases=(Phase.explicit, Phase.generate),
    deadline=None,
    suppress_health_check=[HealthCheck.large_base_example, HealthCheck.data_too_large],
)


@CHECK_SETTINGS
@given(make_frames(REPORTS))
def test_odd_reports_leave_the_coordinator_in_office(frames):
    run(check_reports(frames))


@CHECK_SETTINGS
@given(make_frames(NOTICES))
def test_odd_notices_leave_a_member_running(frames):
    run(check_notices(frames))


@mark.parametrize(("age_s", "is_valid"), [(0.2, True), (1e6, True), (nan, False)])
def test_old_answer_of_the_store_makes_no_notice_malformed(age_s, is_valid):
    """The map in the same notice must arrive, however old a table is."""
    change = TableChange(table="upstreams", after=1, version=1, age_s=age_s)
    with nullcontext() if is_valid else raises(MalformedMessageError):
        check_notice(make_notice(tables=[change]))
