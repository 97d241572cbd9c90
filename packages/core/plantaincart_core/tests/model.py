"""Model of instances, upstreams and a table, with invariants on their state."""

from collections import Counter
from random import Random

from plantaincart_core.membership import Peer
from plantaincart_core.slot import ShardKey
from plantaincart_core.tests.model_grant import ShardRow, Upstream
from plantaincart_core.tests.model_instance import Instance
from plantaincart_core.tests.simulation import Network, Process, Simulation, Table
from plantaincart_schema.generated.settings import LeaseSettings

SLOTS = 6


class System:
    """
    Simulated system that checks its invariants as it changes.

    The invariants are that each shard has at most one leader and each slot at most
    one owner. `partition` holds the names of the instances on one side of a network
    partition.
    """

    def __init__(self, leases: LeaseSettings, drift: float = 0.035, seed: int = 1):
        self.leases = leases
        self.simulation = Simulation()
        self.network = Network(Random(seed))
        self.table = Table(self.simulation, self.network)
        self.arrivals: dict[tuple[str, int, str, int], float] = {}
        self.partition: set[str] = set()
        self.data_centres = {"i0": "x", "i1": "x", "i2": "y", "i3": "y", "i4": "z"}
        signs = (0, 1, -1, 1, -1)
        self.instances = {
            name: Instance(self, name, 1 + drift * sign, 10.0 * number)
            for number, (name, sign) in enumerate(
                zip(self.data_centres, signs, strict=True)
            )
        }
        self.upstreams: dict[ShardKey, list[str]] = {}
        self.servers: dict[str, Upstream] = {}
        for number in range(2):
            self.add_shard(ShardKey("desk", number), drift)
        for process in [*self.servers.values(), *self.instances.values()]:
            process.start()

    def add_shard(self, shard: ShardKey, drift: float) -> None:
        names = [f"u{shard.shard}{letter}" for letter in "abc"]
        for number, name in enumerate(names):
            rate = 1 + drift * (number - 1)
            self.servers[name] = Upstream(self.simulation, name, rate, 7.0 * number)
        self.upstreams[shard] = names
        owners = tuple((slot, names[slot % 3]) for slot in range(SLOTS))
        self.table.put({str(shard): ShardRow("", "", 0, (), owners)})

    def find_process(self, name: str) -> Process:
        return self.instances.get(name) or self.servers[name]

    def list_peers(self) -> list[Peer]:
        return [
            Peer(name=name, incarnation="", data_centre=data_centre, host="", port=0)
            for name, data_centre in self.data_centres.items()
            if self.instances[name].alive and not self.instances[name].paused
        ]

    def is_connected(self, name: str, other: str) -> bool:
        return (name in self.partition) == (other in self.partition)

    def call_upstream(
        self, caller: Instance, name: str, connection: int, request, receive
    ) -> None:
        """Send a request; requests on one connection arrive in order."""
        server = self.servers[name]
        start_count = caller.start_count
        key = (caller.name, start_count, name, connection)
        arrival = max(
            self.arrivals.get(key, 0.0),
            self.simulation.time + self.network.draw_delay(),
        )
        self.arrivals[key] = arrival

        def serve() -> None:
            answer = server.serve(request)
            self.check_owners()
            if caller.start_count == start_count:
                caller.after(self.network.draw_delay(), lambda: receive(answer))

        server.after(arrival - self.simulation.time, serve)

    def find_leader(self, shard: ShardKey) -> Instance | None:
        leading = [peer for peer in self.instances.values() if peer.is_leading(shard)]
        return leading[0] if leading else None

    def is_served(self, shard: ShardKey, slot: int) -> bool:
        leader = self.find_leader(shard)
        if leader is None or leader.paused:
            return False
        leadership = leader.leaderships[shard]
        name = leadership.owners[slot]
        server = self.servers[name]
        running = slot in server.owned() and not server.paused
        return running and leadership.grants[name].may_dispatch(slot, leader.now)

    def heal(self) -> None:
        self.table.down = False
        self.table.unreachable_from.clear()
        self.network.slow_share = self.network.lost_share = 0.0
        self.partition.clear()
        for process in [*self.servers.values(), *self.instances.values()]:
            process.resume()
            if not process.alive:
                process.start()

    def list_unserved(self) -> list[tuple[ShardKey, int]]:
        slots = [(shard, slot) for shard in self.upstreams for slot in range(SLOTS)]
        return [
            (shard, slot) for shard, slot in slots if not self.is_served(shard, slot)
        ]

    # Invariants

    def check_leaders(self) -> None:
        for shard in self.upstreams:
            leading = [p.name for p in self.instances.values() if p.is_leading(shard)]
            if len(leading) > 1:
                raise AssertionError(f"{shard} is led by {leading}")

    def check_owners(self) -> None:
        for shard, names in self.upstreams.items():
            owned = Counter(slot for n in names for slot in self.servers[n].owned())
            if any(owners > 1 for owners in owned.values()):
                owned_by = {n: sorted(self.servers[n].owned()) for n in names}
                raise AssertionError(f"{shard} has slots with two owners: {owned_by}")
