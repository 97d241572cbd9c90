"""Directory of the announced upstreams, with their readiness for new requests."""

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, replace

from plantaincart_core.leaving import LeavingUpstreams

__all__ = ["UpstreamDirectory", "UpstreamRecord"]

# By the platform's protocol, announcements that expired during an outage of the store
# are written again within two seconds after the outage.
REANNOUNCEMENT_GRACE_S = 2.0
# Seconds after which the store has removed the announcement of a process that has
# ended: three intervals of at most one second, and a margin.
STALE_ROW_LIFETIME_S = 4.0
# Seconds for which removed processes are remembered. The copies from which the store is
# restored are some seconds old.
DEPARTED_MEMORY_S = 60.0


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamRecord:
    """
    Announcement of an upstream.

    Parameters
    ----------
    id : str
        Identity, which the upstream also sends with its answers.
    born : int
        Start of its process in Unix milliseconds; a restarted process has none of the
        earlier grants.
    service : str
        Service that it belongs to.
    host : str
        IP address.
    port : int
        TCP port.
    data_centre : str
        Data centre in which it runs.
    slots : int
        Requests that it can run concurrently.
    ready : bool
        False while it is draining.
    warmup_left_s : float
        Remaining seconds of its warm-up at the time of the announcement.
    sequence : int
        Number of the announcement; it increases while the process lives.
    """

    id: str
    born: int
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    ready: bool
    warmup_left_s: float
    sequence: int = 0


