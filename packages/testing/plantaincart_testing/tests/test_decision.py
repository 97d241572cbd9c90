"""Decisions of the stand-ins, tested without processes."""

from plantaincart_schema.generated.platform import InstanceEntry
from plantaincart_schema.generated.upstream import GrantRequest
from plantaincart_testing.fault import DownMode, FaultPlan, PlatformFaults
from plantaincart_testing.grant_verifier import GrantVerifier
from plantaincart_testing.layout import Layout
from plantaincart_testing.service_time import ServiceTimes
from plantaincart_testing.shape import SHAPES
from plantaincart_testing.store import InstanceListHistory
from plantaincart_testing.upstream_settings import UpstreamSettings
from plantaincart_testing.warmth import COLLAPSE_FACTOR, Warmth
from pytest import approx, mark


def grant(epoch: int, sequence: int, slots: list[int], until: int) -> GrantRequest:
    return GrantRequest(
        service="s", epoch=epoch, sequence=sequence, slots=slots, expires_at_ms=until
    )


@mark.parametrize(
    ("offered", "accepted"),
    [
        (grant(2, 5, [1], 200), True),
        (grant(2, 6, [], 200), True),
        (grant(3, 0, [1], 200), True),
        (grant(2, 4, [1], 200), False),
        (grant(1, 9, [1], 200), False),
        (grant(3, 0, [1], 50), False),
    ],
)
def test_stale_grant_is_not_accepted(offered: GrantRequest, accepted: bool) -> None:
    verifier = GrantVerifier("i", keyed=True)
    verifier.offer(grant(2, 5, [1], 100), clock_ms=0)
    answer = verifier.offer(offered, clock_ms=50)
    assert answer.accepted is accepted
    current = offered if accepted else grant(2, 5, [1], 100)
    assert (answer.epoch, answer.sequence) == (current.epoch, current.sequence)


@mark.parametrize(
    ("keyed", "service", "epoch", "slot", "clock_ms", "may_run"),
    [
        (True, "s", 2, 1, 99, True),
        (True, "s", 2, 1, 100, False),
        (True, "s", 1, 1, 99, False),
        (True, "s", 3, 1, 99, False),
        (True, "t", 2, 1, 99, False),
        (True, "s", 2, 2, 99, False),
        (False, "s", 2, 2, 99, True),
        (False, "s", 2, 2, 100, False),
    ],
)
def test_fencing(
    keyed: bool, service: str, epoch: int, slot: int, clock_ms: int, may_run: bool
) -> None:
    verifier = GrantVerifier("i", keyed)
    assert verifier.find_rejection_reason(service, epoch, slot, clock_ms) == "no grant"
    verifier.offer(grant(2, 5, [1], 100), clock_ms=0)
    rejection_reason = verifier.find_rejection_reason(service, epoch, slot, clock_ms)
    assert (rejection_reason is None) is may_run


def make_warmth(cold_factor: float = 1.0) -> Warmth:
    return Warmth(2, 4.0, cold_factor, 3.0, now=0.0)


@mark.parametrize(
    ("in_flight", "now", "collapses"),
    [(1, 0.0, 0), (2, 0.0, 1), (2, 3.9, 1), (2, 4.0, 0), (9, 4.0, 0)],
)
def test_collapse_when_cold(in_flight: int, now: float, collapses: int) -> None:
    warmth = make_warmth()
    warmth.admit(in_flight, now)
    assert warmth.collapses == collapses
    assert warmth.find_service_time_factor(now) == (
        COLLAPSE_FACTOR if collapses else 1.0
    )


def test_collapsed_upstream_is_cold_afterwards() -> None:
    warmth = make_warmth(cold_factor=3.0)
    warmth.admit(2, 1.0)
    warmth.admit(5, 2.0)
    assert (warmth.collapses, warmth.excess) == (1, 4)
    assert [warmth.find_limit(at) for at in (3.9, 4.0, 7.9, 8.0)] == [1, 1, 1, 2]
    assert [warmth.find_service_time_factor(at) for at in (3.9, 4.0, 6.0, 8.0)] == [
        20,
        3,
        2,
        1,
    ]


def test_warm_up_without_restart_allows_excess_at_first() -> None:
    warmth = make_warmth()
    warmth.turn_cold(10.0, lenient_s=0.5)
    assert not warmth.admit(2, 10.4)
    assert warmth.admit(2, 10.5)


