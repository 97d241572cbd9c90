from dataclasses import replace

import pytest
from plantaincart_core.configuration import (
    apply_sheet,
    check_declarations,
    list_upstreams,
    merge_declarations,
)
from plantaincart_core.sheet import parse_sheet
from plantaincart_core.tests.sample import LEDGER, configure, declare
from plantaincart_schema.generated.configuration import (
    DataCentre,
    Declarations,
    KeyRule,
    KeySource,
    UpstreamState,
)

BASE = declare("north", "south")
FIRST = BASE.upstreams[0]
SHEET = """kind,name,action,service,data_centre,host,port,slots,requests_per_s
data_centre,north,out
upstream,south-9,join,ledger,south,10.0.0.9,9000
upstream,south-1,leave
upstream,south-2,limit,,,,,9
service,ledger,limit,,,,,,50
"""


def change_upstream(**values: object) -> Declarations:
    changed = replace(FIRST, **values)  # type: ignore[arg-type]
    return replace(BASE, upstreams=[changed, *BASE.upstreams[1:]])


@pytest.mark.parametrize(
    ("declarations", "place"),
    [
        (replace(BASE, services=[LEDGER, LEDGER]), "services.1.name"),
        (
            replace(BASE, services=[LEDGER, replace(LEDGER, name="b", shards=1)]),
            "services.1.path_prefix",
        ),
        (replace(BASE, services=[replace(LEDGER, slots=1)]), "services.0.shards"),
        (replace(BASE, services=[replace(LEDGER, shards=5)]), "services.0.shards"),
        (
            declare(
                "north", service=replace(LEDGER, key=KeyRule(source=KeySource.query))
            ),
            "services.0.key.name",
        ),
        (change_upstream(name="south-1"), "upstreams.2.name"),
        (change_upstream(service="desk"), "upstreams.0.service"),
        (change_upstream(data_centre="west"), "upstreams.0.data_centre"),
        (change_upstream(shard=2), "upstreams.0.shard"),
        (change_upstream(host="host.example"), "upstreams.0.host"),
        (change_upstream(port=8002), "upstreams.1.port"),
    ],
)
def test_invalid_declarations_are_reported(
    declarations: Declarations, place: str
) -> None:
    assert check_declarations(BASE, "d.toml") == []
    assert place in [error.place for error in check_declarations(declarations, "d")]


def test_each_shard_has_upstreams_of_all_data_centres() -> None:
    for shard in (0, 1):
        upstreams = list_upstreams(configure("north", "south"), "ledger", shard)
        assert {upstream.data_centre for upstream in upstreams} == {"north", "south"}


def test_values_set_by_a_sheet_are_kept() -> None:
    current = apply_sheet(
        configure("north", "south"), parse_sheet(SHEET, "s"), "w", "a"
    )
    declared = replace(BASE, services=[replace(LEDGER, queue_limit=7)])
    merged = merge_declarations(current, declared, "w2", "a", BASE)
    assert merged.services == [replace(LEDGER, queue_limit=7, requests_per_s=50)]
    assert merged.data_centres == current.data_centres
    assert merged.upstreams == current.upstreams


def test_changed_declarations_override_the_sheet() -> None:
    current = apply_sheet(
        configure("north", "south"), parse_sheet(SHEET, "s"), "w", "a"
    )
    declared = Declarations(
        services=[replace(LEDGER, requests_per_s=10)],
        data_centres=BASE.data_centres,
        upstreams=[*BASE.upstreams[:3], replace(BASE.upstreams[3], slots=3)],
    )
    merged = merge_declarations(current, declared, "w2", "a", BASE)
    assert merged.services[0].requests_per_s == 10
    assert merged.upstreams[3].slots == 3


def test_undeclared_upstream_leaves_before_removal() -> None:
    fewer = replace(BASE, upstreams=BASE.upstreams[1:])
    leaving = merge_declarations(configure("north", "south"), fewer, "w", "a", BASE)
    removed = merge_declarations(leaving, fewer, "w2", "a", fewer)
    states = {upstream.name: upstream.state for upstream in leaving.upstreams}
    assert states["north-1"] is UpstreamState.leaving
    assert [item.name for item in removed.upstreams] == [
        u.name for u in fewer.upstreams
    ]


@pytest.mark.parametrize(
    ("declarations", "place"),
    [
        (change_upstream(port=9), "upstreams.0.port"),
        (change_upstream(shard=1), "upstreams.1.shard"),
        (replace(BASE, services=[replace(LEDGER, slots=9)]), "services.0.slots"),
        (
            Declarations(
                services=[LEDGER],
                data_centres=[DataCentre(name="north")],
                upstreams=BASE.upstreams[:2],
            ),
            "upstream south-1",
        ),
    ],
)
def test_changes_of_fixed_values_are_rejected(
    declarations: Declarations, place: str
) -> None:
    with pytest.raises(ExceptionGroup) as caught:
        current = configure("north", "south")
        merge_declarations(current, declarations, "w", "a", BASE)
    assert place in [error.place for error in caught.value.exceptions]  # type: ignore[attr-defined]
