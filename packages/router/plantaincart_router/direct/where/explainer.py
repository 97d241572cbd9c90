"""Explanation of where a request would go now, and why."""

from dataclasses import replace
from time import monotonic

from plantaincart_core.account import ClientAccount
from plantaincart_core.traffic import Route, ServicePolicy, WeightedService
from plantaincart_core.verdict import RefusedError
from plantaincart_schema.generated.where import (
    AccountFacts,
    CandidateFacts,
    Decision,
    Explanation,
    Outcome,
    OwnerFacts,
    RouteFacts,
    ServiceExplanation,
    WaitCause,
)

from plantaincart_router.direct.accountgate import find_account
from plantaincart_router.direct.call import Call
from plantaincart_router.direct.clock import read_boot_time
from plantaincart_router.direct.coordinator import SEQUENCE_BITS
from plantaincart_router.direct.interface import HeaderCodec, RequestMetadata
from plantaincart_router.direct.routematch import (
    choose_time_limit_s,
    find_route,
    find_service,
)
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.view import SystemView
from plantaincart_router.direct.where.candidatetable import CandidateTable
from plantaincart_router.direct.where.question import InvalidQuestionError, Question
from plantaincart_router.direct.where.snapshot import ViewSnapshot
from plantaincart_router.direct.where.trial import (
    DecisionParts,
    Trial,
    describe_refusal,
)
from plantaincart_router.http.caller import CallerConnection

__all__ = ["RequestExplainer"]


