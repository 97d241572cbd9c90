"""Lookup of the leader and owner of a key."""

from collections.abc import Sequence
from dataclasses import dataclass

from plantaincart_schema.generated.platform import InstanceEntry
from plantaincart_schema.generated.status import KeyStatus
from rich.console import Console

from plantaincart_operator.exception import RefusedError, UnavailableError
from plantaincart_operator.output import Report
from plantaincart_operator.platform import Platform

__all__ = ["KeyReport", "find_key"]


@dataclass(frozen=True, kw_only=True)
class KeyReport(Report):
    """
    Slot, shard, leader, owner and grant of a key.

    Parameters
    ----------
    asked : str
        Instance that answered.
    status : KeyStatus
        Answer of the instance.
    """

    asked: str
    status: KeyStatus

    def render(self, console: Console) -> None:
        """Print one line for each property of the key."""
        status = self.status
        leader = f"{status.leader} (incarnation {status.leader_incarnation})"
        properties = [
            ("service", status.service),
            ("key", status.key),
            ("slot", str(status.slot)),
            ("shard", f"{status.service}/{status.shard}"),
            ("leader", leader if status.leader else "unknown"),
            ("epoch", str(status.epoch)),
            ("owner", status.owner or "unknown"),
            ("grant", status.fence or "unknown"),
            ("dispatched", "yes" if status.may_dispatch else "no"),
            ("why", status.reason),
            ("answered by", self.asked),
        ]
        for name, value in properties:
            console.print(f"{name:11} {value}", markup=False, soft_wrap=True)


async def find_key(platform: Platform, service: str, key: str) -> KeyReport:
    """
    Look up a key: ask any instance, then the leader given in its answer.

    Parameters
    ----------
    platform : Platform
        Platform with the instance list.
    service, key : str
        Service and key.

    Returns
    -------
    KeyReport
        Answer of the leader, otherwise of the first instance that answers.

    Raises
    ------
    RefusedError
        If the instances that answer don't have the service in their configuration.
    UnavailableError
        If no instance answers.
    """
    entries = await platform.list_instances()
    first = await _ask_any(platform, entries, service, key)
    for entry in entries:
        if entry.name == first.status.leader and entry.name != first.asked:
            try:
                status = await platform.read_key(entry, service, key)
            except (RefusedError, UnavailableError):
                return first
            return KeyReport(asked=entry.name, status=status)
    return first


async def _ask_any(
    platform: Platform, entries: Sequence[InstanceEntry], service: str, key: str
) -> KeyReport:
    problems: list[RefusedError | UnavailableError] = []
    for entry in entries:
        try:
            status = await platform.read_key(entry, service, key)
        except (RefusedError, UnavailableError) as error:
            problems.append(error)
        else:
            return KeyReport(asked=entry.name, status=status)
    for problem in problems:
        if isinstance(problem, RefusedError):
            raise problem
    reasons = "; ".join(str(problem) for problem in problems)
    raise UnavailableError(reasons or "the platform lists no instance")
