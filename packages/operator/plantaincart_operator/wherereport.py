"""Text and JSON of explanations where a request would go."""

from collections.abc import Iterator
from dataclasses import dataclass

from plantaincart_schema.generated.where import (
    CandidateFacts,
    Decision,
    Explanation,
    Outcome,
    OwnerFacts,
    ServiceExplanation,
    WaitCause,
)
from rich.console import Console
from rich.table import Table as TextTable

from plantaincart_operator.output import Report

__all__ = ["InstanceExplanation", "WhereReport"]

WAITS = {
    WaitCause.token: "a token of the account's quota",
    WaitCause.owner: "an owner of its key",
    WaitCause.room: "a unit of room",
    WaitCause.permit: "a permit of a named limit",
}
COLUMNS = ("chance", "upstream", "data centre", "wait", "work", "cost", "requests")
FURTHER_COLUMNS = ("known", "speed", "slowdown", "room", "against it")


@dataclass(frozen=True, kw_only=True)
class InstanceExplanation:
    """
    What one instance has answered.

    Parameters
    ----------
    address : str
        Metrics address of the instance.
    explanation : Explanation or None
        Its answer; None if there was none.
    problem : str
        Reason for a missing answer.
    """

    address: str
    explanation: Explanation | None = None
    problem: str = ""


@dataclass(frozen=True, kw_only=True)
class WhereReport(Report):
    """
    Where a request would go now, by instance.

    Parameters
    ----------
    instances : tuple of InstanceExplanation
        Answers in the order of the addresses.
    """

    instances: tuple[InstanceExplanation, ...]

    def render(self, console: Console) -> None:
        """Print the decisions of all instances, and what each of them knows."""
        if len(self.instances) > 1:
            console.print(self._build_comparison())
        for instance in self.instances:
            if len(self.instances) > 1:
                console.print()
            if instance.explanation is None:
                _print(console, f"{instance.address}: {instance.problem}")
            else:
                _render_explanation(console, instance.explanation)

    def _build_comparison(self) -> TextTable:
        table = _create_table("instance", "service", "decision")
        for instance in self.instances:
            explanation = instance.explanation
            if explanation is None:
                table.add_row(instance.address, "", f"no answer: {instance.problem}")
                continue
            for service, decision in _list_decisions(explanation):
                row = (explanation.instance, service, _describe_decision(decision))
                table.add_row(*row)
        return table


def _list_decisions(explanation: Explanation) -> Iterator[tuple[str, Decision]]:
    if explanation.refusal is not None:
        yield "", explanation.refusal
    for service in explanation.services:
        yield service.service, service.decision


def _render_explanation(console: Console, explanation: Explanation) -> None:
    state = f"configuration {explanation.configuration_version or 'unknown'}"
    state += f", coordinator's term {explanation.epoch}"
    state += f", map {explanation.map_version}" if explanation.map_version >= 0 else ""
    state += ", cut off from all upstreams" if explanation.cut_off else ""
    place = f"{explanation.instance} in {explanation.data_centre}"
    _print(console, f"{place}: {state}")
    route, account = explanation.route, explanation.account
    if route is not None:
        times = f"target {route.target_s:g} s, timeout {route.timeout_s:g} s"
        kind = "idempotent" if route.idempotent else "not idempotent"
        _print(console, f"route     {route.name} ({route.prefix}): {times}, {kind}")
    if account is not None:
        quota = "no quota"
        if account.rate_per_s > 0.0:
            quota = f"{account.rate_per_s:g}/s, burst {account.burst:g}"
            quota += f"; tokens held here {account.tokens}, waiting {account.waiting}"
            quota += "; no coordinator divides it now" if account.alone else ""
        _print(console, f"account   {account.name}: {quota}")
    if explanation.refusal is not None:
        _print(console, f"decision  {_describe_decision(explanation.refusal)}")
    for service in explanation.services:
        _render_service(console, service)


