"""Promises of successors that let a leader continue while the table is unreachable."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from math import inf

from plantaincart_schema.generated.settings import LeaseSettings

from plantaincart_core.slot import ShardKey

__all__ = ["SuccessorPromises", "PromiseRegistry"]


class PromiseRegistry:
    """
    The promises of this instance, as a successor, not to take shards over.

    Parameters
    ----------
    all_promised_until : float, default=-inf
        Time in seconds until which every shard is treated as promised. An instance
        that may have run before under the same name passes its start time plus
        `promise_ttl_s` and `margin_s`, since promises don't survive a restart.

    Notes
    -----
    The transaction of a takeover may commit until its outcome is certain. Until then
    no promise is made for the shard: otherwise the leader would rely on the promise
    of a successor that replaces it.
    """

    def __init__(self, all_promised_until: float = -inf) -> None:
        self._all_promised_until = all_promised_until
        self._promised_until: dict[ShardKey, float] = {}
        self._min_epochs: dict[ShardKey, int] = {}
        self._open_takeovers: set[ShardKey] = set()

    def make_promise(self, shard: ShardKey, epoch: int, until: float) -> bool:
        """
        Promise a shard's leader not to take the shard over.

        Parameters
        ----------
        shard : ShardKey
            The shard.
        epoch : int
            Epoch of the leader that requests the promise.
        until : float
            Time in seconds at which the promise ends: the receipt of the request plus
            `promise_ttl_s` and `margin_s`.

        Returns
        -------
        bool
            False if the promise is refused because a takeover is open, or because a
            later epoch has been promised or recorded.
        """
        if shard in self._open_takeovers or epoch < self._min_epochs.get(shard, epoch):
            return False
        self._min_epochs[shard] = epoch
        self._promised_until[shard] = max(until, self._promised_until.get(shard, until))
        return True

    def forbids_takeover(self, shard: ShardKey, now: float) -> bool:
        """Return whether a promise forbids taking the shard over."""
        return now < max(
            self._all_promised_until, self._promised_until.get(shard, -inf)
        )

    def record_epoch(self, shard: ShardKey, epoch: int) -> None:
        """Refuse promises to leaders with a lower epoch than the shard's row has."""
        self._min_epochs[shard] = max(epoch, self._min_epochs.get(shard, epoch))

    def begin_takeover(self, shard: ShardKey) -> None:
        """Refuse promises for the shard until `end_takeover`; call before sending."""
        self._open_takeovers.add(shard)

    def end_takeover(self, shard: ShardKey) -> None:
        """Allow promises again after the takeover can no longer commit."""
        self._open_takeovers.discard(shard)


@dataclass(frozen=True)
class _Promise:
    epoch: int
    sent_at: float


class SuccessorPromises:
    """
    Promises received by a leader, which let it continue beyond its lease.

    Parameters
    ----------
    settings : LeaseSettings
        Durations of leases and promises.

    Notes
    -----
    Before `outage_limit_s` has passed, only the named successors may take a shard
    over. When all of them have promised to wait, no takeover is possible, and the
    leader may continue without reading the table. For the leader a promise starts
    before the request was sent; for the successor, when it was received, so that the
    successor is bound for longer.
    """

    def __init__(self, settings: LeaseSettings) -> None:
        self._settings = settings
        self._promises: dict[tuple[str, ShardKey], _Promise] = {}

    def record_answer(
        self, successor: str, sent_at: float, shards: Iterable[tuple[ShardKey, int]]
    ) -> None:
        """
        Record the promises in a successor's answer.

        Parameters
        ----------
        successor : str
            Name of the instance that answered.
        sent_at : float
            Time in seconds, taken before the request was sent.
        shards : iterable of (ShardKey, int)
            The promised shards, with the epoch of each.
        """
        for shard, epoch in shards:
            latest = self._promises.get((successor, shard))
            if latest is None or (latest.epoch, latest.sent_at) < (epoch, sent_at):
                self._promises[successor, shard] = _Promise(epoch, sent_at)

    def find_promised_until(
        self,
        shard: ShardKey,
        epoch: int,
        successors: Collection[str],
        last_renewal: float,
    ) -> float:
        """
        Compute the time until which promises let a leader continue.

        Parameters
        ----------
        shard : ShardKey
            The shard led.
        epoch : int
            Epoch of the leader.
        successors : collection of str
            All instances that the shard's row may name as successors. While the
            outcome of a write of the row is unknown, these are the successors named
            before and after the write.
        last_renewal : float
            Time in seconds, taken before the latest committed renewal was sent.

        Returns
        -------
        float
            Time in seconds; -inf if a promise is missing.
        """
        if not successors:
            return -inf
        earliest_end = min(
            self._find_end(successor, shard, epoch) for successor in successors
        )
        return min(earliest_end, last_renewal + self._settings.outage_limit_s)

    def allows_continuation(
        self,
        shard: ShardKey,
        epoch: int,
        successors: Collection[str],
        last_renewal: float,
        now: float,
    ) -> bool:
        """Return whether promises let a leader continue at `now`."""
        return now < self.find_promised_until(shard, epoch, successors, last_renewal)

    def discard(self, shard: ShardKey) -> None:
        """Discard the promises for a shard that the instance no longer leads."""
        for key in [key for key in self._promises if key[1] == shard]:
            del self._promises[key]

    def _find_end(self, successor: str, shard: ShardKey, epoch: int) -> float:
        promise = self._promises.get((successor, shard))
        if promise is None or promise.epoch != epoch:
            return -inf
        return promise.sent_at + self._settings.promise_ttl_s
