"""
State machine test of terms, owners and grants with a store that is restored.

Coordinators take over, lose answers and are killed while the store goes back to earlier
copies and hands out versions again. The model makes the calls that a coordinator makes;
epochs, versions and claims are decided by `plantaincart_core.era`.
"""

from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from plantaincart_core.era import (
    is_epoch_of_era,
    join_version,
    may_claim_term,
    next_epoch,
    split_version,
)

# Times in tenths of a second, as in `CoordinationSettings`.
UNCHANGED, CONFIRMED, HOLD, MARGIN = 12, 20, 30, 7
SEQUENCE_BITS = 24
KEYS = ("k0",)
UPSTREAMS = ("u0", "u1")
PROCESSES = ("p0", "p1")


class ConflictError(Exception):
    """A condition of a write isn't met."""


class UnansweredError(Exception):
    """The store doesn't answer."""


class ModelStore:
    """Rows with versions from one counter, which goes back with a restoration."""

    def __init__(self):
        self.era, self.counter = 0, 0
        self.rows = {}
        self.copies = [(0, {})]
        self.available = True

    def write(self, conditions, rows):
        if not self.available:
            raise UnansweredError
        for key, counter in conditions.items():
            if self.rows.get(key, (0, None))[0] != counter:
                raise ConflictError(key)
        self.counter += 1
        for key, value in rows.items():
            self.rows[key] = (self.counter, value)
        return self.counter

    def restore(self, number):
        """Go back to one of the latest copies, counted from the end."""
        self.counter, rows = self.copies[-1 - min(number, len(self.copies) - 1)]
        self.rows = dict(rows)
        self.era += 1


@dataclass
class ModelUpstream:
    """The grants that an upstream has accepted, by key."""

    until: dict = field(default_factory=dict)
    token: dict = field(default_factory=dict)
    highest: dict = field(default_factory=dict)
    reachable: bool = True

    def grant(self, key, token, until):
        if token < self.highest.get(key, 0):
            return False
        self.highest[key] = self.token[key] = token
        self.until[key] = until
        return True

    def release(self, key, token):
        self.highest[key] = max(token, self.highest.get(key, 0))
        self.until.pop(key, None)


@dataclass
class Process:
    """What one process knows; as the coordinator if it has an epoch."""

    name: str
    alive: bool = True
    era: int = 0
    row_version: int = -1
    row_changed_at: int = 0
    known_epoch: int = 0
    epoch: int | None = None
    term_era: int = 0
    term_counter: int = 0
    owner_counter: int = 0
    confirmed_at: int = 0
    sequence: int = 0
    blocked_until: int = 0
    owners: dict = field(default_factory=dict)
    tokens: dict = field(default_factory=dict)
    may_hold_until: dict = field(default_factory=dict)

    def next_token(self):
        self.sequence += 1
        return (self.epoch << SEQUENCE_BITS) + self.sequence


