from dataclasses import replace

import pytest
from plantaincart_core.configuration import EMPTY_CONFIGURATION
from plantaincart_core.route import RouteTable, extract_key
from plantaincart_schema.generated.configuration import KeyRule, KeySource, Service


def make_service(name: str, prefix: str, *hosts: str) -> Service:
    rule = KeyRule(source=KeySource.path_segment, segment=1)
    return Service(name=name, key=rule, path_prefix=prefix, hosts=list(hosts))


SERVICES = [
    make_service("all", "/"),
    make_service("returns", "/returns/"),
    make_service("late", "/returns/late"),
    make_service("yard", "/", "Yard.example"),
]


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("", "/", "all"),
        ("", "/returns", "returns"),
        ("", "/returns/7?x=/returns/late", "returns"),
        ("", "/returns/late/7", "late"),
        ("", "/returns/lately", "returns"),
        ("", "/returnsheet", "all"),
        ("yard.EXAMPLE:8080", "/returns/7", "yard"),
        ("[::1]:80", "/returns/7", "returns"),
        ("", "*", None),
    ],
)
def test_resolve(host: str, path: str, expected: str | None) -> None:
    table = RouteTable(replace(EMPTY_CONFIGURATION, services=SERVICES))
    service = table.resolve("GET", host, path)
    assert (service.name if service else None) == expected


@pytest.mark.parametrize(
    ("source", "target", "headers", "expected"),
    [
        ("none", "/desk", (), ""),
        ("header", "/desk", (("x-key", " k1 "),), "k1"),
        ("header", "/desk", (("x-key", "k1"), ("x-key", "k1")), "k1"),
        ("header", "/desk", (("x-key", "k1"), ("x-key", "k2")), None),
        ("header", "/desk", (("x-key", ""),), None),
        ("query", "/desk?X-Key=a%20b&y=1", (), "a b"),
        ("query", "/desk?X-Key=a&X-Key=b", (), None),
        ("query", "/desk?X-Key=%ff", (), None),
        ("query", "/desk", (), None),
        ("path_segment", "/desk/members/k%C3%A5", (), "kå"),
        ("path_segment", "/desk/members/a/b?c", (), "a"),
        ("path_segment", "/desk/members", (), None),
        ("path_segment", "/desk/members/", (), None),
        ("path_segment", "/desk/members/%0aX", (), None),
        ("path_segment", "/desk/members/%ff", (), None),
    ],
)
def test_extract_key(
    source: str,
    target: str,
    headers: tuple[tuple[str, str], ...],
    expected: str | None,
) -> None:
    rule = KeyRule(source=KeySource(source), name="X-Key", segment=1)
    service = Service(name="desk", key=rule, path_prefix="/desk")
    assert extract_key(service, target, headers) == expected