class UpstreamDirectory:
    """
    Upstreams by identity, with removals deferred after an outage of the store.

    Attributes
    ----------
    closed_data_centres : frozenset of str
        Data centres that are out of service.
    leaving : LeavingUpstreams
        Upstreams that have said in their answers that they leave; these are kept when
        announcements are removed or return.

    Notes
    -----
    An unreadable announcement under the identity of an upstream was written by another
    writer. What is known of the upstream holds for as long as the upstream itself would
    take to write again, or to be removed.

    An announcement can expire merely because its renewal couldn't be stored. So an
    upstream whose announcement disappears during an outage of the store, or within
    `REANNOUNCEMENT_GRACE_S` after it, is kept until that time has passed.

    A store that was restored from a copy may announce processes that have ended or are
    draining as ready. What is known of a process is kept against older announcements;
    those of removed processes count once the store has had time to remove them.

    Examples
    --------
    >>> directory = UpstreamDirectory()
    >>> record = UpstreamRecord(
    ...     id="u1", born=5, service="desk", host="127.0.0.1", port=80,
    ...     data_centre="a", slots=2, ready=True, warmup_left_s=0.0)
    >>> directory.put(record, now=0.0)
    >>> directory.record_outage()
    >>> directory.record_recovery(now=9.0)
    >>> directory.remove("u1", now=9.5)
    >>> directory.get("u1") is record
    True
    >>> directory.expire(now=11.1)
    [UpstreamRecord(id='u1', born=5, service='desk', host='127.0.0.1', port=80, \
data_centre='a', slots=2, ready=True, warmup_left_s=0.0, sequence=0)]
    """

    def __init__(self) -> None:
        self._records: dict[str, UpstreamRecord] = {}
        self._warm_at: dict[str, float] = {}
        self._removal_due_at: dict[str, float] = {}
        self._held_until: dict[str, float] = {}
        self._displaced_born: dict[str, int] = {}
        self._departed: dict[str, tuple[int, float]] = {}
        self._doubted: dict[str, tuple[UpstreamRecord, float]] = {}
        self._store_unavailable = False
        self._removals_valid_at = 0.0
        self.closed_data_centres: frozenset[str] = frozenset()
        self.leaving = LeavingUpstreams()

    def __iter__(self) -> Iterator[UpstreamRecord]:
        return iter(self._records.values())

    def __len__(self) -> int:
        return len(self._records)

    def get(self, upstream: str) -> UpstreamRecord | None:
        """Return the record of an upstream, or None."""
        return self._records.get(upstream)

    def put(self, record: UpstreamRecord, now: float) -> None:
        """
        Add an upstream or replace its record.

        A record is ignored if its process has been restarted since, or displaced.

        Parameters
        ----------
        record : UpstreamRecord
            Announcement of the upstream.
        now : float
            Present time in seconds.
        """
        current = self._records.get(record.id)
        if current is not None and current.born > record.born:
            return
        if record.born <= self._displaced_born.get(record.id, -1):
            return
        self._doubted.pop(record.id, None)
        self._departed.pop(record.id, None)
        self._records[record.id] = record
        self._removal_due_at.pop(record.id, None)
        self._held_until.pop(record.id, None)
        self._warm_at[record.id] = now + record.warmup_left_s

    def remove(self, upstream: str, now: float) -> None:
        """
        Remove an upstream; the removal is deferred during and after an outage.

        Parameters
        ----------
        upstream : str
            Identity of the upstream.
        now : float
            Present time in seconds.
        """
        self._doubted.pop(upstream, None)
        if upstream not in self._records:
            return
        self._held_until.pop(upstream, None)
        if self._store_unavailable or now < self._removals_valid_at:
            self._removal_due_at.setdefault(upstream, max(now, self._removals_valid_at))
        else:
            self._discard(upstream, now)

    def hold(self, upstream: str, now: float) -> None:
        """
        Keep an upstream whose announcement has become unreadable.

        It is removed after `STALE_ROW_LIFETIME_S` unless it is announced again.

        Parameters
        ----------
        upstream : str
            Identity of the upstream, which needn't be known.
        now : float
            Present time in seconds.
        """
        if upstream in self._records:
            self._held_until.setdefault(upstream, now + STALE_ROW_LIFETIME_S)

    def is_held(self, upstream: str) -> bool:
        """Return whether the announcement of an upstream has become unreadable."""
        return upstream in self._held_until

    def displace(self, record: UpstreamRecord, now: float) -> None:
        """
        Remove an upstream whose address is now used by another process.

        Its announcement may remain in the store for some seconds and is ignored. A
        process that starts later under the same identity is accepted again.

        Parameters
        ----------
        record : UpstreamRecord
            The upstream.
        now : float
            Present time in seconds.
        """
        self._displaced_born[record.id] = record.born
        current = self._records.get(record.id)
        if current is not None and current.born == record.born:
            self._discard(record.id, now)

    def replace_all(
        self,
        records: Iterable[UpstreamRecord],
        now: float,
        unreadable: Collection[str] = (),
    ) -> None:
        """
        Replace the contents with a full list of the upstreams.

        Parameters
        ----------
        records : iterable of UpstreamRecord
            All announcements in the store.
        now : float
            Present time in seconds.
        unreadable : collection of str
            Identities whose announcements can't be read.
        """
        listed = set()
        for record in records:
            listed.add(record.id)
            doubted = self._doubted.get(record.id)
            if doubted is not None and doubted[0].born == record.born:
                continue
            current = self._records.get(record.id)
            if current is not None and current == replace(
                record, sequence=current.sequence
            ):
                # The remaining warm-up counts from the announcement read first.
                self._records[record.id] = record
                self._held_until.pop(record.id, None)
            else:
                self.put(record, now)
            self._removal_due_at.pop(record.id, None)
        for upstream in [name for name in self._records if name not in listed]:
            if upstream in unreadable:
                self.hold(upstream, now)
            else:
                self.remove(upstream, now)

    def replace_restored(
        self,
        records: Iterable[UpstreamRecord],
        now: float,
        unreadable: Collection[str] = (),
    ) -> None:
        """
        Replace the contents after the store was restored from a copy.

        Parameters
        ----------
        records : iterable of UpstreamRecord
            All announcements in the store; some may be older than what is known.
        now : float
            Present time in seconds.
        unreadable : collection of str
            Identities whose announcements can't be read.
        """
        self.defer_removals_until(now + REANNOUNCEMENT_GRACE_S)
        newest = []
        for record in records:
            current = self._records.get(record.id)
            born, departed_at = self._departed.get(record.id, (-1, float("-inf")))
            if current is not None:
                is_older = (record.born, record.sequence) < (
                    current.born,
                    current.sequence,
                )
                newest.append(current if is_older else record)
            elif record.born <= born and now - departed_at < DEPARTED_MEMORY_S:
                self._doubted[record.id] = (record, now + STALE_ROW_LIFETIME_S)
            else:
                newest.append(record)
        self.replace_all(newest, now, unreadable)

    def record_outage(self) -> None:
        """Record that the store is unavailable."""
        self._store_unavailable = True

    def record_recovery(self, now: float) -> None:
        """Record that the store is available again."""
        if self._store_unavailable:
            self._store_unavailable = False
            self._removals_valid_at = now + REANNOUNCEMENT_GRACE_S
            for upstream in self._removal_due_at:
                self._removal_due_at[upstream] = self._removals_valid_at
            for upstream in self._held_until:
                self._held_until[upstream] = now + STALE_ROW_LIFETIME_S

    def removal_delay_s(self, now: float) -> float:
        """Return the remaining seconds for which removals are deferred."""
        return max(0.0, self._removals_valid_at - now)

    def defer_removals_until(self, until: float) -> None:
        """
        Defer removals because another instance has observed an outage of the store.

        Parameters
        ----------
        until : float
            Time in seconds until which the other instance defers removals.
        """
        self._removals_valid_at = max(self._removals_valid_at, until)

    def expire(self, now: float) -> list[UpstreamRecord]:
        """
        Carry out the deferred removals that are due.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list of UpstreamRecord
            Records of the removed upstreams.
        """
        if self._store_unavailable:
            return []
        for record, accepted_at in list(self._doubted.values()):
            if accepted_at <= now:
                self.put(record, now)
        for upstream, held_until in list(self._held_until.items()):
            if held_until <= now:
                self._held_until.pop(upstream)
                self._removal_due_at[upstream] = max(now, self._removals_valid_at)
        due = [name for name, due_at in self._removal_due_at.items() if due_at <= now]
        return [self._discard(upstream, now) for upstream in due]

    def accepts_requests(self, record: UpstreamRecord) -> bool:
        """Return whether an upstream may be sent new requests."""
        leaving_since = self.leaving.find_since(record.id, record.born)
        return leaving_since is None and self.is_in_service(record)

    def is_in_service(self, record: UpstreamRecord) -> bool:
        """Return whether an upstream is announced as ready in an open data centre."""
        return record.ready and record.data_centre not in self.closed_data_centres

    def is_suspected(self, upstream: str) -> bool:
        """Return whether the removal of an upstream is deferred."""
        return upstream in self._removal_due_at

    def remaining_warm_up_s(self, upstream: str, now: float) -> float:
        """Return the remaining seconds of an upstream's warm-up; 0 if it is warm."""
        return max(0.0, self._warm_at.get(upstream, 0.0) - now)

    def _discard(self, upstream: str, now: float) -> UpstreamRecord:
        self._removal_due_at.pop(upstream, None)
        self._held_until.pop(upstream, None)
        self._warm_at.pop(upstream, None)
        record = self._records.pop(upstream)
        self._departed = {
            name: (born, at)
            for name, (born, at) in self._departed.items()
            if now - at < DEPARTED_MEMORY_S
        }
        self._departed[upstream] = (record.born, now)
        return record
