from dataclasses import dataclass, field
from functools import partial

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from plantaincart_core.apply import (
    REPEAT_WINDOW_S,
    ApplyRequest,
    ApplyState,
    Proposal,
    WriteIdentity,
    find_written_version,
    propose_version,
)
from plantaincart_core.configuration import (
    ConfigurationTracker,
    apply_sheet,
    describe_changes,
)
from plantaincart_core.sheet import parse_sheet
from plantaincart_core.tests.sample import configure
from plantaincart_schema.generated.configuration import Configuration

SHEETS = [
    f"kind,name,action\ndata_centre,{name},{action}\n"
    for name in ("north", "south")
    for action in ("in", "out")
]
FIRST = configure("north", "south")


def request_sheet(text: str, operator: str, expect: int | None = None) -> ApplyRequest:
    sheet = parse_sheet(text, "day")

    def build(current: Configuration, write_id: str) -> Configuration:
        return apply_sheet(current, sheet, write_id, operator)

    return ApplyRequest(
        kind="sheet",
        content=text.encode(),
        build=build,
        operator=operator,
        expect_version=expect,
    )


@dataclass
class Operator:
    name: str
    request: ApplyRequest | None = None
    proposal: Proposal | None = None
    base: Configuration = FIRST
    in_flight: list[Proposal] = field(default_factory=list)


class ConfigurationVersions(RuleBasedStateMachine):
    """Operators apply sheets concurrently; answers get lost and pushes come late."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.history = {FIRST.version: FIRST}
        self.current = FIRST
        self.operators = [Operator("anna"), Operator("bertil")]
        self.trackers = [ConfigurationTracker() for _ in range(3)]
        self.seen_versions = [0, 0, 0]
        self.acknowledged: dict[int, Configuration] = {}

    def execute(self, proposal: Proposal) -> bool:
        written = proposal.configuration
        if self.current.version != written.version - 1:
            return False
        self.current = self.history[written.version] = written
        return True

    def finish(self, operator: Operator, committed: bool) -> None:
        proposal = operator.proposal
        assert proposal is not None
        history_entry = self.history.get(proposal.configuration.version)
        accepted = find_written_version(proposal, history_entry)
        assert accepted is not None or not committed
        if accepted is not None:
            self.acknowledged[accepted.version] = accepted
        elif history_entry is not None:
            assert self.current.version > operator.base.version
        operator.proposal = None

    @rule(
        index=st.integers(0, 1),
        sheet=st.sampled_from(SHEETS),
        expect=st.sampled_from([None, "base", "current"]),
    )
    def begin(self, index: int, sheet: str, expect: str | None) -> None:
        operator = self.operators[index]
        versions = {"base": operator.base.version, "current": self.current.version}
        expected = versions[expect] if expect else None
        operator.request = request_sheet(sheet, operator.name, expected)
        self.propose(operator)

    def propose(self, operator: Operator) -> None:
        request = operator.request
        assert request is not None
        entries = list(self.history.values())
        proposal = propose_version(request, self.current, entries, self.now)
        operator.proposal = None
        match proposal.state:
            case ApplyState.NEW:
                assert request.expect_version in (None, self.current.version)
                operator.proposal = proposal
                operator.base = self.current
            case ApplyState.CONFLICT:
                assert proposal.configuration == self.current
                self.check_conflict_changes(request, proposal)
            case ApplyState.REPEATED:
                assert self.history[proposal.configuration.version].write_id
                self.acknowledged[proposal.configuration.version] = (
                    proposal.configuration
                )
            case ApplyState.UNCHANGED:
                built = request.build(self.current, "")
                assert describe_changes(self.current, built) == []

    def check_conflict_changes(self, request: ApplyRequest, proposal: Proposal) -> None:
        changes = list(proposal.changes)
        bases = self.history.values()
        assert changes in [describe_changes(base, self.current) for base in bases]

    @rule(index=st.integers(0, 1), lost=st.booleans(), late=st.booleans())
    def commit(self, index: int, lost: bool, late: bool) -> None:
        operator = self.operators[index]
        if operator.proposal is None:
            return
        if late:
            operator.in_flight.append(operator.proposal)
            return
        committed = self.execute(operator.proposal)
        if not lost:
            self.finish(operator, committed)

    @rule(index=st.integers(0, 1))
    def abandon(self, index: int) -> None:
        self.operators[index].proposal = None

    @rule(index=st.integers(0, 1))
    def run_late_commit(self, index: int) -> None:
        if self.operators[index].in_flight:
            self.execute(self.operators[index].in_flight.pop(0))

    @precondition(lambda self: any(item.request for item in self.operators))
    @rule(index=st.integers(0, 1))
    def repeat(self, index: int) -> None:
        if self.operators[index].request is not None:
            self.propose(self.operators[index])

    @rule(seconds=st.sampled_from([1, REPEAT_WINDOW_S + 1]))
    def wait(self, seconds: int) -> None:
        self.now += seconds

    @rule(index=st.integers(0, 2), data=st.data())
    def push(self, index: int, data: st.DataObject) -> None:
        version = data.draw(st.sampled_from(sorted(self.history)))
        self.trackers[index].adopt_if_newer(self.history[version])

    @rule(sender=st.integers(0, 2), receiver=st.integers(0, 2))
    def exchange(self, sender: int, receiver: int) -> None:
        self.trackers[receiver].adopt_if_newer(self.trackers[sender].current)

    @invariant()
    def acknowledged_versions_are_kept(self) -> None:
        for version, configuration in self.acknowledged.items():
            assert self.history[version] == configuration
            assert self.current.version >= version

    @invariant()
    def each_apply_has_one_version(self) -> None:
        identities = [
            (identity.kind, identity.digest, identity.base)
            for item in self.history.values()
            if (identity := WriteIdentity.parse(item.write_id)) is not None
        ]
        assert len(identities) == len(set(identities))

    @invariant()
    def versions_of_instances_never_decrease(self) -> None:
        for index, tracker in enumerate(self.trackers):
            assert tracker.current.version >= self.seen_versions[index]
            assert tracker.current.version in (0, *self.history)
            self.seen_versions[index] = tracker.current.version


TestConfigurationVersions = ConfigurationVersions.TestCase
TestConfigurationVersions.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)


def test_lost_answer_then_change_by_another_operator() -> None:
    out = request_sheet(SHEETS[1], "anna")
    propose = partial(propose_version, now=1000.0)
    second = propose(out, FIRST, [FIRST]).configuration
    assert propose(out, second, [FIRST, second]).state is ApplyState.REPEATED
    back = request_sheet(SHEETS[0], "bertil")
    third = propose(back, second, [FIRST, second]).configuration
    history = [FIRST, second, third]
    repeated = propose(out, third, history)
    assert repeated.state is ApplyState.CONFLICT
    assert repeated.changes == ("data centre north: in_service False -> True",)
    expecting = request_sheet(SHEETS[1], "anna", third.version)
    assert propose(expecting, third, history).state is ApplyState.NEW
