"""Model of upstreams and of a leader that grants slots and moves them."""

from collections import Counter
from dataclasses import dataclass, field, replace

from plantaincart_core.assignment import assign_slots
from plantaincart_core.clockreading import ClockReading
from plantaincart_core.fencingtoken import FencingToken
from plantaincart_core.grant import UpstreamGrants
from plantaincart_core.slot import ShardKey
from plantaincart_core.tests.simulation import Process
from plantaincart_schema.generated.settings import GrantSettings
from plantaincart_schema.generated.upstream import GrantAnswer, GrantRequest

GRANTS = GrantSettings()
SILENT_AFTER_S = 0.4


@dataclass(frozen=True)
class ShardRow:
    leader: str
    incarnation: str
    epoch: int
    successors: tuple[str, ...]
    owners: tuple[tuple[int, str], ...]


@dataclass
class Leadership:
    row: ShardRow
    grants: dict[str, UpstreamGrants]
    target_owners: dict[int, str]
    last_answer_at: dict[str, float]
    connections: Counter[str] = field(default_factory=Counter)
    sequences: Counter[str] = field(default_factory=Counter)
    slots: dict[str, frozenset[int]] = field(default_factory=dict)

    @property
    def owners(self) -> dict[int, str]:
        return dict(self.row.owners)


class Upstream(Process):
    """Owns the slots of its latest grant; loses its fencing token when it restarts."""

    def start(self) -> None:
        super().start()
        self.fence = FencingToken(-1, -1)
        self.slots: frozenset[int] = frozenset()
        self.grant_expires_at_ms = -1

    @property
    def clock_ms(self) -> int:
        return int(self.now * 1000)

    def owned(self) -> frozenset[int]:
        is_valid = self.alive and self.clock_ms < self.grant_expires_at_ms
        return self.slots if is_valid else frozenset()

    def serve(self, request: GrantRequest | None) -> GrantAnswer:
        accepted = request is None or self._accept(request)
        return GrantAnswer(
            accepted=accepted,
            clock_ms=self.clock_ms,
            incarnation=str(self.start_count),
            epoch=self.fence.epoch,
            sequence=self.fence.sequence,
        )

    def _accept(self, request: GrantRequest) -> bool:
        fence = FencingToken(request.epoch, request.sequence)
        if fence < self.fence or request.expires_at_ms <= self.clock_ms:
            return False
        self.fence = fence
        self.slots = frozenset(request.slots)
        self.grant_expires_at_ms = request.expires_at_ms
        return True


class GrantingProcess(Process):
    """Grants slots to the upstreams of the shards that it leads, and moves slots."""

    def tick(self) -> None:
        for shard, leadership in list(self.leaderships.items()):
            if self.is_leading(shard):
                self.plan(shard, leadership)
                for name in leadership.grants:
                    self.grant(shard, leadership, name)

    def plan(self, shard: ShardKey, leadership: Leadership) -> None:
        live = {
            name: 1
            for name, last_answer_at in leadership.last_answer_at.items()
            if self.now - last_answer_at < SILENT_AFTER_S
        }
        owners = leadership.owners
        if not live.keys() >= set(leadership.target_owners.values()):
            leadership.target_owners = (
                assign_slots(sorted(owners), live, owners) or owners
            )
        ready = {
            slot: target
            for slot, target in leadership.target_owners.items()
            if target != owners[slot]
            and leadership.grants[owners[slot]].is_released(slot, self.now)
        }
        if ready and shard not in self.pending_writes:
            new_owners = tuple(sorted({**owners, **ready}.items()))
            self.write(shard, replace(leadership.row, owners=new_owners))

    def grant(self, shard: ShardKey, leadership: Leadership, name: str) -> None:
        grant = leadership.grants[name]
        request = None
        if grant.has_reading:
            request = self.prepare(shard, leadership, name)
        connection = leadership.connections[name]
        sent_at = self.now

        def receive(answer: GrantAnswer) -> None:
            if leadership.connections[name] != connection:
                return
            leadership.last_answer_at[name] = self.now
            reading = ClockReading(
                clock_ms=answer.clock_ms, sent_at=sent_at, received_at=self.now
            )
            if request is not None and answer.accepted:
                grant.record_accepted(request, answer)
            elif request is not None:
                grant.record_refused()
            grant.record_reading(reading, answer.incarnation)

        def expire() -> None:
            if leadership.last_answer_at[name] < sent_at:
                leadership.connections[name] += 1
                grant.discard_reading()

        self.system.call_upstream(self, name, connection, request, receive)
        self.after(GRANTS.timeout_s, expire)

    def prepare(self, shard: ShardKey, leadership: Leadership, name: str):
        unresolved = shard in self.pending_writes
        slots = frozenset(
            slot
            for slot, owner in leadership.owners.items()
            if owner == name and leadership.target_owners[slot] == name
            if not unresolved
            or dict(self.pending_writes[shard].row.owners)[slot] == name
        )
        if leadership.slots.get(name) != slots:
            leadership.slots[name] = slots
            leadership.sequences[name] += 1
        return leadership.grants[name].prepare(
            shard.service,
            leadership.row.epoch,
            leadership.sequences[name],
            slots,
            self.now,
            leadership_expires_at=self.leadership_ends_at(shard),
        )