def _render_service(console: Console, service: ServiceExplanation) -> None:
    share = "" if service.share >= 1.0 else f", {service.share:.1%} of the requests"
    _print(console, f"service   {service.service}{share}")
    if service.rank:
        admitted = f"{service.admitted_share:.0%} of this rank admitted"
        retries = f"{service.retries_left:g} retries left"
        _print(console, f"rank      {service.rank}: {admitted}, {retries}")
    if service.quarantined_s > 0.0:
        _print(console, f"quarantine for {service.quarantined_s:g} s")
    if service.owner is not None:
        _print(console, f"key       {_describe_owner(service.owner)}")
    _print(console, f"decision  {_describe_decision(service.decision)}")
    if service.candidates:
        console.print(_build_table(service.candidates))
    if service.omitted:
        _print(console, f"and {service.omitted} further upstreams")


def _describe_decision(decision: Decision) -> str:
    if decision.outcome is Outcome.sent:
        return f"sent to {decision.upstream}"
    if decision.outcome is Outcome.waits and decision.cause is not None:
        text = f"waits for {WAITS[decision.cause]}"
        text += f" at {decision.upstream}" if decision.upstream else ""
        text += f", expected in {decision.wait_s:.3g} s" if decision.wait_s else ""
        return f"{text}, for {decision.limit_s:.3g} s at most"
    text = f"refused: {decision.status} {decision.reason} ({decision.detail})"
    if decision.retry_after_s > 0.0:
        text += f", Retry-After about {decision.retry_after_s:.3g} s"
    return text


def _describe_owner(owner: OwnerFacts) -> str:
    text = f"{owner.key} in {owner.first}-{owner.last}: "
    if owner.owner:
        return f"{text}owner {owner.owner}, token {owner.fence} of term {owner.epoch}"
    if owner.expected_s is None:
        return f"{text}no owner, and it isn't known until when"
    return f"{text}no owner, expected in {owner.expected_s:.3g} s"


def _build_table(candidates: list[CandidateFacts]) -> TextTable:
    table = _create_table(*COLUMNS, *FURTHER_COLUMNS)
    for facts in candidates:
        table.add_row(
            f"{facts.chance:.1%}",
            facts.upstream,
            facts.data_centre,
            _format_ms(facts.wait_s),
            _format_ms(facts.work_s),
            _format_ms(facts.cost_s),
            f"{facts.in_flight:.1f}/{facts.slots} (own {facts.own})",
            _format_age(facts.known_age_s),
            "unknown" if facts.lasting is None else f"x{facts.lasting:.2f}",
            f"x{facts.slowdown:.2f}{_format_statement(facts.slowdown_age_s)}",
            _describe_room(facts),
            ", ".join(_list_conditions(facts)),
        )
    return table


def _describe_room(facts: CandidateFacts) -> str:
    if facts.units is None:
        return "open"
    return f"{facts.units_in_use} of {facts.units} used"


def _list_conditions(facts: CandidateFacts) -> Iterator[str]:
    """Yield what speaks against an upstream, with its times."""
    times = {
        "backed-off": f" {facts.backoff_s:.3g} s",
        "unreachable": f" {facts.reconnect_s:.3g} s",
        "cold": f" {facts.warm_up_s:.3g} s",
        "paced": "" if facts.pace is None else f" to {facts.pace:.3g}",
        "no-room": f" {facts.room_wait_s:.3g} s" if facts.room_wait_s else "",
        "no-permit": f" {facts.permit_wait_s:.3g} s",
    }
    for state in facts.states:
        yield f"{state}{times.get(state, '')}"
    if facts.limit_per_s is not None:
        yield f"limit {facts.limit_per_s:g}/s"


def _format_ms(seconds: float) -> str:
    return f"{seconds * 1000.0:.0f} ms"


def _format_age(age_s: float | None) -> str:
    return "never" if age_s is None else f"{age_s:.2g} s ago"


def _format_statement(age_s: float | None) -> str:
    return "" if age_s is None else f" ({age_s:.2g} s ago)"


def _create_table(*columns: str) -> TextTable:
    table = TextTable(*columns, box=None, pad_edge=False, header_style="bold")
    for column in table.columns:
        column.overflow = "fold"
    return table


def _print(console: Console, text: str) -> None:
    console.print(text, markup=False, soft_wrap=True)
