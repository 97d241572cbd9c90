"""Coding of the row that keeps the owners of one service's keys."""

from zlib import compress

from plantaincart_schema.codec import decode_json, decompress, encode_json
from plantaincart_schema.generated.direct import OwnershipRow

__all__ = ["decode_ownership", "encode_ownership"]

# Fast, and within a tenth of the size that the strongest level reaches.
COMPRESSION_LEVEL = 3
# Bytes of text beyond which a row can't be one of ours.
MAX_TEXT_BYTES = 8_000_000


def encode_ownership(row: OwnershipRow) -> bytes:
    """
    Encode a row as compressed JSON.

    Parameters
    ----------
    row : OwnershipRow
        Owners of all keys of one service.

    Returns
    -------
    bytes
        Content for the store, some 20 bytes a range.

    Notes
    -----
    A store bounds its rows (64 KiB on the users' platform); plain JSON passes that
    at about 400 ranges, which is 100 upstreams.
    """
    return compress(encode_json(row), COMPRESSION_LEVEL)


def decode_ownership(value: bytes) -> OwnershipRow:
    """
    Decode a row.

    Parameters
    ----------
    value : bytes
        Content from the store.

    Returns
    -------
    OwnershipRow
        Owners of all keys of one service.

    Raises
    ------
    MalformedMessageError
        If the bytes aren't such a row.
    """
    return decode_json(decompress(value, MAX_TEXT_BYTES), OwnershipRow)
