"""Decisions to claim shards, made from the rows that this instance reads."""

from collections.abc import Callable
from time import monotonic

from plantaincart_core.configuration import list_data_centres_out_of_service
from plantaincart_core.lease import ShardKey
from plantaincart_core.membership import Peer, PeerRegistry, rank_candidates
from plantaincart_core.takeover import find_earlier_grant_expiry, may_take_over
from plantaincart_schema.generated.platform import ShardLease
from plantaincart_schema.generated.settings import LeaseSettings

from plantaincart_router.claim import Claim
from plantaincart_router.leadership import Leadership
from plantaincart_router.rowview import RowView
from plantaincart_router.watcher import TableView, TableWatcher

__all__ = ["Candidacy"]

CLAIM_STAGGER_S = 0.3
# When a row names this instance, time to wait for the handover message that follows.
HANDOVER_WAIT_S = 0.5


class Candidacy:
    """
    Claim shards without a leader, and shards whose leader's lease has expired.

    Parameters
    ----------
    leadership : Leadership
        Executes the claims.
    rows : RowView
        Rows as last read.
    describe_self : callable
        Returns this instance as a peer.
    peers : PeerRegistry
        Live peers.
    watcher : TableWatcher
        Reads the rows periodically.
    settings : LeaseSettings
        Durations of leases.

    Notes
    -----
    For a shard without leader, instances are ranked by rendezvous hashing and each
    waits in proportion to its rank, so that as a rule only the first one claims it.
    Successors named by the earlier leader rank first.
    """

    def __init__(
        self,
        leadership: Leadership,
        rows: RowView,
        describe_self: Callable[[], Peer],
        peers: PeerRegistry,
        watcher: TableWatcher,
        settings: LeaseSettings,
    ) -> None:
        self._leadership = leadership
        self._rows = rows
        self._describe_self = describe_self
        self._peers = peers
        self._settings = settings
        self._unled_since: dict[ShardKey, float] = {}
        watcher.add_observers(self._handle_view, rows.record_failed_read)

    def _handle_view(self, view: TableView) -> None:
        shards = self._leadership.list_shards()
        self._rows.update(view, shards)
        for shard in shards:
            self._check_shard(shard)

    def _check_shard(self, shard: ShardKey) -> None:
        row, version = self._rows.find(shard)
        if row is None or not self._rows.is_present(shard):
            self._claim_if_unled(shard, None, 0)
            return
        led = self._leadership.shards.get(shard)
        if led is not None:
            self._unled_since.pop(shard, None)
            if row.epoch > led.row.epoch:
                self._leadership.stop_leading(shard, f"led by {row.leader}")
            return
        if self._leadership.is_named_as_leader(row):
            self._claim_if_unled(shard, row, version, HANDOVER_WAIT_S)
        elif not row.leader:
            self._claim_if_unled(shard, row, version)
        else:
            self._unled_since.pop(shard, None)
            self._take_over_if_expired(shard, row, version)

    def _claim_if_unled(
        self,
        shard: ShardKey,
        row: ShardLease | None,
        version: int,
        min_wait_s: float = 0.0,
    ) -> None:
        now = monotonic()
        unled_since = self._unled_since.setdefault(shard, now)
        if not self._may_claim(now) or self._leadership.promises.forbids_takeover(
            shard, now
        ):
            return
        wait_s = max(min_wait_s, self._find_rank(shard, row) * CLAIM_STAGGER_S)
        if now - unled_since < wait_s:
            return
        grant = self._leadership.context.settings.grant
        ttl_s = grant.ttl_s + grant.margin_s
        self._leadership.start_claim(
            Claim(
                shard=shard,
                row=row,
                version=version,
                earlier_grants_expire_at=now + ttl_s if row is not None else now,
                cause="unled",
            )
        )

    def _take_over_if_expired(
        self, shard: ShardKey, row: ShardLease, version: int
    ) -> None:
        now = monotonic()
        if not self._may_claim(now) or not may_take_over(
            shard=shard,
            successors=row.successors,
            candidate=self._describe_self().name,
            unchanged_s=self._rows.measure_unchanged_s(row),
            settings=self._settings,
            promises=self._leadership.promises,
            now=now,
            lost=self._rows.is_marked_lost(row),
        ):
            return
        self._leadership.start_claim(
            Claim(
                shard=shard,
                row=row,
                version=version,
                earlier_grants_expire_at=find_earlier_grant_expiry(
                    self._leadership.context.settings.grant,
                    self._rows.find_epoch_seen_at(shard),
                    now,
                ),
                cause="takeover",
                expired_lease=self._rows.find_lease_row(row.leader),
            )
        )

    def _may_claim(self, now: float) -> bool:
        leadership = self._leadership
        if leadership.stopping or leadership.isolated:
            return False
        return leadership.keeper.lease.is_held(now)

    def _find_rank(self, shard: ShardKey, row: ShardLease | None) -> int:
        own_peer = self._describe_self()
        successors = row.successors if row is not None else []
        if own_peer.name in successors:
            return successors.index(own_peer.name)
        closed = list_data_centres_out_of_service(
            self._leadership.context.configuration.current
        )
        eligible = [
            peer.name
            for peer in (*self._peers.list_live(monotonic()), own_peer)
            if not peer.leaving and peer.data_centre not in closed
        ]
        ranked = rank_candidates(shard, eligible)
        position = (
            ranked.index(own_peer.name) if own_peer.name in ranked else len(ranked) + 1
        )
        return len(successors) + position
