"""Requests at an instance that is cut from all upstreams, on loopback."""

from asyncio import gather, sleep

import pytest
from plantaincart_router.direct.tests.cutsystem import run_cut_system

# Rule for operators: from this time after the begin of a cut, first attempts at the
# instances that are cut are served at least `MIN_SHARE` times as often as at others,
# unless no more than `FEW_FAILURES` and one in `FAILURES_ONE_IN` of them fail.
STABILITY_WINDOW_S = 3.0
MIN_SHARE = 2.0 / 3.0
FEW_FAILURES = 10
FAILURES_ONE_IN = 50
MEASURED_S = 2.0


def check_served(cut, whole):
    failures = cut.total - cut.count
    if failures <= FEW_FAILURES + cut.total / FAILURES_ONE_IN:
        return
    served_share = cut.count / cut.total
    assert served_share >= MIN_SHARE * whole.count / whole.total, cut.statuses


async def measure(system):
    """Return the outcomes of both instances from the end of the window."""
    system.introduce_relay()
    await gather(
        *(
            system.send_for(STABILITY_WINDOW_S, name, "early")
            for name in ("whole", "cut")
        )
    )
    return await gather(
        *(system.send_for(MEASURED_S, name, "late") for name in ("whole", "cut"))
    )


@pytest.mark.parametrize(
    ("connects", "connections", "keyed", "idempotent"),
    [
        ("hang", "hang", False, True),
        ("hang", "hang", True, False),
        ("refuse", "live", False, True),
        ("reset", "reset", True, True),
        ("hang", "reset", False, False),
    ],
)
async def test_cut_instance_serves_as_others_do(
    connects, connections, keyed, idempotent
):
    """Seven of eleven instances reached no upstream and served 2 % (issue 23)."""
    async with run_cut_system(keyed=keyed, idempotent=idempotent) as system:
        for name in ("whole", "cut"):
            await system.send_for(0.5, name, "before")
        await system.cut(connects, connections)
        whole, cut = await measure(system)
        check_served(cut, whole)
        if not idempotent:
            for prefix in ("early", "late"):
                for number in range(int(STABILITY_WINDOW_S * 25)):
                    assert system.count_runs(f"{prefix}-cut-{number}") <= 1
        for request_id, verdict in cut.verdicts.items():
            assert verdict != "not-run" or not system.count_runs(request_id)


async def test_requests_go_direct_again_after_the_cut():
    """A relay costs a second hop and a second instance's time."""
    async with run_cut_system() as system:
        await system.cut("hang", "hang")
        await measure(system)
        assert system.instances["cut"].view.reachability.is_cut_off
        await system.heal()
        await sleep(1.0)
        assert not system.instances["cut"].view.reachability.is_cut_off
        served = await system.send_for(1.0, "cut", "after")
        assert served.count == served.total
