"""Applying a document as a new version of the configuration."""

from asyncio import get_running_loop, sleep
from collections.abc import Sequence
from dataclasses import dataclass, field
from time import time

from plantaincart_core.apply import (
    ApplyRequest,
    ApplyState,
    Proposal,
    find_written_version,
    propose_version,
)
from plantaincart_core.configuration import describe_changes, list_upstreams
from plantaincart_schema.generated.configuration import Configuration, Declarations
from plantaincart_schema.generated.operator import OperatorSettings
from plantaincart_schema.generated.platform import InstanceState
from rich.console import Console

from plantaincart_operator.exception import (
    ConflictError,
    NotInForceError,
    RefusedError,
    UnavailableError,
)
from plantaincart_operator.output import Report
from plantaincart_operator.platform import InstanceReport, Platform
from plantaincart_operator.store import ConfigurationStore, StoredState

__all__ = ["ApplyReport", "apply_document", "find_warnings", "wait_until_in_force"]

RECENT_VERSIONS = 50
"""Versions searched for an earlier apply of the same document and for changes since."""


@dataclass(frozen=True, kw_only=True)
class ApplyReport(Report):
    """
    Outcome of an apply.

    Parameters
    ----------
    outcome : str
        ``accepted``, ``accepted before`` or ``no change``.
    version : int
        Version that this apply or an earlier one wrote; without a change, the version
        in force.
    changes : tuple of str
        Changes made by the version; if it was accepted before, changes made since.
    warnings : tuple of str
        Shards that have no serving upstream in that version.
    in_force : int or None
        Number of instances with that version in force, if the command waited for them.
    instances : int or None
        Number of live instances, if the command waited for them.
    in_force_after_s : float or None
        Seconds until the version was in force on these instances.
    """

    outcome: str
    version: int
    changes: tuple[str, ...] = ()
    warnings: tuple[str, ...] = ()
    in_force: int | None = None
    instances: int | None = None
    in_force_after_s: float | None = field(default=None)

    def render(self, console: Console) -> None:
        """Print the outcome, changes, warnings and number of instances in force."""
        console.print(f"version {self.version}: {self.outcome}")
        for change in self.changes:
            console.print(f"  {change}", markup=False, soft_wrap=True)
        for warning in self.warnings:
            console.print(f"warning: {warning}", markup=False, soft_wrap=True)
        if self.in_force is not None:
            after = f" after {self.in_force_after_s:.1f} s"
            console.print(
                f"in force on {self.in_force} of {self.instances} instances{after}"
            )


def find_warnings(configuration: Configuration) -> tuple[str, ...]:
    """
    Find shards that have no serving upstream.

    Parameters
    ----------
    configuration : Configuration
        Configuration to check.

    Returns
    -------
    tuple of str
        One warning for each such shard.
    """
    return tuple(
        f"shard {service.name}/{shard} has no serving upstream;"
        " its requests will be rejected"
        for service in configuration.services
        for shard in range(service.shards)
        if not list_upstreams(configuration, service.name, shard)
    )


async def apply_document(
    store: ConfigurationStore,
    state: StoredState,
    request: ApplyRequest,
    settings: OperatorSettings,
    declarations: Declarations | None = None,
) -> ApplyReport:
    """
    Write a document's changes as a new version, unless an earlier apply wrote it.

    Parameters
    ----------
    store : ConfigurationStore
        Store of the configuration's rows.
    state : StoredState
        State that the document is applied to.
    request : ApplyRequest
        Request with the document.
    settings : OperatorSettings
        Settings of the command.
    declarations : Declarations, optional
        Declarations to store together with the version.

    Returns
    -------
    ApplyReport
        The outcome.

    Raises
    ------
    ConflictError
        If another operator changed the configuration first.
    ExceptionGroup
        With an `InvalidValueError` for each value that doesn't fit the configuration.
    RefusedError
        If stored rows don't decode or contradict each other.
    UnavailableError
        If the platform doesn't answer.
    """
    current = state.configuration
    history = await store.read_history(current.version, RECENT_VERSIONS)
    proposal = propose_version(request, current, [current, *history], time())
    if proposal.state is ApplyState.CONFLICT:
        raise _build_conflict(proposal.configuration, proposal.changes)
    if proposal.state is not ApplyState.NEW:
        return _describe_unwritten(proposal)
    written = await store.write_version(
        state, proposal, declarations, settings.apply_timeout_s
    )
    if not written:
        return await _describe_lost_race(store, current, proposal)
    return ApplyReport(
        outcome="accepted",
        version=proposal.configuration.version,
        changes=proposal.changes,
        warnings=find_warnings(proposal.configuration),
    )


