"""Decision on one request, taken on a copy of the state."""

from collections.abc import Sequence
from copy import deepcopy
from dataclasses import dataclass
from time import monotonic

from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.verdict import Refusal, RefusedError
from plantaincart_core.waitingorder import QueueBounds
from plantaincart_schema.generated.where import Decision, Outcome, WaitCause

from plantaincart_router.direct.accountgate import (
    MAX_WAIT_S,
    MAX_WAIT_SHARE,
    MAX_WAITING,
    refuse_account,
)
from plantaincart_router.direct.accountturn import AccountTurnPolicy
from plantaincart_router.direct.admissioncontrol import AdmissionControl, EntryPolicy
from plantaincart_router.direct.answermemory import AnswerMemory
from plantaincart_router.direct.call import Call
from plantaincart_router.direct.candidates import (
    CandidateFilter,
    CandidateFinder,
    ColdFilter,
)
from plantaincart_router.direct.clock import read_boot_time
from plantaincart_router.direct.coldlimiter import ColdUpstreamLimiter
from plantaincart_router.direct.cost import CostEstimator
from plantaincart_router.direct.entryqueue import EntryQueue
from plantaincart_router.direct.metrics import RouterMetrics
from plantaincart_router.direct.pacesource import PaceFilter, PaceSource
from plantaincart_router.direct.permitwait import PermitWait
from plantaincart_router.direct.quarantinecheck import QuarantineCheck
from plantaincart_router.direct.rankadmission import RankAdmission
from plantaincart_router.direct.rejection import RejectionFactory
from plantaincart_router.direct.retrybudgets import RetryBudgets
from plantaincart_router.direct.roomgate import RoomGate
from plantaincart_router.direct.selector import UpstreamSelector
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.transport import AttemptTransport
from plantaincart_router.direct.where.snapshot import ViewSnapshot

__all__ = ["DecisionParts", "Trial", "describe_refusal"]


@dataclass(frozen=True, kw_only=True, slots=True)
class DecisionParts:
    """
    Parts of the gateway whose state a decision depends on.

    Parameters
    ----------
    costs : CostEstimator
        Expected wait and duration, with what was learnt.
    admission : AdmissionControl
        Decides whether a request can be answered in time.
    cold_limiter : ColdUpstreamLimiter
        Requests that were sent to cold upstreams.
    transport : AttemptTransport
        Tells to which upstreams connecting failed recently.
    queue : EntryQueue
        Requests that wait for room.
    answer_memory : AnswerMemory
        Memory for answers.
    retries : RetryBudgets
        Budgets of retries.
    account_turns : AccountTurnPolicy
        Turns of client accounts.
    rank_admission : RankAdmission or None
        Admission by rank; None where it is switched off.
    """

    costs: CostEstimator
    admission: AdmissionControl
    cold_limiter: ColdUpstreamLimiter
    transport: AttemptTransport
    queue: EntryQueue
    answer_memory: AnswerMemory
    retries: RetryBudgets
    account_turns: AccountTurnPolicy
    rank_admission: RankAdmission | None


class WaitingError(Exception):
    """
    The request would wait at this point.

    Parameters
    ----------
    decision : Decision
        What it would wait for.
    """

    def __init__(self, decision: Decision) -> None:
        super().__init__(decision)
        self.decision = decision


