"""The latest known leader of each shard."""

from asyncio import Event, timeout
from dataclasses import dataclass

from plantaincart_core.lease import ShardKey

__all__ = ["Leader", "LeaderMap"]


@dataclass(frozen=True)
class Leader:
    """
    The leader of a shard.

    Parameters
    ----------
    name, incarnation : str
        Instance that leads the shard; an empty name if there is none.
    epoch : int
        Epoch of the leadership.
    """

    name: str
    incarnation: str
    epoch: int


class LeaderMap:
    """
    The leaders of shards, from table rows and announcements.

    Notes
    -----
    Only a leader with a higher epoch replaces another, so a late announcement has no
    effect.
    """

    def __init__(self) -> None:
        self._leaders: dict[ShardKey, Leader] = {}
        self._changed = Event()

    def update(self, shard: ShardKey, leader: Leader) -> bool:
        """Record a leader if its epoch is higher; return whether it was recorded."""
        current = self._leaders.get(shard)
        if current is not None and current.epoch >= leader.epoch:
            return False
        self._leaders[shard] = leader
        self._changed.set()
        self._changed = Event()
        return True

    def find(self, shard: ShardKey) -> Leader | None:
        """Return the leader of a shard, or None if none is known."""
        leader = self._leaders.get(shard)
        return leader if leader is not None and leader.name else None

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until any leader changes, for at most `timeout_s`."""
        try:
            async with timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return