async def wait_until_in_force(
    platform: Platform, version: int, timeout_s: float, poll_s: float
) -> tuple[int, float]:
    """
    Wait until every live instance has a version in force.

    Parameters
    ----------
    platform : Platform
        Platform with the instance list.
    version : int
        Version to wait for; a higher version counts as well.
    timeout_s : float
        Maximum seconds to wait.
    poll_s : float
        Seconds between two polls of the instances.

    Returns
    -------
    tuple of int and float
        Number of instances, and seconds waited.

    Raises
    ------
    NotInForceError
        If it isn't in force on all of them in time; lists the remaining instances.
    """
    loop = get_running_loop()
    started_at = loop.time()
    while True:
        reports, problem = await _read_live_instances(platform)
        behind = [report for report in reports if not _is_in_force(report, version)]
        waited_s = loop.time() - started_at
        if reports and not behind:
            return len(reports), waited_s
        if waited_s >= timeout_s:
            raise NotInForceError(
                problem or _describe_behind(version, len(reports), behind)
            )
        await sleep(poll_s)


async def _read_live_instances(platform: Platform) -> tuple[list[InstanceReport], str]:
    try:
        reports = await platform.read_statuses()
    except UnavailableError as error:
        return [], str(error)
    return [
        report for report in reports if report.entry.state is InstanceState.live
    ], ""


def _is_in_force(report: InstanceReport, version: int) -> bool:
    status = report.status
    return status is not None and status.configuration_version >= version


def _describe_behind(version: int, count: int, behind: list[InstanceReport]) -> str:
    lines = [f"version {version} is in force on {count - len(behind)} of {count}"]
    for report in behind:
        status = report.status
        if status is None:
            lines.append(f"  no answer: {report.problem}")
        else:
            lines.append(f"  {report.entry.name}: {status.configuration_version}")
    return "\n".join(lines)


def _describe_unwritten(proposal: Proposal) -> ApplyReport:
    repeated = proposal.state is ApplyState.REPEATED
    return ApplyReport(
        outcome="accepted before" if repeated else "no change",
        version=proposal.configuration.version,
        changes=tuple(f"changed since: {change}" for change in proposal.changes),
    )


async def _describe_lost_race(
    store: ConfigurationStore, base: Configuration, proposal: Proposal
) -> ApplyReport:
    written = await store.read_history(proposal.configuration.version, 1)
    accepted = find_written_version(proposal, written[0] if written else None)
    if accepted is not None:
        return ApplyReport(
            outcome="accepted before",
            version=accepted.version,
            changes=proposal.changes,
            warnings=find_warnings(accepted),
        )
    current = (await store.read_state()).configuration
    if current.version <= base.version:
        raise RefusedError("the configuration rows in the table contradict each other")
    raise _build_conflict(current, describe_changes(base, current))


def _build_conflict(current: Configuration, changes: Sequence[str]) -> ConflictError:
    message = (
        f"version {current.version} by {current.applied_by} is in force;"
        " nothing was applied. Check the changes since your version, then repeat with"
        f" --expect-version {current.version}. Changes:"
    )
    return ConflictError(message, changes)