class EraMachine(RuleBasedStateMachine):
    """Terms of two processes over a store that is restored at any time."""

    def __init__(self):
        super().__init__()
        self.now = 0
        self.store = ModelStore()
        self.upstreams = {name: ModelUpstream() for name in UPSTREAMS}
        self.processes = {name: Process(name) for name in PROCESSES}
        self.granted = []

    @initialize()
    def start(self):
        self.look_for_coordinator("p0")
        self.move_key("p0", KEYS[0], UPSTREAMS[0])
        self.copy_store()

    @rule(duration=st.sampled_from([1, 5, UNCHANGED, CONFIRMED, HOLD]))
    def pass_time(self, duration):
        self.now += duration

    @rule()
    def copy_store(self):
        self.store.copies.append((self.store.counter, dict(self.store.rows)))

    @rule(number=st.integers(0, 2))
    def restore_store(self, number):
        self.store.restore(number)

    @rule(available=st.booleans())
    def change_store(self, available):
        self.store.available = available

    @rule(name=st.sampled_from(UPSTREAMS), reachable=st.booleans())
    def change_upstream(self, name, reachable):
        self.upstreams[name].reachable = reachable

    @rule(name=st.sampled_from(PROCESSES))
    def restart_process(self, name):
        self.processes[name] = Process(name, row_changed_at=self.now)

    @rule(name=st.sampled_from(PROCESSES))
    def hear_of_coordinator(self, name):
        epochs = [process.epoch or 0 for process in self.processes.values()]
        process = self.processes[name]
        process.known_epoch = max(process.known_epoch, *epochs)

    @rule(destination=st.sampled_from(UPSTREAMS), restored=st.booleans())
    def move_by_coordinators(self, destination, restored):
        """Move the key; the store may lose that at once."""
        if restored:
            self.copy_store()
        for name in PROCESSES:
            self.move_key(name, KEYS[0], destination)
        if restored:
            self.store.restore(0)

    @rule(name=st.sampled_from(PROCESSES), restarted=st.booleans())
    def take_over(self, name, restarted):
        """Let the other processes be replaced or cut off until this one claims."""
        for other in PROCESSES:
            if restarted and other != name:
                self.restart_process(other)
        self.look_for_coordinator(name)
        self.now += UNCHANGED
        self.look_for_coordinator(name)

    @rule()
    def renew_grants(self):
        for name in PROCESSES:
            self.renew_grant(name, KEYS[0])

    @rule(name=st.sampled_from(PROCESSES))
    def look_for_coordinator(self, name):
        process = self.processes[name]
        if process.epoch is not None or not self.store.available:
            return
        self._read_row(process)
        counter, row = self.store.rows.get("term", (0, None))
        claimable = may_claim_term(
            has_ended=row is None or row["holder"] == name,
            is_era_claimed=self._is_era_claimed(),
            unchanged_s=self.now - process.row_changed_at,
            required_s=UNCHANGED,
        )
        if claimable:
            self._claim(process, counter, row["epoch"] if row else 0)

    def _read_row(self, process):
        counter, _ = self.store.rows.get("term", (0, None))
        version = join_version(self.store.era, counter)
        if version != process.row_version or self.store.era > process.era:
            process.row_version, process.row_changed_at = version, self.now
        process.era = self.store.era

    def _is_era_claimed(self):
        return self.store.era == 0 or f"era-{self.store.era}" in self.store.rows

    def _make_claim(self, process, counter, epoch):
        """Write the term row and the rows that mark the eras as claimed."""
        era = self.store.era
        markers = [f"era-{number}" for number in range(1, era + 1)]
        markers = [key for key in markers if key not in self.store.rows]
        conditions = {"term": counter, f"era-{era + 1}": 0, **dict.fromkeys(markers, 0)}
        row = {"holder": process.name, "epoch": epoch}
        rows = {"term": row, **dict.fromkeys(markers, True)}
        process.term_counter = self.store.write(conditions, rows)
        process.epoch, process.term_era, process.era = epoch, era, era
        process.sequence, process.confirmed_at = 0, self.now

    def _claim(self, process, counter, stored_epoch):
        epoch = next_epoch(self.store.era, process.known_epoch, stored_epoch)
        self._make_claim(process, counter, epoch)
        process.owner_counter, row = self.store.rows.get("owners", (0, None))
        expires_at = process.row_changed_at + CONFIRMED + HOLD + MARGIN
        process.owners, process.tokens = {}, {}
        process.may_hold_until = dict.fromkeys(UPSTREAMS, expires_at)
        process.blocked_until = self.now
        if row is not None:
            process.owners = dict(row["owners"])
            process.tokens = {key: process.next_token() for key in process.owners}
        is_complete = row is not None and is_epoch_of_era(row["epoch"], process.era)
        if process.era and not is_complete:
            process.blocked_until = expires_at

    @rule(name=st.sampled_from(PROCESSES), answered=st.booleans())
    def renew_term(self, name, answered):
        process = self.processes[name]
        if process.epoch is None:
            return
        row = {"holder": name, "epoch": process.epoch}
        era = process.term_era
        conditions = {"term": process.term_counter, f"era-{era + 1}": 0}
        try:
            counter = self.store.write(conditions, {"term": row})
        except UnansweredError:
            self._end_if_expired(process)
            return
        except ConflictError:
            self._reread(process)
            return
        if answered and self.store.era == era:
            process.term_counter, process.confirmed_at = counter, self.now
        else:
            self._reread(process)

    def _reread(self, process):
        process.era = self.store.era
        counter, row = self.store.rows.get("term", (0, None))
        if self.store.era > process.term_era and not self._is_era_claimed():
            if self.now - process.confirmed_at >= UNCHANGED:
                process.epoch = None
                return
            epoch = next_epoch(
                self.store.era, process.epoch, row["epoch"] if row else 0
            )
            self._make_claim(process, counter, epoch)
            process.owner_counter = None
            return
        if row is None or (row["holder"], row["epoch"]) != (
            process.name,
            process.epoch,
        ):
            process.epoch = None
            return
        process.term_counter, process.confirmed_at = counter, self.now

    def _end_if_expired(self, process):
        if process.epoch is not None and self.now - process.confirmed_at >= CONFIRMED:
            process.epoch = None

    def move_key(self, name, key, destination):
        process = self.processes[name]
        self._end_if_expired(process)
        if process.epoch is None or self.now < process.blocked_until:
            return
        source = process.owners.get(key)
        if not self._can_be_freed(process, source) or source == destination:
            return
        if not self._write_owners(process, {**process.owners, key: destination}):
            return
        token = process.next_token()
        if source is not None and self.upstreams[source].reachable:
            self.upstreams[source].release(key, token)
        process.owners[key], process.tokens[key] = destination, token
        self._grant(process, key)

    def _can_be_freed(self, process, source):
        if source is None or self.upstreams[source].reachable:
            return True
        return self.now > process.may_hold_until.get(source, 0)

    def _write_owners(self, process, owners):
        counter, _ = self.store.rows.get("owners", (0, None))
        if process.owner_counter is None:
            process.owner_counter = counter
        era = process.term_era
        conditions = {"owners": process.owner_counter, f"era-{era + 1}": 0}
        row = {"owners": dict(owners), "epoch": process.epoch}
        try:
            process.owner_counter = self.store.write(conditions, {"owners": row})
        except UnansweredError:
            return False
        except ConflictError:
            process.epoch = None
            return False
        if split_version(join_version(self.store.era, 1))[0] != era:
            # The write took place in another era.
            self._reread(process)
            return False
        return True

    def renew_grant(self, name, key):
        process = self.processes[name]
        self._end_if_expired(process)
        if process.epoch is None or self.now < process.blocked_until:
            return
        if key in process.owners:
            self._grant(process, key)

    def _grant(self, process, key):
        name = process.owners[key]
        upstream = self.upstreams[name]
        if not upstream.reachable:
            return
        token = process.tokens[key]
        if upstream.grant(key, token, self.now + HOLD):
            process.may_hold_until[name] = self.now + HOLD + MARGIN
            self.granted.append((key, name, token))

    @invariant()
    def no_key_has_two_owners(self):
        for key in KEYS:
            owners = [
                name
                for name, upstream in self.upstreams.items()
                if upstream.until.get(key, 0) > self.now
            ]
            assert len(owners) <= 1, (key, owners)

    @invariant()
    def tokens_rise(self):
        highest = {}
        for key, name, token in self.granted:
            for other in UPSTREAMS:
                if other != name:
                    assert token > highest.get((key, other), 0), (key, name, token)
            highest[key, name] = max(token, highest.get((key, name), 0))


EraMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=50, deadline=None
)
TestEraMachine = EraMachine.TestCase


def test_tokens_rise_after_a_takeover_that_the_store_has_lost():
    """All processes end with it, so nobody knows the epoch of the lost term."""
    machine = EraMachine()
    machine.start()
    machine.take_over("p1", restarted=True)
    machine.move_key("p1", KEYS[0], UPSTREAMS[1])
    machine.restore_store(0)
    machine.restart_process("p1")
    machine.take_over("p0", restarted=True)
    for _ in range(CONFIRMED + HOLD + MARGIN):
        machine.pass_time(1)
        machine.renew_term("p0", answered=True)
    machine.renew_grants()
    assert machine.granted[-1][1] == UPSTREAMS[0]
    machine.tokens_rise()
    machine.no_key_has_two_owners()
