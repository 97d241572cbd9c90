"""Coding of the row that keeps the owners of one service's keys."""

from zlib import compress

from plantaincart_schema.codec import decode_json, decompress, encode_json
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.direct import (
    OwnershipRange,
    OwnershipRow,
    OwnershipTable,
)

__all__ = ["decode_ownership", "encode_ownership"]

# Fast, and within a tenth of the size that the strongest level reaches.
COMPRESSION_LEVEL = 3
# Bytes of text beyond which a row can't be one of ours.
MAX_TEXT_BYTES = 8_000_000
NOBODY = -1

# Name of an upstream and start of its process; none for keys that nobody holds.
Holder = tuple[str, int]


def encode_ownership(row: OwnershipRow) -> bytes:
    """
    Encode a row as compressed JSON.

    Parameters
    ----------
    row : OwnershipRow
        Owners of all keys of one service; its ranges cover the key space.

    Returns
    -------
    bytes
        Content for the store, some 20 bytes a range.

    Notes
    -----
    A store bounds its rows (64 KiB on the users' platform). Columns, in which each
    upstream is named once, take half of what the ranges take one after the other.
    """
    places: dict[Holder, int] = {}

    def place(name: str, born: int) -> int:
        return places.setdefault((name, born), len(places)) if name else NOBODY

    owners = [place(one.owner, one.born) for one in row.ranges]
    previous = [place(one.previous, one.previous_born) for one in row.ranges]
    named = {name for name, _ in places}
    for name in row.addresses:
        if name not in named:
            place(name, 0)
    table = OwnershipTable(
        service=row.service,
        epoch=row.epoch,
        sequence=row.sequence,
        names=[name for name, _ in places],
        born=[born for _, born in places],
        addresses=[row.addresses.get(name, "") for name, _ in places],
        lasts=[one.last for one in row.ranges],
        owners=owners,
        fences=[one.fence for one in row.ranges],
        previous=previous,
    )
    return compress(encode_json(table), COMPRESSION_LEVEL)


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
    table = decode_json(decompress(value, MAX_TEXT_BYTES), OwnershipTable)
    try:
        holders = list(zip(table.names, table.born, strict=True))
        addresses = dict(zip(table.names, table.addresses, strict=True))
        ranges = _read_ranges(table, holders)
    except (IndexError, ValueError) as error:
        raise MalformedMessageError(f"OwnershipTable: {error}") from error
    return OwnershipRow(
        service=table.service,
        epoch=table.epoch,
        sequence=table.sequence,
        ranges=ranges,
        addresses={name: address for name, address in addresses.items() if address},
    )


def _read_ranges(table: OwnershipTable, holders: list[Holder]) -> list[OwnershipRange]:
    def find(place: int) -> Holder:
        if place < NOBODY:
            raise ValueError(f"place {place}")
        return ("", 0) if place == NOBODY else holders[place]

    ranges = []
    first = 0
    columns = zip(table.lasts, table.owners, table.fences, table.previous, strict=True)
    for last, owner, fence, previous in columns:
        if last < first:
            raise ValueError(f"keys {first} to {last}")
        (name, born), (earlier, earlier_born) = find(owner), find(previous)
        ranges.append(
            OwnershipRange(
                first=first,
                last=last,
                owner=name,
                born=born,
                fence=fence,
                previous=earlier,
                previous_born=earlier_born,
            )
        )
        first = last + 1
    return ranges
