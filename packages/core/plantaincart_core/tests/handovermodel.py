"""
Model of the hand-over between coordinators, in ticks of half a second.

In a tick the instances use the store, report, check their terms, send notices, and
renew grants or move the key; then one may claim the term, and entries are read.
"""

from plantaincart_core.electorate import (
    choose_electors,
    find_followed_until,
    find_last_followed,
)
from plantaincart_core.tests.handoverstate import (
    HandoverRules,
    Instance,
    Key,
    Row,
    State,
    Term,
    Upstream,
)

__all__ = ["Handover", "HandoverError", "start_handover"]

INSTANCES, UPSTREAMS = ("a", "b", "c"), ("u0", "u1")
# Ticks. Grants hold for that long after the call was sent, with delays and margins.
CONFIRMED, UNCHANGED, FOLLOWED, OFFLINE = 4, 2, 3, 30
HOLD, LONG_HOLD, LONG_GRANT_SILENCE = 7, 21, 8
SETTLED, MEMBER, NOTICE_SILENCE, UNANSWERED, UNFOLLOWED = 4, 3, 2, 2, 2


class HandoverError(AssertionError):
    """A state that must not occur."""


class Handover(State):
    """System with the rules of the hand-over."""

    def begin_tick(self) -> list[str]:
        """Advance by a tick, all but claims; return the instances that may claim."""
        self.now += 1
        self.blocks = tuple(block for block in self.blocks if block[0] > self.now)
        for name, instance in self.instances.items():
            if instance.is_up and self.reaches(name, "store"):
                self._use_store(name, instance)
        for name, instance in self.instances.items():
            if instance.is_up:
                self._report(name, instance)
        for _, instance, term in self.list_terms():
            self._check_term(instance, term)
        for name, _, term in self.list_terms():
            self._notify(name, term)
        for name, instance, term in self.list_terms():
            if self.is_valid(name, term):
                self._place(name, instance, term)
        return [
            name
            for name, instance in self.instances.items()
            if instance.is_up
            and instance.term is None
            and instance.store_answered_at == self.now
            and self.reaches(name, "store", "refuse writes")
            and self.now - instance.notice_at >= NOTICE_SILENCE
            and self.now - instance.changed_at >= UNCHANGED
        ]

    def end_tick(self, claimant: str | None) -> None:
        """Let an instance claim the term, spread entries and check the state."""
        if claimant is not None:
            self._claim(claimant, self.instances[claimant])
        for instance in self.instances.values():
            if instance.is_up and instance.store_answered_at == self.now:
                for name, upstream in self.upstreams.items():
                    known = instance.born.get(name, 0)
                    instance.born[name] = max(known, upstream.entry)
        self._check()

    def is_valid(self, name: str, term: Term) -> bool:
        """Whether a coordinator may act."""
        return self.now < self._find_valid_until(name, term)

    def find_end(self, term: Term) -> float:
        """Return the tick by which a coordinator takes earlier terms for ended."""
        confirmed_until = term.renewed_at + CONFIRMED
        row = term.replaced
        if row is None:
            return float("-inf")
        if not self.rules.electors_needed:
            return confirmed_until
        if row.earlier_ended and row.holder in term.left_at:
            return term.left_at[row.holder]
        followed = find_last_followed(row.electors, term.left_at) + FOLLOWED
        return max(confirmed_until, min(followed, term.renewed_at + OFFLINE))

    def find_last_expiry(self, term: Term) -> float:
        """Return the tick by which it takes earlier grants for expired."""
        end = self.find_end(term)
        if self.rules.long_grants_known:
            row = term.replaced
            is_long = row is not None and end >= row.clock + LONG_GRANT_SILENCE
        else:
            is_long = term.knows_long_grants
        return end + (LONG_HOLD if is_long else HOLD)

    def restart(self, name: str, is_up: bool = True) -> None:
        """Kill an instance, and start it again if it is to be up."""
        self.instances[name] = Instance(
            process=self.instances[name].process + 1,
            is_up=is_up,
            store_answered_at=self.now,
            notice_at=self.now,
            earlier_heard_at=self.now,
        )

    def describe(self) -> str:
        """Return a line on the coordinators and owners."""
        words = [f"tick {self.now}: row {self.row.holder}/{self.row.epoch}"]
        for name, _, term in self.list_terms():
            valid = "valid" if self.is_valid(name, term) else "not valid"
            expiry = self.find_last_expiry(term)
            earlier = f", earlier grants expire at {expiry}" if expiry > 0 else ""
            words.append(f"{name}/{term.row.epoch} {valid}{earlier}")
        for name, upstream in self.upstreams.items():
            if upstream.held_until > self.now:
                words.append(f"{name}/{upstream.born} holds to {upstream.held_until}")
        return "; ".join(words)

    def _find_valid_until(self, name: str, term: Term) -> float:
        until: float = term.confirmed_at + CONFIRMED
        if not term.is_prolonged:
            return until
        offline_until = term.confirmed_at + OFFLINE
        if not self.rules.electors_needed:
            return offline_until
        return max(until, min(self._find_followed_until(name, term), offline_until))

    def _find_followed_until(self, name: str, term: Term) -> float:
        followed = {
            member: float(sent_at + FOLLOWED)
            for member, (process, sent_at) in term.followed.items()
            if term.processes.get(member) == process
        }
        return find_followed_until(term.row.electors, name, followed)

    def _use_store(self, name: str, instance: Instance) -> None:
        """Renew the row, or read it."""
        now, term = self.now, instance.term
        can_write = self.reaches(name, "store", "refuse writes")
        if term is not None and self.row.epoch != term.row.epoch:
            self._end_term(instance)
        elif term is not None and can_write:
            self.row = term.row = self._make_renewed_row(name, instance, term)
            self._confirm(term)
        elif term is not None and not self.rules.only_writes_confirm:
            self._confirm(term)
        instance.store_answered_at = now
        if self.row.version != instance.version:
            instance.version, instance.changed_at = self.row.version, now
        instance.row_epoch = self.row.epoch

    def _make_renewed_row(self, name: str, instance: Instance, term: Term) -> Row:
        row = term.row._replace(version=self.row.version + 1)
        row = row._replace(clock=self._find_clock(term, instance.store_answered_at))
        if self.find_end(term) > self.now:
            return row
        members = {name, *self._list_members(term)}
        electors = choose_electors(row.electors, members)
        return row._replace(electors=electors, earlier_ended=True)

    def _find_clock(self, term: Term, own: int) -> int:
        """Return the clock for the row, which tells of long grants until they end."""
        is_over = self.find_last_expiry(term) <= self.now
        if term.replaced is None or is_over or not self.rules.long_grants_passed_on:
            return own
        return min(own, term.replaced.clock)

    def _confirm(self, term: Term) -> None:
        term.confirmed_at, term.is_prolonged = self.now, False
        term.processes = {
            member: report[2] for member, report in self._list_members(term).items()
        }

    def _list_members(self, term: Term) -> dict[str, tuple[int, int, int]]:
        return {
            member: report
            for member, report in term.reports.items()
            if self.now - report[0] <= MEMBER
        }

    def _end_term(self, instance: Instance) -> None:
        assert instance.term is not None
        instance.heard_epoch = instance.known_epoch
        instance.heard_at = instance.earlier_heard_at = self.now
        instance.term = None

    def _report(self, name: str, instance: Instance) -> None:
        for other, _, term in self.list_terms():
            if other == name or not self.reaches(name, other):
                continue
            if term.row.epoch < instance.known_epoch:
                continue
            silence = self.now - instance.store_answered_at
            term.reports[name] = (self.now, silence, instance.process)
            if instance.heard_epoch == term.row.epoch:
                term.followed[name] = (instance.process, instance.heard_at)
                left_at = term.left_at.get(name, instance.earlier_heard_at)
                term.left_at[name] = min(left_at, instance.earlier_heard_at)

    def _check_term(self, instance: Instance, term: Term) -> None:
        silences = [
            self.now - reported_at + silence
            for reported_at, silence, _ in self._list_members(term).values()
        ]
        if instance.store_answered_at == self.now:
            if self.now >= term.confirmed_at + CONFIRMED:
                self._end_term(instance)
            return
        name = term.row.holder
        if 0 in silences:
            self._end_term(instance)
        elif self.now >= term.confirmed_at + CONFIRMED:
            term.is_prolonged = True
            unfollowed = self.now - max(
                self._find_followed_until(name, term), term.confirmed_at + CONFIRMED
            )
            is_unfollowed = self.rules.electors_needed and unfollowed > UNFOLLOWED
            if not silences or is_unfollowed or self.now > term.confirmed_at + OFFLINE:
                self._end_term(instance)

    def _notify(self, name: str, term: Term) -> None:
        for other, instance in self.instances.items():
            if other == name or not instance.is_up or not self.reaches(name, other):
                continue
            if term.row.epoch < instance.known_epoch:
                continue
            if instance.term is not None:
                self._end_term(instance)
            if term.row.epoch > instance.heard_epoch:
                earlier = max(instance.earlier_heard_at, instance.heard_at)
                instance.earlier_heard_at = earlier
                instance.heard_epoch = term.row.epoch
            instance.heard_at = instance.notice_at = self.now

    def grant(self, name: str, term: Term, hold: int) -> bool:
        """Grant the key to its owner; return whether the owner answered."""
        owner = term.key.owner
        if not self.reaches(name, owner):
            return False
        upstream, until = self.upstreams[owner], self.now + hold
        if term.key.token >= upstream.token:
            self.upstreams[owner] = upstream._replace(
                token=term.key.token, held_until=max(until, upstream.held_until)
            )
        if self.reaches(name, owner, "lose answers"):
            process = (owner, upstream.born)
            if self.rules.restarted_upstream_counts:
                term.proven[process] = until
            else:
                term.proven[owner, term.key.born] = until
            return True
        term.unproven[owner] = until
        return False

    def _place(self, name: str, instance: Instance, term: Term) -> None:
        """Renew the grant, or move the key."""
        owner = term.key.owner
        has_restarted = instance.born.get(owner, 0) > term.key.born
        is_silent = self.now - term.answered_at >= UNANSWERED
        if not (has_restarted or is_silent or term.wants_move):
            if term.key.token[0] < term.row.epoch:
                term.key = term.key._replace(token=(term.row.epoch, 1))
            if self.grant(name, term, HOLD):
                term.answered_at = self.now
            return
        others = [other for other in UPSTREAMS if other != owner]
        is_writable = self.reaches(name, "store", "refuse writes")
        is_writable &= instance.store_answered_at == self.now
        if not is_writable or not self.reaches(name, others[0]):
            return
        if self._is_released(name, term, instance, has_restarted):
            token = (term.row.epoch, max(term.key.token[1], 1) + 1)
            if token <= self.top_token:
                raise HandoverError(f"token {token} after {self.top_token}")
            born = instance.born.get(others[0], 0)
            self.top_token = token
            self.key = term.key = Key(others[0], born, token)
            term.answered_at, term.wants_move = self.now, False
            self.grant(name, term, HOLD)

    def _is_released(
        self, name: str, term: Term, instance: Instance, has_restarted: bool
    ) -> bool:
        """Whether the owner holds the key no more; ask it to release the key."""
        owner, rules = term.key.owner, self.rules
        if has_restarted and not rules.restarted_upstream_counts:
            return True
        have_ended = self.find_end(term) <= self.now
        first = term.key.born + 1 if has_restarted else 0
        own = [
            until
            for (name_of, born), until in term.proven.items()
            if name_of == owner and born >= first
        ]
        own.append(term.unproven.get(owner, 0))
        can_ask = self.reaches(name, owner)
        if can_ask:
            fence = max((term.row.epoch, 0), term.key.token)
            upstream = self.upstreams[owner]
            self.upstreams[owner] = upstream._replace(
                token=max(fence, upstream.token), held_until=self.now
            )
            if self.reaches(name, owner, "lose answers"):
                return have_ended or not rules.keys_stay_until_earlier_terms_end
        if max(own) > self.now:
            return False
        if has_restarted and not rules.earlier_grants_count_after_restart:
            return True
        return self.find_last_expiry(term) <= self.now

    def _claim(self, name: str, instance: Instance) -> None:
        now, replaced = self.now, self.row
        epoch = replaced.epoch + 1
        earlier = max(instance.earlier_heard_at, instance.heard_at)
        instance.earlier_heard_at = earlier
        row = Row(replaced.version + 1, epoch, name, replaced.electors, False, now)
        term = Term(
            row,
            self.key,
            now,
            replaced,
            instance.changed_at,
            instance.knows_long_grants,
            answered_at=now,
            left_at={name: earlier},
        )
        self.row = term.row = row._replace(clock=self._find_clock(term, now))
        instance.term, instance.row_epoch = term, epoch
        instance.version = row.version

    def _check(self) -> None:
        owners = [
            name
            for name, upstream in self.upstreams.items()
            if upstream.held_until > self.now
        ]
        if len(owners) > 1:
            raise HandoverError(f"two owners: {', '.join(owners)}")
        terms = self.list_terms()
        for number, (earlier, _, term) in enumerate(terms):
            for later, _, successor in terms[number + 1 :]:
                has_ended = self.find_end(successor) <= self.now
                if has_ended and self.is_valid(earlier, term):
                    raise HandoverError(
                        f"{earlier} is valid, {later} takes it for ended"
                    )


def start_handover(rules: HandoverRules) -> Handover:
    """Return a state in which `a` coordinates and `u0` holds the key."""
    row, key = Row(0, 1, "a", INSTANCES, True, 0), Key("u0", 0, (1, 1))
    state = Handover(
        rules,
        now=0,
        row=row,
        key=key,
        instances={name: Instance() for name in INSTANCES},
        upstreams={name: Upstream() for name in UPSTREAMS},
    )
    state.instances["a"].term = Term(row, key, 0, None, 0, False)
    for _ in range(SETTLED):
        state.begin_tick()
        state.end_tick(None)
    return state
