"""The peers of an instance, and the choice of leaders and successors among them."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from plantaincart_schema.generated.mesh import Heartbeat
from xxhash import xxh3_64_intdigest

from plantaincart_core.slot import ShardKey

__all__ = [
    "Peer",
    "PeerRegistry",
    "choose_next_leader",
    "choose_successors",
    "count_excess_shards",
    "rank_candidates",
]

# An instance hands shards over if it leads at least this many more than the mean.
REBALANCE_HYSTERESIS = 2


@dataclass(frozen=True, kw_only=True)
class Peer:
    """
    State of an instance, as received in its latest heartbeat.

    Parameters
    ----------
    name : str
        Name of the instance.
    incarnation : str
        Changes when the instance restarts.
    data_centre : str
        Data centre that the instance runs in.
    host : str
        IP address of its mesh socket.
    port : int
        Port of its mesh socket.
    configuration_version : int
        Version of the configuration in force on the instance.
    led_shards : int
        Number of shards that the instance leads.
    leaving : bool
        Whether the instance is shutting down.
    table_reachable : bool
        Whether the instance can reach the platform's table.
    last_heartbeat_at : float
        Time in seconds at which the latest heartbeat was received.
    """

    name: str
    incarnation: str
    data_centre: str
    host: str
    port: int
    configuration_version: int = 0
    led_shards: int = 0
    leaving: bool = False
    table_reachable: bool = True
    last_heartbeat_at: float = 0.0


class PeerRegistry:
    """
    The other instances from which heartbeats were received.

    Parameters
    ----------
    own : Peer
        The instance itself; its own heartbeats are ignored.
    silent_after_s : float
        Seconds without a heartbeat after which a peer is no longer live.
    """

    def __init__(self, own: Peer, silent_after_s: float) -> None:
        self._own = own
        self._silent_after_s = silent_after_s
        self._peers: dict[str, Peer] = {}

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """
        Record a heartbeat.

        Parameters
        ----------
        heartbeat : Heartbeat
            The message.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            True if the peer is new or has restarted.
        """
        if heartbeat.name == self._own.name:
            return False
        previous = self._peers.get(heartbeat.name)
        self._peers[heartbeat.name] = _build_peer(heartbeat, now)
        return previous is None or previous.incarnation != heartbeat.incarnation

    def remove(self, name: str) -> None:
        """Remove a peer, for example after the platform has stopped listing it."""
        self._peers.pop(name, None)

    def find(self, name: str) -> Peer | None:
        """Find a peer, whether live or silent; None if unknown."""
        return self._peers.get(name)

    def is_live(self, name: str, now: float) -> bool:
        """Return whether a heartbeat of a peer was received recently."""
        peer = self._peers.get(name)
        return peer is not None and now - peer.last_heartbeat_at <= self._silent_after_s

    def list_live(self, now: float) -> list[Peer]:
        """List the live peers, sorted by name, without the instance itself."""
        return [
            self._peers[name] for name in sorted(self._peers) if self.is_live(name, now)
        ]


def choose_successors(leader: Peer, peers: Iterable[Peer], count: int) -> list[str]:
    """
    Choose the instances that may take over a leader's shards.

    Parameters
    ----------
    leader : Peer
        The leader.
    peers : iterable of Peer
        Live instances.
    count : int
        Maximum number of successors.

    Returns
    -------
    list of str
        Up to `count` names: first one instance of each other data centre, then
        further instances of other data centres, then instances of the leader's own
        data centre.

    Notes
    -----
    Equal candidates are ordered by rendezvous hashing, so that few successors change
    when an instance joins or leaves.
    """
    eligible = {
        peer.name: peer
        for peer in peers
        if not peer.leaving and peer.name != leader.name
    }
    ranked = [eligible[name] for name in _rank(leader.name, eligible)]
    first_by_data_centre: dict[str, Peer] = {}
    for peer in ranked:
        if peer.data_centre != leader.data_centre:
            first_by_data_centre.setdefault(peer.data_centre, peer)
    first_names = {peer.name for peer in first_by_data_centre.values()}
    ranked.sort(
        key=lambda peer: (
            peer.name not in first_names,
            peer.data_centre == leader.data_centre,
        )
    )
    return [peer.name for peer in ranked[:count]]


def rank_candidates(shard: ShardKey, names: Iterable[str]) -> list[str]:
    """
    Rank instances for the leadership of a shard, by rendezvous hashing.

    Parameters
    ----------
    shard : ShardKey
        The shard.
    names : iterable of str
        Names of instances.

    Returns
    -------
    list of str
        The names, best candidate first; removing a name doesn't change the order of
        the others.

    References
    ----------
    .. [1] Thaler, Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
       IEEE/ACM Transactions on Networking 6(1), 1998.
    """
    return _rank(str(shard), names)


def choose_next_leader(
    shard: ShardKey, peers: Iterable[Peer], excluded_data_centres: Collection[str]
) -> str | None:
    """
    Choose the next leader of a shard that is handed over.

    Parameters
    ----------
    shard : ShardKey
        The shard.
    peers : iterable of Peer
        Live instances other than the present leader.
    excluded_data_centres : collection of str
        Data centres that are out of service.

    Returns
    -------
    str or None
        The instance that leads the fewest shards, and the highest ranked of several
        such; None if all are leaving or excluded.
    """
    led_shards = {
        peer.name: peer.led_shards
        for peer in peers
        if not peer.leaving and peer.data_centre not in excluded_data_centres
    }
    ranked = rank_candidates(shard, led_shards)
    return min(ranked, key=led_shards.__getitem__, default=None)


def count_excess_shards(own_count: int, peers: Iterable[Peer]) -> int:
    """
    Compute how many shards an instance should hand over to others.

    Parameters
    ----------
    own_count : int
        Number of shards that the instance leads.
    peers : iterable of Peer
        Live instances other than itself.

    Returns
    -------
    int
        Excess over the mean rounded up; 0 unless the instance leads at least
        `REBALANCE_HYSTERESIS` shards more than the mean.

    Examples
    --------
    >>> peer = Peer(
    ...     name="b", incarnation="1", data_centre="x", host="127.0.0.1", port=1
    ... )
    >>> count_excess_shards(4, [peer]), count_excess_shards(3, [peer])
    (2, 0)
    """
    counts = [peer.led_shards for peer in peers if not peer.leaving]
    instance_count = len(counts) + 1
    total = own_count + sum(counts)
    if (own_count - REBALANCE_HYSTERESIS) * instance_count < total:
        return 0
    return own_count - -(-total // instance_count)


def _build_peer(heartbeat: Heartbeat, now: float) -> Peer:
    return Peer(
        name=heartbeat.name,
        incarnation=heartbeat.incarnation,
        data_centre=heartbeat.data_centre,
        host=heartbeat.host,
        port=heartbeat.port,
        configuration_version=heartbeat.configuration_version,
        led_shards=heartbeat.led_shards,
        leaving=heartbeat.leaving,
        table_reachable=heartbeat.table_reachable,
        last_heartbeat_at=now,
    )


def _rank(subject: str, names: Iterable[str]) -> list[str]:
    def get_sort_key(name: str) -> tuple[int, str]:
        return -xxh3_64_intdigest(f"{subject}\0{name}".encode()), name

    return sorted(names, key=get_sort_key)
