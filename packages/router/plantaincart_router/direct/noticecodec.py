"""Coding of the coordinator's notices; long ones are compressed."""

from collections.abc import Sequence
from zlib import compress

from plantaincart_schema.codec import decode_packed, decompress, encode_packed
from plantaincart_schema.generated.direct import CoordinatorNotice

__all__ = ["pack_notice", "unpack_notice"]

# Bytes above which a notice is compressed: a whole map of 500 ranges takes 40 kB, and
# goes to all instances at once when a coordinator takes over.
LONG_BYTES = 1000
COMPRESSION_LEVEL = 1
COMPRESSED = b"zlib"
# Bytes beyond which a notice can't be one of ours.
MAX_BYTES = 16_000_000


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
    if len(data) <= LONG_BYTES:
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
    if frames[0] != COMPRESSED:
        return decode_packed(frames[-1], CoordinatorNotice)
    return decode_packed(decompress(frames[-1], MAX_BYTES), CoordinatorNotice)
