"""Compact encoding of the requests at each upstream, sent often to all instances."""

from collections.abc import Iterable, Mapping
from functools import lru_cache
from struct import iter_unpack, pack
from zlib import crc32

__all__ = ["pack_loads", "unpack_loads"]

# Three bytes of the name's checksum, followed by one byte of the count.
ENTRY_FORMAT = ">I"
MAX_COUNT = 255
COUNT_BITS = 8
# Names whose checksum is kept; there are some hundred upstreams.
MAX_CACHED_NAMES = 4096


def pack_loads(counts: Mapping[str, int]) -> bytes:
    """
    Encode the number of requests at each upstream.

    Parameters
    ----------
    counts : mapping of str to int
        Requests by upstream; upstreams without requests may be omitted.

    Returns
    -------
    bytes
        Four bytes for each upstream.

    Notes
    -----
    An upstream is identified by the upper three bytes of its name's checksum. Among
    some hundred upstreams, the probability that two have the same three bytes is a
    few in ten thousand; both would then get the count of one of them.

    Examples
    --------
    >>> data = pack_loads({"u1": 3, "u2": 700})
    >>> len(data)
    8
    >>> unpack_loads(data, ["u1", "u2", "u3"])
    {'u1': 3, 'u2': 255, 'u3': 0}
    """
    return b"".join(
        pack(ENTRY_FORMAT, _checksum(name) | min(count, MAX_COUNT))
        for name, count in counts.items()
    )


def unpack_loads(data: bytes, upstreams: Iterable[str]) -> dict[str, int]:
    """
    Decode the number of requests at each upstream.

    Parameters
    ----------
    data : bytes
        Result of `pack_loads`; an incomplete last entry is ignored.
    upstreams : iterable of str
        Names of the upstreams to decode.

    Returns
    -------
    dict of str to int
        Requests by upstream; 0 for upstreams that `data` omits.
    """
    complete = data[: len(data) // 4 * 4]
    entries = (entry for (entry,) in iter_unpack(ENTRY_FORMAT, complete))
    counts = {entry & ~MAX_COUNT: entry & MAX_COUNT for entry in entries}
    return {name: counts.get(_checksum(name), 0) for name in upstreams}


@lru_cache(maxsize=MAX_CACHED_NAMES)
def _checksum(name: str) -> int:
    return crc32(name.encode()) >> COUNT_BITS << COUNT_BITS
