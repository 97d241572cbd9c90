"""Reports on documents and versions of the configuration."""

from dataclasses import dataclass

from plantaincart_schema.generated.configuration import Configuration, UpstreamState
from rich.console import Console

from plantaincart_operator.output import Report

__all__ = ["CheckReport", "HistoryEntry", "HistoryReport", "ShowReport"]


@dataclass(frozen=True, kw_only=True)
class CheckReport(Report):
    """
    Result of a successful check.

    Parameters
    ----------
    source : str
        Checked file or files.
    version : int or None
        Version of the configuration that the file was checked against, if any.
    changes : tuple of str
        Changes that an apply of the file would make.
    warnings : tuple of str
        Shards that would have no serving upstream after an apply.
    """

    source: str
    version: int | None = None
    changes: tuple[str, ...] = ()
    warnings: tuple[str, ...] = ()

    def render(self, console: Console) -> None:
        """Print the changes that an apply would make, and warnings."""
        against = "" if self.version is None else f", against version {self.version}"
        console.print(f"{self.source}: valid{against}", markup=False, soft_wrap=True)
        for change in self.changes:
            console.print(f"  {change}", markup=False, soft_wrap=True)
        if self.version is not None and not self.changes:
            console.print("  changes nothing")
        for warning in self.warnings:
            console.print(f"warning: {warning}", markup=False, soft_wrap=True)


@dataclass(frozen=True, kw_only=True)
class ShowReport(Report):
    """
    Contents of one version of the configuration.

    Parameters
    ----------
    configuration : Configuration
        Version to show.
    """

    configuration: Configuration

    def render(self, console: Console) -> None:
        """Print data centres, limits and upstreams."""
        configuration = self.configuration
        console.print(
            f"version {configuration.version} by"
            f" {configuration.applied_by or 'no operator'}"
        )
        for data_centre in configuration.data_centres:
            state = "in" if data_centre.in_service else "out"
            console.print(f"data_centre {data_centre.name}: {state}")
        for service in configuration.services:
            rate = f"{service.requests_per_s:g} requests/s"
            limit = rate if service.requests_per_s else "no limit"
            console.print(f"service {service.name}: {limit}, {service.shards} shards")
        for upstream in configuration.upstreams:
            joined = upstream.state is UpstreamState.joined
            state = "joined" if joined else "leaving"
            shard = f"{upstream.service}/{upstream.shard} in {upstream.data_centre}"
            address = f"{upstream.host}:{upstream.port}"
            line = f"upstream {upstream.name}: {state}, {shard}, {address}"
            console.print(f"{line}, {upstream.slots} slots", soft_wrap=True)


@dataclass(frozen=True, kw_only=True)
class HistoryEntry:
    """
    Version in the history of the configuration.

    Parameters
    ----------
    version : int
        Number of the version.
    kind : str
        Kind of the applied document, ``declarations`` or ``sheet``; empty if unknown.
    applied_by, applied_at : str
        Operator, and UTC time in ISO 8601.
    changes : tuple of str
        Changes from the previous version; empty if the history doesn't have that one.
    """

    version: int
    kind: str
    applied_by: str
    applied_at: str
    changes: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class HistoryReport(Report):
    """
    Latest versions in the history of the configuration.

    Parameters
    ----------
    entries : tuple of HistoryEntry
        Versions, highest first.
    """

    entries: tuple[HistoryEntry, ...]

    def render(self, console: Console) -> None:
        """Print one paragraph for each version."""
        for entry in self.entries:
            origin = f"{entry.applied_at} {entry.kind}".strip()
            console.print(f"version {entry.version} by {entry.applied_by} {origin}")
            for change in entry.changes:
                console.print(f"  {change}", markup=False, soft_wrap=True)
