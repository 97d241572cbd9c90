"""
Generate docs/SETTINGS.md from the schema definitions and the settings classes.

Usage: ``python tools/settings_reference.py`` writes the page; with ``--check`` it
fails if the page is out of date.
"""

from collections.abc import Iterator, Mapping
from dataclasses import MISSING, Field, fields
from inspect import getdoc
from pathlib import Path
from re import match
from sys import argv
from sys import exit as exit_process
from typing import Any

from plantaincart_core.choice import ChoiceSettings
from plantaincart_core.keybalance import KeyBalanceSettings
from plantaincart_core.room import RoomSettings
from plantaincart_core.upstreamload import LoadSettings
from plantaincart_router.direct.settings import (
    AdmissionSettings,
    BoundSettings,
    CoordinationSettings,
    DirectSettings,
    FeedSettings,
    ResourceSettings,
    SendSettings,
)
from plantaincart_schema.document import read_definition

PAGE = Path(__file__).parent.parent / "docs" / "SETTINGS.md"
HEAD = """# Settings reference

Written by `tools/settings_reference.py` from the schema definitions and the settings
classes; don't edit.
"""
DIRECT_HEAD = """## On the users' platform

An instance reads a file that the platform generates from `platform/settings.toml.in`
at each start; see [PLATFORM.md](PLATFORM.md). It contains `bounds`, `resources` and
the fields of `DirectSettings`; the other settings have fixed values in the product.
"""
DIRECT_CLASSES = (
    DirectSettings,
    BoundSettings,
    ResourceSettings,
    FeedSettings,
    SendSettings,
    ChoiceSettings,
    AdmissionSettings,
    CoordinationSettings,
    LoadSettings,
    RoomSettings,
    KeyBalanceSettings,
)
DOCUMENTS = (
    ("settings", "Settings", "an instance, `plantaincartd --settings FILE`"),
    ("operator", "OperatorSettings", "the operator command, `--platform FILE`"),
    (
        "configuration",
        "Declarations",
        "services, data centres and upstreams, `plantaincart declarations`",
    ),
)
BOUND_SIGNS = {
    "minimum": "≥",
    "exclusiveMinimum": ">",
    "maximum": "≤",
    "pattern": "matches",
}


def describe_page() -> str:
    """Return the text of the page."""
    lines = [HEAD]
    for name, title, purpose in DOCUMENTS:
        definition = read_definition(name)
        root = (
            definition if definition["title"] == title else definition["$defs"][title]
        )
        lines += [f"## {title}", "", f"TOML document of {purpose}.", ""]
        lines += describe_table(root, definition, "")
    lines.append(DIRECT_HEAD)
    for settings_class in DIRECT_CLASSES:
        lines += describe_class(settings_class)
    return "\n".join(lines)


def describe_class(settings_class: type) -> Iterator[str]:
    """Yield the lines for a settings class, from its fields and docstring."""
    docstring = getdoc(settings_class) or ""
    meanings = read_parameters(docstring)
    yield f"### {settings_class.__name__}"
    yield ""
    yield docstring.partition("\n")[0]
    yield ""
    yield "| setting | default | meaning |"
    yield "|---|---|---|"
    for field in fields(settings_class):
        if field.name in meanings:
            default = describe_default(field)
            yield f"| `{field.name}` | {default} | {meanings[field.name]} |"
    yield ""


def describe_default(field: Field[Any]) -> str:
    """Return the text for the default value of a field."""
    return "required" if field.default is MISSING else f"`{field.default!r}`"


def read_parameters(docstring: str) -> dict[str, str]:
    """Return descriptions by name from the Parameters section of a docstring."""
    _, _, section = docstring.partition("Parameters\n----------\n")
    meanings: dict[str, str] = {}
    names: list[str] = []
    for line in section.splitlines():
        if heading := match(r"(\w+(?:, \w+)*) : ", line):
            names = heading[1].split(", ")
        elif not line.startswith(" "):
            break
        else:
            for name in names:
                meanings[name] = f"{meanings.get(name, '')} {line.strip()}".strip()
    return meanings


def describe_table(
    table: Mapping[str, Any], definition: Mapping[str, Any], prefix: str
) -> Iterator[str]:
    """Yield the lines for a TOML table and its subtables; prefix is its dotted path."""
    rows = []
    subtables = []
    for name, value in table["properties"].items():
        target = find_target(value, definition)
        if "properties" in target:
            is_array = "items" in value
            subtables.append((target, f"{prefix}{name}", is_array))
        else:
            required = name in table.get("required", ())
            rows.append(describe_key(name, value, target, required))
    if rows:
        yield "| key | type | default | allowed | meaning |"
        yield "|---|---|---|---|---|"
        yield from rows
        yield ""
    for target, path, is_array in subtables:
        yield f"### `[[{path}]]`" if is_array else f"### `[{path}]`"
        yield ""
        if "description" in target:
            yield target["description"] + "\n"
        yield from describe_table(target, definition, f"{path}.")


def describe_key(
    name: str, value: Mapping[str, Any], target: Mapping[str, Any], required: bool
) -> str:
    """Return the Markdown table row for a key."""
    if "enum" in target:
        value_type, allowed = (
            "string",
            ", ".join(f"`{choice}`" for choice in target["enum"]),
        )
    else:
        value_type = target["type"]
        allowed = ", ".join(
            f"{sign} `{target[bound]}`"
            for bound, sign in BOUND_SIGNS.items()
            if bound in target
        )
    default = "required" if required else f"`{value.get('default', '')!r}`"
    cells = (f"`{name}`", value_type, default, allowed, value.get("description", ""))
    return f"| {' | '.join(cells)} |"


def find_target(
    value: Mapping[str, Any], definition: Mapping[str, Any]
) -> Mapping[str, Any]:
    """Return the definition that a property refers to, or the property itself."""
    reference = value.get("$ref") or value.get("items", {}).get("$ref")
    if reference is None:
        return value
    target: Mapping[str, Any] = definition["$defs"][reference.rpartition("/")[2]]
    return target


if __name__ == "__main__":
    page = describe_page()
    if "--check" not in argv:
        PAGE.write_text(page)
    elif PAGE.read_text() != page:
        exit_process(f"{PAGE.name} is out of date: run tools/settings_reference.py")
