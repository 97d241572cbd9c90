"""Choice of the instances that relay the requests of one that is cut off."""

from asyncio import get_running_loop
from time import monotonic

from plantaincart_router.direct.membership import MAX_RELAYS, Membership
from plantaincart_router.direct.tests.fakes import FAST
from plantaincart_router.direct.tests.memorysystem import run_system, wait_for
from plantaincart_schema.generated.direct import MemberReport


def make_members(**data_centres):
    """Return members in data centres, of which those named `cut...` are cut off."""
    members = Membership(FAST)
    for name, data_centre in data_centres.items():
        report = MemberReport(
            member=name,
            incarnation="1",
            address="",
            epoch=1,
            map_version=0,
            store_silent_s=-1.0,
            cut_off=name.startswith("cut"),
            relay_address=f"{name}:1",
            data_centre=data_centre,
        )
        members.record_report(report, monotonic())
    return members


async def test_coordinator_names_relays_to_an_instance_that_is_cut_off():
    """Guards against an instance that is cut off and knows no relay."""
    async with run_system(get_running_loop()) as system:
        for name, instance in system.instances.items():
            instance.view.relay_fact.address = f"127.0.0.1:{len(name)}"
        cut = next(
            instance
            for instance in system.instances.values()
            if not instance.is_coordinator
        )
        cut.view.reachability.is_cut_off = True
        await wait_for(lambda: cut.view.relays)


def test_relays_in_the_same_data_centre_are_preferred():
    members = make_members(cut1="a", r2="a", r3="b", r4="a", r5="b")
    assert members.choose_relays("cut1", monotonic()) == ["r2:1", "r4:1"]


def test_relays_elsewhere_are_named_if_there_are_few():
    members = make_members(cut1="a", cut2="a", r3="b", r4="a", r5="b")
    relays = members.choose_relays("cut1", monotonic())
    assert relays[0] == "r4:1"
    assert set(relays) == {"r3:1", "r4:1", "r5:1"}


def test_few_of_many_relays_are_named():
    members = make_members(cut1="a", **{f"r{number}": "a" for number in range(9)})
    assert len(members.choose_relays("cut1", monotonic())) == MAX_RELAYS


def test_no_instance_relays_that_has_not_reported_for_a_while():
    members = make_members(cut1="a", r2="a", r3="b")
    assert members.choose_relays("cut1", monotonic() + FAST.silent_s) == []
