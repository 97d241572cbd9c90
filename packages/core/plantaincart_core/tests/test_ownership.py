"""One leader per shard and one owner per slot under faults; bounded recovery time."""

from collections.abc import Callable

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)
from plantaincart_core.slot import ShardKey
from plantaincart_core.tests.model import System
from plantaincart_core.tests.model_instance import Instance
from plantaincart_schema.generated.settings import LeaseSettings

INSTANCE_NAMES = ["i0", "i1", "i2", "i3", "i4"]
SHARDS = st.sampled_from([ShardKey("desk", 0), ShardKey("desk", 1)])
INSTANCES = st.sampled_from(INSTANCE_NAMES)
SERVERS = st.sampled_from([f"u{n}{letter}" for n in (0, 1) for letter in "abc"])
DURATIONS = st.sampled_from([0.1, 0.5, 1.3, 1.6, 1.8, 2.3, 4.7])
LEASES = LeaseSettings(poll_s=0.05, promise_ttl_s=2.0, outage_limit_s=2.5)
MAX_RECOVERY_S = 3.0
SHARD = ShardKey("desk", 0)


class OwnershipMachine(RuleBasedStateMachine):
    """Injects faults in any order; the system checks its invariants as it changes."""

    @initialize(seed=st.integers(0, 2**32 - 1))
    def begin(self, seed: int) -> None:
        self.system = System(LEASES, seed=seed)
        self.system.simulation.advance(2.2)

    def advance(self, duration_s: float) -> None:
        self.system.simulation.advance(duration_s)

    @rule(duration_s=DURATIONS)
    def wait(self, duration_s: float) -> None:
        self.advance(duration_s)

    @rule(long=st.sampled_from([0.0, 0.05, 0.3]), lost=st.sampled_from([0.0, 0.3]))
    def change_network(self, long: float, lost: float) -> None:
        self.system.network.slow_share = long
        self.system.network.lost_share = lost

    @rule(duration_s=DURATIONS)
    def stop_table(self, duration_s: float) -> None:
        self.system.table.down = True
        self.advance(duration_s)
        self.system.table.down = False

    @rule(name=INSTANCES | SERVERS, duration_s=DURATIONS)
    def pause(self, name: str, duration_s: float) -> None:
        process = self.system.find_process(name)
        process.paused = process.alive
        self.advance(duration_s)
        process.resume()

    @rule(name=INSTANCES | SERVERS, duration_s=st.just(0.0) | DURATIONS)
    def kill(self, name: str, duration_s: float) -> None:
        process = self.system.find_process(name)
        process.stop()
        self.advance(duration_s)
        process.start()

    @rule(
        shard=SHARDS,
        paused_s=st.just(0.0) | DURATIONS,
        cut_s=DURATIONS,
        reach=st.sampled_from(["none", "one", "successors", "all"]),
        new_successors=st.none() | st.permutations(INSTANCE_NAMES),
        restart=st.booleans(),
    )
    def cut_leader(
        self, shard, paused_s, cut_s, reach, new_successors, restart
    ) -> None:
        """Pause the leader, then cut it off from the table and some of its peers."""
        leader = self.system.find_leader(shard)
        if leader is None:
            return
        successors = leader.leaderships[shard].row.successors
        if new_successors:
            self.write_other_successors(leader, shard, new_successors)
        leader.paused = True
        self.system.table.unreachable_from.add(leader.name)
        self.advance(paused_s)
        reached = {"none": (), "one": successors[:1], "successors": successors}
        self.system.partition = {
            leader.name,
            *reached.get(reach, self.system.data_centres),
        }
        if reach == "successors":
            self.system.table.unreachable_from.update(successors)
        leader.resume()
        if restart and successors:
            self.system.instances[successors[0]].start()
        self.advance(cut_s)
        self.system.table.unreachable_from.clear()
        self.system.partition.clear()

    def write_other_successors(self, leader, shard, names) -> None:
        """Write other successors into the shard's row and lose the answer."""
        lost_share = self.system.network.lost_share
        self.system.network.lost_share = 1.0
        others = [name for name in names if name != leader.name]
        leader.change_successors(shard, tuple(others[:2]))
        self.advance(0.0025)
        self.system.network.lost_share = lost_share

    @rule(
        shard=SHARDS,
        slot=st.integers(0, 5),
        new_owner=st.integers(0, 2),
        frozen_s=st.just(0.0) | DURATIONS,
        new_leader=st.none() | INSTANCES,
        isolated_s=st.just(0.0) | DURATIONS,
    )
    def move(self, shard, slot, new_owner, frozen_s, new_leader, isolated_s) -> None:
        """Move a slot while its owner is frozen and its leader changes."""
        leader = self.system.find_leader(shard)
        if leader is None or leader.paused:
            return
        leadership = leader.leaderships[shard]
        owner = self.system.servers[leadership.owners[slot]]
        leadership.target_owners[slot] = self.system.upstreams[shard][new_owner]
        if isolated_s:
            self.system.table.unreachable_from.add(leader.name)
            self.system.partition.add(leader.name)
            self.advance(isolated_s)
        owner.paused = frozen_s > 0
        if new_leader:
            leader.hand_over(shard, self.system.instances[new_leader])
        self.advance(frozen_s)
        self.system.table.unreachable_from.clear()
        self.system.partition.clear()
        owner.resume()

    @rule()
    def heal(self) -> None:
        self.system.heal()
        self.advance(LEASES.outage_limit_s + 4.0)
        slots_served = [
            self.system.is_served(s, n) for s in self.system.upstreams for n in range(6)
        ]
        assert all(slots_served)


