"""Renewal of the grants of a shard's upstreams."""

from asyncio import Event, Task, get_running_loop, timeout
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic
from typing import Any

from plantaincart_schema.generated.configuration import Service
from plantaincart_schema.generated.settings import GrantSettings
from plantaincart_schema.generated.upstream import GrantAnswer

from plantaincart_router.exception import ExchangeError
from plantaincart_router.log import write_event
from plantaincart_router.runtime import UpstreamRuntime
from plantaincart_router.shardrow import ShardRow

__all__ = ["GrantKeeper", "SlotOwners", "log_task_failure"]

RETRY_S = 0.05
UNREACHABLE_RETRY_S = 0.1


@dataclass
class SlotOwners:
    """
    Owners of a shard's slots, and the slots that their grants include.

    Parameters
    ----------
    owners : dict of int to str
        Owner of each slot.
    sequence : int
        Sequence number of the next grants; part of their fencing token.
    withheld : set of int
        Slots left out of all grants while they are being moved.
    """

    owners: dict[int, str]
    sequence: int
    withheld: set[int] = field(default_factory=set)

    def owns_slots(self, name: str) -> bool:
        """Return whether an upstream owns any slot."""
        return name in self.owners.values()

    def list_granted(self, name: str) -> list[int]:
        """List the slots that an upstream's next grant includes."""
        return [
            slot
            for slot, owner in self.owners.items()
            if owner == name and slot not in self.withheld
        ]


class GrantKeeper:
    """
    Renew the grant of each upstream of a shard.

    Parameters
    ----------
    service : Service
        Service of the shard.
    row : ShardRow
        Row with the shard and epoch of the grants.
    runtimes : dict of str to UpstreamRuntime
        Upstreams of the shard.
    slot_owners : SlotOwners
        Owners of the slots.
    settings : GrantSettings
        Durations of grants.
    find_authority_expiry : callable
        Returns until when the leader may act, in seconds on the loop's clock.
    on_change : callable
        Called when a grant has changed.
    """

    def __init__(
        self,
        service: Service,
        row: ShardRow,
        runtimes: dict[str, UpstreamRuntime],
        slot_owners: SlotOwners,
        settings: GrantSettings,
        find_authority_expiry: Callable[[], float],
        on_change: Callable[[], None],
    ) -> None:
        self._service = service
        self._row = row
        self._runtimes = runtimes
        self._slot_owners = slot_owners
        self._settings = settings
        self._find_authority_expiry = find_authority_expiry
        self._on_change = on_change
        self._loop = get_running_loop()
        self._renewal_tasks: dict[str, Task[None]] = {}
        self._renewal_requests: dict[str, Event] = {}

    def renew_grant_now(self, name: str) -> None:
        """Renew an upstream's grant without waiting for the next interval."""
        event = self._renewal_requests.get(name)
        if event is not None:
            event.set()

    def update_renewal_tasks(self) -> None:
        """Start tasks for new upstreams; cancel those of removed upstreams."""
        for name in self._runtimes:
            task = self._renewal_tasks.get(name)
            if task is None or task.done():
                log_task_failure(task)
                self._renewal_requests[name] = Event()
                work = self._run_renewals(name)
                self._renewal_tasks[name] = self._loop.create_task(work)
        for name in [
            name for name in self._renewal_tasks if name not in self._runtimes
        ]:
            self._renewal_tasks.pop(name).cancel()

    def stop(self) -> None:
        """Stop the renewal of all grants."""
        for task in self._renewal_tasks.values():
            task.cancel()

    async def _run_renewals(self, name: str) -> None:
        renewal_requested = self._renewal_requests[name]
        while True:
            renewal_requested.clear()
            runtime = self._runtimes[name]
            pause_s = await self._renew(runtime)
            try:
                async with timeout(pause_s):
                    await renewal_requested.wait()
            except TimeoutError:
                continue

    async def _renew(self, runtime: UpstreamRuntime) -> float:
        if monotonic() >= self._find_authority_expiry() or self._is_idle_out_of_service(
            runtime
        ):
            return RETRY_S
        try:
            if not runtime.grant.has_reading:
                await self._read_clock(runtime)
            accepted = await self._send_grant(runtime)
        except ExchangeError as error:
            if runtime.record_failure(error):
                write_event(
                    "upstream_unreachable",
                    upstream=runtime.name,
                    shard=str(self._row.shard),
                    error=error.detail,
                )
                self._on_change()
            return RETRY_S if runtime.reachable else UNREACHABLE_RETRY_S
        self._on_change()
        return self._settings.renew_s if accepted else RETRY_S

    def _is_idle_out_of_service(self, runtime: UpstreamRuntime) -> bool:
        """Return whether an upstream out of service owns no slot and runs nothing."""
        if runtime.in_service or runtime.running_requests:
            return False
        return not self._slot_owners.owns_slots(runtime.name)

    async def _read_clock(self, runtime: UpstreamRuntime) -> None:
        sent_at = monotonic()
        answer = await runtime.client.read_clock(self._settings.timeout_s)
        self._record_answer(runtime, answer, sent_at)

    async def _send_grant(self, runtime: UpstreamRuntime) -> bool:
        sent_at = monotonic()
        request = runtime.grant.prepare(
            self._service.name,
            self._row.epoch,
            self._slot_owners.sequence,
            self._slot_owners.list_granted(runtime.name),
            sent_at,
            leadership_expires_at=self._find_authority_expiry(),
        )
        answer = await runtime.client.send_grant(request, self._settings.timeout_s)
        if answer.accepted:
            runtime.grant.record_accepted(request, answer)
        else:
            runtime.grant.record_refused()
        self._record_answer(runtime, answer, sent_at)
        return answer.accepted

    def _record_answer(
        self, runtime: UpstreamRuntime, answer: GrantAnswer, sent_at: float
    ) -> None:
        was_reachable = runtime.reachable
        restarted = runtime.record_answer(answer, sent_at, monotonic())
        if restarted or not was_reachable:
            write_event(
                "upstream_restarted" if restarted else "upstream_reachable",
                upstream=runtime.name,
                shard=str(self._row.shard),
                upstream_incarnation=answer.incarnation,
            )


def log_task_failure(task: "Task[Any] | None") -> None:
    """Log an event if a task has failed."""
    if task is not None and not task.cancelled() and task.exception():
        write_event("task_failed", error=repr(task.exception()))
