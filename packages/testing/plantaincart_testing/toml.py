"""Conversion of data classes to TOML."""

from collections.abc import Mapping
from dataclasses import asdict
from enum import Enum
from json import dumps
from typing import Any

__all__ = ["write_toml"]


def write_toml(document: Any) -> str:
    """
    Convert a data class to TOML.

    Parameters
    ----------
    document : dataclass instance
        Its fields must be scalars, lists, data classes, or lists of data classes.

    Returns
    -------
    str
        TOML text; nested data classes become tables.

    Examples
    --------
    >>> from plantaincart_schema.generated.settings import AdminSettings
    >>> print(write_toml(AdminSettings(host="127.0.0.1", port=1)), end="")
    host = "127.0.0.1"
    port = 1
    """
    return "".join(f"{line}\n" for line in _list_lines(asdict(document), ""))


def _list_lines(values: Mapping[str, Any], prefix: str) -> list[str]:
    lines = [
        f"{name} = {_write_value(value)}"
        for name, value in values.items()
        if not _is_table(value) and not _is_table_list(value)
    ]
    for name, value in values.items():
        path = f"{prefix}{name}"
        if _is_table(value):
            lines += ["", f"[{path}]", *_list_lines(value, f"{path}.")]
        elif _is_table_list(value):
            for element in value:
                lines += ["", f"[[{path}]]", *_list_lines(element, f"{path}.")]
    return lines


def _is_table(value: Any) -> bool:
    return isinstance(value, Mapping)


def _is_table_list(value: Any) -> bool:
    return isinstance(value, list) and bool(value) and _is_table(value[0])


def _write_value(value: Any) -> str:
    if isinstance(value, list):
        return f"[{', '.join(_write_value(element) for element in value)}]"
    return dumps(value.value if isinstance(value, Enum) else value)