class Trial:
    """
    Decides on a request as the gateway would, and takes nothing.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the instance.
    view : ViewSnapshot
        Copy of the state, which isn't used for anything else.
    parts : DecisionParts
        Parts of the gateway.

    Attributes
    ----------
    costs, candidates, admission, quarantine, cold_filter, pace_filter
        Parts of the decision, which work on the copy.
    possible : CandidateFinder
        Upstreams that may be among the candidates, whatever is drawn for paced ones.

    Notes
    -----
    All parts are those of the gateway, over a copy of what they change. Where a request
    would wait, the decision ends.
    """

    def __init__(
        self, settings: DirectSettings, view: ViewSnapshot, parts: DecisionParts
    ) -> None:
        self._view = view
        self._parts = parts
        metrics = RouterMetrics(dict)
        self.costs = parts.costs.copy(view)
        rejections = RejectionFactory(settings, view, parts.transport)
        self.cold_filter = ColdFilter(view, parts.cold_limiter)
        self.pace_filter = PaceFilter(view, PaceSource(view))
        self.candidates = _CandidateProbe(
            settings,
            view,
            [self.cold_filter, self.pace_filter],
            parts.transport,
            self.costs,
            rejections,
            metrics,
        )
        self.possible = CandidateFinder(
            settings,
            view,
            [self.cold_filter, _PossibleFilter(self.pace_filter)],
            parts.transport,
            self.costs,
            rejections,
            metrics,
        )
        self.admission = parts.admission.copy(view, self.costs, rejections)
        self.quarantine = QuarantineCheck(view, metrics)
        self._policies: tuple[EntryPolicy, ...] = (deepcopy(parts.account_turns),)
        if parts.rank_admission is not None:
            rank_admission = parts.rank_admission.copy(
                view.rank_fact, self.costs, rejections, metrics
            )
            self._policies = (rank_admission, *self._policies)
        self._selector = UpstreamSelector(
            settings,
            view,
            self.candidates,
            self.costs,
            self.admission,
            _PermitProbe(settings, view, self.costs, self.candidates),
            rejections,
            view.room,
            _QueueProbe(parts.queue, view.room, settings.queue),
            metrics,
        )

    async def decide(self, call: Call) -> Decision:
        """Return what would become of a request now."""
        try:
            with self._parts.answer_memory.reserve(call.route.name):
                # Nothing else runs before the room is given back.
                pass
            self._take_token(call)
            self.quarantine.check(call)
            now = monotonic()
            for policy in self._policies:
                policy.check(call, now)
            record = await self._selector.find_upstream(call)
        except RefusedError as error:
            return describe_refusal(error.refusal)
        except WaitingError as error:
            return error.decision
        return Decision(outcome=Outcome.sent, upstream=record.id)

    def _take_token(self, call: Call) -> None:
        account = call.account
        if account is None or not account.is_limited:
            return
        view, now = self._view, read_boot_time()
        quotas = view.account_fact.quotas.copy_account(account)
        quotas.set_fleet(view.members, view.rank, now)
        quotas.record_arrival(account, now)
        if quotas.take(account, now):
            return
        limit_s = min(MAX_WAIT_S, call.remaining_s * MAX_WAIT_SHARE)
        is_hopeless = limit_s <= 0.0 or quotas.has_none_soon(account, now)
        if is_hopeless or quotas.change_waiting(account, 1) > MAX_WAITING:
            raise refuse_account(quotas, account, now)
        wait_s = quotas.find_wait_s(account, now)
        raise WaitingError(
            Decision(
                outcome=Outcome.waits,
                cause=WaitCause.token,
                wait_s=wait_s,
                limit_s=limit_s,
            )
        )


class _PossibleFilter(CandidateFilter):
    """Excludes paced upstreams only if they get no requests at all."""

    def __init__(self, pace_filter: PaceFilter) -> None:
        self._pace_filter = pace_filter

    def allows(self, call: Call, record: UpstreamRecord, now: float) -> bool:
        return self._pace_filter.find_share(record, now) > 0.0


class _CandidateProbe(CandidateFinder):
    """Finds candidates, and ends the decision where a key has no owner yet."""

    async def wait_for_change(self, call: Call, wait_s: float) -> None:
        key = call.metadata.key or 0
        expected_s = self._view.unowned.estimate_wait(
            call.service.name, key, monotonic()
        )
        raise WaitingError(
            Decision(
                outcome=Outcome.waits,
                cause=WaitCause.owner,
                wait_s=expected_s or 0.0,
                limit_s=wait_s,
            )
        )


class _PermitProbe(PermitWait):
    """Takes a permit of a copy, and ends the decision where there is none yet."""

    async def acquire(self, call: Call, record: UpstreamRecord) -> bool:
        quotas = self._view.quotas
        if await quotas.acquire(record, call.route.priority, 0.0):
            return True
        wait_s = quotas.estimate_wait_s(record, monotonic())
        patience_s = self._choose_patience_s(call, record)
        if wait_s > patience_s:
            return False
        raise WaitingError(
            Decision(
                outcome=Outcome.waits,
                upstream=record.id,
                cause=WaitCause.permit,
                wait_s=wait_s,
                limit_s=patience_s,
            )
        )


class _QueueProbe(EntryQueue):
    """Tells what the gateway's queue would do, and adds nothing to it."""

    def __init__(self, queue: EntryQueue, gate: RoomGate, bounds: QueueBounds) -> None:
        super().__init__(gate, bounds)
        self._queue = queue.copy(gate)

    def try_take(self, record: UpstreamRecord) -> bool:
        return not self._queue.is_wanted(record) and super().try_take(record)

    def estimate_wait_s(
        self, call: Call, records: Sequence[UpstreamRecord], latest_at: float
    ) -> float:
        return self._queue.estimate_wait_s(call, records, latest_at)

    async def wait(
        self,
        call: Call,
        records: Sequence[UpstreamRecord],
        latest_at: float,
        until: float,
    ) -> UpstreamRecord | None:
        raise WaitingError(
            Decision(
                outcome=Outcome.waits,
                upstream=records[0].id,
                cause=WaitCause.room,
                wait_s=self.estimate_wait_s(call, records, latest_at),
                limit_s=max(0.0, latest_at - monotonic()),
            )
        )


def describe_refusal(refusal: Refusal) -> Decision:
    """Return the decision to refuse a request."""
    return Decision(
        outcome=Outcome.refused,
        status=refusal.status,
        reason=refusal.reason.value,
        detail=refusal.detail,
        retry_after_s=round(refusal.retry_after_s, 3),
    )
