"""Scenarios: a local system under load while failures are injected."""

from asyncio import gather, sleep
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from time import monotonic, monotonic_ns

from plantaincart_router.http.client import HttpClient
from plantaincart_schema.codec import decode_json
from plantaincart_schema.generated.status import ShardStatus, Status

from plantaincart_testing.call import Call, CallResult, LoadPlan, make_calls
from plantaincart_testing.checker import check_history
from plantaincart_testing.client import Caller
from plantaincart_testing.exception import StartError
from plantaincart_testing.finding import Finding
from plantaincart_testing.history import Event
from plantaincart_testing.system import LocalSystem

__all__ = [
    "ScheduledAction",
    "ScenarioReport",
    "find_leader",
    "find_owner",
    "read_status",
    "run_scenario",
    "wait_until_led",
]

POLL_INTERVAL_S = 0.05
STATUS_TIMEOUT_S = 2.0
# Several times the interval at which instances hand shards over to balance them.
STABLE_COUNTS_S = 2.5


@dataclass(frozen=True, kw_only=True)
class ScheduledAction:
    """
    Action on a system under load, at a given time.

    Parameters
    ----------
    at_s : float
        Seconds after the start of the load.
    action : callable
        Performs the action.
    """

    at_s: float
    action: Callable[[], Awaitable[None] | None]


@dataclass(kw_only=True)
class ScenarioReport:
    """
    Results of a scenario.

    Parameters
    ----------
    results : list of CallResult
        Results of all calls.
    events : list of Event
        Executions at the upstreams.
    findings : list of Finding
        Violations that the checker found.
    action_times : list of float
        Machine's monotonic clock in seconds at the start of each action.
    action_times_ns : list of int
        The same times in nanoseconds.
    """

    results: list[CallResult]
    events: list[Event]
    findings: list[Finding]
    action_times: list[float] = field(default_factory=list)
    action_times_ns: list[int] = field(default_factory=list)

    @property
    def failures(self) -> list[CallResult]:
        """Calls that no upstream answered."""
        return [result for result in self.results if not result.is_success]

    def measure_recovery_s(self, act: int = 0) -> float:
        """
        Measure the time from an action until every key was served again.

        Parameters
        ----------
        act : int
            Index of the action.

        Returns
        -------
        float
            Seconds from the action to the first answer to a call that was sent
            after it, for the service and key where this took longest; infinity if
            a key was called and not served again.
        """
        acted_at = self.action_times[act]
        served_at: dict[tuple[str, str], float] = {}
        for result in self.results:
            if result.sent_at < acted_at:
                continue
            key = (result.call.service, result.call.key)
            answered_at = (
                result.sent_at + result.latency_s if result.is_success else float("inf")
            )
            served_at[key] = min(served_at.get(key, float("inf")), answered_at)
        return max((at - acted_at for at in served_at.values()), default=0.0)


async def run_scenario(
    system: LocalSystem,
    plan: LoadPlan | Sequence[Call],
    actions: Sequence[ScheduledAction] = (),
    caller: Caller | None = None,
) -> ScenarioReport:
    """
    Put a system under load and inject failures.

    Parameters
    ----------
    system : LocalSystem
        System that is ready.
    plan : LoadPlan or sequence of Call
        Open-loop load.
    actions : sequence of ScheduledAction
        Failures to inject, in order of their times.
    caller : Caller, optional
        Sends the load; by default to the ready instances in turn.

    Returns
    -------
    ScenarioReport
        Results, executions and the checker's findings.
    """
    balancer = system.make_balancer()
    balancer.start()
    caller = caller or Caller(balancer)
    calls = list(make_calls(plan)) if isinstance(plan, LoadPlan) else list(plan)
    times: list[float] = []
    times_ns: list[int] = []
    try:
        await gather(caller.run(calls), _run_acts(actions, times, times_ns))
    finally:
        balancer.close()
    events = system.read_history()
    unkeyed = [
        service.name for service in system.options.shape.services if not service.keyed
    ]
    findings = check_history(events, caller.results, unkeyed)
    return ScenarioReport(
        results=list(caller.results),
        events=events,
        findings=findings,
        action_times=times,
        action_times_ns=times_ns,
    )


