"""Conversion of key ranges from messages and stored rows."""

from plantaincart_core.ownermap import KeyRange
from plantaincart_schema.generated.direct import MapChange, OwnershipRange

__all__ = ["read_range"]


def read_range(encoded: MapChange | OwnershipRange) -> KeyRange:
    """
    Convert a key range to the internal type.

    Parameters
    ----------
    encoded : MapChange or OwnershipRange
        Key range from a notice, or from a stored row.

    Returns
    -------
    KeyRange
        Keys with their owner and fencing token.
    """
    return KeyRange(
        first=encoded.first,
        last=encoded.last,
        owner=encoded.owner,
        born=encoded.born,
        fence=encoded.fence,
    )
