"""A shard under the leadership of this instance."""

from asyncio import Task, get_running_loop, sleep
from collections import Counter
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass, replace
from random import Random
from time import monotonic
from typing import Any

from plantaincart_core.balance import plan_balance
from plantaincart_core.configuration import ConfigurationTracker
from plantaincart_core.lease import ShardKey
from plantaincart_core.quarantine import Quarantine
from plantaincart_core.record import RecordTracker
from plantaincart_core.slot import list_slots
from plantaincart_schema.generated.configuration import KeySource, Service
from plantaincart_schema.generated.mesh import Answer, Handover, Request
from plantaincart_schema.generated.platform import Record, Row, ShardLease
from plantaincart_schema.generated.settings import Settings

from plantaincart_router.attempt import AttemptRunner
from plantaincart_router.authority import Authority
from plantaincart_router.dispatcher import Dispatcher
from plantaincart_router.exception import LeadershipLostError
from plantaincart_router.keyed import KeyedDispatcher
from plantaincart_router.log import write_event
from plantaincart_router.mesh import Mesh
from plantaincart_router.metrics import Metrics
from plantaincart_router.outcome import OutcomeRelay
from plantaincart_router.ownership import Ownership
from plantaincart_router.recorder import Recorder
from plantaincart_router.shardrow import ShardRow
from plantaincart_router.shardupstreams import ShardUpstreams
from plantaincart_router.submission import Submissions
from plantaincart_router.unkeyed import UnkeyedDispatcher
from plantaincart_router.vacancy import announce_vacancies

__all__ = ["Shard", "ShardContext"]

SERVE_INTERVAL_S = 0.02
STRAGGLER_INTERVAL_S = 0.1


@dataclass(frozen=True)
class ShardContext:
    """Objects shared by all shards that an instance leads."""

    settings: Settings
    configuration: ConfigurationTracker
    mesh: Mesh
    authority: Authority
    quarantine: Quarantine
    metrics: Metrics
    outcomes: OutcomeRelay
    random: Random


