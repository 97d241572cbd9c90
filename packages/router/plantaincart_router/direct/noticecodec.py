"""Coding of the coordinator's notices; long ones are compressed."""

from collections.abc import Sequence
from dataclasses import replace
from zlib import compress

from plantaincart_schema.codec import decode_packed, decompress, encode_packed
from plantaincart_schema.generated.direct import CoordinatorNotice, MapChange

__all__ = ["open_notice", "pack_changes", "pack_notice", "unpack_notice"]

# Bytes above which a notice is compressed: a whole map of 500 ranges takes 40 kB, and
# goes to all instances at once when a coordinator takes over.
LONG_BYTES = 1000
COMPRESSION_LEVEL = 1
COMPRESSED = b"zlib"
# Bytes beyond which a notice can't be one of ours.
MAX_BYTES = 16_000_000


def pack_changes(changes: Sequence[MapChange]) -> bytes:
    """
    Encode changes that many instances are told.

    Parameters
    ----------
    changes : sequence of MapChange
        Changes of the owners' map.

    Returns
    -------
    bytes
        Value of `packed_changes`.

    Examples
    --------
    >>> change = MapChange(service="desk", first=0, last=9, owner="a", born=1, fence=2)
    >>> notice = CoordinatorNotice(
    ...     coordinator="r1", epoch=1, members=1, map_version=1, complete=True,
    ...     packed_changes=pack_changes([change]))
    >>> open_notice(notice).changes == [change]
    True
    """
    return compress(encode_packed(list(changes)), COMPRESSION_LEVEL)


def open_notice(notice: CoordinatorNotice) -> CoordinatorNotice:
    """
    Decode the packed changes of a notice, if it has any.

    Parameters
    ----------
    notice : CoordinatorNotice
        As it was written or came in.

    Returns
    -------
    CoordinatorNotice
        The same with all changes in `changes`.

    Raises
    ------
    MalformedMessageError
        If the bytes aren't changes.
    """
    if notice.packed_changes is None:
        return notice
    data = decompress(notice.packed_changes, MAX_BYTES)
    changes = decode_packed(data, list[MapChange])
    return replace(notice, changes=changes, packed_changes=None)


def pack_notice(notice: CoordinatorNotice) -> list[bytes]:
    """
    Encode a notice.

    Parameters
    ----------
    notice : CoordinatorNotice
        What an instance is told.

    Returns
    -------
    list of bytes
        Frames of the message.
    """
    data = encode_packed(notice)
    if len(data) - len(notice.packed_changes or b"") <= LONG_BYTES:
        return [data]
    return [COMPRESSED, compress(data, COMPRESSION_LEVEL)]


def unpack_notice(frames: Sequence[bytes]) -> CoordinatorNotice:
    """
    Decode a notice.

    Parameters
    ----------
    frames : sequence of bytes
        Frames of the message.

    Returns
    -------
    CoordinatorNotice
        What this instance is told.

    Raises
    ------
    MalformedMessageError
        If the frames aren't a notice.
    """
    data = frames[-1]
    if frames[0] == COMPRESSED:
        data = decompress(data, MAX_BYTES)
    return open_notice(decode_packed(data, CoordinatorNotice))
