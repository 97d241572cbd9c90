"""Ranges of keys in messages and rows, as the product's type."""

from plantaincart_core.ownermap import KeyRange
from plantaincart_schema.generated.direct import MapChange, OwnershipRange

__all__ = ["read_range"]


def read_range(coded: MapChange | OwnershipRange) -> KeyRange:
    """
    Read a range of keys.

    Parameters
    ----------
    coded : MapChange or OwnershipRange
        As an instance is told of it, or as the store keeps it.

    Returns
    -------
    KeyRange
        Keys with their owner and fencing token.
    """
    return KeyRange(
        first=coded.first,
        last=coded.last,
        owner=coded.owner,
        born=coded.born,
        fence=coded.fence,
    )