def test_one_leader_and_one_owner_under_random_faults() -> None:
    run_state_machine_as_test(
        OwnershipMachine,
        settings=settings(
            derandomize=True, deadline=None, max_examples=25, stateful_step_count=16
        ),
    )


def find_leader(system: System) -> Instance:
    leader = system.find_leader(SHARD)
    assert leader is not None
    return leader


def stop_leader(system: System) -> None:
    find_leader(system).stop()


def pause_leader(system: System) -> None:
    find_leader(system).paused = True


def isolate_leader(system: System) -> None:
    system.table.unreachable_from.add(find_leader(system).name)
    system.partition.add(find_leader(system).name)


def cut_leader_from_table(system: System) -> None:
    system.table.unreachable_from.add(find_leader(system).name)


def stop_table(system: System) -> None:
    system.table.down = True


def stop_upstream(system: System) -> None:
    system.servers["u0a"].stop()


def freeze_upstream(system: System) -> None:
    system.servers["u0a"].paused = True


def stop_data_centre(system: System) -> None:
    stopped = system.data_centres[find_leader(system).name]
    for name in [
        name for name, other in system.data_centres.items() if other == stopped
    ]:
        system.instances[name].stop()
    stop_upstream(system)


def hand_over(system: System) -> None:
    leader = find_leader(system)
    target = next(peer for peer in system.instances.values() if peer is not leader)
    leader.hand_over(SHARD, target)


def measure_recovery(fault: Callable[[System], None], phase_s: float) -> float:
    """Measure the seconds from a fault until all slots stay served."""
    system = System(LeaseSettings(), seed=int(phase_s * 1000))
    system.simulation.advance(2.2 + phase_s)
    assert system.list_unserved() == []
    fault_at = last_unserved_at = system.simulation.time
    fault(system)
    for _ in range(200):
        system.simulation.advance(0.02)
        if system.list_unserved():
            last_unserved_at = system.simulation.time
    return last_unserved_at - fault_at


@pytest.mark.parametrize(
    ("fault", "bound_s"),
    [
        (stop_leader, MAX_RECOVERY_S),
        (pause_leader, MAX_RECOVERY_S),
        (isolate_leader, MAX_RECOVERY_S),
        (cut_leader_from_table, 0.0),
        (stop_table, 0.0),
        (stop_upstream, MAX_RECOVERY_S),
        (freeze_upstream, MAX_RECOVERY_S),
        (stop_data_centre, MAX_RECOVERY_S),
        (hand_over, 0.5),
    ],
)
def test_slots_are_served_again_within_the_bound(fault, bound_s: float) -> None:
    assert max(measure_recovery(fault, phase / 15) for phase in range(6)) <= bound_s
