"""The versioned configuration: lookups in a version, and changes between versions."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import fields
from typing import TypeVar

from plantaincart_schema.generated.configuration import (
    Configuration,
    DataCentre,
    Service,
    Upstream,
    UpstreamState,
)

from plantaincart_core.declaration import merge_declarations
from plantaincart_core.declaration_check import check_declarations
from plantaincart_core.placement import assign_shards
from plantaincart_core.sheet_change import apply_sheet

__all__ = [
    "CONFIGURATION_ROW",
    "DECLARATIONS_ROW",
    "EMPTY_CONFIGURATION",
    "ConfigurationTracker",
    "apply_sheet",
    "assign_shards",
    "check_declarations",
    "describe_changes",
    "find_service",
    "list_data_centres_out_of_service",
    "list_upstreams",
    "merge_declarations",
    "name_history_row",
]

CONFIGURATION_ROW = "configuration/current"
DECLARATIONS_ROW = "configuration/declarations"

Named = TypeVar("Named", Service, DataCentre, Upstream)

EMPTY_CONFIGURATION = Configuration(
    version=0, write_id="", applied_by="", services=[], data_centres=[], upstreams=[]
)


class ConfigurationTracker:
    """
    The configuration in force on an instance: the highest version received.

    Examples
    --------
    >>> from dataclasses import replace
    >>> book = ConfigurationTracker()
    >>> book.adopt_if_newer(replace(EMPTY_CONFIGURATION, version=2))
    True
    >>> book.adopt_if_newer(replace(EMPTY_CONFIGURATION, version=1))
    False
    >>> book.current.version
    2
    """

    def __init__(self) -> None:
        self._current = EMPTY_CONFIGURATION

    @property
    def current(self) -> Configuration:
        """Configuration in force on this instance."""
        return self._current

    def adopt_if_newer(self, configuration: Configuration) -> bool:
        """
        Adopt a configuration if its version is higher than the current one.

        Parameters
        ----------
        configuration : Configuration
            Configuration read from the table or received from a peer.

        Returns
        -------
        bool
            Whether it was adopted.

        Notes
        -----
        Versions are written by compare-and-set on one row, so two configurations
        with the same version are equal, and a lower version is always older.
        """
        if configuration.version <= self._current.version:
            return False
        self._current = configuration
        return True


def name_history_row(version: int) -> str:
    """
    Build the key of the table row that stores a version.

    Parameters
    ----------
    version : int
        Version of the configuration.

    Returns
    -------
    str
        Row key; the keys of higher versions sort after those of lower ones.

    Examples
    --------
    >>> name_history_row(7)
    'configuration/history/00000007'
    """
    return f"configuration/history/{version:08d}"


def find_service(configuration: Configuration, name: str) -> Service | None:
    """
    Find a service by its name.

    Parameters
    ----------
    configuration : Configuration
        Configuration to search.
    name : str
        Name of the service.

    Returns
    -------
    Service or None
        None if the service isn't declared.
    """
    for service in configuration.services:
        if service.name == name:
            return service
    return None


def list_data_centres_out_of_service(configuration: Configuration) -> set[str]:
    """
    List the data centres that operators have taken out of service.

    Parameters
    ----------
    configuration : Configuration
        Configuration to search.

    Returns
    -------
    set of str
        Their names.
    """
    return {
        centre.name for centre in configuration.data_centres if not centre.in_service
    }


def list_upstreams(
    configuration: Configuration, service: str, shard: int, serving_only: bool = True
) -> list[Upstream]:
    """
    List the upstreams of a shard.

    Parameters
    ----------
    configuration : Configuration
        Configuration to search.
    service : str
        Name of the service.
    shard : int
        Number of the shard.
    serving_only : bool
        Whether to omit upstreams that are leaving or whose data centre is out of
        service.

    Returns
    -------
    list of Upstream
        The upstreams in the order of the configuration.
    """
    in_service = {
        data_centre.name
        for data_centre in configuration.data_centres
        if data_centre.in_service
    }
    return [
        upstream
        for upstream in configuration.upstreams
        if upstream.service == service
        and upstream.shard == shard
        and (not serving_only or _is_serving(upstream, in_service))
    ]


def describe_changes(old: Configuration, new: Configuration) -> list[str]:
    """
    Describe the differences between two configurations.

    Parameters
    ----------
    old, new : Configuration
        Configurations to compare; their versions and write ids are ignored.

    Returns
    -------
    list of str
        One line for each item added or removed and each value changed; empty
        if there are no differences.
    """
    return [
        *_compare("service", old.services, new.services),
        *_compare("data centre", old.data_centres, new.data_centres),
        *_compare("upstream", old.upstreams, new.upstreams),
    ]


def _is_serving(upstream: Upstream, in_service: set[str]) -> bool:
    joined = upstream.state is UpstreamState.joined
    return joined and upstream.data_centre in in_service


def _compare(kind: str, old: Sequence[Named], new: Sequence[Named]) -> Iterable[str]:
    before = _index_by_name(old)
    after = _index_by_name(new)
    for name, item in after.items():
        if name not in before:
            yield f"{kind} {name}: added"
        else:
            yield from _compare_fields(f"{kind} {name}", before[name], item)
    for name in before:
        if name not in after:
            yield f"{kind} {name}: removed"


def _compare_fields(label: str, old: Named, new: Named) -> Iterable[str]:
    for field in fields(old):
        before = getattr(old, field.name)
        after = getattr(new, field.name)
        if before != after:
            yield f"{label}: {field.name} {before} -> {after}"


def _index_by_name(items: Sequence[Named]) -> Mapping[str, Named]:
    return {item.name: item for item in items}