class Shard:
    """
    Grant slots, dispatch requests and keep idempotency records for one shard.

    Parameters
    ----------
    context : ShardContext
        Objects shared by the shards of the instance.
    service : Service
        Service of the shard.
    row : ShardRow
        Row of the shard, naming this instance as leader.
    earlier_grants_expire_at : float
        Time in seconds of the monotonic clock by which all grants of earlier leaders
        have expired.
    """

    def __init__(
        self,
        context: ShardContext,
        service: Service,
        row: ShardRow,
        earlier_grants_expire_at: float,
    ) -> None:
        self._context = context
        self._loop = get_running_loop()
        self._tasks: list[Task[None]] = []
        self.key: ShardKey = row.shard
        self.service = service
        self.row = row
        self.leading_since = monotonic()
        self.closed = False
        self.suspended = False
        settings = context.settings
        self.upstreams = ShardUpstreams(row.shard, settings, earlier_grants_expire_at)
        keyed = service.key.source is not KeySource.none
        slots = list_slots(self.key.shard, service.slots, service.shards)
        self.ownership = Ownership(
            service,
            slots if keyed else range(0),
            row,
            self.upstreams.runtimes,
            settings.grant,
            self.find_authority_expiry,
            self._handle_ownership_change,
            lambda: self.runner.slot_load.compute_loads(monotonic()),
        )
        self.dispatcher = self._build_dispatcher(keyed)
        self.runner = AttemptRunner(
            self.dispatcher,
            settings.dispatch,
            context.quarantine,
            context.metrics,
            self.may_act,
            context.mesh.broadcast,
            self.ownership.renew_grant_now,
        )
        records = RecordTracker(settings.records, row.epoch)
        self.recorder = Recorder(records, row, settings.records)
        self.submissions = Submissions(
            self.runner,
            self.recorder,
            context.metrics,
            lambda: row.epoch,
            lambda records: context.outcomes.forward_outcomes(
                self.key, row.epoch, records
            ),
        )
        self.update_configuration(service)

    @property
    def successors(self) -> set[str]:
        """Instances that the shard's row may name as successors."""
        return self.row.successors

    def find_authority_expiry(self) -> float:
        """Return until when this instance may lead, in seconds of the loop's clock."""
        if self.closed or self.suspended:
            return float("-inf")
        authority = self._context.authority
        return authority.find_authority_expiry(
            self.key, self.row.epoch, self.row.successors
        )

    def may_act(self, now: float) -> bool:
        """Return whether this instance may dispatch and grant."""
        return now < self.find_authority_expiry()

    def start(self) -> None:
        """Start granting, dispatching and balancing."""
        self.spawn(self.ownership.run())
        self.spawn(self._run_maintenance())
        self.spawn(self._run_balance())

    def load_records(self, rows: dict[str, Row], replicas: list[bytes]) -> None:
        """Load earlier records and start to accept recorded requests."""
        self.recorder.load_rows(rows, replicas)
        self.spawn(self.recorder.run())
        self.submissions.records_loaded.set()

    def load_handover(self, message: Handover) -> None:
        """Load all records from a handover and start to accept recorded requests."""
        self.recorder.load_batches(message.stored, message.batches)
        self.spawn(self.recorder.run())
        self.submissions.records_loaded.set()

    def record_late_outcomes(self, records: Sequence[Record]) -> str:
        """Add answers received by an earlier leader; returns a reason on rejection."""
        if not self.submissions.records_loaded.is_set():
            return "records are being loaded"
        self.submissions.record_late_outcomes(records)
        return ""

    async def submit(self, request: Request, deadline: float) -> Answer:
        """Answer a request; see `Submissions.submit`."""
        return await self.submissions.submit(request, deadline)

    def update_configuration(self, service: Service) -> None:
        """Apply the current configuration of the service and its upstreams."""
        configuration = self._context.configuration.current
        self.service = service
        self.dispatcher.service = service
        self.submissions.set_rate(service.requests_per_s / service.shards)
        self.upstreams.update_configuration(configuration, service)

    async def store_successors(self, successors: list[str]) -> bool:
        """Write new successors into the shard's row."""

        def change(row: ShardLease) -> ShardLease:
            return replace(row, successors=successors)

        try:
            return await self.row.store(change)
        except LeadershipLostError as error:
            self._report_loss(str(error))
            return False

    def close(self) -> None:
        """Stop leading; queued requests are rejected with the reason not-leader."""
        if self.closed:
            return
        self.closed = True
        self.dispatcher.stop()
        self.recorder.close()
        outcomes = self._context.outcomes
        outcomes.track_running(self.submissions.list_running())
        unwritten = self.recorder.records.list_unwritten()
        outcomes.forward_outcomes(self.key, self.row.epoch, unwritten)
        for task in self._tasks:
            task.cancel()
        running = self.upstreams.count_running_requests()
        self._loop.create_task(self._close_runtimes(running))

    async def _close_runtimes(self, running: Counter[str]) -> None:
        mesh, epoch = self._context.mesh, self.row.epoch
        await announce_vacancies(mesh, self.key, epoch, self.upstreams, running)
        self.upstreams.close()

    def _build_dispatcher(self, keyed: bool) -> Dispatcher:
        random = self._context.random
        if not keyed:
            return UnkeyedDispatcher(
                self.service, self.upstreams.runtimes, self.may_act, random
            )
        return KeyedDispatcher(
            self.service,
            self.upstreams.runtimes,
            self.may_act,
            random,
            self.ownership.find_owner,
        )

    def _handle_ownership_change(self) -> None:
        if self.closed:
            return
        if isinstance(self.dispatcher, KeyedDispatcher):
            self.dispatcher.reassign()
        else:
            self.dispatcher.serve_queues()

    async def _run_maintenance(self) -> None:
        stragglers_marked_at = monotonic()
        while True:
            self.dispatcher.serve_queues()
            now = monotonic()
            if now - stragglers_marked_at >= STRAGGLER_INTERVAL_S:
                stragglers_marked_at = now
                self.upstreams.mark_stragglers(now)
                self.upstreams.remove_undeclared(self.ownership.owns_slots)
            await sleep(SERVE_INTERVAL_S)

    async def _run_balance(self) -> None:
        settings = self._context.settings.balance
        while True:
            await sleep(settings.interval_s)
            if not self.ownership.keyed or not self.may_act(monotonic()):
                continue
            if self.ownership.moving_count:
                continue
            loads = self.runner.slot_load.compute_loads(monotonic())
            moves = plan_balance(
                loads, self.ownership.owners, self.upstreams.list_capacities(), settings
            )
            self.ownership.request_moves(moves, "balance")

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine until the leadership ends; its error ends the leadership."""
        task = self._loop.create_task(work)
        self._tasks.append(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: Task[None]) -> None:
        if task.cancelled():
            return
        error = task.exception()
        if isinstance(error, LeadershipLostError):
            self._report_loss(str(error))
        elif error is not None:
            write_event("task_failed", shard=str(self.key), error=repr(error))
            self._report_loss(repr(error))

    def _report_loss(self, reason: str) -> None:
        self._context.authority.report_loss(self.key, self.row.epoch, reason)
