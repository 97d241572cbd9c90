"""Short coding of the requests at each upstream, which go to all instances often."""

from collections.abc import Iterable, Mapping
from struct import iter_unpack, pack
from zlib import crc32

__all__ = ["pack_loads", "unpack_loads"]

# Three bytes of the name's checksum and one of the count.
ENTRY = ">I"
MAX_COUNT = 255
COUNT_BITS = 8


def pack_loads(counts: Mapping[str, int]) -> bytes:
    """
    Encode how many requests each upstream has.

    Parameters
    ----------
    counts : mapping of str to int
        Requests by upstream; those without any may be left out.

    Returns
    -------
    bytes
        Four bytes an upstream.

    Notes
    -----
    Upstreams are named by three bytes of a checksum. Among some hundred of them two
    share one in a few of ten thousand fleets; these would then get each other's count.

    Examples
    --------
    >>> data = pack_loads({"u1": 3, "u2": 700})
    >>> len(data)
    8
    >>> unpack_loads(data, ["u1", "u2", "u3"])
    {'u1': 3, 'u2': 255, 'u3': 0}
    """
    return b"".join(
        pack(ENTRY, _checksum(name) | min(count, MAX_COUNT))
        for name, count in counts.items()
    )


def unpack_loads(data: bytes, upstreams: Iterable[str]) -> dict[str, int]:
    """
    Decode how many requests each upstream has.

    Parameters
    ----------
    data : bytes
        From `pack_loads`.
    upstreams : iterable of str
        Upstreams that are known.

    Returns
    -------
    dict of str to int
        Requests by upstream; 0 for those left out.
    """
    whole = data[: len(data) // 4 * 4]
    entries = (entry for (entry,) in iter_unpack(ENTRY, whole))
    counts = {entry & ~MAX_COUNT: entry & MAX_COUNT for entry in entries}
    return {name: counts.get(_checksum(name), 0) for name in upstreams}


def _checksum(name: str) -> int:
    return crc32(name.encode()) >> COUNT_BITS << COUNT_BITS
