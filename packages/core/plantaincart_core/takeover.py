"""Conditions for the takeover of a shard, and expiry of earlier leaders' grants."""

from collections.abc import Collection

from plantaincart_schema.generated.settings import GrantSettings, LeaseSettings

from plantaincart_core.promise import PromiseRegistry
from plantaincart_core.slot import ShardKey

__all__ = ["find_earlier_grant_expiry", "find_outage_wait", "may_take_over"]


def may_take_over(
    *,
    shard: ShardKey,
    successors: Collection[str],
    candidate: str,
    unchanged_s: float,
    settings: LeaseSettings,
    promises: PromiseRegistry,
    now: float,
    lost: bool = False,
) -> bool:
    """
    Return whether an instance may try to take a shard over from its leader.

    Parameters
    ----------
    shard : ShardKey
        The shard.
    successors : collection of str
        Successors named in the shard's row.
    candidate : str
        Name of the instance that would take over.
    unchanged_s : float
        Seconds for which the leader's lease row has stayed unchanged.
    settings : LeaseSettings
        Durations of leases.
    promises : PromiseRegistry
        The promises of the instance that would take over.
    now : float
        Time in seconds.
    lost : bool, default=False
        Whether the lease row is marked as lost, because another instance has already
        found the lease expired.

    Returns
    -------
    bool
        True if the takeover is safe under the conditions in the notes.

    Notes
    -----
    The transaction of the takeover has to require the observed version of the shard's
    row, and the observed version or absence of the leader's lease row. The instance
    has to hold its own lease when it sends the transaction, so that a shard's row only
    names leaders whose lease has been written, and to call
    `PromiseRegistry.begin_takeover` before.

    Without named successors a leader can't continue beyond its lease, so that any
    instance may take over once the lease has expired.
    """
    if promises.forbids_takeover(shard, now):
        return False
    if unchanged_s >= find_outage_wait(settings):
        return True
    expired = lost or unchanged_s >= settings.ttl_s + settings.margin_s
    return expired and (candidate in successors or not successors)


def find_outage_wait(settings: LeaseSettings) -> float:
    """
    Compute the wait after which no leader can continue, even with promises.

    Parameters
    ----------
    settings : LeaseSettings
        Durations of leases.

    Returns
    -------
    float
        Seconds for which the leader's lease row has to stay unchanged.
    """
    return settings.outage_limit_s + settings.ttl_s + settings.margin_s


def find_earlier_grant_expiry(
    settings: GrantSettings, epoch_seen_at: float, now: float
) -> float:
    """
    Compute the latest expiry of grants by earlier leaders of a shard.

    Parameters
    ----------
    settings : GrantSettings
        Durations of grants.
    epoch_seen_at : float
        After a takeover, time in seconds at which this instance first read the
        shard's row with the epoch of the replaced leader; after a handover, `now`.
    now : float
        Time in seconds.

    Returns
    -------
    float
        Time in seconds at which all grants of earlier leaders have expired.

    Notes
    -----
    The grants of the replaced leader expire with its lease, hence before a takeover.
    The leader before it may have handed the shard over while its lease was valid; its
    grants are then valid for their full duration after the handover.
    """
    return max(now, epoch_seen_at + settings.ttl_s + settings.margin_s)