async def read_status(system: LocalSystem, instance: str) -> Status:
    """
    Read the status of an instance.

    Parameters
    ----------
    system : LocalSystem
        Running system.
    instance : str
        Name of the instance.

    Returns
    -------
    Status
        Status of the instance.

    Raises
    ------
    ExchangeError
        If the instance doesn't answer.
    """
    address = system.layout.instances[instance].admin
    http = HttpClient(address.host, address.port, STATUS_TIMEOUT_S)
    try:
        answer = await http.request("GET", "/status")
    finally:
        http.close()
    return decode_json(answer.body, Status)


async def wait_until_led(system: LocalSystem, timeout_s: float = 20.0) -> None:
    """
    Wait until every shard has a leader and every upstream a grant.

    The shards must also be spread evenly over the instances, or the number that
    each instance leads must have been unchanged for `STABLE_COUNTS_S`.

    Parameters
    ----------
    system : LocalSystem
        System that is ready.
    timeout_s : float
        Maximum time to wait in seconds.

    Raises
    ------
    StartError
        If the shards aren't settled within `timeout_s`.
    """
    shard_count = sum(service.shards for service in system.options.shape.services)
    ends_at = monotonic() + timeout_s
    counts: list[int] = []
    counts_changed_at = monotonic()
    while monotonic() < ends_at:
        shards = await _list_shards(system)
        previous_counts, counts = (
            counts,
            [len(led_shards) for led_shards in shards.values()],
        )
        if counts != previous_counts:
            counts_changed_at = monotonic()
        granted = all(
            _is_granted(shard) for led_shards in shards.values() for shard in led_shards
        )
        is_stable = (
            max(counts) - min(counts) < 2
            or monotonic() - counts_changed_at >= STABLE_COUNTS_S
        )
        if sum(counts) == shard_count and is_stable and granted:
            return
        await sleep(POLL_INTERVAL_S)
    raise StartError(f"shards without stable leaders after {timeout_s} s: {counts}")


async def find_leader(system: LocalSystem, service: str, shard: int = 0) -> str:
    """
    Find the instance that leads a shard.

    Parameters
    ----------
    system : LocalSystem
        System whose shards have leaders.
    service : str
        Name of the service.
    shard : int
        Number of the shard.

    Returns
    -------
    str
        Name of the instance; empty if the shard has no leader.
    """
    for name, led_shards in (await _list_shards(system)).items():
        if any(
            (status.service, status.shard) == (service, shard) for status in led_shards
        ):
            return name
    return ""


async def find_owner(system: LocalSystem, service: str, shard: int = 0) -> str:
    """Return the upstream of a shard that owns the most slots."""
    for led_shards in (await _list_shards(system)).values():
        for status in led_shards:
            if (status.service, status.shard) == (service, shard):
                return max(status.upstreams, key=lambda owner: owner.granted_slots).name
    return ""


async def _list_shards(system: LocalSystem) -> dict[str, list[ShardStatus]]:
    statuses = [await read_status(system, name) for name in system.layout.instances]
    return {status.instance: status.shards for status in statuses}


def _is_granted(shard: ShardStatus) -> bool:
    return shard.serving and all(upstream.reachable for upstream in shard.upstreams)


async def _run_acts(
    actions: Sequence[ScheduledAction], times: list[float], times_ns: list[int]
) -> None:
    started = monotonic()
    for act in actions:
        await sleep(max(0.0, started + act.at_s - monotonic()))
        times.append(monotonic())
        times_ns.append(monotonic_ns())
        pending = act.action()
        if pending is not None:
            await pending
