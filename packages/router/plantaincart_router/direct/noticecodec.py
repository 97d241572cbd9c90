"""Encoding of the coordinator's notices; long notices are compressed."""

from collections.abc import Sequence
from dataclasses import replace
from zlib import compress

from plantaincart_schema.codec import (
    decode_msgpack,
    decompress,
    encode_changed,
    encode_msgpack,
)
from plantaincart_schema.generated.direct import (
    ChangedRow,
    CoordinatorNotice,
    MapChange,
    TableChange,
)

__all__ = [
    "open_notice",
    "pack_changes",
    "pack_notice",
    "pack_rows",
    "unpack_notice",
]

# Size in bytes above which a notice is compressed. A whole map of 500 ranges takes 40
# kB, and is sent to all instances at the start of a term.
MIN_COMPRESSED_BYTES = 1000
COMPRESSION_LEVEL = 1
COMPRESSION_MARK = b"zlib"
# Longer notices are rejected as malformed.
MAX_BYTES = 16_000_000


def pack_changes(changes: Sequence[MapChange]) -> bytes:
    """
    Encode changes once for notices to many instances.

    Parameters
    ----------
    changes : sequence of MapChange
        Changes of the map of owners.

    Returns
    -------
    bytes
        Value for the notice's field `packed_changes`.

    Examples
    --------
    >>> change = MapChange(service="desk", first=0, last=9, owner="a", born=1, fence=2)
    >>> notice = CoordinatorNotice(
    ...     coordinator="r1", epoch=1, members=1, map_version=1, complete=True,
    ...     packed_changes=pack_changes([change]))
    >>> open_notice(notice).changes == [change]
    True
    """
    return compress(encode_msgpack(list(changes)), COMPRESSION_LEVEL)


def pack_rows(rows: Sequence[ChangedRow]) -> bytes:
    """
    Encode the rows of a whole table once for notices to many instances.

    Parameters
    ----------
    rows : sequence of ChangedRow
        Rows of the table.

    Returns
    -------
    bytes
        Value for the field `packed_rows` of a `TableChange`.
    """
    return compress(encode_msgpack(list(rows)), COMPRESSION_LEVEL)


def open_notice(notice: CoordinatorNotice) -> CoordinatorNotice:
    """
    Decode the packed changes and rows of a notice, if it has any.

    Parameters
    ----------
    notice : CoordinatorNotice
        Notice as written or received.

    Returns
    -------
    CoordinatorNotice
        The same notice with all changes in `changes`, and all rows in `rows`.

    Raises
    ------
    MalformedMessageError
        If the packed changes can't be decoded.
    """
    tables = [_open_table(change) for change in notice.tables]
    if notice.packed_changes is None:
        return replace(notice, tables=tables)
    data = decompress(notice.packed_changes, MAX_BYTES)
    changes = decode_msgpack(data, list[MapChange])
    return replace(notice, changes=changes, packed_changes=None, tables=tables)


def _open_table(change: TableChange) -> TableChange:
    if change.packed_rows is None:
        return change
    data = decompress(change.packed_rows, MAX_BYTES)
    rows = decode_msgpack(data, list[ChangedRow])
    return replace(change, rows=rows, packed_rows=None)


def pack_notice(notice: CoordinatorNotice) -> list[bytes]:
    """
    Encode a notice.

    Parameters
    ----------
    notice : CoordinatorNotice
        Notice to send.

    Returns
    -------
    list of bytes
        Frames of the message.
    """
    data = encode_changed(notice)
    packed_bytes = len(notice.packed_changes or b"")
    packed_bytes += sum(len(change.packed_rows or b"") for change in notice.tables)
    if len(data) - packed_bytes <= MIN_COMPRESSED_BYTES:
        return [data]
    return [COMPRESSION_MARK, compress(data, COMPRESSION_LEVEL)]


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
        The decoded notice.

    Raises
    ------
    MalformedMessageError
        If the frames can't be decoded.
    """
    data = frames[-1]
    if frames[0] == COMPRESSION_MARK:
        data = decompress(data, MAX_BYTES)
    return open_notice(decode_msgpack(data, CoordinatorNotice))