def test_service_times_follow_mean_and_faults() -> None:
    settings = UpstreamSettings(name="u", service="s", host="", port=1, lookup_s=0.01)
    times, warmth = ServiceTimes(settings), make_warmth()
    draws = [times.draw(True, warmth, 10.0) for _ in range(2000)]
    assert sum(draws) / len(draws) == approx(0.01, rel=0.05)
    repeated = ServiceTimes(settings)
    repeated.set_slowdown(10.0, 5.0, now=0.0)
    slow = [repeated.draw(True, warmth, now) for now in (4.9, 5.0)]
    assert slow == [approx(10 * draws[0]), approx(draws[1])]


@mark.parametrize(
    ("faults", "client", "path_segment", "now", "down"),
    [
        (PlatformFaults(), "i1", "table", 0.0, None),
        (PlatformFaults(down=True), "i1", "table", 0.0, DownMode.REFUSE),
        (PlatformFaults(down=True, parts=["objects"]), "i1", "table", 0.0, None),
        (PlatformFaults(clients_cut=["i1"]), "i1", "table", 0.0, DownMode.REFUSE),
        (PlatformFaults(clients_cut=["i1"]), "i2", "table", 0.0, None),
        (PlatformFaults(flap_period_s=2.0), "i1", "table", 0.9, DownMode.REFUSE),
        (PlatformFaults(flap_period_s=2.0), "i1", "table", 1.1, None),
        (PlatformFaults(flap_period_s=2.0), "i1", "table", 2.1, DownMode.REFUSE),
    ],
)
def test_platform_faults(
    faults: PlatformFaults,
    client: str,
    path_segment: str,
    now: float,
    down: DownMode | None,
) -> None:
    assert FaultPlan(faults, 0.0).decide(client, path_segment, False, now).down is down


def test_random_faults_are_reproducible_by_seed() -> None:
    faults = PlatformFaults(lost_answer_rate=0.3, error_rate=0.2, seed=7)
    draws = [
        [plan.decide("", "table", True, 0.0) for _ in range(200)]
        for plan in (FaultPlan(faults, 0.0), FaultPlan(faults, 0.0))
    ]
    assert draws[0] == draws[1]
    assert 20 < sum(decision.answer_lost for decision in draws[0]) < 80


def test_limited_rates_delay_reads_and_commits_separately() -> None:
    plan = FaultPlan(PlatformFaults(reads_per_s=10.0, commits_per_s=2.0), 0.0)
    delays = [
        plan.decide("", "table", is_commit, now=1.0).delay_s
        for is_commit in (True, False, True, False, True)
    ]
    assert delays == [0.0, 0.0, 0.5, approx(0.1), 1.0]


@mark.parametrize(
    ("faults", "names"),
    [
        (PlatformFaults(), ["b"]),
        (PlatformFaults(instances_lag_s=1.0), ["a", "b"]),
        (PlatformFaults(instances_lag_s=9.0), ["a"]),
        (PlatformFaults(instances_frozen=True), ["a"]),
    ],
)
def test_stale_instance_list(faults: PlatformFaults, names: list[str]) -> None:
    entries = {
        name: InstanceEntry(name=name, data_centre="d", mesh_host="h", mesh_port=1)
        for name in "ab"
    }
    instance_list = InstanceListHistory([entries["a"]])
    plan = FaultPlan(faults, started_at=1.0)
    instance_list.put(entries["b"], now=2.0)
    instance_list.remove("a", now=4.0)
    listed = instance_list.list_at(plan.find_instance_list_time(now=4.5))
    assert [entry.name for entry in listed] == names


@mark.parametrize("shape", SHAPES.values(), ids=str)
def test_layout_fits_its_shape(shape) -> None:  # type: ignore[no-untyped-def]
    layout = Layout(shape, "127.0.0.1", 7000, proxied=True)
    ports = layout.list_ports()
    declarations = layout.make_declarations()
    assert len(set(ports)) == len(ports)
    for service in shape.services:
        upstreams = [
            upstream
            for upstream in declarations.upstreams
            if upstream.service == service.name
        ]
        sizes = [
            sum(upstream.shard == shard for upstream in upstreams)
            for shard in range(service.shards)
        ]
        data_centres = {
            (upstream.shard, upstream.data_centre) for upstream in upstreams
        }
        assert len(upstreams) == service.upstreams
        assert max(sizes) - min(sizes) <= 1
        assert len(data_centres) >= 2 * service.shards