class RequestExplainer:
    """
    Explains the decision on a request without sending it.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the instance.
    view : SystemView
        State of the system as this instance knows it.
    header_codec : HeaderCodec
        Parses the platform's header fields.
    parts : DecisionParts
        Parts of the gateway whose state the decision depends on.
    """

    def __init__(
        self,
        settings: DirectSettings,
        view: SystemView,
        header_codec: HeaderCodec,
        parts: DecisionParts,
    ) -> None:
        self._settings = settings
        self._view = view
        self._header_codec = header_codec
        self._parts = parts

    async def explain(self, question: Question) -> Explanation:
        """
        Explain where a request would go at this moment.

        Parameters
        ----------
        question : Question
            The request, and the service of interest.

        Raises
        ------
        InvalidQuestionError
            If the route doesn't lead to that service.

        Notes
        -----
        Nothing is changed: no unit, permit, token, turn or budget is taken, and nothing
        is counted or logged.
        """
        view, request = self._view, question.request
        metadata = self._header_codec.read_request(request)
        explanation = self._describe_instance()
        try:
            route = find_route(view, metadata.host, request.target)
        except RefusedError as error:
            return replace(explanation, refusal=describe_refusal(error.refusal))
        explanation = replace(explanation, route=_describe_route(route))
        try:
            account = find_account(view.account_fact.accounts, route, metadata)
        except RefusedError as error:
            return replace(explanation, refusal=describe_refusal(error.refusal))
        chosen = [
            weighted
            for weighted in route.services
            if question.service in ("", weighted.service)
        ]
        if not chosen:
            raise InvalidQuestionError(f"service: route {route.name} has no such one")
        return replace(
            explanation,
            account=None if account is None else self._describe_account(account),
            services=[
                await self._explain_service(question, metadata, route, account, item)
                for item in chosen
            ],
        )

    def _describe_instance(self) -> Explanation:
        view = self._view
        config = view.routing_config
        return Explanation(
            instance=self._settings.name,
            data_centre=self._settings.data_centre,
            configuration_version=0 if config is None else config.version,
            epoch=view.epoch,
            map_version=view.map_version,
            cut_off=view.reachability.is_cut_off,
        )

    def _describe_account(self, account: ClientAccount) -> AccountFacts:
        now = read_boot_time()
        quotas = self._view.account_fact.quotas.copy_account(account)
        return AccountFacts(
            name=account.name,
            priority=account.priority,
            rate_per_s=account.rate_per_s,
            burst=account.burst,
            tokens=quotas.count_tokens(account, now),
            waiting=quotas.change_waiting(account, 0),
            alone=account.is_limited and quotas.is_alone(now),
        )

    async def _explain_service(
        self,
        question: Question,
        metadata: RequestMetadata,
        route: Route,
        account: ClientAccount | None,
        weighted: WeightedService,
    ) -> ServiceExplanation:
        view = ViewSnapshot(self._view)
        total = sum(item.weight for item in route.services)
        explanation = ServiceExplanation(
            service=weighted.service,
            share=round(weighted.weight / total, 4) if total > 0.0 else 1.0,
            decision=Decision(outcome=Outcome.refused),
        )
        try:
            policy = find_service(view, weighted.service)
        except RefusedError as error:
            return replace(explanation, decision=describe_refusal(error.refusal))
        now = monotonic()
        call = self._make_call(question, metadata, route, policy, account, now)
        trial = Trial(self._settings, view, self._parts)
        table = CandidateTable(self._settings, view, trial, self._parts.transport)
        candidates, omitted = table.list_facts(call)
        admitted_share = 1.0
        if self._parts.rank_admission is not None:
            admitted_share = view.rank_fact.find_share(policy.name, call.rank, now)
        retries_left = self._parts.retries.estimate_left(
            policy.name, now, view.members, call.retry_rank
        )
        explanation = replace(
            explanation,
            keyed=policy.keyed,
            rank=f"{call.rank.account}/{call.rank.route}",
            admitted_share=round(admitted_share, 4),
            retries_left=round(retries_left, 2),
            quarantined_s=trial.quarantine.measure_remaining_s(call),
            owner=_describe_owner(call, view) if policy.keyed else None,
        )
        decision = _choose_likeliest(call, await trial.decide(call), candidates)
        if decision.outcome is Outcome.refused or decision.cause is WaitCause.token:
            candidates = [replace(facts, chance=0.0) for facts in candidates]
        return replace(
            explanation, candidates=candidates, omitted=omitted, decision=decision
        )

    def _make_call(
        self,
        question: Question,
        metadata: RequestMetadata,
        route: Route,
        policy: ServicePolicy,
        account: ClientAccount | None,
        now: float,
    ) -> Call:
        name = "" if account is None else account.name
        request = self._header_codec.assign_account(question.request, name)
        deadline_at = now + choose_time_limit_s(metadata, route)
        caller = CallerConnection()
        call = Call(request, metadata, caller, route, policy, now, deadline_at)
        if account is not None:
            call.account, call.account_priority = account, account.priority
        return call


def _describe_owner(call: Call, view: ViewSnapshot) -> OwnerFacts | None:
    key = call.metadata.key
    if key is None:
        return None
    expected_s = view.unowned.estimate_wait(call.service.name, key, monotonic())
    key_range = view.find_owner(call.service.name, key)
    if key_range is None:
        return OwnerFacts(key=key, expected_s=expected_s)
    return OwnerFacts(
        key=key,
        first=key_range.first,
        last=key_range.last,
        owner=key_range.owner,
        fence=key_range.fence,
        epoch=key_range.fence >> SEQUENCE_BITS,
        expected_s=expected_s,
    )


def _choose_likeliest(
    call: Call, decision: Decision, candidates: list[CandidateFacts]
) -> Decision:
    """Name the likeliest upstream instead of the one that was drawn."""
    is_drawn = decision.outcome is Outcome.sent and not call.service.keyed
    likeliest = max(candidates, key=lambda facts: facts.chance, default=None)
    if not is_drawn or likeliest is None or likeliest.chance <= 0.0:
        return decision
    return replace(decision, upstream=likeliest.upstream)


def _describe_route(route: Route) -> RouteFacts:
    return RouteFacts(
        name=route.name,
        prefix=route.prefix,
        priority=route.priority,
        target_s=route.target_s,
        timeout_s=route.timeout_s,
        idempotent=route.idempotent,
    )
