"""Reading and validation of TOML documents: settings and declarations."""

from collections.abc import Mapping
from functools import cache
from importlib.resources import files
from tomllib import TOMLDecodeError, loads
from typing import Any, TypeVar

from jsonschema import Draft202012Validator, ValidationError
from msgspec import convert
from yaml import safe_load

from plantaincart_schema.exception import InvalidValueError
from plantaincart_schema.generated.configuration import Declarations
from plantaincart_schema.generated.operator import OperatorSettings
from plantaincart_schema.generated.settings import Settings

__all__ = [
    "check_values",
    "read_declarations",
    "read_definition",
    "read_operator_settings",
    "read_settings",
]

T = TypeVar("T")


@cache
def read_definition(name: str) -> Mapping[str, Any]:
    """
    Read a schema definition shipped with the package.

    Parameters
    ----------
    name : str
        Name of the definition file without its suffix.

    Returns
    -------
    mapping
        The JSON Schema.
    """
    text = files("plantaincart_schema").joinpath(f"definitions/{name}.yaml").read_text()
    definition: Mapping[str, Any] = safe_load(text)
    return definition


def read_settings(text: str, source: str) -> Settings:
    """
    Read the settings of an instance.

    Parameters
    ----------
    text : str
        TOML text.
    source : str
        File name for error messages.

    Returns
    -------
    Settings
        Settings with defaults filled in.

    Raises
    ------
    ExceptionGroup
        With an `InvalidValueError` for each value that isn't allowed.
    """
    settings = _read(text, source, read_definition("settings"), Settings)
    errors = _find_setting_conflicts(settings, source)
    if errors:
        raise ExceptionGroup(f"{source} is not valid", errors)
    return settings


def read_declarations(text: str, source: str) -> Declarations:
    """
    Read the services, data centres and upstreams that operators declare.

    Parameters
    ----------
    text : str
        TOML text.
    source : str
        File name for error messages.

    Returns
    -------
    Declarations
        Declarations with defaults filled in.

    Raises
    ------
    ExceptionGroup
        With an `InvalidValueError` for each value that isn't allowed.
    """
    definition = read_definition("configuration")
    schema = {**definition["$defs"]["Declarations"], "$defs": definition["$defs"]}
    return _read(text, source, schema, Declarations)


def read_operator_settings(text: str, source: str) -> OperatorSettings:
    """
    Read the settings of the operator command.

    Parameters
    ----------
    text : str
        TOML text.
    source : str
        File name for error messages.

    Returns
    -------
    OperatorSettings
        Settings with defaults filled in.

    Raises
    ------
    ExceptionGroup
        With an `InvalidValueError` for each value that isn't allowed.
    """
    return _read(text, source, read_definition("operator"), OperatorSettings)


def check_values(
    values: object, schema: Mapping[str, Any], source: str
) -> list[InvalidValueError]:
    """
    Check parsed values against a schema and collect all errors.

    Parameters
    ----------
    values : object
        Value as parsed from TOML or JSON.
    schema : mapping
        JSON Schema.
    source : str
        File name for error messages.

    Returns
    -------
    list of InvalidValueError
        One for each error, sorted by the dotted key of the value; empty if there
        are none.
    """
    errors = Draft202012Validator(schema).iter_errors(values)
    invalid_values = [_describe_error(error, source) for error in errors]
    return sorted(invalid_values, key=lambda error: error.place)


def _read(text: str, source: str, schema: Mapping[str, Any], data_class: type[T]) -> T:
    try:
        values = loads(text)
    except TOMLDecodeError as error:
        invalid = InvalidValueError(source, "document", str(error), "must be TOML")
        raise ExceptionGroup(f"{source} is not valid", [invalid]) from None
    errors = check_values(values, schema, source)
    if errors:
        raise ExceptionGroup(f"{source} is not valid", errors)
    return convert(values, data_class)


def _describe_error(error: ValidationError, source: str) -> InvalidValueError:
    place = ".".join(str(part) for part in error.absolute_path) or "document"
    if error.validator in ("required", "additionalProperties"):
        return InvalidValueError(source, place, "a table", error.message)
    allowed = f"must satisfy {error.validator} {error.validator_value}"
    return InvalidValueError(source, place, repr(error.instance), allowed)


def _find_setting_conflicts(settings: Settings, source: str) -> list[InvalidValueError]:
    lease, grant, mesh = settings.lease, settings.grant, settings.mesh
    limits = [
        ("lease.renew_s", lease.renew_s, "lease.ttl_s / 2", lease.ttl_s / 2),
        ("lease.poll_s", lease.poll_s, "lease.ttl_s", lease.ttl_s),
        ("grant.renew_s", grant.renew_s, "grant.ttl_s / 2", grant.ttl_s / 2),
        ("grant.timeout_s", grant.timeout_s, "grant.ttl_s", grant.ttl_s),
        (
            "mesh.heartbeat_s",
            mesh.heartbeat_s,
            "mesh.silent_after_s",
            mesh.silent_after_s,
        ),
    ]
    return [
        InvalidValueError(
            source, key, str(value), f"must be below {limit_name} = {limit}"
        )
        for key, value, limit_name, limit in limits
        if value >= limit
    ]
