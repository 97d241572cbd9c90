"""Mapping of keys to hash slots, and of hash slots to shards."""

from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

__all__ = ["ShardKey", "find_shard", "find_slot", "list_slots"]


@dataclass(frozen=True, order=True)
class ShardKey:
    """
    Identity of a shard.

    Parameters
    ----------
    service : str
        Name of the service.
    shard : int
        Number of the shard within the service.

    Examples
    --------
    >>> str(ShardKey("returns-ledger", 2))
    'returns-ledger/2'
    """

    service: str
    shard: int

    def __str__(self) -> str:
        return f"{self.service}/{self.shard}"


def find_slot(key: str, slots: int) -> int:
    """
    Find the hash slot of a key.

    Parameters
    ----------
    key : str
        Key of a request.
    slots : int
        Number of hash slots of the service.

    Returns
    -------
    int
        Slot in ``range(slots)``; the same on every instance and in every release.

    Notes
    -----
    The slot is chosen by the high bits of the 64-bit XXH3 hash of the key in UTF-8, so
    that the bias against any slot is below ``slots / 2**64``. Lone surrogates, which
    UTF-8 can't encode, are accepted.

    Examples
    --------
    >>> find_slot("member-1002", 1024)
    957
    """
    digest = xxh3_64_intdigest(key.encode("utf-8", "surrogatepass"))
    return (digest * slots) >> 64


def find_shard(slot: int, slots: int, shards: int) -> int:
    """
    Find the shard of a hash slot.

    Parameters
    ----------
    slot : int
        Slot in ``range(slots)``.
    slots, shards : int
        Number of slots and number of shards of the service; ``shards <= slots``.

    Returns
    -------
    int
        Shard in ``range(shards)``.

    Examples
    --------
    >>> [find_shard(slot, 8, 3) for slot in range(8)]
    [0, 0, 0, 1, 1, 1, 2, 2]
    """
    return slot * shards // slots


def list_slots(shard: int, slots: int, shards: int) -> range:
    """
    List the hash slots of a shard.

    Parameters
    ----------
    shard : int
        Shard in ``range(shards)``.
    slots, shards : int
        Number of slots and number of shards of the service; ``shards <= slots``.

    Returns
    -------
    range
        All slots for which `find_shard` returns `shard`.

    Examples
    --------
    >>> list_slots(1, 8, 3)
    range(3, 6)
    """
    return range(-(-shard * slots // shards), -(-(shard + 1) * slots // shards))
