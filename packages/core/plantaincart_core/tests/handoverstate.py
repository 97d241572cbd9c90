"""State of the model of hand-overs between coordinators."""

from collections.abc import Iterator
from copy import copy
from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple, Self, TypeVar

__all__ = ["HandoverRules", "Instance", "Key", "Row", "State", "Term", "Upstream"]


@dataclass(frozen=True)
class HandoverRules:
    """Rules of the hand-over; each is false in code that had the fault."""

    electors_needed: bool = True
    only_writes_confirm: bool = True
    restarted_upstream_counts: bool = True
    earlier_grants_count_after_restart: bool = True
    entries_checked: bool = True
    long_grants_known: bool = True
    long_grants_passed_on: bool = True
    keys_stay_until_earlier_terms_end: bool = True


class Row(NamedTuple):
    """The coordinator's row in the store; `clock` is that of its last answer."""

    version: int
    epoch: int
    holder: str
    electors: tuple[str, ...]
    earlier_ended: bool
    clock: int


class Key(NamedTuple):
    """The owner's row in the store."""

    owner: str
    born: int
    token: tuple[int, int]


class Upstream(NamedTuple):
    """Process of an upstream: its fence, until when it holds the key, its entry."""

    born: int = 0
    token: tuple[int, int] = (0, 0)
    held_until: float = -inf
    entry: int = 0


@dataclass
class Term:
    """What a coordinator knows."""

    row: Row
    key: Key
    confirmed_at: int
    replaced: Row | None
    renewed_at: int
    knows_long_grants: bool
    is_prolonged: bool = False
    wants_move: bool = False
    answered_at: int = 0
    reports: dict[str, tuple[int, int, int]] = field(default_factory=dict)
    followed: dict[str, tuple[int, int]] = field(default_factory=dict)
    processes: dict[str, int] = field(default_factory=dict)
    left_at: dict[str, int] = field(default_factory=dict)
    proven: dict[tuple[str, int], int] = field(default_factory=dict)
    unproven: dict[str, int] = field(default_factory=dict)


@dataclass
class Instance:
    """An instance's process."""

    process: int = 0
    is_up: bool = True
    store_answered_at: int = 0
    version: int = -1
    row_epoch: int = 0
    changed_at: int = 0
    notice_at: int = 0
    heard_epoch: int = 0
    heard_at: int = 0
    earlier_heard_at: int = 0
    knows_long_grants: bool = False
    born: dict[str, int] = field(default_factory=dict)
    term: Term | None = None

    @property
    def known_epoch(self) -> int:
        """Latest epoch of which the process knows."""
        own = 0 if self.term is None else self.term.row.epoch
        return max(self.row_epoch, self.heard_epoch, own)


Owner = TypeVar("Owner", Term, Instance)


@dataclass
class State:
    """Whole system at a tick; `blocks` are faults of links: until, kind, pairs."""

    rules: HandoverRules
    now: int
    row: Row
    key: Key
    instances: dict[str, Instance]
    upstreams: dict[str, Upstream]
    blocks: tuple[tuple[float, str, frozenset[tuple[str, str]]], ...] = ()
    top_token: tuple[int, int] = (1, 1)

    def copy(self) -> Self:
        """Copy all that a tick changes."""
        new = copy(self)
        new.upstreams = dict(self.upstreams)
        new.instances = {}
        for name, instance in self.instances.items():
            new.instances[name] = _copy(instance)
            if instance.term is not None:
                new.instances[name].term = _copy(instance.term)
        return new

    def make_key(self) -> tuple[object, ...]:
        """Return what tells apart the states of a tick."""
        key: list[object] = [self.row, self.key, self.blocks]
        key.extend(self.upstreams.values())
        for instance in self.instances.values():
            key.extend(_list_values(instance))
            if instance.term is not None:
                key.extend(_list_values(instance.term))
        return tuple(key)

    def reaches(self, source: str, target: str, kind: str = "cut") -> bool:
        """Whether no fault of a kind blocks a link."""
        if not self.blocks:
            return True
        link = (min(source, target), max(source, target))
        return not any(
            link in links
            for until, faulty, links in self.blocks
            if faulty == kind and until > self.now
        )

    def list_terms(self) -> list[tuple[str, Instance, Term]]:
        """List the coordinators in the order of their epochs."""
        found = [
            (name, instance, instance.term)
            for name, instance in self.instances.items()
            if instance.term is not None
        ]
        return sorted(found, key=lambda entry: entry[2].row.epoch)

    def block(self, links: str, kind: str = "cut", ticks: float = inf) -> None:
        """Block links, such as `a-b b-store`, for a time."""
        pairs = (link.split("-") for link in links.split())
        blocked = frozenset((min(pair), max(pair)) for pair in pairs)
        self.blocks += ((self.now + 1 + ticks, kind, blocked),)


def _copy(owner: Owner) -> Owner:
    new = object.__new__(type(owner))
    for name, value in vars(owner).items():
        new.__dict__[name] = value.copy() if type(value) is dict else value
    return new


def _list_values(owner: Instance | Term) -> Iterator[object]:
    for value in vars(owner).values():
        if type(value) is dict:
            yield tuple(value.items())
        else:
            yield value is None if type(value) is Term else value
